package adapters

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// class is a kind of call in a simulated load.
type class struct {
	name      string
	share     float64
	priority  int
	objective time.Duration
	// patience is the time after which a caller without a first event leaves.
	patience time.Duration
	// prefill is the time to the first event, events the mean number of them.
	prefill time.Duration
	events  float64
}

// archive is the load of the grown archive (page LATER): 140 engines in three
// zones, 12 slots and 8 adapters each, 10,000 adapters by Zipf's law.
const (
	archiveZones   = 3
	archiveEngines = 47
	archiveSlots   = 12
	archiveRoom    = 8
	archiveKeys    = 10000
	archiveZipf    = 1.2
	// archiveRate is the calls a second of engines on the day scale-2.
	archiveRate = 521
	archiveStep = 42 * time.Millisecond // four tokens, one event
	archiveLoad = 390 * time.Millisecond
	// lateWorth is the worth of a late answer against one on time.
	lateWorth = 0.3
)

func archiveClasses() []class {
	return []class{
		{"reader-summary", 0.57, 2, 800 * time.Millisecond, 3200 * time.Millisecond, 76 * time.Millisecond, 43},
		{"warning-draft", 0.08, 1, time.Second, 4 * time.Second, 76 * time.Millisecond, 43},
		{"tag-suggest", 0.35, 0, 600 * time.Millisecond, 2400 * time.Millisecond, 34 * time.Millisecond, 17},
	}
}

// loadedEngine is an engine with a queue by priority.
type loadedEngine struct {
	holds   map[bamboorail.AdapterKey]time.Time
	running int
	queue   []*loadedCall
}

type loadedCall struct {
	class    *class
	request  Request
	zone     int
	received time.Time
	service  time.Duration
	sends    int
	done     bool
	// run starts the call at the engine where it is queued, leave gives its
	// place there back.
	run, leave func()
}

// outcome counts what the callers of a class got; queued are those that left
// while their call waited for a slot.
type outcome struct{ all, onTime, late, refused, left, queued int }

func (o outcome) worth() float64 {
	return (float64(o.onTime) + lateWorth*float64(o.late)) / float64(max(o.all, 1))
}

// load plays calls against planners and engines in virtual time.
type load struct {
	tb      testing.TB
	now     time.Time
	events  eventHeap
	zones   []*Planner
	names   []string
	engines map[string]*loadedEngine
	results map[string]*outcome
	from    time.Time
	// decision is the time that a holder takes for one decision; busy, due and
	// waiting are those of its processor, its next look and its calls, by zone.
	decision  time.Duration
	busy, due []time.Time
	waiting   []map[uint64]func(Placement)
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (l *load) after(d time.Duration, run func()) {
	heap.Push(&l.events, event{l.now.Add(max(d, 0)), len(l.events), run})
}

func newLoad(tb testing.TB, t Tuning) *load {
	l := &load{tb: tb, now: start, engines: map[string]*loadedEngine{}, results: map[string]*outcome{}, from: start}
	for z := range archiveZones {
		p := NewPlanner(t, 0)
		var entries []bamboorail.TargetEntry
		for n := range archiveEngines {
			id := bamboorail.TargetID{Name: fmt.Sprintf("z%d-e%d", z, n), StartMillis: 1}
			entries = append(entries, bamboorail.TargetEntry{ID: id, Service: "s", Address: "a", Slots: archiveSlots})
			l.engines[id.Name] = &loadedEngine{holds: map[bamboorail.AdapterKey]time.Time{}}
		}
		p.SetEngines(entries, func(string) int { return archiveRoom }, start)
		for _, e := range entries {
			p.Sync(e.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start)
		}
		l.zones, l.names = append(l.zones, p), append(l.names, fmt.Sprintf("z%d", z))
		l.busy, l.due = append(l.busy, start), append(l.due, start)
		l.waiting = append(l.waiting, map[uint64]func(Placement){})
	}
	return l
}

// play sends calls for a time and goes on until all have ended; those of the
// first seconds, in which no adapter is loaded, are not counted.
func (l *load) play(classes []class, seed uint64, warm, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	l.from = start.Add(warm)
	end := start.Add(length)
	sums := make([]float64, archiveKeys)
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
		c := &loadedCall{
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

func (l *load) receive(c *loadedCall) {
	l.after(c.class.patience, func() {
		counter := &l.result(c).left
		if c.leave != nil {
			counter = &l.result(c).queued
		}
		l.finish(c, counter)
	})
	l.choose(c, 0, l.now)
}

func (l *load) result(c *loadedCall) *outcome {
	o := l.results[c.class.name]
	if o == nil {
		o = &outcome{}
		l.results[c.class.name] = o
	}
	return o
}

// finish counts what a caller got, once.
func (l *load) finish(c *loadedCall, counter *int) {
	if c.done {
		return
	}
	c.done = true
	if c.leave != nil {
		c.leave()
	}
	if c.received.After(l.from) {
		*counter++
		l.result(c).all++
	}
}

// decide runs a decision of a zone's holder once its processor is free, and has
// the calls that it serves called.
func (l *load) decide(zone int, f func(p *Planner)) {
	if l.busy[zone].After(l.now) {
		l.after(l.busy[zone].Sub(l.now), func() { l.decide(zone, f) })
		return
	}
	p := l.zones[zone]
	before := p.Decisions()
	f(p)
	c := p.Call(true, l.now)
	for _, orders := range c.Background {
		l.accept(p, Placement{Orders: orders})
	}
	for _, g := range c.Grants {
		if called := l.waiting[zone][g.Number]; called != nil {
			delete(l.waiting[zone], g.Number)
			called(g.Placement)
		}
	}
	l.busy[zone] = l.now.Add(time.Duration(1+p.Decisions()-before) * l.decision)
	next, ok := p.NextCall(l.now)
	if ok && (!l.due[zone].After(l.now) || next.Before(l.due[zone])) {
		l.due[zone] = next
		l.after(next.Sub(l.now), func() { l.decide(zone, func(*Planner) {}) })
	}
}

// questions returns the zones to ask and what they may load, in the order of
// the placer's chooser.
func (l *load) questions(c *loadedCall) (zones []int, rules []LoadRule) {
	home := slices.Index(l.names, Home(l.names, c.request.Key))
	zones, rules = []int{home}, []LoadRule{LoadFreely}
	if home != c.zone {
		zones, rules = []int{c.zone, home}, []LoadRule{LoadIfWanted, LoadFreely}
	}
	for z := range l.zones {
		if z != home {
			zones, rules = append(zones, z), append(rules, LoadFreely)
		}
	}
	return zones, rules
}

// choose asks the holders one after the other; round is the time at which the
// first of them was asked.
func (l *load) choose(c *loadedCall, question int, round time.Time) {
	const pause = 300 * time.Millisecond
	if c.done {
		return
	}
	zones, rules := l.questions(c)
	if question < len(zones) {
		zone, rule := zones[question], rules[question]
		l.decide(zone, func(p *Planner) { l.ask(c, p, zone, rule, question, round) })
		return
	}
	again := max(round.Add(pause).Sub(l.now), 0)
	if l.now.Add(again).Sub(c.received) > c.class.patience*8/10 {
		l.finish(c, &l.result(c).refused)
		return
	}
	l.after(again, func() { l.choose(c, 0, l.now) })
}

// ask asks one holder, which has the call wait for a while.
func (l *load) ask(c *loadedCall, p *Planner, zone int, rule LoadRule, question int, round time.Time) {
	const longest = 350 * time.Millisecond
	if c.done {
		return
	}
	r := c.request
	r.Loads, r.Waited = rule, l.now.Sub(c.received)
	placed := func(got Placement) {
		l.accept(p, got)
		l.after(got.ReadyAt.Sub(l.now), func() { l.send(c, p, got) })
	}
	if got, ok := p.Place(r, l.now); ok {
		placed(got)
		return
	}
	number, ok := uint64(0), false
	if rule == LoadFreely {
		number, ok = p.Wait(r, l.now)
	}
	if !ok {
		p.Refuse(r)
		l.choose(c, question+1, round)
		return
	}
	l.waiting[zone][number] = placed
	l.after(longest, func() {
		if l.waiting[zone][number] == nil {
			return
		}
		delete(l.waiting[zone], number)
		p.Leave(r, number)
		l.choose(c, question+1, round)
	})
}

func (l *load) accept(p *Planner, got Placement) {
	for _, o := range got.Orders {
		o.Orders, _ = p.OrderNumber(o.Target)
		p.Ordered(o, l.now)
		e := l.engines[o.Target.Name]
		if o.Unload {
			delete(e.holds, o.Key)
			continue
		}
		took := archiveLoad
		if !p.engine(o.Target).adapters[o.Key].fetch {
			took = p.tuning.ReloadTime
		}
		e.holds[o.Key] = l.now.Add(took)
	}
}

// send hands a call to an engine, which refuses it if the adapter is missing.
func (l *load) send(c *loadedCall, p *Planner, got Placement) {
	const most = 4
	e := l.engines[got.Target.ID.Name]
	if at, ok := e.holds[c.request.Key]; !c.done && (!ok || at.After(l.now)) {
		l.decide(slices.Index(l.zones, p), func(p *Planner) {
			ended, _ := p.End(got.Ticket)
			p.Missing(ended, l.now)
		})
		if c.sends++; c.sends == most {
			l.finish(c, &l.result(c).refused)
			return
		}
		l.choose(c, 0, l.now)
		return
	}
	e.queue = append(e.queue, c)
	c.leave = func() { p.End(got.Ticket) }
	c.run = func() { l.run(c, p, got, e) }
	l.admit(e)
}

// admit starts the most urgent calls of a queue while slots are free.
func (l *load) admit(e *loadedEngine) {
	for e.running < archiveSlots {
		e.queue = slices.DeleteFunc(e.queue, func(c *loadedCall) bool { return c.done })
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
		c.run()
	}
}

// run runs a call; its holder learns of the end with the next report.
func (l *load) run(c *loadedCall, p *Planner, got Placement, e *loadedEngine) {
	const reportPause = 100 * time.Millisecond
	e.running++
	c.leave = nil
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
		l.after(reportPause, func() {
			l.decide(slices.Index(l.zones, p), func(p *Planner) {
				p.Answered(got.Ticket, l.now)
				p.End(got.Ticket)
				p.Arrived(got.Target.ID, c.request.Key, l.now)
			})
		})
	})
}

// archiveTuning is that of the gateway, with the fetch time of the day.
func archiveTuning() Tuning {
	t := tuning()
	t.FetchTime, t.MinFetchLimit, t.FetchesPerEngine, t.MinIdleTime = archiveLoad, 3, 0.33, 50*time.Millisecond
	return t
}

// smallDecision is the time of a decision on the users' small instances: 46 us
// (measured by the users on the code that they reported) on 0.192 of a core.
const smallDecision = 240 * time.Microsecond

// TestHotAdaptersDoNotQueueWhileEnginesAreFree plays the calls of the grown
// archive's day scale-2, which take half of the slots of all engines. No class
// may earn less than the users' target for a day, and nobody leaves while the
// call waits at an engine.
func TestHotAdaptersDoNotQueueWhileEnginesAreFree(t *testing.T) {
	const target = 0.72 // mean worth of a day (docs/DEVELOPERS.md)
	for name, decision := range map[string]time.Duration{"large holders": 0, "small holders": smallDecision} {
		for _, seed := range []uint64{1, 2} {
			t.Run(fmt.Sprintf("%s %d", name, seed), func(t *testing.T) {
				l := newLoad(t, archiveTuning())
				l.decision = decision
				l.play(archiveClasses(), seed, 2*time.Second, 7*time.Second)
				for name, o := range l.results {
					t.Logf("%s: %+v, worth %.2f", name, *o, o.worth())
					if o.queued > 0 {
						t.Errorf("%d callers of %s left while they waited for a slot", o.queued, name)
					}
					if o.worth() < target {
						t.Errorf("%s earned %.2f of its worth, want %.2f", name, o.worth(), target)
					}
				}
			})
		}
	}
}
