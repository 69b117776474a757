package placer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/concurrency"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// reportInterval is the interval between log lines about the load of a holder.
const reportInterval = time.Second

// usage counts the work of a holder since the last report.
type usage struct {
	metrics *telemetry.Holder

	mu      sync.Mutex
	waiting int
	// sharedWaiting is the number of calls that wait for shared targets.
	sharedWaiting int
	counts        counts
}

// counts are sums and maxima over one interval.
type counts struct {
	requests, placed, decisions, ended, orders int
	maxWaiting                                 int
	// promptTokens are the prompt tokens of placed calls that state their work, keptTokens
	// those of them that their engines are expected to keep.
	promptTokens, keptTokens       int
	lock, decision, request, order durationStats
	shared                         sharedCounts
}

// sharedCounts counts the requests for permits of shared targets.
type sharedCounts struct {
	granted, refused, refusedByTarget, maxWaiting int
	wait                                          durationStats
}

// durationStats is the sum and the maximum of several durations.
type durationStats struct{ sum, max time.Duration }

func (s *durationStats) add(d time.Duration) {
	s.sum += d
	s.max = max(s.max, d)
}

func (u *usage) recordRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.requests++
}

func (u *usage) recordAnswer(placed bool, took time.Duration) {
	u.metrics.RecordPlacement(took)
	u.mu.Lock()
	defer u.mu.Unlock()
	if placed {
		u.counts.placed++
	}
	u.counts.request.add(took)
}

// addWaiting adds change to the number of waiting calls.
func (u *usage) addWaiting(change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting += change
	u.counts.maxWaiting = max(u.counts.maxWaiting, u.waiting)
	u.metrics.SetWaiting(u.waiting)
}

// recordDecisions records n placement decisions, each about one call, with the
// time spent waiting for the lock and deciding.
func (u *usage) recordDecisions(n int, lock, decision time.Duration) {
	u.metrics.RecordDecisions(n, lock, decision)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.decisions += n
	u.counts.lock.add(lock)
	u.counts.decision.add(decision)
}

func (u *usage) recordOrder(result string, took time.Duration) {
	u.metrics.RecordOrder(result, took)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.orders++
	u.counts.order.add(took)
}

// recordPrompt records the prompt of a placed call and the part of it that its engine is
// expected to keep.
func (u *usage) recordPrompt(tokens, kept int) {
	if tokens == 0 {
		return
	}
	u.metrics.RecordPrompt(tokens, kept)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.promptTokens += tokens
	u.counts.keptTokens += kept
}

func (u *usage) recordEnded(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.ended += n
}

// addSharedWaiting adds change to the number of calls that wait for shared targets.
func (u *usage) addSharedWaiting(change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sharedWaiting += change
	u.counts.shared.maxWaiting = max(u.counts.shared.maxWaiting, u.sharedWaiting)
	u.metrics.SetSharedWaiting(u.sharedWaiting)
}

// recordShared records the answer to a request for a shared target.
func (u *usage) recordShared(g concurrency.SharedGrant, waited time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if g.Permit == 0 {
		u.counts.shared.refused++
		u.metrics.RecordShared(telemetry.SharedRefused, waited)
		return
	}
	u.counts.shared.granted++
	u.counts.shared.wait.add(waited)
	u.metrics.RecordShared(telemetry.SharedGranted, waited)
}

// recordSharedRefusal records that a shared target refused a call with a permit.
func (u *usage) recordSharedRefusal() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.shared.refusedByTarget++
	u.metrics.RecordShared(telemetry.SharedRefusedByTarget, 0)
}

// resetCounts returns the counts since the last call and resets them.
func (u *usage) resetCounts() counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts
	u.counts = counts{maxWaiting: u.waiting}
	return c
}

// runReport logs the load of the holder while it leads.
func (h *Holder) runReport(ctx context.Context) error {
	return task.Every(ctx, reportInterval, func(context.Context) {
		if c := h.usage.resetCounts(); h.Lease.Leading() {
			h.mu.Lock()
			open, fetches := h.planner.OpenPlacements(), h.planner.FetchEstimate(time.Now())
			h.mu.Unlock()
			h.usage.metrics.SetFetchEstimate(fetches.Limit, fetches.Expected, fetches.Flat)
			c.log(h.Log.With("zone", h.Zone, "open", open, "fetches", fetches.Active, "fetch-limit", fetches.Limit,
				"fetch-ms", fetches.Expected.Milliseconds(), "flat-fetch-ms", fetches.Flat.Milliseconds()), h.Lease.RenewalLatency())
		}
	})
}

func (c *counts) log(log hclog.Logger, renewal time.Duration) {
	log.Info("holder load", "questions", c.requests, "placed", c.placed, "looks", c.decisions, "most-waiting", c.maxWaiting,
		"ended", c.ended, "orders", c.orders, "look-us", c.decision.sum.Microseconds(), "lock-us", c.lock.sum.Microseconds(),
		"longest-lock-ms", c.lock.max.Milliseconds(), "longest-question-ms", c.request.max.Milliseconds(),
		"longest-order-ms", c.order.max.Milliseconds(), "renewal-ms", renewal.Milliseconds(),
		"prompt-tokens", c.promptTokens, "kept-tokens", c.keptTokens)
	if s := c.shared; s.granted+s.refused > 0 {
		log.Info("shared targets", "granted", s.granted, "refused", s.refused, "refused-by-target", s.refusedByTarget, "most-waiting", s.maxWaiting,
			"longest-wait-ms", s.wait.max.Milliseconds(), "waits-ms", s.wait.sum.Milliseconds())
	}
}
