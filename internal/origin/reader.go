package origin

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
)

const (
	// readTimeout bounds a list of the segments, for which a caller waits. An idle
	// store responds within 4 ms.
	readTimeout = 500 * time.Millisecond
	// readInterval is the time for which a list is used again, errorInterval the time
	// for which a store that did not answer is not called again.
	readInterval  = 100 * time.Millisecond
	errorInterval = time.Second
)

// reader reads the stored origins. Calls that need them at the same time share one
// list.
type reader struct {
	store bamboorail.ObjectStore
	kind  string
	log   hclog.Logger
	// turn holds the last result, and is empty while a list is being read.
	turn chan result
}

type result struct {
	streams batch
	err     error
	at      time.Time
}

func newReader(store bamboorail.ObjectStore, kind string, log hclog.Logger) *reader {
	r := &reader{store: store, kind: kind, log: log, turn: make(chan result, 1)}
	r.turn <- result{}
	return r
}

func (r *reader) read(ctx context.Context) (batch, error) {
	select {
	case last := <-r.turn:
		if !last.isFresh(time.Now()) {
			last = r.list(ctx)
		}
		r.turn <- last
		return last.streams, last.err
	case <-ctx.Done():
		return nil, unknown(ctx.Err())
	}
}

func (l result) isFresh(now time.Time) bool {
	interval := readInterval
	if l.err != nil {
		interval = errorInterval
	}
	return !l.at.IsZero() && now.Sub(l.at) < interval
}

// list reads all segments. It goes on if its caller leaves, since others wait.
func (r *reader) list(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	objects, _, err := r.store.List(ctx, r.kind+"/")
	if err != nil {
		r.log.Warn("origins of streams not read", "error", err)
		return result{err: err, at: time.Now()}
	}
	streams := batch{}
	for _, o := range objects {
		s, err := decodeSegment(o.Value)
		if err != nil {
			r.log.Warn("failed to decode origins of streams", "key", o.Key, "error", err)
			continue
		}
		streams.add(s.streams)
	}
	return result{streams: streams, at: time.Now()}
}
