package adapters

import (
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// maxOrderDelay is the time after which an order without an answer is not carried out any
// more. Engines carry out orders seconds late.
const maxOrderDelay = 15 * time.Second

// unansweredOrder is an order that its engine may have accepted, or may accept later.
type unansweredOrder struct {
	bamboorail.AdapterOrder
	sent time.Time
}

// RecordUnanswered records that an engine did not answer an order.
func (p *Planner) RecordUnanswered(o bamboorail.AdapterOrder, now time.Time) {
	p.Desync(o.Target, now)
	if o.Key.Adapter == "" {
		return
	}
	p.unanswered[o.Target.Name] = append(p.unanswered[o.Target.Name], unansweredOrder{o, now})
}

// expireUnanswered removes orders that are not carried out any more.
func (p *Planner) expireUnanswered(now time.Time) {
	for name, list := range p.unanswered {
		list = slices.DeleteFunc(list, func(u unansweredOrder) bool { return now.Sub(u.sent) > maxOrderDelay })
		if len(list) == 0 {
			delete(p.unanswered, name)
		} else {
			p.unanswered[name] = list
		}
	}
}

// hasSlots reports whether an engine has slots for what it holds after an order and for the
// unanswered loads with the next numbers, which it may carry out one after the other. They may
// have been sent to a former start of the engine: an order names the engine and the number of
// accepted orders, which begins anew.
func (p *Planner) hasSlots(e *engine, o bamboorail.AdapterOrder, now time.Time) bool {
	taken := e.contents.taken() + 1
	if o.Unload {
		taken -= 2
	}
	for number := e.orders + 1; ; number++ {
		load, found := p.unansweredAt(e.entry.ID.Name, number, now)
		if load {
			taken++
		}
		if !found {
			return taken <= e.slots
		}
	}
}

// unansweredAt reports whether there is an unanswered load with a number, and whether there is
// any unanswered order.
func (p *Planner) unansweredAt(engine string, number uint64, now time.Time) (load, found bool) {
	for _, u := range p.unanswered[engine] {
		if u.Orders == number && now.Sub(u.sent) <= maxOrderDelay {
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
		if c, listed := e.contents[u.Key]; listed && u.Unload && u.Orders+1 == e.orders {
			c.unloading, c.unload = true, u.Orders
			e.contents[u.Key] = c
		}
	}
}

// isUnanswered reports whether the order with a number is an unanswered one.
func (p *Planner) isUnanswered(engine string, number uint64) bool {
	return slices.ContainsFunc(p.unanswered[engine], func(u unansweredOrder) bool { return u.Orders == number })
}
