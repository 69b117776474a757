package adapters

import (
	"slices"
	"time"
)

const (
	// answerTimeout is the time after which the answer to a placement request
	// has reached the requesting instance or is lost: the request timeout of
	// 750 ms and a margin.
	answerTimeout = time.Second
	// instanceTimeout is the time without a message after which an instance
	// that reports its open placements every second is considered gone,
	// together with its calls.
	instanceTimeout = 3 * time.Second
)

// OpenPlacements returns the number of placements that have not ended.
func (p *Planner) OpenPlacements() int { return len(p.tickets) }

// RecordContact records a message from an instance that reports its open
// placements.
func (p *Planner) RecordContact(instance string, now time.Time) {
	if _, ok := p.lastContact[instance]; ok {
		p.lastContact[instance] = now
	}
}

// Reconcile ends the placements attributed to an instance that it does not
// hold: their answers were lost, or its process ended. It returns their number.
func (p *Planner) Reconcile(instance string, open []uint64, now time.Time) int {
	p.lastContact[instance] = now
	ended := 0
	for number, t := range p.tickets {
		if t.instance == instance && now.Sub(t.issued) > answerTimeout && !slices.Contains(open, number) {
			_, _ = p.End(number)
			ended++
		}
	}
	return ended
}

// isUnresponsive reports whether an instance that reports its open placements
// is gone.
func (p *Planner) isUnresponsive(instance string, now time.Time) bool {
	at, ok := p.lastContact[instance]
	return ok && now.Sub(at) > instanceTimeout
}
