package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
)

// Option is a target to which a request may be sent, as last announced.
type Option struct {
	Target   string
	MaxBatch int
	// Load is the number of running and queued requests, with those sent
	// since the announcement.
	Load int
	// Wait is the announced time to work off the queue.
	Wait time.Duration
	// Loaded and Loading tell whether the model is on the target.
	Loaded, Loading bool
	// LoadTime is the time of a load, Loads the number of loads ahead.
	LoadTime time.Duration
	Loads    int
	// Avoid is set for targets that start or do not answer.
	Avoid bool
}

// cost estimates the time until a request would start on the target.
func (o Option) cost() time.Duration {
	cost := o.Wait
	if over := o.Load - o.MaxBatch; over > 0 && o.Wait == 0 {
		cost = time.Duration(over) * o.LoadTime / time.Duration(max(1, o.MaxBatch))
	}
	switch {
	case o.Loaded:
	case o.Loading:
		cost = max(cost, o.LoadTime)
	default:
		cost = max(cost, o.LoadTime*time.Duration(1+o.Loads))
	}
	if o.Avoid {
		cost += avoidPenalty
	}
	return cost
}

// avoidPenalty outweighs every expected wait.
const avoidPenalty = time.Hour

// Route returns the options in the order in which a request for the model
// should try them. Among options of about equal cost, a cold model prefers
// one target by rendezvous hashing, so that its requests meet, and a loaded
// one the target with the least load.
func Route(m bamboorail.ModelRef, options []Option) []Option {
	ordered := slices.Clone(options)
	slices.SortFunc(ordered, func(a, b Option) int {
		ca, cb := a.cost(), b.cost()
		tolerance := min(a.LoadTime, b.LoadTime) / 2
		if d := ca - cb; a.Loaded != b.Loaded || d > tolerance || d < -tolerance {
			return compare(ca, cb)
		}
		if a.Loaded && a.Load*b.MaxBatch != b.Load*a.MaxBatch {
			return compare(a.Load*b.MaxBatch, b.Load*a.MaxBatch)
		}
		return -compare(affinity(m, a.Target), affinity(m, b.Target))
	})
	return ordered
}

func compare[T int | uint64 | time.Duration](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// affinity is the rendezvous weight of a target for a model.
func affinity(m bamboorail.ModelRef, target string) uint64 {
	return xxhash.Sum64String(m.String() + "\x00" + target)
}
