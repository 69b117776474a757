package adapters

import (
	"maps"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// maxOrderDelay is the time after which an order without an answer is not carried out any
// more. Engines carry out orders seconds late.
const maxOrderDelay = 15 * time.Second

// maxRecordTime is the time for which an engine that did not answer accepts no further orders, unless
// the order is recorded before. The store answers within some tens of milliseconds, mostly.
const maxRecordTime = time.Second

// UnansweredOrder is an order to load or unload an adapter that its engine may have accepted, or may
// accept later.
type UnansweredOrder struct {
	Engine string
	// Number is the number of orders that the engine had accepted before.
	Number uint64
	Unload bool
	Key    bamboorail.AdapterKey
	// Sent is the time of the order, or a later one if that is not known.
	Sent time.Time
}

// unansweredOrder is an unanswered order as the planner keeps it.
type unansweredOrder struct {
	UnansweredOrder
	// recorded is set once the order is known to a later holder.
	recorded bool
}

// RecordOrders makes the planner keep engines from further orders until MarkRecorded.
func (p *Planner) RecordOrders() { p.recordsOrders = true }

// RecordUnanswered records that an engine did not answer an order.
func (p *Planner) RecordUnanswered(o bamboorail.AdapterOrder, now time.Time) {
	p.Desync(o.Target, now)
	if o.Key.Adapter == "" {
		return
	}
	p.unanswered[o.Target.Name] = append(p.unanswered[o.Target.Name], unansweredOrder{
		UnansweredOrder: UnansweredOrder{Engine: o.Target.Name, Number: o.Orders, Unload: o.Unload, Key: o.Key, Sent: now}, recorded: !p.recordsOrders,
	})
}

// Inherit records the unanswered orders of earlier holders. Each engine may have some unknown ones
// more: the last order of each holder, which that had not recorded.
func (p *Planner) Inherit(list []UnansweredOrder, unknown int, now time.Time) {
	for _, o := range list {
		p.unanswered[o.Engine] = append(p.unanswered[o.Engine], unansweredOrder{UnansweredOrder: o, recorded: true})
	}
	p.unknownOrders, p.inheritedAt = unknown, now
}

// UnknownOrders returns the number of unknown orders that an engine may still carry out.
func (p *Planner) UnknownOrders(now time.Time) int {
	if now.Sub(p.inheritedAt) > maxOrderDelay {
		return 0
	}
	return p.unknownOrders
}

// Unanswered returns the orders that engines may still carry out, and whether some of them are not
// recorded.
func (p *Planner) Unanswered(now time.Time) (list []UnansweredOrder, changed bool) {
	for _, name := range slices.Sorted(maps.Keys(p.unanswered)) {
		for _, u := range p.unanswered[name] {
			if now.Sub(u.Sent) <= maxOrderDelay {
				list = append(list, u.UnansweredOrder)
				changed = changed || !u.recorded
			}
		}
	}
	return list, changed
}

// MarkRecorded records that orders are stored for later holders.
func (p *Planner) MarkRecorded(list []UnansweredOrder) {
	for _, o := range list {
		for n, u := range p.unanswered[o.Engine] {
			if u.UnansweredOrder == o {
				p.unanswered[o.Engine][n].recorded = true
			}
		}
	}
}

// isRecording reports whether an order to an engine is being recorded.
func (p *Planner) isRecording(engine string, now time.Time) bool {
	return slices.ContainsFunc(p.unanswered[engine], func(u unansweredOrder) bool { return !u.recorded && now.Sub(u.Sent) < maxRecordTime })
}

// expireUnanswered removes orders that are not carried out any more.
func (p *Planner) expireUnanswered(now time.Time) {
	for name, list := range p.unanswered {
		list = slices.DeleteFunc(list, func(u unansweredOrder) bool { return now.Sub(u.Sent) > maxOrderDelay })
		if len(list) == 0 {
			delete(p.unanswered, name)
		} else {
			p.unanswered[name] = list
		}
	}
}

// hasSlots reports whether an engine has slots for what it holds after an order and for the
// loads that it may carry out then.
func (p *Planner) hasSlots(e *engine, o bamboorail.AdapterOrder, now time.Time) bool {
	taken := e.contents.taken() + 1
	if o.Unload {
		taken -= 2
	}
	return taken+p.lateLoads(e, e.orders+1, now) <= e.slots
}

// lateLoads returns the number of unanswered loads that an engine may carry out one after the other
// once it has accepted a number of orders. They may have been sent to a former start of the engine: an
// order names the engine and the number of accepted orders, which begins anew.
func (p *Planner) lateLoads(e *engine, number uint64, now time.Time) int {
	unknown := p.unknownOrdersOf(e, now)
	for loads := unknown; ; number++ {
		load, found := p.unansweredAt(e.entry.ID.Name, number, now)
		switch {
		case load:
			loads++
		case !found && unknown > 0:
			unknown--
		case !found:
			return loads
		}
	}
}

// unknownOrdersOf returns the number of unknown orders that an engine may carry out. Their holders
// sent no other one to the engine after them, so that only a later start can reach their numbers.
func (p *Planner) unknownOrdersOf(e *engine, now time.Time) int {
	if e.entry.ID.StartMillis <= p.inheritedAt.Add(-maxOrderDelay).UnixMilli() {
		return 0
	}
	return p.UnknownOrders(now)
}

// freeSlots returns the number of slots of an engine that planned loads may take.
func (p *Planner) freeSlots(e *engine, now time.Time) int {
	free := e.slots - len(e.adapters)
	if len(p.unanswered[e.entry.ID.Name]) == 0 && p.UnknownOrders(now) == 0 {
		return free
	}
	// The load is the next order, or the one after an unload.
	return free - max(p.lateLoads(e, e.orders+1, now), p.lateLoads(e, e.orders+2, now))
}

// unansweredAt reports whether there is an unanswered load with a number, and whether there is
// any unanswered order.
func (p *Planner) unansweredAt(engine string, number uint64, now time.Time) (load, found bool) {
	for _, u := range p.unanswered[engine] {
		if u.Number == number && now.Sub(u.Sent) <= maxOrderDelay {
			load, found = load || !u.Unload, true
		}
	}
	return load, found
}

// markUnloading marks the adapters that a report lists although the engine has accepted an
// unload that it did not answer: it keeps them for their calls, and accepts no other order.
// before is the number of orders that the planner had counted.
func (p *Planner) markUnloading(e *engine, before uint64) {
	if e.orders <= before {
		return
	}
	for _, u := range p.unanswered[e.entry.ID.Name] {
		if c, listed := e.contents[u.Key]; listed && u.Unload && u.Number+1 == e.orders {
			c.unloading, c.unload = true, u.Number
			e.contents[u.Key] = c
		}
	}
}

// isUnanswered reports whether the order with a number is an unanswered one.
func (p *Planner) isUnanswered(engine string, number uint64) bool {
	return slices.ContainsFunc(p.unanswered[engine], func(u unansweredOrder) bool { return u.Number == number })
}
