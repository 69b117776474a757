package placer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/relay"
)

const (
	// ownPressure is the time for which the targets of a service are shared after one
	// refused a call of this instance, toldPressure that after a holder said so, which does
	// for some seconds.
	ownPressure  = 3 * time.Second
	toldPressure = 1500 * time.Millisecond
	// sharedFallbackShare is the part of the slots of a shared target which the instances
	// without access to a holder use together. It is above that of brittle targets, since a
	// refusal by a shared one costs little, and the measured times of calls include waits at
	// the target: 0.8 and 0.66 left a quarter of the slots idle under load.
	sharedFallbackShare = 0.9
	// maxSharedWait bounds the wait of a call at a holder.
	maxSharedWait = 5 * time.Second
	// answerMargin is reserved for the way to the target and back.
	answerMargin = 20 * time.Millisecond
	// toldMaxAge is the age up to which an expected wait that is too long is not requested
	// again.
	toldMaxAge = 300 * time.Millisecond
	// maxToldPriority is the priority from which on calls count as equal in this.
	maxToldPriority = 15
	// maxDenials is the number of holders that may refuse a call: more would
	// delay the refusal.
	maxDenials = 2
)

// toldKey names the calls of a priority and a workspace at a target. The calls of other
// workspaces may wait less, since they share the target fairly.
type toldKey struct {
	target    bamboorail.TargetID
	priority  int
	late      bool
	workspace string
	// any stands for the calls of all workspaces; workspace is empty then.
	any bool
}

// anyWorkspace returns the key of the calls of all workspaces.
func (k toldKey) anyWorkspace() toldKey {
	k.workspace, k.any = "", true
	return k
}

// toldWait is the expected wait that a holder reported.
type toldWait struct {
	wait time.Duration
	at   time.Time
}

// left returns the wait less the time since the report.
func (w toldWait) left(now time.Time) time.Duration { return max(w.wait-now.Sub(w.at), 0) }

// markPressed shares the targets of a service for a while.
func (c *Chooser) markPressed(service string, until time.Time) {
	if !c.ShareTargets() || service == "" {
		return
	}
	c.mu.Lock()
	first := c.pressed[service].IsZero()
	if c.pressed[service].Before(until) {
		c.pressed[service] = until
	}
	c.mu.Unlock()
	if first {
		c.Log.Info("targets of a service are under pressure", "service", service)
	}
}

// isPressed reports whether the targets of a service are under pressure.
func (c *Chooser) isPressed(service string, now time.Time) bool {
	c.mu.Lock()
	until, known := c.pressed[service]
	over := known && !now.Before(until)
	if over {
		delete(c.pressed, service)
	}
	c.mu.Unlock()
	if over {
		c.Log.Info("targets of a service are not under pressure any more", "service", service)
	}
	return known && !over
}

// learnPressed takes note of the targets that a holder says are under pressure.
func (c *Chooser) learnPressed(names []string, now time.Time) {
	for _, name := range names {
		if e, ok := c.Fleet.Target(name); ok {
			c.markPressed(e.Service, now.Add(toldPressure))
		}
	}
}

// splitShared returns the targets whose slots are shared now, and the others. Targets that
// are brittle or name a limit are subject to the rules for these. Of targets that state no
// number of slots, there is nothing to share.
func (c *Chooser) splitShared(a relay.ChooseRequest, targets []bamboorail.TargetEntry, now time.Time) (shared, others []bamboorail.TargetEntry) {
	if a.Service.Engine || !c.ShareTargets() || !c.isPressed(a.Service.Name, now) {
		return nil, targets
	}
	for _, t := range targets {
		if _, limited := c.Advisories.Limit(t.ID); limited || t.Slots == 0 || c.Limits.IsBrittle(t.ID) {
			others = append(others, t)
			continue
		}
		shared = append(shared, t)
	}
	return shared, others
}

// sendTime is the time by which a call must be sent.
type sendTime struct {
	by time.Time
	// late is set if its answer comes after the objective all the same.
	late bool
}

// sendTime returns the time by which a call must be sent: for an answer within its
// objective, or by its deadline if that is not possible any more. A call does not wait
// beyond its objective: it would come after the calls that can still keep theirs, and be
// refused late where these use all slots.
func (c *Chooser) sendTime(a relay.ChooseRequest, now time.Time) sendTime {
	c.mu.Lock()
	took := c.callTimes[a.Service.Name] + answerMargin
	c.mu.Unlock()
	last := earlier(a.StartBy.Add(-took), now.Add(maxSharedWait))
	onTime := a.Received.Add(a.Route.Objective - took)
	switch {
	case a.Route.Objective == 0 || !onTime.Before(last):
		return sendTime{by: last}
	case onTime.Before(now):
		return sendTime{by: last, late: true}
	}
	return sendTime{by: onTime}
}

// chooseShared selects one of the targets whose slots are shared: the one with the least
// expected wait whose holder issues a permit.
func (c *Chooser) chooseShared(ctx context.Context, a relay.ChooseRequest, targets []bamboorail.TargetEntry) (relay.Reservation, error) {
	const op = "choose-target"
	retryAfter, denials := time.Duration(0), 0
	now := time.Now()
	send := c.sendTime(a, now)
	if send.by.Before(now) {
		return relay.Reservation{}, failRetry(op, bamboorail.KindOverloaded, noCapacityRetry, errAnswerTooLate)
	}
	c.orderShared(a, targets, send.late)
	for _, t := range targets {
		admitted, denied := c.admitShared(ctx, a, t, send)
		if admitted.granted {
			return c.observe(a, relay.Reservation{
				Target: t, ReadyAt: time.Now(), Valid: c.valid(t), Done: c.balancedDone(t, admitted.permit),
			}), nil
		}
		if ctx.Err() != nil {
			return relay.Reservation{}, fail(op, bamboorail.KindCancelled, ctx.Err())
		}
		if after := cmp.Or(admitted.retryAfter, noCapacityRetry); retryAfter == 0 || after < retryAfter {
			retryAfter = after
		}
		if denied {
			denials++
		}
		if denials >= maxDenials {
			break
		}
	}
	c.Metrics.SharedRefused()
	return relay.Reservation{}, failRetry(op, bamboorail.KindOverloaded, cmp.Or(retryAfter, noCapacityRetry), errTargetsFull)
}

// orderShared orders targets by the time in which they are expected to answer.
func (c *Chooser) orderShared(a relay.ChooseRequest, targets []bamboorail.TargetEntry, late bool) {
	now := time.Now()
	costs := make(map[bamboorail.TargetID]time.Duration, len(targets))
	for _, t := range targets {
		costs[t.ID] = c.toldWait(toldKey{target: t.ID, priority: a.Route.Priority, late: late, workspace: a.Call.Workspace}, now) + c.Balancer.Cost(t, a.Avoid, now)
	}
	slices.SortStableFunc(targets, func(x, y bamboorail.TargetEntry) int { return cmp.Compare(costs[x.ID], costs[y.ID]) })
}

// toldWait returns the longest wait that was reported lately for calls of a priority and
// workspace, or for more urgent ones of any workspace, which do not wait longer.
func (c *Chooser) toldWait(k toldKey, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for k.priority = min(k.priority, maxToldPriority); k.priority >= 0; k.priority-- {
		if told := c.told[k]; now.Sub(told.at) < toldMaxAge {
			longest = max(longest, told.left(now))
		}
		k = k.anyWorkspace()
	}
	return longest
}

// admitShared requests a permit from the holder of a target's zone. denied is set if the holder
// refused the call, or would have.
func (c *Chooser) admitShared(ctx context.Context, a relay.ChooseRequest, t bamboorail.TargetEntry, send sendTime) (_ admission, denied bool) {
	now := time.Now()
	key := toldKey{target: t.ID, priority: min(a.Route.Priority, maxToldPriority), late: send.late, workspace: a.Call.Workspace}
	wait := max(send.by.Sub(now), 0)
	if told := c.toldWait(key, now); told > wait {
		return admission{retryAfter: max(told, noCapacityRetry)}, true
	}
	c.Balancer.Choose([]bamboorail.TargetEntry{t}, nil, now)
	r := sharedCall{
		target: t.ID, instance: c.Instance, workspace: a.Call.Workspace, priority: a.Route.Priority, late: send.late, wait: wait,
		timeout: cmp.Or(a.Route.Timeout, defaultTimeout) - now.Sub(a.Received),
	}
	for _, z := range c.Zones {
		if z.Zone != t.Zone {
			continue
		}
		admitted, answered := c.askShared(ctx, z, r)
		if answered {
			c.recordTold(key, admitted, t.Service)
			if !admitted.granted {
				c.Balancer.Done(t.ID, balance.Abandoned, 0, now)
			}
			return admitted, !admitted.granted
		}
		break
	}
	now = time.Now()
	c.mu.Lock()
	th := c.throttleOf(t.ID)
	c.mu.Unlock()
	if ctx.Err() != nil || !c.useSlotShare(th, t, sharedFallbackShare, now) {
		c.Balancer.Done(t.ID, balance.Abandoned, 0, now)
		return admission{}, false
	}
	c.recordUngranted(t.ID, now)
	return admission{granted: true}, false
}

// recordTold takes note of what a holder said of a target.
func (c *Chooser) recordTold(k toldKey, a admission, service string) {
	now := time.Now()
	c.mu.Lock()
	c.told[k] = toldWait{wait: a.expected, at: now}
	c.told[k.anyWorkspace()] = c.told[k]
	c.mu.Unlock()
	if a.pressed {
		c.markPressed(service, now.Add(toldPressure))
	}
}

// askShared sends a request for a permit to the holder of a zone. It returns false without an answer of a
// holder.
func (c *Chooser) askShared(ctx context.Context, z ZoneHolder, r sharedCall) (admission, bool) {
	if z.Local != nil && z.Lease.Leading() {
		c.recordContact(z.Zone)
		return z.Local.acquireShared(ctx, r)
	}
	_, address := z.Lease.Holder()
	if address == "" || c.inBackoff(z) {
		return admission{}, false
	}
	asking, cancel := context.WithTimeout(ctx, r.wait+acquireTimeout)
	defer cancel()
	reply, err := c.Peers.Acquire(asking, address, &wire.AcquireRequest{
		Zone: z.Zone, Instance: r.instance, Limit: &wire.TargetLimit{Target: r.target.Name, Born: r.target.StartMillis}, Shared: true,
		WaitMicros: r.wait.Microseconds(), TimeoutMicros: r.timeout.Microseconds(), Workspace: r.workspace, Priority: int32(r.priority), Late: r.late,
	})
	if err != nil && ctx.Err() != nil {
		return admission{}, false
	}
	if err != nil || !reply.GetHolder() {
		c.backOff(z)
		c.Log.Info("holder issues no permits", "zone", z.Zone, "address", address, "target", r.target.Name, "error", err)
		return admission{}, false
	}
	c.clearBackoff(z)
	c.recordContact(z.Zone)
	if reply.GetPermit() != 0 {
		c.addOpen(z.Zone, reply.GetPermit(), time.Now())
	}
	return admission{
		granted: reply.GetGranted(), permit: reply.GetPermit(), busy: reply.GetBusy(), pressed: reply.GetPressed(),
		expected:   time.Duration(reply.GetExpectedWaitMicros()) * time.Microsecond,
		retryAfter: time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond,
	}, true
}
