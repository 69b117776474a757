package placer

import (
	"maps"
	"slices"
	"time"
)

const (
	// reconcileInterval is the time between reports of all open placements.
	reconcileInterval = time.Second
	// reconcileAfter is the time since the last placement in which a zone's
	// holder gets reports though none is open: the answer to a question may have
	// been lost.
	reconcileAfter = 5 * time.Second
)

// openPlacements are the placements of one zone that this instance holds.
type openPlacements struct {
	tickets        map[uint64]bool
	used, reported time.Time
}

// opened notes a placement.
func (c *Chooser) opened(zone string, ticket uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[zone].tickets[ticket], c.open[zone].used = true, now
}

// closed notes the end of a placement.
func (c *Chooser) closed(zone string, ticket uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open[zone].tickets, ticket)
}

// reconciles returns the open placements of a zone, and whether its holder is
// to be told of them now.
func (c *Chooser) reconciles(zone string, now time.Time) ([]uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[zone]
	if now.Sub(o.reported) < reconcileInterval || (len(o.tickets) == 0 && now.Sub(o.used) > reconcileAfter) {
		return nil, false
	}
	o.reported = now
	return slices.Collect(maps.Keys(o.tickets)), true
}

// hear takes in that an instance lives.
func (h *Holder) hear(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.Hear(instance, time.Now())
}

// reconcile ends the placements of an instance that it does not hold.
func (h *Holder) reconcile(instance string, open []uint64) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.callWaiting(now)
	if n := h.planner.Reconcile(instance, open, now); n > 0 {
		h.Log.Info("placements ended that nobody holds", "zone", h.Zone, "peer", instance, "count", n, "open", len(open))
	}
}
