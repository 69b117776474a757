package adapters

import (
	"math"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// engine is the planner's view of one engine.
type engine struct {
	entry bamboorail.TargetEntry
	slots int
	// stateRead is set once a report was read. synced is set while the number
	// of accepted orders is certain; no orders are sent without it.
	stateRead bool
	synced    bool
	orders    uint64
	// desyncedAt is the time at which the engine became unsynced.
	desyncedAt time.Time
	models     map[string]time.Time // model to the time from which it is usable
	// modelLoad is the load of a base model, or nil. busy is set while an order is in
	// progress that excludes others.
	modelLoad *modelLoad
	busy      bool
	conflict  conflict
	// unknownOrder is set if the last order that the engine accepted is not known.
	unknownOrder bool
	// contents are the adapters that occupy slots, adapters those that calls may be placed
	// on: the contents after all planned loads.
	contents contents
	adapters map[bamboorail.AdapterKey]*adapterState
	planned  map[uint64]*plannedLoad
	cached   map[bamboorail.AdapterKey]time.Time
	running  int
	// inherited estimates the calls that run or wait at the engine and were
	// placed by an earlier holder: initially reported at reportedAt, and fewer
	// as they end.
	inherited, reported int
	reportedAt          time.Time
	suspectUntil        time.Time
	// loadsUntil is an upper bound of the ends of all active loads.
	loadsUntil time.Time
	// tokens is the memory that the open placements take.
	tokens  int
	pace    pace
	backlog backlog
	kept    *keptPrompts
	// evictionCost is the cost of evicting an adapter, as of the last update of the paces.
	evictionCost time.Duration
}

// adapterState is the state of an adapter that an engine holds or loads.
type adapterState struct {
	version int
	readyAt time.Time
	loading bool
	// planned is set until the engine accepts the load, background if no call waits for
	// its orders.
	planned, background bool
	// fetch is set for a load from the weight store; started is its start.
	fetch   bool
	started time.Time
	// late is set once the load took longer than expected, observed once its
	// duration is known. inFlight is the number of active fetches at its start.
	late, observed bool
	inFlight       int
	// confirmedAt is the last time at which the engine was known to hold the
	// adapter.
	confirmedAt time.Time
	unloading   bool
	running     int
	// usedSince is the time since which calls use the adapter without a break.
	usedSince time.Time
	lastUsed  time.Time
}

// maxEntryLag is the time after which an entry reflects what an engine holds: a
// heartbeat interval, the interval at which entries are read, and a margin.
const maxEntryLag = 4 * time.Second

// checkEntry desyncs an engine whose entry, which lags, contradicts the
// planner's state.
func (e *engine) checkEntry(now time.Time) {
	if !e.synced {
		return
	}
	for model, at := range e.models {
		if _, ok := e.entry.Models[model]; !ok && now.Sub(at) > maxEntryLag {
			e.desync(now)
		}
	}
	for key, r := range e.adapters {
		if _, ok := e.entry.Models[key.Model][key.Adapter]; !ok && !r.planned && now.Sub(r.readyAt) > maxEntryLag {
			e.desync(now)
		}
	}
}

// Sync applies a report of an engine that was asked for at the given time.
func (p *Planner) Sync(id bamboorail.TargetID, s bamboorail.EngineState, asked, now time.Time) {
	e := p.engine(id)
	if e == nil {
		return
	}
	if s.Orders < e.orders && now.Sub(e.desyncedAt) < maxStaleReportAge {
		// The report is older than an order that the engine accepted.
		return
	}
	if !e.conflict.sync(s.Orders, asked, now) {
		return
	}
	if !e.stateRead {
		e.reported, e.reportedAt = max(s.Active+s.Queued-e.running, 0), now
		p.decayInherited(e, now)
	}
	before := e.orders
	e.stateRead, e.synced, e.orders = true, true, s.Orders
	p.syncModels(e, s, asked, now)
	e.contents = e.contents.update(s, asked)
	p.markUnloading(e, before)
	e.unknownOrder = e.orders > before && !p.isUnanswered(e.entry.ID.Name, e.orders-1)
	p.rebuild(e, now)
}

// decayInherited updates the estimate of the calls of an earlier holder. Calls
// end at a rate of one in callTime each.
func (p *Planner) decayInherited(e *engine, now time.Time) {
	if e.reported == 0 {
		return
	}
	age := now.Sub(e.reportedAt)
	if p.brittle(e.entry.ID) {
		// A mean is not enough where one call too many counts.
		age = max(age-p.callTime, 0)
	}
	e.inherited = int(math.Round(float64(e.reported) * math.Exp(-float64(age)/float64(p.callTime))))
}

// extendLoadsUntil includes a load in loadsUntil.
func (e *engine) extendLoadsUntil(r *adapterState) {
	if r.loading && r.readyAt.After(e.loadsUntil) {
		e.loadsUntil = r.readyAt
	}
}

// maxReportLag is the maximum age of a report (page PROTOCOL: some hundred
// milliseconds).
const maxReportLag = 300 * time.Millisecond

// maxStaleReportAge is the time for which a report that lacks accepted orders
// is considered stale. Reports lag by some hundred milliseconds.
const maxStaleReportAge = 2 * time.Second

// Desync marks an engine as unsynced.
func (p *Planner) Desync(id bamboorail.TargetID, now time.Time) {
	if e := p.engine(id); e != nil {
		e.desync(now)
	}
}

func (e *engine) desync(now time.Time) {
	if e.synced {
		e.synced, e.desyncedAt = false, now
	}
}

// activeLoads returns the number of adapters that the engine is loading or is to load.
func (e *engine) activeLoads(now time.Time) int {
	n := len(e.planned)
	if !e.loadsUntil.After(now) {
		return n
	}
	for _, r := range e.adapters {
		if r.loading && !r.planned && r.readyAt.After(now) {
			n++
		}
	}
	return n
}

// trimCached keeps the most recently held adapters, at most limit, and those
// that the engine holds.
func (e *engine) trimCached(limit int) {
	if len(e.cached) <= limit {
		return
	}
	times := make([]time.Time, 0, len(e.cached))
	for _, at := range e.cached {
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	oldest := times[limit-1]
	for key, at := range e.cached {
		if at.Before(oldest) && e.adapters[key] == nil {
			delete(e.cached, key)
		}
	}
}
