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

// Variant is a combination of scheduling policies to measure.
type Variant struct {
	Name   string
	Policy placement.Policy
	// AffinityRouting routes by placement.Route; otherwise requests go to the
	// least loaded engine.
	AffinityRouting bool
	// CrossZone routes to the engines of all zones; otherwise only to those
	// of the request's zone.
	CrossZone bool
	// MaxConcurrentLoads limits the concurrent loads of the site; 0 means
	// no limit.
	MaxConcurrentLoads int
}

// Naive returns the baseline: least loaded engine, LRU eviction, FIFO queues,
// unlimited loads, and immediate retries.
func Naive() Variant { return Variant{Name: "naive", Policy: placement.Naive{}, CrossZone: true} }

// Daemon returns the policies that the daemon uses.
func Daemon() Variant {
	return Variant{Name: "ours", Policy: placement.Weighted{}, AffinityRouting: true, CrossZone: true, MaxConcurrentLoads: 1}
}

const (
	// announceInterval is the greatest age of routing information.
	announceInterval = time.Second
	tickInterval     = 100 * time.Millisecond
	coldStart        = 60 * time.Second
	maxAttempts      = 4
	retryDelay       = 100 * time.Millisecond
)

// epoch is the origin of virtual time.
var epoch = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// engine is a simulated engine with the placement table of its owner.
type engine struct {
	name    string
	zone    int
	table   *placement.Table
	summary placement.Summary
	sent    int
	// sentModels holds the models of the requests sent since the last
	// announcement.
	sentModels map[bamboorail.ModelRef]bool
	// waitingSince is the time at which the engine requested a load permit.
	waitingSince time.Time
	waiting      bool
	urgency      float64
	loading      bool
	generation   int
	coldUntil    time.Duration
}

// request is a request that has not completed. firstArrival is the time of its
// first attempt.
type request struct {
	arrival       Arrival
	queuedRequest *admission.QueuedRequest
	firstArrival  time.Duration
	attempts      int
}

// event is a callback scheduled for a virtual time; seq orders events at the
// same time.
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

// driver simulates one variant in one scenario.
type driver struct {
	site     Site
	scenario Scenario
	variant  Variant
	random   *rand.Rand
	engines  []*engine
	queue    eventQueue
	seq      int
	now      time.Duration
	requests map[*admission.QueuedRequest]*request
	// transfers holds the loads in progress, which share the bandwidth of the
	// weight store equally.
	transfers           []*transfer
	transfersAdvancedAt time.Duration
	loadCount           int
	results             *Results
}

// transfer is a load in progress.
type transfer struct {
	remaining float64 // fraction of the load, from 1 to 0
	done      func()
}

// Run simulates a variant on the workload generated from a seed.
func Run(s Site, sc Scenario, v Variant, seed uint64) *Results {
	d := &driver{
		site: s, scenario: sc, variant: v, random: rand.New(rand.NewPCG(seed, 2)),
		requests: map[*admission.QueuedRequest]*request{}, results: newResults(s),
	}
	settings := placement.DefaultSettings()
	settings.TokenTime = s.Step
	settings.LoadTime = time.Duration(float64(time.Second) / s.LoadsPerSecond)
	for n := range s.Engines {
		e := &engine{name: fmt.Sprintf("e%02d", n), zone: n % s.Zones}
		limits := placement.Limits{Slots: s.Slots, MaxBatch: s.MaxBatch}
		e.table = placement.NewTable(limits, settings, v.Policy, placement.TermHistory{Term: 1})
		e.table.Observe(epoch, bamboorail.EngineReport{Incarnation: "0", BaseModel: "b"})
		e.summary, e.sentModels = e.table.Summary(epoch), map[bamboorail.ModelRef]bool{}
		d.engines = append(d.engines, e)
	}
	for _, a := range Demand(s, sc, seed) {
		d.scheduleAt(a.At, func() { d.arrive(&request{arrival: a, firstArrival: a.At}) })
	}
	for t := time.Duration(0); t < Duration; t += tickInterval {
		d.scheduleAt(t, d.tick)
	}
	for t := time.Duration(0); t < Duration; t += announceInterval {
		d.scheduleAt(t, d.announce)
	}
	if sc.RestartAt > 0 {
		d.scheduleAt(sc.RestartAt, d.restartThird)
	}
	d.run()
	return d.results
}

func (d *driver) scheduleAt(t time.Duration, call func()) {
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

// arrive routes a request by the policy of the variant and enqueues it.
func (d *driver) arrive(r *request) {
	e := d.route(r)
	caller := d.site.Callers[r.arrival.Caller]
	deadline := epoch.Add(r.firstArrival + caller.Deadline)
	work := &bamboorail.Request{
		RequestID: fmt.Sprint(d.seq), Model: r.arrival.Model, Caller: caller.Name, Weight: caller.Weight,
		Priority: caller.Priority, Deadline: deadline, Tokens: d.site.MeanTokens,
	}
	r.queuedRequest = admission.NewQueuedRequest(work, epoch.Add(r.firstArrival))
	if err := e.table.Enqueue(d.clock(), r.queuedRequest); err != nil {
		d.retryOrReject(r)
		return
	}
	e.sent++
	e.sentModels[r.arrival.Model] = true
	d.requests[r.queuedRequest] = r
	d.runDecisions(e)
}

// retryOrReject retries a request that an engine refused, or rejects it after
// maxAttempts attempts.
func (d *driver) retryOrReject(r *request) {
	r.attempts++
	if r.attempts >= maxAttempts {
		d.results.recordRejection(r, d.now)
		return
	}
	delay := time.Duration(0)
	if d.variant.AffinityRouting {
		delay = retryDelay
	}
	d.scheduleAt(d.now+delay, func() { d.arrive(r) })
}

func (d *driver) route(r *request) *engine {
	var candidates []*engine
	for _, e := range d.engines {
		if d.variant.CrossZone || e.zone == r.arrival.Zone {
			candidates = append(candidates, e)
		}
	}
	if !d.variant.AffinityRouting {
		return slices.MinFunc(candidates, func(a, b *engine) int { return a.outstanding() - b.outstanding() })
	}
	options := make([]placement.RouteCandidate, 0, len(candidates))
	for _, e := range candidates {
		options = append(options, e.routeCandidate(r.arrival.Model))
	}
	ordered := placement.Route(r.arrival.Model, options)
	best := ordered[min(r.attempts, len(ordered)-1)]
	return candidates[slices.IndexFunc(candidates, func(e *engine) bool { return e.name == best.Target })]
}

func (e *engine) outstanding() int { return e.summary.Running + e.summary.Queued + e.sent }

// routeCandidate returns the routing information that an entry has about the
// engine: the last announcement and the requests sent since.
func (e *engine) routeCandidate(m bamboorail.ModelRef) placement.RouteCandidate {
	o := placement.RouteCandidate{
		Target: e.name, MaxBatch: e.summary.Limits.MaxBatch, Outstanding: e.outstanding(), Wait: e.summary.Wait,
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
			d.reject(i)
		}
		e.table.Compact(d.clock())
		if e.coldUntil > 0 && d.now >= e.coldUntil {
			e.coldUntil = 0
			e.table.Observe(d.clock(), bamboorail.EngineReport{Incarnation: fmt.Sprint(e.generation), BaseModel: "b"})
		}
		d.runDecisions(e)
	}
}

func (d *driver) reject(i *admission.QueuedRequest) {
	if r, ok := d.requests[i]; ok {
		delete(d.requests, i)
		d.results.recordRejection(r, d.now)
	}
}

// runDecisions dispatches the requests that the table of an engine selects, and
// requests a load permit if the table wants a load.
func (d *driver) runDecisions(e *engine) {
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
		e.waiting, e.urgency, e.waitingSince = true, urgency, d.clock()
		e.table.PermitRequested(d.clock())
		d.grantPermits()
	}
}

// start runs a request and schedules its completion.
func (d *driver) start(e *engine, g placement.Dispatch) {
	r := d.requests[g.Request]
	delete(d.requests, g.Request)
	generation := e.generation
	first := epoch.Add(r.firstArrival)
	d.results.dispatch(r, d.now, max(0, min(g.LoadWait, d.clock().Sub(first))))
	d.scheduleAt(d.now+time.Duration(r.arrival.Tokens)*d.site.Step, func() {
		if e.generation != generation {
			return // lost in a restart; restartThird has counted it
		}
		d.results.finish(r, d.now)
		e.table.Finished(d.clock(), g.Request.Request(), g.Handle, r.arrival.Tokens, true)
		d.runDecisions(e)
	})
}

// grantPermits grants load permits to waiting engines up to the limit of the
// variant.
func (d *driver) grantPermits() {
	for {
		if d.variant.MaxConcurrentLoads > 0 && len(d.transfers) >= d.variant.MaxConcurrentLoads {
			return
		}
		var best *engine
		for _, e := range d.engines {
			if e.waiting && (best == nil || d.hasPrecedence(e, best)) {
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

func (d *driver) hasPrecedence(a, b *engine) bool {
	if d.variant.MaxConcurrentLoads == 0 {
		return a.waitingSince.Before(b.waitingSince)
	}
	// The daemon renews a permit request every few seconds, which updates its
	// urgency; the simulation recomputes the urgency at each comparison.
	for _, e := range []*engine{a, b} {
		if urgency, ok := e.table.LoadUrgency(d.clock()); ok {
			e.urgency = urgency
		}
	}
	return weightstore.Urgency(a.urgency, d.clock().Sub(a.waitingSince)) > weightstore.Urgency(b.urgency, d.clock().Sub(b.waitingSince))
}

// load starts the load that the table selects.
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
	d.advanceTransfers()
	d.transfers = append(d.transfers, &transfer{remaining: 1, done: func() { d.loaded(e, plan, fails, generation) }})
	d.scheduleNextCompletion()
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
		d.reject(i)
	}
	d.runDecisions(e)
	d.grantPermits()
}

// advanceTransfers advances the transfers to the current time, each at an equal
// share of the rate of the weight store.
func (d *driver) advanceTransfers() {
	rate := d.site.LoadsPerSecond * d.scenario.StoreRate / float64(max(1, len(d.transfers)))
	for _, t := range d.transfers {
		t.remaining -= (d.now - d.transfersAdvancedAt).Seconds() * rate
	}
	d.transfersAdvancedAt = d.now
}

// scheduleNextCompletion schedules an event for the transfer that completes
// first.
func (d *driver) scheduleNextCompletion() {
	if len(d.transfers) == 0 {
		return
	}
	first := slices.MinFunc(d.transfers, func(a, b *transfer) int {
		if a.remaining < b.remaining {
			return -1
		}
		return 1
	})
	rate := d.site.LoadsPerSecond * d.scenario.StoreRate / float64(len(d.transfers))
	end := d.now + time.Duration(max(0, first.remaining)/rate*float64(time.Second)) + time.Microsecond
	d.scheduleAt(end, d.finishTransfers)
}

func (d *driver) finishTransfers() {
	d.advanceTransfers()
	const epsilon = 1e-5
	var done []*transfer
	d.transfers = slices.DeleteFunc(d.transfers, func(t *transfer) bool {
		if t.remaining > epsilon {
			return false
		}
		done = append(done, t)
		return true
	})
	for _, t := range done {
		t.done()
	}
	d.scheduleNextCompletion()
}

// restartThird restarts every third engine. Running requests are lost, and the
// engine stays cold for coldStart.
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
