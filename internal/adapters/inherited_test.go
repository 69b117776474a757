package adapters

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestInheritedOrdersKeepTheirSlots guards against loads beyond the slots of an engine that started
// again: it carries out late orders that an earlier holder sent to its former start (incident
// archive-late-orders-of-a-holder).
func TestInheritedOrdersKeepTheirSlots(t *testing.T) {
	const slots, accepted = 4, 7
	cases := map[string]struct {
		held int
		// loads are the numbers of the inherited loads, age the time since they were sent.
		loads []uint64
		age   time.Duration
		// unknown is the number of unknown orders, born the time since the start of the engine,
		// after the time since the orders were inherited.
		unknown     int
		born, after time.Duration
		// evicts is set if a call for another adapter is placed with an eviction.
		expected OrderCheck
		evicts   bool
	}{
		"none":                              {held: 3, expected: OrderFits},
		"a load with the next number":       {held: 3, loads: []uint64{8}, expected: OrderWithoutRoom, evicts: true},
		"a slot for it":                     {held: 2, loads: []uint64{8}, expected: OrderFits},
		"sent long ago":                     {held: 3, loads: []uint64{8}, age: 14 * time.Second, after: 2 * time.Second, expected: OrderFits},
		"an unknown load":                   {held: 3, unknown: 1, born: 10 * time.Second, expected: OrderWithoutRoom, evicts: true},
		"an unknown load, a slot for it":    {held: 2, unknown: 1, born: 10 * time.Second, expected: OrderFits},
		"unknown, engine has not restarted": {held: 3, unknown: 1, born: 20 * time.Second, expected: OrderFits},
		"unknown, engine starts afterwards": {held: 3, unknown: 1, after: 5 * time.Second, expected: OrderWithoutRoom, evicts: true},
		"unknown, long ago":                 {held: 3, unknown: 1, after: 16 * time.Second, expected: OrderFits},
		"two of holders that followed":      {held: 2, unknown: 2, born: time.Second, expected: OrderWithoutRoom, evicts: true},
		"an unknown one between two":        {held: 1, loads: []uint64{8, 10}, unknown: 1, born: time.Second, expected: OrderWithoutRoom, evicts: true},
		"a gap, no unknown one":             {held: 2, loads: []uint64{8, 10}, expected: OrderFits},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := start.Add(time.Hour)
			p := NewPlanner(testTuning(), 0)
			var list []UnansweredOrder
			for _, n := range c.loads {
				list = append(list, UnansweredOrder{Engine: "e0", Number: n, Key: testRequest(50).Key, Sent: now.Add(-c.age)})
			}
			p.Inherit(list, c.unknown, now)
			now = now.Add(c.after)
			id := bamboorail.TargetID{Name: "e0", StartMillis: now.Add(-c.born).UnixMilli()}
			p.SetEngines([]bamboorail.TargetEntry{{ID: id, Service: "s", Address: "a", Zone: "z", Slots: 64}}, func(string) int { return slots }, now)
			held := map[string]int{}
			for n := range c.held {
				held[testRequest(n).Key.Adapter] = 1
			}
			p.Sync(id, bamboorail.EngineState{Orders: accepted, Models: map[string]map[string]int{"m": held}}, now, now)
			o := bamboorail.AdapterOrder{Target: id, Key: testRequest(9).Key, Version: 1}
			if _, got := p.CheckOrder(o, now); got != c.expected {
				t.Errorf("check %v, expected %v", got, c.expected)
			}
			r := testRequest(9)
			r.Loads = LoadAny
			placed, ok := p.Place(r, now)
			if orders := placed.Orders; !ok || len(orders) == 0 || orders[0].Unload != c.evicts {
				t.Errorf("placed: %t, orders %+v", ok, orders)
			}
		})
	}
}

// TestEngineAcceptsNoOrdersUntilTheLastIsRecorded guards against two unanswered orders to an engine
// that are not recorded.
func TestEngineAcceptsNoOrdersUntilTheLastIsRecorded(t *testing.T) {
	cases := map[string]struct {
		records, recorded bool
		after             time.Duration
		accepts           bool
	}{
		"no record is kept":           {accepts: true},
		"being recorded":              {records: true},
		"recorded":                    {records: true, recorded: true, accepts: true},
		"the record fails for a time": {records: true, after: maxRecordTime, accepts: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 4)
			if c.records {
				p.RecordOrders()
			}
			p.RecordUnanswered(formerOrderOf(engineID(0)), start)
			list, changed := p.Unanswered(start)
			if len(list) != 1 || changed != c.records {
				t.Errorf("unanswered %+v, changed: %t", list, changed)
			}
			if c.recorded {
				p.MarkRecorded(list)
			}
			now := start.Add(c.after)
			p.Sync(engineID(0), bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, now, now)
			_, check := p.CheckOrder(bamboorail.AdapterOrder{Target: engineID(0), Key: testRequest(9).Key, Version: 1}, now)
			_, placed := p.Place(testRequest(9), now)
			if (check == OrderFits) != c.accepts || placed != c.accepts {
				t.Errorf("check %v, placed: %t", check, placed)
			}
		})
	}
}

// formerOrderOf returns a load that an engine does not answer.
func formerOrderOf(id bamboorail.TargetID) bamboorail.AdapterOrder {
	return bamboorail.AdapterOrder{Target: id, Key: testRequest(1).Key, Orders: 3}
}
