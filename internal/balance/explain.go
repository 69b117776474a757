package balance

import (
	"time"

	"bamboorail.example/bamboorail"
)

// Explain returns the cost by which Choose compares a target, and the number of calls that this
// instance has there. It counts no call.
func (b *Balancer) Explain(t bamboorail.TargetEntry, avoid []string, now time.Time) (cost time.Duration, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.cost(t, avoid, now) * float64(time.Second)), b.state(t.ID).inFlight
}
