package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// plannedLoad is a load that was decided and that the engine has not accepted. It reserves
// its slot until its last order is accepted or it is canceled.
type plannedLoad struct {
	key   bamboorail.AdapterKey
	state *adapterState
	// evicted is unloaded first. evictedState is its state, nil if nothing is unloaded or
	// the engine has done so.
	evicted      bamboorail.AdapterKey
	evictedState *adapterState
}

// startLoad plans the load of an adapter, after evicting another one if evict is set, and
// returns the orders.
func (p *Planner) startLoad(e *engine, r Request, evict bool, now time.Time) []bamboorail.AdapterOrder {
	p.lastPlan++
	l := &plannedLoad{key: r.Key}
	order := bamboorail.AdapterOrder{Target: e.entry.ID, Address: e.entry.Address, Key: r.Key, Version: r.Version, Plan: p.lastPlan}
	var orders []bamboorail.AdapterOrder
	// An old version is unloaded first: one that is replaced in place occupies a second slot.
	victim, ok := r.Key, e.adapters[r.Key] != nil
	if !ok && evict {
		victim, ok = p.victim(e, now)
	}
	if ok {
		unload := order
		unload.Unload, unload.Key, unload.Version = true, victim, 0
		orders = append(orders, unload)
		l.evicted, l.evictedState = victim, e.adapters[victim]
		delete(e.adapters, victim)
	}
	l.state = p.newLoadingAdapter(e, r.Key, r.Version, now)
	l.state.planned, l.state.usedSince = true, now
	e.adapters[r.Key], e.planned[p.lastPlan] = l.state, l
	if l.state.fetch {
		p.trackFetch(e, r.Key, l.state, now)
	}
	if r.isMeasured() {
		p.refreshEvictionCost(e, now)
	}
	p.waiting.loadStarted(r.Key, e.entry.Slots)
	p.markAvailable(r.Key)
	return append(orders, order)
}

// newLoadingAdapter returns the state of an adapter whose load starts now.
func (p *Planner) newLoadingAdapter(e *engine, key bamboorail.AdapterKey, version int, now time.Time) *adapterState {
	_, cached := e.cached[key]
	r := &adapterState{
		version: version, readyAt: now.Add(p.loadTime(e, key)), started: now, loading: true, fetch: !cached, lastUsed: now,
	}
	e.extendLoadsUntil(r)
	return r
}

// CancelLoad withdraws the load that an order belongs to. What was to be evicted for it is
// used again.
func (p *Planner) CancelLoad(o bamboorail.AdapterOrder, now time.Time) {
	e := p.engine(o.Target)
	if e == nil || e.planned[o.Plan] == nil {
		return
	}
	l := e.planned[o.Plan]
	delete(e.planned, o.Plan)
	if e.adapters[l.key] == l.state {
		delete(e.adapters, l.key)
	}
	p.restoreEvicted(e, l)
	p.restoreHeld(e, l.key, now)
}

// restoreEvicted makes an adapter that was not evicted after all available.
func (p *Planner) restoreEvicted(e *engine, l *plannedLoad) {
	if l.evictedState == nil || e.adapters[l.evicted] != nil {
		return
	}
	if _, held := e.contents[l.evicted]; held {
		e.adapters[l.evicted] = l.evictedState
		p.markAvailable(l.evicted)
	}
}

// restoreHeld makes an adapter available that the engine holds and whose load was canceled.
func (p *Planner) restoreHeld(e *engine, key bamboorail.AdapterKey, now time.Time) {
	if c, held := e.contents[key]; held && e.adapters[key] == nil {
		e.adapters[key] = p.stateOf(e, key, c, nil, now)
		p.markAvailable(key)
	}
}

// stateOf returns the state of an adapter that occupies a slot, after its former state.
func (p *Planner) stateOf(e *engine, key bamboorail.AdapterKey, c content, old *adapterState, now time.Time) *adapterState {
	if c.loading && old != nil && old.loading && !old.planned {
		return old
	}
	r := &adapterState{version: c.version, readyAt: now, unloading: c.unloading}
	if c.loading {
		r.readyAt, r.started, r.loading, r.fetch, r.lastUsed = now.Add(p.fetchTime()), now, true, true, now
	} else {
		r.confirmedAt = now
	}
	if old != nil {
		r.running, r.usedSince, r.lastUsed = old.running, old.usedSince, old.lastUsed
	} else if r.running = p.openCalls(e.entry.ID, key); r.running > 0 {
		r.usedSince, r.lastUsed = now, now
	}
	return r
}

// openCalls returns the number of placements on an adapter of an engine.
func (p *Planner) openCalls(id bamboorail.TargetID, key bamboorail.AdapterKey) int {
	n := 0
	for _, t := range p.tickets {
		if t.id == id && t.key == key {
			n++
		}
	}
	return n
}

// rebuild derives the planner's view of an engine from its contents and the planned loads.
func (p *Planner) rebuild(e *engine, now time.Time) {
	states := make(map[bamboorail.AdapterKey]*adapterState, len(e.contents)+len(e.planned))
	for key, c := range e.contents {
		states[key] = p.stateOf(e, key, c, e.adapters[key], now)
		if !c.loading {
			e.cached[key] = now
		}
		p.markAvailable(key)
	}
	for _, l := range e.planned {
		if l.evictedState != nil {
			delete(states, l.evicted)
		}
	}
	for _, l := range e.planned {
		states[l.key] = l.state
	}
	e.adapters = states
	for _, r := range states {
		e.extendLoadsUntil(r)
	}
}
