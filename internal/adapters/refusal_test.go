package adapters

import (
	"fmt"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// newFetchingPlanner returns a planner whose fetches are all in use and for
// which waiting calls for different adapters are enqueued.
func newFetchingPlanner(t *testing.T, waiting int) *Planner {
	t.Helper()
	p := newTestPlanner(4, 32)
	for n := range testTuning().FetchLimit {
		placeLoading(t, p, testRequest(n))
	}
	for n := range waiting {
		r := testRequest(100 + n)
		if _, ok := p.Place(r, start); ok {
			t.Fatalf("%v was placed beyond the limit", r.Key)
		}
		if _, ok := p.Enqueue(r, start); !ok {
			t.Fatalf("call %d was refused", n)
		}
	}
	return p
}

// TestUnservableCallIsRefusedAtOnce checks that a call is refused if the fetches
// of the adapters ahead of its own take longer than its caller waits, that the
// retry time is the time until the queue has drained, and that a call that can
// be served waits.
func TestUnservableCallIsRefusedAtOnce(t *testing.T) {
	const waiting = 24 // eight rounds of three fetches
	drain := waiting / time.Duration(testTuning().FetchLimit) * testTuning().FetchTime
	cases := map[string]struct {
		startIn time.Duration
		waited  time.Duration
		waits   bool
	}{
		"early enough":                      {drain + 2*testTuning().FetchTime, 0, true},
		"late but served before it leaves":  {drain + 2*testTuning().FetchTime, 1500 * time.Millisecond, true},
		"late, its turn may come":           {drain / 2, 1500 * time.Millisecond, true},
		"on time, its turn comes too late":  {drain / 2, 0, false},
		"not even its own fetch is in time": {testTuning().FetchTime / 2, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newFetchingPlanner(t, waiting)
			r := withWaited(testRequest(99), c.waited)
			r.StartBy = start.Add(c.startIn)
			if _, ok := p.Place(r, start); ok {
				t.Fatal("placed beyond the limit")
			}
			wait := p.ExpectedWait(r, start)
			if _, ok := p.Enqueue(r, start); ok != c.waits {
				t.Errorf("waits %t, want %t; expected wait %v of %v", ok, c.waits, wait, c.startIn)
			}
			if c.waited > 0 && (wait < drain || wait > drain+2*testTuning().FetchTime) {
				t.Errorf("expected wait %v, want about %v", wait, drain)
			}
		})
	}
}

// TestNoPlaceBehindQueueBeyondCallersTime checks that a call is not sent to an
// engine whose queue outlasts the caller's patience, where it would end unrun.
func TestNoPlaceBehindQueueBeyondCallersTime(t *testing.T) {
	const slots = 12
	cases := map[string]struct {
		queued  int
		startIn time.Duration
		placed  bool
	}{
		"free slots":             {-2, time.Second, true},
		"short queue":            {2, time.Second, true},
		"queue of twice as long": {slots + 4, time.Second, false},
		"patient caller":         {slots + 4, 5 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 8)
			e := p.engines["e0"]
			e.entry.Slots = slots
			r := testRequest(0)
			placeAndLoad(t, p, r, start)
			e.running = slots + c.queued
			r.CallID, r.StartBy = "late", start.Add(c.startIn)
			if _, ok := p.Place(r, start); ok != c.placed {
				t.Errorf("placed %t behind %d calls, want %t", ok, e.running, c.placed)
			}
			if c.placed {
				return
			}
			if _, ok := p.Enqueue(r, start); ok {
				t.Error("the call waits although no engine has a slot in time")
			}
			if wait := p.ExpectedWait(r, start); wait < c.startIn || wait > 3*time.Second {
				t.Errorf("expected wait %v, want that for %d calls of %v in %d slots", wait, c.queued+1, p.callTime, slots)
			}
		})
	}
}

// TestInheritedCallsCountAsLoad checks that a new holder places calls on engines
// that its predecessor did not fill, and forgets the predecessor's calls as they
// end.
func TestInheritedCallsCountAsLoad(t *testing.T) {
	const engines, slots = 3, 12
	p := NewPlanner(testTuning(), 0)
	var entries []bamboorail.TargetEntry
	for n := range engines {
		entries = append(entries, bamboorail.TargetEntry{ID: engineID(n), Service: "s", Address: "a", Zone: "z", Slots: slots})
	}
	p.SetEngines(entries, func(string) int { return 8 }, start)
	r := testRequest(0)
	for n := range engines {
		state := bamboorail.EngineState{Models: map[string]map[string]int{"m": {r.Key.Adapter: 1}}}
		if n > 0 {
			state.Active, state.Queued = slots, 6
		}
		p.Sync(engineID(n), state, start, start)
	}
	for n := range slots {
		r.CallID = fmt.Sprint(n)
		got, ok := p.Place(r, start)
		if !ok || got.Target.ID != engineID(0) {
			t.Fatalf("call %d goes to %v, want the engine without calls", n, got.Target.ID)
		}
	}
	p.Expire(start, start.Add(10*testTuning().CallTime))
	r.CallID = "last"
	if got, ok := p.Place(r, start.Add(10*testTuning().CallTime)); !ok || got.Target.ID == engineID(0) {
		t.Errorf("after the predecessor's calls have ended, a call goes to %v", got.Target.ID)
	}
}
