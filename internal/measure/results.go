package measure

import (
	"math"
	"slices"
	"time"
)

// Results holds the measurements of one run, taken after the warm-up.
type Results struct {
	site           Site
	stalls         []float64
	stallSamples   []stallSample
	runningSeconds float64 // integral of running requests over time
	measured       float64 // seconds
	rejected       int
	lost           int
	loads          int
	evictions      int
	finished       int
	demanded       []float64 // tokens by caller
	served         []float64
}

type stallSample struct {
	at    time.Duration
	stall float64
}

func newResults(s Site) *Results {
	return &Results{site: s, demanded: make([]float64, len(s.Callers)), served: make([]float64, len(s.Callers))}
}

func (r *Results) integrate(from, to time.Duration, running int) {
	from = max(from, Warmup)
	if to > from {
		r.runningSeconds += float64(running) * (to - from).Seconds()
		r.measured += (to - from).Seconds()
	}
}

func (r *Results) inMeasurement(q *request) bool { return q.firstArrival >= Warmup }

func (r *Results) dispatch(q *request, now, stall time.Duration) {
	if now >= Warmup {
		r.served[q.arrival.Caller] += float64(q.arrival.Tokens)
	}
	if r.inMeasurement(q) {
		r.recordStall(q, stall)
	}
}

func (r *Results) recordStall(q *request, stall time.Duration) {
	r.demanded[q.arrival.Caller] += float64(q.arrival.Tokens)
	r.stalls = append(r.stalls, stall.Seconds())
	r.stallSamples = append(r.stallSamples, stallSample{q.firstArrival, stall.Seconds()})
}

// recordRejection records a request that was rejected. Its whole waiting time
// counts as a stall.
func (r *Results) recordRejection(q *request, now time.Duration) {
	if r.inMeasurement(q) {
		r.rejected++
		r.recordStall(q, now-q.firstArrival)
	}
}

func (r *Results) finish(_ *request, now time.Duration) {
	if now >= Warmup {
		r.finished++
	}
}

// Requests returns the number of measured requests.
func (r *Results) Requests() int { return len(r.stalls) }

// MeanStall returns the mean load-stall seconds per request.
func (r *Results) MeanStall() float64 {
	sum := 0.0
	for _, s := range r.stalls {
		sum += s
	}
	return sum / float64(max(1, len(r.stalls)))
}

// StallQuantile returns the q-quantile of the load-stall seconds.
func (r *Results) StallQuantile(q float64) float64 {
	if len(r.stalls) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.stalls))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// BatchUtilization returns the mean fraction of batch slots in use.
func (r *Results) BatchUtilization() float64 {
	return r.runningSeconds / (r.measured * float64(r.site.Engines*r.site.MaxBatch))
}

// Throughput returns the number of requests completed per second.
func (r *Results) Throughput() float64 { return float64(r.finished) / r.measured }

// RejectionRate returns the fraction of requests that were rejected.
func (r *Results) RejectionRate() float64 {
	return float64(r.rejected) / float64(max(1, len(r.stalls)))
}

// LoadsPer1000 returns the loads of the whole run, including the warm-up, per
// 1,000 measured requests.
func (r *Results) LoadsPer1000() float64 {
	return 1000 * float64(r.loads) / float64(max(1, len(r.stalls)))
}

// EvictionsPer1000 returns the evictions of the whole run, including the
// warm-up, per 1,000 measured requests.
func (r *Results) EvictionsPer1000() float64 {
	return 1000 * float64(r.evictions) / float64(max(1, len(r.stalls)))
}

// MinFairShareRatio returns the lowest ratio, over all callers, of the tokens
// served to the caller's max-min fair share of the engines' capacity, at most 1.
func (r *Results) MinFairShareRatio() float64 {
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

// fairShares computes weighted max-min fair shares by progressive filling.
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

// SeriesStep is the interval between the points of a series.
const SeriesStep = 10 * time.Second

// Series returns the mean stall of the requests that arrived in each step
// after the warm-up.
func (r *Results) Series() []float64 {
	sums := make([]float64, int((Duration-Warmup)/SeriesStep)+1)
	counts := make([]float64, len(sums))
	for _, s := range r.stallSamples {
		n := int((s.at - Warmup) / SeriesStep)
		sums[n] += s.stall
		counts[n]++
	}
	for n := range sums {
		sums[n] /= math.Max(1, counts[n])
	}
	return sums
}

// RecoverySeconds returns the time from an event until the mean stall per step
// stays at or below twice the mean before the event plus 50 ms. If it never
// does, the result is the time to the end of the run.
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

// LowerBound returns a lower bound on the mean stall per request for any
// policy. It assumes that all slots form one pool and counts the loads under
// optimal offline eviction (Belady's algorithm). Each load delays at least the
// request that first needs it by the duration of a load without contention.
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
	held := map[string]int{} // maps an adapter to the index of its next use
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
