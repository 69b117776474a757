package adapters

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestAdapterOnItsWayIsNotEvicted guards against an unload of an adapter that is still being
// loaded: the engine takes it for done, and holds the adapter later.
func TestAdapterOnItsWayIsNotEvicted(t *testing.T) {
	cases := map[string]struct {
		after    time.Duration // since the load was accepted
		answered bool
		expected bool
	}{
		"its end is not known":          {800 * time.Millisecond, false, false},
		"long after its usual duration": {maxLoadFactor * 300 * time.Millisecond, false, true},
		"a call has run":                {800 * time.Millisecond, true, true},
	}
	for name, c := range cases {
		for kind, next := range map[string]Request{"another adapter": testRequest(2), "a new version": withVersion(testRequest(1), 2)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				p := newTestPlanner(1, 1)
				first, _ := p.Place(withVersion(testRequest(1), 1), start)
				acceptOrders(p, first.Orders, start)
				ended, _ := p.End(first.Ticket)
				if c.answered {
					p.RecordLoaded(ended.Target, ended.Key, start.Add(300*time.Millisecond))
				}
				if _, ok := p.Place(next, start.Add(c.after)); ok != c.expected {
					t.Errorf("placed: %t, expected %t", ok, c.expected)
				}
			})
		}
	}
}

func withVersion(r Request, n int) Request {
	r.Version = n
	return r
}

// TestAdapterInUseIsNotEvictedAfterARefusal guards against an unload of an adapter in use: the
// engine accepts no other order until its calls have ended.
func TestAdapterInUseIsNotEvictedAfterARefusal(t *testing.T) {
	p := newTestPlanner(1, 1)
	placeAndLoad(t, p, testRequest(1), start)
	refused, _ := p.Place(testRequest(1), start.Add(time.Second))
	ended, _ := p.End(refused.Ticket)
	p.RecordMissing(ended, start.Add(time.Second))
	now := start.Add(2 * time.Second)
	p.Sync(engineID(0), bamboorail.EngineState{Orders: 1, Models: map[string]map[string]int{"m": {"a1": 0}}}, now, now)
	if got, ok := p.Place(testRequest(2), now.Add(time.Second)); ok {
		t.Errorf("the adapter of an open call is evicted: %+v", got.Orders)
	}
}

// TestWaitingLoadsCountAsFetches guards against more fetches at the same time than permitted,
// once loads that waited for orders before them are ordered together.
func TestWaitingLoadsCountAsFetches(t *testing.T) {
	p := newTestPlanner(1, 21)
	var orders []bamboorail.AdapterOrder
	for n := range testTuning().FetchLimit {
		got, ok := p.Place(testRequest(n), start)
		if !ok {
			t.Fatalf("call %d was not placed", n)
		}
		orders = append(orders, got.Orders...)
	}
	now := start.Add(2 * time.Second)
	if _, ok := p.Place(testRequest(20), now); ok {
		t.Error("a load is started while all permitted ones wait for their orders")
	}
	acceptOrders(p, orders, now)
	if _, ok := p.Place(testRequest(20), now.Add(time.Second)); !ok {
		t.Error("no load is started after the others have ended")
	}
}

// TestCanceledLoadEvictsNothing guards against an adapter that is taken for evicted though the
// load that it was to leave for was not ordered.
func TestCanceledLoadEvictsNothing(t *testing.T) {
	p := newTestPlanner(1, 1)
	placed := placeAndLoad(t, p, testRequest(1), start)
	_, _ = p.End(placed.Ticket)
	now := start.Add(time.Second)
	got, ok := p.Place(testRequest(2), now)
	if !ok || len(got.Orders) != 2 || !got.Orders[0].Unload {
		t.Fatalf("nothing is evicted: %+v", got)
	}
	p.CancelLoad(got.Orders[0], now)
	if again, ok := p.Place(testRequest(1), now); !ok || len(again.Orders) != 0 {
		t.Errorf("the adapter is not used after the load was canceled: %+v, %t", again.Orders, ok)
	}
}
