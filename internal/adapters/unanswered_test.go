package adapters

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// formerOrder is an order to the former start of the only engine.
func formerOrder(key bamboorail.AdapterKey, unload bool, number uint64) bamboorail.AdapterOrder {
	return bamboorail.AdapterOrder{Target: bamboorail.TargetID{Name: "e0"}, Key: key, Unload: unload, Orders: number}
}

// TestUnansweredLoadsKeepTheirSlots guards against an order after which late loads, each with
// the next number, exceed the slots of an engine.
func TestUnansweredLoadsKeepTheirSlots(t *testing.T) {
	const slots, accepted = 3, 7
	cases := map[string]struct {
		held []string
		// loads and unloads are the numbers of unanswered orders.
		loads, unloads []uint64
		unload         bool // check the unload of a1, not the load of a9
		after          time.Duration
		expected       OrderCheck
	}{
		"none":                      {held: []string{"a1", "a2"}, expected: OrderFits},
		"next number":               {held: []string{"a1", "a2"}, loads: []uint64{8}, expected: OrderWithoutRoom},
		"number of this order":      {held: []string{"a1", "a2"}, loads: []uint64{7}, expected: OrderFits},
		"a later number":            {held: []string{"a1", "a2"}, loads: []uint64{9}, expected: OrderFits},
		"two in a row":              {held: []string{"a1"}, loads: []uint64{8, 9}, expected: OrderWithoutRoom},
		"one, and a slot for it":    {held: []string{"a1"}, loads: []uint64{8}, expected: OrderFits},
		"two of one number":         {held: []string{"a1"}, loads: []uint64{8, 8}, expected: OrderFits},
		"a load after an unload":    {held: []string{"a1", "a2"}, unloads: []uint64{8}, loads: []uint64{9}, expected: OrderWithoutRoom},
		"an unload, then two loads": {held: []string{"a1", "a2", "a3"}, loads: []uint64{8, 9}, unload: true, expected: OrderWithoutRoom},
		"an unload, then one load":  {held: []string{"a1", "a2", "a3"}, loads: []uint64{8}, unload: true, expected: OrderFits},
		"long ago":                  {held: []string{"a1", "a2"}, loads: []uint64{8}, after: 2 * maxOrderDelay, expected: OrderFits},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, slots)
			for _, n := range c.loads {
				p.RecordUnanswered(formerOrder(testRequest(8).Key, false, n), start)
			}
			for _, n := range c.unloads {
				p.RecordUnanswered(formerOrder(testRequest(8).Key, true, n), start)
			}
			held := map[string]int{}
			for _, adapter := range c.held {
				held[adapter] = 1
			}
			now := start.Add(time.Second + c.after)
			p.Sync(engineID(0), bamboorail.EngineState{Orders: accepted, Models: map[string]map[string]int{"m": held}}, now, now)
			o := bamboorail.AdapterOrder{Target: engineID(0), Key: testRequest(9).Key, Version: 1}
			if c.unload {
				o.Unload, o.Key = true, testRequest(1).Key
			}
			if _, got := p.CheckOrder(o, now); got != c.expected {
				t.Errorf("check %v, expected %v", got, c.expected)
			}
		})
	}
}

// TestUnansweredUnloadMayWait guards against the second unload of an adapter that its engine
// keeps for its calls only: the engine counts nothing for it.
func TestUnansweredUnloadMayWait(t *testing.T) {
	const accepted = 7
	cases := map[string]struct {
		number, reported uint64 // of the unload, and accepted by the report
		expected         OrderCheck
	}{
		"it was the last order":          {accepted, accepted + 1, OrderWithoutRoom},
		"it was not carried out":         {accepted, accepted, OrderFits},
		"another order was accepted":     {accepted - 1, accepted, OrderFits},
		"another one was accepted later": {accepted, accepted + 2, OrderFits},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 2)
			sync := func(orders uint64, now time.Time) {
				p.Sync(engineID(0), bamboorail.EngineState{Orders: orders, Models: map[string]map[string]int{"m": {"a1": 1}}}, now, now)
			}
			sync(accepted, start)
			p.RecordUnanswered(formerOrder(testRequest(1).Key, true, c.number), start)
			now := start.Add(time.Second)
			sync(c.reported, now)
			unload := bamboorail.AdapterOrder{Target: engineID(0), Key: testRequest(1).Key, Unload: true}
			if _, got := p.CheckOrder(unload, now); got != c.expected {
				t.Errorf("check %v, expected %v", got, c.expected)
			}
			sync(accepted+3, now.Add(time.Second))
			if _, got := p.CheckOrder(unload, now.Add(time.Second)); got != OrderFits {
				t.Errorf("check %v after a later order was accepted", got)
			}
		})
	}
}

// TestUnloadAfterUnknownOrderIsNotCounted guards against a number that is too high: the unknown
// order may have unloaded the same adapter, and the engine counts nothing for the second unload.
func TestUnloadAfterUnknownOrderIsNotCounted(t *testing.T) {
	cases := map[string]struct {
		reported uint64
		known    bool // the order without an answer
		counted  bool
	}{
		"no order but known ones":    {3, false, true},
		"an unknown order":           {4, false, false},
		"an order without an answer": {4, true, true},
		"an unknown one after it":    {5, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 2)
			sync := func(orders uint64, now time.Time) {
				p.Sync(engineID(0), bamboorail.EngineState{Orders: orders, Models: map[string]map[string]int{"m": {"a1": 1}}}, now, now)
			}
			sync(2, start)
			load := bamboorail.AdapterOrder{Target: engineID(0), Key: testRequest(2).Key, Orders: 2}
			p.RecordOrder(load, start)
			if c.known {
				load.Orders = 3
				p.RecordUnanswered(load, start)
			}
			sync(c.reported, start.Add(time.Second))
			unload := bamboorail.AdapterOrder{Target: engineID(0), Key: testRequest(1).Key, Unload: true, Orders: c.reported}
			p.RecordOrder(unload, start.Add(time.Second))
			if _, counted := p.OrderNumber(engineID(0)); counted != c.counted {
				t.Errorf("counted: %t, expected %t", counted, c.counted)
			}
		})
	}
}
