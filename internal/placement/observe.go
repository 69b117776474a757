package placement

import (
	"fmt"
	"time"

	"bamboorail.example/bamboorail"
)

// BarrierAccepted records that the engine accepted an order of this term.
func (t *Table) BarrierAccepted() { t.fenced = t.checksFencing }

// ReportFailed records that the engine did not answer a report request. No
// other conclusion is drawn: the engine may still be running the requests that
// it was sent.
func (t *Table) ReportFailed() { t.missedReports++ }

// PendingBarrier returns the number of the latest barrier and reports whether
// the engine has yet to confirm it.
func (t *Table) PendingBarrier() (uint64, bool) { return t.barrier, t.passedBarrier < t.barrier }

// BarrierID returns the identifier of a barrier of a term.
func BarrierID(term, n uint64) string { return fmt.Sprintf("%d.%d", term, n) }

// Observe reconciles the table with a report of the engine. The table is
// authoritative for what this owner sent, the report for what earlier owners
// left on the engine.
func (t *Table) Observe(now time.Time, r bamboorail.EngineReport) {
	if t.incarnation != "" && r.Incarnation != t.incarnation {
		t.handleRestart()
	}
	t.incarnation = r.Incarnation
	t.missedReports = 0
	t.cold = r.BaseModel == ""
	t.leaving = r.Leaving
	if r.Slots > 0 {
		t.limits.Slots = r.Slots
	}
	if r.MaxBatch > 0 {
		t.limits.MaxBatch = r.MaxBatch
	}
	if n := t.barrierNumber(r.LastOrder); n > t.passedBarrier {
		t.passedBarrier = n
	}
	reported := map[bamboorail.Handle]bamboorail.HandleState{}
	for _, h := range r.Handles {
		reported[h.Handle] = h
		t.observeHandle(now, h)
	}
	t.dropMissing(reported)
}

// handleRestart drops the slots that the engine lost in a restart. The report
// that shows the restart may be late, so a handle with requests may have been
// loaded after the restart and is kept. If the engine lost it, it refuses the
// next request for it. Loads in progress fail by themselves.
func (t *Table) handleRestart() {
	for h, s := range t.slots {
		if s.state == slotReady && s.running == 0 && s.uncertainUntil == 0 {
			delete(t.slots, h)
		}
	}
	t.fenced = false
	t.barrier++
}

func (t *Table) barrierNumber(lastOrder string) uint64 {
	var term, n uint64
	if _, err := fmt.Sscanf(lastOrder, "%d.%d", &term, &n); err != nil || term != t.history.Term {
		return 0
	}
	return n
}

func (t *Table) observeHandle(now time.Time, h bamboorail.HandleState) {
	s, ok := t.slots[h.Handle]
	if !ok {
		s = &slot{handle: h.Handle, model: h.Model, state: slotReady, lastUse: now}
		if t.history.StateOf(h.Handle) == TermOwn {
			if t.passedBarrier < t.unloadBarrier || h.Running > 0 {
				return // may have been unloaded after the report was made, or is in use
			}
			// The result of this load was lost, so the handle can only be
			// unloaded.
			s.state, s.unloadFailed = slotUnloading, true
		}
		t.slots[h.Handle] = s
	}
	if h.Running > 0 {
		return
	}
	if t.passedBarrier >= s.uncertainUntil {
		s.uncertainUntil = 0
	}
	if t.passedBarrier >= t.historyBarrier {
		s.verifiedIdle = true
	}
}

// dropMissing drops the slots of earlier terms that the engine no longer
// reports.
func (t *Table) dropMissing(reported map[bamboorail.Handle]bamboorail.HandleState) {
	for h, s := range t.slots {
		term, _ := TermOf(h)
		if _, ok := reported[h]; !ok && term != t.history.Term && s.running == 0 {
			delete(t.slots, h)
		}
	}
}
