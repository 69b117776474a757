package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of a sliding window, which advances by
// one bucket at a time.
const windowBuckets = 10

// WindowBudget allows retries as a fraction of the requests in a sliding window
// plus a constant, which is the share of this instance in a common budget.
type WindowBudget struct {
	mu           sync.Mutex
	ratio        float64
	slack        float64
	bucketLength time.Duration
	// start is kept for its monotonic clock reading, since the wall clock may
	// jump.
	start    time.Time
	requests [windowBuckets]float64
	retries  [windowBuckets]float64
	current  int64
}

// NewWindowBudget returns a budget over a window of the given length.
func NewWindowBudget(ratio, slack float64, length time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, bucketLength: length / windowBuckets, start: time.Now()}
}

// Configure changes the budget and keeps the retries already made. If the
// length changes, they count as made now, since their times are not known.
func (w *WindowBudget) Configure(ratio, slack float64, length time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.ratio, w.slack = ratio, slack
	if length/windowBuckets == w.bucketLength {
		return
	}
	spent := 0.0
	for _, n := range w.retries {
		spent += n
	}
	w.bucketLength, w.start, w.current = length/windowBuckets, now, 0
	w.requests, w.retries = [windowBuckets]float64{}, [windowBuckets]float64{spent}
}

// SetSlack changes the constant part.
func (w *WindowBudget) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// advance drops the buckets that have left the window. The caller holds the
// lock.
func (w *WindowBudget) advance(now time.Time) {
	n := int64(now.Sub(w.start) / w.bucketLength)
	if n-w.current >= windowBuckets {
		w.requests, w.retries = [windowBuckets]float64{}, [windowBuckets]float64{}
		w.current = n
	}
	for w.current < n {
		w.current++
		w.requests[w.current%windowBuckets], w.retries[w.current%windowBuckets] = 0, 0
	}
}

// RecordRequest counts a request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current%windowBuckets]++
}

func (w *WindowBudget) allowsRetry() bool {
	var requests, retries float64
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return retries+1 <= w.ratio*requests+w.slack
}

// Available reports whether a retry is allowed.
func (w *WindowBudget) Available(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.allowsRetry()
}

// Take reports whether a retry is allowed and, if so, counts it.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.allowsRetry() {
		return false
	}
	w.retries[w.current%windowBuckets]++
	return true
}

// Return takes back a retry that was not made.
func (w *WindowBudget) Return(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	bucket := &w.retries[w.current%windowBuckets]
	*bucket = max(*bucket-1, 0)
}
