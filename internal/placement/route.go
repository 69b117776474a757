package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
)

// RouteCandidate is a target to which a request may be sent, as last announced.
type RouteCandidate struct {
	Target   string
	MaxBatch int
	// Outstanding is the number of running and queued requests, with those sent
	// since the announcement.
	Outstanding int
	// Wait is the announced time to work off the queue.
	Wait time.Duration
	// Loaded tells whether the model is on the target, Loading whether its
	// load is under way or awaited.
	Loaded, Loading bool
	// LoadTime is the time of a load with the wait for its permit.
	LoadTime time.Duration
	// Awaited is the number of models whose loads the target awaits.
	Awaited int
	// VictimValue is the worth of what the next load would evict, in requests
	// during the time of a load.
	VictimValue float64
	// CrossZone is set for targets of another availability zone.
	CrossZone bool
	// Avoid is set for targets that start or do not answer.
	Avoid bool
}

// TimeToStart estimates the time until a request would start on the target.
func (o RouteCandidate) TimeToStart() time.Duration {
	if o.Loaded || o.Loading {
		return o.Wait
	}
	return o.Wait + o.LoadTime*time.Duration(1+o.Awaited)
}

const (
	// awaitedShare is the part of the load time that is left on average when
	// a request joins others that wait for the same load.
	awaitedShare = 0.25
	// loadShare charges a request that needs a load of its own for the delay
	// that the load causes to others at the weight store.
	loadShare = 4.0
	// affinityShare is the part of the load time by which the engines that
	// rendezvous hashing prefers for a model are favored.
	affinityShare = 0.25
	// farCost is the price, in seconds, of a hop to another zone.
	farCost = 0.002
	// avoidPenalty outweighs every expected wait.
	avoidPenalty = float64(time.Hour / time.Second)
)

// cost estimates, in seconds, the time until a request for the model would
// start on the target, with the delay that it causes to others.
func (o RouteCandidate) cost(m bamboorail.ModelRef, loadTime float64) float64 {
	load := loadTime * float64(1+o.Awaited)
	cost := o.Wait.Seconds()
	if o.CrossZone {
		cost += farCost
	}
	if o.Avoid {
		cost += avoidPenalty
	}
	switch {
	case o.Loaded:
		return cost + float64(o.Outstanding)/float64(max(1, o.MaxBatch))*loadedSpread
	case o.Loading:
		return cost + awaitedShare*load
	}
	return cost + loadShare*load + o.VictimValue*load - affinityShare*load*affinity(m, o.Target)
}

// loadedSpread is the time, in seconds, that a full batch counts for among
// engines without a queue, so that they fill evenly.
const loadedSpread = 0.1

// Route returns the options in the order in which a request for the model
// should try them.
func Route(m bamboorail.ModelRef, options []RouteCandidate) []RouteCandidate {
	loadTime := meanLoadTime(options)
	costs := make(map[string]float64, len(options))
	for _, o := range options {
		costs[o.Target] = o.cost(m, loadTime)
	}
	ordered := slices.Clone(options)
	slices.SortFunc(ordered, func(a, b RouteCandidate) int {
		if c := cmp.Compare(costs[a.Target], costs[b.Target]); c != 0 {
			return c
		}
		return cmp.Compare(a.Target, b.Target)
	})
	return ordered
}

// meanLoadTime returns the mean time of a load in seconds. All targets are
// charged the same, as they share the weight store: an engine whose estimate is
// stale would otherwise never be tried again.
func meanLoadTime(options []RouteCandidate) float64 {
	sum := 0.0
	for _, o := range options {
		sum += o.LoadTime.Seconds()
	}
	return sum / float64(max(1, len(options)))
}

// affinity is the rendezvous weight of a target for a model, from 0 to 1.
func affinity(m bamboorail.ModelRef, target string) float64 {
	return float64(xxhash.Sum64String(m.String()+"\x00"+target)) / (1 << 64)
}
