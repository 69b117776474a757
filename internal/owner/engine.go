// Package owner serves the targets that this instance owns: engines with their
// adapters, and request-id shards of applications.
package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/task"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func notRun(op string, kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: bamboorail.OutcomeNotRun, RetryAfter: after, Err: err}}
}

const (
	eventBuffer    = 256
	unloadBuffer   = 16
	tickInterval   = 100 * time.Millisecond
	reportInterval = time.Second
	// permitTimeout limits the wait for one permit, so that the next permit
	// request carries the current urgency.
	permitTimeout = 2 * time.Second
	loadTimeout   = 2 * time.Minute
	// maxStaleRetries is the number of times that a request is queued again
	// because the engine lost its handle.
	maxStaleRetries = 3
)

// Catalog locates the weights of declared models.
type Catalog interface {
	// Source returns the path of the weights, and false for a model that is
	// retired or not declared.
	Source(m bamboorail.ModelRef) (string, bool)
}

// EngineConfig configures the owner of one engine.
type EngineConfig struct {
	Target      string
	Limits      placement.Limits
	Settings    placement.Settings
	Policy      placement.Policy
	TermHistory placement.TermHistory
	Client      bamboorail.Engine
	Permits     bamboorail.PermitIssuer
	Catalog     Catalog
	Log         hclog.Logger
	Observer    Observer
}

// Observer receives the events that are exported as metrics.
type Observer interface {
	LoadEnded(target string, d time.Duration, err error)
	Evicted(target string)
	Dispatched(target string, waited, loadWait time.Duration)
	Batch(target string, running, limit int)
}

// Engine is the owner of one engine for one term.
type Engine struct {
	config         EngineConfig
	events         chan event
	unloadOrders   chan unloadOrder
	loadRequests   chan float64
	reportRequests chan struct{}
	// ended is closed when the decision loop stops processing events. Other
	// tasks may still be waiting for a result at that time.
	ended chan struct{}
	// The following fields are accessed only by the decision loop.
	table       *placement.Table
	loadPending bool // a load is pending or in progress
}

// event is a change that the decision loop applies to the table.
type event func(now time.Time)

// unloadOrder is an unload that the unload task sends to the engine.
type unloadOrder struct{ handle bamboorail.Handle }

// NewEngine returns the owner of an engine. Run starts it.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{
		config:         c,
		events:         make(chan event, eventBuffer),
		unloadOrders:   make(chan unloadOrder, unloadBuffer),
		loadRequests:   make(chan float64, 1),
		reportRequests: make(chan struct{}, 1),
		ended:          make(chan struct{}),
		table:          placement.NewTable(c.Limits, c.Settings, c.Policy, c.TermHistory),
	}
}

// Run runs the tasks of the owner until ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	g := task.NewGroup(ctx)
	g.Start("decide", e.decide)
	g.Start("load", e.load)
	g.Start("unload", e.unload)
	g.Start("report", e.report)
	return g.Wait()
}

// decide applies events and carries out the resulting decisions.
func (e *Engine) decide(ctx context.Context) error {
	defer close(e.ended)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			e.refuseAll()
			return ctx.Err()
		case apply := <-e.events:
			apply(time.Now())
		case <-t.C:
			e.tick(time.Now())
		}
		e.applyDecisions(time.Now())
	}
}

var errEnded = errors.New("ownership of the target ended")

func (e *Engine) refuseAll() {
	refusal := notRun("admit", bamboorail.KindNotOwner, 0, errEnded)
	for _, i := range e.table.Close(refusal) {
		i.Decide(admission.Decision{Err: refusal})
	}
}

func (e *Engine) tick(now time.Time) {
	for _, i := range e.table.Expired(now) {
		i.Decide(admission.Decision{Err: notRun("wait", bamboorail.KindDeadlineExceeded,
			e.table.ExpectedWait(now, i.Request().Model, i.Request().Priority), errors.New("deadline exceeded while queued"))})
	}
	for _, i := range e.table.TakeAllIfLeaving() {
		i.Decide(admission.Decision{Err: e.table.LeavingRefusal()})
	}
	e.table.Compact(now)
	e.config.Observer.Batch(e.config.Target, e.table.Running(), e.table.Summary(now).Limits.MaxBatch)
	for _, h := range e.table.Retire(e.declared) {
		e.queueUnload(h)
	}
}

func (e *Engine) declared(m bamboorail.ModelRef) bool {
	_, ok := e.config.Catalog.Source(m)
	return ok
}

// queueUnload passes an order to the unload task, or reverts it if the queue of
// orders is full.
func (e *Engine) queueUnload(h bamboorail.Handle) {
	select {
	case e.unloadOrders <- unloadOrder{handle: h}:
	default:
		e.table.Unloaded(h, notRun("unload-adapter", bamboorail.KindOverloaded, 0, errors.New("unload order queue is full")))
	}
}

// applyDecisions dispatches the requests that can run and requests the next
// load.
func (e *Engine) applyDecisions(now time.Time) {
	for {
		d, ok := e.table.NextDispatch(now)
		if !ok {
			break
		}
		d.Request.Decide(admission.Decision{Handle: d.Handle, LoadWait: d.LoadWait})
	}
	if _, outstanding := e.table.PendingBarrier(); outstanding {
		e.triggerReport()
	}
	if e.loadPending {
		return
	}
	if urgency, ok := e.table.LoadUrgency(now); ok {
		e.loadPending = true
		e.table.PermitRequested(now)
		e.loadRequests <- urgency
	}
}

func (e *Engine) triggerReport() {
	select {
	case e.reportRequests <- struct{}{}:
	default:
	}
}

// post passes an event to the decision loop. It reports false if the ownership
// has ended.
func (e *Engine) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ended:
		return false
	}
}

// queryLoop runs f in the decision loop and returns its result, or false if the
// ownership has ended.
func queryLoop[T any](e *Engine, f func(now time.Time) T) (T, bool) {
	reply := make(chan T, 1)
	var zero T
	if !e.post(func(now time.Time) { reply <- f(now) }) {
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-e.ended:
		return zero, false
	}
}

// load acquires permits and performs loads, one at a time.
func (e *Engine) load(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case urgency := <-e.loadRequests:
			e.loadOnce(ctx, urgency)
			e.post(func(time.Time) { e.loadPending = false })
		}
	}
}

func (e *Engine) loadOnce(ctx context.Context, urgency float64) {
	permitCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	permit, err := e.config.Permits.AcquirePermit(permitCtx, bamboorail.PermitRequest{Target: e.config.Target, Urgency: urgency})
	if err != nil {
		e.config.Log.Debug("load permit not granted", "target", e.config.Target, "error", err)
		_ = task.Sleep(ctx, tickInterval)
		return
	}
	defer permit.Release()
	type planned struct {
		plan placement.LoadPlan
		ok   bool
	}
	p, ok := queryLoop(e, func(now time.Time) planned {
		plan, ok := e.table.BeginLoad(now)
		return planned{plan, ok}
	})
	if ok && p.ok {
		e.execute(ctx, p.plan)
	}
}

// execute unloads the victim of a plan and loads its model.
func (e *Engine) execute(ctx context.Context, p placement.LoadPlan) {
	start := time.Now()
	err := e.unloadVictim(ctx, p.Victim)
	if err == nil {
		err = e.sendLoad(ctx, p)
	}
	e.config.Observer.LoadEnded(e.config.Target, time.Since(start), err)
	if err != nil {
		e.config.Log.Warn("load failed", "target", e.config.Target, "model", p.Model, "error", err)
	}
	e.post(func(now time.Time) {
		refused := e.table.Loaded(now, p.Handle, err)
		for _, i := range refused {
			i.Decide(admission.Decision{Err: e.table.LoadFailure(now, p.Model)})
		}
	})
}

func (e *Engine) unloadVictim(ctx context.Context, victim bamboorail.Handle) error {
	if victim == "" {
		return nil
	}
	if err := e.sendUnload(ctx, victim); err != nil {
		return placement.Aborted(err)
	}
	return nil
}

func (e *Engine) sendUnload(ctx context.Context, h bamboorail.Handle) error {
	err := e.config.Client.Unload(ctx, bamboorail.UnloadOrder{Handle: h, FencingToken: e.config.TermHistory.Term})
	e.post(func(time.Time) { e.table.Unloaded(h, err) })
	if bamboorail.KindOf(err) == bamboorail.KindStaleHandle {
		return nil
	}
	if err == nil {
		e.config.Observer.Evicted(e.config.Target)
	}
	return err
}

func (e *Engine) sendLoad(ctx context.Context, p placement.LoadPlan) error {
	source, ok := e.config.Catalog.Source(p.Model)
	if !ok {
		return placement.Aborted(fmt.Errorf("model %s is not declared", p.Model))
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return e.config.Client.Load(ctx, bamboorail.LoadOrder{
		Handle: p.Handle, Model: p.Model, Source: source, FencingToken: e.config.TermHistory.Term,
	})
}

// unload sends the unload orders of retired models.
func (e *Engine) unload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-e.unloadOrders:
			if err := e.sendUnload(ctx, o.handle); err != nil {
				e.config.Log.Warn("unload failed", "target", e.config.Target, "handle", o.handle, "error", err)
			}
		}
	}
}

// report requests reports from the engine and sends outstanding barriers.
func (e *Engine) report(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		e.reportOnce(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-e.reportRequests:
			if err := task.Sleep(ctx, tickInterval); err != nil {
				return err
			}
		}
	}
}

type barrierState struct {
	number      uint64
	outstanding bool
}

func (e *Engine) reportOnce(ctx context.Context) {
	b, ok := queryLoop(e, func(time.Time) barrierState {
		n, outstanding := e.table.PendingBarrier()
		return barrierState{n, outstanding}
	})
	if !ok {
		return
	}
	if b.outstanding {
		e.sendBarrier(ctx, b.number)
	}
	r, err := e.config.Client.Report(ctx)
	if err != nil {
		e.config.Log.Debug("engine report failed", "target", e.config.Target, "error", err)
		e.post(func(time.Time) { e.table.ReportFailed() })
		return
	}
	e.post(func(now time.Time) { e.table.Observe(now, r) })
}

func (e *Engine) sendBarrier(ctx context.Context, n uint64) {
	term := e.config.TermHistory.Term
	if err := e.config.Client.Barrier(ctx, placement.BarrierID(term, n), term); err != nil {
		e.config.Log.Debug("barrier not accepted", "target", e.config.Target, "error", err)
		return
	}
	e.post(func(time.Time) { e.table.BarrierAccepted() })
}

// SetTermHistory replaces the term history.
func (e *Engine) SetTermHistory(history placement.TermHistory) {
	e.post(func(time.Time) { e.table.SetTermHistory(history) })
}

// Close refuses new and waiting requests with err. Running requests continue.
func (e *Engine) Close(err error) {
	e.post(func(time.Time) {
		for _, i := range e.table.Close(err) {
			i.Decide(admission.Decision{Err: err})
		}
	})
}

// Summary returns the state of the target.
func (e *Engine) Summary() (placement.Summary, bool) {
	return queryLoop(e, e.table.Summary)
}

// Preload requests the load of a model for which no request is waiting.
func (e *Engine) Preload(m bamboorail.ModelRef) error {
	err, ok := queryLoop(e, func(now time.Time) error { return e.table.Preload(now, m) })
	if !ok {
		return notRun("preload", bamboorail.KindNotOwner, 0, errEnded)
	}
	return err
}

var _ bamboorail.Dispatcher = (*Engine)(nil)

// Dispatch queues a request, runs it once it is granted and writes the answer
// to s.
func (e *Engine) Dispatch(ctx context.Context, req *bamboorail.Request, s bamboorail.Sink) error {
	arrived := time.Now()
	for attempt := 0; ; attempt++ {
		grant, err := e.awaitDecision(ctx, req)
		if err != nil {
			return err
		}
		err = e.run(ctx, req, grant, arrived, s)
		if bamboorail.KindOf(err) != bamboorail.KindStaleHandle || attempt == maxStaleRetries || err == nil {
			return err
		}
	}
}

// awaitDecision queues a request and waits for the decision on it.
func (e *Engine) awaitDecision(ctx context.Context, req *bamboorail.Request) (admission.Decision, error) {
	i := admission.NewQueuedRequest(req, time.Now())
	err, ok := queryLoop(e, func(now time.Time) error { return e.table.Enqueue(now, i) })
	if !ok {
		return admission.Decision{}, notRun("admit", bamboorail.KindNotOwner, 0, errEnded)
	}
	if err != nil {
		return admission.Decision{}, err
	}
	select {
	case g := <-i.Decided():
		return g, g.Err
	case <-ctx.Done():
		return admission.Decision{}, e.withdraw(ctx, i)
	case <-e.ended:
		return admission.Decision{}, e.withdraw(ctx, i)
	}
}

// withdraw removes a request whose caller no longer waits for it. If it has
// already been granted, the unused grant is returned to the table.
func (e *Engine) withdraw(ctx context.Context, i *admission.QueuedRequest) error {
	e.post(func(now time.Time) {
		if e.table.Remove(i) {
			return
		}
		if g := <-i.Decided(); g.Err == nil {
			e.table.Finished(now, i.Request(), g.Handle, 0, true)
		}
	})
	kind := bamboorail.KindCancelled
	switch {
	case ctx.Err() == nil:
		kind = bamboorail.KindNotOwner
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = bamboorail.KindDeadlineExceeded
	}
	return notRun("wait", kind, time.Second, context.Cause(ctx))
}

// run sends a granted request to the engine.
func (e *Engine) run(ctx context.Context, req *bamboorail.Request, g admission.Decision, arrived time.Time, s bamboorail.Sink) error {
	sink := &meteredSink{Sink: s, head: bamboorail.ResponseHead{
		Target: e.config.Target, QueueWait: time.Since(arrived), LoadWait: g.LoadWait,
	}}
	e.config.Observer.Dispatched(e.config.Target, sink.head.QueueWait, sink.head.LoadWait)
	err := e.config.Client.Run(ctx, bamboorail.EngineRequest{Request: req, Handle: g.Handle}, sink)
	certain := err == nil || bamboorail.NotRun(err)
	e.post(func(now time.Time) {
		if bamboorail.KindOf(err) == bamboorail.KindStaleHandle && err != nil {
			e.table.StaleHandle(g.Handle)
		}
		if sink.chunks > 1 {
			e.table.RecordTokenTime(sink.last.Sub(sink.first) / time.Duration(sink.chunks-1))
		}
		e.table.Finished(now, req, g.Handle, sink.chunks, certain)
	})
	return err
}

// meteredSink counts chunks and completes the head of the answer.
type meteredSink struct {
	bamboorail.Sink
	head        bamboorail.ResponseHead
	chunks      int
	first, last time.Time
}

func (m *meteredSink) Begin(h bamboorail.ResponseHead) error {
	h.Target, h.QueueWait, h.LoadWait = m.head.Target, m.head.QueueWait, m.head.LoadWait
	return m.Sink.Begin(h)
}

func (m *meteredSink) Write(chunk []byte) error {
	m.last = time.Now()
	if m.chunks == 0 {
		m.first = m.last
	}
	m.chunks++
	return m.Sink.Write(chunk)
}
