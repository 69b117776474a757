package adapters

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboorail.example/bamboorail"
)

var start = time.Unix(1000, 0)

func testTuning() Tuning {
	return Tuning{
		FetchTime: 250 * time.Millisecond, ReloadShare: 0.12, FetchLimit: 3, ReplicaDemand: 8,
		MaxLoadsPerEngine: 4, CallCost: 3 * time.Millisecond, CallTime: 1400 * time.Millisecond, RankCost: 15 * time.Millisecond, MinIdleTime: 500 * time.Millisecond,
		CachedAdapters: 126, OldVersionGrace: 2500 * time.Millisecond, SuspectPeriod: time.Second, DemandHalfLife: 20 * time.Second,
	}
}

func engineID(n int) bamboorail.TargetID {
	return bamboorail.TargetID{Name: fmt.Sprintf("e%d", n), StartMillis: 1}
}

// newTestPlanner returns a planner of synced engines that hold the base model.
func newTestPlanner(engines, slots int) *Planner {
	p := NewPlanner(testTuning(), 0)
	var entries []bamboorail.TargetEntry
	for n := range engines {
		entries = append(entries, bamboorail.TargetEntry{ID: engineID(n), Service: "s", Address: "a", Zone: "z", Slots: 64})
	}
	p.SetEngines(entries, func(string) int { return slots }, start)
	for n := range engines {
		p.Sync(engineID(n), bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start, start)
	}
	return p
}

func testRequest(n int) Request {
	key := bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
	return Request{Key: key, Service: "s", CallID: fmt.Sprintf("c%d", n), Objective: time.Second}
}

// placeAndLoad places a call and records that it ran.
func placeAndLoad(t *testing.T, p *Planner, r Request, now time.Time) Placement {
	t.Helper()
	got, ok := p.Place(r, now)
	if !ok {
		t.Fatalf("%v was not placed", r.Key)
	}
	acceptOrders(p, got.Orders, now)
	p.RecordLoaded(got.Target.ID, r.Key, now)
	return got
}

func acceptOrders(p *Planner, orders []bamboorail.AdapterOrder, now time.Time) {
	for _, o := range orders {
		o.Orders, _ = p.OrderNumber(o.Target)
		p.RecordOrder(o, now)
	}
}

// TestAdapterSlotsAreNotExceeded checks that after any sequence of placements
// and ends, the adapters that an engine was ordered to load fit its slots, no
// adapter in use is unloaded, and the number of active fetches stays within the
// limit of the zone.
func TestAdapterSlotsAreNotExceeded(t *testing.T) {
	const engines, slots = 3, 4
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPlanner(engines, slots)
		held := map[bamboorail.TargetID]map[bamboorail.AdapterKey]bool{}
		running := map[bamboorail.TargetID]map[bamboorail.AdapterKey]int{}
		for n := range engines {
			held[engineID(n)], running[engineID(n)] = map[bamboorail.AdapterKey]bool{}, map[bamboorail.AdapterKey]int{}
		}
		type openCall struct {
			id     bamboorail.TargetID
			key    bamboorail.AdapterKey
			ticket uint64
		}
		var calls []openCall
		now := start
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if len(calls) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(calls)-1).Draw(t, "call")
				c := calls[i]
				calls = append(calls[:i], calls[i+1:]...)
				running[c.id][c.key]--
				p.End(c.ticket)
				p.RecordLoaded(c.id, c.key, now)
				continue
			}
			r := testRequest(rapid.IntRange(0, 20).Draw(t, "adapter"))
			got, ok := p.Place(r, now)
			if !ok {
				continue
			}
			for _, o := range got.Orders {
				if !o.Unload {
					held[o.Target][o.Key] = true
					continue
				}
				if running[o.Target][o.Key] > 0 {
					t.Fatalf("%v is unloaded while in use", o.Key)
				}
				delete(held[o.Target], o.Key)
			}
			acceptOrders(p, got.Orders, now)
			id := got.Target.ID
			if len(held[id]) > slots {
				t.Fatalf("%d adapters are ordered on %v", len(held[id]), id)
			}
			if !held[id][r.Key] {
				t.Fatalf("a call for %v goes to %v, which was not ordered to load it", r.Key, id)
			}
			if n := p.activeFetches(now); n > testTuning().FetchLimit {
				t.Fatalf("%d concurrent fetches", n)
			}
			running[id][r.Key]++
			calls = append(calls, openCall{id, r.Key, got.Ticket})
		}
	})
}

func TestCallsShareLoadedAdapter(t *testing.T) {
	p := newTestPlanner(4, 21)
	first := placeAndLoad(t, p, testRequest(1), start)
	second := placeAndLoad(t, p, testRequest(1), start.Add(10*time.Millisecond))
	if second.Target.ID != first.Target.ID || len(second.Orders) != 0 {
		t.Errorf("second call: %+v", second)
	}
	if !second.ReadyAt.Equal(first.ReadyAt) {
		t.Errorf("ready at %v and %v", first.ReadyAt, second.ReadyAt)
	}
}

// TestHotAdapterIsLoadedOnSeveralEngines checks that a burst of calls for one
// adapter spreads over several engines.
func TestHotAdapterIsLoadedOnSeveralEngines(t *testing.T) {
	p := newTestPlanner(3, 21)
	seen := map[string]int{}
	for n := range 150 {
		got := placeAndLoad(t, p, testRequest(1), start.Add(time.Duration(n)*20*time.Millisecond))
		seen[got.Target.ID.Name]++
	}
	if len(seen) != 3 {
		t.Errorf("calls by engine: %v", seen)
	}
	for name, n := range seen {
		if n > 64 {
			t.Errorf("%s got %d calls for 64 slots", name, n)
		}
	}
}

func TestLoadPolicies(t *testing.T) {
	cases := map[string]struct {
		policy LoadPolicy
		demand int
		cached bool
		want   bool
	}{
		"any":                      {LoadAny, 0, false, true},
		"never, high demand":       {LoadNever, 20, true, false},
		"if demanded, low demand":  {LoadIfDemanded, 1, false, false},
		"if demanded, high demand": {LoadIfDemanded, 9, false, true},
		"if demanded, cached":      {LoadIfDemanded, 0, true, true},
		"never, cached":            {LoadNever, 0, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 21)
			r := testRequest(1)
			for range c.demand {
				p.recordDemand(r.Key, start)
			}
			if c.cached {
				p.engines["e0"].cached[r.Key] = start
			}
			r.Loads = c.policy
			if _, ok := p.Place(r, start); ok != c.want {
				t.Errorf("placed %t, want %t", ok, c.want)
			}
		})
	}
}

// TestFetchPriority checks that of the waiting adapters the one that serves the
// most calls on time is fetched first, and that late calls are not starved.
func TestFetchPriority(t *testing.T) {
	cases := map[string]struct {
		waiting []Request // in the order of the requests
		first   string
	}{
		"more calls":        {[]Request{testRequest(10), testRequest(11), {Key: testRequest(11).Key, Service: "s", CallID: "x", Objective: time.Second}}, "a11"},
		"more urgent":       {[]Request{withPriority(testRequest(10), 2), withPriority(testRequest(11), 0)}, "a11"},
		"can be on time":    {[]Request{withWaited(testRequest(10), 1500*time.Millisecond), testRequest(11)}, "a11"},
		"late for too long": {[]Request{testRequest(10), withWaited(testRequest(11), 8*time.Second)}, "a11"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 21)
			for n := range testTuning().FetchLimit {
				placeLoading(t, p, testRequest(n))
			}
			for _, r := range c.waiting {
				if _, ok := p.Place(r, start); ok {
					t.Fatalf("%v was placed beyond the limit", r.Key)
				}
			}
			p.engines["e0"].adapters[testRequest(0).Key].readyAt = start
			for _, r := range c.waiting {
				got, ok := p.Place(r, start.Add(time.Millisecond))
				if ok && r.Key.Adapter != c.first {
					t.Errorf("%v was fetched first: %+v", r.Key, got)
				}
				if ok {
					return
				}
			}
			t.Error("no call was placed")
		})
	}
}

func withPriority(r Request, n int) Request {
	r.Priority = n
	return r
}

func withWaited(r Request, d time.Duration) Request {
	r.Waited = d
	return r
}

func placeLoading(t *testing.T, p *Planner, r Request) {
	t.Helper()
	got, ok := p.Place(r, start)
	if !ok {
		t.Fatalf("%v was not placed", r.Key)
	}
	acceptOrders(p, got.Orders, start)
}

// TestUnsyncedEngineReceivesNoOrders checks that an unsynced engine receives no
// orders but still serves the adapters that it holds.
func TestUnsyncedEngineReceivesNoOrders(t *testing.T) {
	p := newTestPlanner(1, 21)
	placeAndLoad(t, p, testRequest(1), start)
	p.Desync(engineID(0), start)
	if _, ok := p.Place(testRequest(2), start); ok {
		t.Error("a load was ordered on an unsynced engine")
	}
	if _, ok := p.Place(testRequest(1), start.Add(time.Second)); !ok {
		t.Error("an unsynced engine does not serve a loaded adapter")
	}
	if list := p.Unsynced(); len(list) != 1 {
		t.Errorf("unsynced engines %v", list)
	}
}

// TestStaleReportIsIgnored checks that a report made before an accepted order
// does not count as evidence about that order.
func TestStaleReportIsIgnored(t *testing.T) {
	p := newTestPlanner(1, 21)
	placeLoading(t, p, testRequest(1))
	p.Desync(engineID(0), start)
	p.Sync(engineID(0), bamboorail.EngineState{Orders: 0, Models: map[string]map[string]int{"m": {}}}, start.Add(50*time.Millisecond), start.Add(50*time.Millisecond))
	if _, synced := p.OrderNumber(engineID(0)); synced {
		t.Error("a report without the accepted order was applied")
	}
	p.Sync(engineID(0), bamboorail.EngineState{Orders: 1, Models: map[string]map[string]int{"m": {"a1": 1}}}, start.Add(time.Second), start.Add(time.Second))
	if n, synced := p.OrderNumber(engineID(0)); n != 1 || !synced {
		t.Errorf("orders %d, synced %t", n, synced)
	}
}

// TestReportHandledLateKeepsLoads guards against a slot that is counted free twice: a
// holder short of processor time applies a report long after it was made, and takes a
// load that began about then for one that failed.
func TestReportHandledLateKeepsLoads(t *testing.T) {
	cases := map[string]struct {
		asked, handled time.Duration // after the load was accepted
		free           bool          // the slot of the load
	}{
		"handled at once":            {100 * time.Millisecond, 110 * time.Millisecond, false},
		"handled late":               {100 * time.Millisecond, 900 * time.Millisecond, false},
		"asked long after the load":  {2 * maxReportLag, 2 * maxReportLag, true},
		"and handled late":           {2 * maxReportLag, 4 * maxReportLag, true},
		"asked for before the order": {-50 * time.Millisecond, 900 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 1)
			placeLoading(t, p, testRequest(1))
			p.Desync(engineID(0), start)
			p.Sync(engineID(0), bamboorail.EngineState{Orders: 1, Models: map[string]map[string]int{"m": {}}}, start.Add(c.asked), start.Add(c.handled))
			other := bamboorail.AdapterOrder{Target: engineID(0), Key: testRequest(2).Key}
			if _, check := p.CheckOrder(other, start.Add(c.handled)); (check == OrderFits) != c.free {
				t.Errorf("check of the next load: %v, expected a free slot: %t", check, c.free)
			}
		})
	}
}

// TestRestartedEngineIsReset checks that an engine that restarts under its name
// holds no adapters and has accepted no orders.
func TestRestartedEngineIsReset(t *testing.T) {
	p := newTestPlanner(1, 21)
	placeAndLoad(t, p, testRequest(1), start)
	entry := p.engines["e0"].entry
	entry.ID.StartMillis = 2
	p.SetEngines([]bamboorail.TargetEntry{entry}, func(string) int { return 21 }, start)
	if _, ok := p.Place(testRequest(1), start); ok {
		t.Error("a call was placed on an engine whose state was not read")
	}
	p.Sync(engineID(0), bamboorail.EngineState{Models: map[string]map[string]int{"m": {"a1": 1}}}, start, start)
	if len(p.Unsynced()) != 1 {
		t.Error("a report of the former start was applied to the new one")
	}
}

// TestEngineWithoutModelIsAvoided checks that an engine that refused a call for
// lack of its base model gets no more calls until its state is read. An engine
// that restarted unnoticed runs nothing and would otherwise be the cheapest for
// each call to the base model.
func TestEngineWithoutModelIsAvoided(t *testing.T) {
	p := newTestPlanner(2, 21)
	r := Request{Key: bamboorail.AdapterKey{Model: "m"}, Service: "s", CallID: "c"}
	first, _ := p.Place(r, start)
	ended, _ := p.End(first.Ticket)
	p.RecordMissing(ended, start)
	again, ok := p.Place(r, start)
	if !ok || again.Target.ID == first.Target.ID {
		t.Errorf("placed at %v after %v refused it, %t", again.Target.ID, first.Target.ID, ok)
	}
	p.Sync(first.Target.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start.Add(time.Second), start.Add(time.Second))
	for range 2 {
		if again, _ = p.Place(r, start.Add(time.Second)); again.Target.ID == first.Target.ID {
			return
		}
	}
	t.Errorf("%v gets no calls after its state was read", first.Target.ID)
}

func TestHomeZoneDistribution(t *testing.T) {
	zones := []string{"a", "b", "c"}
	counts := map[string]int{}
	for n := range 3000 {
		home := HomeZone(zones, testRequest(n).Key)
		counts[home]++
		if home == "c" {
			continue
		}
		if got := HomeZone([]string{"b", "a"}, testRequest(n).Key); got != home {
			t.Fatalf("adapter %d moved from %s to %s when zone c left", n, home, got)
		}
	}
	for zone, n := range counts {
		if n < 850 || n > 1150 {
			t.Errorf("zone %s is the home of %d adapters", zone, n)
		}
	}
}

// BenchmarkPlace places calls in a zone of the design size: 127 engines with 8
// adapter slots, with half of the calls for adapters that have to be loaded.
func BenchmarkPlace(b *testing.B) {
	p := newTestPlanner(127, 8)
	now := start
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		adapter := n % 500
		if n%2 == 1 {
			adapter = n
		}
		got, ok := p.Place(testRequest(adapter), now)
		if !ok {
			continue
		}
		acceptOrders(p, got.Orders, now)
		p.RecordLoaded(got.Target.ID, testRequest(adapter).Key, now)
		p.End(got.Ticket)
		if n%1000 == 0 {
			p.Expire(now.Add(-time.Minute), now)
		}
	}
}
