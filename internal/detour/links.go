package detour

import (
	"sync"
	"time"
)

const (
	// minFailures is the number of targets that must fail, without any that can be
	// reached, before this instance counts as partitioned from all. Services may have
	// fewer targets.
	minFailures = 3
	// failureAge is the time for which a failure counts.
	failureAge = 2 * time.Second
)

// links tracks whether any target can be reached. New connections decide: old ones may
// still work while new ones are refused. It is safe for concurrent use.
type links struct {
	mu sync.Mutex
	// failed are the targets that could not be reached, with the time of the attempt.
	// Only attempts that began after a target was reached last count.
	failed      map[string]time.Time
	lastReached time.Time
	// suspected is set if a target failed since the last verdict.
	suspected bool
	// partitionedAt is the time since which no target can be reached, zero if some can.
	partitionedAt time.Time
}

func newLinks() *links { return &links{failed: map[string]time.Time{}} }

// recordConnected records that a target was reached.
func (l *links) recordConnected(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.failed)
	l.lastReached = now
	l.suspected = false
	l.partitionedAt = time.Time{}
}

// recordFailure records that a target could not be reached by an attempt that began at a
// time. An empty address means that it is not known whether it was the target or the
// path.
func (l *links) recordFailure(address string, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !began.After(l.lastReached) {
		return
	}
	l.suspected = true
	if address != "" {
		l.failed[address] = began
	}
}

// isSuspected reports whether targets should be probed.
func (l *links) isSuspected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspected || !l.partitionedAt.IsZero()
}

// decide updates the verdict after a round of probes. It reports whether that changed.
func (l *links) decide(targets int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, at := range l.failed {
		if now.Sub(at) > failureAge {
			delete(l.failed, address)
		}
	}
	if !l.partitionedAt.IsZero() || len(l.failed) == 0 || len(l.failed) < min(minFailures, targets) {
		return false
	}
	l.partitionedAt = now
	return true
}

// partitionedFor returns the time for which no target can be reached, 0 if some can.
func (l *links) partitionedFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitionedAt.IsZero() {
		return 0
	}
	return max(now.Sub(l.partitionedAt), 1)
}
