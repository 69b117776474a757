package advisory

import (
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// endedLimitRetention is the time for which the end of a limit is remembered, so
	// that a late report of an earlier answer does not revive it.
	endedLimitRetention = 30 * time.Second
	// maxStates bounds the targets that other instances may report.
	maxStates = 4096
)

// Limit is the rate of requests that a target accepts from all instances together, as
// of its latest answer.
type Limit struct {
	Target bamboorail.TargetID
	// Named is set if there is a limit, Rate is that limit in requests a second.
	Named bool
	Rate  float64
	// At is the time of the answer.
	At time.Time
}

// ObserveLimit records the limit that an answer of a target names, or that it names
// none. It reports whether that is new.
func (r *Registry) ObserveLimit(id bamboorail.TargetID, a bamboorail.Advisory, now time.Time) (Limit, bool) {
	l := Limit{Target: id, Named: a.Limited, Rate: a.Limit, At: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	switch {
	case s == nil && !a.Limited, a.Partial && !a.Limited:
		return l, false
	case s == nil:
		s = &state{}
		r.states[id] = s
	}
	return l, r.setLimit(s, l, now)
}

// MergeLimits records limits that other instances reported, and returns those that are
// new.
func (r *Registry) MergeLimits(list []Limit, now time.Time) []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Limit
	for _, l := range list {
		s := r.states[l.Target]
		if s == nil {
			if len(r.states) >= maxStates {
				continue
			}
			s = &state{}
			r.states[l.Target] = s
		}
		if r.setLimit(s, l, now) {
			changed = append(changed, l)
		}
	}
	return changed
}

// setLimit records a limit unless a later answer was recorded. It reports whether that
// changes the limit. The caller holds the lock.
func (r *Registry) setLimit(s *state, l Limit, now time.Time) bool {
	s.lastSeen = now
	if l.At.Before(s.limit.At) {
		return false
	}
	changed := l.Named != s.limit.Named || l.Rate != s.limit.Rate
	if l.Named != s.limit.Named {
		if l.Named {
			r.limited.Add(1)
		} else {
			r.limited.Add(-1)
		}
	}
	s.limit = l
	return changed
}

// Limits returns the limits in force, and those that ended lately.
func (r *Registry) Limits(now time.Time) []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Limit
	for _, s := range r.states {
		if s.limit.Named || (!s.limit.At.IsZero() && now.Sub(s.limit.At) < endedLimitRetention) {
			list = append(list, s.limit)
		}
	}
	return list
}

// HasLimits reports whether any target has a limit.
func (r *Registry) HasLimits() bool { return r.limited.Load() > 0 }

// Limit returns the requests a second that a target takes from all instances
// together, and false if it named no limit.
func (r *Registry) Limit(id bamboorail.TargetID) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil {
		return 0, false
	}
	return s.limit.Rate, s.limit.Named
}

// LastLimit returns the limit of a target as of its latest answer, and false if it never
// named one.
func (r *Registry) LastLimit(id bamboorail.TargetID) (Limit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil || s.limit.At.IsZero() {
		return Limit{}, false
	}
	return s.limit, true
}
