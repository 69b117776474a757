// Package owner runs the queue and the table of each target that this
// instance owns: engines with their adapters, and keepers of request ids.
package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/placement"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func notRun(op string, kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: bamboorail.OutcomeNotRun, RetryAfter: after, Err: err}}
}

const (
	eventRing      = 256
	orderRing      = 16
	tickInterval   = 100 * time.Millisecond
	reportInterval = time.Second
	// permitPatience bounds one wait for a permit; a new request then carries
	// the current urgency.
	permitPatience = 2 * time.Second
	loadTimeout    = 2 * time.Minute
	// staleRetries is the number of times that a request goes back to the
	// queue because the engine had lost its handle.
	staleRetries = 3
)

// Catalog tells where the weights of a declared model are.
type Catalog interface {
	// Source returns the path of the weights, and false for a model that is
	// not declared or retired.
	Source(m bamboorail.ModelRef) (string, bool)
}

// EngineConfig describes the ownership of one engine.
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

// Observer is told about the events that operators measure.
type Observer interface {
	LoadEnded(target string, d time.Duration, err error)
	Evicted(target string)
	Dispatched(target string, waited, loadWait time.Duration)
	Batch(target string, running, limit int)
}

// Engine owns one engine for one term.
type Engine struct {
	config  EngineConfig
	events  chan event
	orders  chan order
	wanted  chan float64
	reports chan struct{}
	// ended is closed when the decision loop takes no more events. The other
	// duties may still wait for it then.
	ended chan struct{}
	// The fields below belong to the decision loop.
	table   *placement.Table
	waiting bool // a load is wanted or under way
}

// event is a change that the decision loop applies to the table.
type event func(now time.Time)

// order is an unload that the order duty sends to the engine.
type order struct{ handle bamboorail.Handle }

// NewEngine returns the owner of an engine. Run starts it.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{
		config:  c,
		events:  make(chan event, eventRing),
		orders:  make(chan order, orderRing),
		wanted:  make(chan float64, 1),
		reports: make(chan struct{}, 1),
		ended:   make(chan struct{}),
		table:   placement.NewTable(c.Limits, c.Settings, c.Policy, c.TermHistory),
	}
}

// Run carries out the duties of the owner until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	g := duty.NewGroup(ctx)
	g.Start("decide", e.decide)
	g.Start("load", e.load)
	g.Start("unload", e.unload)
	g.Start("report", e.report)
	return g.Wait()
}

// decide applies events and carries out the decisions that follow.
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
		e.act(time.Now())
	}
}

var errEnded = errors.New("ownership of the target ended")

func (e *Engine) refuseAll() {
	refusal := notRun("admit", bamboorail.KindNotOwner, 0, errEnded)
	for _, i := range e.table.Close(refusal) {
		i.Decide(admission.Grant{Err: refusal})
	}
}

func (e *Engine) tick(now time.Time) {
	for _, i := range e.table.Expired(now) {
		i.Decide(admission.Grant{Err: notRun("wait", bamboorail.KindDeadlineExceeded,
			e.table.ExpectedWait(now, i.Request().Model, i.Request().Priority), errors.New("deadline passed in the queue"))})
	}
	for _, i := range e.table.TakeLeaving() {
		i.Decide(admission.Grant{Err: e.table.LeavingRefusal()})
	}
	e.table.Compact(now)
	e.config.Observer.Batch(e.config.Target, e.table.Running(), e.table.Summary(now).Limits.MaxBatch)
	for _, h := range e.table.Retire(e.declared) {
		e.sendUnload(h)
	}
}

func (e *Engine) declared(m bamboorail.ModelRef) bool {
	_, ok := e.config.Catalog.Source(m)
	return ok
}

// sendUnload passes an order on, or takes it back if the ring is full.
func (e *Engine) sendUnload(h bamboorail.Handle) {
	select {
	case e.orders <- order{handle: h}:
	default:
		e.table.Unloaded(h, notRun("unload-adapter", bamboorail.KindOverloaded, 0, errors.New("order ring is full")))
	}
}

// act dispatches what can run and asks for the next load.
func (e *Engine) act(now time.Time) {
	for {
		d, ok := e.table.NextDispatch(now)
		if !ok {
			break
		}
		d.Request.Decide(admission.Grant{Handle: d.Handle, LoadWait: d.LoadWait})
	}
	if _, outstanding := e.table.Barrier(); outstanding {
		e.kickReport()
	}
	if e.waiting {
		return
	}
	if urgency, ok := e.table.LoadUrgency(now); ok {
		e.waiting = true
		e.table.PermitRequested(now)
		e.wanted <- urgency
	}
}

func (e *Engine) kickReport() {
	select {
	case e.reports <- struct{}{}:
	default:
	}
}

// post hands an event to the decision loop. It reports false after the end of
// the ownership.
func (e *Engine) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.ended:
		return false
	}
}

// ask posts a query and waits for its result.
func ask[T any](e *Engine, query func(now time.Time) T) (T, bool) {
	reply := make(chan T, 1)
	var zero T
	if !e.post(func(now time.Time) { reply <- query(now) }) {
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-e.ended:
		return zero, false
	}
}

// load acquires permits and makes loads, one at a time.
func (e *Engine) load(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case urgency := <-e.wanted:
			e.loadOnce(ctx, urgency)
			e.post(func(time.Time) { e.waiting = false })
		}
	}
}

func (e *Engine) loadOnce(ctx context.Context, urgency float64) {
	patience, cancel := context.WithTimeout(ctx, permitPatience)
	defer cancel()
	permit, err := e.config.Permits.AcquirePermit(patience, bamboorail.PermitRequest{Target: e.config.Target, Urgency: urgency})
	if err != nil {
		e.config.Log.Debug("no load permit", "target", e.config.Target, "error", err)
		_ = duty.Sleep(ctx, tickInterval)
		return
	}
	defer permit.Release()
	type planned struct {
		plan placement.LoadPlan
		ok   bool
	}
	p, ok := ask(e, func(now time.Time) planned {
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
			i.Decide(admission.Grant{Err: e.table.LoadFailure(now, p.Model)})
		}
	})
}

func (e *Engine) unloadVictim(ctx context.Context, victim bamboorail.Handle) error {
	if victim == "" {
		return nil
	}
	if err := e.sendUnloadOrder(ctx, victim); err != nil {
		return placement.Aborted(err)
	}
	return nil
}

func (e *Engine) sendUnloadOrder(ctx context.Context, h bamboorail.Handle) error {
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
		case o := <-e.orders:
			if err := e.sendUnloadOrder(ctx, o.handle); err != nil {
				e.config.Log.Warn("unload failed", "target", e.config.Target, "handle", o.handle, "error", err)
			}
		}
	}
}

// report queries the engine and sends outstanding barriers.
func (e *Engine) report(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		e.reportOnce(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-e.reports:
			if err := duty.Sleep(ctx, tickInterval); err != nil {
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
	b, ok := ask(e, func(time.Time) barrierState {
		n, outstanding := e.table.Barrier()
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
		e.config.Log.Debug("no report", "target", e.config.Target, "error", err)
		e.post(func(time.Time) { e.table.Unreachable() })
		return
	}
	e.post(func(now time.Time) { e.table.Observe(now, r) })
}

func (e *Engine) sendBarrier(ctx context.Context, n uint64) {
	term := e.config.TermHistory.Term
	if err := e.config.Client.Barrier(ctx, placement.BarrierID(term, n), term); err != nil {
		e.config.Log.Debug("barrier refused", "target", e.config.Target, "error", err)
		return
	}
	e.post(func(time.Time) { e.table.BarrierAccepted() })
}

// SetEvidence passes on what was learnt about earlier terms.
func (e *Engine) SetEvidence(ev placement.TermHistory) {
	e.post(func(time.Time) { e.table.SetEvidence(ev) })
}

// Close refuses new and waiting requests with err; running ones go on.
func (e *Engine) Close(err error) {
	e.post(func(time.Time) {
		for _, i := range e.table.Close(err) {
			i.Decide(admission.Grant{Err: err})
		}
	})
}

// Summary returns the state of the target.
func (e *Engine) Summary() (placement.Summary, bool) {
	return ask(e, e.table.Summary)
}

// Preload asks for a model to be loaded although nobody waits for it.
func (e *Engine) Preload(m bamboorail.ModelRef) error {
	err, ok := ask(e, func(now time.Time) error { return e.table.Preload(now, m) })
	if !ok {
		return notRun("preload", bamboorail.KindNotOwner, 0, errEnded)
	}
	return err
}

var _ bamboorail.Dispatcher = (*Engine)(nil)

// Dispatch queues a request, runs it when its turn comes and writes the
// answer to s.
func (e *Engine) Dispatch(ctx context.Context, w *bamboorail.Request, s bamboorail.Sink) error {
	arrived := time.Now()
	for attempt := 0; ; attempt++ {
		grant, err := e.enter(ctx, w)
		if err != nil {
			return err
		}
		err = e.run(ctx, w, grant, arrived, s)
		if bamboorail.KindOf(err) != bamboorail.KindStaleHandle || attempt == staleRetries || err == nil {
			return err
		}
	}
}

// enter waits for the grant of a request.
func (e *Engine) enter(ctx context.Context, w *bamboorail.Request) (admission.Grant, error) {
	i := admission.NewQueuedRequest(w, time.Now())
	err, ok := ask(e, func(now time.Time) error { return e.table.Enqueue(now, i) })
	if !ok {
		return admission.Grant{}, notRun("admit", bamboorail.KindNotOwner, 0, errEnded)
	}
	if err != nil {
		return admission.Grant{}, err
	}
	select {
	case g := <-i.Granted():
		return g, g.Err
	case <-ctx.Done():
		return admission.Grant{}, e.withdraw(ctx, i)
	case <-e.ended:
		return admission.Grant{}, e.withdraw(ctx, i)
	}
}

// withdraw takes a request back that its caller gave up. A grant that came
// first is returned to the table unused.
func (e *Engine) withdraw(ctx context.Context, i *admission.QueuedRequest) error {
	e.post(func(now time.Time) {
		if e.table.Remove(i) {
			return
		}
		if g := <-i.Granted(); g.Err == nil {
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
func (e *Engine) run(ctx context.Context, w *bamboorail.Request, g admission.Grant, arrived time.Time, s bamboorail.Sink) error {
	sink := &meteredSink{Sink: s, head: bamboorail.ResponseHead{
		Target: e.config.Target, QueueWait: time.Since(arrived), LoadWait: g.LoadWait,
	}}
	e.config.Observer.Dispatched(e.config.Target, sink.head.QueueWait, sink.head.LoadWait)
	err := e.config.Client.Run(ctx, bamboorail.EngineRequest{Request: w, Handle: g.Handle}, sink)
	certain := err == nil || bamboorail.NotRun(err)
	e.post(func(now time.Time) {
		if bamboorail.KindOf(err) == bamboorail.KindStaleHandle && err != nil {
			e.table.StaleHandle(g.Handle)
		}
		if sink.chunks > 1 {
			e.table.TokenTime(sink.last.Sub(sink.first) / time.Duration(sink.chunks-1))
		}
		e.table.Finished(now, w, g.Handle, sink.chunks, certain)
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
