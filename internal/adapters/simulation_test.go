package adapters

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// callClass is a class of calls in the simulation.
type callClass struct {
	name      string
	share     float64
	priority  int
	objective time.Duration
	// callerTimeout is the time after which a caller that has received no event
	// leaves.
	callerTimeout time.Duration
	// prefill is the time to the first event, events the mean number of events.
	prefill time.Duration
	events  float64
}

// Parameters of the grown archive (page LATER): 140 engines in three zones, 12
// slots and 8 adapters each, and 10,000 adapters with a Zipf distribution.
const (
	archiveZones        = 3
	archiveEngines      = 47
	archiveSlots        = 12
	archiveAdapterSlots = 8
	archiveAdapters     = 10000
	archiveZipf         = 1.2
	// archiveRate is the number of engine calls per second on the day scale-2.
	archiveRate = 521
	archiveStep = 42 * time.Millisecond // four tokens, one event
	archiveLoad = 390 * time.Millisecond
	// lateScore is the score of a late answer relative to one on time.
	lateScore = 0.3
)

func archiveClasses() []callClass {
	return []callClass{
		{"reader-summary", 0.57, 2, 800 * time.Millisecond, 3200 * time.Millisecond, 76 * time.Millisecond, 43},
		{"warning-draft", 0.08, 1, time.Second, 4 * time.Second, 76 * time.Millisecond, 43},
		{"tag-suggest", 0.35, 0, 600 * time.Millisecond, 2400 * time.Millisecond, 34 * time.Millisecond, 17},
	}
}

// simEngine is an engine with a priority queue.
type simEngine struct {
	holds   map[bamboorail.AdapterKey]time.Time
	running int
	queue   []*simCall
}

type simCall struct {
	class    *callClass
	request  Request
	zone     int
	received time.Time
	service  time.Duration
	sends    int
	done     bool
	// start starts the call on the engine where it is queued; release gives up
	// its place in the queue.
	start, release func()
}

// callerOutcomes counts the outcomes of the callers of a class.
// abandonedInQueue counts callers that left while their call was queued for a
// slot.
type callerOutcomes struct{ all, onTime, late, refused, abandoned, abandonedInQueue int }

func (o callerOutcomes) score() float64 {
	return (float64(o.onTime) + lateScore*float64(o.late)) / float64(max(o.all, 1))
}

// simulation runs calls against planners and engines in virtual time.
type simulation struct {
	tb          testing.TB
	now         time.Time
	events      eventHeap
	zones       []*Planner
	names       []string
	engines     map[string]*simEngine
	results     map[string]*callerOutcomes
	measureFrom time.Time
	// decision is the processor time of one placement decision. busyUntil,
	// nextGrant and waiting are the end of the holder's current work, the time
	// of its next GrantWaiting, and its enqueued calls, by zone.
	decision             time.Duration
	busyUntil, nextGrant []time.Time
	waiting              []map[uint64]func(Placement)
	// storeLimit is the number of fetches that the weight store serves at full
	// speed, 0 for any number; fetching is the number of those in progress.
	storeLimit, fetching int
}

func (l *simulation) after(d time.Duration, run func()) {
	heap.Push(&l.events, event{l.now.Add(max(d, 0)), len(l.events), run})
}

func newSimulation(tb testing.TB, t Tuning) *simulation {
	l := &simulation{tb: tb, now: start, engines: map[string]*simEngine{}, results: map[string]*callerOutcomes{}, measureFrom: start}
	for z := range archiveZones {
		p := NewPlanner(t, 0)
		var entries []bamboorail.TargetEntry
		for n := range archiveEngines {
			id := bamboorail.TargetID{Name: fmt.Sprintf("z%d-e%d", z, n), StartMillis: 1}
			entries = append(entries, bamboorail.TargetEntry{ID: id, Service: "s", Address: "a", Slots: archiveSlots})
			l.engines[id.Name] = &simEngine{holds: map[bamboorail.AdapterKey]time.Time{}}
		}
		p.SetEngines(entries, func(string) int { return archiveAdapterSlots }, start)
		for _, e := range entries {
			p.Sync(e.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start, start)
		}
		l.zones, l.names = append(l.zones, p), append(l.names, fmt.Sprintf("z%d", z))
		l.busyUntil, l.nextGrant = append(l.busyUntil, start), append(l.nextGrant, start)
		l.waiting = append(l.waiting, map[uint64]func(Placement){})
	}
	return l
}

// run generates calls for the given time and continues until all have ended.
// Calls during the warm-up, when no adapters are loaded yet, are not counted.
func (l *simulation) run(classes []callClass, seed uint64, warmUp, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	l.measureFrom = start.Add(warmUp)
	end := start.Add(length)
	sums := make([]float64, archiveAdapters)
	total := 0.0
	for n := range sums {
		total += math.Pow(float64(n+1), -archiveZipf)
		sums[n] = total
	}
	for at, n := start, 0; at.Before(end); n++ {
		at = at.Add(time.Duration(random.ExpFloat64() / archiveRate * float64(time.Second)))
		draw, kind := random.Float64(), &classes[0]
		for i := range classes {
			if kind = &classes[i]; draw < kind.share {
				break
			}
			draw -= kind.share
		}
		adapter, _ := slices.BinarySearch(sums, random.Float64()*total)
		c := &simCall{
			class: kind, zone: random.IntN(archiveZones), received: at,
			service: kind.prefill + time.Duration(kind.events*random.ExpFloat64()*float64(archiveStep)),
			request: Request{
				Key: bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", adapter)}, Service: "s",
				CallID: fmt.Sprint(n), Objective: kind.objective, Priority: kind.priority,
			},
		}
		heap.Push(&l.events, event{at, n, func() { l.receive(c) }})
	}
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

func (l *simulation) receive(c *simCall) {
	l.after(c.class.callerTimeout, func() {
		counter := &l.result(c).abandoned
		if c.release != nil {
			counter = &l.result(c).abandonedInQueue
		}
		l.finish(c, counter)
	})
	l.askHolders(c, 0, l.now)
}

func (l *simulation) result(c *simCall) *callerOutcomes {
	o := l.results[c.class.name]
	if o == nil {
		o = &callerOutcomes{}
		l.results[c.class.name] = o
	}
	return o
}

// finish counts the outcome of a call, once.
func (l *simulation) finish(c *simCall, counter *int) {
	if c.done {
		return
	}
	c.done = true
	if c.release != nil {
		c.release()
	}
	if c.received.After(l.measureFrom) {
		*counter++
		l.result(c).all++
	}
}

// decide runs a decision of a zone's holder once its processor is free, and
// grants the calls that it makes possible.
func (l *simulation) decide(zone int, f func(p *Planner)) {
	if l.busyUntil[zone].After(l.now) {
		l.after(l.busyUntil[zone].Sub(l.now), func() { l.decide(zone, f) })
		return
	}
	p := l.zones[zone]
	before := p.Decisions()
	f(p)
	result := p.GrantWaiting(true, l.now)
	for _, orders := range result.Background {
		l.accept(p, Placement{Orders: orders})
	}
	for _, g := range result.Grants {
		if grant := l.waiting[zone][g.Number]; grant != nil {
			delete(l.waiting[zone], g.Number)
			grant(g.Placement)
		}
	}
	l.busyUntil[zone] = l.now.Add(time.Duration(1+p.Decisions()-before) * l.decision)
	next, ok := p.NextGrantTime(l.now)
	if ok && (!l.nextGrant[zone].After(l.now) || next.Before(l.nextGrant[zone])) {
		l.nextGrant[zone] = next
		l.after(next.Sub(l.now), func() { l.decide(zone, func(*Planner) {}) })
	}
}

// holderQueries returns the zones to query and the load policy of each query,
// in the order of placer.Chooser.
func (l *simulation) holderQueries(c *simCall) (zones []int, policies []LoadPolicy) {
	home := slices.Index(l.names, HomeZone(l.names, c.request.Key))
	zones, policies = []int{home}, []LoadPolicy{LoadAny}
	if home != c.zone {
		zones, policies = []int{c.zone, home}, []LoadPolicy{LoadIfDemanded, LoadAny}
	}
	for z := range l.zones {
		if z != home {
			zones, policies = append(zones, z), append(policies, LoadAny)
		}
	}
	return zones, policies
}

// askHolders queries the holders one after the other; round is the time of the
// first query.
func (l *simulation) askHolders(c *simCall, query int, round time.Time) {
	const retryDelay = 300 * time.Millisecond
	if c.done {
		return
	}
	zones, policies := l.holderQueries(c)
	if query < len(zones) {
		zone, policy := zones[query], policies[query]
		l.decide(zone, func(p *Planner) { l.askHolder(c, p, zone, policy, query, round) })
		return
	}
	retryAfter := max(round.Add(retryDelay).Sub(l.now), 0)
	if l.now.Add(retryAfter).Sub(c.received) > c.class.callerTimeout*8/10 {
		l.finish(c, &l.result(c).refused)
		return
	}
	l.after(retryAfter, func() { l.askHolders(c, 0, l.now) })
}

// askHolder queries one holder, which may keep the call waiting for a while.
func (l *simulation) askHolder(c *simCall, p *Planner, zone int, policy LoadPolicy, query int, round time.Time) {
	const maxPlaceWait = 350 * time.Millisecond
	if c.done {
		return
	}
	r := c.request
	r.Loads, r.Waited = policy, l.now.Sub(c.received)
	placed := func(got Placement) {
		l.accept(p, got)
		l.after(got.ReadyAt.Sub(l.now), func() { l.send(c, p, got) })
	}
	if got, ok := p.Place(r, l.now); ok {
		placed(got)
		return
	}
	number, ok := uint64(0), false
	if policy == LoadAny {
		number, ok = p.Enqueue(r, l.now)
	}
	if !ok {
		p.Withdraw(r)
		l.askHolders(c, query+1, round)
		return
	}
	l.waiting[zone][number] = placed
	l.after(maxPlaceWait, func() {
		if l.waiting[zone][number] == nil {
			return
		}
		delete(l.waiting[zone], number)
		p.CancelWait(r, number)
		l.askHolders(c, query+1, round)
	})
}

func (l *simulation) accept(p *Planner, got Placement) {
	for _, o := range got.Orders {
		o.Orders, _ = p.OrderNumber(o.Target)
		p.RecordOrder(o, l.now)
		e := l.engines[o.Target.Name]
		if o.Unload {
			delete(e.holds, o.Key)
			continue
		}
		took := p.reloadTime()
		if p.engine(o.Target).adapters[o.Key].fetch {
			took = l.fetch()
		}
		e.holds[o.Key] = l.now.Add(took)
	}
}

// fetch starts a fetch and returns its duration.
func (l *simulation) fetch() time.Duration {
	l.fetching++
	took := archiveLoad
	if l.storeLimit > 0 && l.fetching > l.storeLimit {
		took = took * time.Duration(l.fetching) / time.Duration(l.storeLimit)
	}
	l.after(took, func() { l.fetching-- })
	return took
}

// send sends a call to an engine, which refuses it if the adapter is missing.
func (l *simulation) send(c *simCall, p *Planner, got Placement) {
	const maxSends = 4
	e := l.engines[got.Target.ID.Name]
	if at, ok := e.holds[c.request.Key]; !c.done && (!ok || at.After(l.now)) {
		l.decide(slices.Index(l.zones, p), func(p *Planner) {
			ended, _ := p.End(got.Ticket)
			p.RecordMissing(ended, l.now)
		})
		if c.sends++; c.sends == maxSends {
			l.finish(c, &l.result(c).refused)
			return
		}
		l.askHolders(c, 0, l.now)
		return
	}
	e.queue = append(e.queue, c)
	c.release = func() { p.End(got.Ticket) }
	c.start = func() { l.runCall(c, p, got, e) }
	l.admit(e)
}

// admit starts the most urgent queued calls while slots are free.
func (l *simulation) admit(e *simEngine) {
	for e.running < archiveSlots {
		e.queue = slices.DeleteFunc(e.queue, func(c *simCall) bool { return c.done })
		if len(e.queue) == 0 {
			return
		}
		first := 0
		for i, c := range e.queue {
			if c.class.priority < e.queue[first].class.priority {
				first = i
			}
		}
		c := e.queue[first]
		e.queue = slices.Delete(e.queue, first, first+1)
		c.start()
	}
}

// runCall runs a call; its holder learns of the end with the next report.
func (l *simulation) runCall(c *simCall, p *Planner, got Placement, e *simEngine) {
	const reportDelay = 100 * time.Millisecond
	e.running++
	c.release = nil
	l.after(c.class.prefill, func() {
		counter := &l.result(c).onTime
		if l.now.Sub(c.received) > c.class.objective {
			counter = &l.result(c).late
		}
		l.finish(c, counter)
	})
	l.after(c.service, func() {
		e.running--
		l.admit(e)
		l.after(reportDelay, func() {
			l.decide(slices.Index(l.zones, p), func(p *Planner) {
				p.RecordAnswer(got.Ticket, l.now)
				p.End(got.Ticket)
				p.RecordLoaded(got.Target.ID, c.request.Key, l.now)
			})
		})
	})
}
