package origin

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
)

const (
	// readTimeout bounds the lists of segments and targets, for which a caller waits. An
	// idle store responds within 4 ms.
	readTimeout = 500 * time.Millisecond
	// readInterval is the time for which a list is used again, errorInterval the time
	// for which a store that did not answer is not called again. Both count from the
	// sending of the call: the store may have changed, or returned, since.
	readInterval  = 100 * time.Millisecond
	errorInterval = time.Second
)

// reader reads the stored origins and the software of the registered targets. Calls that
// need them at the same time share one read.
type reader struct {
	store   bamboorail.ObjectStore
	kind    string
	targets func(ctx context.Context) ([]bamboorail.TargetEntry, error)
	log     hclog.Logger
	// turn holds the last result, and is empty while a list is being read.
	turn chan result
}

type result struct {
	streams   batch
	baselines baselines
	// era is the era of the store.
	era uint64
	// software holds the services and versions of the registered targets.
	software map[bamboorail.StreamOrigin]bool
	err      error
	at       time.Time
}

func newReader(c Config) *reader {
	r := &reader{store: c.Store, kind: c.Kind, targets: c.Targets, log: c.Log, turn: make(chan result, 1)}
	r.turn <- result{}
	return r
}

func (r *reader) read(ctx context.Context) result { return r.readSince(ctx, time.Time{}) }

// readSince returns a result that includes everything that was stored before a time.
func (r *reader) readSince(ctx context.Context, since time.Time) result {
	select {
	case last := <-r.turn:
		if !last.isFresh(time.Now()) || last.err == nil && last.at.Before(since) {
			last = r.list(ctx)
		}
		r.turn <- last
		return last
	case <-ctx.Done():
		return result{err: ctx.Err()}
	}
}

// baseline returns the baseline of a service that is in force.
func (l result) baseline(service string) (baseline, bool) {
	b, ok := l.baselines[service]
	return b, ok && !b.Suspended && b.Era == l.era
}

func (l result) isFresh(now time.Time) bool {
	interval := readInterval
	if l.err != nil {
		interval = errorInterval
	}
	return !l.at.IsZero() && now.Sub(l.at) < interval
}

// list reads all segments, and then the targets, among them those at which the streams of
// the segments began unless they have left. It goes on if its caller leaves, since others
// wait.
func (r *reader) list(ctx context.Context) result {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	objects, version, err := r.store.List(ctx, r.kind+"/")
	if err != nil {
		r.log.Warn("origins of streams not read", "error", err)
		return result{err: err, at: sent}
	}
	targets, err := r.targets(ctx)
	if err != nil {
		r.log.Warn("software of targets not read", "error", err)
		return result{err: err, at: sent}
	}
	streams, software := batch{}, map[bamboorail.StreamOrigin]bool{}
	for _, e := range targets {
		software[bamboorail.StreamOrigin{Service: e.Service, Software: e.Software}] = true
	}
	var stored baselines
	for _, o := range objects {
		if o.Key == baselineKey(r.kind) {
			if stored, err = decodeBaselines(o.Value); err != nil {
				r.log.Warn("failed to decode the baselines of streams", "key", o.Key, "error", err)
			}
			continue
		}
		s, err := decodeSegment(o.Value)
		if err != nil {
			r.log.Warn("failed to decode origins of streams", "key", o.Key, "error", err)
			continue
		}
		streams.add(s.streams)
	}
	return result{streams: streams, baselines: stored, era: version.Era(), software: software, at: sent}
}
