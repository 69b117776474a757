package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// OrderCheck states whether an order may be sent.
type OrderCheck int

// The results of CheckOrder.
const (
	// OrderFits means that the order may be sent.
	OrderFits OrderCheck = iota
	// OrderNeedless means that the engine already is in the requested state.
	OrderNeedless
	// OrderUnsynced means that the number of orders that the engine has accepted is not
	// certain.
	OrderUnsynced
	// OrderWithdrawn means that the load that the order belongs to was canceled, or planned
	// by a holder before this one.
	OrderWithdrawn
	// OrderWithoutRoom means that the engine has no slot for the adapter, or must keep it.
	OrderWithoutRoom
)

// CheckOrder checks an order that is sent next against what the engine holds, and returns
// the number of orders that the engine has accepted.
func (p *Planner) CheckOrder(o bamboorail.AdapterOrder, now time.Time) (uint64, OrderCheck) {
	e := p.engine(o.Target)
	if e == nil || !p.acceptsOrders(e, now) {
		return 0, OrderUnsynced
	}
	if o.Key.Adapter == "" {
		if e.busy {
			return e.orders, OrderUnsynced
		}
		return e.orders, OrderFits
	}
	c, held := e.contents[o.Key]
	switch {
	case o.Plan != 0 && e.planned[o.Plan] == nil:
		return e.orders, OrderWithdrawn
	case held && c.unloading:
		return e.orders, OrderWithoutRoom
	case held != o.Unload && (o.Unload || c.version >= o.Version):
		return e.orders, OrderNeedless
	case !o.Unload && held, !p.hasSlots(e, o, now):
		return e.orders, OrderWithoutRoom
	}
	return e.orders, OrderFits
}

// acceptsOrders reports whether the next number of an engine is certain and its last order known to
// later holders.
func (p *Planner) acceptsOrders(e *engine, now time.Time) bool {
	return e.synced && !now.Before(e.conflict.blockedUntil) && !p.isRecording(e.entry.ID.Name, now)
}

// RecordOrder records that an engine accepted an order as its next one: a load, or an unload
// that it has carried out.
func (p *Planner) RecordOrder(o bamboorail.AdapterOrder, now time.Time) {
	e := p.engine(o.Target)
	if e == nil {
		return
	}
	if o.Unload && e.unknownOrder {
		// If the unknown order unloads the same adapter once its calls have ended, the
		// engine has not counted this one.
		e.desync(now)
		return
	}
	e.orders, e.conflict.blocks, e.unknownOrder = o.Orders+1, 0, false
	switch {
	case o.Key.Adapter == "":
		e.recordModelOrder(now)
	case o.Unload:
		delete(e.contents, o.Key)
		if l := e.planned[o.Plan]; l != nil {
			l.evictedState = nil
		}
	default:
		e.contents[o.Key] = content{version: o.Version, loading: true, accepted: now}
		p.endPlan(e, o)
		p.startedLoading(e, o, now)
	}
}

// endPlan ends the planned load of an order that was accepted.
func (p *Planner) endPlan(e *engine, o bamboorail.AdapterOrder) {
	l := e.planned[o.Plan]
	if l == nil {
		return
	}
	delete(e.planned, o.Plan)
	l.state.planned, l.state.background = false, false
	p.restoreEvicted(e, l)
	p.markAvailable(o.Key)
}

// startedLoading times a load from its order, not from its decision.
func (p *Planner) startedLoading(e *engine, o bamboorail.AdapterOrder, now time.Time) {
	r := e.adapters[o.Key]
	switch {
	case r == nil:
		e.adapters[o.Key] = p.newLoadingAdapter(e, o.Key, o.Version, now)
		p.markAvailable(o.Key)
	case r.loading && !r.late && !r.observed:
		delay := now.Sub(r.started)
		r.started, r.readyAt = now, r.readyAt.Add(delay)
		e.extendLoadsUntil(r)
	}
}

// RecordNeedless records that an engine already was in the state that an order requests.
func (p *Planner) RecordNeedless(o bamboorail.AdapterOrder, now time.Time) {
	e := p.engine(o.Target)
	l := (*plannedLoad)(nil)
	if e != nil {
		l = e.planned[o.Plan]
	}
	switch {
	case l == nil:
	case o.Unload:
		l.evictedState = nil
	default:
		p.CancelLoad(o, now)
	}
}

// Room returns the number of slots that are taken of an engine's slots.
func (p *Planner) Room(id bamboorail.TargetID) (taken, slots int) {
	if e := p.engine(id); e != nil {
		return e.contents.taken(), e.slots
	}
	return 0, 0
}

// OrderNumber returns the number of orders that an engine has accepted, and
// false if the engine is not synced.
func (p *Planner) OrderNumber(id bamboorail.TargetID) (uint64, bool) {
	if e := p.engine(id); e != nil {
		return e.orders, e.synced
	}
	return 0, false
}

// RecordHeld records that an engine already held the adapter that it was ordered to load. It
// counts no order for that.
func (p *Planner) RecordHeld(o bamboorail.AdapterOrder, now time.Time) {
	e := p.engine(o.Target)
	if e == nil {
		return
	}
	if o.Key.Adapter == "" {
		e.modelLoad = nil
		e.models[o.Key.Model] = now
		return
	}
	e.contents[o.Key] = content{version: o.Version}
	p.endPlan(e, o)
	p.RecordLoaded(o.Target, o.Key, now)
	// The order was sent because the adapter was not known to be held. If the answer was
	// that of another order, the engine has counted this one.
	e.conflict.number, e.conflict.at, e.conflict.held = o.Orders, now, true
	e.desync(now)
}

// RecordUnloading records that an engine accepted an unload as its next order, and keeps the
// adapter until the calls that use it have ended.
func (p *Planner) RecordUnloading(o bamboorail.AdapterOrder, now time.Time) {
	e := p.engine(o.Target)
	if e == nil {
		return
	}
	e.orders, e.conflict.blocks, e.unknownOrder = o.Orders+1, 0, false
	c := e.contents[o.Key]
	c.unloading, c.unload = true, o.Orders
	e.contents[o.Key] = c
	if l := e.planned[o.Plan]; l != nil {
		l.evictedState = nil
	}
	e.adapters[o.Key] = &adapterState{unloading: true, readyAt: now}
}
