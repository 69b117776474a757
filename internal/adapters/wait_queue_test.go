package adapters

import (
	"fmt"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// BenchmarkPlaceWithWaitingCalls measures one decision about a call that cannot
// be placed, with calls waiting for other adapters.
func BenchmarkPlaceWithWaitingCalls(b *testing.B) {
	const engines, slots = 47, 8
	for _, waiting := range []int{10, 50, 100, 200, 400} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			tuned := testTuning()
			tuned.FetchLimit, tuned.MinIdleTime = 16, 50*time.Millisecond
			p := NewPlanner(tuned, 0)
			var entries []bamboorail.TargetEntry
			for n := range engines {
				entries = append(entries, bamboorail.TargetEntry{ID: engineID(n), Service: "s", Address: "a", Slots: 12})
			}
			p.SetEngines(entries, func(string) int { return slots }, start)
			for n, e := range entries {
				held := map[string]int{}
				for i := range slots {
					held[fmt.Sprintf("held-%d-%d", n, i)] = 1
				}
				p.Sync(e.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": held}}, start, start)
			}
			for n := range 15 {
				p.Place(testRequest(n), start)
			}
			for n := range waiting {
				r := testRequest(1000 + n)
				r.Waited = 500 * time.Millisecond
				p.waiting.enqueue(r, p.fetchTime(), start)
			}
			r := testRequest(5000)
			b.ResetTimer()
			for b.Loop() {
				if _, ok := p.Place(r, start); ok {
					b.Fatal("the call was placed ahead of waiting calls")
				}
			}
		})
	}
}
