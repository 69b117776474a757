package adapters

import (
	"fmt"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// crowd keeps engines full with calls for one adapter, of which the oldest of
// an engine ends when another one comes.
type crowd struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	calls   int
	running map[string][]uint64
}

var hotKey = bamboorail.AdapterKey{Model: "m", Adapter: "hot"}

func (c *crowd) request(key bamboorail.AdapterKey) Request {
	c.calls++
	return Request{Key: key, Service: "s", CallID: fmt.Sprint(c.calls), Objective: 800 * time.Millisecond, Priority: 2}
}

// add places a call for the hot adapter.
func (c *crowd) add() Placement {
	c.t.Helper()
	got, ok := c.planner.Place(c.request(hotKey), c.now)
	if !ok {
		c.t.Fatal("a call for the hot adapter has no place")
	}
	accept(c.planner, got.Orders, c.now)
	name := got.Target.ID.Name
	c.running[name] = append(c.running[name], got.Ticket)
	return got
}

// end ends the oldest calls of an engine until n are left.
func (c *crowd) end(name string, n int) {
	for len(c.running[name]) > n {
		c.planner.End(c.running[name][0])
		c.running[name] = c.running[name][1:]
	}
}

// TestAColdAdapterIsFetchedBesideAHotOne: calls that were placed behind others at
// full engines hold up no fetch that they do not use themselves.
func TestAColdAdapterIsFetchedBesideAHotOne(t *testing.T) {
	const slots, hotEngines = 12, 3
	tuned := tuning()
	tuned.MinFetchLimit, tuned.FetchesPerEngine, tuned.FetchTime = 1, 0, 390*time.Millisecond
	p := NewPlanner(tuned, 0)
	var entries []bamboorail.TargetEntry
	for n := range 20 {
		entries = append(entries, bamboorail.TargetEntry{ID: engineID(n), Service: "s", Address: "a", Slots: slots})
	}
	p.SetEngines(entries, func(string) int { return 8 }, start)
	for _, e := range entries {
		p.Sync(e.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start)
	}
	c := &crowd{t: t, planner: p, now: start, running: map[string][]uint64{}}
	for full := false; !full; {
		got := c.add()
		c.now = c.now.Add(tuned.FetchTime)
		p.Arrived(got.Target.ID, hotKey, c.now)
		full = len(c.running) >= hotEngines
		for _, list := range c.running {
			full = full && len(list) >= slots
		}
	}
	for name := range c.running {
		c.end(name, slots)
	}
	const asks, steps = 20, 120
	cold := c.request(bamboorail.AdapterKey{Model: "m", Adapter: "cold"})
	var asked time.Time
	for step := range steps {
		c.now = c.now.Add(25 * time.Millisecond)
		if step%2 == 0 { // 20 calls a second, fewer than the engines carry
			c.end(c.add().Target.ID.Name, slots)
		}
		if step < asks {
			asked = c.now
			continue
		}
		cold.Waited = c.now.Sub(asked)
		if _, ok := p.Place(cold, c.now); ok {
			return
		}
		if p.fetching(c.now) == 0 && cold.Waited > tuned.FetchTime {
			t.Fatalf("not fetched for %v: %v", cold.Waited, p.Obstacles(cold, c.now))
		}
	}
	t.Errorf("not placed within %v", c.now.Sub(asked))
}

// TestARefusalOfAnEarlierCallIsOld: the refusal of a call that was sent before
// the engine proved to hold the adapter says nothing of now.
func TestARefusalOfAnEarlierCallIsOld(t *testing.T) {
	p := planner(1, 21)
	first, _ := p.Place(ask(1), start)
	accept(p, first.Orders, start)
	second, _ := p.Place(ask(1), start)
	refused, _ := p.End(second.Ticket)
	ran := refused.Sent.Add(50 * time.Millisecond)
	p.Arrived(first.Target.ID, ask(1).Key, ran)
	p.Missing(refused, ran.Add(100*time.Millisecond))
	e := p.engine(first.Target.ID)
	if e.adapters[ask(1).Key] == nil || !e.synced {
		t.Errorf("held %t, state known %t after an old refusal", e.adapters[ask(1).Key] != nil, e.synced)
	}
}
