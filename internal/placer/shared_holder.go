package placer

import (
	"context"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/concurrency"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// sharedBit distinguishes the numbers of the permits of shared targets from those of other
// permits.
const sharedBit = 1 << (ticketBits - 2)

// newShared returns the permits of shared targets for the lease with a fencing token.
func newShared(fencingToken uint64) *concurrency.Shared {
	return concurrency.NewShared(firstTicket(fencingToken) | permitBit | sharedBit)
}

// sharedCall is a request for a permit of a shared target.
type sharedCall struct {
	target    bamboorail.TargetID
	instance  string
	workspace string
	priority  int
	late      bool
	// wait is the time for which the call may wait, timeout that within which it ends.
	wait, timeout time.Duration
}

// acquireShared issues a permit for a call to a shared target of the zone. The call waits
// for it. It returns false if the tenure ends meanwhile.
func (h *Holder) acquireShared(ctx context.Context, r sharedCall) (admission, bool) {
	request := h.sharedRequest(r)
	h.mu.Lock()
	h.beginShared()
	now := time.Now()
	h.grantShared(now)
	g := h.shared.Acquire(request, now)
	if g.Waiter == 0 {
		h.usage.recordShared(g, 0)
		h.mu.Unlock()
		return h.finishShared(ctx, g), true
	}
	granted := make(chan concurrency.SharedGrant, 1)
	h.sharedWaiters[g.Waiter] = granted
	h.grantShared(now)
	h.mu.Unlock()
	h.usage.addSharedWaiting(1)
	defer h.usage.addSharedWaiting(-1)
	t := time.NewTimer(r.wait)
	defer t.Stop()
	select {
	case g, ok := <-granted:
		return h.endShared(ctx, g, ok, now)
	case <-t.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	last := h.shared.Cancel(request.Target, g.Waiter, time.Now())
	delete(h.sharedWaiters, g.Waiter)
	h.mu.Unlock()
	select {
	case g, ok := <-granted:
		return h.endShared(ctx, g, ok, now)
	default:
	}
	return h.endShared(ctx, last, true, now)
}

func (h *Holder) endShared(ctx context.Context, g concurrency.SharedGrant, ok bool, since time.Time) (admission, bool) {
	if !ok {
		return admission{}, false
	}
	h.usage.recordShared(g, time.Since(since))
	return h.finishShared(ctx, g), true
}

// finishShared returns the answer to a request. A permit whose caller has left is released.
func (h *Holder) finishShared(ctx context.Context, g concurrency.SharedGrant) admission {
	if g.Permit != 0 && ctx.Err() != nil {
		h.mu.Lock()
		now := time.Now()
		h.shared.Release(g.Permit, concurrency.Unused, now)
		h.grantShared(now)
		h.mu.Unlock()
		g.Permit = 0
	}
	return admission{
		granted: g.Permit != 0, permit: g.Permit, busy: g.Permit == 0, retryAfter: g.RetryAfter, expected: g.Expected, pressed: g.Pressed,
	}
}

// sharedRequest returns the request for a permit of a call.
func (h *Holder) sharedRequest(r sharedCall) concurrency.SharedRequest {
	share := 1.0
	if _, acting := h.Lease.Tenure(); !acting {
		share = lapsedShare
	}
	known, _ := h.Fleet.Target(r.target.Name)
	return concurrency.SharedRequest{
		Target: r.target.Name, Instance: r.instance, Slots: known.Slots, Share: share, Priority: r.priority, Late: r.late,
		Workspace: r.workspace, Weight: h.workspaceWeight(r.workspace), Wait: min(r.wait, maxSharedWait), Timeout: r.timeout,
	}
}

// workspaceWeight returns the share of a workspace: the calls a second that its quota
// allows, those of the largest one without a quota.
func (h *Holder) workspaceWeight(name string) float64 {
	table := h.Table()
	if table == nil {
		return 1
	}
	calls := func(w bamboorail.Workspace) float64 {
		if !w.Quota.IsLimited() {
			return 0
		}
		return w.Quota.Rate / max(w.Quota.Cost(bamboorail.CallSize{}), 1)
	}
	if w, ok := table.Workspace(name); ok && w.Quota.IsLimited() {
		return calls(w)
	}
	largest := 0.0
	for _, w := range table.Workspaces() {
		largest = max(largest, calls(w))
	}
	return largest
}

// beginShared replaces the permits of an earlier tenure. The caller holds the lock.
func (h *Holder) beginShared() {
	if token := h.Lease.FencingToken(); token != h.sharedToken {
		h.endSharedTenure()
		h.shared, h.sharedToken = newShared(token), token
	}
}

// endSharedTenure ends the waits of all calls. The caller holds the lock.
func (h *Holder) endSharedTenure() {
	for number, w := range h.sharedWaiters {
		close(w)
		delete(h.sharedWaiters, number)
	}
}

// grantShared passes on the permits that are free. The caller holds the lock.
func (h *Holder) grantShared(now time.Time) {
	for _, g := range h.shared.Grant(now) {
		w, ok := h.sharedWaiters[g.Waiter]
		if !ok {
			h.shared.Release(g.Permit, concurrency.Unused, now)
			continue
		}
		w <- g
		delete(h.sharedWaiters, g.Waiter)
	}
}

// releaseShared ends a permit of a shared target. It returns false if there is none with the
// number. The caller holds the lock.
func (h *Holder) releaseShared(e EndedPlacement, now time.Time) bool {
	if !h.shared.Release(e.Ticket, endOf(e.Result), now) {
		return false
	}
	if e.Result == balance.Refused {
		h.usage.recordSharedRefusal()
	}
	return true
}

// adoptShared takes over the permits of earlier holders that an instance reports as open.
// The caller holds the lock.
func (h *Holder) adoptShared(instance string, open []uint64, now time.Time) {
	const bits = permitBit | sharedBit
	open = slices.DeleteFunc(slices.Clone(open), func(number uint64) bool { return number&bits != bits })
	if len(open) == 0 {
		return
	}
	h.beginShared()
	if n := h.shared.Adopt(instance, open, h.plainTargets(), now); n > 0 {
		h.Log.Info("calls of an earlier holder adopted", "zone", h.Zone, "peer", instance, "count", n)
	}
}

// plainTargets returns the names of the targets of plain services in the zone.
func (h *Holder) plainTargets() []string {
	table := h.Table()
	if table == nil {
		return nil
	}
	var names []string
	for name, s := range table.Services() {
		if s.Engine {
			continue
		}
		for _, e := range h.Fleet.Service(name) {
			if e.Zone == h.Zone {
				names = append(names, e.ID.Name)
			}
		}
	}
	return names
}

// retainShared ends the permits that have expired, and those of targets that left. The
// caller holds the lock.
func (h *Holder) retainShared(now time.Time) {
	h.shared.Retain(func(name string) bool {
		_, ok := h.Fleet.Target(name)
		return ok
	}, now)
	h.grantShared(now)
}

// pressedTargets returns the shared targets of the zone that are under pressure.
func (h *Holder) pressedTargets() []string {
	if !h.Lease.Leading() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shared.Pressed(time.Now())
}

// acquireShared issues a permit for a call of another instance.
func (s *Server) acquireShared(ctx context.Context, h *Holder, r *wire.AcquireRequest) *wire.AcquireReply {
	a, ok := h.acquireShared(ctx, sharedCall{
		target:   bamboorail.TargetID{Name: r.GetLimit().GetTarget(), StartMillis: r.GetLimit().GetBorn()},
		instance: r.GetInstance(), workspace: r.GetWorkspace(), priority: int(r.GetPriority()), late: r.GetLate(),
		wait:    min(max(time.Duration(r.GetWaitMicros())*time.Microsecond, 0), maxSharedWait),
		timeout: max(time.Duration(r.GetTimeoutMicros())*time.Microsecond, 0),
	})
	return &wire.AcquireReply{
		Holder: ok, Granted: a.granted, Permit: a.permit, Busy: a.busy, RetryAfterMicros: a.retryAfter.Microseconds(),
		ExpectedWaitMicros: a.expected.Microseconds(), Pressed: a.pressed,
	}
}

// pressedTargets returns the shared targets that are under pressure in the zones that this
// instance holds.
func (s *Server) pressedTargets() []string {
	var names []string
	for _, h := range s.zones {
		if h != nil {
			names = append(names, h.pressedTargets()...)
		}
	}
	return names
}
