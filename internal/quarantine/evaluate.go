package quarantine

import (
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of crashes after which a segment is blocked. Calls
	// that share an engine with the cause by chance rarely do so three times.
	minCrashes = 3
	// minSpread is the time that these crashes must span: engines that are lost
	// together have another cause.
	minSpread = 500 * time.Millisecond
	// minFastCrashes crashes may span less if no call with the segment was answered, and
	// minRepeated of them are of calls that crashed another engine before. Two requests that are
	// sent on and repeated at once crash eight engines within minSpread.
	minFastCrashes = 2 * minCrashes
	minRepeated    = minCrashes
	// minFirstTries is the number of these crashes that a repeated request must have
	// caused as a first attempt: the attempts of one call may meet three targets that
	// fail for another reason.
	minFirstTries = 2
	// firstBlock is the duration of the first block of a segment; each further one
	// lasts twice as long, up to longestBlock.
	firstBlock   = 10 * time.Minute
	longestBlock = 2 * time.Hour
	// maxDoublings keeps the duration from overflowing.
	maxDoublings = 8
)

// suspicion is what the crashes say about one segment.
type suspicion struct {
	segment     string
	crashes     int
	firstTries  int // crashes by first attempts
	repeated    int // crashes by calls that may have run at another target before
	answers     int
	depth       int // largest position in a prompt
	first, last time.Time
}

// Evaluate blocks the segments that explain the crashes best, one after the other:
// crashes of calls with a blocked segment no longer count against their other
// segments. It returns the new blocks. It must run only where the evidence of all
// instances arrives.
func (r *Registry) Evaluate(now time.Time) []Block {
	return r.evaluate(&r.pending, func(string) bool { return true }, now)
}

// EvaluateRequests is Evaluate for repeated requests, for which the evidence of one
// instance suffices: a fingerprint is not shared with other calls as a segment is.
func (r *Registry) EvaluateRequests(now time.Time) []Block {
	return r.evaluate(&r.requestsPending, IsRequest, now)
}

func (r *Registry) evaluate(pending *bool, mayBlock func(segment string) bool, now time.Time) []Block {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !*pending {
		return nil
	}
	*pending = slices.ContainsFunc(r.crashes, func(c crash) bool { return !c.isComplete(now) })
	var blocks []Block
	for {
		var worst suspicion
		for _, s := range r.suspicions(now) {
			if mayBlock(s.segment) && r.isCause(s, now) && s.isWorseThan(worst) {
				worst = s
			}
		}
		if worst.segment == "" {
			return blocks
		}
		duration := min(firstBlock<<min(r.terms[worst.segment], maxDoublings), longestBlock)
		b := Block{Segment: worst.segment, Until: now.Add(duration), Crashes: worst.crashes}
		if !r.set(b, now) {
			return blocks
		}
		blocks = append(blocks, b)
	}
}

// isCause reports whether a segment is to be blocked. One that was blocked before
// is at its next crash.
func (r *Registry) isCause(s suspicion, now time.Time) bool {
	if s.answers >= min(s.crashes, soundAnswers) || r.lifted[s.segment].After(now) {
		return false
	}
	switch {
	case r.terms[s.segment] > 0:
		return true
	case s.crashes < minCrashes:
		return false
	case IsRequest(s.segment):
		return s.firstTries >= minFirstTries
	}
	return s.last.Sub(s.first) >= minSpread || s.crashes >= minFastCrashes && s.repeated >= minRepeated && s.answers == 0
}

// isWorseThan orders suspicions by the number of crashes. Of two segments that
// occur in the same calls, the one with fewer answers and then the more specific
// one, later in the prompt, is worse.
func (s suspicion) isWorseThan(other suspicion) bool {
	switch {
	case s.crashes != other.crashes:
		return s.crashes > other.crashes
	case s.answers != other.answers:
		return s.answers < other.answers
	case s.depth != other.depth:
		return s.depth > other.depth
	}
	return strings.Compare(s.segment, other.segment) < 0
}

// suspicions returns the suspicion of each segment from the crashes that no block
// explains.
func (r *Registry) suspicions(now time.Time) map[string]suspicion {
	all := map[string]suspicion{}
	for i := range r.crashes {
		c := &r.crashes[i]
		if !c.isComplete(now) || r.isExplained(c, now) {
			continue
		}
		for segment, suspect := range c.suspects() {
			s := all[segment]
			if s.segment == "" {
				s = suspicion{segment: segment, answers: r.answers(segment), first: c.at, last: c.at}
			}
			s.add(c.at, suspect)
			all[segment] = s
		}
	}
	return all
}

// add counts a crash.
func (s *suspicion) add(at time.Time, c suspect) {
	s.crashes++
	if c.firstTry {
		s.firstTries++
	}
	if c.repeated {
		s.repeated++
	}
	s.depth = max(s.depth, c.depth)
	if at.Before(s.first) {
		s.first = at
	}
	if at.After(s.last) {
		s.last = at
	}
}

// isComplete reports whether all instances had the time to tell of their calls.
func (c *crash) isComplete(now time.Time) bool { return now.Sub(c.at) >= reportDelay }

// suspect is a segment of calls that broke off with a crash.
type suspect struct {
	depth              int // position in the prompt
	firstTry, repeated bool
}

// suspects returns the segments of the calls that broke off with the crash.
func (c *crash) suspects() map[string]suspect {
	segments := map[string]suspect{}
	for _, b := range c.breaks {
		late := b.At.Sub(c.at) > breakWindow
		for depth, name := range b.Segments {
			if late && !IsRequest(name) {
				continue
			}
			s := segments[name]
			segments[name] = suspect{depth: max(s.depth, depth), firstTry: s.firstTry || !b.Retried, repeated: s.repeated || b.Retried}
		}
	}
	return segments
}

func (r *Registry) isExplained(c *crash, now time.Time) bool {
	for s := range c.suspects() {
		if r.blocks[s].Until.After(now) {
			return true
		}
	}
	return false
}
