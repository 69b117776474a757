package adapters

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestCallReturnsToEngineWithLateLoad checks that a call that was refused
// because its adapter's load is late returns to the engine that loads it.
func TestCallReturnsToEngineWithLateLoad(t *testing.T) {
	p := newTestPlanner(3, 21)
	first, _ := p.Place(testRequest(1), start)
	acceptOrders(p, first.Orders, start)
	now := first.ReadyAt.Add(5 * time.Millisecond)
	ended, _ := p.End(first.Ticket)
	p.RecordMissing(ended, now)
	again, ok := p.Place(testRequest(1), now)
	if !ok || again.Target.ID != first.Target.ID || !again.ReadyAt.After(now) {
		t.Errorf("second placement %+v, %t", again, ok)
	}
}

// TestUnconfirmedAdapterIsFetched checks that an engine has an adapter cached
// only after it has held it, not after it was ordered to load it. A call that
// is refused because of a wrong estimate waits for the fetch. If it were
// retried every few milliseconds, refusals would use up its attempts.
func TestUnconfirmedAdapterIsFetched(t *testing.T) {
	cases := map[string]struct {
		lose    func(p *Planner, first Placement)
		refused int
	}{
		"load not accepted": {func(p *Planner, first Placement) {
			p.End(first.Ticket)
			p.CancelLoad(first.Orders[0], start)
		}, 0},
		"dropped by the engine unnoticed": {func(p *Planner, first Placement) {
			acceptOrders(p, first.Orders, start)
			p.End(first.Ticket)
			p.RecordLoaded(first.Target.ID, testRequest(1).Key, start)
			p.Sync(first.Target.ID, bamboorail.EngineState{Orders: 1, Models: map[string]map[string]int{"m": {}}}, start.Add(time.Second), start.Add(time.Second))
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 21)
			first, _ := p.Place(testRequest(1), start)
			c.lose(p, first)
			now := start.Add(2 * time.Second)
			loaded := now.Add(p.fetchTime())
			for refused := 0; ; refused++ {
				got, ok := p.Place(testRequest(1), now)
				if !ok {
					t.Fatal("the call was not placed")
				}
				acceptOrders(p, got.Orders, now)
				now = latest(now, got.ReadyAt)
				if !now.Before(loaded) {
					break
				}
				if refused == c.refused {
					t.Fatalf("the call is refused %d times before the adapter is loaded", refused+1)
				}
				ended, _ := p.End(got.Ticket)
				p.RecordMissing(ended, now)
			}
		})
	}
}

// TestDelayedRefusalDoesNotExtendLoad checks that a refusal that another
// instance reports up to 300 ms late does not extend a load that has ended in
// the meantime.
func TestDelayedRefusalDoesNotExtendLoad(t *testing.T) {
	const took, reportLag = 260 * time.Millisecond, 300 * time.Millisecond
	p := newTestPlanner(3, 21)
	first, _ := p.Place(testRequest(1), start)
	acceptOrders(p, first.Orders, start)
	second, _ := p.Place(testRequest(1), start.Add(10*time.Millisecond))
	now := start.Add(took)
	for _, early := range []Placement{first, second} {
		// Both were sent a few milliseconds before the load ended.
		ended, _ := p.End(early.Ticket)
		p.RecordMissing(ended, now.Add(reportLag))
	}
	got, ok := p.Place(testRequest(1), now.Add(reportLag))
	if !ok || got.ReadyAt.After(now.Add(reportLag)) {
		t.Errorf("the adapter is expected at %v, but is loaded since %v", got.ReadyAt.Sub(start), took)
	}
	p.End(got.Ticket)
	p.RecordLoaded(got.Target.ID, testRequest(1).Key, now.Add(reportLag))
	if p.fetchTime() > took+p.reloadTime() {
		t.Errorf("loads of %v are expected to take %v", took, p.fetchTime())
	}
}

// TestExpectedFetchTime checks that the expected fetch time follows most
// fetches and ignores the few from engines that were unresponsive for a while.
func TestExpectedFetchTime(t *testing.T) {
	const usual, silent, fetches = 290 * time.Millisecond, 900 * time.Millisecond, 400
	cases := map[string]struct {
		silentInterval int // one in this many fetches
		took           time.Duration
	}{
		"all equal":                 {fetches + 1, usual},
		"one in fifty unresponsive": {50, usual},
		"all slow":                  {fetches + 1, 2 * usual},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(4, 400)
			now := start
			for n := range fetches {
				took := c.took
				if n%c.silentInterval == c.silentInterval-1 {
					took = silent
				}
				fetchFor(p, testRequest(n), now, took)
				now = now.Add(2 * time.Second)
			}
			if p.fetchTime() < c.took*8/10 || p.fetchTime() > c.took*12/10 {
				t.Errorf("fetches of %v are expected to take %v", c.took, p.fetchTime())
			}
		})
	}
}

// fetchFor retries a call until its adapter is loaded and the call runs.
func fetchFor(p *Planner, r Request, now time.Time, took time.Duration) {
	loaded := now.Add(took)
	for {
		got, ok := p.Place(r, now)
		if !ok {
			return
		}
		acceptOrders(p, got.Orders, now)
		now = latest(now, got.ReadyAt)
		ended, _ := p.End(got.Ticket)
		if !now.Before(loaded) {
			p.RecordLoaded(ended.Target, ended.Key, now)
			return
		}
		p.RecordMissing(ended, now)
	}
}

// TestNewVersionLoadsInBackground checks that calls use the previous version
// until the new one is loaded, and the new one from then on.
func TestNewVersionLoadsInBackground(t *testing.T) {
	p := newTestPlanner(2, 21)
	r := testRequest(1)
	r.Version = 1
	old := placeAndLoad(t, p, r, start)
	released := start.Add(time.Second)
	r.Version, r.Releases = 2, bamboorail.ReleaseHistory{{Version: 2, LearnedAt: released}}
	got, ok := p.Place(r, released)
	if !ok || got.Version != 1 || got.Target.ID != old.Target.ID {
		t.Fatalf("after the release: %+v, %t", got, ok)
	}
	if len(got.Background) != 1 || got.Background[0].Version != 2 || got.Background[0].Target == old.Target.ID {
		t.Fatalf("background orders %+v", got.Background)
	}
	acceptOrders(p, got.Background, released)
	if got, _ = p.Place(r, released.Add(time.Second)); got.Version != 2 {
		t.Errorf("version %d is used after the new version was loaded", got.Version)
	}
}

// TestCallsAreNotSentForLoadsThatWait guards against calls that are sent to an engine for a load
// that it was not ordered yet, and are refused (incident archive-grown-overfull-engines).
func TestCallsAreNotSentForLoadsThatWait(t *testing.T) {
	const wait = 700 * time.Millisecond // of the order, longer than a load
	p, now, r := newTestPlanner(2, 21), start, withVersion(testRequest(1), 1)
	first := placeAndLoad(t, p, r, now)
	now = now.Add(time.Second)
	r.Version, r.Releases = 2, bamboorail.ReleaseHistory{{Version: 2, LearnedAt: now}}
	planned, ok := p.Place(r, now)
	if !ok || len(planned.Background) == 0 {
		t.Fatalf("nothing is loaded in the background: %+v", planned)
	}
	now = now.Add(wait)
	if got, ok := p.Place(r, now); !ok || got.Target.ID != first.Target.ID || got.Version != 1 {
		t.Errorf("placed on %s, version %d, before the load was ordered", got.Target.ID.Name, got.Version)
	}
	acceptOrders(p, planned.Background, now)
	now = now.Add(wait)
	if got, ok := p.Place(r, now); !ok || got.Version != 2 {
		t.Errorf("version %d is used after the load", got.Version)
	}
}

// TestOldVersionIsNotQueued guards against calls that begin in the queue of an engine on a version that has
// expired meanwhile (incident archive-queued-version).
func TestOldVersionIsNotQueued(t *testing.T) {
	for name, running := range map[string]int{"a free slot": 63, "all slots taken": 64} {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 1)
			r := testRequest(1)
			r.Version = 1
			placeAndLoad(t, p, r, start)
			for range running - 1 {
				if _, ok := p.Place(r, start); !ok {
					t.Fatal("a call on the newest version was refused")
				}
			}
			released := start.Add(time.Second)
			r.Version, r.Releases = 2, bamboorail.ReleaseHistory{{Version: 2, LearnedAt: released}}
			if got, ok := p.Place(r, released); ok != (running < 64) {
				t.Errorf("placed %t on version %d", ok, got.Version)
			}
		})
	}
}

func TestOldVersionExpires(t *testing.T) {
	p := newTestPlanner(1, 1)
	r := testRequest(1)
	r.Version = 1
	if got := placeAndLoad(t, p, r, start); got.Version != 1 {
		t.Fatalf("version %d", got.Version)
	}
	// The only engine uses the old version, so that it cannot be replaced.
	released := start.Add(time.Second)
	r.Version, r.Releases = 2, bamboorail.ReleaseHistory{{Version: 2, LearnedAt: released}}
	if got, ok := p.Place(r, released.Add(testTuning().OldVersionGrace)); ok {
		t.Errorf("placed on %+v", got)
	}
}
