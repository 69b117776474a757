package placement

import (
	"cmp"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// Drained reports whether no request of this owner is, or may be, running.
func (t *Table) Drained() bool {
	if t.running > 0 {
		return false
	}
	for _, s := range t.slots {
		if s.uncertainUntil > 0 {
			return false
		}
	}
	return true
}

// SlotView describes a slot to operators and routers.
type SlotView struct {
	Handle bamboorail.Handle
	Model  bamboorail.ModelRef
	// Ready is set for a handle that may serve requests, Loading for a handle
	// that is being loaded. A handle that is held by an earlier owner or being
	// unloaded is neither.
	Ready   bool
	Loading bool
	Running int
}

// Summary describes a table to operators and routers.
type Summary struct {
	Slots []SlotView
	// Awaited lists the models that have waiting requests and are not loaded.
	Awaited []bamboorail.ModelRef
	// VictimValue is the expected demand of the adapter that the next load would
	// evict, or 0 if a slot is free.
	VictimValue float64
	Limits      Limits
	Running     int
	Queued      int
	Wait        time.Duration
	LoadTime    time.Duration
	// TokenTime is the mean time between two tokens of a request.
	TokenTime time.Duration
	Cold      bool
	// Leaving is set if the target reports that it is leaving.
	Leaving bool
	// Unreachable is set after several consecutive missing reports.
	Unreachable bool
}

// maxMissedReports is the number of consecutive missing reports after which
// routers prefer another target.
const maxMissedReports = 2

// Summary returns the current state of the table.
func (t *Table) Summary(now time.Time) Summary {
	s := Summary{Limits: t.limits, Running: t.running, Queued: t.queue.Len(), Cold: t.cold, Leaving: t.leaving}
	s.Unreachable = t.missedReports >= maxMissedReports
	s.LoadTime = time.Duration(t.loadTime.seconds * float64(time.Second))
	s.TokenTime = time.Duration(t.tokenTime.seconds * float64(time.Second))
	if t.running+t.queue.Len() >= t.limits.MaxBatch {
		s.Wait = t.drainTime(bamboorail.PriorityBatch)
	}
	s.VictimValue = t.victimValue(now)
	for m := range t.queue.Backlogs() {
		if t.servingSlot(m) == nil {
			s.Awaited = append(s.Awaited, m)
		}
	}
	for _, sl := range t.slots {
		s.Slots = append(s.Slots, SlotView{
			Handle: sl.handle, Model: sl.model, Running: sl.running,
			Ready: t.usable(sl), Loading: sl.state == slotLoading,
		})
	}
	slices.SortFunc(s.Slots, func(a, b SlotView) int { return cmp.Compare(a.Handle, b.Handle) })
	return s
}

// EarlierCleared reports whether a report made after the latest change of the
// term history shows no handle of an owner that is gone and no request on the
// handles that such an owner may have used.
func (t *Table) EarlierCleared() bool {
	if t.passedBarrier < t.historyBarrier || t.incarnation == "" {
		return false
	}
	for _, s := range t.slots {
		state := t.history.StateOf(s.handle)
		users := append(t.history.laterTermStates(s.handle), state)
		used := slices.Contains(users, TermGone) || slices.Contains(users, TermReleasedGone)
		if state == TermGone || (used && !s.verifiedIdle) {
			return false
		}
	}
	return true
}

// ResetRunning clears the running requests of an engine that is known to have
// restarted.
func (t *Table) ResetRunning(now time.Time) {
	t.running = 0
	for _, s := range t.slots {
		s.running, s.uncertainUntil, s.lastUse = 0, 0, now
	}
}

// Running returns the number of requests that run on the engine.
func (t *Table) Running() int { return t.running }

// Queued returns the number of waiting requests.
func (t *Table) Queued() int { return t.queue.Len() }
