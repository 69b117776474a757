package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// released is a release of an adapter that was learned some time ago; one that
// was listed may be of any age.
type released struct {
	version int
	ago     time.Duration
	listed  bool
}

func (r released) enter(f *fleet.Fleet, key bamboorail.AdapterKey) {
	learned := time.Now().Add(-r.ago)
	if r.listed {
		learned = time.Time{}
	}
	f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: r.version}, learned)
}

// seriesOfReleases tells for each series whether an engine may still run
// version 1.
var seriesOfReleases = map[string]struct {
	releases []released
	usable   bool
}{
	"no release":                          {nil, true},
	"replaced just now":                   {[]released{{version: 2}}, true},
	"replaced long ago":                   {[]released{{version: 2, ago: 6 * time.Second}}, false},
	"replaced at an unknown time":         {[]released{{version: 2, listed: true}}, false},
	"replaced twice just now":             {[]released{{version: 2, ago: 100 * time.Millisecond}, {version: 3}}, true},
	"replaced long ago and again now":     {[]released{{version: 2, ago: 6 * time.Second}, {version: 3}}, false},
	"replaced sometime and again now":     {[]released{{version: 2, listed: true}, {version: 3}}, false},
	"replaced long ago and ten times now": {append([]released{{version: 2, ago: 6 * time.Second}}, burst(3, 10)...), false},
}

func burst(first, count int) []released {
	var list []released
	for n := range count {
		list = append(list, released{version: first + n})
	}
	return list
}

// TestANewerReleaseDoesNotPermitVersionsReplacedBefore: each version is out of
// use from its own replacement on. Found by restarts-after-releases on the
// grown coupons, --seed 703169279129 (VERSION): version 3 let version 1 in
// again, at engines that nobody had asked since version 2.
func TestANewerReleaseDoesNotPermitVersionsReplacedBefore(t *testing.T) {
	for name, c := range seriesOfReleases {
		t.Run("by a holder, "+name, func(t *testing.T) {
			b := newBed(t)
			b.planner = adapters.NewPlanner(adapters.Tuning{
				FetchTime: time.Millisecond, ReloadTime: time.Millisecond, MinFetchLimit: 8, MaxLoadsPerEngine: 8, CachedAdapters: 8,
				DemandHalfLife: time.Second, OldVersionGrace: 2 * time.Second,
			}, 0)
			ctx, server := context.Background(), NewServer([]ZoneHolder{{Zone: "z", Local: b.Holder, Lease: b.Lease}}, b.Fleet, nil)
			// The engine holds version 1, and a call that runs keeps it there.
			b.engine.held["a0"] = true
			b.upkeep(ctx)
			question := &wire.PlaceRequest{Zone: "z", InstanceZone: "z", Service: "s", Model: "m", Adapter: "a0"}
			if reply, err := server.Place(ctx, question); err != nil || reply.GetVersion() != 1 {
				t.Fatalf("place before the releases: %v, %v", reply, err)
			}
			for _, r := range c.releases {
				r.enter(b.Fleet, bamboorail.AdapterKey{Model: "m", Adapter: "a0"})
			}
			reply, err := server.Place(ctx, question)
			if err != nil {
				t.Fatal(err)
			}
			if placed := reply.GetTarget() != ""; placed != c.usable {
				t.Errorf("placed %t on version %d, want %t", placed, reply.GetVersion(), c.usable)
			}
		})
		t.Run("without a holder, "+name, func(t *testing.T) {
			chooser, _, ask := site(t)
			entry, _ := chooser.Fleet.Target("e")
			entry.Models = map[string]map[string]int{"m": {ask.Call.Key.Adapter: 1}}
			chooser.Fleet.Update(entry)
			for _, r := range c.releases {
				r.enter(chooser.Fleet, ask.Call.Key)
			}
			place, err := chooser.Choose(context.Background(), ask)
			if placed := err == nil; placed != c.usable {
				t.Errorf("placed %t on version %d, want %t", placed, place.Version, c.usable)
			}
		})
	}
}

// TestNoVersionIsChosenBeforeTheReleasesAreKnown: an instance that has just
// started and has not read the releases must not take that for there being none.
func TestNoVersionIsChosenBeforeTheReleasesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chooser, peers, ask := site(t)
		fresh := fleet.New(time.Second)
		fresh.Update(bamboorail.TargetEntry{
			ID: bamboorail.TargetID{Name: "e"}, Service: "s", Zone: "c", Models: map[string]map[string]int{"m": {ask.Call.Key.Adapter: 1}},
		})
		chooser.Fleet = fresh
		// The holder has just started too.
		peers.replies["a"] = &wire.PlaceReply{Holder: true, Target: "e", Version: 1}
		ask.StartBy = time.Now().Add(time.Second)
		place, err := chooser.Choose(t.Context(), ask)
		if err == nil {
			t.Fatalf("placed on version %d", place.Version)
		}
		if !bamboorail.NotRun(err) {
			t.Error("a call without a place may have run")
		}
		listed := duty.Start(t.Context(), "list", func(ctx context.Context) error {
			err := duty.Sleep(ctx, 300*time.Millisecond)
			fresh.MarkReleasesSynced()
			return err
		})
		ask.StartBy = time.Now().Add(time.Second)
		if _, err := chooser.Choose(t.Context(), ask); err != nil {
			t.Errorf("a call that could wait for the releases: %v", err)
		}
		listed.Join()
		base := ask
		base.Call = &bamboorail.Call{ID: "b", Key: bamboorail.AdapterKey{Model: "m"}}
		chooser.Fleet = fleet.New(time.Second)
		if _, err := chooser.Choose(t.Context(), base); err != nil {
			t.Errorf("a call for a base model, which has no releases: %v", err)
		}
	})
}

// TestACallDoesNotWaitForReleasesThatNobodyReads: with the store away since the
// start, a call for an adapter is refused long before its deadline.
func TestACallDoesNotWaitForReleasesThatNobodyReads(t *testing.T) {
	const deadline = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		chooser, _, ask := site(t)
		chooser.Fleet = fleet.New(time.Second)
		start := time.Now()
		ask.StartBy = start.Add(deadline)
		_, err := chooser.Choose(t.Context(), ask)
		if held := time.Since(start); held > deadline/10 {
			t.Errorf("held for %v of %v", held, deadline)
		}
		if !bamboorail.NotRun(err) || bamboorail.FailureOf(err).RetryAfter <= 0 {
			t.Errorf("refused with %v", err)
		}
	})
}
