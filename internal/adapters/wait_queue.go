package adapters

import (
	"cmp"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// pollTimeout is the time after which a call that was not placed again
	// counts as gone, unless it is enqueued.
	pollTimeout = 250 * time.Millisecond
	// lateFactor weighs a call that misses its objective against one that meets
	// it. The requirements give 0.3.
	lateFactor = 0.3
	// ageBonus is added for each second of waiting, so that late calls are
	// served before their callers time out.
	ageBonus = 0.2
	// priorityPenalty is the share of the value that each priority rank
	// deducts, down to minCallValue.
	priorityPenalty = 0.15
	minCallValue    = 0.3
)

// waitQueue holds the calls that wait for a fetch, by adapter. When fetches are
// scarce, the adapter that serves the most calls on time is fetched first. The
// time of a decision does not depend on the number of calls that wait for an
// adapter.
type waitQueue struct {
	groups map[bamboorail.AdapterKey]*group
	// list holds the groups for fast iteration.
	list []*group
	// start is the origin of the times in seconds.
	start time.Time
	// enqueued is the number of enqueued calls, enqueuedAdapters the number of
	// adapters they wait for.
	enqueued, enqueuedAdapters int
	lastNumber                 uint64
}

// group holds the calls that wait for one adapter.
type group struct {
	key   bamboorail.AdapterKey
	index int
	calls map[callRef]*waitingCall
	// waiting sums the calls that delay fetches of other adapters; placed sums
	// the calls that were placed behind others at a full engine.
	waiting, placed valueSum
	// lastPlaced is the last call that was placed behind others at a full engine.
	lastPlaced Request
	// enqueued is the number of enqueued calls.
	enqueued int
	// replicationRejected is set once a fetch for the placed calls was found
	// not to serve the next call sooner.
	replicationRejected bool
	// nextChange is the earliest time at which a call loses value or expires.
	nextChange time.Time
}

// callRef identifies a call by its ID, and by a number if it is enqueued.
type callRef struct {
	id     string
	number uint64
}

type waitingCall struct {
	request Request
	// since is the start of the wait, in seconds of the queue.
	since float64
	// value is the value of the call without its age bonus.
	value float64
	// lateAt is the time from which the call misses its objective, zero once it
	// is late.
	lateAt time.Time
	// lastAsked is the time of the last placement attempt.
	lastAsked time.Time
	// placed is set for a call behind others at a full engine. It counts
	// towards a fetch of its own adapter but does not delay fetches of other
	// adapters.
	placed bool
}

// valueSum is the total value of several calls.
type valueSum struct {
	count        int
	value, since float64
}

func (s *valueSum) add(c *waitingCall) {
	s.count++
	s.value += c.value
	s.since += c.since
}

func (s *valueSum) remove(c *waitingCall) {
	if s.count--; s.count == 0 {
		*s = valueSum{}
		return
	}
	s.value -= c.value
	s.since -= c.since
}

// at returns the value at a time in seconds of the queue.
func (s *valueSum) at(seconds float64) float64 {
	if s.count == 0 {
		return 0
	}
	return s.value + ageBonus*(float64(s.count)*seconds-s.since)
}

func newWaitQueue() *waitQueue { return &waitQueue{groups: map[bamboorail.AdapterKey]*group{}} }

func (w *waitQueue) seconds(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// add inserts or refreshes a call that is retried by its caller.
func (w *waitQueue) add(r Request, fetch time.Duration, now time.Time) {
	w.insert(callRef{id: r.CallID}, r, fetch, now)
}

// enqueue inserts a call that waits for a grant, and returns its number.
func (w *waitQueue) enqueue(r Request, fetch time.Duration, now time.Time) uint64 {
	w.remove(r.Key, callRef{id: r.CallID})
	w.lastNumber++
	w.insert(callRef{r.CallID, w.lastNumber}, r, fetch, now)
	g := w.groups[r.Key]
	if g.enqueued == 0 {
		w.enqueuedAdapters++
	}
	w.enqueued++
	g.enqueued++
	return w.lastNumber
}

func (w *waitQueue) insert(ref callRef, r Request, fetch time.Duration, now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	w.remove(r.Key, ref)
	g := w.groups[r.Key]
	if g == nil {
		g = &group{key: r.Key, index: len(w.list), calls: map[callRef]*waitingCall{}}
		w.groups[r.Key] = g
		w.list = append(w.list, g)
	}
	since := now.Add(-r.Waited)
	c := &waitingCall{
		request: r, since: w.seconds(since), value: max(1-priorityPenalty*float64(r.Priority), minCallValue),
		lateAt: since.Add(r.Objective - fetch), lastAsked: now,
	}
	if now.After(c.lateAt) {
		c.value, c.lateAt = c.value*lateFactor, time.Time{}
	}
	g.calls[ref] = c
	g.waiting.add(c)
	g.scheduleChange(c.nextChange(ref))
}

// nextChange returns the next time at which a call loses value or expires, zero
// if there is none. Enqueued calls do not expire.
func (c *waitingCall) nextChange(ref callRef) time.Time {
	switch expiry := c.lastAsked.Add(pollTimeout); {
	case ref.number > 0:
		return c.lateAt
	case c.lateAt.IsZero() || expiry.Before(c.lateAt):
		return expiry
	}
	return c.lateAt
}

func (g *group) scheduleChange(at time.Time) {
	if !at.IsZero() && (g.nextChange.IsZero() || at.Before(g.nextChange)) {
		g.nextChange = at
	}
}

func (g *group) sumOf(c *waitingCall) *valueSum {
	if c.placed {
		return &g.placed
	}
	return &g.waiting
}

func (w *waitQueue) remove(key bamboorail.AdapterKey, ref callRef) {
	g := w.groups[key]
	if g == nil || g.calls[ref] == nil {
		return
	}
	g.sumOf(g.calls[ref]).remove(g.calls[ref])
	delete(g.calls, ref)
	if ref.number > 0 {
		w.enqueued--
		if g.enqueued--; g.enqueued == 0 {
			w.enqueuedAdapters--
		}
	}
	w.removeGroup(g)
}

// removeGroup removes a group without calls.
func (w *waitQueue) removeGroup(g *group) {
	if len(g.calls) > 0 || w.groups[g.key] != g {
		return
	}
	delete(w.groups, g.key)
	last := len(w.list) - 1
	w.list[g.index] = w.list[last]
	w.list[g.index].index = g.index
	w.list[last] = nil
	w.list = w.list[:last]
}

// loadStarted removes the calls for an adapter whose load starts on an engine
// with the given number of slots, 0 if unknown: all retried calls, and of the
// calls placed behind others as many as find a slot there, or all if the number
// is unknown. Enqueued calls remain until they are granted.
func (w *waitQueue) loadStarted(key bamboorail.AdapterKey, slots int) {
	g := w.groups[key]
	if g == nil {
		return
	}
	var placed []callRef
	for ref, c := range g.calls {
		switch {
		case ref.number > 0:
		case c.placed && slots > 0:
			placed = append(placed, ref)
		default:
			w.remove(key, ref)
		}
	}
	slices.SortFunc(placed, func(a, b callRef) int {
		return cmp.Or(g.calls[a].lastAsked.Compare(g.calls[b].lastAsked), cmp.Compare(a.id, b.id))
	})
	for _, ref := range placed[:min(slots, len(placed))] {
		w.remove(key, ref)
	}
}

// markPlaced records that a retried call was placed behind others at a full
// engine.
func (w *waitQueue) markPlaced(r Request) {
	g := w.groups[r.Key]
	if g == nil {
		return
	}
	if c := g.calls[callRef{id: r.CallID}]; c != nil && !c.placed {
		g.waiting.remove(c)
		c.placed = true
		g.lastPlaced = c.request
		g.placed.add(c)
		g.replicationRejected = false
	}
}

// refresh removes expired calls and lowers the value of calls that became late.
func (w *waitQueue) refresh(g *group, now time.Time) {
	if g.nextChange.IsZero() || !now.After(g.nextChange) {
		return
	}
	g.nextChange = time.Time{}
	for ref, c := range g.calls {
		if ref.number == 0 && now.Sub(c.lastAsked) > pollTimeout {
			g.sumOf(c).remove(c)
			delete(g.calls, ref)
			continue
		}
		if !c.lateAt.IsZero() && now.After(c.lateAt) {
			g.sumOf(c).remove(c)
			c.value, c.lateAt = c.value*lateFactor, time.Time{}
			g.sumOf(c).add(c)
		}
		g.scheduleChange(c.nextChange(ref))
	}
}

// valueOf returns the total value of the calls for an adapter.
func (w *waitQueue) valueOf(key bamboorail.AdapterKey, now time.Time) float64 {
	g := w.groups[key]
	if g == nil {
		return 0
	}
	w.refresh(g, now)
	seconds := w.seconds(now)
	return g.waiting.at(seconds) + g.placed.at(seconds)
}

// mayFetch reports whether an adapter is among the most valuable waiting
// adapters, as many as there are free fetches.
func (w *waitQueue) mayFetch(key bamboorail.AdapterKey, free int, now time.Time) bool {
	return free > 0 && w.adaptersAhead(key, free, now) < free
}

// adaptersAhead returns the number of adapters that precede an adapter, counted
// up to limit.
func (w *waitQueue) adaptersAhead(key bamboorail.AdapterKey, limit int, now time.Time) int {
	value, seconds, ahead := w.valueOf(key, now), w.seconds(now), 0
	for _, g := range w.list {
		w.refresh(g, now)
		if g.key.Adapter == "" {
			continue
		}
		if s := g.waiting.at(seconds); s > 0 && g.key != key && (s > value || (s == value && g.key.Adapter < key.Adapter)) {
			if ahead++; ahead >= limit {
				break
			}
		}
	}
	return ahead
}

// mostValuable returns the most valuable adapter that has an enqueued call or
// calls queued at a full engine, other than the excluded ones.
func (w *waitQueue) mostValuable(excluded map[bamboorail.AdapterKey]bool, now time.Time) (bamboorail.AdapterKey, bool) {
	var best *group
	most, seconds := 0.0, w.seconds(now)
	for _, g := range w.list {
		if g.key.Adapter == "" || excluded[g.key] {
			continue
		}
		if w.refresh(g, now); g.enqueued == 0 && (g.placed.count == 0 || g.replicationRejected) {
			continue
		}
		s := g.waiting.at(seconds) + g.placed.at(seconds)
		if best == nil || s > most || (s == most && g.key.Adapter < best.key.Adapter) {
			best, most = g, s
		}
	}
	if best == nil {
		return bamboorail.AdapterKey{}, false
	}
	return best.key, true
}

// enqueuedFor returns the enqueued calls for an adapter, oldest first.
func (w *waitQueue) enqueuedFor(key bamboorail.AdapterKey) []callRef {
	g := w.groups[key]
	if g == nil || g.enqueued == 0 {
		return nil
	}
	refs := make([]callRef, 0, g.enqueued)
	for ref := range g.calls {
		if ref.number > 0 {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, func(a, b callRef) int { return cmp.Compare(a.number, b.number) })
	return refs
}

// placedRequest returns the last call for an adapter that was placed behind others.
func (w *waitQueue) placedRequest(key bamboorail.AdapterKey) Request { return w.groups[key].lastPlaced }

// nextExpiry returns the earliest time at which a call that is gone stops
// delaying others, zero if there is none. Groups with enqueued calls are
// ignored.
func (w *waitQueue) nextExpiry() time.Time {
	var next time.Time
	for _, g := range w.list {
		if g.enqueued == 0 && !g.nextChange.IsZero() && (next.IsZero() || g.nextChange.Before(next)) {
			next = g.nextChange
		}
	}
	return next
}

// prune removes expired calls.
func (w *waitQueue) prune(now time.Time) {
	for i := len(w.list) - 1; i >= 0; i-- {
		g := w.list[i]
		w.refresh(g, now)
		w.removeGroup(g)
	}
}
