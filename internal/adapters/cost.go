package adapters

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
)

// option is an engine that could run a call, with the expected time until the
// call starts.
type option struct {
	name string
	cost time.Duration
	// wait is the part of the cost in which the call waits before its prompt is read.
	wait time.Duration
	load bool
	// evict is set if another adapter must be evicted first.
	evict bool
}

// requestContext holds values that are the same for all engines of a request.
// Each is computed on first use.
type requestContext struct {
	ranks         func() map[string]int
	mayStartFetch func() bool
}

func (p *Planner) newRequestContext(r Request, now time.Time) *requestContext {
	return &requestContext{
		ranks: sync.OnceValue(func() map[string]int { return p.ranks(r) }),
		mayStartFetch: sync.OnceValue(func() bool {
			free := p.fetchLimit() - p.activeFetches(now)
			return p.waiting.mayFetch(r.Key, free, now)
		}),
	}
}

// bestOptions returns the cheapest option, and the cheapest one that uses the
// previous version of the adapter while the new one is not loaded. An option
// without a name does not exist.
func (p *Planner) bestOptions(r Request, now time.Time) (best, old option) {
	q := p.newRequestContext(r, now)
	if r.isMeasured() {
		p.refreshPaces(now)
	}
	for _, name := range p.engineNames() {
		e := p.engines[name]
		if !p.isEligible(name, e, r, now) {
			continue
		}
		if o, ok := p.option(name, e, r, q, now); ok {
			best = p.cheaper(best, o, r, now)
		}
		if o, ok := p.oldVersion(name, e, r, now); ok {
			old = p.cheaper(old, o, r, now)
		}
	}
	return best, old
}

// isEligible reports whether an engine may be sent a call now.
func (p *Planner) isEligible(name string, e *engine, r Request, now time.Time) bool {
	return e.usable(r) && !slices.Contains(r.Avoid, name) && p.limitWait(e, now) <= 0 && p.hasRoom(e, r)
}

// cheaper returns the cheaper one of two options, of which the second one lacks the cost of
// its work.
func (p *Planner) cheaper(best, o option, r Request, now time.Time) option {
	if best.name != "" && o.cost >= best.cost {
		return best
	}
	if r.isMeasured() {
		o.cost += p.workCost(p.engines[o.name], r, o.wait, now)
		if best.name != "" && o.cost >= best.cost {
			return best
		}
	}
	return o
}

// oldVersion returns the option to use a version that was replaced within the
// grace period, at an engine with a free slot: in a queue, the call may begin after the
// period in which the version may be used.
func (p *Planner) oldVersion(name string, e *engine, r Request, now time.Time) (option, bool) {
	held := e.adapters[r.Key]
	if r.Key.Adapter == "" || held == nil || held.unloading || held.loading || held.version >= r.Version ||
		r.Releases.OutdatedFor(held.version, now) >= p.tuning.OldVersionGrace || p.mustWait(e, r) {
		return option{}, false
	}
	return option{name: name, cost: p.queueCost(e, r, now)}, true
}

func (e *engine) usable(r Request) bool {
	if e.entry.Leaving || !e.stateRead || e.entry.Service != r.Service || r.Software != "" && e.entry.Software != r.Software {
		return false
	}
	_, loaded := e.models[r.Key.Model]
	return loaded
}

// option returns the cost of running the call on an engine.
func (p *Planner) option(name string, e *engine, r Request, q *requestContext, now time.Time) (option, bool) {
	wait := p.queueWait(e, r)
	o := option{name: name, cost: p.queueCost(e, r, now), wait: wait}
	if !r.canWait(wait, now) {
		return o, false
	}
	if at := e.models[r.Key.Model]; at.After(now) {
		o.cost += at.Sub(now)
		o.wait += at.Sub(now)
	}
	if r.Key.Adapter == "" {
		return o, true
	}
	held := e.adapters[r.Key]
	if held != nil && !held.unloading && held.version >= r.Version {
		if held.readyAt.After(now) {
			o.cost += held.readyAt.Sub(now)
			o.wait += held.readyAt.Sub(now)
		}
		// A load that no call waits for may wait for others before it is ordered.
		return o, !held.background
	}
	return p.loadOption(o, e, r, q, now)
}

// loadOption returns the cost of loading the adapter on an engine first.
func (p *Planner) loadOption(o option, e *engine, r Request, q *requestContext, now time.Time) (option, bool) {
	held := e.adapters[r.Key]
	if held != nil && (held.planned || held.unloading || held.running > 0 || p.mayBeLoading(held, now)) {
		// The old version is unloaded first, which waits until the calls that use it
		// have ended.
		return o, false
	}
	if !p.acceptsLoads(e, now) || e.activeLoads(now) >= p.tuning.MaxLoadsPerEngine || !p.isLoadAllowed(e, r, q, now) {
		return o, false
	}
	o.load = true
	load := p.loadTime(e, r.Key)
	o.cost += load + p.placeCost(e, r, q.ranks()[o.name])
	o.wait += load
	if p.isLimited(e) {
		o.cost += limitedLoadCost
	}
	if held == nil && p.freeSlots(e, now) <= 0 {
		o.evict = true
		if r.isMeasured() {
			o.cost += e.evictionCost
		}
		return o, p.hasVictim(e, now)
	}
	return o, true
}

// hasVictim reports whether an adapter can be evicted.
func (p *Planner) hasVictim(e *engine, now time.Time) bool {
	for _, r := range e.adapters {
		if p.isIdle(r, now) {
			return true
		}
	}
	return false
}

// isIdle reports whether no call uses an adapter or waits for it.
func (p *Planner) isIdle(r *adapterState, now time.Time) bool {
	return r.running == 0 && !r.planned && !r.unloading && !p.evictableFrom(r).After(now)
}

// evictableFrom returns the time from which an adapter that no call uses may be evicted. Unless
// a call or a report shows that it was loaded, it may still be on its way.
func (p *Planner) evictableFrom(r *adapterState) time.Time {
	at := latest(r.readyAt, r.lastUsed.Add(p.tuning.MinIdleTime))
	if r.loading {
		at = latest(at, p.loadEnd(r))
	}
	return at
}

// loadEnd returns the latest end of a load.
func (p *Planner) loadEnd(r *adapterState) time.Time {
	return r.started.Add(maxLoadFactor * p.fetchTime())
}

// mayBeLoading reports whether neither a call nor a report has shown the end of a load.
func (p *Planner) mayBeLoading(r *adapterState, now time.Time) bool {
	return r.loading && p.loadEnd(r).After(now)
}

// isLoadAllowed reports whether a request may cause a load on an engine.
func (p *Planner) isLoadAllowed(e *engine, r Request, q *requestContext, now time.Time) bool {
	switch r.Loads {
	case LoadNever:
		return false
	case LoadIfDemanded:
		if _, cached := e.cached[r.Key]; !cached && p.demandOf(r.Key, now) < p.tuning.ReplicaDemand {
			return false
		}
	case LoadAny:
	}
	if _, cached := e.cached[r.Key]; cached {
		return true
	}
	return q.mayStartFetch()
}

// Obstacles reports why no engine could take a call.
type Obstacles struct {
	// Engines counts the engines with the base model. Of these, Unsynced
	// engines accept no load orders, AtLoadLimit engines load as many adapters
	// as they may, and NoFreeSlot engines hold no adapter that can be evicted.
	Engines, Unsynced, AtLoadLimit, NoFreeSlot int
	// Throttled engines have had the requests that they take for now.
	Throttled int
	// ActiveFetches of FetchLimit fetches are active; AdaptersAhead adapters
	// have precedence.
	ActiveFetches, FetchLimit, AdaptersAhead int
}

// String returns the obstacles in one line.
func (o Obstacles) String() string {
	return fmt.Sprintf("%d engines: %d unsynced, %d throttled, %d at load limit, %d without a free adapter slot; %d of %d fetches active, %d adapters ahead",
		o.Engines, o.Unsynced, o.Throttled, o.AtLoadLimit, o.NoFreeSlot, o.ActiveFetches, o.FetchLimit, o.AdaptersAhead)
}

// Obstacles returns why a call was not placed.
func (p *Planner) Obstacles(r Request, now time.Time) Obstacles {
	o := Obstacles{ActiveFetches: p.activeFetches(now), FetchLimit: p.fetchLimit(), AdaptersAhead: p.waiting.adaptersAhead(r.Key, len(p.waiting.list), now)}
	for _, e := range p.engines {
		switch {
		case !e.usable(r):
			continue
		case !p.acceptsLoads(e, now):
			o.Unsynced++
		case p.limitWait(e, now) > 0:
			o.Throttled++
		case e.activeLoads(now) >= p.tuning.MaxLoadsPerEngine:
			o.AtLoadLimit++
		case p.freeSlots(e, now) <= 0 && !p.hasVictim(e, now):
			o.NoFreeSlot++
		}
		o.Engines++
	}
	return o
}

// queueCost returns the expected wait for the first token behind the calls of
// an engine. Running calls slow the engine down.
func (p *Planner) queueCost(e *engine, r Request, now time.Time) time.Duration {
	calls := e.calls()
	cost := time.Duration(calls)*p.tuning.CallCost + p.queueWait(e, r) + p.preemptionCost(e, r)
	if highLoad := e.entry.Slots * highLoadPercent / 100; e.entry.Slots > 0 && calls >= highLoad {
		cost += time.Duration(calls-highLoad+1) * highLoadFactor * p.tuning.CallCost
	}
	if now.Before(e.suspectUntil) {
		cost += suspectCost
	}
	return cost
}

// queueWait returns the expected wait for a slot and memory. If all slots are taken, the
// call waits until one call has ended for each call ahead of it.
func (p *Planner) queueWait(e *engine, r Request) time.Duration {
	wait := p.memoryWait(e, r)
	if e.isFull() {
		wait = max(wait, time.Duration(e.calls()-e.entry.Slots+1)*p.callTime/time.Duration(e.entry.Slots))
	}
	return wait
}

// mustWait reports whether a call has to wait at an engine until another one ends.
func (p *Planner) mustWait(e *engine, r Request) bool { return e.isFull() || p.memoryWait(e, r) > 0 }

// calls returns the number of calls that run or wait at the engine.
func (e *engine) calls() int { return e.running + e.inherited }

// isFull reports whether the next call has to wait until another one ends.
func (e *engine) isFull() bool { return e.entry.Slots > 0 && e.calls() >= e.entry.Slots }

const (
	// highLoadPercent is the share of an engine's slots above which a call
	// costs highLoadFactor times as much more, so that a busy adapter is loaded
	// on another engine before its calls have to wait for slots.
	highLoadPercent = 75
	highLoadFactor  = 10
)

// suspectCost makes a suspected engine the last choice.
const suspectCost = time.Hour

// loadTime returns the expected time of a load that starts now.
func (p *Planner) loadTime(e *engine, key bamboorail.AdapterKey) time.Duration {
	if _, ok := e.cached[key]; ok {
		return p.reloadTime()
	}
	return p.fetchTime()
}

// ranks returns the rank of each engine in the adapter's rendezvous hash order,
// which is the same for every holder.
func (p *Planner) ranks(r Request) map[string]int {
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, 0, len(p.engines))
	for name, e := range p.engines {
		if e.entry.Service == r.Service && !e.entry.Leaving {
			list = append(list, ranked{name, rendezvousWeight(name, r.Key)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	ranks := make(map[string]int, len(list))
	for i, item := range list {
		ranks[item.name] = i
	}
	return ranks
}

// HomeZone returns the zone in which an adapter is loaded first.
func HomeZone(zones []string, key bamboorail.AdapterKey) string {
	best, most := "", uint64(0)
	for _, zone := range zones {
		if w := rendezvousWeight(zone, key); best == "" || w > most {
			best, most = zone, w
		}
	}
	return best
}

func rendezvousWeight(engine string, key bamboorail.AdapterKey) uint64 {
	return xxhash.Sum64String(engine + "/" + key.Model + "/" + key.Adapter)
}

// victim returns the idle adapter with the least demand.
func (p *Planner) victim(e *engine, now time.Time) (bamboorail.AdapterKey, bool) {
	best, least := bamboorail.AdapterKey{}, math.Inf(1)
	for key, r := range e.adapters {
		if !p.isIdle(r, now) {
			continue
		}
		if d := p.demandOf(key, now); d < least || (d == least && key.Adapter < best.Adapter) {
			best, least = key, d
		}
	}
	return best, !math.IsInf(least, 1)
}
