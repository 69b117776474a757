package origin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
)

// streamID is a hash of the id of the call that began a stream.
type streamID uint64

func newStreamID(call string) streamID { return streamID(xxhash.Sum64String(call)) }

const (
	// maxCorrections is the number of corrections of an announced origin by one instance.
	maxCorrections = 2
	// firstSettled to lastSettled are the corrections by an instance for which others ran the
	// call. Those may have corrected other origins with lower numbers.
	firstSettled, lastSettled = maxCorrections + 1, 2*maxCorrections + 1
)

// newCorrectionID returns the id of a stream after a number of corrections of its origin.
func newCorrectionID(call string, correction int) streamID {
	if correction == 0 {
		return newStreamID(call)
	}
	return streamID(xxhash.Sum64String(fmt.Sprintf("%s\x00%d", call, correction)))
}

// maxRecords bounds the origins that an instance keeps. A holder at the design size
// gets about 70,000 within the lifetime of a stream.
const maxRecords = 1 << 17

// batch maps origins to the streams that began there.
type batch map[bamboorail.StreamOrigin][]streamID

func (b batch) size() int {
	n := 0
	for _, streams := range b {
		n += len(streams)
	}
	return n
}

func (b batch) add(other batch) {
	for o, streams := range other {
		b[o] = append(b[o], streams...)
	}
}

// split returns the streams of b, each once, in parts of up to limit streams.
func (b batch) split(limit int) []batch {
	var parts []batch
	size := limit
	for o, streams := range b {
		streams = slices.Compact(slices.Sorted(slices.Values(streams)))
		for len(streams) > 0 {
			if size == limit {
				parts, size = append(parts, batch{}), 0
			}
			n := min(limit-size, len(streams))
			parts[len(parts)-1][o] = streams[:n:n]
			streams, size = streams[n:], size+n
		}
	}
	return parts
}

// without returns the streams of b that other does not have.
func (b batch) without(other batch) batch {
	left := map[streamID]bamboorail.StreamOrigin{}
	for o, streams := range b {
		for _, id := range streams {
			left[id] = o
		}
	}
	for _, streams := range other {
		for _, id := range streams {
			delete(left, id)
		}
	}
	result := batch{}
	for id, o := range left {
		result[o] = append(result[o], id)
	}
	return result
}

type record struct {
	origin bamboorail.StreamOrigin
	// at is the time of the record, confirmedAt that of the last read of the store that
	// returned it.
	at, confirmedAt time.Time
	// read is set for an origin that this instance only read in the store. The instances
	// that recorded or stored it write it again after a restore.
	read bool
	// begun is set if the stream began at the origin. Any other record may be an
	// announcement, which is corrected if the stream begins elsewhere; corrects is set for a
	// correction.
	begun, corrects bool
}

// maxBeginTime is the time after its announcement within which a stream begins or its origin
// is corrected. The slowest routes expect a first event within seconds.
const maxBeginTime = 10 * time.Second

// isReliable reports whether the stream of a record began there as far as can be determined
// without the store. A holder receives corrections even while it cannot store them.
func (r record) isReliable() bool {
	return r.begun || r.corrects || !r.read || r.confirmedAt.Sub(r.at) > maxBeginTime
}

// table holds the known origins of streams. Those that this instance recorded itself
// are unshared until a holder has them.
type table struct {
	mu       sync.Mutex
	records  map[streamID]record
	unshared map[streamID]bool
	// lost are the origins that the store may have lost in the restore that began era.
	lost map[streamID]bool
	era  uint64
}

func newTable() *table {
	return &table{records: map[streamID]record{}, unshared: map[streamID]bool{}, lost: map[streamID]bool{}}
}

// record adds an unshared origin of this instance.
func (t *table) record(id streamID, o bamboorail.StreamOrigin, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.add(id, record{origin: o, at: now, begun: true}) {
		t.unshared[id] = true
	}
}

// recordBegun adds the origin of a stream that began at this instance, which was stored in an
// era or later.
func (t *table) recordBegun(id streamID, o bamboorail.StreamOrigin, era uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.add(id, record{origin: o, at: now, begun: true}) && era < t.era {
		t.lost[id] = true
	}
}

// recordStored adds origins that were stored in an era or later, by this instance or by a
// holder for it.
func (t *table) recordStored(b batch, era uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for o, streams := range b {
		for _, id := range streams {
			if t.add(id, record{origin: o, at: now}) && era < t.era {
				t.lost[id] = true
			}
		}
	}
}

// merge adds origins that other instances recorded.
func (t *table) merge(b batch, read bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for o, streams := range b {
		for _, id := range streams {
			t.add(id, record{origin: o, at: now, confirmedAt: now, read: read})
		}
	}
}

// add adds a record and reports whether this instance did not keep it before. The caller
// holds the lock.
func (t *table) add(id streamID, r record) bool {
	old, known := t.records[id]
	switch {
	case !known && len(t.records) >= maxRecords:
		return false
	case known && r.begun && !old.begun:
		r.read = false
		t.records[id] = r
		return old.read
	case known && (r.read || !old.read):
		if old.origin == r.origin && r.confirmedAt.After(old.confirmedAt) {
			old.confirmedAt = r.confirmedAt
			t.records[id] = old
		}
		return false
	}
	t.records[id] = r
	return true
}

// find returns the record of the stream of a call: the one of its beginning or else the last
// correction.
func (t *table) find(call string) (found record, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := 0; n <= lastSettled && call != "" && !found.begun; n++ {
		if r, known := t.records[newCorrectionID(call, n)]; known {
			found, ok = r, true
			found.corrects = n > 0
		}
	}
	return found, ok
}

// findBegun returns the origin of the stream of a call that is known to have begun before the
// newest record was added: it is not corrected any more.
func (t *table) findBegun(call string) (bamboorail.StreamOrigin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := lastSettled; n >= 0 && call != ""; n-- {
		id := newCorrectionID(call, n)
		if r, known := t.records[id]; known {
			r.begun = true
			t.records[id] = r
			return r.origin, true
		}
	}
	return bamboorail.StreamOrigin{}, false
}

// unsharedBatch returns the unshared origins at services that permit sharing.
func (t *table) unsharedBatch(permit func(service string) bool) batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := batch{}
	for id := range t.unshared {
		if o := t.records[id].origin; permit(o.Service) {
			b[o] = append(b[o], id)
		}
	}
	return b
}

func (t *table) markShared(b batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, streams := range b {
		for _, id := range streams {
			delete(t.unshared, id)
		}
	}
}

// restore marks the origins that this instance keeps as lost if a new era of the store has
// begun.
func (t *table) restore(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return
	}
	t.era = era
	for id, r := range t.records {
		if !r.read {
			t.lost[id] = true
		}
	}
	clear(t.unshared)
}

// lostBatch returns the lost origins at services that permit sharing, and the era in which
// they are lost.
func (t *table) lostBatch(permit func(service string) bool) (batch, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := batch{}
	for id := range t.lost {
		if o := t.records[id].origin; permit(o.Service) {
			b[o] = append(b[o], id)
		}
	}
	return b, t.era
}

// markStored records that lost origins were stored in an era or later.
func (t *table) markStored(b batch, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era {
		return
	}
	for _, streams := range b {
		for _, id := range streams {
			delete(t.lost, id)
		}
	}
}

// notStored returns the origins of b, except those that this instance has stored in the current
// era.
func (t *table) notStored(b batch) batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := batch{}
	for o, streams := range b {
		for _, id := range streams {
			if r, known := t.records[id]; !known || r.read || r.origin != o || t.unshared[id] || t.lost[id] {
				left[o] = append(left[o], id)
			}
		}
	}
	return left
}

// expire removes the origins of streams that cannot be resumed any more.
func (t *table) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if now.Sub(r.at) > bamboorail.StreamLifetime {
			delete(t.records, id)
			delete(t.unshared, id)
			delete(t.lost, id)
		}
	}
}
