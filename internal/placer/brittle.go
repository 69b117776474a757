package placer

import (
	"context"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/task"
)

// maxRoomWait bounds the wait of a call for room at a brittle target.
const maxRoomWait = 350 * time.Millisecond

// hasRoom reports whether a target has room for a call. A brittle one gets no more calls
// of this instance at once than its share of the slots.
func (c *Chooser) hasRoom(e bamboorail.TargetEntry, now time.Time) bool {
	if !c.Limits.IsBrittle(e.ID) {
		return true
	}
	share := max(e.Slots/max(c.Instances(), 1), 1)
	return c.Advisories.RefusalPause(e.ID, now) == 0 && c.Balancer.InFlight(e.ID) < share
}

// awaitRoom returns the targets with room. If there are some, but all are brittle and
// busy, it waits for one.
func (c *Chooser) awaitRoom(ctx context.Context, a relay.ChooseRequest, targets func(now time.Time) []bamboorail.TargetEntry) []bamboorail.TargetEntry {
	for end := earlier(time.Now().Add(maxRoomWait), a.StartBy.Add(-dispatchMargin)); ; {
		now := time.Now()
		all := targets(now)
		list := slices.DeleteFunc(slices.Clone(all), func(e bamboorail.TargetEntry) bool { return !c.hasRoom(e, now) })
		if len(list) > 0 || len(all) == 0 || !now.Before(end) || task.Sleep(ctx, minRetryDelay) != nil {
			return list
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ownChoice is the source of a placement that this instance made without a holder.
const ownChoice = "instance"

// reportRefusal records that a target refused a call for want of room. source is who placed
// the call, known whether this instance took the target for brittle then.
func (c *Chooser) reportRefusal(id bamboorail.TargetID, source string, known bool) {
	c.Metrics.TargetRefused(known)
	if known || c.Limits.IsBrittle(id) {
		c.Log.Info("brittle target refused a call", "target", id.Name, "born", id.StartMillis, "known", known, "placed-by", source,
			"in-flight", c.Balancer.InFlight(id))
	}
}

// balancedDone returns the function that ends a call which the balancer placed.
func (c *Chooser) balancedDone(id bamboorail.TargetID) func(balance.Result, time.Duration) {
	known := c.Limits.IsBrittle(id)
	return func(r balance.Result, took time.Duration) {
		now := time.Now()
		if r == balance.Refused {
			c.Advisories.RecordRefusal(id, c.Instances(), now)
			c.reportRefusal(id, ownChoice, known)
		}
		c.Balancer.Done(id, r, took, now)
	}
}
