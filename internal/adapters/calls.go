package adapters

import (
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// longestWait is the longest time for which a call waits for a place: four
	// fifths of four times the objective, which is at most 1 s on the users'
	// sheets.
	longestWait = 3200 * time.Millisecond
	// maxMisses is the number of calls for one adapter that are tried in vain
	// before the others are left to wait.
	maxMisses = 2
)

// Grant is the place of a call that waited for it.
type Grant struct {
	// Number is what Wait returned for the call.
	Number    uint64
	Placement Placement
}

// Wait has a call that was not placed wait until Call places it, and returns
// its number. It returns false if so many wait that its turn would come too
// late.
func (p *Planner) Wait(r Request, now time.Time) (uint64, bool) {
	if !p.mayEnter(r.Key) {
		return 0, false
	}
	return p.waiting.call(r, p.fetchTime, now), true
}

// mayEnter reports whether one more call can be served within longestWait. A
// call for an adapter that others wait for needs no fetch of its own.
func (p *Planner) mayEnter(key bamboorail.AdapterKey) bool {
	if g := p.waiting.groups[key]; g == nil || g.called == 0 {
		if p.Drain() > longestWait {
			return false
		}
	}
	slots := 0
	for _, e := range p.engines {
		slots += e.entry.Slots
	}
	return slots == 0 || time.Duration(p.waiting.called)*p.callTime < longestWait*time.Duration(slots)
}

// Drain returns the time in which the adapters that calls wait for are fetched.
func (p *Planner) Drain() time.Duration {
	return time.Duration(p.waiting.adapters) * p.fetchTime / time.Duration(p.fetchLimit())
}

// Leave ends the wait of a call.
func (p *Planner) Leave(r Request, number uint64) {
	p.waiting.leave(r.Key, callRef{r.CallID, number})
}

// Refuse ends the interest of a call that was not placed and does not wait: a
// fetch that it would have used goes to others.
func (p *Planner) Refuse(r Request) { p.waiting.leave(r.Key, callRef{id: r.CallID}) }

// Called is what became possible for the calls that wait.
type Called struct {
	Grants []Grant
	// Background are orders to one engine each that no call waits for: they
	// bring adapters whose calls queue at full engines to further ones.
	Background [][]bamboorail.AdapterOrder
}

// Call places the calls that waited and can be placed now. It is due after each
// change of the planner and at NextCall; loads are started only if mayLoad is
// set.
func (p *Planner) Call(mayLoad bool, now time.Time) Called {
	var c Called
	for len(p.arrived) > 0 {
		key := p.arrived[0]
		p.arrived = p.arrived[1:]
		c.Grants = p.callFor(c.Grants, key, mayLoad, now)
	}
	if !mayLoad {
		return c
	}
	failed := map[bamboorail.AdapterKey]bool{}
	for {
		free := p.fetchLimit() - p.fetching(now)
		if free <= len(failed) || !p.hasRoom(now) {
			return c
		}
		key, ok := p.waiting.first(failed, now)
		if !ok || !p.waiting.mayStart(key, free, now) {
			return c
		}
		if p.waiting.groups[key].called == 0 {
			c.Background = p.spread(c.Background, key, now)
			continue
		}
		before := len(c.Grants)
		if c.Grants = p.callFor(c.Grants, key, mayLoad, now); len(c.Grants) == before {
			failed[key] = true
		}
		p.arrived = p.arrived[:0]
	}
}

// spread loads an adapter whose calls queue at full engines at a further one if
// that serves the next call sooner than they do.
func (p *Planner) spread(orders [][]bamboorail.AdapterOrder, key bamboorail.AdapterKey, now time.Time) [][]bamboorail.AdapterOrder {
	r := p.waiting.queued(key)
	r.Avoid = slices.Clone(r.Avoid)
	queue := time.Duration(0)
	for name, e := range p.engines {
		if e.adapters[key] == nil {
			continue
		}
		r.Avoid = append(r.Avoid, name)
		if cost := p.queueCost(e, now); e.full() && (queue == 0 || cost < queue) {
			queue = cost
		}
	}
	p.decisions++
	best, _ := p.best(r, now)
	if !best.load || best.cost >= queue {
		p.waiting.groups[key].considered = true
		return orders
	}
	return append(orders, p.startLoad(p.engines[best.name], r, best.evict, now))
}

// callFor places the calls that wait for one adapter.
func (p *Planner) callFor(grants []Grant, key bamboorail.AdapterKey, mayLoad bool, now time.Time) []Grant {
	misses := 0
	for _, ref := range p.waiting.calledFor(key) {
		c := p.waiting.groups[key].calls[ref]
		r := c.request
		r.Waited += now.Sub(c.asked)
		if !mayLoad {
			r.Loads = LoadNever
		}
		placement, queued, ok := p.place(r, now)
		if !ok {
			if misses++; misses == maxMisses {
				break
			}
			continue
		}
		p.waiting.leave(key, ref)
		if queued && p.mayWait(r, now) {
			p.waiting.add(r, p.fetchTime, now)
			p.waiting.place(r)
		}
		grants = append(grants, Grant{Number: ref.number, Placement: placement})
	}
	return grants
}

// arrive notes that an adapter is at an engine, or on its way to one.
func (p *Planner) arrive(key bamboorail.AdapterKey) {
	if g := p.waiting.groups[key]; g != nil && g.called > 0 {
		p.arrived = append(p.arrived, key)
	}
}

// hasRoom reports whether some engine could load an adapter.
func (p *Planner) hasRoom(now time.Time) bool {
	for _, e := range p.engines {
		if e.synced && !e.entry.Leaving && len(e.models) > 0 && e.loading(now) < p.tuning.MaxLoadsPerEngine &&
			(len(e.adapters) < e.slots || e.hasVictim(p.tuning.MinIdleTime, now)) {
			return true
		}
	}
	return false
}

// NextCall returns the time at which Call is due if nothing changes before,
// and false if no call waits.
func (p *Planner) NextCall(now time.Time) (time.Time, bool) {
	if p.waiting.called == 0 {
		return time.Time{}, false
	}
	next := p.waiting.nextChange()
	earlier := func(at time.Time) {
		if at.After(now) && (!next.After(now) || at.Before(next)) {
			next = at
		}
	}
	for _, e := range p.engines {
		for _, r := range e.adapters {
			earlier(r.readyAt)
			if r.running == 0 {
				earlier(r.lastUsed.Add(p.tuning.MinIdleTime))
			}
		}
	}
	return next, next.After(now)
}
