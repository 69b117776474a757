package origin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

const testKind = "origins"

var (
	errDown = errors.New("down")
	v1      = bamboorail.StreamOrigin{Service: "s", Software: "v1"}
	v2      = bamboorail.StreamOrigin{Service: "s", Software: "v2"}
)

// noPeers answers to nobody.
type noPeers struct{}

func (noPeers) RecordOrigins(context.Context, string, *wire.RecordOriginsRequest) (*wire.RecordOriginsReply, error) {
	return nil, errDown
}

// newTestRegistry returns a registry that follows targets with software versions, and
// holds zone z.
func newTestRegistry(t *testing.T, store *memory.Store, versions ...string) *Registry {
	t.Helper()
	f := fleet.New(time.Second)
	entries := make([]bamboorail.TargetEntry, 0, len(versions))
	for n, v := range versions {
		entries = append(entries, bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: fmt.Sprintf("e%d", n)}, Service: "s", Software: v})
	}
	f.Replace(entries, time.Now(), false)
	clock := func() time.Duration { return time.Since(time.Unix(0, 0)) }
	l := lease.New(lease.Config{
		Key: "leases/z", Holder: "self", Timing: lease.Timing{Term: time.Hour}, Store: store, Clock: clock, Log: hclog.NewNullLogger(),
	})
	if err := l.Claim(t.Context()); err != nil {
		t.Log("not a holder:", err)
	}
	return New(Config{
		Instance: "self", Zones: []lease.Zone{{Name: "z", Lease: l}}, Peers: noPeers{}, Store: store, Kind: testKind, Fleet: f, Log: hclog.NewNullLogger(),
		Targets: func(context.Context) ([]bamboorail.TargetEntry, error) { return entries, nil }, Clock: clock,
	})
}

// putBaseline stores the baseline of service s.
func putBaseline(t *testing.T, store *memory.Store, b baseline) {
	t.Helper()
	value, err := baselines{"s": b}.encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), baselineKey(testKind), value, 0); err != nil {
		t.Fatal(err)
	}
}

// newTargets returns targets with software versions.
func newTargets(versions []string) (entries []bamboorail.TargetEntry) {
	for n, v := range versions {
		entries = append(entries, bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: fmt.Sprintf("new%d", n)}, Service: "s", Software: v})
	}
	return entries
}

// TestFindNeverGuesses guards against streams joined from two versions (incident archive-software-versions).
func TestFindNeverGuesses(t *testing.T) {
	cases := map[string]struct {
		versions []string
		call     string
		// own are streams of this instance, stored those of others.
		own, stored map[string]bamboorail.StreamOrigin
		// follows is the time for which the targets have been followed.
		follows time.Duration
		down    bool
		// later are the versions that serve when the stream is resumed, registered those
		// that the store has then, unlike the view of this instance.
		later, registered []string
		// baseline is the one of the service, if any.
		baseline *baseline
		origin   bamboorail.StreamOrigin
	}{
		"own stream":                       {versions: []string{"v1", "v2"}, call: "a", own: map[string]bamboorail.StreamOrigin{"a": v2}, origin: v2},
		"own stream, store down":           {versions: []string{"v1", "v2"}, call: "a", own: map[string]bamboorail.StreamOrigin{"a": v1}, down: true, origin: v1},
		"stored stream":                    {versions: []string{"v1", "v2"}, call: "a", stored: map[string]bamboorail.StreamOrigin{"a": v2}, origin: v2},
		"stored stream, version gone":      {versions: []string{"v1"}, call: "a", stored: map[string]bamboorail.StreamOrigin{"a": v2}, origin: v2},
		"stored stream, store down":        {versions: []string{"v1", "v2"}, call: "a", stored: map[string]bamboorail.StreamOrigin{"a": v2}, down: true},
		"unknown, two versions":            {versions: []string{"v1", "v2"}, call: "a"},
		"unknown, one version":             {versions: []string{"v1", "v1"}, call: "a", origin: v1},
		"unknown, no targets":              {call: "a"},
		"unnamed, two versions":            {versions: []string{"v1", "v2"}, own: map[string]bamboorail.StreamOrigin{"": v1}},
		"unnamed, one version":             {versions: []string{"v1"}, origin: v1},
		"unknown, another version stored":  {versions: []string{"v1"}, call: "a", stored: map[string]bamboorail.StreamOrigin{"b": v2}},
		"unknown, another service stored":  {versions: []string{"v1"}, call: "a", stored: map[string]bamboorail.StreamOrigin{"b": {Service: "t", Software: "v2"}}, origin: v1},
		"unknown, store down, new process": {versions: []string{"v1"}, call: "a", down: true},
		"unknown, store down, followed":    {versions: []string{"v1"}, call: "a", down: true, follows: bamboorail.StreamLifetime},
		"unknown, a version just joined":   {versions: []string{"v1"}, call: "a", registered: []string{"v1", "v2"}, follows: bamboorail.StreamLifetime},
		"unnamed, a version just joined":   {versions: []string{"v1"}, registered: []string{"v1", "v2"}, follows: bamboorail.StreamLifetime},
		"unknown, joined and left at once": {versions: []string{"v1"}, call: "a", registered: []string{"v2"}},
		"unknown, version just replaced":   {versions: []string{"v1"}, call: "a", later: []string{"v2"}},
		// Guards against streams that go on at another version after a restart of all
		// instances (incident archive-restarted-between-versions).
		"unknown, baseline replaced, new process": {versions: []string{"v2"}, call: "a", baseline: &baseline{Software: "v1"}, origin: v1},
		// Guards against refused streams of a lost instance beside another version
		// (incident archive-frozen-before-versions).
		"unknown, another version beside the baseline": {versions: []string{"v1", "v2"}, call: "a", baseline: &baseline{Software: "v1"}, origin: v1},
		"unnamed, baseline replaced":                   {versions: []string{"v2"}, baseline: &baseline{Software: "v1"}},
		"unnamed, only the baseline":                   {versions: []string{"v1"}, baseline: &baseline{Software: "v1"}, origin: v1},
		"stored stream beside a baseline":              {versions: []string{"v1", "v2"}, call: "a", baseline: &baseline{Software: "v1"}, stored: map[string]bamboorail.StreamOrigin{"a": v2}, origin: v2},
		"unknown, baseline suspended":                  {versions: []string{"v1", "v2"}, call: "a", baseline: &baseline{Software: "v1", Suspended: true}},
		"unknown, store restored":                      {versions: []string{"v1", "v2"}, call: "a", baseline: &baseline{Software: "v1", Era: 3}},
		"unknown, store down beside a baseline":        {versions: []string{"v1", "v2"}, call: "a", baseline: &baseline{Software: "v1"}, down: true},
		"unknown, replaced long ago":                   {versions: []string{"v1"}, call: "a", later: []string{"v2"}, follows: 2 * bamboorail.StreamLifetime, origin: v2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore()
				other := newTestRegistry(t, store, "v1", "v2")
				for call, o := range c.stored {
					other.journals["z"].add(batch{o: {newStreamID(call)}})
				}
				other.flush(t.Context())
				if c.baseline != nil {
					putBaseline(t, store, *c.baseline)
				}
				r := newTestRegistry(t, store, c.versions...)
				for call, o := range c.own {
					r.Cache(call, o)
				}
				if c.later != nil {
					r.Fleet.Replace(newTargets(c.later), time.Now(), false)
					c.registered = c.later
				}
				if c.registered != nil {
					r.reader.targets = func(context.Context) ([]bamboorail.TargetEntry, error) { return newTargets(c.registered), nil }
				}
				time.Sleep(c.follows)
				r.Fleet.Expire(time.Now())
				if c.down {
					store.SetHook(func(string, string) error { return errDown })
				}
				got, err := r.Find(t.Context(), c.call, "s")
				if got != c.origin || (err == nil) != (c.origin != bamboorail.StreamOrigin{}) {
					t.Errorf("origin %+v, %v, expected %+v", got, err, c.origin)
				}
				if err != nil && (!bamboorail.NotRun(err) || bamboorail.KindOf(err) != bamboorail.KindUnknownOrigin) {
					t.Errorf("error %v", err)
				}
			})
		})
	}
}

// slowStore answers lists after a time.
type slowStore struct {
	*memory.Store
	latency time.Duration
	lists   int
}

func (s *slowStore) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	s.lists++
	list, revision, err := s.Store.List(ctx, prefix)
	time.Sleep(s.latency)
	return list, revision, err
}

// TestOldReadIsNotUsedAgain guards against origins that are taken for read when their answer arrives (incident
// archive-late-configuration).
func TestOldReadIsNotUsedAgain(t *testing.T) {
	cases := map[string]struct {
		latency, pause time.Duration
		down           bool
		lists          int
	}{
		"answered at once":                   {0, readInterval / 2, false, 1},
		"answered late":                      {readInterval, readInterval / 2, false, 2},
		"failed at once":                     {0, errorInterval / 2, true, 1},
		"timed out, and the pause has ended": {readTimeout, errorInterval - readTimeout, true, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRegistry(t, memory.NewStore(), "v1")
				store := &slowStore{Store: memory.NewStore(), latency: c.latency}
				if c.down {
					store.SetHook(func(string, string) error { return errDown })
				}
				r.reader.store = store
				for range 2 {
					_ = r.reader.read(t.Context())
					time.Sleep(c.pause)
				}
				if store.lists != c.lists {
					t.Errorf("the store is read %d times, expected %d", store.lists, c.lists)
				}
			})
		})
	}
}

// TestOriginsOutliveInstances plays holders that follow one another on one zone, or
// overlap, with a store that fails and loses answers. What was stored is found by an
// instance that starts afterwards.
func TestOriginsOutliveInstances(t *testing.T) {
	const seeds, steps = 50, 60
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			store := memory.NewStore()
			journals := []*journal{}
			recorded := map[string]bamboorail.StreamOrigin{}
			for n := range steps {
				if n%(steps/4) == 0 {
					journals = append(journals, newJournal(testKind, "z", store, hclog.NewNullLogger()))
				}
				fate := random.IntN(5)
				store.SetHook(func(op, _ string) error {
					switch {
					case fate == 0:
						return errDown
					case fate == 1 && op == "put":
						return memory.ErrLostResponse
					}
					return nil
				})
				call, o := fmt.Sprint("call-", n), []bamboorail.StreamOrigin{v1, v2}[random.IntN(2)]
				recorded[call] = o
				j := journals[random.IntN(len(journals))]
				j.add(batch{o: {newStreamID(call)}})
				j.flush(t.Context(), random.IntN(2) == 0)
				time.Sleep(shareInterval)
			}
			store.SetHook(nil)
			for range 2 {
				for _, j := range journals {
					j.flush(t.Context(), true)
				}
			}
			r := newTestRegistry(t, store, "v1", "v2")
			for call, o := range recorded {
				if got, err := r.Find(t.Context(), call, "s"); got != o {
					t.Errorf("seed %d: %s began at %+v, expected %+v, %v", seed, call, got, o, err)
				}
			}
		})
	}
}

// TestOriginsAreSharedFromTheSecondVersion checks that nothing is stored while one
// version serves, that streams that began before the second one are stored too, and
// that the objects are removed once no stream needs them.
func TestOriginsAreSharedFromTheSecondVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore()
		r := newTestRegistry(t, store, "v1")
		stored := func() int {
			objects, _, err := store.List(t.Context(), testKind+"/")
			if err != nil {
				t.Fatal(err)
			}
			return len(objects)
		}
		step := func() {
			r.Fleet.Expire(time.Now())
			r.share(t.Context())
			r.flush(t.Context())
			time.Sleep(shareInterval)
		}
		for n := range 20 {
			r.Cache(fmt.Sprint("one-", n), v1)
			step()
		}
		if n := stored(); n != 0 {
			t.Errorf("%d objects with one version", n)
		}
		r.Fleet.Update(bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "new"}, Service: "s", Software: "v2"})
		for n := range 3 * int(segmentTime/shareInterval) {
			r.Cache(fmt.Sprint("two-", n), v2)
			step()
		}
		if n := stored(); n < 3 || n > 4 {
			t.Errorf("%d segments after three segment times", n)
		}
		other := newTestRegistry(t, store, "v1", "v2")
		for call, want := range map[string]bamboorail.StreamOrigin{"one-0": v1, "two-0": v2} {
			if got, err := other.Find(t.Context(), call, "s"); got != want {
				t.Errorf("%s began at %+v, %v", call, got, err)
			}
		}
		r.Fleet.Remove("new", time.Now())
		for range 2 * int((bamboorail.StreamLifetime+segmentTime)/shareInterval) {
			step()
		}
		if n := stored(); n != 0 {
			t.Errorf("%d objects after the lifetime of the streams", n)
		}
		if n := len(r.table.records); n != 0 {
			t.Errorf("%d origins are kept", n)
		}
	})
}

func TestSegmentsOfAnotherWriter(t *testing.T) {
	for name, value := range map[string]string{
		"unreadable": "\x00{", "other types": `{"sequence":"x"}`, "not base64": `{"origins":[{"streams":"?"}]}`, "part of a stream": `{"origins":[{"streams":"AAAA"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			store := memory.NewStore()
			if _, err := store.Put(t.Context(), testKind+"/z.0", []byte(value), 0); err != nil {
				t.Fatal(err)
			}
			r := newTestRegistry(t, store, "v1", "v2")
			r.journals["z"].add(batch{v1: {newStreamID("a")}})
			r.flush(t.Context())
			if got, err := newTestRegistry(t, store, "v1", "v2").Find(t.Context(), "a", "s"); got != v1 {
				t.Errorf("origin %+v, %v", got, err)
			}
		})
	}
}
