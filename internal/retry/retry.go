// Package retry limits how often and how soon failed calls are retried.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries as a fraction of successful calls, so that retries
// cannot multiply the load on a failing system.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	max    float64
}

// NewBudget returns a budget that earns ratio retries for each success and
// accumulates up to burst of them.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{tokens: float64(burst), ratio: ratio, max: float64(burst)}
}

// RecordSuccess records a call that succeeded.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.max, b.tokens+b.ratio)
}

// Take reports whether a retry is allowed and, if so, consumes it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before the given retry, counted from 0: random
// between half and all of an exponential delay of at most limit.
func Backoff(attempt int, base, limit time.Duration) time.Duration {
	d := min(limit, base<<min(attempt, 16))
	return d/2 + rand.N(d/2+1)
}

// Jitter extends a retry delay that is suggested to callers by up to a quarter,
// so that they do not return at the same time.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d/4+1)
}
