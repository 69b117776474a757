package adapters

import (
	"slices"
	"time"
)

const (
	// unanswered is the time after which the answer to a question has reached
	// the instance that asked, or never will: its timeout of 750 ms and a margin.
	unanswered = time.Second
	// silence is the time without a message after which an instance that reports
	// what it holds each second is gone, and its calls with it.
	silence = 3 * time.Second
)

// Open returns the number of placements that have not ended.
func (p *Planner) Open() int { return len(p.tickets) }

// Hear takes in that an instance lives, if it reports what it holds.
func (p *Planner) Hear(instance string, now time.Time) {
	if _, ok := p.heard[instance]; ok {
		p.heard[instance] = now
	}
}

// Reconcile ends the placements of an instance that it does not hold: their
// answers were lost, or its process ended. It returns their number.
func (p *Planner) Reconcile(instance string, open []uint64, now time.Time) int {
	p.heard[instance] = now
	ended := 0
	for number, t := range p.tickets {
		if t.instance == instance && now.Sub(t.issued) > unanswered && !slices.Contains(open, number) {
			_, _ = p.End(number)
			ended++
		}
	}
	return ended
}

// silent reports whether an instance that reports what it holds is gone.
func (p *Planner) silent(instance string, now time.Time) bool {
	at, ok := p.heard[instance]
	return ok && now.Sub(at) > silence
}
