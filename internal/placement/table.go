// Package placement decides which adapters an engine holds and which request
// runs next. It does no I/O: the owner of a target feeds it events with the
// time at which they happened and carries out the decisions that it returns.
package placement

import (
	"errors"
	"fmt"
	"math"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
)

// Limits describe an engine.
type Limits struct {
	Slots    int
	MaxBatch int
	// ChecksFencing is set for an engine that refuses old fencing numbers.
	ChecksFencing bool
}

// Settings tune the decisions of a table.
type Settings struct {
	// DemandHalfLife is the time in which past demand loses half its weight.
	DemandHalfLife time.Duration
	// LoadTime is the expected time of a load before the first was measured.
	LoadTime time.Duration
	// TokenTime is the expected time per token before the first was measured.
	TokenTime time.Duration
	// MaxQueue bounds the waiting requests of a target.
	MaxQueue int
}

// DefaultSettings returns the settings of a new owner.
func DefaultSettings() Settings {
	return Settings{
		DemandHalfLife: 5 * time.Minute,
		LoadTime:       time.Second,
		TokenTime:      25 * time.Millisecond,
		MaxQueue:       2048,
	}
}

// Table is the state of one engine as its owner knows it.
type Table struct {
	limits      Limits
	settings    Settings
	policy      Policy
	evidence    TermHistory
	queue       *admission.Queue
	slots       map[bamboorail.Handle]*slot
	demand      map[bamboorail.ModelRef]*demand
	incarnation string
	cold        bool
	leaving     bool
	closed      error
	running     int
	loads       uint64
	// barrier is the number of the newest barrier that must be sent, passed
	// the newest one that a report included.
	barrier, passed uint64
	// evidenceBarrier is the barrier sent after the newest evidence,
	// strayBarrier the one sent after the last unload.
	evidenceBarrier, strayBarrier uint64
	failed                        map[bamboorail.ModelRef]backoff
	// askedAt is the time since which the owner waits for a permit, or zero.
	askedAt time.Time
	// preload holds the models that operators asked for, by time.
	preload       map[bamboorail.ModelRef]time.Time
	checksFencing bool
	// fenced is set once the engine accepted a fencing number of this term.
	fenced bool
	// unreachable counts missing reports since the last one.
	unreachable int
	loadTime    average
	tokenTime   average
}

// demand is an exponentially decayed count of requests.
type demand struct {
	value float64
	at    time.Time
}

// average is an exponentially weighted mean of durations in seconds.
type average struct{ seconds float64 }

const averageGain = 0.2

func (a *average) add(d time.Duration) { a.seconds += averageGain * (d.Seconds() - a.seconds) }

// NewTable returns the table of an engine about which nothing is known yet.
func NewTable(l Limits, s Settings, p Policy, e TermHistory) *Table {
	return &Table{
		limits: l, settings: s, policy: p, evidence: e,
		queue:     admission.NewQueue(),
		slots:     map[bamboorail.Handle]*slot{},
		demand:    map[bamboorail.ModelRef]*demand{},
		failed:    map[bamboorail.ModelRef]backoff{},
		preload:   map[bamboorail.ModelRef]time.Time{},
		loadTime:  average{seconds: s.LoadTime.Seconds()},
		tokenTime: average{seconds: s.TokenTime.Seconds()},
		barrier:   1,

		evidenceBarrier: 1,

		checksFencing: l.ChecksFencing,
	}
}

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func refuse(kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{
		Op: "admit", Kind: kind, Outcome: bamboorail.OutcomeNotRun, RetryAfter: after, Err: err,
	}}
}

// SetEvidence replaces what is known about earlier terms. New evidence about
// a term needs a new barrier before its handles can be verified as idle.
func (t *Table) SetEvidence(e TermHistory) {
	if e.Equal(t.evidence) {
		return
	}
	t.evidence = e
	t.barrier++
	t.evidenceBarrier = t.barrier
	for _, s := range t.slots {
		s.verifiedIdle = false
	}
}

// Evidence returns what is known about earlier terms.
func (t *Table) Evidence() TermHistory { return t.evidence }

// Close refuses all waiting and new requests with err until it is nil again.
func (t *Table) Close(err error) []*admission.QueuedRequest {
	t.closed = err
	if err == nil {
		return nil
	}
	return t.queue.TakeIf(func(*admission.QueuedRequest) bool { return true })
}

// Closed returns the reason for which new requests are refused, or nil.
func (t *Table) Closed() error { return t.closed }

// Enqueue admits a request or refuses it at once.
func (t *Table) Enqueue(now time.Time, i *admission.QueuedRequest) error {
	if t.closed != nil {
		return t.closed
	}
	if t.leaving {
		return t.LeavingRefusal()
	}
	if t.queue.Len() >= t.settings.MaxQueue {
		return refuse(bamboorail.KindOverloaded, t.drainTime(i.Request().Priority), fmt.Errorf("%d requests wait", t.queue.Len()))
	}
	wait := t.ExpectedWait(now, i.Request().Model, i.Request().Priority)
	if now.Add(wait).After(i.Request().Deadline) {
		return refuse(bamboorail.KindOverloaded, wait, fmt.Errorf("expected wait of %s passes the deadline", wait.Round(time.Millisecond)))
	}
	t.touch(now, i.Request().Model, float64(max(1, i.Request().Weight)))
	t.queue.Push(i)
	return nil
}

// errLeaving is the reason of a target that reports that it leaves.
var errLeaving = errors.New("the target reports that it leaves")

// LeavingRefusal returns the refusal of a target that reports that it leaves.
func (t *Table) LeavingRefusal() error {
	return refuse(bamboorail.KindNoTarget, time.Second, errLeaving)
}

// TakeLeaving takes all requests out of the queue if the target leaves.
func (t *Table) TakeLeaving() []*admission.QueuedRequest {
	if !t.leaving {
		return nil
	}
	return t.queue.TakeIf(func(*admission.QueuedRequest) bool { return true })
}

// Remove takes a waiting request out of the queue.
func (t *Table) Remove(i *admission.QueuedRequest) bool { return t.queue.Remove(i) }

// Expired takes the requests out of the queue whose deadline has passed.
func (t *Table) Expired(now time.Time) []*admission.QueuedRequest {
	return t.queue.TakeIf(func(i *admission.QueuedRequest) bool { return !now.Before(i.Request().Deadline) })
}

func (t *Table) touch(now time.Time, m bamboorail.ModelRef, weight float64) {
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

// forgottenDemand is the decayed weight below which a model is forgotten.
const forgottenDemand = 0.01

// Compact drops state of models without recent demand.
func (t *Table) Compact(now time.Time) {
	for m, d := range t.demand {
		if d.decayed(now, t.settings.DemandHalfLife) < forgottenDemand {
			delete(t.demand, m)
		}
	}
	for m, b := range t.failed {
		if now.Sub(b.until) > maxLoadBackoff {
			delete(t.failed, m)
		}
	}
	t.queue.Compact()
}

// drainTime is the time in which the engine works off the part of its queue
// that a request of the given priority would wait for.
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
	if t.serving(m) != nil {
		return wait
	}
	load := time.Duration(t.loadTime.seconds * float64(time.Second))
	if b, ok := t.failed[m]; ok && now.Before(b.until) {
		load += b.until.Sub(now)
	}
	return max(wait, load)
}

// Dispatch is the decision to run a request on a handle.
type Dispatch struct {
	Request *admission.QueuedRequest
	Handle  bamboorail.Handle
	// LoadWait is the time between the arrival of the request and the end of
	// the load of its adapter, 0 if the adapter was loaded before.
	LoadWait time.Duration
}

// NextDispatch returns the next request to run, if the batch has room.
func (t *Table) NextDispatch(now time.Time) (Dispatch, bool) {
	if t.running >= t.limits.MaxBatch || t.cold || t.leaving {
		return Dispatch{}, false
	}
	i := t.policy.Next(t)
	if i == nil {
		return Dispatch{}, false
	}
	s := t.serving(i.Request().Model)
	s.running++
	s.lastUse = now
	t.running++
	return Dispatch{Request: i, Handle: s.handle, LoadWait: max(0, s.readyAt.Sub(i.Enqueued()))}, true
}

// Finished records the end of a request. certain is false if the engine may
// still run it; used is the number of tokens of the answer.
func (t *Table) Finished(now time.Time, w *bamboorail.Request, h bamboorail.Handle, used int, certain bool) {
	t.running--
	t.queue.Settle(w, used)
	s, ok := t.slots[h]
	if !ok {
		return
	}
	s.running--
	s.lastUse = now
	if !certain {
		t.barrier++
		s.doubtful = t.barrier
	}
}

// TokenTime records the time per token of a finished answer.
func (t *Table) TokenTime(d time.Duration) { t.tokenTime.add(d) }
