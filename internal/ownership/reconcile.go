package ownership

import (
	"context"
	"errors"
	"slices"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/task"
)

// reconcile starts the owners of claimed targets and closes those of lost ones.
// It reports whether the set of owned targets changed.
func (m *Manager) reconcile(ctx context.Context) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	self := m.config.Directory.Self().ID
	for target, o := range m.current {
		l := m.ledger.Targets[target].Current
		if l.Session != self || l.Term != o.history.Term {
			m.closeOwner(target, o)
			changed = true
		}
	}
	for _, target := range m.config.Factory.Targets() {
		o, ok := m.ledger.Targets[target]
		if ok && o.Current.Session == self && m.closed[target] != o.Current.Term {
			changed = m.ensureOwner(ctx, target, o) || changed
		}
	}
	if m.leaving && len(m.current) > 0 {
		// A claim that was in progress when the leave began has succeeded.
		for target, o := range m.current {
			m.closeOwner(target, o)
		}
		m.TriggerPlan()
	}
	m.stopDrained()
	return changed
}

var errMoved = errors.New("target is no longer owned by this instance")

// closeOwner closes an owner, which is kept until its running requests have
// ended.
func (m *Manager) closeOwner(target string, o *runningOwner) {
	o.owner.Close(&Error{bamboorail.Failure{
		Op: "dispatch", Kind: bamboorail.KindNotOwner, Outcome: bamboorail.OutcomeNotRun,
		RetryAfter: movedRetryAfter, Err: errMoved,
	}})
	m.draining[target] = append(m.draining[target], o)
	delete(m.current, target)
	m.closed[target] = o.history.Term
	m.config.Log.Info("target handed over", "target", target, "term", o.history.Term)
}

func (m *Manager) stopDrained() {
	for target, list := range m.draining {
		kept := list[:0]
		for _, o := range list {
			if !o.owner.Drained() || m.inLedger(target, o.history.Term) {
				kept = append(kept, o)
				continue
			}
			o.stop()
		}
		if len(kept) == 0 {
			delete(m.draining, target)
			continue
		}
		m.draining[target] = kept
	}
}

// inLedger reports whether the ledger still lists an own term.
func (m *Manager) inLedger(target string, term uint64) bool {
	o := m.ledger.Targets[target]
	if o.Current.Term == term && o.Current.Session != "" {
		return true
	}
	return slices.ContainsFunc(o.Earlier, func(h platform.Holder) bool { return h.Term == term })
}

// termHistory returns the history of the terms of a target from its ledger
// entry.
func termHistory(o platform.Ownership) placement.TermHistory {
	e := placement.TermHistory{Term: o.Current.Term}
	states := map[platform.HolderState]placement.TermState{
		"":                          placement.TermOpen,
		platform.HolderReleased:     placement.TermReleased,
		platform.HolderGone:         placement.TermGone,
		platform.HolderReleasedGone: placement.TermReleasedGone,
	}
	for _, h := range o.Earlier {
		e.Earlier = append(e.Earlier, placement.EarlierTerm{Term: h.Term, State: states[h.State]})
	}
	return e
}

// ensureOwner starts the owner of a claimed target or updates its term history.
// It reports whether it started one.
func (m *Manager) ensureOwner(ctx context.Context, target string, o platform.Ownership) bool {
	history := termHistory(o)
	if running, ok := m.current[target]; ok {
		if !running.history.Equal(history) {
			running.history = history
			running.owner.SetTermHistory(history)
		}
		return false
	}
	owner, err := m.config.Factory.New(target, history, o.StartedAt)
	if err != nil {
		m.config.Log.Error("cannot create owner of target", "target", target, "error", err)
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	m.current[target] = &runningOwner{owner: owner, history: history, cancel: cancel, task: task.Start(ctx, target, owner.Run)}
	m.config.Log.Info("target owned", "target", target, "term", history.Term)
	return true
}
