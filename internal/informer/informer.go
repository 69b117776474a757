// Package informer follows the objects of one kind in the object store: it
// lists them, watches for changes, and lists again after a gap.
package informer

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/retry"
)

const (
	// watchWait bounds the time for which a silent connection goes unnoticed
	// where the kernel's probes do not find it; the store accepts 30 s.
	watchWait = 10 * time.Second
	// firstBackoff and lastBackoff bound the time between failing calls.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = time.Second
)

// Handler takes in what an informer reads. Its methods are called by one
// goroutine.
type Handler interface {
	// Replace takes in a full list; afterOutage is set if the store was away.
	Replace(objects []bamboorail.Object, afterOutage bool)
	// Update takes in one changed or deleted object.
	Update(o bamboorail.Object)
}

// Informer follows one kind.
type Informer struct {
	store   bamboorail.ObjectStore
	kind    string
	pace    time.Duration
	handler Handler
	log     hclog.Logger
}

// New returns an informer of a kind. After a watch that returned changes it
// pauses for pace, so that one call brings many changes.
func New(store bamboorail.ObjectStore, kind string, pace time.Duration, h Handler, log hclog.Logger) *Informer {
	return &Informer{store: store, kind: kind, pace: pace, handler: h, log: log}
}

// Run follows the kind until ctx ends.
func (i *Informer) Run(ctx context.Context) error {
	outage := false
	for {
		revision, err := i.list(ctx, outage)
		if err != nil {
			return err
		}
		if outage, err = i.watch(ctx, revision); err != nil {
			return err
		}
	}
}

// list reads the whole kind, however long the store is away.
func (i *Informer) list(ctx context.Context, outage bool) (uint64, error) {
	for attempt := 0; ; attempt++ {
		objects, revision, err := i.store.List(ctx, i.kind)
		if err == nil {
			if outage || attempt > 0 {
				i.log.Info("store regained", "kind", i.kind, "revision", revision, "objects", len(objects))
			}
			i.handler.Replace(objects, outage || attempt > 0)
			return revision, nil
		}
		if attempt == 0 {
			i.log.Warn("store lost", "kind", i.kind, "error", err)
		}
		if err := duty.Sleep(ctx, retry.Backoff(attempt, firstBackoff, lastBackoff)); err != nil {
			return 0, err
		}
	}
}

// watch follows changes until the history is gone or the store is away for
// two calls. It reports whether the store was away.
func (i *Informer) watch(ctx context.Context, revision uint64) (bool, error) {
	failures := 0
	for ctx.Err() == nil {
		events, err := i.store.Watch(ctx, []string{i.kind}, revision, watchWait)
		switch {
		case err != nil:
			failures++
			i.log.Debug("watch failed", "kind", i.kind, "revision", revision, "error", err)
			if err := duty.Sleep(ctx, retry.Backoff(failures, firstBackoff, lastBackoff)); err != nil {
				return false, err
			}
			if failures > 1 {
				return true, nil
			}
			continue
		case events.Reset:
			// The list that follows is complete: what it lacks is gone.
			i.log.Info("history of the store is gone", "kind", i.kind, "revision", revision)
			return false, nil
		}
		failures = 0
		for _, o := range events.Objects {
			i.handler.Update(o)
		}
		if events.Revision > revision {
			revision = events.Revision
		}
		if len(events.Objects) > 0 {
			if err := duty.Sleep(ctx, i.pace); err != nil {
				return false, err
			}
		}
	}
	return false, ctx.Err()
}
