package concurrency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// meterPeriod is the time over which the arrivals of a class are averaged.
	meterPeriod = 500 * time.Millisecond
	// maxFairEntries bounds the workspaces of a class for which a position is kept.
	maxFairEntries = 256
)

// capacity returns the number of permits: the slots and a few places in the queue of the
// target, fewer for a while after it refused a call.
func (x *sharedTarget) capacity(now time.Time) int {
	full := max(int(math.Ceil(float64(x.slots)*(1+placeShare)*x.share)), 1)
	if x.room == 0 {
		return full
	}
	grown := x.room + int(now.Sub(x.roomAt)/growInterval)
	if grown >= full {
		x.room = 0
		return full
	}
	return max(grown, 1)
}

// longHold returns the time after which a permit expires.
func (x *sharedTarget) longHold() time.Duration {
	return max(time.Duration(longFactor*x.hold*float64(time.Second)), minLong)
}

// observe takes note of the time of a permit that has ended.
func (x *sharedTarget) observe(p permit, now time.Time) {
	if p.unmeasured {
		return
	}
	x.hold += holdWeight * (now.Sub(p.issued).Seconds() - x.hold)
}

// press takes note of pressure.
func (x *sharedTarget) press(now time.Time) {
	if !x.isPressed(now) {
		x.since = now
	}
	x.pressed = now
}

func (x *sharedTarget) isPressed(now time.Time) bool {
	return !x.pressed.IsZero() && now.Sub(x.pressed) < pressurePeriod
}

// wait returns the expected wait of a call with a number of calls before it. The rate of
// the target is the number of its permits by the time for which they are held. Calls of
// classes that come first use up their part of it.
func (x *sharedTarget) wait(class, ahead int, now time.Time) time.Duration {
	capacity := x.capacity(now)
	if ahead == 0 && x.held < capacity {
		return 0
	}
	rate := float64(capacity) / max(x.hold, 1e-3)
	free := rate
	for c, m := range x.arrivals {
		if c < class {
			free -= m.rate(now)
		}
	}
	return time.Duration(float64(ahead+1) / max(free, minFree*rate) * float64(time.Second))
}

// expected returns the expected wait of a call that is not among the waiting ones.
func (x *sharedTarget) expected(w *waiter, now time.Time) time.Duration {
	ahead, _ := slices.BinarySearchFunc(x.waiting, w, compareWaiters)
	return x.wait(w.request.class(), ahead, now)
}

// another returns the expected wait of another call like one of a request.
func (x *sharedTarget) another(r SharedRequest, now time.Time) time.Duration {
	return x.expected(&waiter{request: r, until: now.Add(r.Wait), tag: x.fairness(r.class()).next(r)}, now)
}

// ahead returns the number of waiting calls of a class and those before it.
func (x *sharedTarget) ahead(class int) int {
	n := 0
	for _, w := range x.waiting {
		if w.request.class() <= class {
			n++
		}
	}
	return n
}

// compareWaiters orders calls by class, then by their place among the workspaces, then by
// arrival.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.request.class(), b.request.class()), cmp.Compare(a.tag, b.tag), cmp.Compare(a.until.UnixNano(), b.until.UnixNano()))
}

// insert adds a call to the waiting ones. The calls of one workspace and class take their
// places in the order of their deadlines.
func (x *sharedTarget) insert(w *waiter) {
	var same []*waiter
	for _, other := range x.waiting {
		if other.request.Workspace == w.request.Workspace && other.request.class() == w.request.class() {
			same = append(same, other)
		}
	}
	same = append(same, w)
	tags := make([]float64, 0, len(same))
	for _, one := range same {
		tags = append(tags, one.tag)
	}
	slices.Sort(tags)
	slices.SortStableFunc(same, func(a, b *waiter) int { return a.until.Compare(b.until) })
	for i, one := range same {
		one.tag = tags[i]
	}
	x.waiting = append(x.waiting, w)
	slices.SortStableFunc(x.waiting, compareWaiters)
}

// withdraw removes a waiting call that is not served. The calls of its workspace and class
// that come after it move up by one place: what was not served does not count.
func (x *sharedTarget) withdraw(w *waiter) {
	x.waiting = slices.DeleteFunc(x.waiting, func(other *waiter) bool { return other == w })
	place, moved := w.tag, false
	for _, other := range x.waiting {
		if other.request.Workspace == w.request.Workspace && other.request.class() == w.request.class() && other.tag > place {
			other.tag, place, moved = place, other.tag, true
		}
	}
	if moved {
		slices.SortStableFunc(x.waiting, compareWaiters)
	}
	x.fairness(w.request.class()).withdraw(w.request)
}

func (x *sharedTarget) meter(class int) *meter {
	m := x.arrivals[class]
	if m == nil {
		m = &meter{}
		x.arrivals[class] = m
	}
	return m
}

func (x *sharedTarget) fairness(class int) *fairness {
	f := x.fair[class]
	if f == nil {
		f = &fairness{last: map[string]float64{}}
		x.fair[class] = f
	}
	return f
}

// meter is an exponentially decaying rate.
type meter struct {
	sum float64
	at  time.Time
}

func (m *meter) add(now time.Time) { m.sum, m.at = m.decayed(now)+1, now }

func (m *meter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-float64(now.Sub(m.at))/float64(meterPeriod))
}

// rate returns the events a second.
func (m *meter) rate(now time.Time) float64 { return m.decayed(now) / meterPeriod.Seconds() }

// fairness is the virtual time of the calls of one class: each call of a workspace advances
// that of the workspace by the inverse of its weight.
type fairness struct {
	virtual float64
	last    map[string]float64
}

// next returns the place of the next call of a workspace.
func (f *fairness) next(r SharedRequest) float64 {
	return max(f.virtual, f.last[r.Workspace]) + r.step()
}

// step returns the distance between two calls of a workspace.
func (r SharedRequest) step() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return 1 / r.Weight
}

// record takes note of a waiting call.
func (f *fairness) record(w *waiter) { f.last[w.request.Workspace] = w.tag }

// withdraw takes note that a waiting call is not served.
func (f *fairness) withdraw(r SharedRequest) {
	if last, ok := f.last[r.Workspace]; ok {
		f.last[r.Workspace] = last - r.step()
	}
}

// serve takes note that a waiting call is served.
func (f *fairness) serve(w *waiter) {
	f.virtual = max(f.virtual, w.tag)
	f.prune()
}

// advance takes note of a call that is served without waiting. No call waits then, so no
// workspace is behind.
func (f *fairness) advance(r SharedRequest) {
	f.virtual = max(f.virtual, f.last[r.Workspace])
	f.prune()
}

func (f *fairness) prune() {
	if len(f.last) > maxFairEntries {
		maps.DeleteFunc(f.last, func(_ string, tag float64) bool { return tag <= f.virtual })
	}
}
