package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/fetchlimit"
)

// refusalDelay is the time after which the refusal of a call by an engine has
// been reported. A call that was sent and not refused within it has found its
// adapter; the call itself may run for many seconds.
const refusalDelay = 120 * time.Millisecond

// unobservedFetch is a fetch whose duration is not known yet.
type unobservedFetch struct {
	engine *engine
	key    bamboorail.AdapterKey
	state  *adapterState
}

// FetchEstimate is what a planner has learned about the weight store.
type FetchEstimate struct {
	// Limit is the maximum number of active fetches of the zone, Active their
	// number.
	Limit, Active int
	// Expected is the expected time of the next fetch, Flat the time of a fetch
	// at full speed.
	Expected, Flat time.Duration
}

// FetchEstimate returns what the planner has learned about the weight store.
func (p *Planner) FetchEstimate(now time.Time) FetchEstimate {
	return FetchEstimate{Limit: p.fetchLimit(), Active: p.activeFetches(now), Expected: p.fetchTime(), Flat: p.fetchLimiter.Flat()}
}

// SetFetchLimit sets a fixed limit of active fetches. 0 lets the planner learn
// it.
func (p *Planner) SetFetchLimit(n int) { p.tuning.FetchLimit = n }

// fetchLimit returns the maximum number of active fetches of this zone.
func (p *Planner) fetchLimit() int {
	if p.tuning.FetchLimit > 0 {
		return p.tuning.FetchLimit
	}
	return p.fetchLimiter.Limit()
}

// fetchTime returns the expected time of a fetch that starts now.
func (p *Planner) fetchTime() time.Duration { return p.fetchLimiter.Expected() }

// reloadTime returns the expected time of a load of an adapter that the engine
// held recently.
func (p *Planner) reloadTime() time.Duration {
	return time.Duration(p.tuning.ReloadShare * float64(p.fetchLimiter.Flat()))
}

// activeFetches returns the number of active fetches of this zone.
func (p *Planner) activeFetches(now time.Time) int {
	n := 0
	for _, e := range p.engines {
		if !e.loadsUntil.After(now) && len(e.planned) == 0 {
			continue
		}
		for _, r := range e.adapters {
			if r.loading && r.fetch && !r.started.After(now) && p.isInFlight(r, now) {
				n++
			}
		}
	}
	return n
}

// isInFlight reports whether a fetch is still on its way, or to be ordered.
func (p *Planner) isInFlight(r *adapterState, now time.Time) bool {
	if r.planned {
		return true
	}
	if r.late {
		return r.readyAt.After(now) || now.Sub(r.started) < p.fetchTime()
	}
	return r.readyAt.After(now)
}

// trackFetch records a fetch that starts now.
func (p *Planner) trackFetch(e *engine, key bamboorail.AdapterKey, r *adapterState, now time.Time) {
	r.inFlight = p.activeFetches(now)
	p.unobserved = append(p.unobserved, unobservedFetch{e, key, r})
}

// reobserve observes a fetch again whose calls were refused after all.
func (p *Planner) reobserve(e *engine, key bamboorail.AdapterKey, r *adapterState) {
	if r.observed {
		r.observed = false
		p.unobserved = append(p.unobserved, unobservedFetch{e, key, r})
	}
}

// observeFetches learns from the fetches whose adapters have been found by
// calls, and forgets those that no call uses.
func (p *Planner) observeFetches(now time.Time) {
	open := p.unobserved[:0]
	for _, f := range p.unobserved {
		r := f.state
		switch {
		case r.observed || f.engine.adapters[f.key] != r:
		case now.Sub(r.readyAt) < refusalDelay:
			open = append(open, f)
		case r.running > 0 && now.Sub(r.usedSince) < refusalDelay:
			open = append(open, f)
		case r.running > 0 || r.late:
			// The calls of a late fetch may have been given up meanwhile.
			p.observeFetch(r, now)
		}
	}
	clear(p.unobserved[len(open):])
	p.unobserved = open
}

func (p *Planner) observeFetch(r *adapterState, now time.Time) {
	if r.observed {
		return
	}
	r.observed = true
	p.fetchLimiter.Record(fetchlimit.Fetch{
		Started: r.started, Took: r.readyAt.Sub(r.started), Late: r.late, InFlight: r.inFlight,
		MaxInFlight: max(r.inFlight, p.activeFetches(r.readyAt)),
	}, now)
}
