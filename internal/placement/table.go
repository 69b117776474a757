// Package placement decides which adapters an engine keeps loaded and which
// request runs next. It performs no I/O: the owner of a target passes in
// timestamped events and executes the decisions that are returned.
package placement

import (
	"errors"
	"fmt"
	"math"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
)

// Limits describes the capacity and capabilities of an engine.
type Limits struct {
	Slots    int
	MaxBatch int
	// ChecksFencing is set for an engine that rejects outdated fencing tokens.
	ChecksFencing bool
}

// Settings holds the tuning parameters of a table.
type Settings struct {
	// DemandHalfLife is the half-life of the recorded demand.
	DemandHalfLife time.Duration
	// LoadTime is the expected duration of a load before the first measurement.
	LoadTime time.Duration
	// TokenTime is the expected time per token before the first measurement.
	TokenTime time.Duration
	// MaxQueue is the maximum number of waiting requests of a target.
	MaxQueue int
}

// DefaultSettings returns the settings for a new owner.
func DefaultSettings() Settings {
	return Settings{
		DemandHalfLife: 5 * time.Minute,
		LoadTime:       time.Second,
		TokenTime:      25 * time.Millisecond,
		MaxQueue:       2048,
	}
}

// Table is the state of one engine as known to its owner.
type Table struct {
	limits      Limits
	settings    Settings
	policy      Policy
	history     TermHistory
	queue       *admission.Queue
	slots       map[bamboorail.Handle]*slot
	demand      map[bamboorail.ModelRef]*demand
	incarnation string
	cold        bool
	leaving     bool
	closed      error
	running     int
	loadCount   uint64
	// barrier is the number of the latest barrier to send, passedBarrier that of
	// the latest barrier that a report confirmed.
	barrier, passedBarrier uint64
	// historyBarrier is the barrier issued after the latest change of the term
	// history, unloadBarrier the one issued after the last unload.
	historyBarrier, unloadBarrier uint64
	backoffs                      map[bamboorail.ModelRef]backoff
	// permitRequestedAt is the time since which the owner has been waiting for a
	// permit, or zero.
	permitRequestedAt time.Time
	// preload maps the models that operators asked to preload to the times of
	// the requests.
	preload       map[bamboorail.ModelRef]time.Time
	checksFencing bool
	// fenced is set once the engine has accepted a fencing token of this term.
	fenced bool
	// missedReports counts the consecutive missing reports.
	missedReports int
	loadTime      average
	tokenTime     average
}

// demand is an exponentially decayed, weighted count of requests.
type demand struct {
	value float64
	at    time.Time
}

// average is an exponentially weighted mean of durations in seconds.
type average struct{ seconds float64 }

const averageWeight = 0.2

func (a *average) add(d time.Duration) { a.seconds += averageWeight * (d.Seconds() - a.seconds) }

// NewTable returns the table of an engine that has not reported yet.
func NewTable(l Limits, s Settings, p Policy, history TermHistory) *Table {
	return &Table{
		limits: l, settings: s, policy: p, history: history,
		queue:     admission.NewQueue(),
		slots:     map[bamboorail.Handle]*slot{},
		demand:    map[bamboorail.ModelRef]*demand{},
		backoffs:  map[bamboorail.ModelRef]backoff{},
		preload:   map[bamboorail.ModelRef]time.Time{},
		loadTime:  average{seconds: s.LoadTime.Seconds()},
		tokenTime: average{seconds: s.TokenTime.Seconds()},
		barrier:   1,

		historyBarrier: 1,

		checksFencing: l.ChecksFencing,
	}
}

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func refusal(kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{
		Op: "admit", Kind: kind, Outcome: bamboorail.OutcomeNotRun, RetryAfter: after, Err: err,
	}}
}

// SetTermHistory replaces the term history. After a change, handles can be
// verified as idle only once a new barrier has passed.
func (t *Table) SetTermHistory(history TermHistory) {
	if history.Equal(t.history) {
		return
	}
	t.history = history
	t.barrier++
	t.historyBarrier = t.barrier
	for _, s := range t.slots {
		s.verifiedIdle = false
	}
}

// TermHistory returns the current term history.
func (t *Table) TermHistory() TermHistory { return t.history }

// Close makes the table refuse new requests with err and returns the waiting
// requests, which the caller must refuse. A nil err reopens the table.
func (t *Table) Close(err error) []*admission.QueuedRequest {
	t.closed = err
	if err == nil {
		return nil
	}
	return t.queue.TakeIf(func(*admission.QueuedRequest) bool { return true })
}

// Closed returns the error with which new requests are refused, or nil.
func (t *Table) Closed() error { return t.closed }

// Enqueue adds a request to the queue. It refuses the request if the queue is
// full or the expected wait exceeds the deadline.
func (t *Table) Enqueue(now time.Time, i *admission.QueuedRequest) error {
	if t.closed != nil {
		return t.closed
	}
	if t.leaving {
		return t.LeavingRefusal()
	}
	if t.queue.Len() >= t.settings.MaxQueue {
		return refusal(bamboorail.KindOverloaded, t.drainTime(i.Request().Priority), fmt.Errorf("queue is full: %d requests waiting", t.queue.Len()))
	}
	wait := t.ExpectedWait(now, i.Request().Model, i.Request().Priority)
	if now.Add(wait).After(i.Request().Deadline) {
		return refusal(bamboorail.KindOverloaded, wait, fmt.Errorf("expected wait of %s exceeds the deadline", wait.Round(time.Millisecond)))
	}
	t.addDemand(now, i.Request().Model, float64(max(1, i.Request().Weight)))
	t.queue.Push(i)
	return nil
}

// errLeaving is the cause of refusals by a target that reports that it is
// leaving.
var errLeaving = errors.New("target reports that it is leaving")

// LeavingRefusal returns the refusal for requests to a target that reports that
// it is leaving.
func (t *Table) LeavingRefusal() error {
	return refusal(bamboorail.KindNoTarget, time.Second, errLeaving)
}

// TakeAllIfLeaving removes and returns all waiting requests if the target is
// leaving.
func (t *Table) TakeAllIfLeaving() []*admission.QueuedRequest {
	if !t.leaving {
		return nil
	}
	return t.queue.TakeIf(func(*admission.QueuedRequest) bool { return true })
}

// Remove removes a waiting request from the queue and reports whether it was
// there.
func (t *Table) Remove(i *admission.QueuedRequest) bool { return t.queue.Remove(i) }

// Expired removes and returns the waiting requests whose deadline has passed.
func (t *Table) Expired(now time.Time) []*admission.QueuedRequest {
	return t.queue.TakeIf(func(i *admission.QueuedRequest) bool { return !now.Before(i.Request().Deadline) })
}

func (t *Table) addDemand(now time.Time, m bamboorail.ModelRef, weight float64) {
	d, ok := t.demand[m]
	if !ok {
		d = &demand{at: now}
		t.demand[m] = d
	}
	d.value = d.decayed(now, t.settings.DemandHalfLife) + weight
	d.at = now
}

func (d *demand) decayed(now time.Time, halfLife time.Duration) float64 {
	return d.value * math.Exp2(-now.Sub(d.at).Seconds()/halfLife.Seconds())
}

// Demand returns the decayed weight of recent requests for a model.
func (t *Table) Demand(now time.Time, m bamboorail.ModelRef) float64 {
	d, ok := t.demand[m]
	if !ok {
		return 0
	}
	return d.decayed(now, t.settings.DemandHalfLife)
}

// minDemand is the decayed weight below which the demand of a model is dropped.
const minDemand = 0.01

// Compact drops the state of models without recent demand.
func (t *Table) Compact(now time.Time) {
	for m, d := range t.demand {
		if d.decayed(now, t.settings.DemandHalfLife) < minDemand {
			delete(t.demand, m)
		}
	}
	for m, b := range t.backoffs {
		if now.Sub(b.until) > maxLoadBackoff {
			delete(t.backoffs, m)
		}
	}
	t.queue.Compact()
}

// drainTime estimates the time in which the engine serves the waiting requests
// ahead of a new request of the given priority.
func (t *Table) drainTime(p bamboorail.Priority) time.Duration {
	perSecond := float64(max(1, t.limits.MaxBatch)) / t.tokenTime.seconds
	return max(time.Second, time.Duration(float64(t.queue.CostBefore(p))/perSecond*float64(time.Second)))
}

// ExpectedWait estimates the time until a request for the model would start.
func (t *Table) ExpectedWait(now time.Time, m bamboorail.ModelRef, p bamboorail.Priority) time.Duration {
	var wait time.Duration
	if t.running+t.queue.Len() >= t.limits.MaxBatch {
		wait = t.drainTime(p)
	}
	if t.servingSlot(m) != nil {
		return wait
	}
	load := time.Duration(t.loadTime.seconds * float64(time.Second))
	if b, ok := t.backoffs[m]; ok && now.Before(b.until) {
		load += b.until.Sub(now)
	}
	return max(wait, load)
}

// Dispatch is the decision to run a request on a handle.
type Dispatch struct {
	Request *admission.QueuedRequest
	Handle  bamboorail.Handle
	// LoadWait is the time from the arrival of the request to the end of the
	// load of its adapter, or 0 if the adapter was already loaded.
	LoadWait time.Duration
}

// NextDispatch returns the next request to run if the batch has room.
func (t *Table) NextDispatch(now time.Time) (Dispatch, bool) {
	if t.running >= t.limits.MaxBatch || t.cold || t.leaving {
		return Dispatch{}, false
	}
	i := t.policy.Next(t)
	if i == nil {
		return Dispatch{}, false
	}
	s := t.servingSlot(i.Request().Model)
	s.running++
	s.lastUse = now
	t.running++
	return Dispatch{Request: i, Handle: s.handle, LoadWait: max(0, s.readyAt.Sub(i.Enqueued()))}, true
}

// Finished records the end of a request. certain is false if the engine may
// still be running it; used is the number of tokens in the answer.
func (t *Table) Finished(now time.Time, r *bamboorail.Request, h bamboorail.Handle, used int, certain bool) {
	t.running--
	t.queue.AdjustCost(r, used)
	s, ok := t.slots[h]
	if !ok {
		return
	}
	s.running--
	s.lastUse = now
	if !certain {
		t.barrier++
		s.uncertainUntil = t.barrier
	}
}

// RecordTokenTime records the time per token of a finished answer.
func (t *Table) RecordTokenTime(d time.Duration) { t.tokenTime.add(d) }
