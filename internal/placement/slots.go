package placement

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
)

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

// LoadUrgency reports whether a load should be started, and its urgency in
// weighted seconds of waiting. The owner then asks for a permit.
func (t *Table) LoadUrgency(now time.Time) (float64, bool) {
	c, ok := t.policy.Load(t, now)
	return c.Urgency, ok
}

// PermitRequested records that the owner waits for a permit. The time until the load
// ends is what requests wait, so it counts as the time of a load.
func (t *Table) PermitRequested(now time.Time) {
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
	if t.closed != nil {
		return LoadPlan{}, false
	}
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

// Loaded records the end of a load. It returns the requests to refuse after
// repeated failures.
func (t *Table) Loaded(now time.Time, h bamboorail.Handle, err error) []*admission.QueuedRequest {
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

func (t *Table) loadFailed(now time.Time, m bamboorail.ModelRef, err error) []*admission.QueuedRequest {
	b := t.failed[m]
	b.failures++
	delay := min(maxLoadBackoff, minLoadBackoff<<min(b.failures-1, 10))
	b.until = now.Add(delay)
	t.failed[m] = b
	if b.failures < maxLoadFailures || errors.Is(err, errAborted) {
		return nil
	}
	return t.queue.TakeIf(func(i *admission.QueuedRequest) bool { return i.Request().Model == m })
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
		s := t.slots[h]
		if t.closed != nil && s.state != slotUnloading {
			// The next owner may use it.
			continue
		}
		if !declared(s.model) || !t.usable(s) {
			s.unloadFailed = false
			s.state = slotUnloading
			retired = append(retired, h)
		}
	}
	return retired
}

// FreeSlots returns the number of slots without an adapter.
func (t *Table) FreeSlots() int { return t.limits.Slots - len(t.slots) }
