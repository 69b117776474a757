// Package adapters decides for the engines of one availability zone which
// adapter is loaded where and which engine runs a call. It holds no locks,
// makes no calls and takes the time as an argument.
//
// It answers for many adapters of which few are busy: each adapter has a
// stable first engine, busy ones spread by demand, and the least wanted idle
// adapter makes way.
package adapters

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
)

// Tuning are the costs that the planner weighs, and its limits.
type Tuning struct {
	// FetchTime is the time of an adapter load from the weight store,
	// ReloadTime that of one which the engine held recently.
	FetchTime, ReloadTime time.Duration
	// FetchesAtOnce is the number of fetches of this zone that the weight
	// store carries at full speed.
	FetchesAtOnce float64
	// ReplicaDemand is the decayed number of calls from which an adapter that
	// is at home in another zone is fetched into this one too.
	ReplicaDemand float64
	// LoadsPerEngine bounds the adapters on their way to one engine.
	LoadsPerEngine int
	// CallCost is the delay that a running call causes to the next one.
	CallCost time.Duration
	// RankCost is added for each place behind the first in an adapter's order
	// of engines.
	RankCost time.Duration
	// KeepIdle protects an adapter from eviction after its last use.
	KeepIdle time.Duration
	// AtHand is the number of adapters that an engine reloads quickly.
	AtHand int
	// OldVersion is the time after a release in which the previous version is
	// still used while the new one loads.
	OldVersion time.Duration
	// Suspicion is the time for which an engine that failed is avoided.
	Suspicion time.Duration
	// DemandHalfLife is the time in which past demand loses half its weight.
	DemandHalfLife time.Duration
}

// Planner is the state of one zone's engines.
type Planner struct {
	tuning  Tuning
	engines map[string]*engine
	demand  map[bamboorail.AdapterKey]*demand
	tickets map[uint64]ticket
	next    uint64
	// fetchedBy is the time at which the weight store has carried the fetches
	// of this zone, if it carries an equal share for each zone.
	fetchedBy time.Time
}

type engine struct {
	entry  bamboorail.TargetEntry
	slots  int
	synced bool
	orders uint64
	// doubted is the time at which the state came into doubt.
	doubted   time.Time
	models    map[string]time.Time // model to the time from which it is usable
	adapters  map[bamboorail.AdapterKey]*resident
	atHand    map[bamboorail.AdapterKey]time.Time
	running   int
	suspectTo time.Time
}

// resident is an adapter that an engine holds or loads.
type resident struct {
	version  int
	readyAt  time.Time
	loading  bool
	leaving  bool
	running  int
	lastUsed time.Time
}

// demand counts calls for an adapter; the count decays.
type demand struct {
	count float64
	at    time.Time
}

// ticket is a call that was placed and has not ended.
type ticket struct {
	engine   string
	id       bamboorail.TargetID
	key      bamboorail.AdapterKey
	instance string
	issued   time.Time
}

// NewPlanner returns a planner without engines. Its tickets follow after.
func NewPlanner(t Tuning, after uint64) *Planner {
	return &Planner{
		tuning: t, next: after, engines: map[string]*engine{}, demand: map[bamboorail.AdapterKey]*demand{}, tickets: map[uint64]ticket{},
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
	e.synced, e.orders = true, s.Orders
	models := map[string]time.Time{}
	residents := map[bamboorail.AdapterKey]*resident{}
	for model, list := range s.Models {
		models[model] = now
		for name, version := range list {
			key := bamboorail.AdapterKey{Model: model, Adapter: name}
			r := &resident{version: version, readyAt: now}
			if old := e.adapters[key]; old != nil {
				r.running, r.lastUsed = old.running, old.lastUsed
			}
			residents[key] = r
			e.atHand[key] = now
		}
	}
	for _, key := range s.Pending {
		if residents[key] == nil {
			residents[key] = &resident{readyAt: now.Add(p.tuning.FetchTime), loading: true, lastUsed: now}
		}
	}
	e.models, e.adapters = models, residents
}

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

// Suspect keeps new calls away from an engine for a while.
func (p *Planner) Suspect(name string, now time.Time) {
	if e := p.engines[name]; e != nil {
		e.suspectTo = now.Add(p.tuning.Suspicion)
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
	// Released the time at which it was learned.
	Version  int
	Released time.Time
	// Avoid names engines that failed or refused the call.
	Avoid []string
	// Instance is the instance that sends the call.
	Instance string
	Loads    LoadRule
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

// option is an engine that could take a call, with the expected time to the
// start of the call.
type option struct {
	name   string
	cost   time.Duration
	load   bool
	victim *bamboorail.AdapterKey
}

// Place chooses an engine. It returns false if none can take the call now.
func (p *Planner) Place(r Request, now time.Time) (Placement, bool) {
	p.count(r.Key, now)
	best, old := p.best(r, now)
	if best == nil && old == nil {
		return Placement{}, false
	}
	var orders []bamboorail.AdapterOrder
	if best != nil && best.load {
		orders = p.startLoad(p.engines[best.name], r, best.victim, now)
	}
	placement := Placement{ReadyAt: now, Orders: orders}
	if old != nil && best != nil && best.load && best.name == old.name {
		// The new version replaces the old one in place.
		old = nil
	}
	if old != nil && (best == nil || p.engines[best.name].adapters[r.Key].readyAt.After(now)) {
		best = old
		placement.Orders, placement.Background = nil, orders
	}
	e := p.engines[best.name]
	placement.Target = e.entry
	if r.Key.Adapter != "" {
		held := e.adapters[r.Key]
		placement.Version, placement.ReadyAt = held.version, held.readyAt
		held.running++
		held.lastUsed = now
		e.atHand[r.Key] = now
	} else if at := e.models[r.Key.Model]; at.After(now) {
		placement.ReadyAt = at
	}
	e.running++
	p.next++
	placement.Ticket = p.next
	p.tickets[p.next] = ticket{engine: best.name, id: e.entry.ID, key: r.Key, instance: r.Instance, issued: now}
	return placement, true
}

// startLoad makes room for an adapter and enters it as loading.
func (p *Planner) startLoad(e *engine, r Request, victim *bamboorail.AdapterKey, now time.Time) []bamboorail.AdapterOrder {
	var orders []bamboorail.AdapterOrder
	if victim != nil {
		orders = append(orders, bamboorail.AdapterOrder{Target: e.entry.ID, Address: e.entry.Address, Unload: true, Key: *victim})
		delete(e.adapters, *victim)
	}
	orders = append(orders, bamboorail.AdapterOrder{Target: e.entry.ID, Address: e.entry.Address, Key: r.Key, Version: r.Version})
	running := 0
	if old := e.adapters[r.Key]; old != nil {
		running = old.running
	}
	e.adapters[r.Key] = &resident{version: r.Version, readyAt: now.Add(p.loadTime(e, r.Key, now)), loading: true, running: running}
	if _, atHand := e.atHand[r.Key]; !atHand {
		p.countFetch(now)
	}
	return orders
}

// best returns the cheapest option, and the one that uses the previous
// version of the adapter while the new one is not loaded.
func (p *Planner) best(r Request, now time.Time) (best, old *option) {
	for _, name := range p.names() {
		e := p.engines[name]
		if !e.usable(r) || slices.Contains(r.Avoid, name) {
			continue
		}
		if o, ok := p.option(name, e, r, now); ok && (best == nil || o.cost < best.cost) {
			best = &o
		}
		if o, ok := p.oldVersion(name, e, r, now); ok && (old == nil || o.cost < old.cost) {
			old = &o
		}
	}
	return best, old
}

// oldVersion returns the option to use a version that was replaced a short
// time ago.
func (p *Planner) oldVersion(name string, e *engine, r Request, now time.Time) (option, bool) {
	held := e.adapters[r.Key]
	if r.Key.Adapter == "" || held == nil || held.leaving || held.loading || held.version >= r.Version ||
		now.Sub(r.Released) >= p.tuning.OldVersion {
		return option{}, false
	}
	return option{name: name, cost: p.queueCost(e, now)}, true
}

func (e *engine) usable(r Request) bool {
	if e.entry.Leaving || !e.synced || e.entry.Service != r.Service {
		return false
	}
	_, loaded := e.models[r.Key.Model]
	return loaded
}

// option returns the cost of running the call at an engine.
func (p *Planner) option(name string, e *engine, r Request, now time.Time) (option, bool) {
	o := option{name: name, cost: p.queueCost(e, now)}
	if at := e.models[r.Key.Model]; at.After(now) {
		o.cost += at.Sub(now)
	}
	if r.Key.Adapter == "" {
		return o, true
	}
	held := e.adapters[r.Key]
	if held != nil && !held.leaving && held.version >= r.Version {
		if held.readyAt.After(now) {
			o.cost += held.readyAt.Sub(now)
		}
		return o, true
	}
	if held != nil && (held.leaving || held.running > 0) {
		// A replacement waits for the runs of the old version.
		return o, false
	}
	if !p.mayLoad(e, r, now) {
		return o, false
	}
	o.load = true
	o.cost += p.loadTime(e, r.Key, now) + time.Duration(p.rank(name, r))*p.tuning.RankCost
	if e.loading(now) >= p.tuning.LoadsPerEngine {
		return o, false
	}
	if held == nil && len(e.adapters) >= e.slots {
		victim, ok := p.victim(e, now)
		if !ok {
			return o, false
		}
		o.victim = &victim
	}
	return o, true
}

// mayLoad reports whether a request may cause a load at an engine.
func (p *Planner) mayLoad(e *engine, r Request, now time.Time) bool {
	switch r.Loads {
	case LoadNever:
		return false
	case LoadIfWanted:
		_, atHand := e.atHand[r.Key]
		return atHand || p.demandOf(r.Key, now) >= p.tuning.ReplicaDemand
	case LoadFreely:
	}
	return true
}

// queueCost is the expected wait for the first token behind running calls.
func (p *Planner) queueCost(e *engine, now time.Time) time.Duration {
	cost := time.Duration(e.running) * p.tuning.CallCost
	if slots := e.entry.Slots; slots > 0 && e.running >= slots {
		// Calls beyond the batch wait for others to end.
		cost += time.Duration(e.running-slots+1) * 10 * p.tuning.CallCost
	}
	if now.Before(e.suspectTo) {
		cost += suspectCost
	}
	return cost
}

// suspectCost makes a suspected engine the last choice.
const suspectCost = time.Hour

func (p *Planner) loadTime(e *engine, key bamboorail.AdapterKey, now time.Time) time.Duration {
	if _, ok := e.atHand[key]; ok {
		return p.tuning.ReloadTime
	}
	backlog := max(p.fetchedBy.Sub(now), 0).Seconds() / p.fetchGap().Seconds()
	congestion := max(1, (backlog+1)/p.tuning.FetchesAtOnce)
	return time.Duration(float64(p.tuning.FetchTime) * congestion)
}

// fetchGap is the time that the weight store needs for each fetch of this
// zone when it is busy.
func (p *Planner) fetchGap() time.Duration {
	return time.Duration(float64(p.tuning.FetchTime) / p.tuning.FetchesAtOnce)
}

// countFetch adds a fetch to the backlog of the weight store.
func (p *Planner) countFetch(now time.Time) {
	if p.fetchedBy.Before(now) {
		p.fetchedBy = now
	}
	p.fetchedBy = p.fetchedBy.Add(p.fetchGap())
}

// loading returns the number of adapters on their way to the engine.
func (e *engine) loading(now time.Time) int {
	n := 0
	for _, r := range e.adapters {
		if r.loading && r.readyAt.After(now) {
			n++
		}
	}
	return n
}

// rank returns the place of an engine in the adapter's own order of engines.
func (p *Planner) rank(name string, r Request) int {
	own := weight(name, r.Key)
	rank := 0
	for other, e := range p.engines {
		if other != name && e.entry.Service == r.Service && !e.entry.Leaving && weight(other, r.Key) > own {
			rank++
		}
	}
	return rank
}

// Home returns the zone in which an adapter is loaded first.
func Home(zones []string, key bamboorail.AdapterKey) string {
	best, most := "", uint64(0)
	for _, zone := range zones {
		if w := weight(zone, key); best == "" || w > most {
			best, most = zone, w
		}
	}
	return best
}

func weight(engine string, key bamboorail.AdapterKey) uint64 {
	return xxhash.Sum64String(engine + "/" + key.Model + "/" + key.Adapter)
}

// victim returns the idle adapter with the least demand.
func (p *Planner) victim(e *engine, now time.Time) (bamboorail.AdapterKey, bool) {
	best, least := bamboorail.AdapterKey{}, math.Inf(1)
	for key, r := range e.adapters {
		if r.running > 0 || r.leaving || r.readyAt.After(now) || now.Sub(r.lastUsed) < p.tuning.KeepIdle {
			continue
		}
		if d := p.demandOf(key, now); d < least || (d == least && key.Adapter < best.Adapter) {
			best, least = key, d
		}
	}
	return best, !math.IsInf(least, 1)
}

func (p *Planner) count(key bamboorail.AdapterKey, now time.Time) {
	d := p.demand[key]
	if d == nil {
		d = &demand{}
		p.demand[key] = d
	}
	d.count, d.at = p.decayed(d, now)+1, now
}

func (p *Planner) demandOf(key bamboorail.AdapterKey, now time.Time) float64 {
	if d := p.demand[key]; d != nil {
		return p.decayed(d, now)
	}
	return 0
}

func (p *Planner) decayed(d *demand, now time.Time) float64 {
	return d.count * math.Exp2(-now.Sub(d.at).Seconds()/p.tuning.DemandHalfLife.Seconds())
}

// Ordered takes in that an engine accepted an order as its next one.
func (p *Planner) Ordered(o bamboorail.AdapterOrder, now time.Time) {
	e := p.engine(o.Target)
	if e == nil || !e.synced {
		return
	}
	e.orders = o.Orders + 1
	if !o.Unload && o.Key.Adapter != "" && e.adapters[o.Key] == nil {
		e.adapters[o.Key] = &resident{version: o.Version, readyAt: now.Add(p.loadTime(e, o.Key, now)), loading: true, lastUsed: now}
	}
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

// Unloading enters an adapter that the engine keeps until its runs have ended.
func (p *Planner) Unloading(id bamboorail.TargetID, key bamboorail.AdapterKey, now time.Time) {
	if e := p.engine(id); e != nil {
		e.adapters[key] = &resident{leaving: true, readyAt: now}
	}
}

// Refused takes in that an engine was full or still loads the adapter.
func (p *Planner) Refused(id bamboorail.TargetID, key bamboorail.AdapterKey, now time.Time) {
	e := p.engine(id)
	if e == nil {
		return
	}
	if r := e.adapters[key]; r != nil && r.loading {
		r.readyAt = now.Add(p.tuning.ReloadTime)
		return
	}
	e.suspectTo = now.Add(p.tuning.FetchTime)
}

// Missing takes in that an engine refused a call for an adapter that it was
// thought to hold. It reports whether the engine's state is now in doubt.
func (p *Planner) Missing(id bamboorail.TargetID, key bamboorail.AdapterKey, now time.Time) bool {
	e := p.engine(id)
	if e == nil {
		return false
	}
	r := e.adapters[key]
	if r == nil {
		return false
	}
	if r.loading && now.Sub(r.readyAt) < p.tuning.FetchTime {
		// The load takes longer than expected.
		r.readyAt = now.Add(p.tuning.ReloadTime)
		return false
	}
	e.doubt(now)
	return true
}

// Arrived takes in that a call ran, so that its adapter is loaded.
func (p *Planner) Arrived(id bamboorail.TargetID, key bamboorail.AdapterKey) {
	if e := p.engine(id); e != nil {
		if r := e.adapters[key]; r != nil {
			r.loading = false
		}
	}
}

// End gives a placement back and returns its engine and adapter. It returns
// false for an unknown ticket.
func (p *Planner) End(number uint64) (bamboorail.TargetID, bamboorail.AdapterKey, bool) {
	t, ok := p.tickets[number]
	if !ok {
		return bamboorail.TargetID{}, bamboorail.AdapterKey{}, false
	}
	delete(p.tickets, number)
	if e := p.engine(t.id); e != nil {
		e.running = max(e.running-1, 0)
		if r := e.adapters[t.key]; r != nil {
			r.running = max(r.running-1, 0)
		}
	}
	return t.id, t.key, true
}

// Expire ends placements that were issued before a time and the demand of
// adapters that nobody asks for.
func (p *Planner) Expire(before, now time.Time) {
	for number, t := range p.tickets {
		if t.issued.Before(before) {
			_, _, _ = p.End(number)
		}
	}
	for key, d := range p.demand {
		if p.decayed(d, now) < forgottenDemand {
			delete(p.demand, key)
		}
	}
	for _, e := range p.engines {
		e.trimAtHand(p.tuning.AtHand)
	}
}

// forgottenDemand is the decayed count below which demand is forgotten.
const forgottenDemand = 0.01

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

func (p *Planner) names() []string {
	names := make([]string, 0, len(p.engines))
	for name := range p.engines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
