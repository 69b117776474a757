// Package informer follows the objects of one kind in the object store: it
// lists them, watches for changes, and lists again after a gap.
package informer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/retry"
)

const (
	// firstBackoff and lastBackoff bound the time between failing calls.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = time.Second
	// mirroredPace is the pause after changes that a peer passed on.
	mirroredPace = 100 * time.Millisecond
)

// Handler takes in what an informer reads. Its methods are called by one
// goroutine.
type Handler interface {
	// Replace takes in a full list; afterOutage is set if the store was away.
	Replace(objects []bamboorail.Object, afterOutage bool)
	// Update takes in one changed or deleted object.
	Update(o bamboorail.Object)
}

// ResyncSignal tells the informers of one store that its history has a gap, or that it
// was away. A watch that waits at that moment may never hear of the changes.
type ResyncSignal struct {
	mu     sync.Mutex
	signal chan struct{}
}

// NewResyncSignal returns a gap that was not found yet.
func NewResyncSignal() *ResyncSignal { return &ResyncSignal{signal: make(chan struct{})} }

// found wakes all informers that wait.
func (g *ResyncSignal) found() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.signal)
	g.signal = make(chan struct{})
}

// next returns a channel that is closed when a gap is found.
func (g *ResyncSignal) next() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.signal
}

// Config configures an informer.
type Config struct {
	Store bamboorail.ObjectStore
	Kind  string
	// BatchDelay is the pause after a watch that returned changes, so that one call
	// brings many changes.
	BatchDelay time.Duration
	// WatchTimeout is the longest time of one watch. It bounds the time for which a gap
	// or a silent connection goes unnoticed.
	WatchTimeout time.Duration
	Resync       *ResyncSignal
	Handler      Handler
	Log          hclog.Logger
}

// Informer follows one kind.
type Informer struct {
	Config
}

// New returns an informer.
func New(c Config) *Informer { return &Informer{c} }

// Run follows the kind until ctx ends.
func (i *Informer) Run(ctx context.Context) error {
	seen := present
	for {
		revision, err := i.list(ctx, seen)
		if err != nil {
			return err
		}
		if seen, err = i.watch(ctx, revision); err != nil {
			return err
		}
	}
}

// presence is how the store answered the last calls.
type presence int

const (
	// present means that it answered.
	present presence = iota
	// full means that it turned calls away. It answers the watches that wait.
	full
	// away means that it did not answer. The watches that waited at its loss may
	// never be answered.
	away
)

// after returns the presence after one more call that failed.
func (p presence) after(err error) presence {
	if bamboorail.KindOf(err) == bamboorail.KindOverloaded {
		return max(p, full)
	}
	return away
}

// list reads the whole kind, however long the store is away.
func (i *Informer) list(ctx context.Context, seen presence) (uint64, error) {
	for attempt := 0; ; attempt++ {
		objects, revision, err := i.Store.List(ctx, i.Kind)
		if err == nil {
			if seen == away {
				i.Resync.found()
			}
			if seen != present {
				i.Log.Info("store regained", "kind", i.Kind, "revision", revision, "objects", len(objects))
			}
			i.Handler.Replace(objects, seen != present)
			return revision, nil
		}
		seen = seen.after(err)
		if attempt == 0 {
			i.Log.Warn("store lost", "kind", i.Kind, "error", err)
		}
		if err := duty.Sleep(ctx, retry.Backoff(attempt, firstBackoff, lastBackoff)); err != nil {
			return 0, err
		}
	}
}

// watch follows changes until the history is gone or two calls in a row fail.
// It returns how the store was seen then.
func (i *Informer) watch(ctx context.Context, revision uint64) (presence, error) {
	failures, seen := 0, present
	for ctx.Err() == nil {
		events, gap, err := i.wait(ctx, revision)
		switch {
		case gap:
			return present, nil
		case err != nil:
			failures++
			seen = seen.after(err)
			i.Log.Debug("watch failed", "kind", i.Kind, "revision", revision, "error", err)
			if err := duty.Sleep(ctx, retry.Backoff(failures, firstBackoff, lastBackoff)); err != nil {
				return seen, err
			}
			if failures > 1 {
				return seen, nil
			}
			continue
		case events.Reset:
			// The list that follows is complete: what it lacks is gone.
			i.Log.Info("history of the store is gone", "kind", i.Kind, "revision", revision)
			i.Resync.found()
			return present, nil
		}
		failures, seen = 0, present
		for _, o := range events.Objects {
			i.Handler.Update(o)
		}
		revision = max(revision, events.Revision)
		if len(events.Objects) > 0 {
			pace := i.BatchDelay
			if events.FromPeer {
				pace = min(pace, mirroredPace)
			}
			if err := duty.Sleep(ctx, pace); err != nil {
				return seen, err
			}
		}
	}
	return seen, ctx.Err()
}

// wait makes one watch call. It reports true if another informer found a gap
// meanwhile.
func (i *Informer) wait(ctx context.Context, revision uint64) (bamboorail.Events, bool, error) {
	gap := i.Resync.next()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		events bamboorail.Events
		err    error
	}
	answer := make(chan result, 1)
	watched := duty.Start(waiting, "watch", func(ctx context.Context) error {
		events, err := i.Store.Watch(ctx, []string{i.Kind}, revision, i.WatchTimeout)
		answer <- result{events, err}
		return err
	})
	select {
	case r := <-answer:
		watched.Join()
		return r.events, false, r.err
	case <-gap:
		cancel()
		watched.Join()
		return bamboorail.Events{}, true, nil
	}
}
