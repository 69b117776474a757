package placement

import (
	"fmt"
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

// Evidence is what an owner knows about the terms before its own.
type Evidence struct {
	// Term is the owner's own term.
	Term uint64
	// EndedThrough is the highest term whose owner is known to send nothing
	// any more: it released the target, or its process is gone.
	EndedThrough uint64
	// DrainedThrough is the highest term without a running request.
	DrainedThrough uint64
	// FencingAccepted is set once an engine that checks fencing numbers has
	// accepted the number of the own term.
	FencingAccepted bool
}

// MayDispatch reports whether requests may be sent to a handle. A fenced
// engine refuses the unload orders of an earlier owner, so its handles stay.
func (e Evidence) MayDispatch(h bamboorail.Handle) bool {
	term, ours := TermOf(h)
	switch {
	case !ours || term > e.Term:
		return false
	case term == e.Term:
		return true
	}
	return term <= e.EndedThrough || e.FencingAccepted
}

// MayUnload reports whether an idle handle may be unloaded. Requests are not
// fenced: an earlier owner that still runs could send one at any time, so a
// handle of its term needs evidence that the term ended, and that nothing
// runs: verifiedIdle is set by a report made after that evidence.
func (e Evidence) MayUnload(h bamboorail.Handle, verifiedIdle bool) bool {
	term, ours := TermOf(h)
	switch {
	case !ours || term > e.Term:
		return false
	case term == e.Term, term <= e.DrainedThrough:
		return true
	}
	return term <= e.EndedThrough && verifiedIdle
}
