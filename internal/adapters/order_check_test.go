package adapters

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestOrderIsCheckedWhenItIsSent guards against an order that was right when it was decided, but
// is not when it is sent.
func TestOrderIsCheckedWhenItIsSent(t *testing.T) {
	order := func(n, version int, unload bool) bamboorail.AdapterOrder {
		return bamboorail.AdapterOrder{Target: engineID(0), Key: testRequest(n).Key, Version: version, Unload: unload}
	}
	accept := func(p *Planner, o bamboorail.AdapterOrder) {
		o.Orders, _ = p.OrderNumber(o.Target)
		p.RecordOrder(o, start)
	}
	fill := func(p *Planner) { accept(p, order(2, 1, false)) }
	// One of two slots holds a1, version 1.
	cases := map[string]struct {
		before   func(p *Planner)
		order    bamboorail.AdapterOrder
		expected OrderCheck
	}{
		"a load, free slot":              {func(*Planner) {}, order(3, 1, false), OrderFits},
		"a load, no free slot":           {fill, order(3, 1, false), OrderWithoutRoom},
		"a load of what is held":         {fill, order(1, 1, false), OrderNeedless},
		"a load of a new version":        {func(*Planner) {}, order(1, 2, false), OrderWithoutRoom},
		"a load after an unload":         {func(p *Planner) { fill(p); accept(p, order(1, 0, true)) }, order(3, 1, false), OrderFits},
		"an unload":                      {fill, order(1, 0, true), OrderFits},
		"an unload of what is not held":  {fill, order(3, 0, true), OrderNeedless},
		"an unload of what is leaving":   {func(p *Planner) { p.RecordUnloading(order(1, 0, true), start) }, order(1, 0, true), OrderWithoutRoom},
		"a load beside what is leaving":  {func(p *Planner) { fill(p); p.RecordUnloading(order(1, 0, true), start) }, order(3, 1, false), OrderWithoutRoom},
		"a load that was canceled":       {func(*Planner) {}, bamboorail.AdapterOrder{Target: engineID(0), Key: testRequest(3).Key, Plan: 77}, OrderWithdrawn},
		"state not certain":              {func(p *Planner) { p.Desync(engineID(0), start) }, order(3, 1, false), OrderUnsynced},
		"another order not accepted":     {func(p *Planner) { p.RecordConflict(order(3, 1, false), start) }, order(3, 1, false), OrderUnsynced},
		"a load that is said to be held": {func(p *Planner) { p.RecordHeld(order(2, 1, false), start) }, order(3, 1, false), OrderUnsynced},
		"a load that is said to be held, early report": {func(p *Planner) {
			p.RecordHeld(order(2, 1, false), start)
			p.Sync(engineID(0), bamboorail.EngineState{Models: map[string]map[string]int{"m": {"a1": 1}}}, start, start)
		}, order(1, 0, true), OrderUnsynced},
		"a load that is said to be held, late report": {func(p *Planner) {
			p.RecordHeld(order(2, 1, false), start)
			p.Sync(engineID(0), bamboorail.EngineState{Orders: 1, Models: map[string]map[string]int{"m": {"a1": 1, "a2": 1}}}, start.Add(-time.Millisecond), start)
		}, order(3, 1, false), OrderWithoutRoom},
		"a replacement by another holder": {func(p *Planner) {
			p.Sync(engineID(0), bamboorail.EngineState{Models: map[string]map[string]int{"m": {"a1": 1}}, Pending: []bamboorail.AdapterKey{testRequest(1).Key}}, start, start)
		}, order(3, 1, false), OrderWithoutRoom},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 2)
			p.Sync(engineID(0), bamboorail.EngineState{Models: map[string]map[string]int{"m": {"a1": 1}}}, start, start)
			c.before(p)
			if _, got := p.CheckOrder(c.order, start.Add(time.Millisecond)); got != c.expected {
				t.Errorf("check %v, expected %v", got, c.expected)
			}
		})
	}
}
