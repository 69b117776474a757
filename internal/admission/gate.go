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

// Gate limits the number of concurrent requests and queues the others fairly.
type Gate struct {
	mu        sync.Mutex
	queue     *Queue
	limit     int
	maxQueue  int
	running   int
	closedErr error
}

// NewGate returns a gate that admits limit concurrent requests and queues up to
// maxQueue others.
func NewGate(limit, maxQueue int) *Gate {
	return &Gate{queue: NewQueue(), limit: limit, maxQueue: maxQueue}
}

// gateRetryAfter is the retry delay suggested if the queue of a gate is full.
const gateRetryAfter = time.Second

// SetLimit changes the number of concurrent requests.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.admit()
}

// Close refuses waiting and new requests with err. A nil err reopens the gate.
func (g *Gate) Close(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closedErr = err
	if err == nil {
		return
	}
	for _, i := range g.queue.TakeIf(func(*QueuedRequest) bool { return true }) {
		i.Decide(Decision{Err: err})
	}
}

// Running returns the number of running requests.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Enter blocks until the request may run. Every successful call must be
// followed by a call of Leave.
func (g *Gate) Enter(ctx context.Context, r *bamboorail.Request, now time.Time) error {
	i := NewQueuedRequest(r, now)
	if err := g.push(i); err != nil {
		return err
	}
	select {
	case grant := <-i.Decided():
		return grant.Err
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.queue.Remove(i)
	g.mu.Unlock()
	if !removed {
		if grant := <-i.Decided(); grant.Err == nil {
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
	if g.closedErr != nil {
		return g.closedErr
	}
	if g.queue.Len() >= g.maxQueue {
		return &Error{bamboorail.Failure{
			Op: "enter-gate", Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun,
			RetryAfter: gateRetryAfter, Err: fmt.Errorf("queue is full: %d requests waiting", g.queue.Len()),
		}}
	}
	g.queue.Push(i)
	g.admit()
	return nil
}

// Leave records the end of a request that entered.
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
		i.Decide(Decision{})
	}
}
