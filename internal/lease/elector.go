package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// pollInterval is the mean interval between polls of all leases.
	pollInterval = 1500 * time.Millisecond
	// maxClaimJitter bounds the random delay before a claim, which spreads the
	// writes of several instances.
	maxClaimJitter = 200 * time.Millisecond
	// crossZoneClaimDelay is the time for which a free lease of another zone is
	// left to the instances of that zone.
	crossZoneClaimDelay = 3 * time.Second
	// yieldThreshold is the time for which instances of a zone send requests to
	// a holder of another zone before it returns their lease. A pause longer
	// than maxRequestGap restarts it.
	yieldThreshold = 2 * time.Second
	maxRequestGap  = time.Second
	// minYieldInterval is the minimum time between two returns of a lease: a
	// returned lease that is not claimed has no holder for crossZoneClaimDelay
	// and the gap.
	minYieldInterval = 30 * time.Second
	// reclaimDelay is the time for which an instance of another zone leaves a
	// lease that it returned to the zone.
	reclaimDelay = 8 * time.Second
	// renewRetryInterval is the delay after a renewal that failed.
	renewRetryInterval = 250 * time.Millisecond
	// releaseRetryInterval is the delay after a release that failed. It is
	// short because a process has little time at shutdown.
	releaseRetryInterval = 25 * time.Millisecond
)

// Candidate is a lease that an instance may claim.
type Candidate struct {
	Lease *Lease
	// CrossZone is set for leases of other zones, which are claimed only if no
	// instance of their zone does.
	CrossZone bool
	// ClaimDelay is the time for which a free lease is left to instances with
	// more processor time.
	ClaimDelay time.Duration
}

// effectiveClaimDelay returns the time for which a free lease is left to other
// instances.
func (c *candidate) effectiveClaimDelay(now time.Duration) time.Duration {
	switch {
	case !c.CrossZone:
		return c.ClaimDelay
	case c.lastYield > 0 && now-c.lastYield < minYieldInterval:
		return reclaimDelay
	}
	return crossZoneClaimDelay + c.ClaimDelay
}

// Elector renews the leases of an instance and claims lapsed ones.
type Elector struct {
	kind  string
	store bamboorail.StaleLister
	// reader lists the leases for a poll. It may lag behind store, which confirms
	// that a lease is free before it is claimed.
	reader     bamboorail.StaleLister
	candidates map[string]*candidate // by object key
	timing     Timing
	clock      Clock
	log        hclog.Logger
	wake       chan struct{}
	// resigned reports whether this instance should leave the leases to others.
	resigned func() bool
	// claimingStopped is set once no more leases are claimed.
	claimingStopped atomic.Bool
}

type candidate struct {
	Candidate
	// freeSince is the time at which the lease was first found claimable, or 0.
	freeSince   time.Duration
	lastRenewal time.Duration
	// lastYield is the time at which the lease was last returned to its zone,
	// or 0.
	lastYield time.Duration
}

// NewElector returns an elector for the leases of one kind of object.
func NewElector(kind string, store bamboorail.StaleLister, list []Candidate, t Timing, c Clock, log hclog.Logger) *Elector {
	e := &Elector{
		kind: kind, store: store, reader: store, candidates: map[string]*candidate{}, timing: t, clock: c, log: log, wake: make(chan struct{}, 1),
		resigned: func() bool { return false },
	}
	for _, entry := range list {
		e.candidates[entry.Lease.key] = &candidate{Candidate: entry}
	}
	return e
}

// SetReader lets the elector poll the leases through another instance, so that
// the store is not polled by every instance. It must be called before Run.
func (e *Elector) SetReader(r bamboorail.StaleLister) { e.reader = r }

// SetResigned sets the function that reports whether this instance should leave the
// leases to others. It must be called before Run.
func (e *Elector) SetResigned(f func() bool) { e.resigned = f }

// PollNow triggers a poll of the leases before the next one is due, such as
// after an instance has answered that it no longer holds the local zone's
// lease.
func (e *Elector) PollNow() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run renews and claims leases until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	g := task.NewGroup(ctx)
	g.Start("renew", func(ctx context.Context) error { return task.Every(ctx, renewRetryInterval, e.renew) })
	g.Start("poll", e.poll)
	return g.Wait()
}

// renew renews the held leases that are due, and retries pending releases.
func (e *Elector) renew(ctx context.Context) {
	for _, c := range e.candidates {
		if c.Lease.hasPendingRelease() {
			e.release(ctx, c)
		}
		if !c.Lease.Leading() || e.clock()-c.lastRenewal < e.timing.RenewInterval {
			continue
		}
		sent := e.clock()
		if err := c.Lease.Renew(ctx); err != nil {
			e.log.Warn("lease not renewed", "key", c.Lease.key, "error", err)
			continue
		}
		c.lastRenewal = sent
	}
}

func (e *Elector) poll(ctx context.Context) error {
	for {
		e.pollOnce(ctx)
		t := time.NewTimer(pollInterval/2 + rand.N(pollInterval))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		case <-e.wake:
			t.Stop()
			e.refresh(ctx)
		}
	}
}

// refresh reads the leases of the local zone, of which a list may be outdated.
func (e *Elector) refresh(ctx context.Context) {
	for _, c := range e.candidates {
		if c.CrossZone {
			continue
		}
		if err := c.Lease.refresh(ctx); err != nil {
			e.log.Debug("failed to read lease", "key", c.Lease.key, "error", err)
		}
	}
}

// pollOnce reads all leases and claims the free ones.
func (e *Elector) pollOnce(ctx context.Context) {
	if err := e.observe(ctx, e.reader); err != nil {
		e.log.Debug("failed to read leases", "error", err)
		return
	}
	if e.reader != e.store && e.isAnyClaimable() {
		if err := e.observe(ctx, e.store); err != nil {
			e.log.Debug("failed to confirm free leases", "error", err)
			return
		}
	}
	if e.resigned() {
		e.resign(ctx)
		return
	}
	for _, c := range e.candidates {
		e.yield(ctx, c)
		if !c.Lease.Claimable() {
			c.freeSince = 0
			continue
		}
		now := e.clock()
		if c.freeSince == 0 {
			c.freeSince = now
		}
		if now-c.freeSince < c.effectiveClaimDelay(now) {
			continue
		}
		if err := task.Sleep(ctx, rand.N(maxClaimJitter)); err != nil {
			return
		}
		e.claim(ctx, c)
	}
}

// observe reads all leases.
func (e *Elector) observe(ctx context.Context, from bamboorail.StaleLister) error {
	objects, err := from.ListStale(ctx, e.kind)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if c := e.candidates[o.Key]; c != nil {
			c.Lease.Observe(o)
		}
	}
	return nil
}

// isAnyClaimable reports whether some lease may be free.
func (e *Elector) isAnyClaimable() bool {
	for _, c := range e.candidates {
		if c.Lease.Claimable() {
			return true
		}
	}
	return false
}

// claim claims a lease unless claiming has stopped, also while the claim was in
// progress. An instance that shuts down still polls, because its calls have to
// find the next holder.
func (e *Elector) claim(ctx context.Context, c *candidate) {
	if e.claimingStopped.Load() || e.resigned() {
		return
	}
	if err := c.Lease.Claim(ctx); err != nil {
		e.log.Debug("lease not claimed", "key", c.Lease.key, "error", err)
		return
	}
	if e.claimingStopped.Load() {
		// Release may already have passed this lease.
		e.release(ctx, c)
	}
}

// yield returns a lease to the zone that requests it.
func (e *Elector) yield(ctx context.Context, c *candidate) {
	if !c.CrossZone || !c.Lease.requestedByZone(yieldThreshold, maxRequestGap) || (c.lastYield > 0 && e.clock()-c.lastYield <= minYieldInterval) {
		return
	}
	c.lastYield = e.clock()
	e.log.Info("lease returned to its zone", "key", c.Lease.key)
	e.release(ctx, c)
}

// resign releases the held leases, which others may claim.
func (e *Elector) resign(ctx context.Context) {
	for _, c := range e.candidates {
		c.freeSince = 0
		if c.Lease.Leading() {
			e.log.Info("lease left to others", "key", c.Lease.key)
			e.release(ctx, c)
		}
	}
}

// StopClaiming keeps the held leases and claims no others.
func (e *Elector) StopClaiming() { e.claimingStopped.Store(true) }

// Release releases the held leases, and retries until the store has recorded
// the releases or ctx ends. No lease is claimed afterwards.
func (e *Elector) Release(ctx context.Context) {
	e.StopClaiming()
	for {
		pending := false
		for _, c := range e.candidates {
			e.release(ctx, c)
			pending = pending || c.Lease.hasPendingRelease()
		}
		if !pending || task.Sleep(ctx, releaseRetryInterval) != nil {
			return
		}
	}
}

func (e *Elector) release(ctx context.Context, c *candidate) {
	if err := c.Lease.Release(ctx); err != nil {
		e.log.Warn("lease not released", "key", c.Lease.key, "error", err)
	}
}
