package retry

import (
	"sync"
	"time"
)

// windowParts is the number of parts of which a window slides one at a time.
const windowParts = 10

// WindowBudget allows retries as a fraction of the requests of a sliding window plus
// a constant, which is the share of this instance in a budget of all.
type WindowBudget struct {
	mu    sync.Mutex
	ratio float64
	slack float64
	part  time.Duration
	// start is kept for its monotonic part: the time of day may jump.
	start    time.Time
	requests [windowParts]float64
	retries  [windowParts]float64
	current  int64
}

// NewWindowBudget returns a budget over windows of the given length.
func NewWindowBudget(ratio, slack float64, length time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, part: length / windowParts, start: time.Now()}
}

// Configure changes the budget and keeps what was spent. Retries in a window of
// another length count from now on, since their times are not known.
func (w *WindowBudget) Configure(ratio, slack float64, length time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.ratio, w.slack = ratio, slack
	if length/windowParts == w.part {
		return
	}
	spent := 0.0
	for _, n := range w.retries {
		spent += n
	}
	w.part, w.start, w.current = length/windowParts, now, 0
	w.requests, w.retries = [windowParts]float64{}, [windowParts]float64{spent}
}

// SetSlack changes the constant.
func (w *WindowBudget) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// advance drops the parts that left the window. The caller holds the lock.
func (w *WindowBudget) advance(now time.Time) {
	n := int64(now.Sub(w.start) / w.part)
	if n-w.current >= windowParts {
		w.requests, w.retries = [windowParts]float64{}, [windowParts]float64{}
		w.current = n
	}
	for w.current < n {
		w.current++
		w.requests[w.current%windowParts], w.retries[w.current%windowParts] = 0, 0
	}
}

// RecordRequest counts a request.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.current%windowParts]++
}

func (w *WindowBudget) room() bool {
	var requests, retries float64
	for i := range windowParts {
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
	return w.room()
}

// Take reports whether a retry is allowed, and counts it.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.room() {
		return false
	}
	w.retries[w.current%windowParts]++
	return true
}
