package placer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// reportInterval is the time between log lines on the load of a holder.
const reportInterval = time.Second

// usage is what a holder did since the last report.
type usage struct {
	metrics *telemetry.Holder

	mu      sync.Mutex
	waiting int
	counts  counts
}

// counts are sums and maxima over one interval.
type counts struct {
	questions, placed, looks, ended, orders int
	mostWaiting                             int
	lock, look, question, order             spread
}

// spread is a sum of times and the longest of them.
type spread struct{ sum, most time.Duration }

func (s *spread) add(d time.Duration) {
	s.sum += d
	s.most = max(s.most, d)
}

// asked notes that a question came.
func (u *usage) asked() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.questions++
}

// answered notes the answer to a question.
func (u *usage) answered(placed bool, took time.Duration) {
	u.metrics.Answered(took)
	u.mu.Lock()
	defer u.mu.Unlock()
	if placed {
		u.counts.placed++
	}
	u.counts.question.add(took)
}

// wait changes the number of calls that wait.
func (u *usage) wait(change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting += change
	u.counts.mostWaiting = max(u.counts.mostWaiting, u.waiting)
	u.metrics.Waiting(u.waiting)
}

// looked notes n decisions about one call each.
func (u *usage) looked(n int, lock, look time.Duration) {
	u.metrics.Looked(n, lock, look)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.looks += n
	u.counts.lock.add(lock)
	u.counts.look.add(look)
}

// ordered notes an order to an engine.
func (u *usage) ordered(took time.Duration) {
	u.metrics.Ordered(took)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.orders++
	u.counts.order.add(took)
}

// settled notes placements that ended.
func (u *usage) settled(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.ended += n
}

// take returns the counts since the last call.
func (u *usage) take() counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts
	u.counts = counts{mostWaiting: u.waiting}
	return c
}

// runReport logs the load of a holder that leads.
func (h *Holder) runReport(ctx context.Context) error {
	return duty.Every(ctx, reportInterval, func(context.Context) {
		if c := h.usage.take(); h.Lease.Leading() {
			h.mu.Lock()
			open := h.planner.Open()
			h.mu.Unlock()
			c.log(h.Log.With("zone", h.Zone, "open", open), h.Lease.RenewalTime())
		}
	})
}

func (c *counts) log(log hclog.Logger, renewal time.Duration) {
	log.Info("holder load", "questions", c.questions, "placed", c.placed, "looks", c.looks, "most-waiting", c.mostWaiting,
		"ended", c.ended, "orders", c.orders, "look-us", c.look.sum.Microseconds(), "lock-us", c.lock.sum.Microseconds(),
		"longest-lock-ms", c.lock.most.Milliseconds(), "longest-question-ms", c.question.most.Milliseconds(),
		"longest-order-ms", c.order.most.Milliseconds(), "renewal-ms", renewal.Milliseconds())
}
