package adapters

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkExplain compares an explanation with a placement of the same call, in zones of 30 and
// 630 engines, without and with 500 calls that wait for fetches. The holder's lock is held for
// as long.
func BenchmarkExplain(b *testing.B) {
	for _, engines := range []int{30, 630} {
		for _, waiting := range []int{0, 500} {
			p, now := newTestPlanner(engines, 14), start
			for n := range 4 * engines {
				r := measuredRequest(n%engines, 500)
				if got, ok := p.Place(r, now); ok {
					acceptOrders(p, got.Orders, now)
					p.RecordLoaded(got.Target.ID, r.Key, now)
				}
			}
			for n := range waiting {
				r := measuredRequest(1000+n, 500)
				r.CallID = fmt.Sprintf("w%d", n)
				p.waiting.enqueue(r, p.fetchTime(), now)
			}
			now = now.Add(50 * time.Millisecond)
			r := measuredRequest(5000, 500)
			name := fmt.Sprintf("%d engines, %d waiting", engines, waiting)
			b.Run(name+"/explain", func(b *testing.B) {
				for b.Loop() {
					p.Explain(r, now)
				}
			})
			b.Run(name+"/place", func(b *testing.B) {
				for b.Loop() {
					now = now.Add(time.Second)
					if got, ok := p.Place(r, now); ok {
						for _, o := range got.Orders {
							p.CancelLoad(o, now)
						}
						p.End(got.Ticket)
					}
				}
			})
		}
	}
}
