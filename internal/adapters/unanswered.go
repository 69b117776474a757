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

// markUnloading marks the adapters that a report lists although the engine has accepted an
// unload that it did not answer: it keeps them for their calls, and accepts no other order.
func (p *Planner) markUnloading(e *engine) {
	for _, u := range p.unanswered[e.entry.ID.Name] {
		c, listed := e.contents[u.Key]
		if listed && u.Unload && u.Target == e.entry.ID && u.Orders+1 == e.orders {
			c.unloading, c.unload = true, u.Orders
			e.contents[u.Key] = c
		}
	}
}

// forgetUnanswered removes the unloads whose number was used by another order. Loads are
// kept, as a later start of the engine may still carry them out.
func (p *Planner) forgetUnanswered(o bamboorail.AdapterOrder) {
	if list := p.unanswered[o.Target.Name]; list != nil {
		p.unanswered[o.Target.Name] = slices.DeleteFunc(list, func(u unansweredOrder) bool {
			return u.Unload && u.Target == o.Target && u.Orders <= o.Orders
		})
	}
}
