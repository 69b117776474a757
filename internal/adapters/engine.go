package adapters

import (
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// engine is what the planner knows of one engine.
type engine struct {
	entry bamboorail.TargetEntry
	slots int
	// known is set once a report was read; synced while the number of accepted
	// orders is certain, without which nothing is ordered.
	known  bool
	synced bool
	orders uint64
	// doubted is the time at which the state came into doubt.
	doubted   time.Time
	models    map[string]time.Time // model to the time from which it is usable
	adapters  map[bamboorail.AdapterKey]*resident
	atHand    map[bamboorail.AdapterKey]time.Time
	running   int
	suspectTo time.Time
	// loadsUntil is not before the end of any load under way.
	loadsUntil time.Time
}

// resident is an adapter that an engine holds or loads.
type resident struct {
	version int
	readyAt time.Time
	loading bool
	// fetch is set for a load from the weight store, started at started.
	fetch   bool
	started time.Time
	// late is set once the load took longer than expected.
	late bool
	// seen is the last time at which the engine proved to hold the adapter.
	seen     time.Time
	leaving  bool
	running  int
	lastUsed time.Time
}

// settled is the time after which an entry shows what an engine holds: a
// heartbeat, the pace at which entries are read, and a margin.
const settled = 4 * time.Second

// compare corrects the state of an engine by its entry, which lags.
func (e *engine) compare(now time.Time) {
	if !e.synced {
		return
	}
	for model, at := range e.models {
		if _, ok := e.entry.Models[model]; !ok && now.Sub(at) > settled {
			e.doubt(now)
		}
	}
	for key, r := range e.adapters {
		if _, ok := e.entry.Models[key.Model][key.Adapter]; !ok && now.Sub(r.readyAt) > settled {
			e.doubt(now)
		}
	}
}

// Sync takes in the report of an engine.
func (p *Planner) Sync(id bamboorail.TargetID, s bamboorail.EngineState, now time.Time) {
	e := p.engine(id)
	if e == nil {
		return
	}
	if s.Orders < e.orders && now.Sub(e.doubted) < staleReport {
		// The report is older than an order that the engine accepted.
		return
	}
	e.known, e.synced, e.orders = true, true, s.Orders
	models := map[string]time.Time{}
	residents := map[bamboorail.AdapterKey]*resident{}
	for model, list := range s.Models {
		models[model] = now
		p.arrive(bamboorail.AdapterKey{Model: model})
		for name, version := range list {
			key := bamboorail.AdapterKey{Model: model, Adapter: name}
			r := &resident{version: version, readyAt: now, seen: now}
			if old := e.adapters[key]; old != nil {
				r.running, r.lastUsed = old.running, old.lastUsed
			}
			residents[key] = r
			e.atHand[key] = now
			p.arrive(key)
		}
	}
	for _, key := range s.Pending {
		if residents[key] == nil {
			residents[key] = &resident{readyAt: now.Add(p.fetchTime), started: now, loading: true, fetch: true, lastUsed: now}
		}
	}
	for key, old := range e.adapters {
		// A load that was accepted after the report is not in it yet.
		if residents[key] == nil && old.loading && now.Sub(old.started) < reportLag {
			residents[key] = old
		}
	}
	e.models, e.adapters = models, residents
	for _, r := range residents {
		e.loads(r)
	}
}

// loads notes when an adapter is loaded.
func (e *engine) loads(r *resident) {
	if r.loading && r.readyAt.After(e.loadsUntil) {
		e.loadsUntil = r.readyAt
	}
}

// reportLag is the time by which a report may be old (page PROTOCOL: some
// hundred milliseconds).
const reportLag = 300 * time.Millisecond

// staleReport is the time for which a report that lacks accepted orders is
// taken to be old; reports lag by some hundred milliseconds.
const staleReport = 2 * time.Second

// Desync marks an engine whose state is in doubt.
func (p *Planner) Desync(id bamboorail.TargetID, now time.Time) {
	if e := p.engine(id); e != nil {
		e.doubt(now)
	}
}

func (e *engine) doubt(now time.Time) {
	if e.synced {
		e.synced, e.doubted = false, now
	}
}

// loading returns the number of adapters on their way to the engine.
func (e *engine) loading(now time.Time) int {
	n := 0
	if !e.loadsUntil.After(now) {
		return n
	}
	for _, r := range e.adapters {
		if r.loading && r.readyAt.After(now) {
			n++
		}
	}
	return n
}

// trimAtHand keeps the adapters that were held last.
func (e *engine) trimAtHand(limit int) {
	if len(e.atHand) <= limit {
		return
	}
	times := make([]time.Time, 0, len(e.atHand))
	for _, at := range e.atHand {
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	oldest := times[limit-1]
	for key, at := range e.atHand {
		if at.Before(oldest) && e.adapters[key] == nil {
			delete(e.atHand, key)
		}
	}
}
