package adapters

import "time"

// Timing describes the events of a stream, as its engine sent them. 0 is unknown.
type Timing struct {
	// FirstEvent is the time from the sending of the call to its first event, Event the
	// mean and LongestGap the longest time between events.
	FirstEvent, Event, LongestGap time.Duration
}

// RecordTiming records the events of a placement that is about to end.
func (p *Planner) RecordTiming(uint64, Timing, time.Time) {}

// SetMemory sets the number of tokens that fit into the memory of an engine of a service.
func (p *Planner) SetMemory(func(service string) int) {}
