package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// Limits counts the requests to engines and limits their rates.
type Limits interface {
	// HasLimits reports whether any target has a limit.
	HasLimits() bool
	// Rate returns the requests a second that an engine takes, and false if it has no
	// limit.
	Rate(id bamboorail.TargetID) (float64, bool)
	// Wait returns the time until an engine may get its next request.
	Wait(id bamboorail.TargetID, now time.Time) time.Duration
	// Record counts a request to an engine.
	Record(id bamboorail.TargetID, now time.Time)
}

// unlimited is used until SetLimits.
type unlimited struct{}

func (unlimited) HasLimits() bool                                   { return false }
func (unlimited) Rate(bamboorail.TargetID) (float64, bool)          { return 0, false }
func (unlimited) Wait(bamboorail.TargetID, time.Time) time.Duration { return 0 }
func (unlimited) Record(bamboorail.TargetID, time.Time)             {}

// SetLimits sets what counts and limits the requests to engines.
func (p *Planner) SetLimits(l Limits) { p.limits = l }

// SetBrittle sets the function that reports whether an engine must not be sent more
// calls than it has slots; nil changes nothing.
func (p *Planner) SetBrittle(f func(id bamboorail.TargetID) bool) {
	if f != nil {
		p.brittle = f
	}
}

// hasRoom reports whether an engine may be sent a call that could wait there.
func (p *Planner) hasRoom(e *engine, r Request) bool {
	return !p.mustWait(e, r) || !p.brittle(e.entry.ID)
}

// limitedLoadCost is added to a load on an engine with a limit, to which its orders
// count too.
const limitedLoadCost = time.Second

// limitWait returns the time until an engine may get its next call.
func (p *Planner) limitWait(e *engine, now time.Time) time.Duration {
	if !p.limits.HasLimits() {
		return 0
	}
	return p.limits.Wait(e.entry.ID, now)
}

func (p *Planner) isLimited(e *engine) bool {
	if !p.limits.HasLimits() {
		return false
	}
	_, limited := p.limits.Rate(e.entry.ID)
	return limited
}

// rateWait returns the time until a call can be placed if all engines that could run it
// have limits, behind the calls that wait already.
func (p *Planner) rateWait(r Request, now time.Time) time.Duration {
	if !p.limits.HasLimits() {
		return 0
	}
	total, first, found := 0.0, time.Duration(0), false
	for _, e := range p.engines {
		if !e.usable(r) {
			continue
		}
		rate, limited := p.limits.Rate(e.entry.ID)
		if !limited {
			return 0
		}
		if w := p.limits.Wait(e.entry.ID, now); !found || w < first {
			first, found = w, true
		}
		total += rate
	}
	if !found {
		return 0
	}
	return first + time.Duration(float64(p.waiting.enqueued)/total*float64(time.Second))
}

// markUnthrottled marks the adapters of the limited engines that may get a call now
// as available to the calls that wait for them.
func (p *Planner) markUnthrottled(now time.Time) {
	if p.waiting.enqueued == 0 || !p.limits.HasLimits() {
		return
	}
	for _, name := range p.engineNames() {
		e := p.engines[name]
		if _, limited := p.limits.Rate(e.entry.ID); !limited || p.limits.Wait(e.entry.ID, now) > 0 {
			continue
		}
		for key := range e.adapters {
			p.markAvailable(key)
		}
		for model := range e.models {
			p.markAvailable(bamboorail.AdapterKey{Model: model})
		}
	}
}
