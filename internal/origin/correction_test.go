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

// TestStreamBegunThroughAnotherInstanceIsSettled guards against streams that go on at a version which
// another instance, or this one before, announced for them (incident coupons-begun-through-others).
func TestStreamBegunThroughAnotherInstanceIsSettled(t *testing.T) {
	v3 := bamboorail.StreamOrigin{Service: "s", Software: "v3"}
	cases := map[string]struct {
		// announced is what this instance announced, if anything.
		announced bamboorail.StreamOrigin
		// runs are what other instances announced and then recorded for the call.
		runs [][2]bamboorail.StreamOrigin
		// recorded is set if the only one of them ran the call.
		recorded bool
		origin   bamboorail.StreamOrigin
		// puts is the number of writes of this instance before the stream begins.
		puts int
		down bool
	}{
		"announced, begins at the baseline":                {announced: v2, runs: [][2]bamboorail.StreamOrigin{{v1, v1}}, recorded: true, origin: v1, puts: 1},
		"announced, begins at a third version":             {announced: v2, runs: [][2]bamboorail.StreamOrigin{{v3, v3}}, recorded: true, origin: v3, puts: 1},
		"announced, begins there":                          {announced: v2, runs: [][2]bamboorail.StreamOrigin{{v2, v2}}, recorded: true, origin: v2},
		"not announced":                                    {runs: [][2]bamboorail.StreamOrigin{{v2, v2}}, recorded: true, origin: v2},
		"corrected by the other instance":                  {runs: [][2]bamboorail.StreamOrigin{{v2, v3}}, recorded: true, origin: v3},
		"corrected by both":                                {announced: v2, runs: [][2]bamboorail.StreamOrigin{{v3, v1}}, recorded: true, origin: v1, puts: 1},
		"second of two, baseline":                          {runs: [][2]bamboorail.StreamOrigin{{v2, v2}, {v1, v1}}, origin: v1, puts: 1},
		"second of two, first was corrected":               {announced: v2, runs: [][2]bamboorail.StreamOrigin{{v3, v2}, {v3, v3}}, origin: v3, puts: 1},
		"first of two that corrected different origins":    {announced: v3, runs: [][2]bamboorail.StreamOrigin{{v2, v1}, {v2, v3}}, origin: v1, puts: 1},
		"here, beside another instance":                    {runs: [][2]bamboorail.StreamOrigin{{v2, v2}}, origin: v1, puts: 1},
		"here as announced, beside another instance":       {announced: v2, runs: [][2]bamboorail.StreamOrigin{{v3, v3}}, origin: v2, puts: 1},
		"announced, begins at the baseline, store is down": {announced: v2, runs: [][2]bamboorail.StreamOrigin{{v1, v1}}, recorded: true, origin: v1, down: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore()
				putBaseline(t, store, baseline{Software: "v1"})
				r := newTestRegistry(t, store, "v1", "v2", "v3")
				end := runRegistry(t, r)
				var ends []func()
				time.Sleep(2 * time.Second)
				if c.announced != (bamboorail.StreamOrigin{}) {
					r.Announce("a", c.announced)
					time.Sleep(time.Second)
				}
				for _, run := range c.runs {
					other := newTestRegistry(t, store, "v1", "v2", "v3")
					ends = append(ends, runRegistry(t, other))
					time.Sleep(2 * time.Second)
					other.Announce("a", run[0])
					time.Sleep(time.Second)
					if err := other.Record(t.Context(), "a", run[1]); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second)
				puts := 0
				store.SetHook(func(op, _ string) error {
					if c.down {
						return errDown
					}
					if op == "put-object" {
						puts++
					}
					return nil
				})
				if err := r.Settle(t.Context(), "a", c.origin, c.recorded); err != nil || puts != c.puts {
					t.Errorf("settled with %v after %d writes, expected %d", err, puts, c.puts)
				}
				store.SetHook(nil)
				if c.down {
					time.Sleep(holderPause + time.Second)
				}
				// The announcement of a leg that was given up comes late.
				r.Announce("a", v3)
				time.Sleep(time.Second)
				for _, end := range append(ends, end) {
					end()
				}
				for range 20 { // the order of what the store has under one id is random
					if got, err := newTestRegistry(t, store, "v1", "v2", "v3").Find(t.Context(), "a", "s"); got != c.origin {
						t.Errorf("another instance finds %+v, %v", got, err)
					}
				}
				if got, err := r.Find(t.Context(), "a", "s"); got != c.origin {
					t.Errorf("the instance that serves the caller finds %+v, %v", got, err)
				}
			})
		})
	}
}

// TestLateAnnouncementIsIgnored guards against streams at the baseline that go on elsewhere: an
// attempt that was given up announces its target after the stream began.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore()
		putBaseline(t, store, baseline{Software: "v1"})
		r := newTestRegistry(t, store, "v1", "v2")
		end := runRegistry(t, r)
		time.Sleep(2 * time.Second)
		if err := r.Record(t.Context(), "a", v1); err != nil {
			t.Fatal(err)
		}
		r.Announce("a", v2)
		time.Sleep(time.Second)
		end()
		for range 20 {
			if got, err := newTestRegistry(t, store, "v1", "v2").Find(t.Context(), "a", "s"); got != v1 {
				t.Errorf("origin %+v, %v", got, err)
			}
		}
	})
}

// TestForwardedRunIsNotTakenForTheOrigin guards against streams joined from two versions: an instance
// ran the call for another one, whose caller got the answer of a third (KNOWN-RED.txt).
func TestForwardedRunIsNotTakenForTheOrigin(t *testing.T) {
	for name, ran := range map[string]bamboorail.StreamOrigin{"ran at the baseline": v1, "ran elsewhere": v2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore()
				putBaseline(t, store, baseline{Software: "v1"})
				serving, other := newTestRegistry(t, store, "v1", "v2", "v3"), newTestRegistry(t, store, "v1", "v2", "v3")
				defer runRegistry(t, serving)()
				defer runRegistry(t, other)()
				time.Sleep(2 * time.Second)
				if err := other.Record(t.Context(), "a", ran); err != nil {
					t.Fatal(err)
				}
				settled := bamboorail.StreamOrigin{Service: "s", Software: "v3"}
				if err := serving.Settle(t.Context(), "a", settled, false); err != nil {
					t.Fatal(err)
				}
				if got, err := other.Find(t.Context(), "a", "s"); got != settled {
					t.Errorf("the instance that ran the call finds %+v, %v, expected %+v", got, err, settled)
				}
			})
		})
	}
}
