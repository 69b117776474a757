package membership

import (
	"time"

	"bamboorail.example/bamboorail/internal/platform"
)

const (
	// minHeartbeatInterval is the interval between heartbeats in a small region.
	// In a large region the interval grows with the number of peers, so that
	// the traffic of each instance stays bounded.
	minHeartbeatInterval     = time.Second
	heartbeatIntervalPerPeer = 75 * time.Millisecond
	// HeartbeatTick is the interval of the check for due heartbeats.
	HeartbeatTick = 100 * time.Millisecond
	// heartbeatsToDetectExit is the number of heartbeats that prove the end of a
	// process: one in flight when the process ends only loses its connection,
	// which is no proof; the connection of the next one is refused.
	heartbeatsToDetectExit = 2
)

// HeartbeatInterval returns the interval between heartbeats to each of the given
// number of peers.
func HeartbeatInterval(peers int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(peers)*heartbeatIntervalPerPeer)
}

// TakeoverTime is the upper bound of the time from the end of an owner's process
// to the announcement of the next owner, provided that the address of the former
// owner refuses connections. It adds up the detection by heartbeats, the claim
// in the ledger, which becomes provisional if the store does not answer within
// platform.CallTimeout, and the heartbeat that announces the new owner
// immediately.
func TakeoverTime(peers int) time.Duration {
	detection := heartbeatsToDetectExit * (HeartbeatInterval(peers) + HeartbeatTick)
	return detection + platform.CallTimeout + HeartbeatTick
}
