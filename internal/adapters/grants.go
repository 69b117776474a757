package adapters

import (
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// maxCallWait is the longest time that a call waits for a placement: four
	// fifths of four times the objective, which is at most 1 s in the
	// requirements.
	maxCallWait = 3200 * time.Millisecond
	// maxFailedPlacements is the number of calls for one adapter that fail to
	// be placed before the remaining calls are skipped.
	maxFailedPlacements = 2
)

// Grant is the placement of an enqueued call.
type Grant struct {
	// Number is the number that Enqueue returned for the call.
	Number    uint64
	Placement Placement
}

// Enqueue queues a call that was not placed until GrantWaiting places it, and
// returns its number. It returns false if the call would be served too late.
func (p *Planner) Enqueue(r Request, now time.Time) (uint64, bool) {
	if !p.canEnqueue(r, now) {
		return 0, false
	}
	return p.waiting.enqueue(r, p.fetchTime(), now), true
}

// ExpectedWait estimates the time after which a call that was not placed can be
// sent to an engine: after the fetches of the adapters ahead of its own and of
// its own, and once a slot of an engine is free.
func (p *Planner) ExpectedWait(r Request, now time.Time) time.Duration {
	wait := time.Duration(0)
	if r.Key.Adapter != "" {
		ahead := p.waiting.adaptersAhead(r.Key, len(p.waiting.list), now)
		wait = time.Duration(ahead)*p.fetchTime()/time.Duration(p.fetchLimit()) + p.fetchTime()
	}
	return max(wait, p.slotWait(r), p.rateWait(r, now))
}

// slotWait returns the shortest wait for a slot of an engine, 0 if there is none.
func (p *Planner) slotWait(r Request) time.Duration {
	wait, found := time.Duration(0), false
	for _, e := range p.engines {
		if !e.usable(r) {
			continue
		}
		if w := p.queueWait(e, r); !found || w < wait {
			wait, found = w, true
		}
	}
	return wait
}

// CanWait reports whether a call that was not placed may still be served before its
// caller leaves. The wait for a fetch of a call that is late already depends on the
// calls to come, which go first: it keeps its chance. Refused, it would come back as
// a new call, go first itself, and be late all the same.
func (p *Planner) CanWait(r Request, now time.Time) bool {
	if r.Waited+p.fetchTime() > r.Objective {
		return r.canWait(max(p.slotWait(r), p.rateWait(r, now)), now)
	}
	return r.canWait(p.ExpectedWait(r, now), now)
}

// canEnqueue reports whether one more call can be served in time. A call for an
// adapter that enqueued calls wait for needs no fetch of its own.
func (p *Planner) canEnqueue(r Request, now time.Time) bool {
	if !p.CanWait(r, now) {
		return false
	}
	if g := p.waiting.groups[r.Key]; g == nil || g.enqueued == 0 {
		if p.DrainTime() > maxCallWait {
			return false
		}
	}
	slots := 0
	for _, e := range p.engines {
		slots += e.entry.Slots
	}
	return slots == 0 || time.Duration(p.waiting.enqueued)*p.callTime < maxCallWait*time.Duration(slots)
}

// DrainTime estimates the time until the adapters that enqueued calls wait for
// are fetched.
func (p *Planner) DrainTime() time.Duration {
	return time.Duration(p.waiting.enqueuedAdapters) * p.fetchTime() / time.Duration(p.fetchLimit())
}

// CancelWait removes an enqueued call.
func (p *Planner) CancelWait(r Request, number uint64) {
	p.waiting.remove(r.Key, callRef{r.CallID, number})
}

// Withdraw removes a call that was not placed and is not enqueued, so that it
// no longer competes for a fetch.
func (p *Planner) Withdraw(r Request) { p.waiting.remove(r.Key, callRef{id: r.CallID}) }

// GrantResult is the result of GrantWaiting.
type GrantResult struct {
	Grants []Grant
	// Background are orders that no call waits for, each list for one engine.
	// They load adapters whose calls queue at full engines on further engines.
	Background [][]bamboorail.AdapterOrder
}

// GrantWaiting places the enqueued calls that can be placed now. It must be
// called after each change of the planner and at NextGrantTime. Loads are
// started only if mayLoad is set.
func (p *Planner) GrantWaiting(mayLoad bool, now time.Time) GrantResult {
	var result GrantResult
	p.observeFetches(now)
	p.markUnthrottled(now)
	for len(p.available) > 0 {
		key := p.available[0]
		p.available = p.available[1:]
		result.Grants = p.grantFor(result.Grants, key, mayLoad, now)
	}
	if !mayLoad {
		return result
	}
	failedAdapters := map[bamboorail.AdapterKey]bool{}
	for {
		free := p.fetchLimit() - p.activeFetches(now)
		if free <= len(failedAdapters) || !p.canLoadAny(now) {
			return result
		}
		key, ok := p.waiting.mostValuable(failedAdapters, now)
		if !ok || !p.waiting.mayFetch(key, free, now) {
			return result
		}
		if p.waiting.groups[key].enqueued == 0 {
			result.Background = p.replicate(result.Background, key, now)
			continue
		}
		before := len(result.Grants)
		if result.Grants = p.grantFor(result.Grants, key, mayLoad, now); len(result.Grants) == before {
			failedAdapters[key] = true
		}
		p.available = p.available[:0]
	}
}

// replicate loads an adapter whose calls queue at full engines on a further
// engine if that serves the next call sooner.
func (p *Planner) replicate(orders [][]bamboorail.AdapterOrder, key bamboorail.AdapterKey, now time.Time) [][]bamboorail.AdapterOrder {
	r := p.waiting.placedRequest(key)
	r.Avoid = slices.Clone(r.Avoid)
	queueTime := time.Duration(0)
	for name, e := range p.engines {
		if e.adapters[key] == nil {
			continue
		}
		r.Avoid = append(r.Avoid, name)
		if cost := p.placedCost(e, r, now); p.mustWait(e, r) && (queueTime == 0 || cost < queueTime) {
			queueTime = cost
		}
	}
	p.decisions++
	best, _ := p.bestOptions(r, now)
	if !best.load || best.cost >= queueTime {
		p.waiting.groups[key].replicationRejected = true
		return orders
	}
	e := p.engines[best.name]
	load := p.startLoad(e, r, best.evict, now)
	e.adapters[key].background = true
	return append(orders, load)
}

// grantFor places the enqueued calls for one adapter.
func (p *Planner) grantFor(grants []Grant, key bamboorail.AdapterKey, mayLoad bool, now time.Time) []Grant {
	failures := 0
	for _, ref := range p.waiting.enqueuedFor(key) {
		c := p.waiting.groups[key].calls[ref]
		r := c.request
		r.Waited += now.Sub(c.lastAsked)
		if !mayLoad {
			r.Loads = LoadNever
		}
		placement, queued, ok := p.place(r, now)
		if !ok {
			if failures++; failures == maxFailedPlacements {
				break
			}
			continue
		}
		p.waiting.remove(key, ref)
		if queued && p.mayFetch(r, now) {
			p.waiting.add(r, p.fetchTime(), now)
			p.waiting.markPlaced(r)
		}
		grants = append(grants, Grant{Number: ref.number, Placement: placement})
	}
	return grants
}

// markAvailable records that an engine holds or loads an adapter, if enqueued
// calls wait for it.
func (p *Planner) markAvailable(key bamboorail.AdapterKey) {
	if g := p.waiting.groups[key]; g != nil && g.enqueued > 0 {
		p.available = append(p.available, key)
	}
}

// canLoadAny reports whether some engine could load an adapter.
func (p *Planner) canLoadAny(now time.Time) bool {
	for _, e := range p.engines {
		if p.acceptsLoads(e, now) && !e.entry.Leaving && len(e.models) > 0 && e.activeLoads(now) < p.tuning.MaxLoadsPerEngine &&
			(p.freeSlots(e, now) > 0 || p.hasVictim(e, now)) {
			return true
		}
	}
	return false
}

// NextGrantTime returns the time at which GrantWaiting is due if nothing
// changes before, and false if no call is enqueued.
func (p *Planner) NextGrantTime(now time.Time) (time.Time, bool) {
	if p.waiting.enqueued == 0 {
		return time.Time{}, false
	}
	next := p.waiting.nextExpiry()
	earlier := func(at time.Time) {
		if at.After(now) && (!next.After(now) || at.Before(next)) {
			next = at
		}
	}
	for _, e := range p.engines {
		if w := p.limitWait(e, now); w > 0 {
			earlier(now.Add(w))
		}
		for _, r := range e.adapters {
			earlier(r.readyAt)
			if r.running == 0 {
				earlier(p.evictableFrom(r))
			}
		}
	}
	return next, next.After(now)
}
