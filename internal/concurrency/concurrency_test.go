package concurrency

import (
	"testing"
	"time"
)

// step is a request for a permit, or the end of one that was issued before.
type step struct {
	after time.Duration
	// acquire is the requesting instance, empty for an end.
	acquire string
	granted bool
	// ended is the number of the grant, from 1, and end how its call ended.
	ended uint64
	end   End
	// lost is the instance that reports that it holds no permit.
	lost string
}

const (
	slots = 2
	// callTimeout is the timeout of the calls.
	callTimeout = 10 * time.Second
	seconds     = time.Second
)

func ask(after time.Duration, instance string, granted bool) step {
	return step{after: after, acquire: instance, granted: granted}
}

func end(after time.Duration, number uint64, e End) step {
	return step{after: after, ended: number, end: e}
}

// TestPermits checks which calls are let to a target with two slots.
func TestPermits(t *testing.T) {
	cases := map[string]struct {
		maxRefusals, share float64
		steps              []step
	}{
		"all slots, over all instances": {5, 1, []step{ask(0, "a", true), ask(0, "b", true), ask(0, "c", false)}},
		"end of a call":                 {5, 1, []step{ask(0, "a", true), ask(0, "a", true), end(0, 2, Ended), ask(0, "b", true), ask(0, "b", false)}},
		"end reported twice": {5, 1, []step{
			ask(0, "a", true), ask(0, "a", true), end(0, 2, Ended), end(0, 2, Ended), ask(0, "b", true), ask(0, "b", false),
		}},
		"a part of the slots": {5, 0.3, []step{ask(0, "a", true), ask(0, "b", false)}},
		"end never reported":  {5, 1, []step{ask(0, "a", true), ask(0, "a", true), ask(callTimeout, "b", false), ask(callTimeout+endMargin+1, "b", true)}},
		"given up":            {5, 1, []step{ask(0, "a", true), ask(0, "a", true), end(0, 1, GivenUp), ask(unclearEnd, "b", false), ask(unclearEnd+1, "b", true)}},
		"refused, below its bound": {5, 1, []step{
			ask(0, "a", true), ask(0, "b", true), end(0, 2, Refused), ask(0, "b", false), ask(growInterval-1, "b", false), ask(growInterval, "b", true),
		}},
		"refused, at its bound": {1, 1, []step{
			ask(0, "a", true), ask(0, "b", true), end(0, 2, Refused), end(0, 1, Ended), ask(span-1, "b", false), ask(span+1, "b", true),
			ask(span+1, "b", true), ask(span+1, "c", false),
		}},
		"bears none": {0, 1, []step{ask(0, "a", true), end(0, 1, Refused), ask(span-1, "a", false), ask(span+1, "a", true)}},
		"grant was lost": {5, 1, []step{
			ask(0, "a", true), ask(0, "b", true), {after: reportMargin, lost: "a"}, ask(reportMargin, "b", false),
			{after: reportMargin + 1, lost: "a"}, ask(reportMargin+1, "b", true), ask(reportMargin+1, "b", false),
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table, start, issued := NewTable(100), time.Now(), []uint64{0}
			for n, s := range c.steps {
				now := start.Add(s.after)
				switch {
				case s.lost != "":
					table.Reconcile(s.lost, nil, now)
				case s.acquire == "":
					table.Release(issued[s.ended], s.end, now)
				default:
					g := table.Acquire(Request{
						Target: "t", Instance: s.acquire, Slots: slots, Share: c.share, MaxRefusals: c.maxRefusals, Timeout: callTimeout,
					}, now)
					if (g.Permit != 0) != s.granted || (g.Again > 0) == s.granted {
						t.Errorf("step %d: %+v", n, g)
					}
					if s.granted {
						issued = append(issued, g.Permit)
					}
				}
			}
		})
	}
}

// TestDeniedInstancesReturnAsSlotsBecomeFree checks that the requests of many instances that
// wait are neither so many that they load the holder, nor so few that slots idle.
func TestDeniedInstancesReturnAsSlotsBecomeFree(t *testing.T) {
	const (
		targetSlots = 6
		work        = 30 * time.Millisecond
		duration    = 20 * seconds
		// minUse is the part of the slots that are used, maxAsked the most requests for
		// each permit.
		minUse, maxAsked = 0.8, 4.0
	)
	for name, instances := range map[string]int{"12": 12, "60": 60, "416": 416} {
		t.Run(name, func(t *testing.T) {
			table, start := NewTable(0), time.Now()
			next, busy := make([]time.Duration, instances), map[uint64]time.Duration{}
			asked, granted := 0, 0
			for at := time.Duration(0); at < duration; at += time.Millisecond {
				for number, until := range busy {
					if at >= until {
						table.Release(number, Ended, start.Add(at))
						delete(busy, number)
					}
				}
				for n := range next {
					if at < next[n] {
						continue
					}
					g := table.Acquire(Request{Target: "t", Instance: string(rune('a' + n)), Slots: targetSlots, Share: 1, MaxRefusals: 1, Timeout: seconds}, start.Add(at))
					asked++
					next[n] = at + g.Again
					if g.Permit != 0 {
						granted++
						next[n], busy[g.Permit] = at+work, at+work
					}
				}
			}
			if use := float64(granted) * work.Seconds() / (targetSlots * duration.Seconds()); use < minUse {
				t.Errorf("%.2f of the slots used", use)
			}
			if each := float64(asked) / float64(granted); each > maxAsked {
				t.Errorf("%.1f requests for each permit", each)
			}
		})
	}
}

// TestTargetsThatLeaveAreForgotten guards against a table that grows with every target.
func TestTargetsThatLeaveAreForgotten(t *testing.T) {
	table, now := NewTable(0), time.Now()
	for _, name := range []string{"a", "b"} {
		table.Acquire(Request{Target: name, Instance: "i", Slots: 1, Share: 1}, now)
	}
	table.Retain(func(name string) bool { return name == "b" })
	if len(table.targets) != 1 || len(table.permits) != 1 {
		t.Errorf("%d targets, %d permits", len(table.targets), len(table.permits))
	}
}
