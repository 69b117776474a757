package placer

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/ratelimit"
)

const (
	// acquireTimeout bounds an acquire request.
	acquireTimeout = 150 * time.Millisecond
	// minAcquireRetry is the minimum time between two acquire requests for one target.
	minAcquireRetry = 20 * time.Millisecond
	// lapsedShare is the part of a limit that a holder grants while its tenure is not in
	// force, since another instance may hold the zone. fallbackShare is the part that the
	// instances without access to a holder use together. With the limit itself, these
	// add up to one and a half times the limit.
	lapsedShare   = 0.3
	fallbackShare = 0.2
	// maxShareTime bounds the time for which an unused share accumulates.
	maxShareTime = time.Second
)

// throttle is the state of an instance for one target with a limit.
type throttle struct {
	// deniedUntil is the time until which the holder is not asked again, retryAfter
	// the delay that it suggested to callers.
	deniedUntil time.Time
	retryAfter  time.Duration
	// shareUsed is the last time at which this instance considered its own share.
	shareUsed time.Time
}

// Advise records the limits that a target names in an answer, or that it names none, and
// queues changes for the holders of all zones.
func (c *Chooser) Advise(id bamboorail.TargetID, a bamboorail.Advisory, now time.Time) {
	changed := c.Limits.observe(id, a, now)
	if len(changed) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, z := range c.Zones {
		c.keepLimits(z.Zone, changed...)
	}
}

// Learn merges the limits and blocks in a holder's reply to a follow request.
func (c *Chooser) Learn(zone string, r *wire.FollowReply) {
	c.Limits.merge(advisory.Requests, r.GetLimits(), "holder of "+zone)
	c.Limits.merge(advisory.Refusals, r.GetRefusalLimits(), "holder of "+zone)
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
// is denied, it returns the time after which the caller should retry.
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
		grant, answered := c.askForRequest(ctx, z, t.ID, now)
		if !answered {
			break
		}
		if !grant.Granted {
			c.mu.Lock()
			th.deniedUntil, th.retryAfter = now.Add(max(grant.Again, minAcquireRetry)), grant.RetryAfter
			c.mu.Unlock()
		}
		return grant.Granted, grant.RetryAfter
	}
	if !c.useShare(th, rate, now) {
		return false, time.Duration(float64(time.Second) / max(rate, ratelimit.MinRate))
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
// holder. The decision is random and unused shares expire: instances that accumulated
// them could spend them at the same time.
func (c *Chooser) useShare(th *throttle, rate float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := min(now.Sub(th.shareUsed), maxShareTime)
	th.shareUsed = now
	return rand.Float64() < fallbackShare*rate/float64(max(c.Instances(), 1))*unused.Seconds()
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

// askForRequest asks the holder of a zone for a request. It returns false if there was
// no answer.
func (c *Chooser) askForRequest(ctx context.Context, z ZoneHolder, id bamboorail.TargetID, now time.Time) (ratelimit.Grant, bool) {
	c.mu.Lock()
	var ungranted []int32
	if w := c.ungranted[id]; w != nil {
		ungranted = w.Counts(now)
	}
	c.mu.Unlock()
	if z.Local != nil && z.Lease.Leading() {
		return z.Local.Acquire(id, c.Instance, ungranted), true
	}
	_, address := z.Lease.Holder()
	if address == "" || c.inBackoff(z) {
		return ratelimit.Grant{}, false
	}
	limit, _ := c.Advisories.LastLimit(advisory.Requests, id)
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	reply, err := c.Peers.Acquire(ctx, address, &wire.AcquireRequest{
		Zone: z.Zone, Instance: c.Instance, Limit: limitMessage(limit, now), Ungranted: ungranted,
	})
	if err != nil || !reply.GetHolder() {
		c.backOff(z)
		c.Log.Info("holder grants no requests", "zone", z.Zone, "address", address, "target", id.Name, "error", err)
		return ratelimit.Grant{}, false
	}
	return ratelimit.Grant{
		Granted: reply.GetGranted(), Again: time.Duration(reply.GetAgainMicros()) * time.Microsecond,
		RetryAfter: time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond,
	}, true
}

// Acquire grants or denies a request to a target of the zone. ungranted counts the
// requests that the instance sent without a grant, by age.
func (h *Holder) Acquire(id bamboorail.TargetID, instance string, ungranted []int32) ratelimit.Grant {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.RecordUngranted(id, instance, ungranted, now)
	return h.limits.Acquire(id, now)
}

// tenureRates are the limits that a holder may grant.
type tenureRates struct {
	ratelimit.Rates
	lease *lease.Lease
}

// Limit returns the limit of a target, or a part of it while the tenure is not in force.
func (r tenureRates) Limit(id bamboorail.TargetID) (float64, bool) {
	rate, limited := r.Rates.Limit(id)
	if !limited {
		return 0, false
	}
	if _, acting := r.lease.Tenure(); !acting {
		rate *= lapsedShare
	}
	return rate, true
}

// recordRequest counts an order or a state query to an engine.
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
	s.limits.merge(advisory.Requests, []*wire.TargetLimit{limit}, r.GetInstance())
	id := bamboorail.TargetID{Name: limit.GetTarget(), StartMillis: limit.GetBorn()}
	g := h.Acquire(id, r.GetInstance(), r.GetUngranted())
	return &wire.AcquireReply{
		Holder: true, Granted: g.Granted, AgainMicros: g.Again.Microseconds(), RetryAfterMicros: g.RetryAfter.Microseconds(),
	}, nil
}

// Follow adds the limits, blocks and baselines of this instance to the follower's reply.
func (s *Server) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	reply, err := s.Follower.Follow(ctx, r)
	if err == nil && reply != nil {
		reply.Limits, reply.RefusalLimits = s.limits.messages(advisory.Requests), s.limits.messages(advisory.Refusals)
		reply.Blocks, reply.Baselines = s.quarantine.blockMessages(), s.Baselines()
	}
	return reply, err
}
