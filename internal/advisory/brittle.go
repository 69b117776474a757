package advisory

import (
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// minRefusalPause and maxRefusalPause bound the time for which an instance sends
	// nothing to a brittle target that turned a request away.
	minRefusalPause = 250 * time.Millisecond
	maxRefusalPause = 10 * time.Second
)

// brittleness is what a target said of the refusals that it bears, as of its latest
// answer.
type brittleness struct {
	named       bool
	maxRefusals float64
	// pausedUntil is the time until which this instance sends nothing.
	pausedUntil time.Time
}

// ObserveBrittle records whether an answer of a target says that it is brittle. It
// reports whether that is new.
func (r *Registry) ObserveBrittle(id bamboorail.TargetID, a bamboorail.Advisory, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	switch {
	case s == nil && !a.Brittle, a.Partial && !a.Brittle:
		return false
	case s == nil:
		s = &state{}
		r.states[id] = s
	}
	s.lastSeen = now
	changed := s.brittle.named != a.Brittle
	if changed && a.Brittle {
		r.brittle.Add(1)
	} else if changed {
		r.brittle.Add(-1)
	}
	s.brittle.named, s.brittle.maxRefusals = a.Brittle, a.MaxRefusals
	return changed
}

// RecordRefusal records that a target turned a request of this instance away. The pause
// after it leaves each instance its share of the refusals that a brittle target bears.
func (r *Registry) RecordRefusal(id bamboorail.TargetID, instances int, now time.Time) {
	if r.brittle.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil || !s.brittle.named {
		return
	}
	pause := maxRefusalPause
	if s.brittle.maxRefusals > 0 {
		share := time.Duration(float64(max(instances, 1)) / s.brittle.maxRefusals * float64(time.Second))
		pause = min(max(share, minRefusalPause), maxRefusalPause)
	}
	s.brittle.pausedUntil = now.Add(pause)
}

// IsBrittle reports whether a target must not be sent requests that it may have no room
// for.
func (r *Registry) IsBrittle(id bamboorail.TargetID) bool {
	if r.brittle.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	return s != nil && s.brittle.named
}

// RefusalPause returns the time until a brittle target that turned a request away may
// get the next one.
func (r *Registry) RefusalPause(id bamboorail.TargetID, now time.Time) time.Duration {
	if r.brittle.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil || !s.brittle.named {
		return 0
	}
	return max(s.brittle.pausedUntil.Sub(now), 0)
}
