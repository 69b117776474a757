// Package balance chooses among equivalent targets of a plain service by the
// lowest expected latency. It is made for short calls at moderate load and for
// targets that become slow or fail some of their calls.
package balance

import (
	"math"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// initialLatency is assumed for a target without observations.
	initialLatency = 60 * time.Millisecond
	// smoothing is the weight of a new observation in the moving averages.
	smoothing = 0.2
	// otherZoneCost is added for targets in other zones, since traffic between
	// zones is billed and takes longer.
	otherZoneCost = 20 * time.Millisecond
	// failureCost times the failure rate is added to the cost of a target.
	failureCost = 600 * time.Millisecond
	// suspectPeriod is the time for which an unreachable target is chosen only
	// if there is no other.
	suspectPeriod = time.Second
)

// Result is the outcome of a call at a target.
type Result int

// The results of a call.
const (
	// Answered means that the target answered.
	Answered Result = iota
	// Failed means that the target answered with an error of its own.
	Failed
	// Refused means that the target had no free capacity.
	Refused
	// Misdirected means that another target uses the address, or that the
	// target lacks what the call needs.
	Misdirected
	// Unreachable means that the target did not answer.
	Unreachable
	// Abandoned means that the call was given up before the answer was
	// complete, such as when the caller disconnected.
	Abandoned
	// Dropped means that the target closed the connection before it answered.
	Dropped
	// CutShort means that the answer broke off at its beginning.
	CutShort
)

// BrokeAtStart reports whether the target broke the call off before or as it
// began to answer.
func (r Result) BrokeAtStart() bool { return r == Dropped || r == CutShort }

type state struct {
	inFlight     int
	latency      float64 // seconds
	failures     float64 // rate, 0 to 1
	suspectUntil time.Time
}

// Balancer holds the latency and failure statistics of one instance.
type Balancer struct {
	zone string

	mu     sync.Mutex
	states map[bamboorail.TargetID]*state
}

// New returns a balancer for an instance in a zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, states: map[bamboorail.TargetID]*state{}}
}

// Choose returns the target with the lowest cost and counts a call in flight
// there. It returns false if there are no targets.
func (b *Balancer) Choose(targets []bamboorail.TargetEntry, avoid []string, now time.Time) (bamboorail.TargetEntry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, cost := -1, math.Inf(1)
	for i, t := range targets {
		c := b.cost(t, avoid, now)
		if c < cost || (c == cost && t.ID.Name < targets[best].ID.Name) {
			best, cost = i, c
		}
	}
	if best < 0 {
		return bamboorail.TargetEntry{}, false
	}
	b.state(targets[best].ID).inFlight++
	return targets[best], true
}

// avoidCost makes a target the last choice.
const avoidCost = 1000

func (b *Balancer) cost(t bamboorail.TargetEntry, avoid []string, now time.Time) float64 {
	s := b.state(t.ID)
	slots := max(t.Slots, 1)
	// Calls beyond the slots wait for whole rounds of the calls before them.
	cost := s.latency * (1 + float64(s.inFlight)/float64(slots)) * (1 + float64(s.inFlight/slots))
	return cost + b.penalty(t, avoid, now)
}

// penalty returns the part of the cost of a target that does not depend on its calls.
func (b *Balancer) penalty(t bamboorail.TargetEntry, avoid []string, now time.Time) float64 {
	s := b.state(t.ID)
	cost := s.failures * failureCost.Seconds()
	if t.Zone != b.zone {
		cost += otherZoneCost.Seconds()
	}
	if now.Before(s.suspectUntil) {
		cost += avoidCost
	}
	for _, name := range avoid {
		if name == t.ID.Name {
			cost += avoidCost
		}
	}
	return cost
}

// Cost returns the cost of a call at a target apart from the calls that run there: the time
// that it takes, and what its failures, its distance and avoiding it are worth.
func (b *Balancer) Cost(t bamboorail.TargetEntry, avoid []string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration((b.state(t.ID).latency + b.penalty(t, avoid, now)) * float64(time.Second))
}

func (b *Balancer) state(id bamboorail.TargetID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{latency: initialLatency.Seconds()}
		b.states[id] = s
	}
	return s
}

// Done ends a call that Choose counted and records its result.
func (b *Balancer) Done(id bamboorail.TargetID, r Result, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inFlight = max(s.inFlight-1, 0)
	switch r {
	case Answered:
		s.latency += smoothing * (took.Seconds() - s.latency)
		s.failures -= smoothing * s.failures
		s.suspectUntil = time.Time{}
	case Failed, CutShort:
		s.failures += smoothing * (1 - s.failures)
	case Refused:
		s.latency += smoothing * initialLatency.Seconds()
	case Unreachable, Misdirected, Dropped:
		s.failures += smoothing * (1 - s.failures)
		s.suspectUntil = now.Add(suspectPeriod)
	case Abandoned:
	}
}

// InFlight returns the number of calls that this instance has at a target.
func (b *Balancer) InFlight(id bamboorail.TargetID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(id).inFlight
}

// Retain removes the statistics of targets for which live returns false.
func (b *Balancer) Retain(live func(bamboorail.TargetID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.inFlight == 0 && !live(id) {
			delete(b.states, id)
		}
	}
}
