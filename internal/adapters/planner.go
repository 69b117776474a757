// Package adapters plans, for the engines of one availability zone, which
// adapters are loaded where and which engine runs a call. It is not safe for
// concurrent use, does no I/O and takes the time as an argument.
//
// It is designed for many adapters of which few are busy: each adapter has a
// stable first engine, busy adapters are replicated by demand, and the idle
// adapter with the least demand is evicted.
package adapters

import (
	"maps"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/fetchlimit"
)

// Tuning holds the costs and limits of the planner.
type Tuning struct {
	// FetchTime is the initial estimate of the time of an adapter load from the
	// weight store. ReloadShare times the learned time is the time of a load of
	// an adapter that the engine held recently.
	FetchTime   time.Duration
	ReloadShare float64
	// FetchLimit is the limit of active fetches of this zone. If it is 0, the
	// limit is learned, and is at least MinFetchLimit, and MinFetchesPerEngine
	// for each engine of the zone.
	FetchLimit, MinFetchLimit int
	MinFetchesPerEngine       float64
	// ReplicaDemand is the decayed number of calls from which an adapter whose
	// home is another zone is fetched into this one too.
	ReplicaDemand float64
	// MaxLoadsPerEngine bounds the concurrent loads of one engine.
	MaxLoadsPerEngine int
	// CallCost is the delay that a running call adds to the next one.
	CallCost time.Duration
	// CallTime is the initial estimate of the time for which a call occupies a
	// slot of its engine.
	CallTime time.Duration
	// RankCost is added for each rank after the first in an adapter's order of
	// engines.
	RankCost time.Duration
	// MinIdleTime is the time since its last use after which an adapter may be
	// evicted.
	MinIdleTime time.Duration
	// CachedAdapters is the number of adapters that an engine can reload
	// quickly.
	CachedAdapters int
	// OldVersionGrace is the time after its replacement for which a version is
	// still used while a new one loads.
	OldVersionGrace time.Duration
	// SuspectPeriod is the time for which an engine that failed is avoided.
	SuspectPeriod time.Duration
	// DemandHalfLife is the half-life of the demand counts.
	DemandHalfLife time.Duration
}

// Planner is the state of one zone's engines.
type Planner struct {
	tuning      Tuning
	engines     map[string]*engine
	sortedNames []string
	demand      map[bamboorail.AdapterKey]*demand
	tickets     map[uint64]ticket
	lastTicket  uint64
	// unanswered are the orders that engines may still carry out, by engine name.
	unanswered map[string][]unansweredOrder
	// recordsOrders is set if unanswered orders are recorded for later holders. inheritedAt is the
	// time at which those of earlier ones were read, unknownOrders the number of those that were
	// not recorded, for each engine.
	recordsOrders bool
	inheritedAt   time.Time
	unknownOrders int
	// lastPlan is the number of the last planned load.
	lastPlan uint64
	// lastContact is the time of the last message of each instance that reports
	// its open placements.
	lastContact map[string]time.Time
	waiting     *waitQueue
	// available are adapters that an engine holds or loads while enqueued calls
	// wait for them.
	available []bamboorail.AdapterKey
	// decisions counts placement decisions, each about one call.
	decisions uint64
	// fetchLimiter learns from the fetches of this zone; unobserved are those
	// that it has not learned from yet.
	fetchLimiter *fetchlimit.Limiter
	unobserved   []unobservedFetch
	// callTime is a moving average of the observed times of calls.
	callTime time.Duration
	// limits counts and limits the requests to each engine.
	limits Limits
	// brittle reports whether an engine must not be sent more calls than it has slots.
	brittle func(id bamboorail.TargetID) bool
	// memory returns the number of tokens that fit into an engine of a service, 0 if unknown.
	memory func(service string) int
	// pacesAt is the time of the last update of the paces of the engines.
	pacesAt time.Time
	// evictionCostsAt is the time of the last update of the costs of evictions.
	evictionCostsAt time.Time
}

// ticket is a placement that has not ended.
type ticket struct {
	id       bamboorail.TargetID
	key      bamboorail.AdapterKey
	instance string
	issued   time.Time
	// sent is the earliest time at which the call was sent to the engine.
	// queued is set if all slots of the engine were taken when the call was
	// placed.
	sent   time.Time
	queued bool
	work   callWork
}

// EndedPlacement is a placement that has ended.
type EndedPlacement struct {
	Target bamboorail.TargetID
	Key    bamboorail.AdapterKey
	// Sent is the earliest time at which the call was sent to the engine.
	Sent time.Time
}

// NewPlanner returns a planner without engines. Its numbers of tickets and planned loads
// start after the given one.
func NewPlanner(t Tuning, after uint64) *Planner {
	return &Planner{
		tuning: t, lastTicket: after, lastPlan: after, engines: map[string]*engine{}, demand: map[bamboorail.AdapterKey]*demand{}, tickets: map[uint64]ticket{},
		lastContact: map[string]time.Time{}, unanswered: map[string][]unansweredOrder{},
		waiting: newWaitQueue(), fetchLimiter: fetchlimit.New(t.MinFetchLimit, t.FetchTime), callTime: t.CallTime, limits: unlimited{},
		brittle: func(bamboorail.TargetID) bool { return false }, memory: func(string) int { return 0 },
	}
}

// SetEngines sets the engines of the zone. Engines that are gone are removed;
// their placements remain open until they end or expire. A restarted engine is
// treated as a new one.
func (p *Planner) SetEngines(entries []bamboorail.TargetEntry, slots func(service string) int, now time.Time) {
	live := make(map[string]bool, len(entries))
	for _, e := range entries {
		live[e.ID.Name] = true
		known := p.engines[e.ID.Name]
		if known == nil || known.entry.ID != e.ID || known.entry.Address != e.Address {
			known = &engine{
				models: map[string]time.Time{}, contents: contents{}, adapters: map[bamboorail.AdapterKey]*adapterState{},
				planned: map[uint64]*plannedLoad{}, cached: map[bamboorail.AdapterKey]time.Time{},
				kept: newKeptPrompts(),
			}
			p.pacesAt = time.Time{}
			p.engines[e.ID.Name] = known
		}
		known.entry, known.slots = e, slots(e.Service)
		known.checkEntry(now)
		known.checkModelLoad(now)
	}
	for name := range p.engines {
		if !live[name] {
			delete(p.engines, name)
		}
	}
	p.sortedNames = slices.Sorted(maps.Keys(p.engines))
	p.fetchLimiter.SetFloor(max(p.tuning.MinFetchLimit, int(p.tuning.MinFetchesPerEngine*float64(len(p.engines)))))
}

// Unsynced returns the engines whose state must be read before they receive
// orders.
func (p *Planner) Unsynced() []bamboorail.TargetEntry {
	var list []bamboorail.TargetEntry
	for _, name := range p.engineNames() {
		if e := p.engines[name]; !e.synced && !e.entry.Leaving {
			list = append(list, e.entry)
		}
	}
	return list
}

// MarkSuspect avoids an engine for new calls for SuspectPeriod.
func (p *Planner) MarkSuspect(name string, now time.Time) {
	if e := p.engines[name]; e != nil {
		e.suspectUntil = now.Add(p.tuning.SuspectPeriod)
	}
}

func (p *Planner) engine(id bamboorail.TargetID) *engine {
	if e := p.engines[id.Name]; e != nil && e.entry.ID == id {
		return e
	}
	return nil
}

// Place selects an engine. It returns false if no engine can take the call now.
// The call then competes for fetches for as long as it is placed again within
// pollTimeout, or until it is granted after Enqueue.
func (p *Planner) Place(r Request, now time.Time) (Placement, bool) {
	if p.mayFetch(r, now) {
		p.waiting.add(r, p.fetchTime(), now)
	}
	placement, queued, ok := p.place(r, now)
	switch {
	case !ok:
	case queued:
		// A call queued at a full engine still counts for a while: another
		// engine with its adapter would serve the calls after it sooner.
		p.waiting.markPlaced(r)
	default:
		p.waiting.remove(r.Key, callRef{id: r.CallID})
	}
	return placement, ok
}

// place selects an engine, and reports whether the call is queued there behind
// others.
func (p *Planner) place(r Request, now time.Time) (placement Placement, queued, ok bool) {
	p.decisions++
	best, old := p.bestOptions(r, now)
	if best.name == "" && old.name == "" {
		return Placement{}, false, false
	}
	p.recordDemand(r.Key, now)
	placement.ReadyAt = now
	var orders []bamboorail.AdapterOrder
	if best.load {
		orders = p.startLoad(p.engines[best.name], r, best.evict, now)
		if best.name == old.name {
			// The new version replaces the old one in place.
			old = option{}
		}
	}
	if old.name != "" && (best.name == "" || p.engines[best.name].adapters[r.Key].readyAt.After(now)) {
		if best.load {
			p.engines[best.name].adapters[r.Key].background = true
		}
		best, placement.Background = old, orders
	} else {
		placement.Orders = orders
	}
	queued = p.mustWait(p.engines[best.name], r)
	p.reserve(&placement, best.name, r, now)
	return placement, queued, true
}

// Decisions returns the number of placement decisions so far.
func (p *Planner) Decisions() uint64 { return p.decisions }

// mayFetch reports whether a fetch may be started for a call. Only such calls
// compete for fetches.
func (p *Planner) mayFetch(r Request, now time.Time) bool {
	switch r.Loads {
	case LoadNever:
		return false
	case LoadIfDemanded:
		return r.Key.Adapter != "" && p.demandOf(r.Key, now) >= p.tuning.ReplicaDemand
	case LoadAny:
	}
	return r.Key.Adapter != ""
}

// reserve assigns a call to an engine.
func (p *Planner) reserve(placement *Placement, name string, r Request, now time.Time) {
	e := p.engines[name]
	queued := p.mustWait(e, r)
	placement.Target = e.entry
	if r.Key.Adapter != "" {
		held := e.adapters[r.Key]
		placement.Version, placement.ReadyAt = held.version, held.readyAt
		if held.running++; held.running == 1 {
			held.usedSince = now
		}
		held.lastUsed = now
	} else if at := e.models[r.Key.Model]; at.After(now) {
		placement.ReadyAt = at
	}
	sent := latest(now, placement.ReadyAt)
	placement.KeptTokens = e.kept.tokens(r.Key, r.Prompt, now)
	work := p.recordWork(e, r, sent, now)
	e.running++
	p.limits.Record(e.entry.ID, now)
	p.lastTicket++
	placement.Ticket = p.lastTicket
	p.tickets[p.lastTicket] = ticket{id: e.entry.ID, key: r.Key, instance: r.Instance, issued: now, sent: sent, queued: queued, work: work}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// End ends a placement. It returns false for an unknown ticket.
func (p *Planner) End(number uint64) (EndedPlacement, bool) {
	t, ok := p.tickets[number]
	if !ok {
		return EndedPlacement{}, false
	}
	delete(p.tickets, number)
	if e := p.engine(t.id); e != nil {
		e.running, e.tokens = max(e.running-1, 0), max(e.tokens-t.work.tokens, 0)
		if r := e.adapters[t.key]; r != nil {
			r.running = max(r.running-1, 0)
		}
	}
	return EndedPlacement{Target: t.id, Key: t.key, Sent: t.sent}, true
}

// Expire ends placements that were issued before a time or whose instance is
// gone, and removes demand counts that have decayed.
func (p *Planner) Expire(before, now time.Time) {
	for number, t := range p.tickets {
		if t.issued.Before(before) || p.isUnresponsive(t.instance, now) {
			_, _ = p.End(number)
		}
	}
	for key, d := range p.demand {
		if p.decayed(d, now) < minDemand {
			delete(p.demand, key)
		}
	}
	maps.DeleteFunc(p.lastContact, func(_ string, at time.Time) bool { return at.Before(before) })
	p.expireUnanswered(now)
	p.waiting.prune(now)
	for _, e := range p.engines {
		p.decayInherited(e, now)
		e.trimCached(p.tuning.CachedAdapters)
	}
}

// minDemand is the decayed count below which a demand count is removed.
const minDemand = 0.01

// engineNames returns the sorted names of the engines. The result is valid
// until the next SetEngines.
func (p *Planner) engineNames() []string { return p.sortedNames }
