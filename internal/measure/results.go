package measure

import (
	"math"
	"slices"
	"time"
)

// Results are the figures of one run, taken after the warm-up.
type Results struct {
	site      Site
	stalls    []float64
	stallAt   []stallAt
	area      float64 // running requests times seconds
	measured  float64 // seconds
	refused   int
	lost      int
	loads     int
	evictions int
	finished  int
	demanded  []float64 // tokens by caller
	served    []float64
}

type stallAt struct {
	at    time.Duration
	stall float64
}

func newResults(s Site) *Results {
	return &Results{site: s, demanded: make([]float64, len(s.Callers)), served: make([]float64, len(s.Callers))}
}

func (r *Results) integrate(from, to time.Duration, running int) {
	from = max(from, Warmup)
	if to > from {
		r.area += float64(running) * (to - from).Seconds()
		r.measured += (to - from).Seconds()
	}
}

func (r *Results) counts(q *request) bool { return q.first >= Warmup }

func (r *Results) dispatch(q *request, now, stall time.Duration) {
	if now >= Warmup {
		r.served[q.arrival.Caller] += float64(q.arrival.Tokens)
	}
	if r.counts(q) {
		r.stall(q, stall)
	}
}

func (r *Results) stall(q *request, stall time.Duration) {
	r.demanded[q.arrival.Caller] += float64(q.arrival.Tokens)
	r.stalls = append(r.stalls, stall.Seconds())
	r.stallAt = append(r.stallAt, stallAt{q.first, stall.Seconds()})
}

// refuse counts a request that was given up; what it waited counts as a
// stall.
func (r *Results) refuse(q *request, now time.Duration) {
	if r.counts(q) {
		r.refused++
		r.stall(q, now-q.first)
	}
}

func (r *Results) finish(_ *request, now time.Duration) {
	if now >= Warmup {
		r.finished++
	}
}

// Requests returns the number of requests measured.
func (r *Results) Requests() int { return len(r.stalls) }

// MeanStall returns the mean load-stall seconds per request.
func (r *Results) MeanStall() float64 {
	sum := 0.0
	for _, s := range r.stalls {
		sum += s
	}
	return sum / float64(max(1, len(r.stalls)))
}

// StallQuantile returns a quantile of the load-stall seconds.
func (r *Results) StallQuantile(q float64) float64 {
	if len(r.stalls) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.stalls))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Fill returns the mean part of the batches that was in use.
func (r *Results) Fill() float64 {
	return r.area / (r.measured * float64(r.site.Engines*r.site.MaxBatch))
}

// Finished returns the completed requests per second.
func (r *Results) Finished() float64 { return float64(r.finished) / r.measured }

// Refusals returns the refused part of the requests.
func (r *Results) Refusals() float64 { return float64(r.refused) / float64(max(1, len(r.stalls))) }

// LoadsPer1000 returns the loads per 1,000 requests of the whole run.
func (r *Results) LoadsPer1000() float64 {
	return 1000 * float64(r.loads) / float64(max(1, len(r.stalls)))
}

// EvictionsPer1000 returns the evictions per 1,000 requests.
func (r *Results) EvictionsPer1000() float64 {
	return 1000 * float64(r.evictions) / float64(max(1, len(r.stalls)))
}

// WorstShare returns the least ratio, over the callers, of the tokens served
// to the max-min fair share of the engines' capacity.
func (r *Results) WorstShare() float64 {
	capacity := r.measured * float64(r.site.Engines*r.site.MaxBatch) / r.site.Step.Seconds()
	fair := r.fairShares(capacity)
	worst := 1.0
	for n := range fair {
		if fair[n] > 0 {
			worst = math.Min(worst, r.served[n]/fair[n])
		}
	}
	return worst
}

// fairShares fills demands up by weight until the capacity is used.
func (r *Results) fairShares(capacity float64) []float64 {
	fair := make([]float64, len(r.demanded))
	open := map[int]bool{}
	for n := range fair {
		open[n] = true
	}
	for len(open) > 0 && capacity > 1 {
		weights := 0.0
		for n := range open {
			weights += float64(r.site.Callers[n].Weight)
		}
		level := math.Inf(1)
		for n := range open {
			level = math.Min(level, (r.demanded[n]-fair[n])/float64(r.site.Callers[n].Weight))
		}
		level = math.Min(level, capacity/weights)
		for n := range open {
			add := level * float64(r.site.Callers[n].Weight)
			fair[n] += add
			capacity -= add
			if r.demanded[n]-fair[n] < 1 {
				delete(open, n)
			}
		}
	}
	return fair
}

// SeriesStep is the width of a point of a series.
const SeriesStep = 10 * time.Second

// Series returns the mean stall of the requests that arrived in each step
// after the warm-up.
func (r *Results) Series() []float64 {
	sums := make([]float64, int((Duration-Warmup)/SeriesStep)+1)
	counts := make([]float64, len(sums))
	for _, s := range r.stallAt {
		n := int((s.at - Warmup) / SeriesStep)
		sums[n] += s.stall
		counts[n]++
	}
	for n := range sums {
		sums[n] /= math.Max(1, counts[n])
	}
	return sums
}

// RecoverySeconds returns the time after an event until the mean stall of a
// step is back at twice the steady figure or below, and the end of the run if
// it never is.
func (r *Results) RecoverySeconds(event time.Duration) float64 {
	series := r.Series()
	at := int((event - Warmup) / SeriesStep)
	steady := 0.0
	for _, s := range series[:at] {
		steady += s / float64(at)
	}
	last := at - 1
	for n := at; n < len(series)-1; n++ {
		if series[n] > 2*steady+0.05 {
			last = n
		}
	}
	return float64(last-at+1) * SeriesStep.Seconds()
}

// LowerBound returns the mean stall per request that no policy can go below:
// with all slots in one pool, as many loads as the optimal offline eviction
// needs, each of which delays at least the request that first needs it by the
// time of a load that runs alone.
func LowerBound(s Site, sc Scenario, seed uint64) float64 {
	demand := Demand(s, sc, seed)
	next := make([]int, len(demand))
	seen := map[string]int{}
	for n := len(demand) - 1; n >= 0; n-- {
		m := demand[n].Model.Adapter()
		next[n] = math.MaxInt
		if later, ok := seen[m]; ok {
			next[n] = later
		}
		seen[m] = n
	}
	held := map[string]int{} // adapter to its next use
	misses, counted := 0, 0
	for n, a := range demand {
		measured := a.At >= Warmup
		if measured {
			counted++
		}
		m := a.Model.Adapter()
		if _, ok := held[m]; !ok {
			if measured {
				misses++
			}
			if len(held) >= s.Engines*s.Slots {
				evictFarthest(held)
			}
		}
		held[m] = next[n]
	}
	return float64(misses) / (s.LoadsPerSecond * sc.StoreRate) / float64(max(1, counted))
}

func evictFarthest(held map[string]int) {
	farthest, name := -1, ""
	for m, use := range held {
		if use > farthest || (use == farthest && m < name) {
			farthest, name = use, m
		}
	}
	delete(held, name)
}
