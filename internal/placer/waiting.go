package placer

import (
	"context"
	"fmt"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
)

const (
	// noPlaceRetry is the time in which a load ends and makes room.
	noPlaceRetry = 300 * time.Millisecond
	// maxPlaceWait is the longest wait within one question, well below the
	// timeout of the instance that asks.
	maxPlaceWait = 350 * time.Millisecond
)

// awaitPlace places a call. One that may cause loads waits for a while until
// the planner calls it.
func (h *Holder) awaitPlace(ctx context.Context, r adapters.Request) (adapters.Placement, error) {
	const op = "place-call"
	asked := time.Now()
	p, number, called, err := h.enter(r, asked)
	if called == nil {
		return p, err
	}
	h.usage.wait(1)
	defer h.usage.wait(-1)
	t := time.NewTimer(maxPlaceWait)
	defer t.Stop()
	select {
	case p, ok := <-called:
		if !ok {
			return adapters.Placement{}, fail(op, bamboorail.KindNotOwner, errNotHolder)
		}
		return p, nil
	case <-t.C:
	case <-ctx.Done():
	}
	return h.leave(ctx, r, number, called, asked)
}

// enter places a call, or has it wait on the channel that it returns.
func (h *Holder) enter(r adapters.Request, now time.Time) (adapters.Placement, uint64, <-chan adapters.Placement, error) {
	const op = "place-call"
	h.mu.Lock()
	defer h.mu.Unlock()
	began := time.Now()
	p, ok := h.planner.Place(r, now)
	h.usage.looked(1, began.Sub(now), time.Since(began))
	if ok {
		h.callWaiting(now)
		return p, 0, nil, nil
	}
	if r.Loads != adapters.LoadFreely {
		h.planner.Refuse(r)
		return adapters.Placement{}, 0, nil, failRetry(op, bamboorail.KindOverloaded, noPlaceRetry, errNoPlace)
	}
	number, ok := h.planner.Wait(r, now)
	if !ok {
		h.planner.Refuse(r)
		return adapters.Placement{}, 0, nil, failRetry(op, bamboorail.KindOverloaded, max(h.planner.Drain(), noPlaceRetry), errCrowded)
	}
	called := make(chan adapters.Placement, 1)
	h.waiters[number] = called
	h.arm(now)
	return adapters.Placement{}, number, called, nil
}

// leave ends the wait of a call that was not called in time, or whose caller
// left. It may be called at the last moment.
func (h *Holder) leave(
	ctx context.Context, r adapters.Request, number uint64, called <-chan adapters.Placement, asked time.Time,
) (adapters.Placement, error) {
	const op = "place-call"
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case p, ok := <-called:
		if !ok {
			return adapters.Placement{}, fail(op, bamboorail.KindNotOwner, errNotHolder)
		}
		return p, nil
	default:
	}
	delete(h.waiters, number)
	h.planner.Leave(r, number)
	if ctx.Err() != nil {
		return adapters.Placement{}, fail(op, bamboorail.KindCancelled, ctx.Err())
	}
	now := time.Now()
	r.Waited += now.Sub(asked)
	p, ok := h.planner.Place(r, now)
	h.usage.looked(1, 0, time.Since(now))
	if ok {
		h.callWaiting(now)
		return p, nil
	}
	h.planner.Refuse(r)
	return adapters.Placement{}, failRetry(op, bamboorail.KindOverloaded, noPlaceRetry, fmt.Errorf("%w: %v", errNoPlace, h.planner.Obstacles(r, now)))
}

// callWaiting gives the calls that wait the places that a change has made. The
// caller holds the lock.
func (h *Holder) callWaiting(now time.Time) {
	_, acting := h.Lease.Tenure()
	began, before := time.Now(), h.planner.Decisions()
	c := h.planner.Call(acting, now)
	for _, orders := range c.Background {
		h.orderLater(orders, now)
	}
	for _, g := range c.Grants {
		if called, ok := h.waiters[g.Number]; ok {
			called <- g.Placement
			delete(h.waiters, g.Number)
		}
	}
	if n := int(h.planner.Decisions() - before); n > 0 {
		h.usage.looked(n, 0, time.Since(began))
	}
	h.arm(now)
}

// arm has runCalls look when the next call is due by time alone. The caller
// holds the lock.
func (h *Holder) arm(now time.Time) {
	next, ok := h.planner.NextCall(now)
	if !ok || (h.due.After(now) && !next.Before(h.due)) {
		return
	}
	h.due = next
	select {
	case <-h.rearm:
	default:
	}
	h.rearm <- next
}

// runCalls looks at the calls that wait when a place is due by time alone, as
// at the end of a fetch.
func (h *Holder) runCalls(ctx context.Context) error {
	t := time.NewTimer(upkeepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case at := <-h.rearm:
			t.Reset(time.Until(at))
		case <-t.C:
			h.mu.Lock()
			h.callWaiting(time.Now())
			h.mu.Unlock()
		}
	}
}

// endPlacement gives a place back that was not used.
func (h *Holder) endPlacement(ticket uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.callWaiting(time.Now())
	_, _ = h.planner.End(ticket)
}
