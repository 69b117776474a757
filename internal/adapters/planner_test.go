package adapters

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboorail.example/bamboorail"
)

var start = time.Unix(1000, 0)

func tuning() Tuning {
	return Tuning{
		FetchTime: 250 * time.Millisecond, ReloadTime: 30 * time.Millisecond, MinFetchLimit: 3, ReplicaDemand: 8,
		MaxLoadsPerEngine: 4, CallCost: 3 * time.Millisecond, CallTime: 1400 * time.Millisecond, RankCost: 15 * time.Millisecond, MinIdleTime: 500 * time.Millisecond,
		CachedAdapters: 126, OldVersionGrace: 2500 * time.Millisecond, SuspectPeriod: time.Second, DemandHalfLife: 20 * time.Second,
	}
}

func engineID(n int) bamboorail.TargetID {
	return bamboorail.TargetID{Name: fmt.Sprintf("e%d", n), StartMillis: 1}
}

// planner returns a planner of synced engines that hold the base model.
func planner(engines, slots int) *Planner {
	p := NewPlanner(tuning(), 0)
	var entries []bamboorail.TargetEntry
	for n := range engines {
		entries = append(entries, bamboorail.TargetEntry{ID: engineID(n), Service: "s", Address: "a", Zone: "z", Slots: 64})
	}
	p.SetEngines(entries, func(string) int { return slots }, start)
	for n := range engines {
		p.Sync(engineID(n), bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start)
	}
	return p
}

func ask(n int) Request {
	key := bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
	return Request{Key: key, Service: "s", CallID: fmt.Sprintf("c%d", n), Objective: time.Second}
}

// serve places a call and takes in that it ran.
func serve(t *testing.T, p *Planner, r Request, now time.Time) Placement {
	t.Helper()
	got, ok := p.Place(r, now)
	if !ok {
		t.Fatalf("no place for %v", r.Key)
	}
	accept(p, got.Orders, now)
	p.Arrived(got.Target.ID, r.Key, now)
	return got
}

func accept(p *Planner, orders []bamboorail.AdapterOrder, now time.Time) {
	for _, o := range orders {
		o.Orders, _ = p.OrderNumber(o.Target)
		p.Ordered(o, now)
	}
}

// TestEnginesNeverHoldMoreThanTheirSlots: whatever is placed, ended, late or
// failed, the adapters that an engine was ordered to load fit its slots, one
// that serves is never unloaded, and at most the zone's share is fetched.
func TestEnginesNeverHoldMoreThanTheirSlots(t *testing.T) {
	const engines, slots = 3, 4
	rapid.Check(t, func(t *rapid.T) {
		p := planner(engines, slots)
		held := map[bamboorail.TargetID]map[bamboorail.AdapterKey]bool{}
		running := map[bamboorail.TargetID]map[bamboorail.AdapterKey]int{}
		for n := range engines {
			held[engineID(n)], running[engineID(n)] = map[bamboorail.AdapterKey]bool{}, map[bamboorail.AdapterKey]int{}
		}
		type open struct {
			id     bamboorail.TargetID
			key    bamboorail.AdapterKey
			ticket uint64
		}
		var calls []open
		now := start
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if len(calls) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(calls)-1).Draw(t, "call")
				c := calls[i]
				calls = append(calls[:i], calls[i+1:]...)
				running[c.id][c.key]--
				p.End(c.ticket)
				p.Arrived(c.id, c.key, now)
				continue
			}
			r := ask(rapid.IntRange(0, 20).Draw(t, "adapter"))
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
					t.Fatalf("%v is unloaded while it serves", o.Key)
				}
				delete(held[o.Target], o.Key)
			}
			accept(p, got.Orders, now)
			id := got.Target.ID
			if len(held[id]) > slots {
				t.Fatalf("%d adapters ordered to %v", len(held[id]), id)
			}
			if !held[id][r.Key] {
				t.Fatalf("a call for %v goes to %v, which was not ordered to load it", r.Key, id)
			}
			if n := p.fetching(now); n > tuning().MinFetchLimit {
				t.Fatalf("%d fetches at once", n)
			}
			running[id][r.Key]++
			calls = append(calls, open{id, r.Key, got.Ticket})
		}
	})
}

func TestCallsMeetAtTheAdaptersEngine(t *testing.T) {
	p := planner(4, 21)
	first := serve(t, p, ask(1), start)
	second := serve(t, p, ask(1), start.Add(10*time.Millisecond))
	if second.Target.ID != first.Target.ID || len(second.Orders) != 0 {
		t.Errorf("second call: %+v", second)
	}
	if !second.ReadyAt.Equal(first.ReadyAt) {
		t.Errorf("ready at %v and %v", first.ReadyAt, second.ReadyAt)
	}
}

// TestAHotAdapterSpreads: a burst for one adapter ends on several engines.
func TestAHotAdapterSpreads(t *testing.T) {
	p := planner(3, 21)
	seen := map[string]int{}
	for n := range 150 {
		got := serve(t, p, ask(1), start.Add(time.Duration(n)*20*time.Millisecond))
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

func TestLoadRules(t *testing.T) {
	cases := map[string]struct {
		rule   LoadRule
		demand int
		atHand bool
		want   bool
	}{
		"freely":                      {LoadFreely, 0, false, true},
		"never":                       {LoadNever, 20, true, false},
		"if wanted, not wanted":       {LoadIfWanted, 1, false, false},
		"if wanted, asked for often":  {LoadIfWanted, 9, false, true},
		"if wanted, held before":      {LoadIfWanted, 0, true, true},
		"never, though it is at hand": {LoadNever, 0, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := planner(1, 21)
			r := ask(1)
			for range c.demand {
				p.count(r.Key, start)
			}
			if c.atHand {
				p.engines["e0"].atHand[r.Key] = start
			}
			r.Loads = c.rule
			if _, ok := p.Place(r, start); ok != c.want {
				t.Errorf("placed %t, want %t", ok, c.want)
			}
		})
	}
}

// TestANewVersionLoadsBesideTheOld: calls use the previous version until the
// new one is loaded, and never after the time in which it must be in use.
func TestANewVersionLoadsBesideTheOld(t *testing.T) {
	p := planner(2, 21)
	r := ask(1)
	r.Version = 1
	old := serve(t, p, r, start)
	released := start.Add(time.Second)
	r.Version, r.Releases = 2, bamboorail.ReleaseHistory{{Version: 2, LearnedAt: released}}
	got, ok := p.Place(r, released)
	if !ok || got.Version != 1 || got.Target.ID != old.Target.ID {
		t.Fatalf("after the release: %+v, %t", got, ok)
	}
	if len(got.Background) != 1 || got.Background[0].Version != 2 || got.Background[0].Target == old.Target.ID {
		t.Fatalf("background orders %+v", got.Background)
	}
	accept(p, got.Background, released)
	if got, _ = p.Place(r, released.Add(time.Second)); got.Version != 2 {
		t.Errorf("version %d is used after the new one was loaded", got.Version)
	}
}

func TestAnOldVersionIsNotUsedForLong(t *testing.T) {
	p := planner(1, 1)
	r := ask(1)
	r.Version = 1
	if got := serve(t, p, r, start); got.Version != 1 {
		t.Fatalf("version %d", got.Version)
	}
	// The only engine serves the old version, so that it cannot be replaced.
	released := start.Add(time.Second)
	r.Version, r.Releases = 2, bamboorail.ReleaseHistory{{Version: 2, LearnedAt: released}}
	if got, ok := p.Place(r, released.Add(tuning().OldVersionGrace)); ok {
		t.Errorf("placed on %+v", got)
	}
}

// TestAScarceFetchGoesToMostCallers: of the adapters that wait, the one that
// serves most calls on time comes first, and late calls are not forgotten.
func TestAScarceFetchGoesToMostCallers(t *testing.T) {
	cases := map[string]struct {
		waiting []Request // in the order in which they ask
		first   string
	}{
		"more callers":      {[]Request{ask(10), ask(11), {Key: ask(11).Key, Service: "s", CallID: "x", Objective: time.Second}}, "a11"},
		"more urgent":       {[]Request{withPriority(ask(10), 2), withPriority(ask(11), 0)}, "a11"},
		"can be on time":    {[]Request{waited(ask(10), 1500*time.Millisecond), ask(11)}, "a11"},
		"late for too long": {[]Request{ask(10), waited(ask(11), 8*time.Second)}, "a11"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := planner(1, 21)
			for n := range tuning().MinFetchLimit {
				serveLoading(t, p, ask(n))
			}
			for _, r := range c.waiting {
				if _, ok := p.Place(r, start); ok {
					t.Fatalf("%v was placed beyond the limit", r.Key)
				}
			}
			// One fetch ends.
			p.engines["e0"].adapters[ask(0).Key].readyAt = start
			for _, r := range c.waiting {
				got, ok := p.Place(r, start.Add(time.Millisecond))
				if ok && r.Key.Adapter != c.first {
					t.Errorf("%v came first: %+v", r.Key, got)
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

func waited(r Request, d time.Duration) Request {
	r.Waited = d
	return r
}

func serveLoading(t *testing.T, p *Planner, r Request) {
	t.Helper()
	got, ok := p.Place(r, start)
	if !ok {
		t.Fatalf("no place for %v", r.Key)
	}
	accept(p, got.Orders, start)
}

// TestAnEngineInDoubtIsNotOrdered: it serves what it holds meanwhile.
func TestAnEngineInDoubtIsNotOrdered(t *testing.T) {
	p := planner(1, 21)
	serve(t, p, ask(1), start)
	p.Desync(engineID(0), start)
	if _, ok := p.Place(ask(2), start); ok {
		t.Error("a load was ordered at an engine in doubt")
	}
	if _, ok := p.Place(ask(1), start.Add(time.Second)); !ok {
		t.Error("an engine in doubt does not serve what it holds")
	}
	if list := p.Unsynced(); len(list) != 1 {
		t.Errorf("unsynced engines %v", list)
	}
}

// TestReportsThatLag: a report from before an accepted order proves nothing
// about it.
func TestReportsThatLag(t *testing.T) {
	p := planner(1, 21)
	serveLoading(t, p, ask(1))
	p.Desync(engineID(0), start)
	p.Sync(engineID(0), bamboorail.EngineState{Orders: 0, Models: map[string]map[string]int{"m": {}}}, start.Add(50*time.Millisecond))
	if _, synced := p.OrderNumber(engineID(0)); synced {
		t.Error("a report without the accepted order was believed")
	}
	p.Sync(engineID(0), bamboorail.EngineState{Orders: 1, Models: map[string]map[string]int{"m": {"a1": 1}}}, start.Add(time.Second))
	if n, synced := p.OrderNumber(engineID(0)); n != 1 || !synced {
		t.Errorf("orders %d, synced %t", n, synced)
	}
}

// TestARebornEngineIsNew: an engine that starts again under its name holds
// nothing and has accepted no orders.
func TestARebornEngineIsNew(t *testing.T) {
	p := planner(1, 21)
	serve(t, p, ask(1), start)
	entry := p.engines["e0"].entry
	entry.ID.StartMillis = 2
	p.SetEngines([]bamboorail.TargetEntry{entry}, func(string) int { return 21 }, start)
	if _, ok := p.Place(ask(1), start); ok {
		t.Error("a call was placed on an engine that was never read")
	}
	p.Sync(engineID(0), bamboorail.EngineState{Models: map[string]map[string]int{"m": {"a1": 1}}}, start)
	if len(p.Unsynced()) != 1 {
		t.Error("a report of the former start was taken for the new one")
	}
}

// TestALateLoadIsAwaited: a call that comes too early returns to the engine
// that loads its adapter.
func TestALateLoadIsAwaited(t *testing.T) {
	p := planner(3, 21)
	first, _ := p.Place(ask(1), start)
	accept(p, first.Orders, start)
	now := first.ReadyAt.Add(5 * time.Millisecond)
	ended, _ := p.End(first.Ticket)
	p.Missing(ended, now)
	again, ok := p.Place(ask(1), now)
	if !ok || again.Target.ID != first.Target.ID || !again.ReadyAt.After(now) {
		t.Errorf("second place %+v, %t", again, ok)
	}
}

// TestAnAdapterThatNeverArrivedIsFetched: an engine has at hand what it held,
// not what it was ordered to load. A call that is refused because of a wrong
// guess waits for the fetch; asked again every few milliseconds, the engine
// would refuse it as often as it may be sent.
func TestAnAdapterThatNeverArrivedIsFetched(t *testing.T) {
	cases := map[string]struct {
		lose    func(p *Planner, first Placement)
		refused int
	}{
		"the load was not accepted": {func(p *Planner, first Placement) {
			p.End(first.Ticket)
			p.LoadFailed(first.Target.ID, ask(1).Key)
		}, 0},
		"the engine dropped it unseen": {func(p *Planner, first Placement) {
			p.End(first.Ticket)
			p.Arrived(first.Target.ID, ask(1).Key, start)
			p.Sync(first.Target.ID, bamboorail.EngineState{Orders: 1, Models: map[string]map[string]int{"m": {}}}, start.Add(time.Second))
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := planner(1, 21)
			first, _ := p.Place(ask(1), start)
			accept(p, first.Orders, start)
			c.lose(p, first)
			now := start.Add(2 * time.Second)
			loaded := now.Add(p.fetchTime)
			for refused := 0; ; refused++ {
				got, ok := p.Place(ask(1), now)
				if !ok {
					t.Fatal("no place")
				}
				accept(p, got.Orders, now)
				now = latest(now, got.ReadyAt)
				if !now.Before(loaded) {
					break
				}
				if refused == c.refused {
					t.Fatalf("the call is refused %d times before the adapter is loaded", refused+1)
				}
				ended, _ := p.End(got.Ticket)
				p.Missing(ended, now)
			}
		})
	}
}

// TestARefusalThatIsReportedLateDoesNotLengthenALoad: other instances report
// the ends of their calls up to 300 ms later. The load had ended by then.
func TestARefusalThatIsReportedLateDoesNotLengthenALoad(t *testing.T) {
	const took, reportLag = 260 * time.Millisecond, 300 * time.Millisecond
	p := planner(3, 21)
	first, _ := p.Place(ask(1), start)
	accept(p, first.Orders, start)
	second, _ := p.Place(ask(1), start.Add(10*time.Millisecond))
	now := start.Add(took)
	for _, early := range []Placement{first, second} {
		// Both were sent some milliseconds before the load ended.
		ended, _ := p.End(early.Ticket)
		p.Missing(ended, now.Add(reportLag))
	}
	got, ok := p.Place(ask(1), now.Add(reportLag))
	if !ok || got.ReadyAt.After(now.Add(reportLag)) {
		t.Errorf("the adapter is expected at %v, it is there since %v", got.ReadyAt.Sub(start), took)
	}
	p.End(got.Ticket)
	p.Arrived(got.Target.ID, ask(1).Key, now.Add(reportLag))
	if p.fetchTime > took+tuning().ReloadTime {
		t.Errorf("loads of %v are expected to take %v", took, p.fetchTime)
	}
}

// TestTheExpectedTimeOfAFetch follows what most fetches take, whatever the few
// take whose engine was silent for a while.
func TestTheExpectedTimeOfAFetch(t *testing.T) {
	const usual, silent, fetches = 290 * time.Millisecond, 900 * time.Millisecond, 400
	cases := map[string]struct {
		silentEach int // one of so many fetches
		took       time.Duration
	}{
		"all alike":           {fetches + 1, usual},
		"one in fifty silent": {50, usual},
		"all slow":            {fetches + 1, 2 * usual},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := planner(4, 400)
			now := start
			for n := range fetches {
				took := c.took
				if n%c.silentEach == c.silentEach-1 {
					took = silent
				}
				fetchFor(p, ask(n), now, took)
				now = now.Add(2 * time.Second)
			}
			if p.fetchTime < c.took*8/10 || p.fetchTime > c.took*12/10 {
				t.Errorf("fetches of %v are expected to take %v", c.took, p.fetchTime)
			}
		})
	}
}

// fetchFor has a call refused until its adapter is there, and then run.
func fetchFor(p *Planner, r Request, now time.Time, took time.Duration) {
	loaded := now.Add(took)
	for {
		got, ok := p.Place(r, now)
		if !ok {
			return
		}
		accept(p, got.Orders, now)
		now = latest(now, got.ReadyAt)
		ended, _ := p.End(got.Ticket)
		if !now.Before(loaded) {
			p.Arrived(ended.Target, ended.Key, now)
			return
		}
		p.Missing(ended, now)
	}
}

// TestAnEngineWithoutItsModelIsNotAskedAgain: an engine that started again and
// is not known as such runs nothing, and would be the cheapest for each call of
// the base model until its state is read.
func TestAnEngineWithoutItsModelIsNotAskedAgain(t *testing.T) {
	p := planner(2, 21)
	r := Request{Key: bamboorail.AdapterKey{Model: "m"}, Service: "s", CallID: "c"}
	first, _ := p.Place(r, start)
	ended, _ := p.End(first.Ticket)
	p.Missing(ended, start)
	again, ok := p.Place(r, start)
	if !ok || again.Target.ID == first.Target.ID {
		t.Errorf("placed at %v after %v refused it, %t", again.Target.ID, first.Target.ID, ok)
	}
	p.Sync(first.Target.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start.Add(time.Second))
	for range 2 {
		if again, _ = p.Place(r, start.Add(time.Second)); again.Target.ID == first.Target.ID {
			return
		}
	}
	t.Errorf("%v gets no calls after its report", first.Target.ID)
}

func TestObstaclesOfACall(t *testing.T) {
	cases := map[string]struct {
		prepare func(p *Planner)
		want    Obstacles
	}{
		"fetches are under way": {
			func(p *Planner) {
				for n := range tuning().MinFetchLimit {
					serveLoading(t, p, ask(n))
				}
			},
			Obstacles{Engines: 2, Fetching: 3, Share: 3},
		},
		"all adapters serve": {
			func(p *Planner) {
				for n := range 2 * roomyEngine {
					serve(t, p, ask(n), start.Add(time.Duration(n-2*roomyEngine)*time.Second))
				}
			},
			Obstacles{Engines: 2, NoRoom: 2, Share: 3},
		},
		"an engine is in doubt": {
			func(p *Planner) { p.Desync(engineID(0), start) },
			Obstacles{Engines: 2, InDoubt: 1, Share: 3},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := planner(2, roomyEngine)
			c.prepare(p)
			if got := p.Obstacles(ask(99), start); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// roomyEngine is the number of adapters that the engines of a case hold.
const roomyEngine = 4

func TestHomesAreStableAndEven(t *testing.T) {
	zones := []string{"a", "b", "c"}
	counts := map[string]int{}
	for n := range 3000 {
		home := Home(zones, ask(n).Key)
		counts[home]++
		if home == "c" {
			continue
		}
		if got := Home([]string{"b", "a"}, ask(n).Key); got != home {
			t.Fatalf("adapter %d moved from %s to %s when zone c left", n, home, got)
		}
	}
	for zone, n := range counts {
		if n < 850 || n > 1150 {
			t.Errorf("zone %s is home of %d adapters", zone, n)
		}
	}
}

// BenchmarkPlace places calls in a zone of the design size: 127 engines with 8
// places, half of the calls for adapters that have to be loaded.
func BenchmarkPlace(b *testing.B) {
	p := planner(127, 8)
	now := start
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		adapter := n % 500
		if n%2 == 1 {
			adapter = n
		}
		got, ok := p.Place(ask(adapter), now)
		if !ok {
			continue
		}
		accept(p, got.Orders, now)
		p.Arrived(got.Target.ID, ask(adapter).Key, now)
		p.End(got.Ticket)
		if n%1000 == 0 {
			p.Expire(now.Add(-time.Minute), now)
		}
	}
}
