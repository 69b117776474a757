package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// startLoad records an adapter as loading, after evicting another one if evict
// is set, and returns the orders.
func (p *Planner) startLoad(e *engine, r Request, evict bool, now time.Time) []bamboorail.AdapterOrder {
	var orders []bamboorail.AdapterOrder
	if evict {
		if victim, ok := p.victim(e, now); ok {
			orders = append(orders, bamboorail.AdapterOrder{Target: e.entry.ID, Address: e.entry.Address, Unload: true, Key: victim})
			delete(e.adapters, victim)
		}
	}
	orders = append(orders, bamboorail.AdapterOrder{Target: e.entry.ID, Address: e.entry.Address, Key: r.Key, Version: r.Version})
	running := 0
	if old := e.adapters[r.Key]; old != nil {
		running = old.running
	}
	e.adapters[r.Key] = p.newLoadingAdapter(e, r.Key, r.Version, now)
	e.adapters[r.Key].running, e.adapters[r.Key].usedSince = running, now
	if e.adapters[r.Key].fetch {
		p.trackFetch(e, r.Key, e.adapters[r.Key], now)
	}
	p.waiting.loadStarted(r.Key, e.entry.Slots)
	p.markAvailable(r.Key)
	return orders
}

// RecordOrder records that an engine accepted an order as its next one.
func (p *Planner) RecordOrder(o bamboorail.AdapterOrder, now time.Time) {
	e := p.engine(o.Target)
	if e == nil || !e.synced {
		return
	}
	e.orders = o.Orders + 1
	if r := e.adapters[o.Key]; r != nil && !o.Unload && r.loading && !r.late && !r.observed {
		// The load begins now, not when it was decided.
		delay := now.Sub(r.started)
		r.started, r.readyAt = now, r.readyAt.Add(delay)
		e.extendLoadsUntil(r)
	}
	if !o.Unload && o.Key.Adapter != "" && e.adapters[o.Key] == nil {
		e.adapters[o.Key] = p.newLoadingAdapter(e, o.Key, o.Version, now)
		p.markAvailable(o.Key)
	}
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

// HasFreeSlot reports whether an engine has a free slot for an adapter, or
// holds the adapter already.
func (p *Planner) HasFreeSlot(id bamboorail.TargetID, key bamboorail.AdapterKey) bool {
	e := p.engine(id)
	if e == nil {
		return false
	}
	taken := len(e.adapters)
	if e.adapters[key] != nil {
		taken--
	}
	return key.Adapter == "" || taken < e.slots
}

// Room returns the number of adapters that an engine is taken to hold, and its slots.
func (p *Planner) Room(id bamboorail.TargetID) (taken, slots int) {
	if e := p.engine(id); e != nil {
		return len(e.adapters), e.slots
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

// LoadFailed removes an adapter whose load was not accepted.
func (p *Planner) LoadFailed(id bamboorail.TargetID, key bamboorail.AdapterKey) {
	if e := p.engine(id); e != nil {
		if r := e.adapters[key]; r != nil && r.loading {
			delete(e.adapters, key)
		}
	}
}

// Evict evicts an adapter again after its unload was rejected because the
// engine's state had changed. It reports whether the engine holds the adapter,
// and whether no call uses it; the adapter is removed only then.
func (p *Planner) Evict(id bamboorail.TargetID, key bamboorail.AdapterKey) (held, idle bool) {
	e := p.engine(id)
	if e == nil || e.adapters[key] == nil {
		return false, false
	}
	if e.adapters[key].running > 0 {
		return true, false
	}
	delete(e.adapters, key)
	return true, true
}

// RecordUnloading records an adapter that the engine keeps until the calls that
// use it have ended.
func (p *Planner) RecordUnloading(id bamboorail.TargetID, key bamboorail.AdapterKey, now time.Time) {
	if e := p.engine(id); e != nil {
		e.adapters[key] = &adapterState{unloading: true, readyAt: now}
	}
}

// ModelLoads returns at most limit orders that load base models on engines
// without one.
func (p *Planner) ModelLoads(models func(service string) []bamboorail.ModelSpec, limit int, now time.Time) []bamboorail.AdapterOrder {
	var orders []bamboorail.AdapterOrder
	for _, name := range p.engineNames() {
		e := p.engines[name]
		if len(orders) >= limit || !e.synced || e.entry.Leaving || len(e.models) > 0 {
			continue
		}
		list := models(e.entry.Service)
		if len(list) == 0 {
			continue
		}
		e.models[list[0].Name] = now.Add(list[0].LoadTime)
		p.markAvailable(bamboorail.AdapterKey{Model: list[0].Name})
		orders = append(orders, bamboorail.AdapterOrder{
			Target: e.entry.ID, Address: e.entry.Address, Key: bamboorail.AdapterKey{Model: list[0].Name},
		})
	}
	return orders
}

// ModelLoadFailed removes a base model whose load was not accepted.
func (p *Planner) ModelLoadFailed(id bamboorail.TargetID, model string) {
	if e := p.engine(id); e != nil {
		delete(e.models, model)
	}
}
