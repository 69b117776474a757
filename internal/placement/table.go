// Package placement decides which adapters an engine holds and which request
// runs next. It does no I/O: the owner of a target feeds it events with the
// time at which they happened and carries out the decisions that it returns.
package placement

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
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

type slotState int

const (
	slotLoading slotState = iota
	slotReady
	slotUnloading
)

// slot is one adapter that the engine holds or is about to hold.
type slot struct {
	handle  bamboorail.Handle
	model   bamboorail.ModelRef
	state   slotState
	running int
	// doubtful is set when a request on the handle ended without proof that
	// the engine stopped running it; it holds the barrier that must pass.
	doubtful uint64
	// verifiedIdle is set by a report without a running request that was made
	// after the newest evidence about earlier terms.
	verifiedIdle bool
	// unloadFailed is set when an unload order ended without a clear answer.
	// The order may still take effect, so the handle is only unloaded again.
	unloadFailed bool
	lastUse      time.Time
	// began is the time at which the load was asked for, readyAt its end; both
	// are zero for a handle that an earlier term loaded.
	began, readyAt time.Time
}

// Table is the state of one engine as its owner knows it.
type Table struct {
	limits      Limits
	settings    Settings
	policy      Policy
	evidence    Evidence
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

// backoff delays the next load of a model that failed to load.
type backoff struct {
	failures int
	until    time.Time
}

const (
	minLoadBackoff = 500 * time.Millisecond
	maxLoadBackoff = 30 * time.Second
	// maxLoadFailures is the number of consecutive failures after which the
	// waiting requests of a model are refused.
	maxLoadFailures = 3
)

// average is an exponentially weighted mean of durations in seconds.
type average struct{ seconds float64 }

const averageGain = 0.2

func (a *average) add(d time.Duration) { a.seconds += averageGain * (d.Seconds() - a.seconds) }

// NewTable returns the table of an engine about which nothing is known yet.
func NewTable(l Limits, s Settings, p Policy, e Evidence) *Table {
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
func (t *Table) SetEvidence(e Evidence) {
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
func (t *Table) Evidence() Evidence { return t.evidence }

// Close refuses all waiting and new requests with err until it is nil again.
func (t *Table) Close(err error) []*admission.Item {
	t.closed = err
	if err == nil {
		return nil
	}
	return t.queue.TakeIf(func(*admission.Item) bool { return true })
}

// Closed returns the reason for which new requests are refused, or nil.
func (t *Table) Closed() error { return t.closed }

// Enqueue admits a request or refuses it at once.
func (t *Table) Enqueue(now time.Time, i *admission.Item) error {
	if t.closed != nil {
		return t.closed
	}
	if t.leaving {
		return t.LeavingRefusal()
	}
	if t.queue.Len() >= t.settings.MaxQueue {
		return refuse(bamboorail.KindOverloaded, t.drainTime(i.Work().Priority), fmt.Errorf("%d requests wait", t.queue.Len()))
	}
	wait := t.ExpectedWait(now, i.Work().Model, i.Work().Priority)
	if now.Add(wait).After(i.Work().Deadline) {
		return refuse(bamboorail.KindOverloaded, wait, fmt.Errorf("expected wait of %s passes the deadline", wait.Round(time.Millisecond)))
	}
	t.touch(now, i.Work().Model, float64(max(1, i.Work().Weight)))
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
func (t *Table) TakeLeaving() []*admission.Item {
	if !t.leaving {
		return nil
	}
	return t.queue.TakeIf(func(*admission.Item) bool { return true })
}

// Remove takes a waiting request out of the queue.
func (t *Table) Remove(i *admission.Item) bool { return t.queue.Remove(i) }

// Expired takes the requests out of the queue whose deadline has passed.
func (t *Table) Expired(now time.Time) []*admission.Item {
	return t.queue.TakeIf(func(i *admission.Item) bool { return !now.Before(i.Work().Deadline) })
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

// serving returns a ready slot on which the model may run, or nil.
func (t *Table) serving(m bamboorail.ModelRef) *slot {
	var best *slot
	for _, s := range t.slots {
		if s.model != m || !t.usable(s) {
			continue
		}
		if best == nil || s.handle < best.handle {
			best = s
		}
	}
	return best
}

// loading reports whether a load of the model is under way.
func (t *Table) loading(m bamboorail.ModelRef) bool {
	for _, s := range t.slots {
		if s.model == m && s.state == slotLoading {
			return true
		}
	}
	return false
}

// Dispatch is the decision to run a request on a handle.
type Dispatch struct {
	Item   *admission.Item
	Handle bamboorail.Handle
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
	s := t.serving(i.Work().Model)
	s.running++
	s.lastUse = now
	t.running++
	return Dispatch{Item: i, Handle: s.handle, LoadWait: max(0, s.readyAt.Sub(i.Enqueued()))}, true
}

// Finished records the end of a request. certain is false if the engine may
// still run it; used is the number of tokens of the answer.
func (t *Table) Finished(now time.Time, w *bamboorail.Work, h bamboorail.Handle, used int, certain bool) {
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

// Wanted reports whether a load should be started, and its urgency in
// weighted seconds of waiting. The owner then asks for a permit.
func (t *Table) Wanted(now time.Time) (float64, bool) {
	c, ok := t.policy.Load(t, now)
	return c.Urgency, ok
}

// LoadAsked records that the owner waits for a permit. The time until the load
// ends is what requests wait, so it counts as the time of a load.
func (t *Table) LoadAsked(now time.Time) {
	if t.askedAt.IsZero() {
		t.askedAt = now
	}
}

// LoadPlan is the decision to load a model, after unloading a victim if the
// engine has no free slot.
type LoadPlan struct {
	Model  bamboorail.ModelRef
	Handle bamboorail.Handle
	// Victim is empty if a slot is free.
	Victim bamboorail.Handle
}

// BeginLoad chooses the load to make with a permit that was granted. The
// slots of the plan are taken from then on.
func (t *Table) BeginLoad(now time.Time) (LoadPlan, bool) {
	asked := t.askedAt
	t.askedAt = time.Time{}
	c, ok := t.policy.Load(t, now)
	if !ok {
		return LoadPlan{}, false
	}
	if asked.IsZero() {
		asked = now
	}
	t.loads++
	p := LoadPlan{Model: c.Model, Handle: NewHandle(c.Model, t.evidence.Term, t.loads), Victim: c.Victim}
	if p.Victim != "" {
		t.slots[p.Victim].state = slotUnloading
		t.slots[p.Victim].unloadFailed = false
	}
	t.slots[p.Handle] = &slot{handle: p.Handle, model: p.Model, state: slotLoading, began: asked}
	return p, true
}

// Unloaded records the end of an unload order. An order that was refused or
// never left leaves the handle usable; one without a clear answer does not.
func (t *Table) Unloaded(h bamboorail.Handle, err error) {
	s, ok := t.slots[h]
	if !ok || s.state != slotUnloading {
		return
	}
	switch {
	case err == nil || bamboorail.KindOf(err) == bamboorail.KindStaleHandle:
		delete(t.slots, h)
		t.barrier++
		t.strayBarrier = t.barrier
	case bamboorail.NotRun(err) && !s.unloadFailed:
		s.state = slotReady
	default:
		s.unloadFailed = true
	}
}

// Settled reports whether no unload order is under way.
func (t *Table) Settled() bool {
	for _, s := range t.slots {
		if s.state == slotUnloading {
			return false
		}
	}
	return true
}

// Drained reports whether no request runs, or may run, that the owner sent.
func (t *Table) Drained() bool {
	if t.running > 0 {
		return false
	}
	for _, s := range t.slots {
		if s.doubtful > 0 {
			return false
		}
	}
	return true
}

// Loaded records the end of a load. It returns the requests to refuse after
// repeated failures.
func (t *Table) Loaded(now time.Time, h bamboorail.Handle, err error) []*admission.Item {
	s, ok := t.slots[h]
	if !ok {
		return nil
	}
	if err == nil {
		t.loadTime.add(now.Sub(s.began))
		s.state = slotReady
		s.readyAt = now
		s.lastUse = now
		delete(t.failed, s.model)
		delete(t.preload, s.model)
		return nil
	}
	delete(t.preload, s.model)
	if bamboorail.NotRun(err) || bamboorail.KindOf(err) == bamboorail.KindTargetFailed || errors.Is(err, errAborted) {
		delete(t.slots, h)
	} else {
		// The engine may hold the adapter all the same.
		s.state, s.unloadFailed = slotUnloading, true
	}
	return t.loadFailed(now, s.model, err)
}

func (t *Table) loadFailed(now time.Time, m bamboorail.ModelRef, err error) []*admission.Item {
	b := t.failed[m]
	b.failures++
	delay := min(maxLoadBackoff, minLoadBackoff<<min(b.failures-1, 10))
	b.until = now.Add(delay)
	t.failed[m] = b
	if b.failures < maxLoadFailures || errors.Is(err, errAborted) {
		return nil
	}
	return t.queue.TakeIf(func(i *admission.Item) bool { return i.Work().Model == m })
}

// errAborted marks a load that was given up before it reached the engine.
var errAborted = errors.New("load was given up")

// Aborted returns the error to report for a load that never began.
func Aborted(cause error) error { return fmt.Errorf("%w: %w", errAborted, cause) }

// LoadFailure returns the refusal for requests whose adapter does not load.
func (t *Table) LoadFailure(now time.Time, m bamboorail.ModelRef) error {
	b := t.failed[m]
	return refuse(bamboorail.KindLoadFailed, max(time.Second, b.until.Sub(now)),
		fmt.Errorf("model %s failed to load %d times in a row", m, b.failures))
}

// StaleHandle records that the engine refused a request because it does not
// know the handle: the engine lost it.
func (t *Table) StaleHandle(h bamboorail.Handle) {
	if s, ok := t.slots[h]; ok && s.state == slotReady {
		delete(t.slots, h)
	}
}

// BarrierAccepted records that the engine accepted an order of this term.
func (t *Table) BarrierAccepted() { t.fenced = t.checksFencing }

// Unreachable records that the engine gave no report. Nothing follows from
// it: the engine may still run what it was sent.
func (t *Table) Unreachable() { t.unreachable++ }

// Preload asks for a load of a model although no request waits for it.
func (t *Table) Preload(now time.Time, m bamboorail.ModelRef) error {
	if t.closed != nil {
		return t.closed
	}
	if t.serving(m) == nil && !t.loading(m) {
		t.touch(now, m, 1)
		t.preload[m] = now
	}
	return nil
}

// Barrier returns the number of the barrier that the engine should get, if
// one is outstanding.
func (t *Table) Barrier() (uint64, bool) { return t.barrier, t.passed < t.barrier }

// BarrierID names a barrier of a term.
func BarrierID(term, n uint64) string { return fmt.Sprintf("%d.%d", term, n) }

// Observe reconciles the table with a report of the engine. The table is
// right about what the owner sent, the report about what others left.
func (t *Table) Observe(now time.Time, r bamboorail.EngineReport) {
	if t.incarnation != "" && r.Incarnation != t.incarnation {
		t.restarted()
	}
	t.incarnation = r.Incarnation
	t.unreachable = 0
	t.cold = r.BaseModel == ""
	t.leaving = r.Leaving
	if r.Slots > 0 {
		t.limits.Slots = r.Slots
	}
	if r.MaxBatch > 0 {
		t.limits.MaxBatch = r.MaxBatch
	}
	if n := t.barrierOf(r.LastOrder); n > t.passed {
		t.passed = n
	}
	reported := map[bamboorail.Handle]bamboorail.HandleState{}
	for _, h := range r.Handles {
		reported[h.Handle] = h
		t.observeHandle(now, h)
	}
	t.dropMissing(reported)
}

// restarted drops what an engine lost by a restart. Loads under way fail on
// their own.
func (t *Table) restarted() {
	for h, s := range t.slots {
		if s.state == slotReady {
			delete(t.slots, h)
		}
	}
	t.fenced = false
	t.barrier++
}

func (t *Table) barrierOf(lastOrder string) uint64 {
	var term, n uint64
	if _, err := fmt.Sscanf(lastOrder, "%d.%d", &term, &n); err != nil || term != t.evidence.Term {
		return 0
	}
	return n
}

func (t *Table) observeHandle(now time.Time, h bamboorail.HandleState) {
	s, ok := t.slots[h.Handle]
	if !ok {
		s = &slot{handle: h.Handle, model: h.Model, state: slotReady, lastUse: now}
		if t.evidence.StateOf(h.Handle) == TermOwn {
			if t.passed < t.strayBarrier {
				return // possibly unloaded since the reported state
			}
			// A load whose result was lost: it can only be unloaded.
			s.state, s.unloadFailed = slotUnloading, true
		}
		t.slots[h.Handle] = s
	}
	if h.Running > 0 {
		return
	}
	if t.passed >= s.doubtful {
		s.doubtful = 0
	}
	if t.passed >= t.evidenceBarrier {
		s.verifiedIdle = true
	}
}

// dropMissing forgets handles of earlier terms that the engine no longer has.
func (t *Table) dropMissing(reported map[bamboorail.Handle]bamboorail.HandleState) {
	for h, s := range t.slots {
		term, _ := TermOf(h)
		if _, ok := reported[h]; !ok && term != t.evidence.Term && s.running == 0 {
			delete(t.slots, h)
		}
	}
}

// unloadable reports whether an order to unload the slot is safe.
func (t *Table) unloadable(s *slot) bool {
	ready := s.state == slotReady || (s.state == slotUnloading && s.unloadFailed)
	if !ready || s.running > 0 || s.doubtful > 0 {
		return false
	}
	return t.evidence.MayUnload(s.handle, s.verifiedIdle)
}

// usable reports whether requests may be sent to the slot's handle.
func (t *Table) usable(s *slot) bool {
	return s.state == slotReady && t.evidence.MayDispatch(s.handle, t.fenced)
}

// Victims returns the handles that may be unloaded and that no waiting
// request can use, ordered by handle.
func (t *Table) Victims() []bamboorail.Handle {
	var victims []bamboorail.Handle
	for _, s := range t.slots {
		if t.unloadable(s) && (t.queue.Models()[s.model] == nil || !t.usable(s)) {
			victims = append(victims, s.handle)
		}
	}
	slices.Sort(victims)
	return victims
}

// Retire returns the handles that may be unloaded now because their model is
// no longer declared or because they are of no use, and marks them as
// unloading.
func (t *Table) Retire(declared func(bamboorail.ModelRef) bool) []bamboorail.Handle {
	var retired []bamboorail.Handle
	for _, h := range t.Victims() {
		if s := t.slots[h]; !declared(s.model) || !t.usable(s) {
			s.unloadFailed = false
			s.state = slotUnloading
			retired = append(retired, h)
		}
	}
	return retired
}

// FreeSlots returns the number of slots without an adapter.
func (t *Table) FreeSlots() int { return t.limits.Slots - len(t.slots) }

// SlotView describes a slot to operators and routers.
type SlotView struct {
	Handle  bamboorail.Handle
	Model   bamboorail.ModelRef
	Ready   bool
	Running int
}

// Summary describes a table to operators and routers.
type Summary struct {
	Slots []SlotView
	// Awaited are the models that requests wait for and that are not loaded.
	Awaited []bamboorail.ModelRef
	// VictimValue is the worth of the adapter that the next load would evict,
	// 0 with a free slot.
	VictimValue float64
	Limits      Limits
	Running     int
	Queued      int
	Wait        time.Duration
	LoadTime    time.Duration
	Cold        bool
	// Leaving is set for a target that reports that it leaves.
	Leaving bool
	// Unreachable is set after several missing reports.
	Unreachable bool
}

// unreachableReports is the number of missing reports after which routers
// prefer another target.
const unreachableReports = 2

// Summary returns the state of the table.
func (t *Table) Summary(now time.Time) Summary {
	s := Summary{Limits: t.limits, Running: t.running, Queued: t.queue.Len(), Cold: t.cold, Leaving: t.leaving}
	s.Unreachable = t.unreachable >= unreachableReports
	s.LoadTime = time.Duration(t.loadTime.seconds * float64(time.Second))
	if t.running+t.queue.Len() >= t.limits.MaxBatch {
		s.Wait = t.drainTime(bamboorail.PriorityBatch)
	}
	s.VictimValue = t.victimValue(now)
	for m := range t.queue.Models() {
		if t.serving(m) == nil {
			s.Awaited = append(s.Awaited, m)
		}
	}
	for _, sl := range t.slots {
		s.Slots = append(s.Slots, SlotView{
			Handle: sl.handle, Model: sl.model, Running: sl.running,
			Ready: t.usable(sl),
		})
	}
	slices.SortFunc(s.Slots, func(a, b SlotView) int { return cmp.Compare(a.Handle, b.Handle) })
	return s
}

// EarlierCleared reports whether the engine, asked after the newest evidence,
// holds no handle of an owner that is gone.
func (t *Table) EarlierCleared() bool {
	if t.passed < t.evidenceBarrier || t.incarnation == "" {
		return false
	}
	for _, s := range t.slots {
		state := t.evidence.StateOf(s.handle)
		if state == TermGone || (state == TermReleasedGone && !s.verifiedIdle) {
			return false
		}
	}
	return true
}

// Reset forgets the requests that ran on an engine that is known to have
// restarted.
func (t *Table) Reset(now time.Time) {
	t.running = 0
	for _, s := range t.slots {
		s.running, s.doubtful, s.lastUse = 0, 0, now
	}
}

// Running returns the number of requests that run on the engine.
func (t *Table) Running() int { return t.running }

// Queued returns the number of waiting requests.
func (t *Table) Queued() int { return t.queue.Len() }
