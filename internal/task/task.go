// Package task runs the long-lived goroutines of a process. Each goroutine
// takes a context and reports its result on a channel that its owner reads.
package task

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Func is the body of a task. It returns when ctx ends or the task fails.
type Func func(ctx context.Context) error

// Task is a running goroutine.
type Task struct {
	name string
	done chan error
}

// Start runs f in its own goroutine.
func Start(ctx context.Context, name string, f Func) *Task {
	d := &Task{name: name, done: make(chan error, 1)}
	go func() {
		d.done <- f(ctx)
		close(d.done)
	}()
	return d
}

// Name returns the name of the task.
func (d *Task) Name() string { return d.name }

// Done returns the channel that delivers the result of the task once.
func (d *Task) Done() <-chan error { return d.done }

// Join waits for the end of the task and discards its result.
func (d *Task) Join() {
	for range d.done {
	}
}

// JoinWithin waits for the end of the task or of ctx, and returns its error.
func (d *Task) JoinWithin(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-d.done:
		return err
	}
}

// Group manages several tasks that end together.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	results chan taskResult
	count   int
}

type taskResult struct {
	name string
	err  error
}

// groupBuffer is the number of results that a group buffers until Wait reads
// them.
const groupBuffer = 64

// NewGroup returns a group whose tasks end with ctx.
func NewGroup(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, results: make(chan taskResult, groupBuffer)}
}

// Start adds a task to the group. It must not be called after Wait.
func (g *Group) Start(name string, f Func) {
	g.count++
	go func() { g.results <- taskResult{name: name, err: f(g.ctx)} }()
}

// Wait blocks until every task has ended. The first task to end cancels the
// others. Wait returns the first error other than the cancellation of the
// context.
func (g *Group) Wait() error {
	defer g.cancel()
	var first error
	for range g.count {
		e := <-g.results
		if first == nil && e.err != nil && !errors.Is(e.err, context.Canceled) {
			first = fmt.Errorf("%s: %w", e.name, e.err)
		}
		g.cancel()
	}
	return first
}

// Every calls f once at the start and then after each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
