package adapters

import (
	"fmt"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// BenchmarkPlaceBesideWaiting measures one decision about a call that finds no
// place, beside calls for other adapters that wait.
func BenchmarkPlaceBesideWaiting(b *testing.B) {
	const engines, slots = 47, 8
	for _, waiting := range []int{10, 50, 100, 200, 400} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			tuned := tuning()
			tuned.MinFetchLimit, tuned.MinIdleTime = 16, 50*time.Millisecond
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
				p.Sync(e.ID, bamboorail.EngineState{Models: map[string]map[string]int{"m": held}}, start)
			}
			for n := range 15 {
				p.Place(ask(n), start)
			}
			for n := range waiting {
				r := ask(1000 + n)
				r.Waited = 500 * time.Millisecond
				p.waiting.call(r, p.fetchTime, start)
			}
			r := ask(5000)
			b.ResetTimer()
			for b.Loop() {
				if _, ok := p.Place(r, start); ok {
					b.Fatal("a place beside calls that come first")
				}
			}
		})
	}
}
