// Package ownership decides which instance owns which target of a zone and
// records it in the ledger of the zone.
package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/platform"
)

// View is the input of a plan.
type View struct {
	Self platform.Session
	// Targets lists the names of the targets to own in the zone.
	Targets []string
	Ledger  platform.Ledger
	// Candidates lists the sessions that may own targets, including the own one.
	Candidates []platform.Session
	// StateOf returns the state of a session.
	StateOf func(session string) membership.State
	// Leaving is set while this instance shuts down. It then claims no targets.
	Leaving bool
	// Provisional is set while the store is unavailable. A claim then requires
	// proof that the owner is gone, and nothing is rebalanced.
	Provisional bool
	// Settled reports whether an own closed term has no order in flight, Drained
	// whether none of its requests is running, and EarlierCleared whether
	// nothing is left on the target of holders that are gone.
	Settled        func(target string, term uint64) bool
	Drained        func(target string, term uint64) bool
	EarlierCleared func(target string) bool
	// Closed reports whether the owner of an own term was closed permanently.
	Closed func(target string, term uint64) bool
	Now    time.Time
}

// Plan returns the desired ledger and reports whether it differs from the one
// in the view. It is a pure function.
func Plan(v View) (platform.Ledger, bool) {
	next := v.Ledger.Clone()
	changed := false
	for _, target := range v.Targets {
		o, ok := next.Targets[target]
		updated, differs := v.plan(target, o, ok)
		if differs {
			next.Targets[target] = updated
			changed = true
		}
	}
	return next, changed
}

// plan returns the desired entry of one target.
func (v View) plan(target string, o platform.Ownership, exists bool) (platform.Ownership, bool) {
	o = o.Clone()
	changed := false
	if o.Current.Session == v.Self.ID && v.Closed(target, o.Current.Term) {
		o = releaseEntry(o)
		changed = true
	}
	changed = v.updateEarlier(target, &o) || changed
	if exists && v.holds(o.Current) {
		return o, changed
	}
	if v.Leaving || !v.preferred(target) {
		return o, changed
	}
	if exists && o.Current.Session != "" {
		previous := o.Current
		if v.StateOf(previous.Session) == membership.StateGone {
			previous.State = platform.HolderGone
		}
		o.Earlier = append(o.Earlier, previous)
	}
	o.Current = platform.Holder{
		Term:    platform.NextTerm(o.Current.Term, v.Self.ID),
		Session: v.Self.ID, Instance: v.Self.Instance, Peer: v.Self.Peer,
	}
	o.StartedAt = v.Now
	return o, true
}

// holds reports whether the holder keeps its ownership.
func (v View) holds(h platform.Holder) bool {
	if h.Session == "" {
		return false
	}
	switch v.StateOf(h.Session) {
	case membership.StateGone:
		return false
	case membership.StateExpired:
		return v.Provisional
	}
	return true
}

// updateEarlier records the known states of earlier holders. Only the current
// owner or the holder itself updates an entry, which prevents concurrent
// writes.
func (v View) updateEarlier(target string, o *platform.Ownership) bool {
	changed := false
	kept := o.Earlier[:0]
	for _, h := range o.Earlier {
		next, left := v.updateHolder(target, h, o.Current.Session == v.Self.ID)
		changed = changed || next != h || !left
		if left {
			kept = append(kept, next)
		}
	}
	o.Earlier = kept
	return changed
}

// updateHolder returns the desired entry of an earlier holder, and false if
// nothing is left of its term.
func (v View) updateHolder(target string, h platform.Holder, current bool) (platform.Holder, bool) {
	own := h.Session == v.Self.ID
	gone := current && !own && v.StateOf(h.Session) == membership.StateGone
	switch {
	case own && h.State == "" && v.Settled(target, h.Term):
		h.State = platform.HolderReleased
	case gone && h.State == "":
		h.State = platform.HolderGone
	case gone && h.State == platform.HolderReleased:
		h.State = platform.HolderReleasedGone
	}
	switch {
	case own && h.State == platform.HolderReleased && v.Drained(target, h.Term):
		return h, false
	case gone && v.EarlierCleared(target):
		return h, false
	}
	return h, true
}

// preferred reports whether this instance has the highest rendezvous hash
// weight for the target among the candidates.
func (v View) preferred(target string) bool {
	return v.preferredSession(target).ID == v.Self.ID
}

func (v View) preferredSession(target string) platform.Session {
	return slices.MaxFunc(v.Candidates, func(a, b platform.Session) int {
		wa, wb := rendezvousWeight(target, a.ID), rendezvousWeight(target, b.ID)
		switch {
		case wa < wb:
			return -1
		case wa > wb:
			return 1
		}
		return 0
	})
}

func rendezvousWeight(target, session string) uint64 {
	return xxhash.Sum64String(target + "\x00" + session)
}

// TargetToMove returns an own target that should move, for balance, to a
// candidate that owns at least two targets fewer. Its owner must be closed
// first; the candidate then claims the target because rendezvous hashing
// prefers it.
func TargetToMove(v View) (string, bool) {
	owned := map[string]int{}
	for _, target := range v.Targets {
		owned[v.Ledger.Targets[target].Current.Session]++
	}
	for _, target := range v.Targets {
		if v.Ledger.Targets[target].Current.Session != v.Self.ID {
			continue
		}
		preferred := v.preferredSession(target)
		if preferred.ID != v.Self.ID && owned[v.Self.ID] >= owned[preferred.ID]+2 {
			return target, true
		}
	}
	return "", false
}

// releaseEntry returns the entry of a target whose owner was closed.
func releaseEntry(o platform.Ownership) platform.Ownership {
	o = o.Clone()
	h := o.Current
	o.Earlier = append(o.Earlier, h)
	o.Current = platform.Holder{Term: h.Term}
	return o
}
