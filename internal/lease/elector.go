package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
)

const (
	// pollInterval is the time between looks at all leases.
	pollInterval = 1500 * time.Millisecond
	// claimSpread is the longest random delay before a claim, so that few
	// instances write at once.
	claimSpread = 200 * time.Millisecond
	// strangerDelay is the time for which a lease of another zone is left to
	// the instances of that zone.
	strangerDelay = 3 * time.Second
	// yieldAfter is the time for which instances of a zone ask a stranger before
	// it gives their lease back; askedPause ends it.
	yieldAfter = 2 * time.Second
	askedPause = time.Second
	// yieldPause is the least time between two returns of a lease: one that
	// nobody takes has no holder for strangerDelay and the gap.
	yieldPause = 30 * time.Second
	// returnDelay is the time for which a stranger leaves a lease that it gave
	// back to the zone.
	returnDelay = 8 * time.Second
	// renewRetry is the pause after a renewal that failed.
	renewRetry = 250 * time.Millisecond
	// releaseRetry is the pause after a release that failed, short as a process
	// has little time at its end.
	releaseRetry = 25 * time.Millisecond
)

// Candidate is a lease that an instance may take.
type Candidate struct {
	Lease *Lease
	// CrossZone is set for leases of other zones, which are taken only if no
	// instance of their zone does.
	CrossZone bool
	// ClaimDelay is the time for which a free lease is left to instances with
	// more processor time.
	ClaimDelay time.Duration
}

// delay returns the time for which a free lease is left to others.
func (c *candidate) delay(now time.Duration) time.Duration {
	switch {
	case !c.CrossZone:
		return c.ClaimDelay
	case c.yielded > 0 && now-c.yielded < yieldPause:
		return returnDelay
	}
	return strangerDelay + c.ClaimDelay
}

// Elector renews the leases of an instance and claims those that lapsed.
type Elector struct {
	kind       string
	store      bamboorail.StaleLister
	candidates map[string]*candidate // by object key
	timing     Timing
	clock      Clock
	log        hclog.Logger
	wake       chan struct{}
	// leaving is set once no lease is claimed any more.
	leaving atomic.Bool
}

type candidate struct {
	Candidate
	// freeSince is the time at which the lease was first found claimable, or 0.
	freeSince time.Duration
	renewed   time.Duration
	// yielded is the time at which the lease was last given back, if it was.
	yielded time.Duration
}

// NewElector returns an elector of the leases of one kind of object.
func NewElector(kind string, store bamboorail.StaleLister, list []Candidate, t Timing, c Clock, log hclog.Logger) *Elector {
	e := &Elector{
		kind: kind, store: store, candidates: map[string]*candidate{}, timing: t, clock: c, log: log, wake: make(chan struct{}, 1),
	}
	for _, one := range list {
		e.candidates[one.Lease.key] = &candidate{Candidate: one}
	}
	return e
}

// PollNow asks for a look at the leases before the next one is due, such as after
// an instance says that it does not hold the own zone's any more.
func (e *Elector) PollNow() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run renews and claims until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	g := duty.NewGroup(ctx)
	g.Start("renew", func(ctx context.Context) error { return duty.Every(ctx, renewRetry, e.renew) })
	g.Start("poll", e.poll)
	return g.Wait()
}

// renew extends the leases that are held and due, and records releases that
// the store has not taken yet.
func (e *Elector) renew(ctx context.Context) {
	for _, c := range e.candidates {
		if c.Lease.owesRelease() {
			e.release(ctx, c)
		}
		if !c.Lease.Leading() || e.clock()-c.renewed < e.timing.RenewInterval {
			continue
		}
		sent := e.clock()
		if err := c.Lease.Renew(ctx); err != nil {
			e.log.Warn("lease not renewed", "key", c.Lease.key, "error", err)
			continue
		}
		c.renewed = sent
	}
}

func (e *Elector) poll(ctx context.Context) error {
	for {
		e.look(ctx)
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

// refresh reads the leases of the own zone, of which a list may be old.
func (e *Elector) refresh(ctx context.Context) {
	for _, c := range e.candidates {
		if c.CrossZone {
			continue
		}
		if err := c.Lease.refresh(ctx); err != nil {
			e.log.Debug("lease not read", "key", c.Lease.key, "error", err)
		}
	}
}

// look reads all leases and claims those that are free.
func (e *Elector) look(ctx context.Context) {
	objects, err := e.store.ListStale(ctx, e.kind)
	if err != nil {
		e.log.Debug("leases not read", "error", err)
		return
	}
	for _, o := range objects {
		if c := e.candidates[o.Key]; c != nil {
			c.Lease.Observe(o)
		}
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
		if now-c.freeSince < c.delay(now) {
			continue
		}
		if err := duty.Sleep(ctx, rand.N(claimSpread)); err != nil {
			return
		}
		e.claim(ctx, c)
	}
}

// claim takes a lease, unless the instance leaves or began to meanwhile. The
// calls of a leaving instance still need the looks, to find the next holder.
func (e *Elector) claim(ctx context.Context, c *candidate) {
	if e.leaving.Load() {
		return
	}
	if err := c.Lease.Claim(ctx); err != nil {
		e.log.Debug("lease not taken", "key", c.Lease.key, "error", err)
		return
	}
	if e.leaving.Load() {
		// Release may have passed this lease already.
		e.release(ctx, c)
	}
}

// yield gives a lease of another zone back that the zone asks for.
func (e *Elector) yield(ctx context.Context, c *candidate) {
	if !c.CrossZone || !c.Lease.askedFor(yieldAfter, askedPause) || (c.yielded > 0 && e.clock()-c.yielded <= yieldPause) {
		return
	}
	c.yielded = e.clock()
	e.log.Info("lease given back to its zone", "key", c.Lease.key)
	e.release(ctx, c)
}

// StopClaiming keeps the leases that are held and claims no other any more.
func (e *Elector) StopClaiming() { e.leaving.Store(true) }

// Release gives up the leases that are held, and tries until the store has
// recorded it or ctx ends; none is claimed afterwards.
func (e *Elector) Release(ctx context.Context) {
	e.StopClaiming()
	for {
		owed := false
		for _, c := range e.candidates {
			e.release(ctx, c)
			owed = owed || c.Lease.owesRelease()
		}
		if !owed || duty.Sleep(ctx, releaseRetry) != nil {
			return
		}
	}
}

func (e *Elector) release(ctx context.Context, c *candidate) {
	if err := c.Lease.Release(ctx); err != nil {
		e.log.Warn("lease not released", "key", c.Lease.key, "error", err)
	}
}
