// Package informer tracks the objects of one kind in the object store: it lists
// them, watches for changes, and lists again after a gap in the history.
package informer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// minBackoff and maxBackoff limit the delay between failing calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// PeerBatchDelay is the longest delay after changes that a peer forwarded.
const PeerBatchDelay = 100 * time.Millisecond

// Handler receives the objects that an informer reads. Its methods are called from
// a single goroutine.
type Handler interface {
	// Replace receives a full list. afterOutage is set if calls to the store
	// failed before, or if it was restored from a copy: what is missing or older
	// in the list than before may be written again.
	Replace(objects []bamboorail.Object, afterOutage bool)
	// Update receives one changed or deleted object.
	Update(o bamboorail.Object)
}

// ResyncSignal tells the informers of one store to list again after a gap in its
// history or an outage. A watch that is pending at that moment may never report
// the changes.
type ResyncSignal struct {
	mu     sync.Mutex
	signal chan struct{}
}

// NewResyncSignal returns a signal that was not triggered yet.
func NewResyncSignal() *ResyncSignal { return &ResyncSignal{signal: make(chan struct{})} }

// trigger wakes all waiting informers.
func (g *ResyncSignal) trigger() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.signal)
	g.signal = make(chan struct{})
}

// channel returns a channel that is closed by the next trigger.
func (g *ResyncSignal) channel() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.signal
}

// Config configures an informer.
type Config struct {
	Store bamboorail.ObjectStore
	Kind  string
	// BatchDelay is the delay after a watch that returned changes, so that the
	// next call returns many changes at once.
	BatchDelay time.Duration
	// WatchTimeout is the maximum duration of one watch. It limits the time for
	// which a gap or a dead connection goes unnoticed.
	WatchTimeout time.Duration
	// PeerAge is the largest age of what a peer answers in place of the store.
	PeerAge time.Duration
	Resync  *ResyncSignal
	Handler Handler
	Log     hclog.Logger
}

// Informer tracks the objects of one kind.
type Informer struct {
	Config
	// listed is the version of the last list, newest the newest one heard of.
	listed, newest bamboorail.StoreVersion
	// lastAnswer is the time of the last answer to a list or watch, nil before the first.
	lastAnswer atomic.Pointer[time.Time]
	// currentAt is the time as of which all changes are known, nil before the first answer.
	currentAt atomic.Pointer[time.Time]
}

var errEarlierEra = errors.New("the list is older than the last restore of the store")

// New returns an informer with the given configuration.
func New(c Config) *Informer { return &Informer{Config: c} }

// Run tracks the kind until ctx ends.
func (i *Informer) Run(ctx context.Context) error {
	state := storeAvailable
	for {
		revision, err := i.list(ctx, state)
		if err != nil {
			return err
		}
		if state, err = i.watch(ctx, revision); err != nil {
			return err
		}
	}
}

// storeState is the state of the store as seen by the last calls.
type storeState int

const (
	// storeAvailable means that the store responded.
	storeAvailable storeState = iota
	// storeOverloaded means that the store rejected calls. It still responds to
	// pending watches.
	storeOverloaded
	// storeUnreachable means that the store did not respond. Watches that were
	// pending when the connection was lost may never return.
	storeUnreachable
)

// afterError returns the state after one more failed call.
func (p storeState) afterError(err error) storeState {
	if bamboorail.KindOf(err) == bamboorail.KindOverloaded {
		return max(p, storeOverloaded)
	}
	return storeUnreachable
}

// list lists the kind and retries until the store responds.
func (i *Informer) list(ctx context.Context, state storeState) (bamboorail.StoreVersion, error) {
	for attempt := 0; ; attempt++ {
		sent := time.Now()
		objects, revision, err := i.Store.List(ctx, i.Kind)
		if err == nil && revision.Era() < i.newest.Era() {
			err = errEarlierEra
		}
		if err == nil {
			i.accept(objects, revision, state)
			return revision, nil
		}
		state = state.afterError(err)
		if attempt == 0 {
			i.Log.Warn("store lost", "kind", i.Kind, "error", err)
		}
		if err := backOff(ctx, sent, attempt); err != nil {
			return 0, err
		}
	}
}

// backOff waits until a call that was sent at a time and failed may be repeated. A call that
// timed out has waited already.
func backOff(ctx context.Context, sent time.Time, attempt int) error {
	return task.Sleep(ctx, retry.Backoff(attempt, minBackoff, maxBackoff)-time.Since(sent))
}

// accept passes on a list that was read in the given state of the store.
func (i *Informer) accept(objects []bamboorail.Object, revision bamboorail.StoreVersion, state storeState) {
	restored := i.listed > 0 && revision.Era() > i.listed.Era()
	i.listed, i.newest = revision, max(i.newest, revision)
	if restored {
		i.Log.Warn("store restored from a copy, kind listed again", "kind", i.Kind, "era", revision.Era(), "revision", revision.Revision())
	}
	if state == storeUnreachable || restored {
		i.Resync.trigger()
	}
	if state != storeAvailable {
		i.Log.Info("store regained", "kind", i.Kind, "revision", revision, "objects", len(objects), "since-last-answer", i.SinceLastAnswer().String())
	}
	i.markAnswer(true) // a list does not state its source
	i.Handler.Replace(objects, state != storeAvailable || restored)
}

// SinceLastAnswer returns the time since the last answer, 0 before the first one. What is
// known of the kind may be older by the time that an answer takes.
func (i *Informer) SinceLastAnswer() time.Duration {
	at := i.lastAnswer.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// Age returns the time for which changes of the kind may be unknown, 0 before the first
// answer.
func (i *Informer) Age() time.Duration {
	at := i.currentAt.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// markAnswer records an answer of the store, or one that a peer may have given.
func (i *Informer) markAnswer(fromPeer bool) {
	now := time.Now()
	i.lastAnswer.Store(&now)
	current := now
	if fromPeer {
		current = now.Add(-i.PeerAge)
	}
	i.currentAt.Store(&current)
}

// recordAnswer records the answer to a watch after a number of failed ones.
func (i *Informer) recordAnswer(e bamboorail.Events, failures int) {
	if failures > 0 {
		i.Log.Info("watch resumed", "kind", i.Kind, "revision", e.Revision, "from-peer", e.FromPeer, "since-last-answer", i.SinceLastAnswer().String())
	}
	i.markAnswer(e.FromPeer)
}

// watch processes changes until the history is gone, another informer triggers
// Resync, or two consecutive calls fail. It returns the state of the store at
// that time.
func (i *Informer) watch(ctx context.Context, revision bamboorail.StoreVersion) (storeState, error) {
	failures, state := 0, storeAvailable
	for ctx.Err() == nil {
		sent := time.Now()
		events, resync, err := i.watchOnce(ctx, revision)
		switch {
		case resync:
			return storeAvailable, nil
		case err != nil:
			failures++
			state = state.afterError(err)
			i.Log.Debug("watch failed", "kind", i.Kind, "revision", revision, "error", err)
			if err := backOff(ctx, sent, failures); err != nil {
				return state, err
			}
			if failures > 1 {
				return state, nil
			}
			continue
		case events.Reset:
			// The following list is complete: objects missing from it were
			// deleted.
			i.Log.Info("store no longer has the requested history", "kind", i.Kind, "revision", revision)
			i.newest = max(i.newest, events.Revision)
			i.Resync.trigger()
			return storeAvailable, nil
		}
		i.recordAnswer(events, failures)
		failures, state = 0, storeAvailable
		for _, o := range events.Objects {
			i.Handler.Update(o)
		}
		revision = max(revision, events.Revision)
		i.newest = max(i.newest, revision)
		if len(events.Objects) > 0 {
			delay := i.BatchDelay
			if events.FromPeer {
				delay = min(delay, PeerBatchDelay)
			}
			if err := task.Sleep(ctx, delay); err != nil {
				return state, err
			}
		}
	}
	return state, ctx.Err()
}

// watchOnce makes one watch call. It returns true if another informer triggered
// Resync in the meantime.
func (i *Informer) watchOnce(ctx context.Context, revision bamboorail.StoreVersion) (bamboorail.Events, bool, error) {
	resync := i.Resync.channel()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		events bamboorail.Events
		err    error
	}
	results := make(chan result, 1)
	call := task.Start(watchCtx, "watch", func(ctx context.Context) error {
		events, err := i.Store.Watch(ctx, []string{i.Kind}, revision, i.WatchTimeout)
		results <- result{events, err}
		return err
	})
	select {
	case r := <-results:
		call.Join()
		return r.events, false, r.err
	case <-resync:
		cancel()
		call.Join()
		return bamboorail.Events{}, true, nil
	}
}
