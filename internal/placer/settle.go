package placer

import (
	"context"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/task"
)

// settleFunc returns the function that ends a placement. It completes end.
func (c *Chooser) settleFunc(zone string, target bamboorail.TargetEntry, end *EndedPlacement) func(balance.Result, time.Duration) {
	known := c.Limits.IsBrittle(target.ID)
	return func(r balance.Result, took time.Duration) {
		if r == balance.Refused {
			c.reportRefusal(target.ID, "holder of "+zone, known)
		}
		c.recordResult(target.ID.Name, r)
		c.recordCallTime(target.Service, r, took)
		end.Result, end.Leaving = r, c.Advisories.IsLeaving(target.ID)
		c.reportEnd(zone, *end)
	}
}

// reportEnd reports the end of a placement or permit to this instance's own holder of the
// zone, or queues it for another one.
func (c *Chooser) reportEnd(zone string, end EndedPlacement) {
	c.removeOpen(zone, end.Ticket)
	for _, z := range c.Zones {
		if z.Zone == zone && z.Local != nil && z.Lease.Leading() {
			z.Local.Settle([]EndedPlacement{end})
			return
		}
	}
	c.requeueEnded(zone, []EndedPlacement{end})
}

// settleSoon reports to the holder of a zone without waiting for the settle interval.
func (c *Chooser) settleSoon(zone string) {
	select {
	case c.urgent[zone] <- struct{}{}:
	default:
	}
}

// runUrgent reports to the holder of a zone when there is something urgent.
func (c *Chooser) runUrgent(ctx context.Context, z ZoneHolder) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.urgent[z.Zone]:
			c.settle(ctx, z)
		}
	}
}

func (c *Chooser) takeEnded(zone string) []EndedPlacement {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.ended[zone]
	delete(c.ended, zone)
	return list
}

func (c *Chooser) requeueEnded(zone string, list []EndedPlacement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ended[zone])+len(list) <= maxPendingEnded {
		c.ended[zone] = append(c.ended[zone], list...)
	}
}

func endedMessages(list []EndedPlacement) []*wire.EndedPlacement {
	out := make([]*wire.EndedPlacement, 0, len(list))
	for _, e := range list {
		out = append(out, &wire.EndedPlacement{
			Ticket: e.Ticket, Result: int32(e.Result), Leaving: e.Leaving, FirstEventMicros: e.Timing.FirstEvent.Microseconds(),
			EventMicros: e.Timing.Event.Microseconds(), LongestGapMicros: e.Timing.LongestGap.Microseconds(),
		})
	}
	return out
}

// Run reports ended and open placements, and blocks what crashes targets, until ctx
// ends.
func (c *Chooser) Run(ctx context.Context) error {
	g := task.NewGroup(ctx)
	for _, z := range c.Zones {
		g.Start("urgent "+z.Zone, func(ctx context.Context) error { return c.runUrgent(ctx, z) })
	}
	g.Start("settle", func(ctx context.Context) error {
		return task.Every(ctx, settleInterval, func(ctx context.Context) {
			c.object()
			for _, z := range c.Zones {
				c.settle(ctx, z)
			}
			c.Quarantine.decide(c.leads())
		})
	})
	return g.Wait()
}

func (c *Chooser) settle(ctx context.Context, z ZoneHolder) {
	list, breaks, limits := c.takeEnded(z.Zone), c.takeBreaks(z.Zone), c.takeLimits(z.Zone)
	open, reconcile := c.openReport(z.Zone, time.Now())
	blocks := c.takeBlocks(z.Zone, time.Now())
	if len(list) == 0 && len(breaks) == 0 && len(limits) == 0 && len(blocks) == 0 && !reconcile {
		return
	}
	if z.Local != nil && z.Lease.Leading() {
		z.Local.Settle(list)
		return
	}
	requeue := func() {
		c.requeueEnded(z.Zone, list)
		c.requeueBreaks(z.Zone, breaks)
		c.requeueLimits(z.Zone, limits)
	}
	_, address := z.Lease.Holder()
	if address == "" || c.inBackoff(z) {
		requeue()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	now := time.Now()
	reply, err := c.Peers.Settle(ctx, address, &wire.SettleRequest{
		Zone: z.Zone, Instance: c.Instance, Ended: endedMessages(list), Reconcile: reconcile, Open: open,
		Broken: breakMessages(breaks, now), Limits: limitMessages(limits, advisory.Requests, now), RefusalLimits: limitMessages(limits, advisory.Refusals, now),
		Blocks: blocks,
	})
	if err != nil {
		requeue()
		c.backOff(z)
		c.Log.Debug("ended placements not reported", "zone", z.Zone, "count", len(list), "error", err)
		return
	}
	c.learnBlocks(z.Zone, reply.GetBlocks())
	if !reply.GetHolder() {
		// A new holder does not know the placements of the previous one.
		c.Log.Debug("ended placements dropped", "zone", z.Zone, "count", len(list))
		c.requeueBreaks(z.Zone, breaks)
		c.requeueLimits(z.Zone, limits)
	}
}
