package concurrency

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	sharedSlots = 4
	// sharedPermits are the permits for the slots and for their queue places.
	sharedPermits = 7
	// usualHold is the time for which the permits of the tests are held.
	usualHold = 60 * time.Millisecond
)

// fullShared returns a Shared with a target whose permits are all in use, their numbers, and
// the time.
func fullShared(t *testing.T) (*Shared, []uint64, time.Time) {
	t.Helper()
	s, now, numbers := NewShared(100), time.Now(), []uint64(nil)
	for range sharedPermits {
		g := s.Acquire(sharedCall("", 0), now)
		if g.Permit == 0 {
			t.Fatalf("permit %d: %+v", len(numbers)+1, g)
		}
		numbers = append(numbers, g.Permit)
	}
	return s, numbers, now.Add(usualHold)
}

func sharedCall(workspace string, priority int) SharedRequest {
	return SharedRequest{
		Target: "t", Instance: "i", Slots: sharedSlots, Share: 1, Priority: priority, Workspace: workspace, Wait: 10 * seconds, Timeout: callTimeout,
	}
}

// TestFreedPermitsGoToTheFirstCall checks the order in which waiting calls are served.
func TestFreedPermitsGoToTheFirstCall(t *testing.T) {
	with := func(r SharedRequest, f func(r *SharedRequest)) SharedRequest {
		f(&r)
		return r
	}
	cases := map[string]struct {
		calls []SharedRequest
		// order lists the calls as they are served.
		order []int
	}{
		"arrival": {[]SharedRequest{sharedCall("a", 0), sharedCall("a", 0), sharedCall("a", 0)}, []int{0, 1, 2}},
		"urgent calls first": {
			[]SharedRequest{sharedCall("a", 2), sharedCall("a", 1), sharedCall("a", 0), sharedCall("a", 1)}, []int{2, 1, 3, 0},
		},
		"late calls last in their priority": {
			[]SharedRequest{with(sharedCall("a", 0), func(r *SharedRequest) { r.Late = true }), sharedCall("a", 1), sharedCall("a", 0)}, []int{2, 0, 1},
		},
		"workspaces in turn": {
			[]SharedRequest{sharedCall("a", 0), sharedCall("a", 0), sharedCall("a", 0), sharedCall("b", 0), sharedCall("b", 0)}, []int{0, 3, 1, 4, 2},
		},
		"workspaces by weight": {
			[]SharedRequest{
				sharedCall("a", 0), sharedCall("a", 0), sharedCall("a", 0), with(sharedCall("b", 0), func(r *SharedRequest) { r.Weight = 3 }),
				with(sharedCall("b", 0), func(r *SharedRequest) { r.Weight = 3 }),
			}, []int{3, 4, 0, 1, 2},
		},
		"deadline within a workspace": {
			[]SharedRequest{sharedCall("a", 0), with(sharedCall("a", 0), func(r *SharedRequest) { r.Wait = 5 * seconds }), sharedCall("b", 0)}, []int{1, 2, 0},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, numbers, now := fullShared(t)
			waiters := map[uint64]int{}
			for n, r := range c.calls {
				g := s.Acquire(r, now)
				if g.Waiter == 0 || g.Permit != 0 || !g.Pressed {
					t.Fatalf("call %d: %+v", n, g)
				}
				waiters[g.Waiter] = n
			}
			var order []int
			for _, number := range numbers[:len(c.calls)] {
				s.Release(number, Ended, now)
				for _, g := range s.Grant(now) {
					order = append(order, waiters[g.Waiter])
				}
			}
			if !slices.Equal(order, c.order) || s.Waiting() != 0 || s.Held() != sharedPermits {
				t.Errorf("served in the order %v, expected %v; %d wait, %d permits", order, c.order, s.Waiting(), s.Held())
			}
		})
	}
}

// TestCallsThatWouldWaitInVainAreRefused guards against calls that wait until their callers
// give up.
func TestCallsThatWouldWaitInVainAreRefused(t *testing.T) {
	s, _, now := fullShared(t)
	r := sharedCall("a", 1)
	r.Wait = 200 * time.Millisecond
	queued := 0
	var last SharedGrant
	for range 100 {
		if last = s.Acquire(r, now); last.Waiter == 0 {
			break
		}
		queued++
	}
	// Seven permits of 0.1 s, which is assumed at first, serve 70 calls a second.
	if queued < 5 || queued > 12 || last.Permit != 0 || last.RetryAfter < minDrain || last.RetryAfter > 2*maxDrain || last.Expected <= 0 {
		t.Errorf("%d calls wait, the next one gets %+v", queued, last)
	}
	for n := range 3 * queued { // more urgent calls that all find a place
		if g := s.Acquire(sharedCall(fmt.Sprint(n), 0), now); g.Waiter == 0 {
			t.Fatalf("urgent call %d: %+v", n, g)
		}
	}
	refused := s.Grant(now)
	for _, g := range refused {
		if g.Permit != 0 || g.RetryAfter == 0 {
			t.Errorf("overtaken call: %+v", g)
		}
	}
	if len(refused) != queued {
		t.Errorf("%d overtaken calls refused, expected %d", len(refused), queued)
	}
}

// TestSharedPermitsEnd checks what frees permits, and how many there are then.
func TestSharedPermitsEnd(t *testing.T) {
	cases := map[string]struct {
		act func(s *Shared, numbers []uint64, now time.Time)
		// after is the time that passes, granted the number of waiting calls that get a
		// permit then.
		after   time.Duration
		granted int
	}{
		"nothing":         {func(*Shared, []uint64, time.Time) {}, 0, 0},
		"ended":           {func(s *Shared, n []uint64, now time.Time) { s.Release(n[0], Ended, now); s.Release(n[0], Ended, now) }, 0, 1},
		"given up":        {func(s *Shared, n []uint64, now time.Time) { s.Release(n[0], GivenUp, now) }, unclearEnd, 0},
		"given up, later": {func(s *Shared, n []uint64, now time.Time) { s.Release(n[0], GivenUp, now) }, unclearEnd + 1, 1},
		"never reported":  {func(*Shared, []uint64, time.Time) {}, longFactor * 100 * time.Millisecond, sharedPermits},
		"grants were lost": {func(s *Shared, n []uint64, now time.Time) {
			s.Reconcile("i", n[:5], now.Add(reportMargin))
		}, 0, 2},
		"refused as pressure begins": {func(s *Shared, n []uint64, now time.Time) {
			for _, number := range n[:6] {
				s.Release(number, Refused, now)
			}
		}, 0, sharedSlots - 1},
		"refused under pressure": {func(s *Shared, n []uint64, now time.Time) {
			for _, number := range n[:6] {
				s.Release(number, Refused, now.Add(onsetPeriod))
			}
		}, 0, 0},
		"grows again": {func(s *Shared, n []uint64, now time.Time) {
			for _, number := range n[:6] {
				s.Release(number, Refused, now)
			}
		}, growInterval, sharedSlots},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, numbers, now := fullShared(t)
			for range 2 * sharedPermits {
				s.Acquire(sharedCall("a", 0), now)
			}
			c.act(s, numbers, now)
			granted := s.Grant(now.Add(c.after))
			if len(granted) != c.granted {
				t.Errorf("%d permits, expected %d", len(granted), c.granted)
			}
		})
	}
}

// TestCallsForTargetsThatLeftAreRefused guards against calls that wait for a target that is
// no longer there, and against a table that grows with every target.
func TestCallsForTargetsThatLeftAreRefused(t *testing.T) {
	s, _, now := fullShared(t)
	g := s.Acquire(sharedCall("a", 0), now)
	s.Retain(func(string) bool { return false }, now)
	if list := s.Grant(now); len(list) != 1 || list[0].Waiter != g.Waiter || list[0].Permit != 0 {
		t.Errorf("answers %+v", list)
	}
	if len(s.targets) != 0 || s.Held() != 0 || len(s.Pressed(now)) != 0 {
		t.Errorf("%d targets, %d permits", len(s.targets), s.Held())
	}
}

// TestNewHolderAdoptsOpenCalls guards against a new holder that fills a target beside the
// calls that its predecessor admitted.
func TestNewHolderAdoptsOpenCalls(t *testing.T) {
	s, numbers, now := fullShared(t)
	next := NewShared(1 << 40)
	targets := []string{"other", "t"}
	if n := next.Adopt("i", numbers, targets, now); n != sharedPermits {
		t.Errorf("%d permits adopted", n)
	}
	if n := next.Adopt("i", numbers, targets, now); n != 0 {
		t.Errorf("%d permits adopted again", n)
	}
	waiting := next.Acquire(sharedCall("a", 0), now)
	if waiting.Permit != 0 {
		t.Errorf("grant %+v beside the adopted calls", waiting)
	}
	next.Release(numbers[0], Ended, now)
	if list := next.Grant(now); len(list) != 1 || list[0].Waiter != waiting.Waiter {
		t.Errorf("answers %+v", list)
	}
	if next.Expire(now.Add(adoptPeriod + 1)); next.Held() != 0 {
		t.Errorf("%d permits after they expired", next.Held())
	}
	s.Release(numbers[0], Ended, now)
	if n := s.Adopt("i", numbers, targets, now); n != 0 {
		t.Errorf("%d ended permits of its own tenure adopted", n)
	}
}
