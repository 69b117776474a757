package adapters

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// BenchmarkPlaceByWork places calls in a zone of 60 engines with 14 adapter slots, with a tenth
// of the calls for adapters that have to be loaded, at a load of 4 calls an engine.
func BenchmarkPlaceByWork(b *testing.B) {
	for name, gap := range map[string]time.Duration{"running calls": 0, "work": 300 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			const engines, open = 60, 240
			p := newTestPlanner(engines, 14)
			now := start
			var tickets []uint64
			for n := 0; b.Loop(); n++ {
				now = now.Add(5 * time.Millisecond)
				r := testRequest(n % 500)
				if n%10 == 0 {
					r = testRequest(n)
				}
				r.Size, r.MaxGap = bamboorail.CallSize{Prompt: 491, Output: 172}, gap
				if got, ok := p.Place(r, now); ok {
					acceptOrders(p, got.Orders, now)
					p.RecordLoaded(got.Target.ID, r.Key, now)
					tickets = append(tickets, got.Ticket)
				}
				if len(tickets) > open {
					p.RecordTiming(tickets[0], Timing{FirstEvent: 70 * time.Millisecond, Event: 40 * time.Millisecond, LongestGap: 90 * time.Millisecond}, now)
					p.End(tickets[0])
					tickets = tickets[1:]
				}
				if n%1000 == 0 {
					p.Expire(now.Add(-time.Minute), now)
				}
			}
		})
	}
}
