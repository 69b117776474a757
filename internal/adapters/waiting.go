package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// askedWithin is the time after which a call that was not placed again has
	// left.
	askedWithin = 250 * time.Millisecond
	// lateValue is the value of a call that misses its objective, against one
	// that does not; the users' sheets give 0.3.
	lateValue = 0.3
	// ageValue is added for each second of waiting, so that late calls are
	// served before their callers leave.
	ageValue = 0.2
	// priorityStep is the part of the value that each rank takes away.
	priorityStep = 0.15
	leastValue   = 0.3
)

// waitlist holds the calls that wait for a fetch, by adapter. When fetches are
// scarce, the adapter that serves most calls on time is fetched first.
type waitlist map[bamboorail.AdapterKey]map[string]waitingCall

type waitingCall struct {
	value float64
	asked time.Time
	// placed is set for a call behind others at a full engine: it speaks for a
	// fetch of its adapter, but holds up no fetch of another one.
	placed bool
}

// add enters or refreshes a call.
func (w waitlist) add(r Request, fetch time.Duration, now time.Time) {
	calls := w[r.Key]
	if calls == nil {
		calls = map[string]waitingCall{}
		w[r.Key] = calls
	}
	value := max(1-priorityStep*float64(r.Priority), leastValue)
	if r.Waited+fetch > r.Objective {
		value *= lateValue
	}
	calls[r.CallID] = waitingCall{value: value + ageValue*r.Waited.Seconds(), asked: now}
}

// leave removes a call.
func (w waitlist) leave(r Request) {
	delete(w[r.Key], r.CallID)
	if len(w[r.Key]) == 0 {
		delete(w, r.Key)
	}
}

// remove removes an adapter whose load starts.
func (w waitlist) remove(key bamboorail.AdapterKey) { delete(w, key) }

// place notes that a call was placed behind others.
func (w waitlist) place(r Request) {
	if c, ok := w[r.Key][r.CallID]; ok {
		c.placed = true
		w[r.Key][r.CallID] = c
	}
}

// score is the value of the calls that wait for an adapter, with those that
// were placed behind others if placed is set.
func (w waitlist) score(key bamboorail.AdapterKey, placed bool, now time.Time) float64 {
	total := 0.0
	for _, c := range w[key] {
		if now.Sub(c.asked) <= askedWithin && (placed || !c.placed) {
			total += c.value
		}
	}
	return total
}

// mayStart reports whether an adapter is among the free best of those that
// wait.
func (w waitlist) mayStart(key bamboorail.AdapterKey, free int, now time.Time) bool {
	return w.ahead(key, now) < free
}

// ahead returns the number of adapters that come before one.
func (w waitlist) ahead(key bamboorail.AdapterKey, now time.Time) int {
	own := w.score(key, true, now)
	ahead := 0
	for other := range w {
		if s := w.score(other, false, now); s > 0 && other != key && (s > own || (s == own && other.Adapter < key.Adapter)) {
			ahead++
		}
	}
	return ahead
}

// prune forgets calls that left.
func (w waitlist) prune(now time.Time) {
	for key, calls := range w {
		for id, c := range calls {
			if now.Sub(c.asked) > askedWithin {
				delete(calls, id)
			}
		}
		if len(calls) == 0 {
			delete(w, key)
		}
	}
}
