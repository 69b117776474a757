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

// RecordRefusal records that a target turned a request of this instance away. The pause
// after it leaves each instance its share of the refusals that a brittle target bears.
func (r *Registry) RecordRefusal(id bamboorail.TargetID, instances int, now time.Time) {
	if r.named[Refusals].Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil || !s.limits[Refusals].Named {
		return
	}
	pause := maxRefusalPause
	if rate := s.limits[Refusals].Rate; rate > 0 {
		share := time.Duration(float64(max(instances, 1)) / rate * float64(time.Second))
		pause = min(max(share, minRefusalPause), maxRefusalPause)
	}
	s.refusalPauseUntil = now.Add(pause)
}

// IsBrittle reports whether a target must not be sent requests that it may have no room
// for. A target of which no answer is known is like the others of its service, among them
// its own earlier starts.
func (r *Registry) IsBrittle(id bamboorail.TargetID, service string) bool {
	if r.named[Refusals].Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[id]; s != nil && !s.limits[Refusals].At.IsZero() {
		return s.limits[Refusals].Named
	}
	return r.services[service][Refusals] > 0
}

// RefusalPause returns the time until a brittle target that turned a request away may
// get the next one.
func (r *Registry) RefusalPause(id bamboorail.TargetID, now time.Time) time.Duration {
	if r.named[Refusals].Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil || !s.limits[Refusals].Named {
		return 0
	}
	return max(s.refusalPauseUntil.Sub(now), 0)
}
