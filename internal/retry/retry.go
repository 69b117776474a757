// Package retry bounds how often and how soon failed calls are made again.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries as a fraction of successes, so that retries cannot
// multiply the load on a system that fails.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	max    float64
}

// NewBudget returns a budget that earns ratio retries for each success and
// saves up to burst of them.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{tokens: float64(burst), ratio: ratio, max: float64(burst)}
}

// RecordSuccess records a call that succeeded.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.max, b.tokens+b.ratio)
}

// Take reports whether a retry is allowed, and spends it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the time before the given retry, counted from 0: random
// between half and all of a delay that doubles up to limit.
func Backoff(attempt int, first, limit time.Duration) time.Duration {
	d := min(limit, first<<min(attempt, 16))
	return d/2 + rand.N(d/2+1)
}

// Jitter spreads a time that is suggested to callers by up to a quarter, so
// that they do not return together.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + rand.N(d/4+1)
}
