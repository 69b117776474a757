package adapters

import "time"

// SetMemory sets the function that returns the number of tokens that fit into the memory of
// an engine of a service, 0 if unknown; nil changes nothing.
func (p *Planner) SetMemory(f func(service string) int) {
	if f != nil {
		p.memory = f
	}
}

// memoryWait returns the expected time until the memory of an engine has room for a call. A
// call for which the memory is too small waits until it is empty.
func (p *Planner) memoryWait(e *engine, r Request) time.Duration {
	size := r.Size.Tokens()
	if size == 0 || e.calls() == 0 {
		return 0
	}
	limit := p.memory(e.entry.Service)
	if limit == 0 {
		return 0
	}
	// The sizes of the calls of an earlier holder are not known.
	taken := e.tokens + e.inherited*size
	missing := taken + min(size, limit) - limit
	if missing <= 0 || taken == 0 {
		return 0
	}
	// Calls free what they take within callTime.
	return max(time.Duration(float64(p.callTime)*float64(missing)/float64(taken)), 1)
}

// preemptionCost returns the cost of sending an engine more than fits into its memory: it may
// end a running call and repeat it later, which takes about the time of a call.
func (p *Planner) preemptionCost(e *engine, r Request) time.Duration {
	if p.memoryWait(e, r) == 0 {
		return 0
	}
	return p.callTime
}
