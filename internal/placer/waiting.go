package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
)

const (
	// noCapacityRetry is the time after which a refused call is retried; a load
	// ends and frees capacity within it.
	noCapacityRetry = 300 * time.Millisecond
	// maxPlaceWait bounds the wait within one request, well below the timeout
	// of the requesting instance.
	maxPlaceWait = 350 * time.Millisecond
	// retrySpread is the divisor of a retry time that gives its random part.
	retrySpread = 4
)

// awaitPlace places a call. A call that may cause loads waits up to
// maxPlaceWait for a grant of the planner.
func (h *Holder) awaitPlace(ctx context.Context, r adapters.Request) (adapters.Placement, error) {
	const op = "place-call"
	start := time.Now()
	p, number, granted, err := h.placeOrEnqueue(r, start)
	if granted == nil {
		return p, err
	}
	h.usage.addWaiting(1)
	defer h.usage.addWaiting(-1)
	t := time.NewTimer(maxPlaceWait)
	defer t.Stop()
	select {
	case p, ok := <-granted:
		if !ok {
			return adapters.Placement{}, fail(op, bamboorail.KindNotOwner, errNotHolder)
		}
		return p, nil
	case <-t.C:
	case <-ctx.Done():
	}
	return h.finishWait(ctx, r, number, granted, start)
}

// placeOrEnqueue places a call, or enqueues it and returns the channel on which
// its placement is granted.
func (h *Holder) placeOrEnqueue(r adapters.Request, now time.Time) (adapters.Placement, uint64, <-chan adapters.Placement, error) {
	const op = "place-call"
	h.mu.Lock()
	defer h.mu.Unlock()
	began := time.Now()
	p, ok := h.planner.Place(r, now)
	h.usage.recordDecisions(1, began.Sub(now), time.Since(began))
	if ok {
		h.grantWaiting(now)
		return p, 0, nil, nil
	}
	if r.Loads != adapters.LoadAny {
		h.planner.Withdraw(r)
		return adapters.Placement{}, 0, nil, failRetry(op, bamboorail.KindOverloaded, noCapacityRetry, errNoCapacity)
	}
	number, ok := h.planner.Enqueue(r, now)
	if !ok {
		after := h.retryAfter(r, now)
		h.planner.Withdraw(r)
		return adapters.Placement{}, 0, nil, failRetry(op, bamboorail.KindOverloaded, after, errQueueFull)
	}
	granted := make(chan adapters.Placement, 1)
	h.waiters[number] = granted
	h.scheduleGrant(now)
	return adapters.Placement{}, number, granted, nil
}

// retryAfter returns the time after which a refused call should come back: once
// what waits now has been served. Callers that are refused together come back
// one after the other. The caller holds the lock.
func (h *Holder) retryAfter(r adapters.Request, now time.Time) time.Duration {
	after := max(h.planner.ExpectedWait(r, now), h.planner.DrainTime(), noCapacityRetry)
	return after + rand.N(after/retrySpread)
}

// finishWait ends the wait of a call after maxPlaceWait, or after its caller
// has left. The grant may have arrived in the meantime.
func (h *Holder) finishWait(
	ctx context.Context, r adapters.Request, number uint64, granted <-chan adapters.Placement, start time.Time,
) (adapters.Placement, error) {
	const op = "place-call"
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case p, ok := <-granted:
		if !ok {
			return adapters.Placement{}, fail(op, bamboorail.KindNotOwner, errNotHolder)
		}
		return p, nil
	default:
	}
	delete(h.waiters, number)
	h.planner.CancelWait(r, number)
	if ctx.Err() != nil {
		return adapters.Placement{}, fail(op, bamboorail.KindCancelled, ctx.Err())
	}
	now := time.Now()
	r.Waited += now.Sub(start)
	p, ok := h.planner.Place(r, now)
	h.usage.recordDecisions(1, 0, time.Since(now))
	if ok {
		h.grantWaiting(now)
		return p, nil
	}
	after := noCapacityRetry
	if !h.planner.CanWait(r, now) {
		after = h.retryAfter(r, now)
	}
	h.planner.Withdraw(r)
	return adapters.Placement{}, failRetry(op, bamboorail.KindOverloaded, after, fmt.Errorf("%w: %v", errNoCapacity, h.planner.Obstacles(r, now)))
}

// grantWaiting grants the capacity that a change has freed to enqueued calls.
// The caller holds the lock.
func (h *Holder) grantWaiting(now time.Time) {
	_, acting := h.Lease.Tenure()
	began, before := time.Now(), h.planner.Decisions()
	result := h.planner.GrantWaiting(acting, now)
	for _, orders := range result.Background {
		h.enqueueBackground(orders, now)
	}
	for _, g := range result.Grants {
		if granted, ok := h.waiters[g.Number]; ok {
			granted <- g.Placement
			delete(h.waiters, g.Number)
		}
	}
	if n := int(h.planner.Decisions() - before); n > 0 {
		h.usage.recordDecisions(n, 0, time.Since(began))
	}
	h.scheduleGrant(now)
}

// scheduleGrant sets the timer of runGrants to the next time at which a grant
// may become possible without a change. The caller holds the lock.
func (h *Holder) scheduleGrant(now time.Time) {
	next, ok := h.planner.NextGrantTime(now)
	if !ok || (h.nextGrant.After(now) && !next.Before(h.nextGrant)) {
		return
	}
	h.nextGrant = next
	select {
	case <-h.timerReset:
	default:
	}
	h.timerReset <- next
}

// runGrants grants placements that become possible by the passage of time
// alone, such as at the end of a fetch.
func (h *Holder) runGrants(ctx context.Context) error {
	t := time.NewTimer(upkeepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case at := <-h.timerReset:
			t.Reset(time.Until(at))
		case <-t.C:
			h.mu.Lock()
			h.grantWaiting(time.Now())
			h.mu.Unlock()
		}
	}
}

// endPlacement releases a placement that was not used.
func (h *Holder) endPlacement(ticket uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(time.Now())
	_, _ = h.planner.End(ticket)
}
