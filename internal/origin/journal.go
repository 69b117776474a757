package origin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
)

// maxConflicts is the number of times that a write is repeated at once because another
// instance has written to the same segment.
const maxConflicts = 5

// journal writes the origins of the streams of one zone to the store, in segments.
type journal struct {
	kind, zone string
	store      bamboorail.ObjectStore
	log        hclog.Logger
	// onList receives the origins in the segments of the zone, and the era of the store, when
	// they have been read.
	onList func(b batch, era uint64)

	mu      sync.Mutex
	pending batch
	// awaited are the origins of calls that wait until they are written.
	awaited []awaitedOrigins

	// The fields below belong to flush, which runs in one goroutine.

	// versions are the segments in the store by key; listed is set while they are
	// known.
	versions map[string]bamboorail.StoreVersion
	listed   bool
	current  segment
	opened   time.Time
	// written is the time of the last write, or of the list.
	written time.Time
}

// awaitedOrigins are origins with the channel that receives the result of their write.
type awaitedOrigins struct {
	origins batch
	written chan<- error
}

func newJournal(kind, zone string, store bamboorail.ObjectStore, log hclog.Logger) *journal {
	return &journal{kind: kind, zone: zone, store: store, log: log, pending: batch{}, onList: func(batch, uint64) {}}
}

// add queues origins for the next flush.
func (j *journal) add(b batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending.add(b)
}

// addAwaited queues origins for the next flush. The channel receives the result of their
// write; origins that could not be written are not written later, as their calls have ended
// or begin elsewhere.
func (j *journal) addAwaited(b batch) <-chan error {
	written := make(chan error, 1)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.awaited = append(j.awaited, awaitedOrigins{b, written})
	return written
}

func (j *journal) takePending() (batch, []awaitedOrigins) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b, awaited := j.pending, j.awaited
	j.pending, j.awaited = batch{}, nil
	return b, awaited
}

// flush writes what is queued. The holder of the zone also removes the segments that
// no stream needs any more.
func (j *journal) flush(ctx context.Context, leading bool) {
	pending, awaited := j.takePending()
	now := time.Now()
	switch {
	case len(pending) > 0 || len(awaited) > 0:
		all := batch{}
		all.add(pending)
		for _, a := range awaited {
			all.add(a.origins)
		}
		err := j.writeAll(ctx, all, now)
		if err != nil {
			j.add(pending)
			j.log.Warn("origins of streams not stored", "zone", j.zone, "streams", all.size(), "error", err)
		}
		for _, a := range awaited {
			a.written <- err
		}
	case !leading:
		// The next holder changes the segments.
		j.listed = false
	case !j.listed:
		if err := j.list(ctx, now); err != nil {
			j.log.Debug("origins of streams not listed", "zone", j.zone, "error", err)
		}
	case len(j.versions) > 0 && now.Sub(j.written) > bamboorail.StreamLifetime:
		j.remove(ctx)
	}
}

// writeAll adds origins to as many segments as they need.
func (j *journal) writeAll(ctx context.Context, b batch, now time.Time) error {
	for _, part := range b.split(maxSegmentStreams) {
		err := j.write(ctx, part, now)
		for range maxConflicts {
			if bamboorail.KindOf(err) != bamboorail.KindConflict {
				break
			}
			err = j.write(ctx, part, now)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// list reads which segments the store has, and goes on with the newest one.
func (j *journal) list(ctx context.Context, now time.Time) error {
	objects, version, err := j.store.List(ctx, j.kind+"/")
	if err != nil {
		return err
	}
	j.versions, j.current = map[string]bamboorail.StoreVersion{}, segment{streams: batch{}}
	all := batch{}
	for _, o := range objects {
		if !isSegmentOf(o.Key, j.kind, j.zone) {
			continue
		}
		j.versions[o.Key] = o.Version
		stored, err := decodeSegment(o.Value)
		if err != nil {
			j.log.Warn("failed to decode origins of streams", "key", o.Key, "error", err)
			continue
		}
		all.add(stored.streams)
		if stored.sequence >= j.current.sequence {
			j.current = stored
		}
	}
	if j.opened.IsZero() {
		j.opened = now
	}
	j.listed, j.written = true, now
	j.onList(all, version.Era())
	return nil
}

// write adds origins to the current segment. After a failure it is read again, since
// the write may have taken effect, another instance may have written, or a restore of the
// store may have lost segments.
func (j *journal) write(ctx context.Context, b batch, now time.Time) error {
	if !j.listed {
		if err := j.list(ctx, now); err != nil {
			return err
		}
	}
	next := segment{sequence: j.current.sequence, streams: batch{}}
	if size := j.current.streams.size(); now.Sub(j.opened) > segmentTime || size > 0 && size+b.size() > maxSegmentStreams {
		next.sequence++
		j.opened = now
	} else {
		next.streams.add(j.current.streams)
	}
	next.streams.add(b)
	value, err := next.encode()
	if err != nil {
		return err
	}
	key := segmentKey(j.kind, j.zone, next.sequence)
	version, err := j.store.Put(ctx, key, value, j.versions[key])
	if err != nil {
		j.listed = false
		return err
	}
	if len(j.versions) == 0 {
		j.log.Info("origins of streams are stored", "zone", j.zone, "streams", b.size())
	}
	j.versions[key], j.current, j.written = version, next, now
	return nil
}

// remove removes one segment.
func (j *journal) remove(ctx context.Context) {
	key := slices.Min(slices.Collect(maps.Keys(j.versions)))
	if err := j.store.Delete(ctx, key, j.versions[key]); err != nil {
		j.listed = false
		j.log.Debug("origins of streams not removed", "key", key, "error", err)
		return
	}
	delete(j.versions, key)
	j.current.streams = batch{}
}
