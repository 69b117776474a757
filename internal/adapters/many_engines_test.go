package adapters

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestLargeZonesPlaceByCalls guards against holders of large zones that spend the processor time
// of the zone on the work of calls.
func TestLargeZonesPlaceByCalls(t *testing.T) {
	cases := map[string]struct {
		engines int
		byWork  bool
	}{
		"small zone":   {30, true},
		"largest zone": {maxWorkEngines, true},
		"larger zone":  {maxWorkEngines + 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(c.engines, 2)
			r := testRequest(1)
			r.Size, r.MaxGap = bamboorail.CallSize{Prompt: 100_000, Output: 1}, 300*time.Millisecond
			first, ok := p.Place(r, start)
			if !ok {
				t.Fatal("the call is not placed")
			}
			// By work, the prompt of the first call keeps the second one from its engine.
			second := testRequest(1)
			second.CallID, second.Size, second.MaxGap = "second", r.Size, r.MaxGap
			acceptOrders(p, first.Orders, start)
			p.RecordLoaded(first.Target.ID, r.Key, start)
			got, ok := p.Place(second, start.Add(time.Second))
			if !ok || (got.Target.ID != first.Target.ID) != c.byWork {
				t.Errorf("first call at %s, second one at %s", first.Target.ID.Name, got.Target.ID.Name)
			}
		})
	}
}
