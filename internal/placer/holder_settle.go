package placer

import (
	"time"

	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
)

// EndedPlacement is the end of a placement.
type EndedPlacement struct {
	Ticket uint64
	Result balance.Result
	// Leaving is set if the target said in an answer that it leaves.
	Leaving bool
	// Timing are the times of the events of the answer.
	Timing adapters.Timing
}

// Settle records the ends of placements.
func (h *Holder) Settle(list []EndedPlacement) {
	h.usage.recordEnded(len(list))
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	defer h.grantShared(now)
	for _, e := range list {
		if h.permits.Release(e.Ticket, endOf(e.Result), now) || h.releaseShared(e, now) {
			continue
		}
		if e.Timing != (adapters.Timing{}) {
			h.planner.RecordTiming(e.Ticket, e.Timing, now)
		}
		if e.Result == balance.Answered {
			h.planner.RecordAnswer(e.Ticket, now)
		}
		c, ok := h.planner.End(e.Ticket)
		if !ok {
			continue
		}
		if e.Leaving {
			h.Fleet.MarkLeaving(c.Target, now)
		}
		switch e.Result {
		case balance.Answered:
			h.planner.RecordLoaded(c.Target, c.Key, now)
		case balance.Refused:
			h.planner.RecordRefusal(c, now)
		case balance.Misdirected:
			h.planner.RecordMissing(c, now)
		case balance.Unreachable, balance.Dropped:
			h.planner.MarkSuspect(c.Target.Name, now)
		case balance.Failed, balance.CutShort, balance.Abandoned:
		}
	}
}
