package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// minBlockTime and maxBlockTime bound the time for which an engine gets no orders that
	// accepts none, doubled with each conflict. It waits for calls, which last seconds.
	minBlockTime = 500 * time.Millisecond
	maxBlockTime = 4 * time.Second
)

// conflict is an order that an engine did not accept. Either it has accepted another one, or
// an order that it accepted before waits for calls to end.
type conflict struct {
	number uint64
	// at is the time of the answer, zero if there is no open conflict.
	at time.Time
	// held is set if the engine answered that it holds the adapter already.
	held bool
	// blocks counts the conflicts in a row that were no matter of the number.
	blocks       int
	blockedUntil time.Time
}

// RecordConflict records that an engine did not accept an order with its number.
func (p *Planner) RecordConflict(o bamboorail.AdapterOrder, now time.Time) {
	if e := p.engine(o.Target); e != nil {
		e.conflict.number, e.conflict.at, e.conflict.held = o.Orders, now, false
		e.desync(now)
	}
}

// sync reports whether a report that was requested at the given time explains the conflict. If
// it lists no other order, the engine is blocked.
func (c *conflict) sync(orders uint64, asked, now time.Time) bool {
	switch {
	case c.at.IsZero():
	case orders > c.number:
		c.at, c.blocks = time.Time{}, 0
	case asked.Sub(c.at) < maxReportLag:
		// The report may have been made before the engine accepted another order.
		return false
	case c.held:
		c.at = time.Time{}
	default:
		c.at = time.Time{}
		c.blockedUntil = now.Add(min(minBlockTime<<c.blocks, maxBlockTime))
		c.blocks = min(c.blocks+1, maxBlocks)
	}
	return true
}

// maxBlocks is the number of conflicts after which the time does not double any more.
const maxBlocks = 3
