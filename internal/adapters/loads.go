package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// startLoad makes room for an adapter and enters it as loading.
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
	e.adapters[r.Key] = p.newResident(e, r.Key, r.Version, now)
	e.adapters[r.Key].running = running
	p.waiting.started(r.Key, e.entry.Slots)
	p.arrive(r.Key)
	return orders
}

// Ordered takes in that an engine accepted an order as its next one.
func (p *Planner) Ordered(o bamboorail.AdapterOrder, now time.Time) {
	e := p.engine(o.Target)
	if e == nil || !e.synced {
		return
	}
	e.orders = o.Orders + 1
	if !o.Unload && o.Key.Adapter != "" && e.adapters[o.Key] == nil {
		e.adapters[o.Key] = p.newResident(e, o.Key, o.Version, now)
		p.arrive(o.Key)
	}
}

// newResident returns an adapter whose load starts now.
func (p *Planner) newResident(e *engine, key bamboorail.AdapterKey, version int, now time.Time) *resident {
	_, atHand := e.atHand[key]
	r := &resident{
		version: version, readyAt: now.Add(p.loadTime(e, key)), started: now, loading: true, fetch: !atHand, lastUsed: now,
	}
	e.loads(r)
	return r
}

// HasRoom reports whether an engine has a place for an adapter.
func (p *Planner) HasRoom(id bamboorail.TargetID, key bamboorail.AdapterKey) bool {
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

// OrderNumber returns the number of orders that an engine has accepted, and
// false if it is in doubt.
func (p *Planner) OrderNumber(id bamboorail.TargetID) (uint64, bool) {
	if e := p.engine(id); e != nil {
		return e.orders, e.synced
	}
	return 0, false
}

// LoadFailed forgets an adapter whose load was not accepted.
func (p *Planner) LoadFailed(id bamboorail.TargetID, key bamboorail.AdapterKey) {
	if e := p.engine(id); e != nil {
		if r := e.adapters[key]; r != nil && r.loading {
			delete(e.adapters, key)
		}
	}
}

// Evict takes an adapter out once more, for an unload that met another state
// of its engine. It reports whether the engine holds the adapter at all, and
// whether no call runs with it; only then the adapter is taken out.
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

// Unloading enters an adapter that the engine keeps until its runs have ended.
func (p *Planner) Unloading(id bamboorail.TargetID, key bamboorail.AdapterKey, now time.Time) {
	if e := p.engine(id); e != nil {
		e.adapters[key] = &resident{leaving: true, readyAt: now}
	}
}

// ModelLoads returns the orders that bring base models to engines without
// one, at most limit.
func (p *Planner) ModelLoads(models func(service string) []bamboorail.ModelSpec, limit int, now time.Time) []bamboorail.AdapterOrder {
	var orders []bamboorail.AdapterOrder
	for _, name := range p.names() {
		e := p.engines[name]
		if len(orders) >= limit || !e.synced || e.entry.Leaving || len(e.models) > 0 {
			continue
		}
		list := models(e.entry.Service)
		if len(list) == 0 {
			continue
		}
		e.models[list[0].Name] = now.Add(list[0].LoadTime)
		p.arrive(bamboorail.AdapterKey{Model: list[0].Name})
		orders = append(orders, bamboorail.AdapterOrder{
			Target: e.entry.ID, Address: e.entry.Address, Key: bamboorail.AdapterKey{Model: list[0].Name},
		})
	}
	return orders
}

// ModelFailed forgets a base model whose load was not accepted.
func (p *Planner) ModelFailed(id bamboorail.TargetID, model string) {
	if e := p.engine(id); e != nil {
		delete(e.models, model)
	}
}
