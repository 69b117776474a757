package placer

import (
	"math"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/concurrency"
)

const (
	// maxRoomWait bounds the wait of a call for room at a brittle target, minRoomRetry is
	// the minimum time between two requests for it.
	maxRoomWait  = 350 * time.Millisecond
	minRoomRetry = 5 * time.Millisecond
	// minPause is the pause of the process from which a holder issues fewer permits. Requests
	// fail after acquireTimeout; shorter delays are common on a busy machine.
	minPause = 2 * acquireTimeout
)

// useSlots reports whether this instance may send a call, which the balancer counts already,
// to a brittle target without a holder. All instances together use a part of the slots.
func (c *Chooser) useSlots(th *throttle, t bamboorail.TargetEntry, now time.Time) bool {
	return c.useSlotShare(th, t, slotFallbackShare, now)
}

// useSlotShare is useSlots with the part of the slots that all instances use together.
func (c *Chooser) useSlotShare(th *throttle, t bamboorail.TargetEntry, part float64, now time.Time) bool {
	share := max(t.Slots/max(c.Instances(), 1), 1)
	if c.Advisories.RefusalPause(t.ID, now) > 0 || c.Balancer.InFlight(t.ID) > share {
		return false
	}
	callTime := c.callTime(t.Service)
	rate := part * float64(t.Slots) / callTime.Seconds()
	c.mu.Lock()
	// The calls that the holder admitted are still at the target.
	th.slotsUsed = latest(th.slotsUsed, c.holderContacts[t.Zone])
	c.mu.Unlock()
	return c.draw(&th.slotsUsed, rate, max(maxShareTime, unusedCalls*callTime), now)
}

// recordContact records an answer of the holder of a zone.
func (c *Chooser) recordContact(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holderContacts[zone] = time.Now()
}

// RecordPause records that the process was paused for a time, until now. Instances whose
// requests were not answered meanwhile skip the holder for a while, and use their shares of the
// slots of brittle targets.
func (h *Holder) RecordPause(d time.Duration) {
	if d < minPause {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partialUntil = time.Now().Add(minHolderBackoff + acquireTimeout)
}

// brittleSlots returns the slots of a brittle target for which the holder may issue permits. The
// caller holds the lock.
func (h *Holder) brittleSlots(slots int, now time.Time) int {
	if now.Before(h.partialUntil) {
		slots -= int(math.Ceil(slotFallbackShare * float64(slots)))
	}
	return slots
}

// Brittleness states which targets must not be sent calls that they may have no room for.
type Brittleness interface {
	IsBrittle(id bamboorail.TargetID) bool
	// MaxRefusals returns the refusals a second after which a target fails.
	MaxRefusals(id bamboorail.TargetID) float64
}

// noneBrittle is used by holders without Brittleness.
type noneBrittle struct{}

func (noneBrittle) IsBrittle(bamboorail.TargetID) bool      { return false }
func (noneBrittle) MaxRefusals(bamboorail.TargetID) float64 { return 0 }

// permitBit distinguishes the numbers of permits from those of placements.
const permitBit = 1 << (ticketBits - 1)

// newPermits returns a table for the lease with a fencing token.
func newPermits(fencingToken uint64) *concurrency.Table {
	return concurrency.NewTable(firstTicket(fencingToken) | permitBit)
}

// endOf returns how a call with a result ended at its target.
func endOf(r balance.Result) concurrency.End {
	switch r {
	case balance.Refused:
		return concurrency.Refused
	case balance.Unreachable, balance.Dropped, balance.Abandoned:
		return concurrency.GivenUp
	case balance.Answered, balance.Failed, balance.Misdirected, balance.CutShort:
	}
	return concurrency.Ended
}

const (
	// initialCallTime is assumed for a service until a call was answered.
	initialCallTime = time.Second
	// callTimeWeight is the weight of one call in the moving average of call times.
	callTimeWeight = 0.05
)

// recordCallTime records the time of an answered call.
func (c *Chooser) recordCallTime(service string, r balance.Result, took time.Duration) {
	if r != balance.Answered || took <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.callTimes[service]; ok {
		took = known + time.Duration(callTimeWeight*float64(took-known))
	}
	c.callTimes[service] = took
}

func (c *Chooser) callTime(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.callTimes[service]; ok {
		return known
	}
	return initialCallTime
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ownChoice is the source of a placement that this instance made without a holder.
const ownChoice = "instance"

// reportRefusal records that a target refused a call since it was full. source is who placed
// the call, known whether this instance took the target for brittle then.
func (c *Chooser) reportRefusal(id bamboorail.TargetID, source string, known bool) {
	c.Metrics.TargetRefused(known)
	if known || c.Limits.IsBrittle(id) {
		c.Log.Info("brittle target refused a call", "target", id.Name, "born", id.StartMillis, "known", known, "placed-by", source,
			"in-flight", c.Balancer.InFlight(id))
	}
}

// balancedDone returns the function that ends a call which the balancer placed, with the
// permit of the holder of the target's zone if it is not 0.
func (c *Chooser) balancedDone(t bamboorail.TargetEntry, permit uint64) func(balance.Result, time.Duration) {
	known, source := c.Limits.IsBrittle(t.ID), ownChoice
	if permit != 0 {
		source = "permit of " + t.Zone
	}
	return func(r balance.Result, took time.Duration) {
		now := time.Now()
		if r == balance.Refused {
			c.Advisories.RecordRefusal(t.ID, c.Instances(), now)
			c.reportRefusal(t.ID, source, known)
			c.markPressed(t.Service, now.Add(ownPressure))
		}
		c.recordCallTime(t.Service, r, took)
		c.Balancer.Done(t.ID, r, took, now)
		if permit != 0 {
			c.reportEnd(t.Zone, EndedPlacement{Ticket: permit, Result: r})
			c.settleSoon(t.Zone)
		}
	}
}
