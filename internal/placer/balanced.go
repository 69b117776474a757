package placer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/task"
)

// chooseBalanced selects a target of a plain service. If all targets are brittle and busy,
// it waits for one.
func (c *Chooser) chooseBalanced(ctx context.Context, a relay.ChooseRequest) (relay.Reservation, error) {
	now := time.Now()
	if err := c.Quarantine.check(a.Call); err != nil {
		return relay.Reservation{}, err
	}
	if err := c.checkQuiet(a.Service.Name, now); err != nil {
		return relay.Reservation{}, err
	}
	end := earlier(now.Add(maxRoomWait), a.StartBy.Add(-dispatchMargin))
	for {
		reservation, busyFor, err := c.tryBalanced(ctx, a)
		if err == nil || busyFor == 0 || time.Now().Add(busyFor).After(end) {
			return reservation, err
		}
		if err := task.Sleep(ctx, busyFor); err != nil {
			return reservation, fail("choose-target", bamboorail.KindCancelled, err)
		}
	}
}

// tryBalanced selects a target of a plain service that admits the call now. If brittle
// targets are busy, it returns the time after which one should be tried again.
func (c *Chooser) tryBalanced(ctx context.Context, a relay.ChooseRequest) (relay.Reservation, time.Duration, error) {
	const op = "choose-target"
	now := time.Now()
	targets := slices.DeleteFunc(c.openTargets(a.Service.Name, now), func(e bamboorail.TargetEntry) bool { return !hasSoftware(e, a) })
	shared, others := c.splitShared(a, targets, now)
	if len(shared) > 0 {
		r, err := c.chooseShared(ctx, a, shared)
		if err == nil || len(others) == 0 || ctx.Err() != nil {
			return r, 0, err
		}
	}
	targets, now = others, time.Now()
	timeout := cmp.Or(a.Route.Timeout, defaultTimeout) - time.Since(a.Received)
	var retryAfter, busyFor time.Duration
	for {
		target, ok := c.Balancer.Choose(targets, a.Avoid, now)
		switch {
		case ok:
		case busyFor > 0:
			after := max(retryAfter, noCapacityRetry)
			return relay.Reservation{}, busyFor, failRetry(op, bamboorail.KindOverloaded, after+rand.N(after/retrySpread), errTargetsBusy)
		case retryAfter > 0:
			return relay.Reservation{}, 0, failRetry(op, bamboorail.KindOverloaded, retryAfter, errTargetsLimited)
		default:
			return relay.Reservation{}, 0, failRetry(op, bamboorail.KindNoTarget, noEngineRetry, errNoTarget)
		}
		admitted := c.acquire(ctx, target, timeout, now)
		if admitted.granted {
			return c.observe(a, relay.Reservation{Target: target, ReadyAt: now, Valid: c.valid(target), Done: c.balancedDone(target, admitted.permit)}), 0, nil
		}
		c.Balancer.Done(target.ID, balance.Abandoned, 0, now)
		targets = slices.DeleteFunc(targets, func(e bamboorail.TargetEntry) bool { return e.ID == target.ID })
		if after := max(admitted.retryAfter, minRetryDelay); retryAfter == 0 || after < retryAfter {
			retryAfter = after
		}
		if again := max(admitted.again, minRoomRetry); admitted.busy && (busyFor == 0 || again < busyFor) {
			busyFor = again
		}
	}
}

// openTargets returns the targets of a service that accept requests now.
func (c *Chooser) openTargets(service string, now time.Time) []bamboorail.TargetEntry {
	return slices.DeleteFunc(c.Fleet.Service(service), func(e bamboorail.TargetEntry) bool {
		reason, _ := c.Advisories.Check(e.ID, now)
		return reason != advisory.ReasonNone
	})
}

// checkQuiet returns an error if no target of a service accepts requests, with the
// time until the first one does.
func (c *Chooser) checkQuiet(service string, now time.Time) error {
	if c.Advisories.IsEmpty() {
		return nil
	}
	var first time.Time
	for _, e := range c.Fleet.Service(service) {
		reason, until := c.Advisories.Check(e.ID, now)
		if reason == advisory.ReasonNone {
			return nil
		}
		if reason != advisory.ReasonLeaving && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	if first.IsZero() {
		return nil
	}
	after := max(first.Sub(now), minRetryDelay)
	return failRetry("choose-target", bamboorail.KindOverloaded, after+rand.N(after/retrySpread+1), errTargetsQuiet)
}
