package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// TestAnnouncementIsNotTakenForTheOrigin guards against streams joined from two versions: an
// instance has the announcement of an origin and not its correction (incident
// coupons-corrected-origins).
func TestAnnouncementIsNotTakenForTheOrigin(t *testing.T) {
	// read reads the store for another stream.
	read := func(r *Registry) { _, _ = r.Find(context.Background(), "other", "s") }
	// receive receives the announcement as the holder of the zone.
	receive := func(r *Registry) {
		_, _ = r.RecordOrigins(context.Background(), &wire.RecordOriginsRequest{Zone: "z", Origins: messages(batch{v2: {newStreamID("a")}}), Await: true})
	}
	// share receives the correction from an instance that could not store it.
	share := func(r *Registry) {
		_, _ = r.RecordOrigins(context.Background(), &wire.RecordOriginsRequest{Zone: "z", Origins: messages(batch{v1: {newCorrectionID("a", 1)}})})
	}
	cases := map[string]struct {
		// before and after are called before and after the correction is stored.
		before, after func(r *Registry)
		// uncorrected is set if the stream begins as announced.
		uncorrected bool
		age         time.Duration
		down        bool
		origin      bamboorail.StreamOrigin
	}{
		"not read before":                       {origin: v1},
		"read before its correction":            {before: read, origin: v1},
		"read before and after":                 {before: read, after: read, origin: v1},
		"received as the holder":                {before: receive, origin: v1},
		"read, begins as announced":             {before: read, uncorrected: true, origin: v2},
		"read, store down":                      {before: read, down: true},
		"read after its correction, store down": {after: read, down: true, origin: v1},
		"read long after, store down":           {before: read, after: read, age: maxBeginTime, uncorrected: true, down: true, origin: v2},
		"holder, store down":                    {before: receive, uncorrected: true, down: true, origin: v2},
		"holder, corrected by a share":          {before: receive, after: share, uncorrected: true, down: true, origin: v1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore()
				putBaseline(t, store, baseline{Software: "v1"})
				// The other instance is the holder, which the one that begins the stream does not reach.
				other, began := newTestRegistry(t, store, "v1", "v2"), newTestRegistry(t, store, "v1", "v2")
				defer runRegistry(t, began)()
				defer runRegistry(t, other)()
				time.Sleep(2 * time.Second)
				began.Announce("a", v2)
				time.Sleep(time.Second)
				if c.before != nil {
					c.before(other)
				}
				time.Sleep(c.age + time.Second)
				o := v1
				if c.uncorrected {
					o = v2
				}
				if err := began.Record(t.Context(), "a", o); err != nil {
					t.Fatal(err)
				}
				if c.after != nil {
					c.after(other)
				}
				time.Sleep(errorInterval)
				if c.down {
					store.SetHook(func(string, string) error { return errDown })
				}
				for range 2 {
					if got, err := other.Find(t.Context(), "a", "s"); got != c.origin || (err == nil) != (c.origin != bamboorail.StreamOrigin{}) {
						t.Errorf("origin %+v, %v, expected %+v", got, err, c.origin)
					}
				}
				if got, err := began.Find(t.Context(), "a", "s"); got != o {
					t.Errorf("the instance that began the stream finds %+v, %v", got, err)
				}
			})
		})
	}
}

// TestKnownBeginningIsReadOnce guards against a read of the store for each time that a client
// takes a stream up.
func TestKnownBeginningIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore()
		putBaseline(t, store, baseline{Software: "v1"})
		began, other := newTestRegistry(t, store, "v1", "v2"), newTestRegistry(t, store, "v1", "v2")
		end := runRegistry(t, began)
		time.Sleep(2 * time.Second)
		began.Announce("a", v2)
		if err := began.Record(t.Context(), "a", v2); err != nil {
			t.Fatal(err)
		}
		end()
		slow := &slowStore{Store: store}
		other.reader.store = slow
		for range 3 {
			time.Sleep(time.Second)
			if got, err := other.Find(t.Context(), "a", "s"); got != v2 {
				t.Errorf("origin %+v, %v", got, err)
			}
		}
		if slow.lists != 1 {
			t.Errorf("the store is read %d times, expected one", slow.lists)
		}
	})
}
