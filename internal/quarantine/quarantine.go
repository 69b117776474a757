// Package quarantine finds the requests, and the segments of prompts, that crash
// targets and blocks the calls that contain them. Its decisions depend only on what is recorded and
// the times passed in.
package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// crashWindow is the time within which calls that an engine breaks off belong
	// to one crash. An engine needs longer to start again.
	crashWindow = 2 * time.Second
	// breakWindow is the part of it in which the connections of the crashed engine
	// end. Calls that break off later were sent to an engine that is down.
	breakWindow = 300 * time.Millisecond
	// reportDelay is the time after a crash until all instances have told of their
	// calls.
	reportDelay = 400 * time.Millisecond
	// soundAnswers is the number of complete answers, at any instance, that prove a
	// segment to be sound; liftTime is the time for which it is not blocked then.
	soundAnswers = 3
	liftTime     = time.Minute
	// evidenceAge is the time for which a crash counts.
	evidenceAge = time.Minute

	// maxCrashes, maxBreaks, maxBlocks and maxAnswered bound the memory for
	// crashes, the calls of one crash, blocked segments, and answered segments of
	// one generation.
	maxCrashes  = 256
	maxBreaks   = 64
	maxBlocks   = 256
	maxAnswered = 4096
)

// requestPrefix distinguishes segments that stand for a request from those of prompts.
const requestPrefix = "request:"

// Request returns the segment that stands for the request with a fingerprint. It
// follows the segments of the prompt.
func Request(fingerprint string) string { return requestPrefix + fingerprint }

// IsRequest reports whether a segment stands for a request.
func IsRequest(segment string) bool { return strings.HasPrefix(segment, requestPrefix) }

// Break is a call that a target broke off before or as it began to answer.
type Break struct {
	Target   bamboorail.TargetID
	At       time.Time
	Segments []string
	// Retried is set if the call may have run at another target before.
	Retried bool
	// Answers are the numbers of complete answers to calls with each segment that
	// the reporting instance knows.
	Answers []int
}

// Block keeps calls with a segment away from engines.
type Block struct {
	Segment string
	// Until is the end of the block, zero if the block was lifted. Lifted is then the
	// time until which the segment is not blocked.
	Until, Lifted time.Time
	// Crashes is the number of crashes that led to the block.
	Crashes int
}

// crash is the breaks of one engine within crashWindow.
type crash struct {
	target bamboorail.TargetID
	at     time.Time // of the first break
	breaks []Break
}

// Registry holds the evidence and the blocks that one instance knows.
type Registry struct {
	mu      sync.Mutex
	crashes []crash
	// pending is set if there are crashes that were not evaluated, requestsPending if
	// they were not evaluated for repeated requests.
	pending, requestsPending bool
	blocks                   map[string]Block
	// terms counts the blocks that each segment had.
	terms map[string]int
	// lifted are the segments that some instance knows to be sound, with the time
	// until which they are not blocked.
	lifted map[string]time.Time
	// answered counts the complete answers by segment, in two generations of
	// which the older one is dropped when the newer one is full; reported is what
	// other instances told.
	answered, answeredBefore, reported map[string]int
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{blocks: map[string]Block{}, terms: map[string]int{}, lifted: map[string]time.Time{}, answered: map[string]int{}, reported: map[string]int{}}
}

// RecordAnswer records a complete answer to a call with these segments.
func (r *Registry) RecordAnswer(segments []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range segments {
		if len(r.answered) >= maxAnswered {
			r.answered, r.answeredBefore = map[string]int{}, r.answered
		}
		r.answered[s]++
	}
}

// RecordBreak records a break of this instance and returns it as other instances
// should be told.
func (r *Registry) RecordBreak(target bamboorail.TargetID, segments []string, retried bool, now time.Time) Break {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Break{Target: target, At: now, Segments: segments, Retried: retried}
	for _, s := range segments {
		b.Answers = append(b.Answers, r.answers(s))
	}
	r.add(b, now)
	return b
}

// Merge adds the breaks of another instance.
func (r *Registry) Merge(breaks []Break, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range breaks {
		for i, s := range b.Segments[:min(len(b.Segments), len(b.Answers))] {
			if _, known := r.reported[s]; known || len(r.reported) < maxAnswered {
				r.reported[s] = max(r.reported[s], b.Answers[i])
			}
		}
		if len(b.Target.Name) > 0 {
			r.add(b, now)
		}
		for _, s := range b.Segments {
			if _, blocked := r.blocks[s]; blocked && r.answers(s) >= soundAnswers {
				r.lift(s, now.Add(liftTime), now)
			}
		}
	}
}

// lift ends the block of a sound segment, which is not blocked until a time. The caller
// holds the lock.
func (r *Registry) lift(segment string, until, now time.Time) {
	delete(r.blocks, segment)
	delete(r.terms, segment)
	maps.DeleteFunc(r.lifted, func(_ string, until time.Time) bool { return !until.After(now) })
	if len(r.lifted) < maxBlocks {
		r.lifted[segment] = until
	}
}

// Objections lifts the blocks of segments that this instance knows to be sound, and
// returns what other instances should be told of them.
func (r *Registry) Objections(now time.Time) []Break {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Break
	for s := range r.blocks {
		if n := r.answered[s] + r.answeredBefore[s]; n >= soundAnswers {
			r.lift(s, now.Add(liftTime), now)
			list = append(list, Break{At: now, Segments: []string{s}, Answers: []int{n}})
		}
	}
	return list
}

// add records a break. The caller holds the lock.
func (r *Registry) add(b Break, now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now.Sub(c.at) > evidenceAge })
	if len(r.crashes) == 0 {
		clear(r.reported)
	}
	if now.Sub(b.At) > evidenceAge {
		return
	}
	r.pending, r.requestsPending = true, true
	for i := range r.crashes {
		c := &r.crashes[i]
		if c.target != b.Target || b.At.Sub(c.at).Abs() > crashWindow {
			continue
		}
		if len(c.breaks) < maxBreaks {
			c.breaks = append(c.breaks, b)
			if b.At.Before(c.at) {
				c.at = b.At
			}
		}
		return
	}
	if len(r.crashes) < maxCrashes {
		r.crashes = append(r.crashes, crash{target: b.Target, at: b.At, breaks: []Break{b}})
	}
}

// AddBlocks takes over the blocks of another instance and returns those that are
// new.
func (r *Registry) AddBlocks(blocks []Block, now time.Time) []Block {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []Block
	for _, b := range blocks {
		if b.Until.IsZero() {
			if b.Lifted.After(now) {
				r.lift(b.Segment, b.Lifted, now)
			}
			continue
		}
		if !b.Until.After(now) || r.blocks[b.Segment].Until.After(now) || r.lifted[b.Segment].After(now) {
			continue
		}
		if r.set(b, now) {
			added = append(added, b)
		}
	}
	return added
}

// Blocks returns the blocks in force, and those that were lifted.
func (r *Registry) Blocks(now time.Time) []Block {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(slices.Collect(maps.Values(r.blocks)), func(b Block) bool { return !b.Until.After(now) })
	for s, until := range r.lifted {
		if until.After(now) {
			list = append(list, Block{Segment: s, Lifted: until})
		}
	}
	return list
}

// Check returns the block that applies to a call with these segments.
func (r *Registry) Check(segments []string, now time.Time) (Block, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range segments {
		if b, ok := r.blocks[s]; ok && b.Until.After(now) {
			return b, true
		}
	}
	return Block{}, false
}

func (r *Registry) answers(segment string) int {
	return max(r.answered[segment]+r.answeredBefore[segment], r.reported[segment])
}

// set puts a block in force unless there are too many. The caller holds the lock.
func (r *Registry) set(b Block, now time.Time) bool {
	if _, known := r.blocks[b.Segment]; !known && len(r.blocks) >= maxBlocks {
		maps.DeleteFunc(r.blocks, func(segment string, old Block) bool {
			if old.Until.After(now) {
				return false
			}
			delete(r.terms, segment)
			return true
		})
		if len(r.blocks) >= maxBlocks {
			return false
		}
	}
	r.blocks[b.Segment] = b
	r.terms[b.Segment]++
	return true
}
