package placement

import (
	"math"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
)

// Candidate is a load that a policy proposes.
type Candidate struct {
	Model   bamboorail.ModelRef
	Victim  bamboorail.Handle
	Urgency float64
}

// Policy makes the choices that the safety rules of a table leave open.
type Policy interface {
	// Next removes from the queue the request to run next. It returns nil
	// if no waiting request can run.
	Next(t *Table) *admission.QueuedRequest
	// Load returns the load to make next, if any.
	Load(t *Table, now time.Time) (Candidate, bool)
}

// Weighted is the policy of the daemon. It runs requests fairly between
// callers and loads the adapter whose callers have the most to gain.
type Weighted struct{}

var _ Policy = Weighted{}

// Next returns the fair choice among requests whose adapter is ready.
func (Weighted) Next(t *Table) *admission.QueuedRequest {
	return t.queue.Pop(func(m bamboorail.ModelRef) bool { return t.serving(m) != nil })
}

const (
	// ageGain turns waited seconds into urgency beside the number of
	// waiting requests, so that a cold adapter always gets its turn.
	ageGain = 1.0
	// hysteresis is the factor by which the urgency of a load must exceed
	// the value of its victim while the load is fresh.
	hysteresis = 1.0
	// patience is the age after which a waiting adapter may displace any
	// idle one.
	patience = 3 * time.Second
)

// Load returns the most urgent load that has a free slot or a cheap victim.
func (p Weighted) Load(t *Table, now time.Time) (Candidate, bool) {
	if t.cold {
		return Candidate{}, false
	}
	best, ok := p.mostUrgent(t, now)
	if !ok {
		return Candidate{}, false
	}
	if t.FreeSlots() > 0 {
		return best, true
	}
	victim, value, ok := p.victim(t, now)
	if !ok {
		return Candidate{}, false
	}
	var waited time.Duration
	if w := t.queue.Models()[best.Model]; w != nil {
		waited = w.MeanAge(now)
	}
	if best.Urgency < hysteresis*value*(1-waited.Seconds()/patience.Seconds()) {
		return Candidate{}, false
	}
	best.Victim = victim
	return best, true
}

func (Weighted) mostUrgent(t *Table, now time.Time) (Candidate, bool) {
	best, found := t.preloadCandidate(now)
	for m, w := range t.queue.Models() {
		if !t.loadable(now, m) {
			continue
		}
		urgency := float64(w.Weight) + ageGain*w.Age(now)
		if !found || urgency > best.Urgency || (urgency == best.Urgency && m.String() < best.Model.String()) {
			best, found = Candidate{Model: m, Urgency: urgency}, true
		}
	}
	return best, found
}

// loadable reports whether a load of the model would help.
func (t *Table) loadable(now time.Time, m bamboorail.ModelRef) bool {
	return t.serving(m) == nil && !t.loading(m) && !now.Before(t.failed[m].until)
}

// preloadCandidate returns the model that operators asked for first.
func (t *Table) preloadCandidate(now time.Time) (Candidate, bool) {
	var best Candidate
	var asked time.Time
	for m, at := range t.preload {
		if !t.loadable(now, m) {
			continue
		}
		if best.Urgency == 0 || at.Before(asked) || (at.Equal(asked) && m.String() < best.Model.String()) {
			best, asked = Candidate{Model: m, Urgency: 1}, at
		}
	}
	return best, best.Urgency > 0
}

// worth returns the demand that is expected for a model during the time of a
// load.
func (t *Table) worth(now time.Time, m bamboorail.ModelRef) float64 {
	return t.Demand(now, m) * math.Ln2 * t.loadTime.seconds / t.settings.DemandHalfLife.Seconds()
}

// victimValue returns the worth of the adapter that the next load would evict.
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

// noVictimValue is announced if nothing can be evicted now.
const noVictimValue = 10

// victim returns the idle handle of the least worth.
func (Weighted) victim(t *Table, now time.Time) (bamboorail.Handle, float64, bool) {
	var best bamboorail.Handle
	var least float64
	for _, h := range t.Victims() {
		if !t.usable(t.slots[h]) {
			return h, 0, true
		}
		value := t.worth(now, t.slots[h].model)
		if best == "" || value < least {
			best, least = h, value
		}
	}
	return best, least, best != ""
}

// Naive is the baseline: first come, first served, and the least recently
// used adapter is evicted.
type Naive struct{}

var _ Policy = Naive{}

// Next returns the oldest request whose adapter is ready.
func (Naive) Next(t *Table) *admission.QueuedRequest {
	var oldest *admission.QueuedRequest
	for _, i := range t.queue.Items() {
		if t.serving(i.Request().Model) != nil && (oldest == nil || i.Enqueued().Before(oldest.Enqueued())) {
			oldest = i
		}
	}
	if oldest != nil {
		t.queue.Remove(oldest)
	}
	return oldest
}

// Load returns the load that the oldest waiting request needs.
func (Naive) Load(t *Table, now time.Time) (Candidate, bool) {
	if t.cold {
		return Candidate{}, false
	}
	var oldest *admission.QueuedRequest
	for _, i := range t.queue.Items() {
		m := i.Request().Model
		if !t.loadable(now, m) {
			continue
		}
		if oldest == nil || i.Enqueued().Before(oldest.Enqueued()) {
			oldest = i
		}
	}
	if oldest == nil {
		return Candidate{}, false
	}
	best := Candidate{Model: oldest.Request().Model, Urgency: 1}
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
