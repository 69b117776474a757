package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"bamboorail.example/bamboorail"
)

// NewHandle names the n-th load of a term.
func NewHandle(m bamboorail.ModelRef, term, n uint64) bamboorail.Handle {
	return bamboorail.Handle(fmt.Sprintf("%s#%d.%d", m, term, n))
}

// TermOf returns the term in which a handle was created. It reports false for
// a handle that this system did not create.
func TermOf(h bamboorail.Handle) (uint64, bool) {
	_, tail, found := strings.Cut(string(h), "#")
	if !found {
		return 0, false
	}
	digits, _, found := strings.Cut(tail, ".")
	if !found {
		return 0, false
	}
	term, err := strconv.ParseUint(digits, 10, 64)
	return term, err == nil
}

// TermState is what an owner knows about a term of its target.
type TermState int

// The states of a term.
const (
	// TermOwn is the owner's own term.
	TermOwn TermState = iota
	// TermOpen is an earlier term whose owner may still send anything.
	TermOpen
	// TermReleased is an earlier term whose owner confirmed that it sends
	// nothing new and that none of its unload orders is under way. Its
	// requests may still run.
	TermReleased
	// TermGone is an earlier term whose owner's process is gone. What it sent
	// last may still arrive.
	TermGone
	// TermReleasedGone is a released term whose owner's process is gone since.
	TermReleasedGone
	// TermDrained is an earlier term of which nothing is left.
	TermDrained
	// TermForeign is a later term, or none of this system's.
	TermForeign
)

// Earlier is an earlier term of which something may be left.
type Earlier struct {
	Term  uint64
	State TermState
}

// TermHistory is what an owner knows about the terms of its target.
type TermHistory struct {
	// Term is the owner's own term.
	Term uint64
	// Earlier lists the earlier terms that are not drained.
	Earlier []Earlier
}

// Equal reports whether two pieces of evidence say the same.
func (e TermHistory) Equal(o TermHistory) bool {
	return e.Term == o.Term && slices.Equal(e.Earlier, o.Earlier)
}

// AllEnded reports whether no earlier owner may start anything new.
func (e TermHistory) AllEnded() bool {
	return !slices.ContainsFunc(e.Earlier, func(t Earlier) bool { return t.State == TermOpen })
}

// StateOf returns what is known about the term of a handle.
func (e TermHistory) StateOf(h bamboorail.Handle) TermState {
	term, ours := TermOf(h)
	switch {
	case !ours || term > e.Term:
		return TermForeign
	case term == e.Term:
		return TermOwn
	}
	for _, t := range e.Earlier {
		if t.Term == term {
			return t.State
		}
	}
	return TermDrained
}

// MayDispatch reports whether requests may be sent to a handle. An engine that
// accepted a fencing number of this term refuses unload orders of earlier
// ones, so its handles stay. Any other engine could still get such an order
// from an owner that did not confirm its release.
func (e TermHistory) MayDispatch(h bamboorail.Handle, fenced bool) bool {
	switch e.StateOf(h) {
	case TermOwn, TermReleased, TermReleasedGone, TermDrained:
		return true
	case TermOpen, TermGone:
		return fenced
	}
	return false
}

// MayUnload reports whether an idle handle may be unloaded. Requests are not
// fenced: an earlier owner that still runs could send one at any time, or wait
// for one, also to a handle of a term before its own. verifiedIdle is set by a
// report that shows nothing running and was made after the owner was known to be
// gone.
func (e TermHistory) MayUnload(h bamboorail.Handle, verifiedIdle bool) bool {
	for _, s := range append(e.laterUsers(h), e.StateOf(h)) {
		switch s {
		case TermOwn, TermDrained:
		case TermGone, TermReleasedGone:
			if !verifiedIdle {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// laterUsers returns the states of the earlier terms that followed that of a
// handle. Their owners may have sent requests to it.
func (e TermHistory) laterUsers(h bamboorail.Handle) []TermState {
	term, _ := TermOf(h)
	var users []TermState
	for _, t := range e.Earlier {
		if t.Term > term {
			users = append(users, t.State)
		}
	}
	return users
}
