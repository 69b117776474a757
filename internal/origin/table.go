package origin

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
)

// streamID is a hash of the id of the call that began a stream.
type streamID uint64

func newStreamID(call string) streamID { return streamID(xxhash.Sum64String(call)) }

// maxCorrections is the number of corrections of an announced origin.
const maxCorrections = 2

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

type record struct {
	origin bamboorail.StreamOrigin
	at     time.Time
}

// table holds the known origins of streams. Those that this instance recorded itself
// are unshared until a holder has them.
type table struct {
	mu       sync.Mutex
	records  map[streamID]record
	unshared map[streamID]bool
}

func newTable() *table {
	return &table{records: map[streamID]record{}, unshared: map[streamID]bool{}}
}

// record adds an origin of this instance, which a holder has already if it is stored.
func (t *table) record(id streamID, o bamboorail.StreamOrigin, stored bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.records[id]; known || len(t.records) >= maxRecords {
		return
	}
	t.records[id] = record{origin: o, at: now}
	if !stored {
		t.unshared[id] = true
	}
}

// merge adds origins that others recorded.
func (t *table) merge(b batch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for o, streams := range b {
		for _, id := range streams {
			if _, known := t.records[id]; !known && len(t.records) < maxRecords {
				t.records[id] = record{origin: o, at: now}
			}
		}
	}
}

// find returns the origin of the stream of a call.
func (t *table) find(call string) (bamboorail.StreamOrigin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := maxCorrections; n >= 0 && call != ""; n-- {
		if r, ok := t.records[newCorrectionID(call, n)]; ok {
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

// expire removes the origins of streams that cannot be resumed any more.
func (t *table) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if now.Sub(r.at) > bamboorail.StreamLifetime {
			delete(t.records, id)
			delete(t.unshared, id)
		}
	}
}
