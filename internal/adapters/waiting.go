package adapters

import (
	"cmp"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// askedWithin is the time after which a call that was not placed again has
	// left, unless it waits to be called.
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
// scarce, the adapter that serves most calls on time is fetched first. Its
// decisions take the same time for any number of calls that wait for an
// adapter.
type waitlist struct {
	groups map[bamboorail.AdapterKey]*group
	// list holds the groups for quick passes over all.
	list []*group
	// start is the time from which ages are counted.
	start time.Time
	// called is the number of calls that wait to be called, adapters that of the
	// adapters they wait for.
	called, adapters int
	next             uint64
}

// group holds the calls that wait for one adapter.
type group struct {
	key   bamboorail.AdapterKey
	index int
	calls map[callRef]*waitingCall
	// waiting sums the calls that hold up fetches of other adapters, placed
	// those that were placed behind others.
	waiting, placed sum
	// called is the number of calls that wait to be called.
	called int
	// considered is set once a fetch for the placed calls was found not to serve
	// the next one sooner.
	considered bool
	// changes is the earliest time at which a call loses value or leaves.
	changes time.Time
}

// callRef names a call by its ID, and by a number if it waits to be called.
type callRef struct {
	id     string
	number uint64
}

type waitingCall struct {
	request Request
	// since is the time since which the call waits, in seconds of the list.
	since float64
	// value is what the call counts for, without its age.
	value float64
	// lateAt is the time from which the call misses its objective.
	lateAt time.Time
	// asked is the last time at which the call was asked for.
	asked time.Time
	// placed is set for a call behind others at a full engine: it speaks for a
	// fetch of its adapter, but holds up no fetch of another one.
	placed bool
}

// sum is the value of several calls.
type sum struct {
	count        int
	value, since float64
}

func (s *sum) add(c *waitingCall) {
	s.count++
	s.value += c.value
	s.since += c.since
}

func (s *sum) remove(c *waitingCall) {
	if s.count--; s.count == 0 {
		*s = sum{}
		return
	}
	s.value -= c.value
	s.since -= c.since
}

// at returns the value at a time.
func (s *sum) at(seconds float64) float64 {
	if s.count == 0 {
		return 0
	}
	return s.value + ageValue*(float64(s.count)*seconds-s.since)
}

func newWaitlist() *waitlist { return &waitlist{groups: map[bamboorail.AdapterKey]*group{}} }

func (w *waitlist) seconds(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// add enters or refreshes a call that asks again.
func (w *waitlist) add(r Request, fetch time.Duration, now time.Time) {
	w.enter(callRef{id: r.CallID}, r, fetch, now)
}

// call enters a call that waits to be called, and returns its number.
func (w *waitlist) call(r Request, fetch time.Duration, now time.Time) uint64 {
	w.leave(r.Key, callRef{id: r.CallID})
	w.next++
	w.enter(callRef{r.CallID, w.next}, r, fetch, now)
	g := w.groups[r.Key]
	if g.called == 0 {
		w.adapters++
	}
	w.called++
	g.called++
	return w.next
}

func (w *waitlist) enter(ref callRef, r Request, fetch time.Duration, now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	w.leave(r.Key, ref)
	g := w.groups[r.Key]
	if g == nil {
		g = &group{key: r.Key, index: len(w.list), calls: map[callRef]*waitingCall{}}
		w.groups[r.Key] = g
		w.list = append(w.list, g)
	}
	since := now.Add(-r.Waited)
	c := &waitingCall{
		request: r, since: w.seconds(since), value: max(1-priorityStep*float64(r.Priority), leastValue),
		lateAt: since.Add(r.Objective - fetch), asked: now,
	}
	if now.After(c.lateAt) {
		c.value, c.lateAt = c.value*lateValue, time.Time{}
	}
	g.calls[ref] = c
	g.waiting.add(c)
	g.changesAt(c.change(ref))
}

// change returns the next time at which a call loses value or leaves by
// itself, zero if it does not.
func (c *waitingCall) change(ref callRef) time.Time {
	switch left := c.asked.Add(askedWithin); {
	case ref.number > 0:
		return c.lateAt
	case c.lateAt.IsZero() || left.Before(c.lateAt):
		return left
	}
	return c.lateAt
}

func (g *group) changesAt(at time.Time) {
	if !at.IsZero() && (g.changes.IsZero() || at.Before(g.changes)) {
		g.changes = at
	}
}

func (g *group) sumOf(c *waitingCall) *sum {
	if c.placed {
		return &g.placed
	}
	return &g.waiting
}

// leave removes a call.
func (w *waitlist) leave(key bamboorail.AdapterKey, ref callRef) {
	g := w.groups[key]
	if g == nil || g.calls[ref] == nil {
		return
	}
	g.sumOf(g.calls[ref]).remove(g.calls[ref])
	delete(g.calls, ref)
	if ref.number > 0 {
		w.called--
		if g.called--; g.called == 0 {
			w.adapters--
		}
	}
	w.drop(g)
}

// drop removes a group without calls.
func (w *waitlist) drop(g *group) {
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

// started removes the calls for an adapter whose load starts at an engine with
// some slots, or 0 if it does not tell: all that ask again, and of those placed
// behind others as many as find a slot there. Those that wait to be called
// remain until they are.
func (w *waitlist) started(key bamboorail.AdapterKey, slots int) {
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
			w.leave(key, ref)
		}
	}
	slices.SortFunc(placed, func(a, b callRef) int {
		return cmp.Or(g.calls[a].asked.Compare(g.calls[b].asked), cmp.Compare(a.id, b.id))
	})
	for _, ref := range placed[:min(slots, len(placed))] {
		w.leave(key, ref)
	}
}

// place notes that a call that asked was placed behind others.
func (w *waitlist) place(r Request) {
	g := w.groups[r.Key]
	if g == nil {
		return
	}
	if c := g.calls[callRef{id: r.CallID}]; c != nil && !c.placed {
		g.waiting.remove(c)
		c.placed = true
		g.placed.add(c)
		g.considered = false
	}
}

// refresh takes in that time has passed.
func (w *waitlist) refresh(g *group, now time.Time) {
	if g.changes.IsZero() || !now.After(g.changes) {
		return
	}
	g.changes = time.Time{}
	for ref, c := range g.calls {
		if ref.number == 0 && now.Sub(c.asked) > askedWithin {
			g.sumOf(c).remove(c)
			delete(g.calls, ref)
			continue
		}
		if !c.lateAt.IsZero() && now.After(c.lateAt) {
			g.sumOf(c).remove(c)
			c.value, c.lateAt = c.value*lateValue, time.Time{}
			g.sumOf(c).add(c)
		}
		g.changesAt(c.change(ref))
	}
}

// own is the value of all calls for an adapter.
func (w *waitlist) own(key bamboorail.AdapterKey, now time.Time) float64 {
	g := w.groups[key]
	if g == nil {
		return 0
	}
	w.refresh(g, now)
	seconds := w.seconds(now)
	return g.waiting.at(seconds) + g.placed.at(seconds)
}

// mayStart reports whether an adapter is among the free best of those that
// wait.
func (w *waitlist) mayStart(key bamboorail.AdapterKey, free int, now time.Time) bool {
	return free > 0 && w.ahead(key, free, now) < free
}

// ahead returns the number of adapters that come before one, counted up to
// enough.
func (w *waitlist) ahead(key bamboorail.AdapterKey, enough int, now time.Time) int {
	own, seconds, ahead := w.own(key, now), w.seconds(now), 0
	for _, g := range w.list {
		w.refresh(g, now)
		if g.key.Adapter == "" {
			continue
		}
		if s := g.waiting.at(seconds); s > 0 && g.key != key && (s > own || (s == own && g.key.Adapter < key.Adapter)) {
			if ahead++; ahead >= enough {
				break
			}
		}
	}
	return ahead
}

// first returns the adapter of most value among those with a call that waits
// to be called, or that queues at a full engine, except some.
func (w *waitlist) first(except map[bamboorail.AdapterKey]bool, now time.Time) (bamboorail.AdapterKey, bool) {
	var best *group
	most, seconds := 0.0, w.seconds(now)
	for _, g := range w.list {
		if g.key.Adapter == "" || except[g.key] {
			continue
		}
		if w.refresh(g, now); g.called == 0 && (g.placed.count == 0 || g.considered) {
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

// calledFor returns the calls for an adapter that wait to be called, the oldest
// first.
func (w *waitlist) calledFor(key bamboorail.AdapterKey) []callRef {
	g := w.groups[key]
	if g == nil || g.called == 0 {
		return nil
	}
	refs := make([]callRef, 0, g.called)
	for ref := range g.calls {
		if ref.number > 0 {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, func(a, b callRef) int { return cmp.Compare(a.number, b.number) })
	return refs
}

// queued returns one of the calls for an adapter that were placed behind others.
func (w *waitlist) queued(key bamboorail.AdapterKey) Request {
	for _, c := range w.groups[key].calls {
		if c.placed {
			return c.request
		}
	}
	return Request{}
}

// nextChange returns the earliest time at which a call that left stops to hold
// up others, zero if there is none.
func (w *waitlist) nextChange() time.Time {
	var next time.Time
	for _, g := range w.list {
		if g.called == 0 && !g.changes.IsZero() && (next.IsZero() || g.changes.Before(next)) {
			next = g.changes
		}
	}
	return next
}

// prune forgets calls that left.
func (w *waitlist) prune(now time.Time) {
	for i := len(w.list) - 1; i >= 0; i-- {
		g := w.list[i]
		w.refresh(g, now)
		w.drop(g)
	}
}
