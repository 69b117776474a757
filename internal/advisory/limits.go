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

// LimitKind is what a limit counts.
type LimitKind int

// The kinds of limits.
const (
	// Requests limits the requests that a target accepts from all instances together.
	Requests LimitKind = iota
	// Refusals limits the requests that a brittle target turns away before it fails.
	Refusals
	limitKinds
)

// Limit is a limit that a target named in its latest answer.
type Limit struct {
	Kind   LimitKind
	Target bamboorail.TargetID
	// Service is the service of the target, empty if unknown.
	Service string
	// Named is set if there is a limit, Rate is that limit a second.
	Named bool
	Rate  float64
	// At is the time of the answer.
	At time.Time
}

// serviceLimits counts the limits in force of the targets of one service, by kind.
type serviceLimits [limitKinds]int

// ObserveLimit records the limit of a kind that an answer of a target names, or that it
// names none. It reports whether that is new.
func (r *Registry) ObserveLimit(kind LimitKind, id bamboorail.TargetID, service string, a bamboorail.Advisory, now time.Time) (Limit, bool) {
	l := Limit{Kind: kind, Target: id, Service: service, Named: a.Limited, Rate: a.Limit, At: now}
	if kind == Refusals {
		l.Named, l.Rate = a.Brittle, a.MaxRefusals
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	inherited := kind == Refusals && r.services[service][kind] > 0
	if !l.Named && (a.Partial || s == nil && !inherited) {
		return l, false
	}
	if s == nil {
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
	old := s.limits[l.Kind]
	if l.At.Before(old.At) {
		return false
	}
	r.countLimit(old, -1)
	r.countLimit(l, 1)
	s.limits[l.Kind] = l
	return l.Named != old.Named || l.Rate != old.Rate
}

// countLimit adds n to the counts of a limit, if it is named. The caller holds the lock.
func (r *Registry) countLimit(l Limit, n int) {
	if !l.Named {
		return
	}
	r.named[l.Kind].Add(int32(n))
	if l.Service == "" {
		return
	}
	counts := r.services[l.Service]
	if counts[l.Kind] += n; counts == (serviceLimits{}) {
		delete(r.services, l.Service)
		return
	}
	r.services[l.Service] = counts
}

// Limits returns the limits of a kind in force, and those that ended lately.
func (r *Registry) Limits(kind LimitKind, now time.Time) []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Limit
	for _, s := range r.states {
		l := s.limits[kind]
		if l.Named || (!l.At.IsZero() && now.Sub(l.At) < endedLimitRetention) {
			list = append(list, l)
		}
	}
	return list
}

// HasLimits reports whether any target limits its requests.
func (r *Registry) HasLimits() bool { return r.named[Requests].Load() > 0 }

// Limit returns the requests a second that a target takes from all instances
// together, and false if it named no limit.
func (r *Registry) Limit(id bamboorail.TargetID) (float64, bool) {
	l, _ := r.LastLimit(Requests, id)
	return l.Rate, l.Named
}

// LastLimit returns the limit of a target as of its latest answer, and false if it never
// named one.
func (r *Registry) LastLimit(kind LimitKind, id bamboorail.TargetID) (Limit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil || s.limits[kind].At.IsZero() {
		return Limit{}, false
	}
	return s.limits[kind], true
}
