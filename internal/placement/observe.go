package placement

import (
	"fmt"
	"time"

	"bamboorail.example/bamboorail"
)

// BarrierAccepted records that the engine accepted an order of this term.
func (t *Table) BarrierAccepted() { t.fenced = t.checksFencing }

// Unreachable records that the engine gave no report. Nothing follows from
// it: the engine may still run what it was sent.
func (t *Table) Unreachable() { t.unreachable++ }

// Barrier returns the number of the barrier that the engine should get, if
// one is outstanding.
func (t *Table) Barrier() (uint64, bool) { return t.barrier, t.passed < t.barrier }

// BarrierID names a barrier of a term.
func BarrierID(term, n uint64) string { return fmt.Sprintf("%d.%d", term, n) }

// Observe reconciles the table with a report of the engine. The table is
// right about what the owner sent, the report about what others left.
func (t *Table) Observe(now time.Time, r bamboorail.EngineReport) {
	if t.incarnation != "" && r.Incarnation != t.incarnation {
		t.restarted()
	}
	t.incarnation = r.Incarnation
	t.unreachable = 0
	t.cold = r.BaseModel == ""
	t.leaving = r.Leaving
	if r.Slots > 0 {
		t.limits.Slots = r.Slots
	}
	if r.MaxBatch > 0 {
		t.limits.MaxBatch = r.MaxBatch
	}
	if n := t.barrierOf(r.LastOrder); n > t.passed {
		t.passed = n
	}
	reported := map[bamboorail.Handle]bamboorail.HandleState{}
	for _, h := range r.Handles {
		reported[h.Handle] = h
		t.observeHandle(now, h)
	}
	t.dropMissing(reported)
}

// restarted drops what an engine lost by a restart. The report may come late:
// a handle with requests may have been loaded after the restart and stays. If it
// was lost, the engine refuses the next request for it. Loads under way fail
// on their own.
func (t *Table) restarted() {
	for h, s := range t.slots {
		if s.state == slotReady && s.running == 0 && s.doubtful == 0 {
			delete(t.slots, h)
		}
	}
	t.fenced = false
	t.barrier++
}

func (t *Table) barrierOf(lastOrder string) uint64 {
	var term, n uint64
	if _, err := fmt.Sscanf(lastOrder, "%d.%d", &term, &n); err != nil || term != t.evidence.Term {
		return 0
	}
	return n
}

func (t *Table) observeHandle(now time.Time, h bamboorail.HandleState) {
	s, ok := t.slots[h.Handle]
	if !ok {
		s = &slot{handle: h.Handle, model: h.Model, state: slotReady, lastUse: now}
		if t.evidence.StateOf(h.Handle) == TermOwn {
			if t.passed < t.strayBarrier || h.Running > 0 {
				return // possibly unloaded since the reported state, or in use
			}
			// A load whose result was lost: it can only be unloaded.
			s.state, s.unloadFailed = slotUnloading, true
		}
		t.slots[h.Handle] = s
	}
	if h.Running > 0 {
		return
	}
	if t.passed >= s.doubtful {
		s.doubtful = 0
	}
	if t.passed >= t.evidenceBarrier {
		s.verifiedIdle = true
	}
}

// dropMissing forgets handles of earlier terms that the engine no longer has.
func (t *Table) dropMissing(reported map[bamboorail.Handle]bamboorail.HandleState) {
	for h, s := range t.slots {
		term, _ := TermOf(h)
		if _, ok := reported[h]; !ok && term != t.evidence.Term && s.running == 0 {
			delete(t.slots, h)
		}
	}
}
