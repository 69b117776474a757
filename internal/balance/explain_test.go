package balance

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestExplainedCostIsThatOfChoice guards against explanations by another cost than the one that
// decides, and against calls that an explanation counts.
func TestExplainedCostIsThatOfChoice(t *testing.T) {
	b, now := New("a"), time.Unix(1000, 0)
	targets := []bamboorail.TargetEntry{
		{ID: bamboorail.TargetID{Name: "t1"}, Zone: "a", Slots: 2}, {ID: bamboorail.TargetID{Name: "t2"}, Zone: "a", Slots: 4},
		{ID: bamboorail.TargetID{Name: "t3"}, Zone: "b", Slots: 8},
	}
	calls := map[bamboorail.TargetID]int{}
	for n := range 30 {
		best, least := "", time.Duration(0)
		for _, x := range targets {
			cost, inFlight := b.Explain(x, nil, now)
			if inFlight != calls[x.ID] {
				t.Fatalf("call %d: %d in flight at %s, expected %d", n, inFlight, x.ID.Name, calls[x.ID])
			}
			if best == "" || cost < least {
				best, least = x.ID.Name, cost
			}
		}
		got, _ := b.Choose(targets, nil, now)
		if got.ID.Name != best {
			t.Fatalf("call %d: %s chosen, explained %s", n, got.ID.Name, best)
		}
		calls[got.ID]++
	}
}
