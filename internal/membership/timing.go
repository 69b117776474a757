package membership

import (
	"time"

	"bamboorail.example/bamboorail/internal/platform"
)

const (
	// minBeatInterval is the time between heartbeats in a small region. In a
	// large one it grows so that a node's traffic stays bounded.
	minBeatInterval  = time.Second
	beatSpacePerPeer = 75 * time.Millisecond
	// BeatTick is the time between two looks at which heartbeats are due.
	BeatTick = 100 * time.Millisecond
	// provingBeats is the number of heartbeats that prove the end of a process:
	// one that is under way when it ends only breaks off, the next is refused.
	provingBeats = 2
)

// BeatInterval returns the time between heartbeats to one of several peers.
func BeatInterval(peers int) time.Duration {
	return max(minBeatInterval, time.Duration(peers)*beatSpacePerPeer)
}

// TakeoverTime bounds the time from the end of an owner's process until the
// next owner is announced, if its address refuses connections: heartbeats prove
// the end, the ledger takes the claim or, unanswered, leaves it provisional, and
// a heartbeat at once announces it.
func TakeoverTime(peers int) time.Duration {
	notice := provingBeats * (BeatInterval(peers) + BeatTick)
	return notice + platform.CallTimeout + BeatTick
}
