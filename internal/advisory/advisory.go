// Package advisory tracks what targets say of themselves in their answers: that they
// leave, that they pause, and the rates that they accept. It decides what an instance may
// send to a target; the time is passed in.
package advisory

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// maxQuiet bounds the time that a target may ask for, so that a wrong value does
	// not take it out of service for good.
	maxQuiet = 10 * time.Minute
	// returnSpread is the part of that time over which instances return, and
	// maxReturnSpread its bound.
	returnSpread    = 0.25
	maxReturnSpread = 2 * time.Second
	// trialTimeout is the time after which a trial that has no result counts as
	// lost.
	trialTimeout = 5 * time.Second
	// retention is the time for which a target that is not known any more is
	// remembered.
	retention = 10 * time.Minute
)

// Reason states why a target gets no requests.
type Reason string

// The reasons.
const (
	ReasonNone    Reason = ""
	ReasonLeaving Reason = "leaving"
	ReasonQuiet   Reason = "quiet"
	// ReasonTrial means that the first request after a quiet time is under way.
	ReasonTrial Reason = "trial"
)

// state is what one start of a target has said.
type state struct {
	leaving bool
	// quietUntil is the end of the last quiet time, with this instance's delay.
	quietUntil time.Time
	// returning is set from the end of a quiet time until a request was taken.
	// trialUntil is the end of the trial that is under way.
	returning  bool
	trialUntil time.Time
	// limits are as of its latest answer, by kind.
	limits [limitKinds]Limit
	// refusalPauseUntil is the time until which this instance sends nothing after a
	// brittle target turned a request away.
	refusalPauseUntil time.Time
	lastSeen          time.Time
}

// Registry holds the advisories of all targets.
type Registry struct {
	mu     sync.Mutex
	states map[bamboorail.TargetID]*state
	// services counts the limits in force by service.
	services map[string]serviceLimits
	// named counts the limits in force by kind.
	named [limitKinds]atomic.Int32
	// delay draws a delay of up to its argument.
	delay func(time.Duration) time.Duration
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		states: map[bamboorail.TargetID]*state{}, services: map[string]serviceLimits{},
		delay: func(limit time.Duration) time.Duration { return rand.N(limit + 1) },
	}
}

// Observe records the advisory of an answer of a target, and returns the reasons
// that are new.
func (r *Registry) Observe(id bamboorail.TargetID, a bamboorail.Advisory, now time.Time) []Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil {
		if !a.Leaving && a.QuietFor <= 0 {
			return nil
		}
		s = &state{}
		r.states[id] = s
	}
	s.lastSeen = now
	var reasons []Reason
	if a.Leaving && !s.leaving {
		s.leaving = true
		reasons = append(reasons, ReasonLeaving)
	}
	if a.QuietFor > 0 {
		quiet := min(a.QuietFor, maxQuiet)
		until := now.Add(quiet + r.delay(min(time.Duration(returnSpread*float64(quiet)), maxReturnSpread)))
		if now.After(s.quietUntil) {
			reasons = append(reasons, ReasonQuiet)
		}
		if until.After(s.quietUntil) {
			s.quietUntil = until
		}
		s.returning, s.trialUntil = true, time.Time{}
	} else if s.returning && !now.Before(s.quietUntil) {
		s.returning = false
	}
	return reasons
}

// Check returns why a target must not get a request now, and until when, or
// ReasonNone.
func (r *Registry) Check(id bamboorail.TargetID, now time.Time) (Reason, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[id].check(now)
}

func (s *state) check(now time.Time) (Reason, time.Time) {
	switch {
	case s == nil:
		return ReasonNone, time.Time{}
	case s.leaving:
		return ReasonLeaving, time.Time{}
	case now.Before(s.quietUntil):
		return ReasonQuiet, s.quietUntil
	case s.returning && now.Before(s.trialUntil):
		return ReasonTrial, s.trialUntil
	}
	return ReasonNone, time.Time{}
}

// Acquire is Check for a request that is sent now. After a quiet time, the first one
// is a trial: others wait for its answer.
func (r *Registry) Acquire(id bamboorail.TargetID, now time.Time) Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	reason, _ := s.check(now)
	if reason == ReasonNone && s != nil && s.returning {
		s.trialUntil = now.Add(trialTimeout)
	}
	return reason
}

// Closed returns the names of the targets that must not get a request now.
func (r *Registry) Closed(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for id, s := range r.states {
		if reason, _ := s.check(now); reason != ReasonNone {
			names = append(names, id.Name)
		}
	}
	return names
}

// IsEmpty reports whether no target said anything.
func (r *Registry) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.states) == 0
}

// IsLeaving reports whether a target said that it leaves.
func (r *Registry) IsLeaving(id bamboorail.TargetID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	return s != nil && s.leaving
}

// Expire forgets targets that are not live and said nothing for long.
func (r *Registry) Expire(live func(bamboorail.TargetID) bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.states {
		if now.Sub(s.lastSeen) > retention && !live(id) {
			for _, l := range s.limits {
				r.countLimit(l, -1)
			}
			delete(r.states, id)
		}
	}
}
