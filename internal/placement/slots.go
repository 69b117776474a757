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

// slot is an adapter that is loaded on the engine, being loaded or being
// unloaded.
type slot struct {
	handle  bamboorail.Handle
	model   bamboorail.ModelRef
	state   slotState
	running int
	// uncertainUntil is nonzero if a request on the handle ended without proof
	// that the engine stopped running it. It is the number of the barrier that
	// must pass first.
	uncertainUntil uint64
	// verifiedIdle is set by a report that shows no running request and was made
	// after the latest change of the term history.
	verifiedIdle bool
	// unloadFailed is set if an unload order ended without a definite result.
	// The order may still take effect, so the only remaining use of the handle
	// is another unload.
	unloadFailed bool
	lastUse      time.Time
	// requestedAt is the time at which the load was requested, readyAt the time
	// at which it completed. Both are zero for a handle that was loaded in an
	// earlier term.
	requestedAt, readyAt time.Time
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

// servingSlot returns a slot to which requests for the model may be sent, or
// nil.
func (t *Table) servingSlot(m bamboorail.ModelRef) *slot {
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

// isLoading reports whether a load of the model is in progress.
func (t *Table) isLoading(m bamboorail.ModelRef) bool {
	for _, s := range t.slots {
		if s.model == m && s.state == slotLoading {
			return true
		}
	}
	return false
}

// LoadUrgency reports whether a load should be started, and its urgency in
// weighted seconds of waiting. The owner then requests a permit.
func (t *Table) LoadUrgency(now time.Time) (float64, bool) {
	c, ok := t.policy.Load(t, now)
	return c.Urgency, ok
}

// PermitRequested records that the owner is waiting for a permit. Requests wait
// from now until the load completes, so the wait for the permit counts as load
// time.
func (t *Table) PermitRequested(now time.Time) {
	if t.permitRequestedAt.IsZero() {
		t.permitRequestedAt = now
	}
}

// LoadPlan is the decision to load a model, preceded by the unload of a victim
// if the engine has no free slot.
type LoadPlan struct {
	Model  bamboorail.ModelRef
	Handle bamboorail.Handle
	// Victim is empty if a slot is free.
	Victim bamboorail.Handle
}

// BeginLoad chooses the load to perform with a granted permit and reserves its
// slot.
func (t *Table) BeginLoad(now time.Time) (LoadPlan, bool) {
	if t.closed != nil {
		return LoadPlan{}, false
	}
	asked := t.permitRequestedAt
	t.permitRequestedAt = time.Time{}
	c, ok := t.policy.Load(t, now)
	if !ok {
		return LoadPlan{}, false
	}
	if asked.IsZero() {
		asked = now
	}
	t.loadCount++
	p := LoadPlan{Model: c.Model, Handle: NewHandle(c.Model, t.history.Term, t.loadCount), Victim: c.Victim}
	if p.Victim != "" {
		t.slots[p.Victim].state = slotUnloading
		t.slots[p.Victim].unloadFailed = false
	}
	t.slots[p.Handle] = &slot{handle: p.Handle, model: p.Model, state: slotLoading, requestedAt: asked}
	return p, true
}

// Unloaded records the result of an unload order. An order that was refused or
// never sent leaves the handle usable; one without a definite result does not.
func (t *Table) Unloaded(h bamboorail.Handle, err error) {
	s, ok := t.slots[h]
	if !ok || s.state != slotUnloading {
		return
	}
	switch {
	case err == nil || bamboorail.KindOf(err) == bamboorail.KindStaleHandle:
		delete(t.slots, h)
		t.barrier++
		t.unloadBarrier = t.barrier
	case bamboorail.NotRun(err) && !s.unloadFailed:
		s.state = slotReady
	default:
		s.unloadFailed = true
	}
}

// Settled reports whether no unload order is in flight.
func (t *Table) Settled() bool {
	for _, s := range t.slots {
		if s.state == slotUnloading {
			return false
		}
	}
	return true
}

// Loaded records the result of a load. After repeated failures it returns the
// requests to refuse.
func (t *Table) Loaded(now time.Time, h bamboorail.Handle, err error) []*admission.QueuedRequest {
	s, ok := t.slots[h]
	if !ok {
		return nil
	}
	if err == nil {
		t.loadTime.add(now.Sub(s.requestedAt))
		s.state = slotReady
		s.readyAt = now
		s.lastUse = now
		delete(t.backoffs, s.model)
		delete(t.preload, s.model)
		return nil
	}
	delete(t.preload, s.model)
	if bamboorail.NotRun(err) || bamboorail.KindOf(err) == bamboorail.KindTargetFailed || errors.Is(err, errAborted) {
		delete(t.slots, h)
	} else {
		// The engine may have loaded the adapter despite the error.
		s.state, s.unloadFailed = slotUnloading, true
	}
	return t.loadFailed(now, s.model, err)
}

func (t *Table) loadFailed(now time.Time, m bamboorail.ModelRef, err error) []*admission.QueuedRequest {
	b := t.backoffs[m]
	b.failures++
	delay := min(maxLoadBackoff, minLoadBackoff<<min(b.failures-1, 10))
	b.until = now.Add(delay)
	t.backoffs[m] = b
	if b.failures < maxLoadFailures || errors.Is(err, errAborted) {
		return nil
	}
	return t.queue.TakeIf(func(i *admission.QueuedRequest) bool { return i.Request().Model == m })
}

// errAborted marks a load that was aborted before it reached the engine.
var errAborted = errors.New("load aborted")

// Aborted returns the error to report for a load that was never sent.
func Aborted(cause error) error { return fmt.Errorf("%w: %w", errAborted, cause) }

// LoadFailure returns the refusal for requests whose adapter failed to load.
func (t *Table) LoadFailure(now time.Time, m bamboorail.ModelRef) error {
	b := t.backoffs[m]
	return refusal(bamboorail.KindLoadFailed, max(time.Second, b.until.Sub(now)),
		fmt.Errorf("model %s failed to load %d times in a row", m, b.failures))
}

// StaleHandle records that the engine refused a request because it no longer
// has the handle.
func (t *Table) StaleHandle(h bamboorail.Handle) {
	if s, ok := t.slots[h]; ok && s.state == slotReady {
		delete(t.slots, h)
	}
}

// Preload requests the load of a model for which no request is waiting.
func (t *Table) Preload(now time.Time, m bamboorail.ModelRef) error {
	if t.closed != nil {
		return t.closed
	}
	if t.servingSlot(m) == nil && !t.isLoading(m) {
		t.addDemand(now, m, 1)
		t.preload[m] = now
	}
	return nil
}

// unloadable reports whether it is safe to send an unload order for the slot.
func (t *Table) unloadable(s *slot) bool {
	ready := s.state == slotReady || (s.state == slotUnloading && s.unloadFailed)
	if !ready || s.running > 0 || s.uncertainUntil > 0 {
		return false
	}
	return t.history.MayUnload(s.handle, s.verifiedIdle)
}

// usable reports whether requests may be sent to the slot's handle.
func (t *Table) usable(s *slot) bool {
	return s.state == slotReady && t.history.MayDispatch(s.handle, t.fenced)
}

// Victims returns, ordered by handle, the handles that may be unloaded and that
// no waiting request can use.
func (t *Table) Victims() []bamboorail.Handle {
	var victims []bamboorail.Handle
	for _, s := range t.slots {
		if t.unloadable(s) && (t.queue.Backlogs()[s.model] == nil || !t.usable(s)) {
			victims = append(victims, s.handle)
		}
	}
	slices.Sort(victims)
	return victims
}

// Retire returns the handles that may be unloaded and whose model is no longer
// declared or which cannot serve requests. It marks them as unloading.
func (t *Table) Retire(declared func(bamboorail.ModelRef) bool) []bamboorail.Handle {
	var retired []bamboorail.Handle
	for _, h := range t.Victims() {
		s := t.slots[h]
		if t.closed != nil && s.state != slotUnloading {
			// The next owner may be using the handle.
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
