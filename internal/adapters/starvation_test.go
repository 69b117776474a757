package adapters

import (
	"fmt"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// hotLoad keeps engines full with calls for one adapter; the oldest call of an
// engine ends when a new one arrives.
type hotLoad struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	calls   int
	running map[string][]uint64
}

var hotKey = bamboorail.AdapterKey{Model: "m", Adapter: "hot"}

func (c *hotLoad) request(key bamboorail.AdapterKey) Request {
	c.calls++
	return Request{Key: key, Service: "s", CallID: fmt.Sprint(c.calls), Objective: 800 * time.Millisecond, Priority: 2}
}

// add places a call for the hot adapter.
func (c *hotLoad) add() Placement {
	c.t.Helper()
	got, ok := c.planner.Place(c.request(hotKey), c.now)
	if !ok {
		c.t.Fatal("a call for the hot adapter was not placed")
	}
	acceptOrders(c.planner, got.Orders, c.now)
	name := got.Target.ID.Name
	c.running[name] = append(c.running[name], got.Ticket)
	return got
}

// end ends the oldest calls of an engine until n are left.
func (c *hotLoad) end(name string, n int) {
	for len(c.running[name]) > n {
		c.planner.End(c.running[name][0])
		c.running[name] = c.running[name][1:]
	}
}

// TestColdAdapterIsNotStarvedByHotAdapter checks that calls placed behind
// others at full engines do not delay fetches that they do not use themselves.
func TestColdAdapterIsNotStarvedByHotAdapter(t *testing.T) {
	const slots, hotEngines = 12, 3
	tuned := testTuning()
	tuned.FetchLimit, tuned.FetchTime = 1, 390*time.Millisecond
	p := NewPlanner(tuned, 0)
	var entries []bamboorail.TargetEntry
	for n := range 20 {
		entries = append(entries, bamboorail.TargetEntry{ID: engineID(n), Service: "s", Address: "a", Slots: slots})
	}
	p.SetEngines(entries, func(string) int { return 8 }, start)
	for _, e := range entries {
		p.Sync(e.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, start, start)
	}
	c := &hotLoad{t: t, planner: p, now: start, running: map[string][]uint64{}}
	for full := false; !full; {
		got := c.add()
		c.now = c.now.Add(tuned.FetchTime)
		p.RecordLoaded(got.Target.ID, hotKey, c.now)
		full = len(c.running) >= hotEngines
		for _, list := range c.running {
			full = full && len(list) >= slots
		}
	}
	for name := range c.running {
		c.end(name, slots)
	}
	const coldStart, steps = 20, 120
	cold := c.request(bamboorail.AdapterKey{Model: "m", Adapter: "cold"})
	var coldSince time.Time
	for step := range steps {
		c.now = c.now.Add(25 * time.Millisecond)
		if step%2 == 0 { // 20 calls per second, below the capacity of the engines
			c.end(c.add().Target.ID.Name, slots)
		}
		if step < coldStart {
			coldSince = c.now
			continue
		}
		cold.Waited = c.now.Sub(coldSince)
		if _, ok := p.Place(cold, c.now); ok {
			return
		}
		if p.activeFetches(c.now) == 0 && cold.Waited > tuned.FetchTime {
			t.Fatalf("not fetched within %v: %v", cold.Waited, p.Obstacles(cold, c.now))
		}
	}
	t.Errorf("not placed within %v", c.now.Sub(coldSince))
}

// TestOutdatedRefusalIsIgnored checks that the refusal of a call that was sent
// before the engine was known to hold the adapter is ignored.
func TestOutdatedRefusalIsIgnored(t *testing.T) {
	p := newTestPlanner(1, 21)
	first, _ := p.Place(testRequest(1), start)
	acceptOrders(p, first.Orders, start)
	second, _ := p.Place(testRequest(1), start)
	refused, _ := p.End(second.Ticket)
	ran := refused.Sent.Add(50 * time.Millisecond)
	p.RecordLoaded(first.Target.ID, testRequest(1).Key, ran)
	p.RecordMissing(refused, ran.Add(100*time.Millisecond))
	e := p.engine(first.Target.ID)
	if e.adapters[testRequest(1).Key] == nil || !e.synced {
		t.Errorf("held %t, synced %t after an outdated refusal", e.adapters[testRequest(1).Key] != nil, e.synced)
	}
}
