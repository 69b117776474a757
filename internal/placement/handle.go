package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"bamboorail.example/bamboorail"
)

// NewHandle returns the handle of the n-th load of a term.
func NewHandle(m bamboorail.ModelRef, term, n uint64) bamboorail.Handle {
	return bamboorail.Handle(fmt.Sprintf("%s#%d.%d", m, term, n))
}

// TermOf returns the term in which a handle was created. It reports false for a
// handle that this system did not create.
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

// TermState is the state of a term as known to the current owner of the target.
type TermState int

const (
	// TermOwn is the owner's own term.
	TermOwn TermState = iota
	// TermOpen is an earlier term whose owner may still send requests and
	// orders.
	TermOpen
	// TermReleased is an earlier term whose owner confirmed that it sends
	// nothing more and has no unload order in flight. Its requests may still be
	// running.
	TermReleased
	// TermGone is an earlier term whose owner process has terminated. Messages
	// that it sent may still arrive.
	TermGone
	// TermReleasedGone is a released term whose owner process has since
	// terminated.
	TermReleasedGone
	// TermDrained is an earlier term without remaining requests or orders.
	TermDrained
	// TermForeign is a later term, or the state of a handle that this system did
	// not create.
	TermForeign
)

// EarlierTerm is an earlier term that may have requests or orders left.
type EarlierTerm struct {
	Term  uint64
	State TermState
}

// TermHistory is what an owner knows about the terms of its target.
type TermHistory struct {
	// Term is the owner's own term.
	Term uint64
	// Earlier lists the earlier terms that are not drained.
	Earlier []EarlierTerm
}

// Equal reports whether two histories have the same content.
func (hist TermHistory) Equal(o TermHistory) bool {
	return hist.Term == o.Term && slices.Equal(hist.Earlier, o.Earlier)
}

// EarlierTermsEnded reports whether no earlier owner may start new work.
func (hist TermHistory) EarlierTermsEnded() bool {
	return !slices.ContainsFunc(hist.Earlier, func(t EarlierTerm) bool { return t.State == TermOpen })
}

// StateOf returns the state of the term in which a handle was created.
func (hist TermHistory) StateOf(h bamboorail.Handle) TermState {
	term, ours := TermOf(h)
	switch {
	case !ours || term > hist.Term:
		return TermForeign
	case term == hist.Term:
		return TermOwn
	}
	for _, t := range hist.Earlier {
		if t.Term == term {
			return t.State
		}
	}
	return TermDrained
}

// MayDispatch reports whether requests may be sent to a handle. An engine that
// accepted a fencing token of this term rejects unload orders of earlier terms,
// so its handles remain loaded. Any other engine may still receive such an
// order from an owner that has not confirmed its release.
func (hist TermHistory) MayDispatch(h bamboorail.Handle, fenced bool) bool {
	switch hist.StateOf(h) {
	case TermOwn, TermReleased, TermReleasedGone, TermDrained:
		return true
	case TermOpen, TermGone:
		return fenced
	}
	return false
}

// MayUnload reports whether an idle handle may be unloaded. Requests are not
// fenced: an earlier owner that is still running may send one at any time, or
// be waiting for an answer, even on a handle of a term before its own.
// verifiedIdle is set by a report that shows no running request and was made
// after the owner was known to be gone.
func (hist TermHistory) MayUnload(h bamboorail.Handle, verifiedIdle bool) bool {
	for _, s := range append(hist.laterTermStates(h), hist.StateOf(h)) {
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

// laterTermStates returns the states of the earlier terms that follow the term
// of a handle. The owners of these terms may have sent requests to the handle.
func (hist TermHistory) laterTermStates(h bamboorail.Handle) []TermState {
	term, _ := TermOf(h)
	var users []TermState
	for _, t := range hist.Earlier {
		if t.Term > term {
			users = append(users, t.State)
		}
	}
	return users
}
