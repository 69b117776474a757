// Package adapters decides for the engines of one availability zone which
// adapter is loaded where and which engine runs a call. It holds no locks,
// makes no calls and takes the time as an argument.
//
// It answers for many adapters of which few are busy: each adapter has a
// stable first engine, busy ones spread by demand, and the least wanted idle
// adapter makes way.
package adapters

import (
	"maps"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// Tuning are the costs that the planner weighs, and its limits.
type Tuning struct {
	// FetchTime is the time of an adapter load from the weight store that is
	// assumed at first, ReloadTime that of one which the engine held recently.
	FetchTime, ReloadTime time.Duration
	// MinFetchLimit bounds the fetches of this zone under way, or
	// FetchesPerEngine times the engines of the zone if that is more.
	MinFetchLimit    int
	FetchesPerEngine float64
	// ReplicaDemand is the decayed number of calls from which an adapter that
	// is at home in another zone is fetched into this one too.
	ReplicaDemand float64
	// MaxLoadsPerEngine bounds the adapters on their way to one engine.
	MaxLoadsPerEngine int
	// CallCost is the delay that a running call causes to the next one.
	CallCost time.Duration
	// CallTime is the time that a call takes a slot of its engine which is
	// assumed at first.
	CallTime time.Duration
	// RankCost is added for each place behind the first in an adapter's order
	// of engines.
	RankCost time.Duration
	// MinIdleTime protects an adapter from eviction after its last use.
	MinIdleTime time.Duration
	// CachedAdapters is the number of adapters that an engine reloads quickly.
	CachedAdapters int
	// OldVersionGrace is the time after its replacement in which a version is still
	// used while a new one loads.
	OldVersionGrace time.Duration
	// SuspectPeriod is the time for which an engine that failed is avoided.
	SuspectPeriod time.Duration
	// DemandHalfLife is the time in which past demand loses half its weight.
	DemandHalfLife time.Duration
}

// Planner is the state of one zone's engines.
type Planner struct {
	tuning  Tuning
	engines map[string]*engine
	sorted  []string
	demand  map[bamboorail.AdapterKey]*demand
	tickets map[uint64]ticket
	next    uint64
	// heard is the last message of each instance that reports what it holds.
	heard   map[string]time.Time
	waiting *waitlist
	// arrived are adapters that came to an engine while calls wait for them.
	arrived []bamboorail.AdapterKey
	// decisions counts the decisions about one call.
	decisions uint64
	// fetchTime and callTime follow the observed times of fetches and calls.
	fetchTime, callTime time.Duration
}

// ticket is a call that was placed and has not ended.
type ticket struct {
	id       bamboorail.TargetID
	key      bamboorail.AdapterKey
	instance string
	issued   time.Time
	// sent is the earliest time at which the call was sent to the engine. queued
	// is set if all slots of the engine were taken when it was placed.
	sent   time.Time
	queued bool
}

// Ended is a placement that was given back.
type Ended struct {
	Target bamboorail.TargetID
	Key    bamboorail.AdapterKey
	// Sent is the earliest time at which the call was sent to the engine.
	Sent time.Time
}

// NewPlanner returns a planner without engines. Its tickets follow after.
func NewPlanner(t Tuning, after uint64) *Planner {
	return &Planner{
		tuning: t, next: after, engines: map[string]*engine{}, demand: map[bamboorail.AdapterKey]*demand{}, tickets: map[uint64]ticket{},
		heard:   map[string]time.Time{},
		waiting: newWaitlist(), fetchTime: t.FetchTime, callTime: t.CallTime,
	}
}

// SetEngines takes in the engines of the zone. Engines that are gone are
// forgotten with their tickets; one that started again is new.
func (p *Planner) SetEngines(entries []bamboorail.TargetEntry, slots func(service string) int, now time.Time) {
	live := make(map[string]bool, len(entries))
	for _, e := range entries {
		live[e.ID.Name] = true
		known := p.engines[e.ID.Name]
		if known == nil || known.entry.ID != e.ID || known.entry.Address != e.Address {
			known = &engine{
				models: map[string]time.Time{}, adapters: map[bamboorail.AdapterKey]*resident{},
				atHand: map[bamboorail.AdapterKey]time.Time{},
			}
			p.engines[e.ID.Name] = known
		}
		known.entry, known.slots = e, slots(e.Service)
		known.compare(now)
	}
	for name := range p.engines {
		if !live[name] {
			delete(p.engines, name)
		}
	}
	p.sorted = slices.Sorted(maps.Keys(p.engines))
}

// SetFetches bounds the fetches of this zone under way.
func (p *Planner) SetFetches(n int) { p.tuning.MinFetchLimit = max(n, 1) }

// Unsynced returns the engines whose state must be read before they are used.
func (p *Planner) Unsynced() []bamboorail.TargetEntry {
	var list []bamboorail.TargetEntry
	for _, name := range p.names() {
		if e := p.engines[name]; !e.synced && !e.entry.Leaving {
			list = append(list, e.entry)
		}
	}
	return list
}

// Suspect keeps new calls away from an engine for a while.
func (p *Planner) Suspect(name string, now time.Time) {
	if e := p.engines[name]; e != nil {
		e.suspectTo = now.Add(p.tuning.SuspectPeriod)
	}
}

func (p *Planner) engine(id bamboorail.TargetID) *engine {
	if e := p.engines[id.Name]; e != nil && e.entry.ID == id {
		return e
	}
	return nil
}

// Request asks for an engine.
type Request struct {
	Key     bamboorail.AdapterKey
	Service string
	// Version is the newest version of the adapter, 0 if any will do, and
	// Releases the releases up to it.
	Version  int
	Releases bamboorail.ReleaseHistory
	// Avoid names engines that failed or refused the call.
	Avoid []string
	Loads LoadRule
	// Instance is the instance that asks, empty for the own one.
	Instance string
	// CallID identifies the call while it waits, Waited is the time for which
	// it has, Objective the time in which its answer is due.
	CallID    string
	Waited    time.Duration
	Objective time.Duration
	// Priority ranks the call; 0 is the most urgent.
	Priority int
}

// LoadRule states which loads a request may cause.
type LoadRule int

// The rules for loads.
const (
	// LoadFreely permits any load.
	LoadFreely LoadRule = iota
	// LoadIfWanted permits a reload of what an engine held recently, and a
	// fetch from the weight store if the zone asks for the adapter often.
	LoadIfWanted
	// LoadNever rules out engines that do not hold the adapter.
	LoadNever
)

// Placement is an answer to a request.
type Placement struct {
	Target  bamboorail.TargetEntry
	Version int
	ReadyAt time.Time
	// Ticket identifies the placement until it ends.
	Ticket uint64
	// Orders must be accepted, in this order, before the call is sent.
	Orders []bamboorail.AdapterOrder
	// Background are orders that the call does not wait for.
	Background []bamboorail.AdapterOrder
}

// Place chooses an engine. It returns false if none can take the call now; the
// call then waits for as long as it is placed again and again, or until it is
// called after Wait.
func (p *Planner) Place(r Request, now time.Time) (Placement, bool) {
	if p.mayWait(r, now) {
		p.waiting.add(r, p.fetchTime, now)
	}
	placement, queued, ok := p.place(r, now)
	switch {
	case !ok:
	case queued:
		// A call behind others at a full engine goes on to count for a while:
		// another engine with its adapter would serve those that follow sooner.
		p.waiting.place(r)
	default:
		p.waiting.leave(r.Key, callRef{id: r.CallID})
	}
	return placement, ok
}

// place chooses an engine, and reports whether the call has to wait there for
// others to end.
func (p *Planner) place(r Request, now time.Time) (placement Placement, queued, ok bool) {
	p.decisions++
	best, old := p.best(r, now)
	if best.name == "" && old.name == "" {
		return Placement{}, false, false
	}
	p.count(r.Key, now)
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
		best, placement.Background = old, orders
	} else {
		placement.Orders = orders
	}
	queued = p.engines[best.name].full()
	p.take(&placement, best.name, r, now)
	return placement, queued, true
}

// Decisions returns the number of decisions about one call so far.
func (p *Planner) Decisions() uint64 { return p.decisions }

// mayWait reports whether a fetch may be started for a call, so that the call
// counts among those that wait for one.
func (p *Planner) mayWait(r Request, now time.Time) bool {
	switch r.Loads {
	case LoadNever:
		return false
	case LoadIfWanted:
		return r.Key.Adapter != "" && p.demandOf(r.Key, now) >= p.tuning.ReplicaDemand
	case LoadFreely:
	}
	return r.Key.Adapter != ""
}

// take enters a call at an engine.
func (p *Planner) take(placement *Placement, name string, r Request, now time.Time) {
	e := p.engines[name]
	queued := e.full()
	placement.Target = e.entry
	if r.Key.Adapter != "" {
		held := e.adapters[r.Key]
		placement.Version, placement.ReadyAt = held.version, held.readyAt
		held.running++
		held.lastUsed = now
	} else if at := e.models[r.Key.Model]; at.After(now) {
		placement.ReadyAt = at
	}
	e.running++
	p.next++
	placement.Ticket = p.next
	p.tickets[p.next] = ticket{id: e.entry.ID, key: r.Key, instance: r.Instance, issued: now, sent: latest(now, placement.ReadyAt), queued: queued}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callTimeShare is the weight of one call in the observed time of calls: the
// last hundred count most.
const callTimeShare = 0.01

// Answered takes in that a call ended with an answer. Calls that waited for a
// slot do not tell how long they took it.
func (p *Planner) Answered(number uint64, now time.Time) {
	if t, ok := p.tickets[number]; ok && !t.queued {
		p.callTime += time.Duration(callTimeShare * float64(now.Sub(t.sent)-p.callTime))
	}
}

// Refused takes in that an engine was full.
func (p *Planner) Refused(c Ended, now time.Time) {
	e := p.engine(c.Target)
	if e == nil || p.late(e, c, now) {
		return
	}
	e.suspectTo = now.Add(p.tuning.FetchTime)
}

// Missing takes in that an engine refused a call because it lacks the adapter
// or, if the call asks for none, the base model.
func (p *Planner) Missing(c Ended, now time.Time) {
	e := p.engine(c.Target)
	if e == nil || p.late(e, c, now) {
		return
	}
	if r := e.adapters[c.Key]; r != nil && c.Sent.Before(r.seen) {
		// The refusal was reported late: a call that was sent later ran.
		return
	}
	if c.Key.Adapter == "" {
		delete(e.models, c.Key.Model)
	}
	delete(e.adapters, c.Key)
	e.doubt(now)
}

const (
	// earlyFactor shortens the expected time of a fetch with each one that was
	// on time; lateShare of the excess of a late one is added, at most lateStep
	// of the expected time, which 25 fetches on time make up for: one that met
	// a silent engine says nothing of the others.
	earlyFactor = 0.998
	lateShare   = 0.5
	lateStep    = 0.05
	// lateLimit times the expected time is the longest wait for a load.
	lateLimit = 4
	// latePart of the time since its start is added to a load that is late.
	latePart = 0.15
)

// late extends a load that takes longer than expected, by a call that the
// engine refused. The refusal tells of the time at which the call was sent, not
// of the time at which this planner hears of it. It returns false for an adapter
// that is not loading.
func (p *Planner) late(e *engine, c Ended, now time.Time) bool {
	r := e.adapters[c.Key]
	if r == nil || !r.loading || now.Sub(r.started) > lateLimit*p.fetchTime {
		return false
	}
	if r.readyAt.After(c.Sent) {
		return true
	}
	r.late = true
	if !r.fetch {
		// The engine does not have the adapter at hand after all.
		delete(e.atHand, c.Key)
		r.fetch = true
		r.readyAt = r.started.Add(p.fetchTime)
	}
	defer e.loads(r)
	if !r.readyAt.After(c.Sent) {
		r.readyAt = c.Sent.Add(max(p.tuning.ReloadTime, time.Duration(latePart*float64(c.Sent.Sub(r.started)))))
	}
	return true
}

// Arrived takes in that a call ran, so that its adapter is loaded.
func (p *Planner) Arrived(id bamboorail.TargetID, key bamboorail.AdapterKey, now time.Time) {
	e := p.engine(id)
	if e == nil {
		return
	}
	r := e.adapters[key]
	if r == nil {
		return
	}
	e.atHand[key], r.seen = now, now
	if !r.loading {
		return
	}
	r.loading = false
	switch {
	case !r.fetch:
	case r.late:
		excess := r.readyAt.Sub(r.started) - p.fetchTime
		p.fetchTime += time.Duration(min(lateShare*float64(excess), lateStep*float64(p.fetchTime)))
	default:
		p.fetchTime = max(time.Duration(float64(p.fetchTime)*earlyFactor), p.tuning.FetchTime/4)
	}
}

// End gives a placement back. It returns false for an unknown ticket.
func (p *Planner) End(number uint64) (Ended, bool) {
	t, ok := p.tickets[number]
	if !ok {
		return Ended{}, false
	}
	delete(p.tickets, number)
	if e := p.engine(t.id); e != nil {
		e.running = max(e.running-1, 0)
		if r := e.adapters[t.key]; r != nil {
			r.running = max(r.running-1, 0)
		}
	}
	return Ended{Target: t.id, Key: t.key, Sent: t.sent}, true
}

// Expire ends placements that were issued before a time and the demand of
// adapters that nobody asks for.
func (p *Planner) Expire(before, now time.Time) {
	for number, t := range p.tickets {
		if t.issued.Before(before) || p.silent(t.instance, now) {
			_, _ = p.End(number)
		}
	}
	for key, d := range p.demand {
		if p.decayed(d, now) < forgottenDemand {
			delete(p.demand, key)
		}
	}
	maps.DeleteFunc(p.heard, func(_ string, at time.Time) bool { return at.Before(before) })
	p.waiting.prune(now)
	for _, e := range p.engines {
		e.trimAtHand(p.tuning.CachedAdapters)
	}
}

// forgottenDemand is the decayed count below which demand is forgotten.
const forgottenDemand = 0.01

// names returns the names of the engines in order. The result is valid until
// the next SetEngines.
func (p *Planner) names() []string { return p.sorted }
