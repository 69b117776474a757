package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
)

// RouteCandidate is a target to which a request may be sent, as last announced
// by its owner.
type RouteCandidate struct {
	Target   string
	MaxBatch int
	// Outstanding is the number of running and queued requests, including those
	// sent since the announcement.
	Outstanding int
	// Wait is the announced time to drain the queue.
	Wait time.Duration
	// Loaded is set if the model is loaded on the target, Loading if its load is
	// in progress or pending.
	Loaded, Loading bool
	// LoadTime is the duration of a load, including the wait for its permit.
	LoadTime time.Duration
	// Awaited is the number of models whose loads are pending on the target.
	Awaited int
	// VictimValue is the expected demand of the adapter that the next load would
	// evict, in requests for the duration of a load.
	VictimValue float64
	// CrossZone is set for targets in another availability zone.
	CrossZone bool
	// Avoid is set for targets that are starting or do not answer.
	Avoid bool
}

// TimeToStart estimates the time until a request would start on the target.
func (c RouteCandidate) TimeToStart() time.Duration {
	if c.Loaded || c.Loading {
		return c.Wait
	}
	return c.Wait + c.LoadTime*time.Duration(1+c.Awaited)
}

const (
	// pendingLoadFraction is the fraction of the load time that remains on
	// average when a request joins others that wait for the same load.
	pendingLoadFraction = 0.25
	// newLoadFactor charges a request that needs a load of its own for the delay
	// that this load causes to others at the weight store.
	newLoadFactor = 4.0
	// affinityFactor is the fraction of the load time by which engines that
	// rendezvous hashing prefers for a model are favored.
	affinityFactor = 0.25
	// crossZoneCost is the cost, in seconds, of a hop to another zone.
	crossZoneCost = 0.002
	// avoidPenalty exceeds every expected wait.
	avoidPenalty = float64(time.Hour / time.Second)
)

// cost estimates, in seconds, the time until a request for the model would
// start on the target, plus the delay that the request causes to others.
func (c RouteCandidate) cost(m bamboorail.ModelRef, loadTime float64) float64 {
	load := loadTime * float64(1+c.Awaited)
	cost := c.Wait.Seconds()
	if c.CrossZone {
		cost += crossZoneCost
	}
	if c.Avoid {
		cost += avoidPenalty
	}
	switch {
	case c.Loaded:
		return cost + float64(c.Outstanding)/float64(max(1, c.MaxBatch))*fullBatchCost
	case c.Loading:
		return cost + pendingLoadFraction*load
	}
	return cost + newLoadFactor*load + c.VictimValue*load - affinityFactor*load*affinity(m, c.Target)
}

// fullBatchCost is the cost, in seconds, of a full batch on an engine without a
// queue. It spreads requests evenly over such engines.
const fullBatchCost = 0.1

// Route returns the candidates in the order in which a request for the model
// should try them.
func Route(m bamboorail.ModelRef, candidates []RouteCandidate) []RouteCandidate {
	loadTime := meanLoadTime(candidates)
	costs := make(map[string]float64, len(candidates))
	for _, o := range candidates {
		costs[o.Target] = o.cost(m, loadTime)
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b RouteCandidate) int {
		if c := cmp.Compare(costs[a.Target], costs[b.Target]); c != 0 {
			return c
		}
		return cmp.Compare(a.Target, b.Target)
	})
	return ordered
}

// meanLoadTime returns the mean duration of a load in seconds. All targets are
// charged the same duration because they share the weight store, and because an
// engine with a stale estimate would otherwise never be tried again.
func meanLoadTime(candidates []RouteCandidate) float64 {
	sum := 0.0
	for _, o := range candidates {
		sum += o.LoadTime.Seconds()
	}
	return sum / float64(max(1, len(candidates)))
}

// affinity is the rendezvous hash weight of a target for a model, from 0 to 1.
func affinity(m bamboorail.ModelRef, target string) float64 {
	return float64(xxhash.Sum64String(m.String()+"\x00"+target)) / (1 << 64)
}
