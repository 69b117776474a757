package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/quota"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// runRequests makes one request at a time, for all calls that wait.
func (c *Credit) runRequests(ctx context.Context) error {
	for {
		needs, next := c.due(time.Now())
		if len(needs) > 0 {
			c.request(ctx, needs)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		var again <-chan time.Time
		var timer *time.Timer
		if next > 0 {
			timer = time.NewTimer(next)
			again = timer.C
		}
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-again:
		}
		if timer != nil {
			timer.Stop()
		}
		if ctx.Err() != nil {
			return fmt.Errorf("requests for credit: %w", ctx.Err())
		}
	}
}

// due returns what the calls need whose workspaces are due for a request now, and the time until
// the next ones may, or 0.
func (c *Credit) due(now time.Time) ([]quota.Need, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var needs []quota.Need
	next := time.Duration(0)
	for name, q := range c.queues {
		if left := q.askAt.Sub(now); left > 0 {
			if next == 0 || left < next {
				next = left
			}
			continue
		}
		sum, least := 0.0, q.waiters[0].cost
		for _, x := range q.waiters {
			sum, least = sum+x.cost, min(least, x.cost)
		}
		q.asked = least
		need := c.wallet.Ask(name, sum, least, now)
		need.Instance = c.Instance
		needs = append(needs, need)
	}
	return needs, next
}

// request requests credit from the holder of the first zone that answers.
func (c *Credit) request(ctx context.Context, needs []quota.Need) {
	sent := time.Now()
	for _, z := range c.Zones {
		grants, answered := c.ask(ctx, z, needs, false)
		if answered {
			c.distribute(needs, grants, sent)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	c.distribute(needs, make([]quota.Grant, len(needs)), sent)
}

// distribute serves the calls that wait, in order, from the credit that was granted.
func (c *Credit) distribute(needs []quota.Need, grants []quota.Grant, sent time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, g := range grants {
		name := needs[n].Workspace
		c.wallet.Add(name, g.Amount, sent.Add(quota.CreditExpiry), now)
		q := c.queues[name]
		if q == nil {
			continue
		}
		undecided := g.Amount == 0 && g.Retry == 0 && needs[n].Amount > 0
		q.waiters = slices.DeleteFunc(q.waiters, func(x *creditWaiter) bool {
			if s, ok := c.wallet.Spend(name, x.cost, now); ok {
				x.done <- creditResult{spending: s}
				return true
			}
			if undecided {
				x.done <- c.useFallback(x, now)
				return true
			}
			return false
		})
		if len(q.waiters) > 0 && g.Retry > 0 {
			c.deny(name, q, g.Retry, now)
		}
		c.dropIdle(name, q)
	}
}

// deny keeps the calls that can wait for a retry time, and refuses the others. Calls that
// arrived after the request and cost less are requested at once. The caller holds the lock.
func (c *Credit) deny(name string, q *creditQueue, retry time.Duration, now time.Time) {
	again := now.Add(retry)
	least, smaller := 0.0, false
	q.waiters = slices.DeleteFunc(q.waiters, func(x *creditWaiter) bool {
		if x.cost < q.asked {
			smaller = true
			return false
		}
		if again.Before(x.until) {
			return false
		}
		if least == 0 || x.cost < least {
			least = x.cost
		}
		x.done <- creditResult{err: failRetry("admit-call", bamboorail.KindQuotaExceeded, quota.Spread(retry), errQuotaExceeded)}
		return true
	})
	q.askAt = again
	if smaller {
		q.askAt = now
	}
	if least > 0 {
		c.wallet.Deny(name, least, quota.Spread(retry), now)
	}
}

// useFallback decides on a call without a holder. The decision is random: shares that
// accumulated at many instances could be spent at the same time. The caller holds the lock.
func (c *Credit) useFallback(x *creditWaiter, now time.Time) creditResult {
	name := x.workspace.Name
	unused := min(now.Sub(c.shareUsed[name]), maxShareTime)
	c.shareUsed[name] = now
	share := creditFallbackShare * x.workspace.Quota.Rate / float64(max(c.Instances(), 1))
	if rand.Float64() < share*unused.Seconds()/x.cost {
		c.Metrics.CreditMoved(name, telemetry.CreditFallback, x.cost)
		return creditResult{}
	}
	return creditResult{err: failRetry("admit-call", bamboorail.KindQuotaExceeded, quota.Spread(fallbackRetry), errNoHolder)}
}
