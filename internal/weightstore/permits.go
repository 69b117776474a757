// Package weightstore schedules loads from the rate-limited weight store. One
// holder in each availability zone grants permits, most urgent request first.
package weightstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
)

// Error is the error type of this package.
type Error struct{ bamboorail.Failure }

const (
	// urgencyPerSecond is the aging rate: the urgency that a waiting request gains
	// per second, so that a steady stream of urgent loads cannot starve it.
	urgencyPerSecond = 0.5
	// permitTimeout is the time after which a permit expires. If its load is still
	// running, the store serves an additional load at the same time, which is slower
	// but safe.
	permitTimeout     = 2 * time.Minute
	maxQueuedRequests = 4096
)

// Holder grants a limited number of permits at a time.
type Holder struct {
	mu      sync.Mutex
	limit   int
	active  map[*permit]time.Time
	waiting []*waiter
}

type waiter struct {
	request bamboorail.PermitRequest
	since   time.Time
	granted chan *permit
}

// permit is a granted permit; it implements bamboorail.Permit.
type permit struct{ holder *Holder }

// NewHolder returns a holder that permits limit concurrent loads.
func NewHolder(limit int) *Holder {
	return &Holder{limit: limit, active: map[*permit]time.Time{}}
}

var _ bamboorail.PermitIssuer = (*Holder)(nil)

// AcquirePermit waits for a permit until ctx ends.
func (h *Holder) AcquirePermit(ctx context.Context, r bamboorail.PermitRequest) (bamboorail.Permit, error) {
	w := &waiter{request: r, since: time.Now(), granted: make(chan *permit, 1)}
	if err := h.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case p := <-w.granted:
		return p, nil
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remove(w) {
		return nil, &Error{bamboorail.Failure{Op: "acquire-permit", Kind: bamboorail.KindOverloaded, Err: ctx.Err()}}
	}
	return <-w.granted, nil
}

func (h *Holder) enqueue(w *waiter) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.waiting) >= maxQueuedRequests {
		return &Error{bamboorail.Failure{
			Op: "acquire-permit", Kind: bamboorail.KindOverloaded, Err: fmt.Errorf("permit queue is full: %d requests waiting", len(h.waiting)),
		}}
	}
	h.waiting = append(h.waiting, w)
	h.grantPermits(time.Now())
	return nil
}

func (h *Holder) remove(w *waiter) bool {
	for i, o := range h.waiting {
		if o == w {
			h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Release returns the permit. Further calls have no effect.
func (p *permit) Release() {
	p.holder.mu.Lock()
	defer p.holder.mu.Unlock()
	delete(p.holder.active, p)
	p.holder.grantPermits(time.Now())
}

// grantPermits grants available permits. The caller must hold h.mu.
func (h *Holder) grantPermits(now time.Time) {
	for p, since := range h.active {
		if now.Sub(since) > permitTimeout {
			delete(h.active, p)
		}
	}
	for len(h.active) < h.limit && len(h.waiting) > 0 {
		w := h.mostUrgent(now)
		h.remove(w)
		p := &permit{holder: h}
		h.active[p] = now
		w.granted <- p
	}
}

func (h *Holder) mostUrgent(now time.Time) *waiter {
	best := h.waiting[0]
	for _, w := range h.waiting[1:] {
		if w.urgency(now) > best.urgency(now) {
			best = w
		}
	}
	return best
}

func (w *waiter) urgency(now time.Time) float64 { return Urgency(w.request.Urgency, now.Sub(w.since)) }

// Urgency returns the effective urgency of a request that has waited for a permit.
func Urgency(asked float64, waited time.Duration) float64 {
	return asked + urgencyPerSecond*waited.Seconds()
}

// Waiting returns the number of waiting requests.
func (h *Holder) Waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiting)
}
