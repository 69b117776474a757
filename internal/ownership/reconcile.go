package ownership

import (
	"context"
	"errors"
	"slices"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
)

// reconcile starts owners for claimed targets and ends those of lost ones. It
// reports whether there were any.
func (m *Manager) reconcile(ctx context.Context) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	self := m.config.Directory.Self().ID
	for target, o := range m.current {
		l := m.ledger.Targets[target].Current
		if l.Session != self || l.Term != o.evidence.Term {
			m.retire(target, o)
			changed = true
		}
	}
	for _, target := range m.config.Factory.Targets() {
		o, ok := m.ledger.Targets[target]
		if ok && o.Current.Session == self && m.closed[target] != o.Current.Term {
			changed = m.ensure(ctx, target, o) || changed
		}
	}
	if m.leaving && len(m.current) > 0 {
		// A claim that was under way when the leave began has taken effect.
		for target, o := range m.current {
			m.retire(target, o)
		}
		m.TriggerPlan()
	}
	m.finishDrained()
	return changed
}

var errMoved = errors.New("the target has another owner now")

// retire closes an owner; it stays until its running requests have ended.
func (m *Manager) retire(target string, o *owned) {
	o.owner.Close(&Error{bamboorail.Failure{
		Op: "dispatch", Kind: bamboorail.KindNotOwner, Outcome: bamboorail.OutcomeNotRun,
		RetryAfter: movedRetryAfter, Err: errMoved,
	}})
	m.draining[target] = append(m.draining[target], o)
	delete(m.current, target)
	m.closed[target] = o.evidence.Term
	m.config.Log.Info("target handed over", "target", target, "term", o.evidence.Term)
}

func (m *Manager) finishDrained() {
	for target, list := range m.draining {
		kept := list[:0]
		for _, o := range list {
			if !o.owner.Drained() || m.listed(target, o.evidence.Term) {
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

// listed reports whether the ledger still lists an own term.
func (m *Manager) listed(target string, term uint64) bool {
	o := m.ledger.Targets[target]
	if o.Current.Term == term && o.Current.Session != "" {
		return true
	}
	return slices.ContainsFunc(o.Earlier, func(h platform.Holder) bool { return h.Term == term })
}

// evidenceOf returns what a ledger entry says about the terms of a target.
func evidenceOf(o platform.Ownership) placement.TermHistory {
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

// ensure starts the owner of a claimed target or updates its evidence. It
// reports whether it started one.
func (m *Manager) ensure(ctx context.Context, target string, o platform.Ownership) bool {
	e := evidenceOf(o)
	if running, ok := m.current[target]; ok {
		if !running.evidence.Equal(e) {
			running.evidence = e
			running.owner.SetEvidence(e)
		}
		return false
	}
	owner, err := m.config.Factory.New(target, e, o.StartedAt)
	if err != nil {
		m.config.Log.Error("target cannot be owned", "target", target, "error", err)
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	m.current[target] = &owned{owner: owner, evidence: e, cancel: cancel, end: duty.Start(ctx, target, owner.Run)}
	m.config.Log.Info("target owned", "target", target, "term", e.Term)
	return true
}
