package ratelimit

import "time"

const (
	// Span is the time over which requests are counted.
	Span = 4 * time.Second
	// buckets is the number of parts of it that are counted apart. One more bucket
	// holds the part that is under way, so that no request is forgotten early.
	buckets    = 16
	bucketSpan = Span / buckets
)

// Window counts the requests of the last Span, and of up to bucketSpan before it. The
// zero value is empty.
type Window struct {
	origin time.Time
	last   int64 // number of the newest bucket since origin
	counts [buckets + 1]int
}

// Add counts n requests at a time.
func (w *Window) Add(n int, now time.Time) {
	w.advance(now)
	w.counts[w.last%int64(len(w.counts))] += n
}

// Count returns the number of requests.
func (w *Window) Count(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// Counts returns the numbers of requests by age, in units of bucketSpan, without the
// zeros at the end.
func (w *Window) Counts(now time.Time) []int32 {
	w.advance(now)
	list, used := make([]int32, len(w.counts)), 0
	for age := range list {
		if n := w.last - int64(age); n >= 0 {
			list[age] = int32(w.counts[n%int64(len(w.counts))])
		}
		if list[age] > 0 {
			used = age + 1
		}
	}
	return list[:used]
}

// windowOf returns a window with the given numbers of requests by age.
func windowOf(counts []int32, now time.Time) *Window {
	w := &Window{origin: now.Add(-Span)}
	w.advance(now)
	for age, n := range counts[:min(len(counts), len(w.counts))] {
		w.counts[(w.last-int64(age))%int64(len(w.counts))] = int(max(n, 0))
	}
	return w
}

// advance clears the buckets up to the one of a time.
func (w *Window) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	n := int64(now.Sub(w.origin) / bucketSpan)
	for skipped := min(n-w.last, int64(len(w.counts))); skipped > 0; skipped-- {
		w.counts[(n-skipped+1)%int64(len(w.counts))] = 0
	}
	w.last = max(w.last, n)
}
