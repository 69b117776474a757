package placer

import (
	"maps"
	"slices"
	"time"
)

const (
	// reconcileInterval is the interval between reports of all open placements.
	reconcileInterval = time.Second
	// reconcileAfter is the time since the last placement for which a zone's
	// holder receives reports even if no placement is open: the answer to a
	// placement request may have been lost.
	reconcileAfter = 5 * time.Second
)

// openPlacements are the placements of one zone that this instance holds.
type openPlacements struct {
	tickets                  map[uint64]bool
	lastPlaced, lastReported time.Time
}

func (c *Chooser) addOpen(zone string, ticket uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[zone].tickets[ticket], c.open[zone].lastPlaced = true, now
}

func (c *Chooser) removeOpen(zone string, ticket uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open[zone].tickets, ticket)
}

// openReport returns the open placements of a zone, and whether a report to its
// holder is due.
func (c *Chooser) openReport(zone string, now time.Time) ([]uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[zone]
	if now.Sub(o.lastReported) < reconcileInterval || (len(o.tickets) == 0 && now.Sub(o.lastPlaced) > reconcileAfter) {
		return nil, false
	}
	o.lastReported = now
	return slices.Collect(maps.Keys(o.tickets)), true
}

// recordContact records a message from an instance.
func (h *Holder) recordContact(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.RecordContact(instance, time.Now())
}

// reconcile ends the placements that the planner attributes to an instance but
// that the instance does not hold.
func (h *Holder) reconcile(instance string, open []uint64) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	h.permits.Reconcile(instance, open, now)
	h.shared.Reconcile(instance, open, now)
	h.adoptShared(instance, open, now)
	h.grantShared(now)
	if n := h.planner.Reconcile(instance, open, now); n > 0 {
		h.Log.Info("lost placements ended", "zone", h.Zone, "peer", instance, "count", n, "open", len(open))
	}
}
