package eventstream

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrNotContinued is the error for an answer that does not continue a stream.
var ErrNotContinued = errors.New("the answer does not continue the stream")

// idBits limits the ids that are compared; larger ones are not.
const idBits = 63

// minSteps is the number of equal steps between ids after which a larger one is a gap.
const minSteps = 2

// Sequence follows the ids of a stream, to check that another answer continues it. Ids
// are compared if all of them are numbers that increase. The zero value is at the start of
// a stream.
type Sequence struct {
	last uint64
	// step is the difference between ids, the same steps times.
	step  uint64
	steps int
	// started is set once an event with an id was received.
	started bool
	// incomparable is set once an id was no number or did not increase, incomplete once
	// an event had no id, and uneven once the ids increased by another step.
	incomparable, incomplete, uneven bool
}

// SequenceAfter returns the sequence of a stream of which only the id of the last event is
// known.
func SequenceAfter(id string) Sequence {
	n, err := strconv.ParseUint(id, 10, idBits)
	return Sequence{last: n, started: err == nil, incomparable: err != nil}
}

// Comparable reports whether the ids of a continuation can be checked.
func (s Sequence) Comparable() bool { return s.started && !s.incomparable }

// Add returns the sequence after further complete events of the same answer.
func (s Sequence) Add(data []byte) Sequence {
	for e := range events(data) {
		if !e.hasID {
			s.incomplete = true
			continue
		}
		n, err := strconv.ParseUint(e.id, 10, idBits)
		if err != nil || s.started && n <= s.last {
			s.incomparable = true
			continue
		}
		s = s.next(n)
	}
	return s
}

// next returns the sequence after an event with a larger id.
func (s Sequence) next(id uint64) Sequence {
	if s.started {
		step := id - s.last
		s.uneven = s.uneven || s.steps > 0 && step != s.step
		s.step = step
		s.steps++
	}
	s.last, s.started = id, true
	return s
}

// Continue returns the sequence after further complete events of an answer that is to
// continue the stream, and the number of these events. It returns ErrNotContinued if they
// do not fit. With join they are the first ones of the answer, before which none may be
// missing.
func (s Sequence) Continue(data []byte, join bool) (Sequence, int, error) {
	count, after := 0, s
	for e := range events(data) {
		count++
		if e.failure {
			return s, 0, fmt.Errorf("%w: it reports a failure after event %d", ErrNotContinued, after.last)
		}
		if !e.hasID && s.incomplete {
			continue
		}
		n, err := strconv.ParseUint(e.id, 10, idBits)
		if err != nil || n <= after.last || join && after.gapBefore(n) {
			return s, 0, fmt.Errorf("%w: event %.20q follows event %d", ErrNotContinued, e.id, after.last)
		}
		after, join = after.next(n), false
	}
	return after, count, nil
}

// gapBefore reports whether events are missing between the last one and that with an id.
func (s Sequence) gapBefore(id uint64) bool {
	return s.steps >= minSteps && !s.uneven && id-s.last > s.step
}
