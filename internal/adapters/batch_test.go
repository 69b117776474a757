package adapters

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// batchEngine runs its calls in one batch: each step produces a token of each running call
// and reads a chunk of the waiting prompts.
type batchEngine struct {
	fleet   *batchFleet
	speed   float64
	slow    time.Time
	busy    bool
	taken   int
	waiting []*batchCall
	reading []*batchCall
	running []*batchCall
	holds   map[bamboorail.AdapterKey]time.Time
}

type batchCall struct {
	request                     Request
	prompt, output, produced    int
	received, sent, first, last time.Time
	longest                     time.Duration
	done                        func()
}

// batchFleet is a zone of engines and the load on it.
type batchFleet struct {
	engines, slots, chunk, memory, adapterSlots, adapters int
	speeds                                                []float64
	step                                                  time.Duration
	// read is the number of prompt tokens that are read in a millisecond.
	read, rate float64
	// hot is the share of the calls for one adapter, slowEvery the mean time between two
	// times of an engine at 1 / 2.5 of its speed.
	hot                float64
	slowEvery, hotFrom time.Duration
	gap, objective     time.Duration
	fetches            int

	now     time.Time
	events  eventHeap
	random  *rand.Rand
	planner *Planner
	list    map[string]*batchEngine
	result  batchResult
	// waiters are the calls that wait for a grant, nextGrant is the time of the next one.
	waiters   map[uint64]*batchCall
	nextGrant time.Time
}

// batchResult counts calls, by the limit that they missed, and the loads.
type batchResult struct {
	all, lateFirst, lateGap, refused, fetches, reloads int
	firstSum                                           time.Duration
}

func (r *batchResult) add(other batchResult) {
	r.all += other.all
	r.lateFirst += other.lateFirst
	r.lateGap += other.lateGap
	r.refused += other.refused
	r.fetches += other.fetches
	r.reloads += other.reloads
	r.firstSum += other.firstSum
}

// String returns the counts in one line.
func (r batchResult) String() string {
	return fmt.Sprintf("%d calls, late by the first event %d, by a gap %d, refused %d; %d fetches, %d reloads; mean first event %v",
		r.all, r.lateFirst, r.lateGap, r.refused, r.fetches, r.reloads, r.firstSum/time.Duration(max(r.all-r.refused, 1)))
}

const (
	batchEventTokens = 4
	batchFetch       = 288 * time.Millisecond
	batchReload      = 25 * time.Millisecond
	batchWarmUp      = 30 * time.Second
	batchLength      = 60 * time.Second
)

func (f *batchFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{f.now.Add(max(d, 0)), len(f.events), run})
}

func (f *batchFleet) run(seed uint64, measured bool) batchResult {
	f.now, f.random, f.list, f.events = start, rand.New(rand.NewPCG(seed, 1)), map[string]*batchEngine{}, nil
	f.waiters, f.nextGrant = map[uint64]*batchCall{}, start
	f.result = batchResult{}
	t := testTuning()
	t.FetchTime, t.ReloadShare, t.FetchLimit = batchFetch, 0.1, f.engines
	f.planner = NewPlanner(t, 0)
	f.planner.SetMemory(func(string) int { return f.memory })
	var entries []bamboorail.TargetEntry
	for n := range f.engines {
		entries = append(entries, bamboorail.TargetEntry{ID: engineID(n), Service: "s", Address: "a", Zone: "z", Slots: f.slots})
		f.list[engineID(n).Name] = &batchEngine{fleet: f, speed: f.speeds[n%len(f.speeds)], holds: map[bamboorail.AdapterKey]time.Time{}}
	}
	f.planner.SetEngines(entries, func(string) int { return f.adapterSlots }, start)
	for _, e := range entries {
		f.planner.Sync(e.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start, start)
	}
	f.after(batchWarmUp, func() { f.planner.SetFetchLimit(f.fetches) })
	f.generate(measured)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	return f.result
}

// generate generates the calls. Of the many adapters that are seldom used, a zone gets the
// third of which it is the home.
func (f *batchFleet) generate(measured bool) {
	const everywhere, zones, zipf = 30, 3, 1.2
	var sums []float64
	total := 0.0
	for n := range f.adapters {
		share := math.Pow(float64(n+1), -zipf)
		switch {
		case n < everywhere:
		case n%zones == 0:
			share *= zones
		default:
			share = 0
		}
		total += share
		sums = append(sums, total)
	}
	end := start.Add(batchLength)
	for at, n := start, 0; at.Before(end); n++ {
		at = at.Add(time.Duration(f.random.ExpFloat64() / f.rate * float64(time.Second)))
		adapter, _ := slices.BinarySearch(sums, f.random.Float64()*total)
		if f.random.Float64() < f.hot && at.Sub(start) > f.hotFrom {
			adapter = f.adapters
		}
		prompt := []float64{491, 1110}[f.random.IntN(2)] * math.Exp(f.random.NormFloat64()-0.5)
		c := &batchCall{received: at, prompt: int(max(min(prompt, 3790), 10)), output: int(max(f.random.ExpFloat64()*172, 8))}
		c.request = Request{
			Key: bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprint("a", adapter)}, Service: "s", CallID: fmt.Sprint(n), Objective: f.objective,
			StartBy: at.Add(4 * f.objective),
		}
		if measured {
			c.request.Size, c.request.MaxGap = bamboorail.CallSize{Prompt: c.prompt, Output: c.output}, f.gap
		}
		heap.Push(&f.events, event{at, n, func() { f.place(c) }})
	}
	if f.slowEvery == 0 {
		return
	}
	for n := range f.engines {
		e := f.list[engineID(n).Name]
		for at := start; at.Before(end); {
			at = at.Add(time.Duration(f.random.ExpFloat64() * float64(f.slowEvery)))
			heap.Push(&f.events, event{at, n, func() { e.slow = at.Add(600 * time.Millisecond) }})
		}
	}
}

func (f *batchFleet) counts(c *batchCall) bool { return c.received.Sub(start) > batchWarmUp }

func (f *batchFleet) place(c *batchCall) {
	if got, ok := f.planner.Place(c.request, f.now); ok {
		f.send(c, got)
	} else if number, ok := f.planner.Enqueue(c.request, f.now); ok {
		f.waitForGrant(c, number)
	} else if f.counts(c) {
		f.result.all++
		f.result.refused++
	}
	f.grant()
}

func (f *batchFleet) waitForGrant(c *batchCall, number uint64) {
	f.waiters[number] = c
	f.after(c.request.StartBy.Sub(f.now), func() {
		if f.waiters[number] == c {
			delete(f.waiters, number)
			f.planner.CancelWait(c.request, number)
			if f.counts(c) {
				f.result.all++
				f.result.refused++
			}
		}
	})
}

func (f *batchFleet) grant() {
	result := f.planner.GrantWaiting(true, f.now)
	for _, orders := range result.Background {
		f.accept(orders)
	}
	for _, g := range result.Grants {
		c := f.waiters[g.Number]
		delete(f.waiters, g.Number)
		f.send(c, g.Placement)
	}
	if next, ok := f.planner.NextGrantTime(f.now); ok && (!f.nextGrant.After(f.now) || next.Before(f.nextGrant)) {
		f.nextGrant = next
		f.after(next.Sub(f.now), f.grant)
	}
}

func (f *batchFleet) accept(orders []bamboorail.AdapterOrder) {
	for _, o := range orders {
		o.Orders, _ = f.planner.OrderNumber(o.Target)
		e := f.list[o.Target.Name]
		switch {
		case o.Unload:
			delete(e.holds, o.Key)
		case f.planner.engine(o.Target).adapters[o.Key].fetch:
			e.holds[o.Key] = f.now.Add(batchFetch)
			f.result.fetches++
		default:
			e.holds[o.Key] = f.now.Add(batchReload)
			f.result.reloads++
		}
		f.planner.RecordOrder(o, f.now)
	}
}

func (f *batchFleet) send(c *batchCall, got Placement) {
	f.accept(got.Orders)
	e := f.list[got.Target.ID.Name]
	c.done = func() { f.end(c, got) }
	f.after(got.ReadyAt.Sub(f.now), func() {
		if at, ok := e.holds[c.request.Key]; !ok || at.After(f.now) {
			// The engine refuses a call whose adapter it does not hold yet.
			ended, _ := f.planner.End(got.Ticket)
			f.planner.RecordMissing(ended, f.now)
			f.place(c)
			return
		}
		c.sent = f.now
		e.waiting = append(e.waiting, c)
		e.run()
	})
}

func (f *batchFleet) end(c *batchCall, got Placement) {
	const reportDelay = 100 * time.Millisecond
	first := c.first.Sub(c.received)
	if f.counts(c) {
		f.result.all++
		f.result.firstSum += first
		switch {
		case first > f.objective:
			f.result.lateFirst++
		case c.longest > f.gap:
			f.result.lateGap++
		}
	}
	t := Timing{FirstEvent: c.first.Sub(c.sent), LongestGap: c.longest}
	if events := (c.produced - 1) / batchEventTokens; events > 0 {
		t.Event = c.last.Sub(c.first) / time.Duration(events)
	}
	f.after(reportDelay, func() {
		f.planner.RecordTiming(got.Ticket, t, f.now)
		f.planner.RecordAnswer(got.Ticket, f.now)
		f.planner.End(got.Ticket)
		f.planner.RecordLoaded(got.Target.ID, c.request.Key, f.now)
		f.grant()
	})
}

// run starts the next step of an idle engine.
func (e *batchEngine) run() {
	if e.busy {
		return
	}
	f := e.fleet
	for len(e.waiting) > 0 && len(e.running)+len(e.reading) < f.slots {
		size := e.waiting[0].prompt + e.waiting[0].output
		if f.memory > 0 && e.taken > 0 && e.taken+size > f.memory {
			break
		}
		e.taken += size
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.reading)+len(e.running) == 0 {
		return
	}
	e.busy = true
	free := f.chunk
	var read []*batchCall
	for _, c := range e.reading {
		n := min(free, c.prompt-c.produced)
		free -= n
		if c.produced += n; c.produced < c.prompt {
			break
		}
		read = append(read, c)
	}
	e.reading = e.reading[len(read):]
	took := (float64(f.step) + float64(f.chunk-free)/f.read*float64(time.Millisecond)) / e.speed
	if f.now.Before(e.slow) {
		took *= 2.5
	}
	f.after(time.Duration(took), func() { e.endStep(read) })
}

func (e *batchEngine) endStep(read []*batchCall) {
	f := e.fleet
	e.busy = false
	kept := e.running[:0]
	for _, c := range e.running {
		if c.produced++; c.produced%batchEventTokens == 0 || c.produced == c.output {
			if c.first.IsZero() {
				c.first = f.now
			} else {
				c.longest = max(c.longest, f.now.Sub(c.last))
			}
			c.last = f.now
		}
		if c.produced < c.output {
			kept = append(kept, c)
			continue
		}
		e.taken -= c.prompt + c.output
		c.done()
	}
	e.running = kept
	for _, c := range read {
		c.produced = 1
		e.running = append(e.running, c)
	}
	e.run()
}
