package placer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/quota"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// creditTimeout bounds a request for credit, so that a call that waits for 100 ms can be
	// requested in another zone. The credit of a late answer is lost.
	creditTimeout = 60 * time.Millisecond
	// minCreditBackoff is the time for which a holder that did not answer is skipped. It
	// doubles with each failure up to maxHolderBackoff.
	minCreditBackoff = 250 * time.Millisecond
	// creditFallbackShare is the part of a limit that the instances without access to a
	// holder use together.
	creditFallbackShare = 0.1
	// fallbackRetry is the retry time of a call that the fallback share does not cover.
	fallbackRetry = time.Second
	// hopelessRetry is the retry time of a call that no bucket can ever hold.
	hopelessRetry = 10 * time.Second
	// limitedLogInterval is the minimum time between the log lines on one workspace.
	limitedLogInterval = time.Second
	// tenureInterval is the interval of the checks for a new lease term, besides requests.
	tenureInterval = 250 * time.Millisecond
	// creditUpkeep is the interval at which unused state is removed.
	creditUpkeep = time.Minute
)

var (
	errQuotaExceeded = errors.New("the calls of the workspace exceed its quota")
	errCostTooHigh   = errors.New("the call costs more than the quota of its workspace ever permits")
	errNoCreditYet   = errors.New("no holder granted credit in time")
)

// CreditPeers sends requests for credit to other instances.
type CreditPeers interface {
	Credit(ctx context.Context, address string, r *wire.CreditRequest) (*wire.CreditReply, error)
}

// CreditConfig configures the quotas at an instance.
type CreditConfig struct {
	Instance string
	// Zones lists the local zone first, then the others by distance.
	Zones []ZoneHolder
	Peers CreditPeers
	Table func() *route.Table
	// Instances returns an estimate of the number of all instances.
	Instances func() int
	// Contacts returns the number of the instances of the local zone, including this one,
	// that took this one for its holder within a time.
	Contacts func(within time.Duration) int
	Metrics  *telemetry.Metrics
	Log      hclog.Logger
}

// Credit admits calls within the quotas of their workspaces. It spends credit that it gets
// from the holder of a zone, and is part of that holder if this instance holds a zone.
type Credit struct {
	CreditConfig
	holders map[string]*zoneCredit
	// wake signals waiting calls, transfer signals that the buckets of a zone fall short.
	wake, transfer chan struct{}

	mu     sync.Mutex
	wallet *quota.Wallet
	queues map[string]*creditQueue
	// backoffs are the holders that did not answer, by zone and address.
	backoffs map[string]backoff
	// shareUsed are the times at which the fallback share was last considered, logged those
	// of the last log lines, by workspace.
	shareUsed, logged map[string]time.Time
}

// creditQueue is the queue of the calls of a workspace that wait for credit.
type creditQueue struct {
	waiters []*creditWaiter
	// askAt is the time of the next request to the holder, asked the least cost in the last
	// one.
	askAt time.Time
	asked float64
}

type creditWaiter struct {
	workspace bamboorail.Workspace
	cost      float64
	until     time.Time
	// done receives the result, once.
	done chan creditResult
}

type creditResult struct {
	spending quota.Spending
	err      error
}

// NewCredit returns the quotas of an instance.
func NewCredit(c CreditConfig) *Credit {
	g := &Credit{
		CreditConfig: c, holders: map[string]*zoneCredit{}, wake: make(chan struct{}, 1), transfer: make(chan struct{}, 1),
		wallet: quota.NewWallet(), queues: map[string]*creditQueue{}, backoffs: map[string]backoff{}, shareUsed: map[string]time.Time{},
		logged: map[string]time.Time{},
	}
	for n, z := range c.Zones {
		g.holders[z.Zone] = &zoneCredit{
			zone: z, own: n == 0, zones: len(c.Zones), quota: g.quotaOf, contacts: c.Contacts, metrics: c.Metrics, log: c.Log,
		}
	}
	return g
}

// quotaOf returns the quota of a workspace in the current configuration.
func (c *Credit) quotaOf(workspace string) (bamboorail.Quota, bool) {
	table := c.Table()
	if table == nil {
		return bamboorail.Quota{}, false
	}
	w, known := table.Workspace(workspace)
	return w.Quota, known
}

// Admit spends the cost of a call on the quota of its workspace, and waits for credit for at
// most a time. The caller calls refund if the call was not run. The error is of kind
// quota-exceeded and has a retry time.
func (c *Credit) Admit(ctx context.Context, w bamboorail.Workspace, cost float64, wait time.Duration) (refund func(), err error) {
	const op = "admit-call"
	if !w.Quota.IsLimited() || cost <= 0 {
		return func() {}, nil
	}
	if cost > w.Quota.Rate+w.Quota.Burst {
		return nil, c.refuse(w.Name, op, quota.Spread(hopelessRetry), errCostTooHigh)
	}
	now := time.Now()
	c.mu.Lock()
	c.wallet.Record(w.Name, cost, now)
	if s, ok := c.wallet.Spend(w.Name, cost, now); ok {
		c.mu.Unlock()
		return c.refund(s), nil
	}
	denied := c.wallet.Denied(w.Name, cost, now)
	if denied > 0 && denied >= wait {
		c.mu.Unlock()
		return nil, c.refuse(w.Name, op, quota.Spread(denied), errQuotaExceeded)
	}
	x := &creditWaiter{workspace: w, cost: cost, until: now.Add(wait), done: make(chan creditResult, 1)}
	q := c.queues[w.Name]
	if q == nil {
		q = &creditQueue{askAt: now.Add(denied)}
		c.queues[w.Name] = q
	}
	q.waiters = append(q.waiters, x)
	c.mu.Unlock()
	signal(c.wake)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var r creditResult
	select {
	case r = <-x.done:
	case <-timer.C:
		r = c.giveUp(x, failRetry(op, bamboorail.KindQuotaExceeded, quota.Spread(fallbackRetry/2), errNoCreditYet))
	case <-ctx.Done():
		r = c.giveUp(x, fail(op, bamboorail.KindCancelled, ctx.Err()))
	}
	if r.err != nil {
		return nil, c.refuse(w.Name, op, bamboorail.FailureOf(r.err).RetryAfter, r.err)
	}
	return c.refund(r.spending), nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// refund returns the function that returns the credit of a call that was not run.
func (c *Credit) refund(s quota.Spending) func() {
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wallet.Refund(s)
	})
}

// refuse counts a refused call and returns its error.
func (c *Credit) refuse(workspace, op string, retry time.Duration, err error) error {
	if bamboorail.KindOf(err) == bamboorail.KindCancelled {
		return err
	}
	c.Metrics.QuotaExceeded(workspace)
	now := time.Now()
	c.mu.Lock()
	due := now.Sub(c.logged[workspace]) >= limitedLogInterval
	if due {
		c.logged[workspace] = now
	}
	c.mu.Unlock()
	if due {
		c.Log.Info("workspace is limited", "workspace", workspace, "retry-ms", retry.Milliseconds(), "reason", err)
	}
	if bamboorail.KindOf(err) == bamboorail.KindQuotaExceeded {
		return err
	}
	return failRetry(op, bamboorail.KindQuotaExceeded, retry, err)
}

// giveUp removes a call that no longer waits. It returns the result that the call got
// meanwhile, or else the failure.
func (c *Credit) giveUp(x *creditWaiter, failure error) creditResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[x.workspace.Name]
	if q != nil {
		q.waiters = slices.DeleteFunc(q.waiters, func(o *creditWaiter) bool { return o == x })
		c.dropIdle(x.workspace.Name, q)
	}
	select {
	case r := <-x.done:
		if r.err == nil && bamboorail.KindOf(failure) == bamboorail.KindCancelled {
			c.wallet.Refund(r.spending)
			return creditResult{err: failure}
		}
		return r
	default:
		return creditResult{err: failure}
	}
}

// dropIdle removes a queue without calls. The caller holds the lock.
func (c *Credit) dropIdle(workspace string, q *creditQueue) {
	if len(q.waiters) == 0 {
		delete(c.queues, workspace)
	}
}

// Run requests the credit of the calls that wait, and moves credit between zones, until ctx
// ends.
func (c *Credit) Run(ctx context.Context) error {
	g := task.NewGroup(ctx)
	g.Start("requests", c.runRequests)
	g.Start("transfers", c.runTransfers)
	g.Start("tenure", func(ctx context.Context) error {
		return task.Every(ctx, tenureInterval, func(context.Context) {
			if table := c.Table(); table != nil && table.HasWorkspaces() {
				c.holders[c.Zones[0].Zone].begin(time.Now())
			}
		})
	})
	g.Start("upkeep", func(ctx context.Context) error {
		return task.Every(ctx, creditUpkeep, func(context.Context) { c.expire(time.Now()) })
	})
	return g.Wait()
}

func (c *Credit) expire(now time.Time) {
	for _, h := range c.holders {
		h.retain()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallet.Expire(now)
	for name, at := range c.logged {
		if now.Sub(at) > creditUpkeep {
			delete(c.logged, name)
		}
	}
	for key, b := range c.backoffs {
		if now.Sub(b.until) > creditUpkeep {
			delete(c.backoffs, key)
		}
	}
}
