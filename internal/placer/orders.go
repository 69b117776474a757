package placer

import (
	"context"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
)

// lockEngine serializes the orders to one engine and the reads of its state, so
// that the number of accepted orders is known when the next order is sent.
func (h *Holder) lockEngine(ctx context.Context, id bamboorail.TargetID) (func(), error) {
	h.mu.Lock()
	lock := h.engineLocks[id]
	if lock == nil {
		lock = make(chan struct{}, 1)
		h.engineLocks[id] = lock
	}
	h.mu.Unlock()
	select {
	case lock <- struct{}{}:
		return func() { <-lock }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// execute sends orders to one engine sequentially.
func (h *Holder) execute(ctx context.Context, orders []bamboorail.AdapterOrder) error {
	unlock, err := h.lockEngine(ctx, orders[0].Target)
	if err != nil {
		h.revertOrders(orders)
		return fail("send-orders", bamboorail.KindUnavailable, err)
	}
	defer unlock()
	for i, o := range orders {
		if err := h.send(ctx, o); err != nil {
			h.revertOrders(orders[i:])
			return err
		}
	}
	return nil
}

// revertOrders withdraws what orders that failed were planned for.
func (h *Holder) revertOrders(orders []bamboorail.AdapterOrder) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	h.revertOrdersLocked(orders, now)
}

// enqueueBackground queues orders that no call waits for. The caller holds the
// lock.
func (h *Holder) enqueueBackground(orders []bamboorail.AdapterOrder, now time.Time) {
	select {
	case h.background <- orders:
	default:
		h.revertOrdersLocked(orders, now)
	}
}

// revertOrdersLocked implements revertOrders. The caller holds the lock.
func (h *Holder) revertOrdersLocked(orders []bamboorail.AdapterOrder, now time.Time) {
	for _, o := range orders {
		if !o.Unload && o.Key.Adapter == "" {
			h.planner.ModelLoadFailed(o.Target, o.Key.Model)
		} else {
			h.planner.CancelLoad(o, now)
		}
	}
}

// recordUnanswered records that an engine did not answer an order.
func (h *Holder) recordUnanswered(o bamboorail.AdapterOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.RecordUnanswered(o, time.Now())
	h.wakeJournal()
}

// recordConflict records that an engine did not accept an order.
func (h *Holder) recordConflict(o bamboorail.AdapterOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.RecordConflict(o, time.Now())
}

// maxOrderAttempts bounds the attempts to send an order, each based on a newer
// engine state.
const maxOrderAttempts = 2

// send sends one order. On a conflict it reads the engine's state and decides
// again.
func (h *Holder) send(ctx context.Context, o bamboorail.AdapterOrder) error {
	const op = "send-order"
	for range maxOrderAttempts {
		if needed, err := h.prepare(&o); err != nil || !needed {
			return err
		}
		h.recordRequest(o.Target)
		sendCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		sent := time.Now()
		result, err := h.Engines.Order(sendCtx, o)
		cancel()
		if err != nil {
			h.usage.recordOrder("no-answer", time.Since(sent))
			h.Log.Warn("order not answered", "zone", h.Zone, "engine", o.Target.Name, "unload", o.Unload,
				"adapter", o.Key.Adapter, "number", o.Orders, "fencing", o.FencingToken, "error", err)
			h.recordUnanswered(o)
			return err
		}
		h.usage.recordOrder(result.String(), time.Since(sent))
		h.logOrder(o, result)
		done, err := h.recordOrderResult(o, result)
		if done {
			return err
		}
		h.recordConflict(o)
		if err := h.Permit(o.Target); err != nil {
			return err
		}
		h.recordRequest(o.Target)
		asked := time.Now()
		state, err := h.Engines.State(ctx, o.Target, o.Address)
		if err != nil {
			return err
		}
		now := time.Now()
		h.mu.Lock()
		h.planner.Sync(o.Target, state, asked, now)
		h.grantWaiting(now)
		h.mu.Unlock()
	}
	return fail(op, bamboorail.KindUnavailable, errEngineUnsynced)
}

// logOrder writes what an engine answered to an order, and how many adapters it was taken
// to hold before.
func (h *Holder) logOrder(o bamboorail.AdapterOrder, result bamboorail.OrderResult) {
	h.mu.Lock()
	taken, slots := h.planner.Room(o.Target)
	h.mu.Unlock()
	message := "order answered"
	if result == bamboorail.OrderConflict {
		message = "order conflicts with engine state"
	}
	h.Log.Info(message, "zone", h.Zone, "engine", o.Target.Name, "unload", o.Unload, "model", o.Key.Model, "adapter", o.Key.Adapter,
		"version", o.Version, "number", o.Orders, "result", result, "taken", taken, "slots", slots)
}

// prepare numbers and signs an order, as the last step before it is sent. It returns
// an error if the order must not be sent now, and false if it is not needed.
func (h *Holder) prepare(o *bamboorail.AdapterOrder) (bool, error) {
	const op = "send-order"
	number, check := h.checkOrder(*o)
	switch check {
	case adapters.OrderFits:
	case adapters.OrderNeedless:
		h.Log.Info("order no longer needed", "zone", h.Zone, "engine", o.Target.Name, "unload", o.Unload, "adapter", o.Key.Adapter)
		return false, nil
	case adapters.OrderUnsynced, adapters.OrderWithdrawn:
		return false, fail(op, bamboorail.KindUnavailable, errEngineUnsynced)
	case adapters.OrderWithoutRoom:
		return false, fail(op, bamboorail.KindOverloaded, errNoCapacity)
	}
	if err := h.Permit(o.Target); err != nil {
		return false, err
	}
	fencingToken, acting := h.Lease.Tenure()
	if !acting {
		return false, fail(op, bamboorail.KindNotOwner, errMayNotAct)
	}
	if !h.hasInherited() {
		return false, fail(op, bamboorail.KindUnavailable, errNotInherited)
	}
	o.Orders, o.Holder, o.FencingToken = number, h.Instance, fencingToken
	return true, nil
}

// checkOrder checks an order against what its engine holds.
func (h *Holder) checkOrder(o bamboorail.AdapterOrder) (uint64, adapters.OrderCheck) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	number, check := h.planner.CheckOrder(o, now)
	switch check {
	case adapters.OrderNeedless:
		h.planner.RecordNeedless(o, now)
		h.grantWaiting(now)
	case adapters.OrderWithoutRoom:
		// A new report may list less.
		h.planner.Desync(o.Target, now)
	case adapters.OrderFits, adapters.OrderUnsynced, adapters.OrderWithdrawn:
	}
	return number, check
}

// recordOrderResult applies the result of an order to the planner. It reports
// false if the order must be decided again.
func (h *Holder) recordOrderResult(o bamboorail.AdapterOrder, result bamboorail.OrderResult) (bool, error) {
	const op = "send-order"
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	switch result {
	case bamboorail.OrderAccepted:
		if o.Unload {
			h.planner.RecordUnloading(o, now)
			return true, fail(op, bamboorail.KindOverloaded, errAdapterInUse)
		}
		h.planner.RecordOrder(o, now)
		return true, nil
	case bamboorail.OrderDone:
		if o.Unload {
			h.planner.RecordOrder(o, now)
		} else {
			h.planner.RecordHeld(o, now)
		}
		return true, nil
	case bamboorail.OrderConflict:
		return false, nil
	case bamboorail.OrderRejected:
		h.planner.Desync(o.Target, now)
	}
	return true, fail(op, bamboorail.KindConflict, errOrderRejected)
}
