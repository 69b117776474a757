package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/weightstore"
)

// Contender is a set of decisions to measure.
type Contender struct {
	Name   string
	Policy placement.Policy
	// Affine routes by placement.Route; otherwise to the least loaded engine.
	Affine bool
	// SpanZones routes to engines of all zones, otherwise of the own one.
	SpanZones bool
	// LoadsAtOnce bounds the loads of the site; 0 means no bound.
	LoadsAtOnce int
}

// Naive is the baseline: least loaded engine, least recently used eviction,
// first come first served, loads whenever wanted, retry at once.
func Naive() Contender { return Contender{Name: "naive", Policy: placement.Naive{}, SpanZones: true} }

// Ours is what the daemon does.
func Ours() Contender {
	return Contender{Name: "ours", Policy: placement.Weighted{}, Affine: true, SpanZones: true, LoadsAtOnce: 1}
}

const (
	// announceInterval is the age that routing information reaches.
	announceInterval = time.Second
	tickInterval     = 100 * time.Millisecond
	coldStart        = 60 * time.Second
	maxTries         = 4
	retryPause       = 100 * time.Millisecond
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// engine is a fake engine around the table of its owner.
type engine struct {
	name    string
	zone    int
	table   *placement.Table
	summary placement.Summary
	sent    int
	// sentModels are the models of the requests sent since the announcement.
	sentModels map[bamboorail.ModelRef]bool
	// asked is the time since which the engine waits for a permit.
	asked      time.Time
	waiting    bool
	urgency    float64
	loading    bool
	generation int
	coldUntil  time.Duration
}

// request is a request on its way.
type request struct {
	arrival Arrival
	item    *admission.QueuedRequest
	first   time.Duration
	tries   int
}

// event happens at a virtual time.
type event struct {
	at   time.Duration
	seq  int
	call func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// driver runs one contender through one scenario.
type driver struct {
	site      Site
	scenario  Scenario
	contender Contender
	random    *rand.Rand
	engines   []*engine
	queue     eventQueue
	seq       int
	now       time.Duration
	requests  map[*admission.QueuedRequest]*request
	// transfers are the loads under way; they share the weight store.
	transfers []*transfer
	advanced  time.Duration
	loadCount int
	results   *Results
}

// transfer is a load under way.
type transfer struct {
	left float64 // loads, from 1 to 0
	done func()
}

// Run measures a contender on the demand of a seed.
func Run(s Site, sc Scenario, c Contender, seed uint64) *Results {
	d := &driver{
		site: s, scenario: sc, contender: c, random: rand.New(rand.NewPCG(seed, 2)),
		requests: map[*admission.QueuedRequest]*request{}, results: newResults(s),
	}
	settings := placement.DefaultSettings()
	settings.TokenTime = s.Step
	settings.LoadTime = time.Duration(float64(time.Second) / s.LoadsPerSecond)
	for n := range s.Engines {
		e := &engine{name: fmt.Sprintf("e%02d", n), zone: n % s.Zones}
		limits := placement.Limits{Slots: s.Slots, MaxBatch: s.MaxBatch}
		e.table = placement.NewTable(limits, settings, c.Policy, placement.TermHistory{Term: 1})
		e.table.Observe(epoch, bamboorail.EngineReport{Incarnation: "0", BaseModel: "b"})
		e.summary, e.sentModels = e.table.Summary(epoch), map[bamboorail.ModelRef]bool{}
		d.engines = append(d.engines, e)
	}
	for _, a := range Demand(s, sc, seed) {
		d.at(a.At, func() { d.arrive(&request{arrival: a, first: a.At}) })
	}
	for t := time.Duration(0); t < Duration; t += tickInterval {
		d.at(t, d.tick)
	}
	for t := time.Duration(0); t < Duration; t += announceInterval {
		d.at(t, d.announce)
	}
	if sc.RestartAt > 0 {
		d.at(sc.RestartAt, d.restartThird)
	}
	d.run()
	return d.results
}

func (d *driver) at(t time.Duration, call func()) {
	d.seq++
	heap.Push(&d.queue, event{t, d.seq, call})
}

func (d *driver) clock() time.Time { return epoch.Add(d.now) }

func (d *driver) run() {
	for len(d.queue) > 0 {
		e := heap.Pop(&d.queue).(event)
		if e.at > Duration {
			return
		}
		d.results.integrate(d.now, e.at, d.running())
		d.now = e.at
		e.call()
	}
}

func (d *driver) running() int {
	n := 0
	for _, e := range d.engines {
		n += e.table.Running()
	}
	return n
}

// arrive routes a request to the engine that the contender prefers.
func (d *driver) arrive(r *request) {
	e := d.route(r)
	caller := d.site.Callers[r.arrival.Caller]
	deadline := epoch.Add(r.first + caller.Deadline)
	work := &bamboorail.Request{
		RequestID: fmt.Sprint(d.seq), Model: r.arrival.Model, Caller: caller.Name, Weight: caller.Weight,
		Priority: caller.Priority, Deadline: deadline, Tokens: d.site.MeanTokens,
	}
	r.item = admission.NewQueuedRequest(work, epoch.Add(r.first))
	if err := e.table.Enqueue(d.clock(), r.item); err != nil {
		d.refused(r)
		return
	}
	e.sent++
	e.sentModels[r.arrival.Model] = true
	d.requests[r.item] = r
	d.act(e)
}

// refused tries a request again elsewhere, or gives it up.
func (d *driver) refused(r *request) {
	r.tries++
	if r.tries >= maxTries {
		d.results.refuse(r, d.now)
		return
	}
	pause := time.Duration(0)
	if d.contender.Affine {
		pause = retryPause
	}
	d.at(d.now+pause, func() { d.arrive(r) })
}

func (d *driver) route(r *request) *engine {
	var candidates []*engine
	for _, e := range d.engines {
		if d.contender.SpanZones || e.zone == r.arrival.Zone {
			candidates = append(candidates, e)
		}
	}
	if !d.contender.Affine {
		return slices.MinFunc(candidates, func(a, b *engine) int { return a.load() - b.load() })
	}
	options := make([]placement.RouteCandidate, 0, len(candidates))
	for _, e := range candidates {
		options = append(options, e.option(r.arrival.Model))
	}
	ordered := placement.Route(r.arrival.Model, options)
	best := ordered[min(r.tries, len(ordered)-1)]
	return candidates[slices.IndexFunc(candidates, func(e *engine) bool { return e.name == best.Target })]
}

func (e *engine) load() int { return e.summary.Running + e.summary.Queued + e.sent }

// option is what an entry knows of the engine: its last announcement.
func (e *engine) option(m bamboorail.ModelRef) placement.RouteCandidate {
	o := placement.RouteCandidate{
		Target: e.name, MaxBatch: e.summary.Limits.MaxBatch, Outstanding: e.load(), Wait: e.summary.Wait,
		LoadTime: e.summary.LoadTime, VictimValue: e.summary.VictimValue, Awaited: len(e.summary.Awaited), Avoid: e.summary.Cold,
	}
	o.Loading = e.sentModels[m] || slices.Contains(e.summary.Awaited, m)
	for _, s := range e.summary.Slots {
		if s.Model == m {
			o.Loaded, o.Loading = o.Loaded || s.Ready, o.Loading || s.Loading
		}
	}
	return o
}

func (d *driver) announce() {
	for _, e := range d.engines {
		e.summary, e.sent, e.sentModels = e.table.Summary(d.clock()), 0, map[bamboorail.ModelRef]bool{}
	}
}

func (d *driver) tick() {
	for _, e := range d.engines {
		for _, i := range e.table.Expired(d.clock()) {
			d.giveUp(i)
		}
		e.table.Compact(d.clock())
		if e.coldUntil > 0 && d.now >= e.coldUntil {
			e.coldUntil = 0
			e.table.Observe(d.clock(), bamboorail.EngineReport{Incarnation: fmt.Sprint(e.generation), BaseModel: "b"})
		}
		d.act(e)
	}
}

func (d *driver) giveUp(i *admission.QueuedRequest) {
	if r, ok := d.requests[i]; ok {
		delete(d.requests, i)
		d.results.refuse(r, d.now)
	}
}

// act carries out the decisions of one table.
func (d *driver) act(e *engine) {
	for {
		g, ok := e.table.NextDispatch(d.clock())
		if !ok {
			break
		}
		d.start(e, g)
	}
	if e.waiting || e.loading {
		return
	}
	if urgency, ok := e.table.LoadUrgency(d.clock()); ok {
		e.waiting, e.urgency, e.asked = true, urgency, d.clock()
		e.table.PermitRequested(d.clock())
		d.grant()
	}
}

// start runs a request for as long as its tokens take.
func (d *driver) start(e *engine, g placement.Dispatch) {
	r := d.requests[g.Request]
	delete(d.requests, g.Request)
	generation := e.generation
	first := epoch.Add(r.first)
	d.results.dispatch(r, d.now, max(0, min(g.LoadWait, d.clock().Sub(first))))
	d.at(d.now+time.Duration(r.arrival.Tokens)*d.site.Step, func() {
		if e.generation != generation {
			return // lost in a restart, counted there
		}
		d.results.finish(r, d.now)
		e.table.Finished(d.clock(), g.Request.Request(), g.Handle, r.arrival.Tokens, true)
		d.act(e)
	})
}

// grant hands permits to waiting engines.
func (d *driver) grant() {
	for {
		if d.contender.LoadsAtOnce > 0 && len(d.transfers) >= d.contender.LoadsAtOnce {
			return
		}
		var best *engine
		for _, e := range d.engines {
			if e.waiting && (best == nil || d.before(e, best)) {
				best = e
			}
		}
		if best == nil {
			return
		}
		best.waiting = false
		d.load(best)
	}
}

func (d *driver) before(a, b *engine) bool {
	if d.contender.LoadsAtOnce == 0 {
		return a.asked.Before(b.asked)
	}
	// The daemon renews a request every few seconds, so its urgency is fresh.
	for _, e := range []*engine{a, b} {
		if urgency, ok := e.table.LoadUrgency(d.clock()); ok {
			e.urgency = urgency
		}
	}
	return weightstore.Urgency(a.urgency, d.clock().Sub(a.asked)) > weightstore.Urgency(b.urgency, d.clock().Sub(b.asked))
}

// load makes the load that the table chooses now.
func (d *driver) load(e *engine) {
	plan, ok := e.table.BeginLoad(d.clock())
	if !ok {
		return
	}
	if plan.Victim != "" {
		e.table.Unloaded(plan.Victim, nil)
		d.results.evictions++
	}
	d.results.loads++
	d.loadCount++
	fails := d.scenario.FailOneIn > 0 && d.random.IntN(d.scenario.FailOneIn) == 0
	e.loading = true
	generation := e.generation
	d.share()
	d.transfers = append(d.transfers, &transfer{left: 1, done: func() { d.loaded(e, plan, fails, generation) }})
	d.schedule()
}

var errLoad = &placement.Error{Failure: bamboorail.Failure{Kind: bamboorail.KindTargetFailed, Outcome: bamboorail.OutcomeMayHaveRun}}

func (d *driver) loaded(e *engine, plan placement.LoadPlan, fails bool, generation int) {
	e.loading = false
	var err error
	switch {
	case e.generation != generation:
		err = placement.Aborted(errLoad)
	case fails:
		err = errLoad
	}
	for _, i := range e.table.Loaded(d.clock(), plan.Handle, err) {
		d.giveUp(i)
	}
	d.act(e)
	d.grant()
}

// share lets the transfers progress at their share of the store's rate.
func (d *driver) share() {
	rate := d.site.LoadsPerSecond * d.scenario.StoreRate / float64(max(1, len(d.transfers)))
	for _, t := range d.transfers {
		t.left -= (d.now - d.advanced).Seconds() * rate
	}
	d.advanced = d.now
}

// schedule arranges for the end of the transfer that ends first.
func (d *driver) schedule() {
	if len(d.transfers) == 0 {
		return
	}
	first := slices.MinFunc(d.transfers, func(a, b *transfer) int {
		if a.left < b.left {
			return -1
		}
		return 1
	})
	rate := d.site.LoadsPerSecond * d.scenario.StoreRate / float64(len(d.transfers))
	end := d.now + time.Duration(max(0, first.left)/rate*float64(time.Second)) + time.Microsecond
	d.at(end, d.finishTransfers)
}

func (d *driver) finishTransfers() {
	d.share()
	const epsilon = 1e-5
	var done []*transfer
	d.transfers = slices.DeleteFunc(d.transfers, func(t *transfer) bool {
		if t.left > epsilon {
			return false
		}
		done = append(done, t)
		return true
	})
	for _, t := range done {
		t.done()
	}
	d.schedule()
}

// restartThird restarts every third engine into a cold start.
func (d *driver) restartThird() {
	for n, e := range d.engines {
		if n%3 != 0 {
			continue
		}
		e.generation++
		e.coldUntil = d.now + coldStart
		for range e.table.Running() {
			d.results.lost++
		}
		e.table.ResetRunning(d.clock())
		e.table.Observe(d.clock(), bamboorail.EngineReport{Incarnation: fmt.Sprint(e.generation)})
	}
}
