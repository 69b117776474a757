package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// Request is a request to place a call.
type Request struct {
	Key     bamboorail.AdapterKey
	Service string
	// Software is the software version that the engine must have, empty if any is
	// acceptable.
	Software string
	// Version is the newest version of the adapter, 0 if any version is
	// acceptable; Releases are the releases up to it.
	Version  int
	Releases bamboorail.ReleaseHistory
	// Avoid names engines that failed or refused the call.
	Avoid []string
	Loads LoadPolicy
	// Instance is the requesting instance, empty for this one.
	Instance string
	// CallID identifies the call while it waits, Waited is the time it has
	// waited, Objective the time in which its answer is due.
	CallID    string
	Waited    time.Duration
	Objective time.Duration
	// StartBy is the latest time at which the call may be sent to an engine.
	// If it is zero, maxCallWait applies.
	StartBy time.Time
	// Priority ranks the call; 0 is the most urgent.
	Priority int
	// Size is the size of the call in tokens, Prompt the parts of its prompt. They are empty
	// if unknown.
	Size   bamboorail.CallSize
	Prompt []bamboorail.PromptPart
	// MaxGap is the longest pause between two events that is on time, 0 if the route
	// states none. With it and a size, the call is placed by its work.
	MaxGap time.Duration
	// Workspace names the workspace of the caller, empty if there is none.
	Workspace string
}

// canWait reports whether the call may start after a wait.
func (r Request) canWait(wait time.Duration, now time.Time) bool {
	return wait == 0 || wait <= r.remaining(now)
}

// remaining returns the time within which the call must be sent to an engine.
func (r Request) remaining(now time.Time) time.Duration {
	if r.StartBy.IsZero() {
		return maxCallWait
	}
	return r.StartBy.Sub(now)
}

// LoadPolicy states which loads a request may cause.
type LoadPolicy int

// The load policies.
const (
	// LoadAny permits any load.
	LoadAny LoadPolicy = iota
	// LoadIfDemanded permits a reload of an adapter that an engine held
	// recently, and a fetch from the weight store if the zone's demand for the
	// adapter is high enough.
	LoadIfDemanded
	// LoadNever permits only engines that hold the adapter.
	LoadNever
)

// Placement is the result of a request.
type Placement struct {
	Target  bamboorail.TargetEntry
	Version int
	ReadyAt time.Time
	// Ticket identifies the placement until it ends.
	Ticket uint64
	// Orders must be accepted, in this order, before the call is sent.
	Orders []bamboorail.AdapterOrder
	// Background are orders that the call does not wait for.
	Background []bamboorail.AdapterOrder
	// KeptTokens is the number of prompt tokens that the engine probably still keeps.
	KeptTokens int
}
