package placer

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/ratelimit"
)

const (
	// acquireTimeout bounds a question for a request to a target with a limit.
	acquireTimeout = 150 * time.Millisecond
	// minAcquireRetry is the minimum time between two questions for one target.
	minAcquireRetry = 20 * time.Millisecond
	// unledShare is the part of a limit that all instances use together without the
	// holder, which may grant the limit to those that reach it. Together they stay
	// below one and a half times the limit.
	unledShare = 0.4
	// maxUnledWait bounds the time for which an unused share counts.
	maxUnledWait = time.Second
)

// throttle is what an instance knows of the requests to a target with a limit.
type throttle struct {
	// deniedUntil is the time until which the holder is not asked again, retryAfter
	// what it suggested to callers.
	deniedUntil time.Time
	retryAfter  time.Duration
	// shareUsed is the last time at which this instance considered its own share.
	shareUsed time.Time
}

// Advise takes note of the limit that a target names in an answer, or that it names
// none, for the holders of all zones.
func (c *Chooser) Advise(id bamboorail.TargetID, a bamboorail.Advisory, now time.Time) {
	limit, changed := c.Limits.observe(id, a, now)
	if !changed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, z := range c.Zones {
		c.keepLimits(z.Zone, limit)
	}
}

// Learn takes over what a holder told with what it read from the store.
func (c *Chooser) Learn(zone string, r *wire.FollowReply) {
	c.Limits.merge(r.GetLimits(), "holder of "+zone)
	c.Quarantine.learn(zone, r.GetBlocks())
}

// Retain forgets what is kept for targets for which live returns false.
func (c *Chooser) Retain(live func(bamboorail.TargetID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.throttles, func(id bamboorail.TargetID, _ *throttle) bool { return !live(id) })
	maps.DeleteFunc(c.ungranted, func(id bamboorail.TargetID, _ *ratelimit.Window) bool { return !live(id) })
}

// keepLimits queues limits for the holder of a zone. The caller holds the lock.
func (c *Chooser) keepLimits(zone string, list ...advisory.Limit) {
	list = append(c.limits[zone], list...)
	c.limits[zone] = list[max(0, len(list)-maxPendingLimits):]
}

func (c *Chooser) takeLimits(zone string) []advisory.Limit {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.limits[zone]
	delete(c.limits, zone)
	return list
}

func (c *Chooser) requeueLimits(zone string, list []advisory.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepLimits(zone, list...)
}

// acquire asks for permission to send a request to a target of a plain service. If it
// is denied, it returns the time after which the caller should come back.
func (c *Chooser) acquire(ctx context.Context, t bamboorail.TargetEntry, now time.Time) (bool, time.Duration) {
	rate, limited := c.Advisories.Limit(t.ID)
	if !limited {
		c.recordUngranted(t.ID, now)
		return true, 0
	}
	c.mu.Lock()
	th := c.throttleOf(t.ID)
	denied, retryAfter := now.Before(th.deniedUntil), th.retryAfter
	c.mu.Unlock()
	if denied {
		return false, retryAfter
	}
	for _, z := range c.Zones {
		if z.Zone != t.Zone {
			continue
		}
		granted, again, retryAfter, answered := c.askForRequest(ctx, z, t.ID, now)
		if !answered {
			break
		}
		if !granted {
			c.mu.Lock()
			th.deniedUntil, th.retryAfter = now.Add(max(again, minAcquireRetry)), retryAfter
			c.mu.Unlock()
		}
		return granted, retryAfter
	}
	if !c.useShare(th, rate, now) {
		return false, time.Duration(float64(time.Second) / rate)
	}
	c.recordUngranted(t.ID, now)
	return true, 0
}

// throttleOf returns the throttle of a target. The caller holds the lock.
func (c *Chooser) throttleOf(id bamboorail.TargetID) *throttle {
	th := c.throttles[id]
	if th == nil {
		th = &throttle{}
		c.throttles[id] = th
	}
	return th
}

// useShare reports whether this instance may use its share of a limit without a
// holder. Shares are small and not kept: the instances do not know one another's
// requests, and would send what they kept together.
func (c *Chooser) useShare(th *throttle, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := min(now.Sub(th.shareUsed), maxUnledWait)
	th.shareUsed = now
	return rand.Float64() < unledShare*rate/float64(max(c.Instances(), 1))*unused.Seconds()
}

// useEngineShare is useShare for an engine that is chosen without a holder.
func (c *Chooser) useEngineShare(id bamboorail.TargetID, rate float64, now time.Time) bool {
	c.mu.Lock()
	th := c.throttleOf(id)
	c.mu.Unlock()
	return c.useShare(th, rate, now)
}

func (c *Chooser) recordUngranted(id bamboorail.TargetID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.ungranted[id]
	if w == nil {
		w = &ratelimit.Window{}
		c.ungranted[id] = w
	}
	w.Add(1, now)
}

// askForRequest asks the holder of a zone. It reports whether that answered.
func (c *Chooser) askForRequest(
	ctx context.Context, z ZoneHolder, id bamboorail.TargetID, now time.Time,
) (granted bool, again, retryAfter time.Duration, answered bool) {
	c.mu.Lock()
	var ungranted []int32
	if w := c.ungranted[id]; w != nil {
		ungranted = w.Counts(now)
	}
	c.mu.Unlock()
	if z.Local != nil && z.Lease.Leading() {
		granted, again, retryAfter = z.Local.Acquire(id, c.Instance, ungranted)
		return granted, again, retryAfter, true
	}
	_, address := z.Lease.Holder()
	if address == "" || c.inBackoff(z) {
		return false, 0, 0, false
	}
	limit, _ := c.Advisories.LastLimit(id)
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	reply, err := c.Peers.Acquire(ctx, address, &wire.AcquireRequest{
		Zone: z.Zone, Instance: c.Instance, Limit: limitMessage(limit, now), Ungranted: ungranted,
	})
	if err != nil || !reply.GetHolder() {
		c.backOff(z)
		c.Log.Info("holder grants no requests", "zone", z.Zone, "address", address, "target", id.Name, "error", err)
		return false, 0, 0, false
	}
	return reply.GetGranted(), time.Duration(reply.GetAgainMicros()) * time.Microsecond, time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond, true
}

// Acquire grants a request to a target of the zone, or returns the times after which
// to ask again and after which a caller that is refused should come back. The
// instance has sent the ungranted requests without asking.
func (h *Holder) Acquire(id bamboorail.TargetID, instance string, ungranted []int32) (granted bool, again, retryAfter time.Duration) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.RecordUngranted(id, instance, ungranted, now)
	return h.limits.Acquire(id, now)
}

// recordRequest counts a request of this holder to an engine, beside the calls that
// it places.
func (h *Holder) recordRequest(id bamboorail.TargetID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.Record(id, time.Now())
}

// throttled reports whether an engine must wait for its next request.
func (h *Holder) throttled(id bamboorail.TargetID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limits.Wait(id, time.Now()) > 0
}

// Acquire grants a request to a target with a limit.
func (s *Server) Acquire(_ context.Context, r *wire.AcquireRequest) (*wire.AcquireReply, error) {
	h := s.zones[r.GetZone()]
	if h == nil || !h.Lease.Leading() {
		return &wire.AcquireReply{}, nil
	}
	limit := r.GetLimit()
	s.limits.merge([]*wire.TargetLimit{limit}, r.GetInstance())
	id := bamboorail.TargetID{Name: limit.GetTarget(), StartMillis: limit.GetBorn()}
	granted, again, retryAfter := h.Acquire(id, r.GetInstance(), r.GetUngranted())
	return &wire.AcquireReply{Holder: true, Granted: granted, AgainMicros: again.Microseconds(), RetryAfterMicros: retryAfter.Microseconds()}, nil
}

// Follow replies with what this instance read from the store, and the limits and
// blocks that it knows.
func (s *Server) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	reply, err := s.Follower.Follow(ctx, r)
	if err == nil && reply != nil {
		reply.Limits, reply.Blocks = s.limits.messages(), s.quarantine.blockMessages()
	}
	return reply, err
}
