package gateway

import (
	"time"

	"bamboorail.example/bamboorail/internal/informer"
	"bamboorail.example/bamboorail/internal/mirror"
)

// followedKind states how fast the changes of one kind of object reach the instances.
type followedKind struct {
	// watchTimeout is the longest duration of one watch. It bounds the time for which a
	// gap in the store's history or a lost watch goes undetected.
	watchTimeout time.Duration
	// batchDelay is the pause after a watch that returned changes, so that the next one
	// returns several.
	batchDelay time.Duration
	// bound is the time from the acknowledgement of a change within which it must be in
	// force.
	bound time.Duration
}

// The kinds that are followed. The bounds are the tightest that platforms set. Targets write
// so often that a watch of theirs hardly waits.
var (
	configurations = followedKind{watchTimeout: time.Second, batchDelay: 200 * time.Millisecond, bound: 2 * time.Second}
	targets        = followedKind{watchTimeout: 300 * time.Millisecond, batchDelay: 900 * time.Millisecond, bound: 2 * time.Second}
	releases       = followedKind{watchTimeout: time.Second, batchDelay: time.Second, bound: 5 * time.Second}
)

// answerMargin is the time by which an answer of the store to a watch may be late before
// a holder serves the kind no more. A slow store takes up to 0.25 s.
const answerMargin = 400 * time.Millisecond

// maxAge returns the time since the state of the store that an answer shows for which a
// holder serves the kind to others. It ends with the next answer, if that is in time.
func (k followedKind) maxAge() time.Duration { return k.batchDelay + k.watchTimeout + answerMargin }

// worstDelay returns the time from the acknowledgement of a change until it is in force at
// a sound instance that reads through a disturbed holder, and whose next source does not
// answer: the data of the holder expire, the instance pauses after earlier changes, waits
// for the next source, and calls the store.
func (k followedKind) worstDelay() time.Duration {
	return k.maxAge() + informer.PeerBatchDelay + mirror.ProbeTimeout
}
