// Package concurrency limits the calls that all instances together have at a target at
// once. The holder of a zone issues the permits for the zone's targets. The package is not
// safe for concurrent use and takes the time as an argument.
package concurrency

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// span is the time over which targets count refusals, and over which the ends of calls
	// and the instances that wait are counted.
	span = time.Second
	// growInterval is the time without a refusal after which one more call is let to a
	// target that refused some.
	growInterval = 250 * time.Millisecond
	// endMargin is the time after the end of a call by which its permit expires, if its
	// end was not reported.
	endMargin = 250 * time.Millisecond
	// unclearEnd is the time for which a target may go on with a call that was given up.
	unclearEnd = 100 * time.Millisecond
	// minAgain and maxAgain bound the time after which a denied request should be made
	// again.
	minAgain = 5 * time.Millisecond
	maxAgain = time.Second
	// attemptFactor is the number of requests that are made for each permit while
	// instances wait, so that few slots idle.
	attemptFactor = 2
	// reportMargin is the time after which an instance reports a permit among those it
	// holds, or its grant was lost.
	reportMargin = time.Second
)

// Request is a request for a permit for one call.
type Request struct {
	// Target is the name of the target: while it starts again, instances use different
	// starts of it.
	Target   string
	Instance string
	// Slots is the number of calls that the target runs at once, Share the part of them
	// that may be granted.
	Slots int
	Share float64
	// MaxRefusals is the number of refusals a second that the target bears.
	MaxRefusals float64
	// Timeout is the time within which the call ends.
	Timeout time.Duration
}

// Grant is the answer to a request.
type Grant struct {
	// Permit is the number of the permit, 0 if there is none.
	Permit uint64
	// Again is the time after which a denied request should be made again.
	Again time.Duration
}

type permit struct {
	target   string
	instance string
	issued   time.Time
	expires  time.Time
	// unmeasured is set if the end of the permit does not show the time of its call.
	unmeasured bool
}

// target is what is known of the calls at one target.
type target struct {
	held int
	// room is the number of calls that the target had when it refused one at refusedAt, 0
	// if it refused none lately.
	room      int
	refusedAt time.Time
	// refusals are the times of the latest refusals.
	refusals []time.Time
	// denied are the times at which instances were denied last.
	denied map[string]time.Time
	// ends are the times of the latest ends of calls.
	ends []time.Time
}

// Table holds the permits for the targets of one zone.
type Table struct {
	last    uint64
	permits map[uint64]permit
	targets map[string]*target
}

// NewTable returns an empty table whose permits are numbered after a number.
func NewTable(after uint64) *Table {
	return &Table{last: after, permits: map[uint64]permit{}, targets: map[string]*target{}}
}

// Acquire issues a permit if the target has room for a call.
func (t *Table) Acquire(r Request, now time.Time) Grant {
	x := t.target(r.Target)
	capacity := x.capacity(r, now)
	if x.held >= capacity {
		t.Expire(now)
	}
	if x.held >= capacity {
		x.denied[r.Instance] = now
		return Grant{Again: x.again(now)}
	}
	delete(x.denied, r.Instance)
	x.held++
	t.last++
	t.permits[t.last] = permit{target: r.Target, instance: r.Instance, issued: now, expires: now.Add(r.Timeout + endMargin)}
	return Grant{Permit: t.last}
}

// capacity returns the number of calls that may be at the target at once.
func (x *target) capacity(r Request, now time.Time) int {
	capacity := max(int(math.Ceil(float64(r.Slots)*r.Share)), 1)
	x.refusals = recent(x.refusals, now)
	if n := len(x.refusals); n > 0 && float64(n) >= r.MaxRefusals {
		return 0
	}
	grown := x.room + int(now.Sub(x.refusedAt)/growInterval)
	if x.room == 0 || grown >= capacity {
		x.room = 0
		return capacity
	}
	return max(grown, 1)
}

// again returns the time after which a denied request should be made again: once the
// instances that wait have had their turns.
func (x *target) again(now time.Time) time.Duration {
	maps.DeleteFunc(x.denied, func(_ string, at time.Time) bool { return now.Sub(at) > span })
	x.ends = recent(x.ends, now)
	turn := time.Duration(len(x.denied)) * span / time.Duration(attemptFactor*max(len(x.ends), 1))
	turn = min(max(turn, minAgain), maxAgain)
	return turn/2 + rand.N(turn)
}

// recent returns the times of a list, oldest first, within the span before now.
func recent(list []time.Time, now time.Time) []time.Time {
	n, _ := slices.BinarySearchFunc(list, now.Add(-span), time.Time.Compare)
	return list[n:]
}

// End is how a call ended.
type End int

// The ends of calls.
const (
	// Ended calls are not at the target any more.
	Ended End = iota
	// Refused calls found no room.
	Refused
	// GivenUp calls may be at the target for a while.
	GivenUp
	// Unused permits were not used.
	Unused
)

// Release ends a permit. It returns false if there is none with the number.
func (t *Table) Release(number uint64, e End, now time.Time) bool {
	p, ok := t.permits[number]
	if !ok {
		return false
	}
	if e == GivenUp {
		p.expires = now.Add(unclearEnd)
		t.permits[number] = p
		return true
	}
	t.remove(number, p)
	x := t.target(p.target)
	if e == Refused {
		x.refusals = append(recent(x.refusals, now), now)
		x.room, x.refusedAt = max(x.held, 1), now
		return true
	}
	x.ends = append(recent(x.ends, now), now)
	return true
}

func (t *Table) remove(number uint64, p permit) {
	delete(t.permits, number)
	t.target(p.target).held--
}

// Reconcile ends the permits of an instance that are not among those that it holds: their
// grants were lost, or its process ended.
func (t *Table) Reconcile(instance string, held []uint64, now time.Time) {
	for number, p := range t.permits {
		if p.instance == instance && now.Sub(p.issued) > reportMargin && !slices.Contains(held, number) {
			t.remove(number, p)
		}
	}
}

// Expire ends the permits whose calls must have ended.
func (t *Table) Expire(now time.Time) {
	for number, p := range t.permits {
		if now.After(p.expires) {
			t.remove(number, p)
		}
	}
}

// Retain removes the targets that keep rejects.
func (t *Table) Retain(keep func(name string) bool) {
	for number, p := range t.permits {
		if !keep(p.target) {
			t.remove(number, p)
		}
	}
	maps.DeleteFunc(t.targets, func(name string, _ *target) bool { return !keep(name) })
}

func (t *Table) target(name string) *target {
	x := t.targets[name]
	if x == nil {
		x = &target{denied: map[string]time.Time{}}
		t.targets[name] = x
	}
	return x
}
