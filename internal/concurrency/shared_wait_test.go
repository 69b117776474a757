package concurrency

import (
	"testing"
	"time"
)

var sharedStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fullTarget returns a Shared whose target t has no free permit, and these permits.
func fullTarget(t *testing.T) (*Shared, []uint64) {
	t.Helper()
	s, r := NewShared(0), SharedRequest{Target: "t", Slots: 6, Share: 1, Wait: time.Minute, Timeout: time.Minute}
	var permits []uint64
	for {
		g := s.Acquire(r, sharedStart)
		if g.Permit == 0 {
			s.Cancel("t", g.Waiter, sharedStart)
			return s, permits
		}
		permits = append(permits, g.Permit)
	}
}

// TestExpectedWaitIgnoresLessUrgentCalls guards against instances that refuse urgent calls by
// themselves because less urgent ones wait for the same target.
func TestExpectedWaitIgnoresLessUrgentCalls(t *testing.T) {
	s, permits := fullTarget(t)
	for range 100 {
		if g := s.Acquire(SharedRequest{Target: "t", Slots: 6, Share: 1, Priority: 2, Wait: time.Minute, Timeout: time.Minute}, sharedStart); g.Waiter == 0 {
			t.Fatal("a call does not wait")
		}
	}
	urgent := s.Acquire(SharedRequest{Target: "t", Slots: 6, Share: 1, Wait: time.Minute, Timeout: time.Minute}, sharedStart)
	now := sharedStart.Add(10 * time.Millisecond)
	s.Release(permits[0], Ended, now)
	list := s.Grant(now)
	if len(list) != 1 || list[0].Waiter != urgent.Waiter || list[0].Permit == 0 {
		t.Fatalf("granted %v, expected a permit for the urgent call %d", list, urgent.Waiter)
	}
	if got := list[0].Expected; got > 50*time.Millisecond {
		t.Errorf("the next urgent call is told to expect a wait of %v although none is before it", got)
	}
}

// TestCancelledCallsDontDelayTheirWorkspace guards against a workspace that is served after all
// others because calls of it were given up while they waited.
func TestCancelledCallsDontDelayTheirWorkspace(t *testing.T) {
	s, permits := fullTarget(t)
	ask := func(workspace string) uint64 {
		g := s.Acquire(SharedRequest{Target: "t", Slots: 6, Share: 1, Workspace: workspace, Wait: time.Minute, Timeout: time.Minute}, sharedStart)
		if g.Waiter == 0 {
			t.Fatalf("a call of %q does not wait", workspace)
		}
		return g.Waiter
	}
	var given []uint64
	for range 40 {
		given = append(given, ask("a"))
	}
	for _, number := range given {
		s.Cancel("t", number, sharedStart)
	}
	workspaces := map[uint64]string{}
	for range 4 {
		workspaces[ask("b")] = "b"
	}
	for range 4 {
		workspaces[ask("a")] = "a"
	}
	served := map[string]int{}
	for n := range 4 {
		s.Release(permits[n], Ended, sharedStart)
		for _, g := range s.Grant(sharedStart) {
			served[workspaces[g.Waiter]]++
		}
	}
	if served["a"] != 2 || served["b"] != 2 {
		t.Errorf("served %v of the first four calls, expected two of each workspace", served)
	}
}

// TestExpectedWaitIsThatOfTheWorkspace guards against instances that refuse calls of a
// workspace by themselves because another one has many calls waiting.
func TestExpectedWaitIsThatOfTheWorkspace(t *testing.T) {
	s, permits := fullTarget(t)
	for range 100 {
		if g := s.Acquire(SharedRequest{Target: "t", Slots: 6, Share: 1, Workspace: "a", Wait: time.Minute, Timeout: time.Minute}, sharedStart); g.Waiter == 0 {
			t.Fatal("a call does not wait")
		}
	}
	r := SharedRequest{Target: "t", Slots: 6, Share: 1, Workspace: "b", Wait: 250 * time.Millisecond, Timeout: time.Minute}
	other := s.Acquire(r, sharedStart)
	if other.Waiter == 0 {
		t.Fatal("the call of the other workspace does not wait")
	}
	// A call of each workspace is served.
	s.Release(permits[0], Ended, sharedStart)
	s.Release(permits[1], Ended, sharedStart)
	for _, g := range s.Grant(sharedStart) {
		if g.Waiter == other.Waiter && g.Expected > r.Wait {
			t.Errorf("the next call of the workspace is told to expect a wait of %v, beyond its %v", g.Expected, r.Wait)
		}
	}
	if next := s.Acquire(r, sharedStart); next.Waiter == 0 {
		t.Error("the next call of the workspace is refused")
	}
}
