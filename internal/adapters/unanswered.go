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
	name := o.Target.Name
	p.unanswered[name] = append(slices.DeleteFunc(p.unanswered[name], func(u unansweredOrder) bool { return now.Sub(u.sent) > maxOrderDelay }),
		unansweredOrder{o, now})
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

// fitsUnanswered reports whether a load leaves the slot that an unanswered order with the next
// number would take. Such an order may have been sent to a former start of the engine: it
// names the engine and the number of accepted orders, which begins anew.
func (p *Planner) fitsUnanswered(e *engine, now time.Time) bool {
	if e.contents.taken()+1 < e.slots {
		return true
	}
	return !slices.ContainsFunc(p.unanswered[e.entry.ID.Name], func(u unansweredOrder) bool {
		return !u.Unload && u.Orders == e.orders+1 && now.Sub(u.sent) <= maxOrderDelay
	})
}

// isUnloading reports whether an adapter that a report lists is unloaded by an order without
// an answer, and is kept for its calls. An unload that waits for no call is carried out at once.
func (p *Planner) isUnloading(e *engine, key bamboorail.AdapterKey) bool {
	return slices.ContainsFunc(p.unanswered[e.entry.ID.Name], func(u unansweredOrder) bool {
		return u.Unload && u.Target == e.entry.ID && u.Key == key && u.Orders < e.orders
	})
}
