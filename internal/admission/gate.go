package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

// Gate bounds the requests that run at once and queues the others fairly.
type Gate struct {
	mu       sync.Mutex
	queue    *Queue
	limit    int
	maxQueue int
	running  int
	closed   error
}

// NewGate returns a gate for limit running and maxQueue waiting requests.
func NewGate(limit, maxQueue int) *Gate {
	return &Gate{queue: NewQueue(), limit: limit, maxQueue: maxQueue}
}

// gateRetryAfter is the wait suggested when the queue of a gate is full.
const gateRetryAfter = time.Second

// SetLimit changes the number of requests that run at once.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.admit()
}

// Close refuses waiting and later requests with err until it is nil again.
func (g *Gate) Close(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = err
	if err == nil {
		return
	}
	for _, i := range g.queue.TakeIf(func(*QueuedRequest) bool { return true }) {
		i.Decide(Grant{Err: err})
	}
}

// Running returns the number of requests that run.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Enter waits until the request may run. Each success needs a call of Leave.
func (g *Gate) Enter(ctx context.Context, w *bamboorail.Request, now time.Time) error {
	i := NewQueuedRequest(w, now)
	if err := g.push(i); err != nil {
		return err
	}
	select {
	case grant := <-i.Granted():
		return grant.Err
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.queue.Remove(i)
	g.mu.Unlock()
	if !removed {
		if grant := <-i.Granted(); grant.Err == nil {
			g.Leave()
		}
	}
	return &Error{bamboorail.Failure{
		Op: "enter-gate", Kind: bamboorail.KindDeadlineExceeded, Outcome: bamboorail.OutcomeNotRun,
		RetryAfter: gateRetryAfter, Err: ctx.Err(),
	}}
}

func (g *Gate) push(i *QueuedRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		return g.closed
	}
	if g.queue.Len() >= g.maxQueue {
		return &Error{bamboorail.Failure{
			Op: "enter-gate", Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun,
			RetryAfter: gateRetryAfter, Err: fmt.Errorf("%d requests wait", g.queue.Len()),
		}}
	}
	g.queue.Push(i)
	g.admit()
	return nil
}

// Leave ends a request that entered.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.admit()
}

func (g *Gate) admit() {
	for g.running < g.limit {
		i := g.queue.Pop(func(bamboorail.ModelRef) bool { return true })
		if i == nil {
			return
		}
		g.running++
		i.Decide(Grant{})
	}
}
