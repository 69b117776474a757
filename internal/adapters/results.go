package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// callTimeWeight is the weight of one call in the moving average of call times:
// about the last hundred calls count.
const callTimeWeight = 0.01

// RecordAnswer updates the moving average of call times. Calls that were queued
// for a slot are ignored, because the time for which they occupied it is
// unknown.
func (p *Planner) RecordAnswer(number uint64, now time.Time) {
	if t, ok := p.tickets[number]; ok && !t.queued {
		p.callTime += time.Duration(callTimeWeight * float64(now.Sub(t.sent)-p.callTime))
	}
}

// RecordRefusal records that an engine was full.
func (p *Planner) RecordRefusal(c EndedPlacement, now time.Time) {
	e := p.engine(c.Target)
	if e == nil || p.extendLoad(e, c, now) {
		return
	}
	e.suspectUntil = now.Add(p.fetchLimiter.Flat())
}

// RecordMissing records that an engine refused a call because it lacks the
// adapter or, for a call without an adapter, the base model.
func (p *Planner) RecordMissing(c EndedPlacement, now time.Time) {
	e := p.engine(c.Target)
	if e == nil || p.extendLoad(e, c, now) || e.extendModelLoad(c, now) {
		return
	}
	if r := e.adapters[c.Key]; r != nil && c.Sent.Before(r.confirmedAt) {
		// The refusal was reported late: a call that was sent later did run.
		return
	}
	if c.Key.Adapter == "" {
		delete(e.models, c.Key.Model)
		e.modelLoad = nil
	}
	delete(e.adapters, c.Key)
	e.desync(now)
}

const (
	// maxLoadFactor times the expected time is the longest wait for a load.
	maxLoadFactor = 4
	// extensionFactor is the share of the time since its start by which a late
	// load is extended.
	extensionFactor = 0.15
)

// extendLoad extends a load that takes longer than expected, after the engine
// refused a call. The refusal reflects the time at which the call was sent, not
// the time at which it is reported. It returns false for an adapter that is not
// loading.
func (p *Planner) extendLoad(e *engine, c EndedPlacement, now time.Time) bool {
	r := e.adapters[c.Key]
	if r == nil || !r.loading || now.Sub(r.started) > maxLoadFactor*p.fetchTime() {
		return false
	}
	if r.readyAt.After(c.Sent) {
		return true
	}
	if !r.late {
		r.late = true
		p.reobserve(e, c.Key, r)
	}
	if !r.fetch {
		// The engine does not have the adapter cached after all.
		delete(e.cached, c.Key)
		r.fetch = true
		r.readyAt = r.started.Add(p.fetchTime())
	}
	defer e.extendLoadsUntil(r)
	if !r.readyAt.After(c.Sent) {
		r.readyAt = c.Sent.Add(max(p.reloadTime(), time.Duration(extensionFactor*float64(c.Sent.Sub(r.started)))))
	}
	if p.fetchLimiter.IsStretched(r.readyAt.Sub(r.started)) {
		// The limit of fetches must not wait for the end of this one.
		p.observeFetch(r, now)
	}
	return true
}

// RecordLoaded records that a call ran, which confirms that its adapter is
// loaded.
func (p *Planner) RecordLoaded(id bamboorail.TargetID, key bamboorail.AdapterKey, now time.Time) {
	e := p.engine(id)
	if e == nil {
		return
	}
	r := e.adapters[key]
	if r == nil {
		return
	}
	e.cached[key], r.confirmedAt = now, now
	if !r.loading {
		return
	}
	r.loading = false
	if r.fetch {
		p.observeFetch(r, now)
	}
}
