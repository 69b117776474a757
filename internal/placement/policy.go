package placement

import (
	"math"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
)

// LoadCandidate is a load proposed by a policy.
type LoadCandidate struct {
	Model   bamboorail.ModelRef
	Victim  bamboorail.Handle
	Urgency float64
}

// Policy chooses among the dispatches and loads that the safety rules of a
// table permit.
type Policy interface {
	// Next removes the request to run next from the queue. It returns nil if no
	// queued request can run.
	Next(t *Table) *admission.QueuedRequest
	// Load returns the next load to perform, if any.
	Load(t *Table, now time.Time) (LoadCandidate, bool)
}

// Weighted is the default policy. It dispatches requests fairly between callers
// and loads the adapter whose callers benefit most.
type Weighted struct{}

var _ Policy = Weighted{}

// Next returns the next request in fair order among those whose adapter is
// ready.
func (Weighted) Next(t *Table) *admission.QueuedRequest {
	return t.queue.Pop(func(m bamboorail.ModelRef) bool { return t.servingSlot(m) != nil })
}

const (
	// ageWeight converts seconds of waiting into urgency, which is added to the
	// number of waiting requests. It prevents starvation of adapters with few
	// requests.
	ageWeight = 1.0
	// hysteresis is the factor by which the urgency of a load must exceed the
	// value of its victim while the requests for the load have not waited long.
	hysteresis = 1.0
	// evictAnyAfter is the mean age of the waiting requests for an adapter after
	// which it may replace any idle adapter.
	evictAnyAfter = 3 * time.Second
)

// Load returns the most urgent load if a slot is free or if its urgency
// justifies evicting a victim.
func (p Weighted) Load(t *Table, now time.Time) (LoadCandidate, bool) {
	if t.cold {
		return LoadCandidate{}, false
	}
	best, ok := p.mostUrgent(t, now)
	if !ok {
		return LoadCandidate{}, false
	}
	if t.FreeSlots() > 0 {
		return best, true
	}
	victim, value, ok := p.victim(t, now)
	if !ok {
		return LoadCandidate{}, false
	}
	var waited time.Duration
	if w := t.queue.Backlogs()[best.Model]; w != nil {
		waited = w.MeanAge(now)
	}
	if best.Urgency < hysteresis*value*(1-waited.Seconds()/evictAnyAfter.Seconds()) {
		return LoadCandidate{}, false
	}
	best.Victim = victim
	return best, true
}

func (Weighted) mostUrgent(t *Table, now time.Time) (LoadCandidate, bool) {
	best, found := t.preloadCandidate(now)
	for m, w := range t.queue.Backlogs() {
		if !t.loadable(now, m) {
			continue
		}
		urgency := float64(w.Weight) + ageWeight*w.Age(now)
		if !found || urgency > best.Urgency || (urgency == best.Urgency && m.String() < best.Model.String()) {
			best, found = LoadCandidate{Model: m, Urgency: urgency}, true
		}
	}
	return best, found
}

// loadable reports whether the model needs a load and is not in backoff.
func (t *Table) loadable(now time.Time, m bamboorail.ModelRef) bool {
	return t.servingSlot(m) == nil && !t.isLoading(m) && !now.Before(t.backoffs[m].until)
}

// preloadCandidate returns the loadable model with the oldest preload request.
func (t *Table) preloadCandidate(now time.Time) (LoadCandidate, bool) {
	var best LoadCandidate
	var asked time.Time
	for m, at := range t.preload {
		if !t.loadable(now, m) {
			continue
		}
		if best.Urgency == 0 || at.Before(asked) || (at.Equal(asked) && m.String() < best.Model.String()) {
			best, asked = LoadCandidate{Model: m, Urgency: 1}, at
		}
	}
	return best, best.Urgency > 0
}

// expectedDemand returns the demand that is expected for a model for the
// duration of a load.
func (t *Table) expectedDemand(now time.Time, m bamboorail.ModelRef) float64 {
	return t.Demand(now, m) * math.Ln2 * t.loadTime.seconds / t.settings.DemandHalfLife.Seconds()
}

// victimValue returns the expected demand of the adapter that the next load
// would evict.
func (t *Table) victimValue(now time.Time) float64 {
	if t.FreeSlots() > 0 {
		return 0
	}
	_, value, ok := Weighted{}.victim(t, now)
	if !ok {
		return noVictimValue
	}
	return value
}

// noVictimValue is reported if nothing can be evicted now.
const noVictimValue = 10

// victim returns the idle handle with the lowest expected demand.
func (Weighted) victim(t *Table, now time.Time) (bamboorail.Handle, float64, bool) {
	var best bamboorail.Handle
	var least float64
	for _, h := range t.Victims() {
		if !t.usable(t.slots[h]) {
			return h, 0, true
		}
		value := t.expectedDemand(now, t.slots[h].model)
		if best == "" || value < least {
			best, least = h, value
		}
	}
	return best, least, best != ""
}

// Naive is the baseline policy: first come, first served, with eviction of the
// least recently used adapter.
type Naive struct{}

var _ Policy = Naive{}

// Next returns the oldest request whose adapter is ready.
func (Naive) Next(t *Table) *admission.QueuedRequest {
	var oldest *admission.QueuedRequest
	for _, i := range t.queue.Requests() {
		if t.servingSlot(i.Request().Model) != nil && (oldest == nil || i.Enqueued().Before(oldest.Enqueued())) {
			oldest = i
		}
	}
	if oldest != nil {
		t.queue.Remove(oldest)
	}
	return oldest
}

// Load returns the load that the oldest waiting request needs.
func (Naive) Load(t *Table, now time.Time) (LoadCandidate, bool) {
	if t.cold {
		return LoadCandidate{}, false
	}
	var oldest *admission.QueuedRequest
	for _, i := range t.queue.Requests() {
		m := i.Request().Model
		if !t.loadable(now, m) {
			continue
		}
		if oldest == nil || i.Enqueued().Before(oldest.Enqueued()) {
			oldest = i
		}
	}
	if oldest == nil {
		return LoadCandidate{}, false
	}
	best := LoadCandidate{Model: oldest.Request().Model, Urgency: 1}
	if t.FreeSlots() > 0 {
		return best, true
	}
	for _, h := range t.Victims() {
		if best.Victim == "" || t.slots[h].lastUse.Before(t.slots[best.Victim].lastUse) {
			best.Victim = h
		}
	}
	return best, best.Victim != ""
}
