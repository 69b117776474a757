package placer

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/concurrency"
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
	// slotFallbackShare is the part of the calls that a brittle target can run which the
	// instances without access to a holder send together. It is low, since their moments
	// are random.
	slotFallbackShare = 0.33
	// maxShareTime bounds the time for which an unused share accumulates; a share of slots
	// does so for the time of unusedCalls calls if that is longer.
	maxShareTime = time.Second
	unusedCalls  = 8
)

// throttle is the state of an instance for one target with a limit.
type throttle struct {
	// deniedUntil is the time until which no further request is made to the holder, denial
	// its answer.
	deniedUntil time.Time
	denial      admission
	// shareUsed and slotsUsed are the last times at which this instance considered its own
	// share of the limit and of the slots.
	shareUsed, slotsUsed time.Time
}

// admission is the answer to a request to send a call to a target.
type admission struct {
	granted bool
	// permit is the permit of the holder of the target's zone, or 0.
	permit uint64
	// busy is set if the call was denied because the target is brittle and busy.
	busy bool
	// again is the time after which a denied request may be granted, retryAfter the delay
	// to suggest to its caller.
	again, retryAfter time.Duration
	// expected is the expected wait of another such call for a shared target, pressed is set
	// while the target is under pressure.
	expected time.Duration
	pressed  bool
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
	c.learnPressed(r.GetPressed(), time.Now())
	c.Limits.merge(advisory.Requests, r.GetLimits(), "holder of "+zone)
	c.Limits.merge(advisory.Refusals, r.GetRefusalLimits(), "holder of "+zone)
	c.learnBlocks(zone, r.GetBlocks())
}

// Retain forgets what is kept for targets for which live returns false.
func (c *Chooser) Retain(live func(bamboorail.TargetID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.throttles, func(id bamboorail.TargetID, _ *throttle) bool { return !live(id) })
	now := time.Now()
	maps.DeleteFunc(c.told, func(k toldKey, w toldWait) bool { return !live(k.target) || now.Sub(w.at) > toldMaxAge })
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

// acquire requests permission to send a call, which ends within a timeout, to a target of
// a plain service.
func (c *Chooser) acquire(ctx context.Context, t bamboorail.TargetEntry, timeout time.Duration, now time.Time) admission {
	rate, limited := c.Advisories.Limit(t.ID)
	brittle := c.Limits.IsBrittle(t.ID)
	if !limited && !brittle {
		c.recordUngranted(t.ID, now)
		return admission{granted: true}
	}
	c.mu.Lock()
	th := c.throttleOf(t.ID)
	denied, denial := now.Before(th.deniedUntil), th.denial
	denial.again = th.deniedUntil.Sub(now)
	c.mu.Unlock()
	if denied {
		return denial
	}
	for _, z := range c.Zones {
		if z.Zone != t.Zone {
			continue
		}
		a, answered := c.askForCall(ctx, z, callRequest{target: t.ID, instance: c.Instance, permit: brittle, timeout: timeout}, now)
		if !answered {
			break
		}
		if !a.granted {
			if !a.busy {
				a.again = max(a.again, minAcquireRetry)
			}
			c.mu.Lock()
			th.deniedUntil, th.denial = now.Add(a.again), a
			c.mu.Unlock()
		}
		return a
	}
	if limited && !c.useShare(th, rate, now) {
		return admission{retryAfter: time.Duration(float64(time.Second) / max(rate, ratelimit.MinRate))}
	}
	if brittle && !c.useSlots(th, t, now) {
		return admission{busy: true, again: minRetryDelay}
	}
	c.recordUngranted(t.ID, now)
	return admission{granted: true}
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
// holder.
func (c *Chooser) useShare(th *throttle, rate float64, now time.Time) bool {
	return c.draw(&th.shareUsed, fallbackShare*rate, maxShareTime, now)
}

// draw reports whether this instance may use its share of a rate of all instances now;
// used is the last time at which it considered that. The decision is random and shares that
// are unused for maxUnused expire: instances that accumulated them could spend them at the
// same time.
func (c *Chooser) draw(used *time.Time, rate float64, maxUnused time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := min(now.Sub(*used), maxUnused)
	*used = now
	return rand.Float64() < rate/float64(max(c.Instances(), 1))*unused.Seconds()
}

// mayUseEngine reports whether this instance may send a call to an engine without a
// holder.
func (c *Chooser) mayUseEngine(e bamboorail.TargetEntry, now time.Time) bool {
	rate, limited := c.Advisories.Limit(e.ID)
	brittle := c.Limits.IsBrittle(e.ID)
	if !limited && !brittle {
		return true
	}
	c.mu.Lock()
	th := c.throttleOf(e.ID)
	c.mu.Unlock()
	return (!limited || c.useShare(th, rate, now)) && (!brittle || c.useSlots(th, e, now))
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

// askForCall requests the admission of a call from the holder of a zone. It returns false
// without an answer of a holder that issues the permit that the call needs.
func (c *Chooser) askForCall(ctx context.Context, z ZoneHolder, r callRequest, now time.Time) (admission, bool) {
	c.mu.Lock()
	if w := c.ungranted[r.target]; w != nil {
		r.ungranted = w.Counts(now)
	}
	c.mu.Unlock()
	if z.Local != nil && z.Lease.Leading() {
		c.recordContact(z.Zone)
		return z.Local.admit(r), true
	}
	_, address := z.Lease.Holder()
	if address == "" || c.isSkipped(z, r.permit) {
		return admission{}, false
	}
	limit, _ := c.Advisories.LastLimit(advisory.Requests, r.target)
	limit.Target = r.target
	message := &wire.AcquireRequest{
		Zone: z.Zone, Instance: r.instance, Limit: limitMessage(limit, now), Ungranted: r.ungranted, Permit: r.permit, TimeoutMicros: r.timeout.Microseconds(),
	}
	if refusals, known := c.Advisories.LastLimit(advisory.Refusals, r.target); known {
		message.Refusals = limitMessage(refusals, now)
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := c.Peers.Acquire(ctx, address, message)
	if err != nil && r.permit && wasPaused(sent) {
		return admission{busy: true, again: minRetryDelay, retryAfter: noCapacityRetry}, true
	}
	if err != nil || !reply.GetHolder() {
		c.backOff(z)
		c.Log.Info("holder grants no requests", "zone", z.Zone, "address", address, "target", r.target.Name, "error", err)
		return admission{}, false
	}
	c.recordReply(z, r, reply.GetPermit(), now)
	a := admission{
		granted: reply.GetGranted(), permit: reply.GetPermit(), busy: reply.GetBusy(), again: time.Duration(reply.GetAgainMicros()) * time.Microsecond,
		retryAfter: time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond,
	}
	return a, !a.granted || !r.permit || a.permit != 0
}

// recordReply records an answer of a holder with a permit, or 0.
func (c *Chooser) recordReply(z ZoneHolder, r callRequest, permit uint64, now time.Time) {
	c.recordContact(z.Zone)
	if r.permit {
		// The end of the call must be reported at once.
		c.clearBackoff(z)
	}
	if permit != 0 {
		c.addOpen(z.Zone, permit, now)
	}
}

// wasPaused reports whether this process was paused after it sent an acquire request. A timeout
// then does not show that the holder is silent.
func wasPaused(sent time.Time) bool { return time.Since(sent) > acquireTimeout+minHolderBackoff }

// callRequest is a request to the holder of a zone to admit a call to a target of a plain
// service.
type callRequest struct {
	target   bamboorail.TargetID
	instance string
	// ungranted counts the requests that the instance sent without a grant, by age.
	ungranted []int32
	// permit is set if the instance takes the target for brittle.
	permit bool
	// timeout is the time within which the call ends.
	timeout time.Duration
}

// admit admits a call to a target of the zone or denies it.
func (h *Holder) admit(r callRequest) admission {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var permit uint64
	if r.permit || h.Brittle.IsBrittle(r.target) {
		g := h.permits.Acquire(h.permitRequest(r, now), now)
		if g.Permit == 0 {
			return admission{busy: true, again: g.Again, retryAfter: max(g.Again, noCapacityRetry)}
		}
		permit = g.Permit
	}
	h.limits.RecordUngranted(r.target, r.instance, r.ungranted, now)
	g := h.limits.Acquire(r.target, now)
	if !g.Granted {
		h.permits.Release(permit, concurrency.Ended, now)
		permit = 0
	}
	return admission{granted: g.Granted, permit: permit, again: g.Again, retryAfter: g.RetryAfter}
}

// permitRequest returns the request for a permit of a call. A holder whose lease is not in
// force grants a part of the slots, since another instance may hold the zone. The caller holds
// the lock.
func (h *Holder) permitRequest(r callRequest, now time.Time) concurrency.Request {
	share := 1.0
	if _, acting := h.Lease.Tenure(); !acting {
		share = lapsedShare
	}
	known, _ := h.Fleet.Target(r.target.Name)
	return concurrency.Request{
		Target: r.target.Name, Instance: r.instance, Slots: h.brittleSlots(known.Slots, now), Share: share,
		MaxRefusals: h.Brittle.MaxRefusals(r.target), Timeout: r.timeout,
	}
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

// Acquire admits a call to a target with a limit.
func (s *Server) Acquire(ctx context.Context, r *wire.AcquireRequest) (*wire.AcquireReply, error) {
	h := s.zones[r.GetZone()]
	if h == nil || !h.Lease.Leading() {
		return &wire.AcquireReply{}, nil
	}
	if r.GetShared() {
		h.recordContact(r.GetInstance())
		return s.acquireShared(ctx, h, r), nil
	}
	limit := r.GetLimit()
	s.limits.merge(advisory.Requests, []*wire.TargetLimit{limit}, r.GetInstance())
	if refusals := r.GetRefusals(); refusals != nil {
		s.limits.merge(advisory.Refusals, []*wire.TargetLimit{refusals}, r.GetInstance())
	}
	h.recordContact(r.GetInstance())
	a := h.admit(callRequest{
		target: bamboorail.TargetID{Name: limit.GetTarget(), StartMillis: limit.GetBorn()}, instance: r.GetInstance(), ungranted: r.GetUngranted(),
		permit: r.GetPermit(), timeout: time.Duration(r.GetTimeoutMicros()) * time.Microsecond,
	})
	return &wire.AcquireReply{
		Holder: true, Granted: a.granted, Permit: a.permit, Busy: a.busy, AgainMicros: a.again.Microseconds(), RetryAfterMicros: a.retryAfter.Microseconds(),
	}, nil
}

// Follow adds the limits, blocks and baselines of this instance to the follower's reply.
func (s *Server) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	reply, err := s.Follower.Follow(ctx, r)
	if err == nil && reply != nil {
		reply.Limits, reply.RefusalLimits = s.limits.messages(advisory.Requests), s.limits.refusalMessages(r.GetInstance())
		reply.Pressed = s.pressedTargets()
		reply.Blocks, reply.Baselines = s.quarantine.blockMessages(), s.Baselines()
	}
	return reply, err
}
