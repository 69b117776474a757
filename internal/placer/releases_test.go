package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/task"
)

// testRelease is a release of an adapter that was learned some time ago, or at
// an unknown time if it was listed.
type testRelease struct {
	version int
	ago     time.Duration
	listed  bool
}

func (r testRelease) addTo(f *fleet.Fleet, key bamboorail.AdapterKey) {
	learned := time.Now().Add(-r.ago)
	if r.listed {
		learned = time.Time{}
	}
	f.AddRelease(bamboorail.AdapterRelease{Key: key, Version: r.version}, learned)
}

// releaseSeries states for each series whether an engine may still use version
// 1.
var releaseSeries = map[string]struct {
	releases []testRelease
	usable   bool
}{
	"no release":                                {nil, true},
	"replaced just now":                         {[]testRelease{{version: 2}}, true},
	"replaced long ago":                         {[]testRelease{{version: 2, ago: 6 * time.Second}}, false},
	"replaced at an unknown time":               {[]testRelease{{version: 2, listed: true}}, false},
	"replaced twice just now":                   {[]testRelease{{version: 2, ago: 100 * time.Millisecond}, {version: 3}}, true},
	"replaced long ago and again now":           {[]testRelease{{version: 2, ago: 6 * time.Second}, {version: 3}}, false},
	"replaced at an unknown time and again now": {[]testRelease{{version: 2, listed: true}, {version: 3}}, false},
	"replaced long ago and ten times now":       {append([]testRelease{{version: 2, ago: 6 * time.Second}}, consecutiveReleases(3, 10)...), false},
}

func consecutiveReleases(first, count int) []testRelease {
	var list []testRelease
	for n := range count {
		list = append(list, testRelease{version: first + n})
	}
	return list
}

// TestANewerReleaseDoesNotPermitVersionsReplacedBefore checks that each version
// expires after its own replacement. Without this, version 3 made version 1
// usable again on engines that had received no call since version 2; found by
// restarts-after-releases on the grown coupons, --seed 703169279129 (rule
// VERSION).
func TestANewerReleaseDoesNotPermitVersionsReplacedBefore(t *testing.T) {
	for name, c := range releaseSeries {
		t.Run("with a holder, "+name, func(t *testing.T) {
			b := newTestHolder(t)
			b.planner = adapters.NewPlanner(adapters.Tuning{
				FetchTime: time.Millisecond, ReloadShare: 1, FetchLimit: 8, MaxLoadsPerEngine: 8, CachedAdapters: 8,
				DemandHalfLife: time.Second, OldVersionGrace: 2 * time.Second,
			}, 0)
			ctx, server := context.Background(), NewServer([]ZoneHolder{{Zone: "z", Local: b.Holder, Lease: b.Lease}}, b.Fleet, nil, nil, nil, newTestQuarantine(), newTestLimits(advisory.New(), b.Fleet))
			// The engine holds version 1, and a running call keeps it there.
			b.engine.held["a0"] = true
			b.upkeep(ctx)
			placeRequest := &wire.PlaceRequest{Zone: "z", InstanceZone: "z", Service: "s", Model: "m", Adapter: "a0"}
			if reply, err := server.Place(ctx, placeRequest); err != nil || reply.GetVersion() != 1 {
				t.Fatalf("placement before the releases: %v, %v", reply, err)
			}
			for _, r := range c.releases {
				r.addTo(b.Fleet, bamboorail.AdapterKey{Model: "m", Adapter: "a0"})
			}
			reply, err := server.Place(ctx, placeRequest)
			if err != nil {
				t.Fatal(err)
			}
			if placed := reply.GetTarget() != ""; placed != c.usable {
				t.Errorf("placed %t on version %d, want %t", placed, reply.GetVersion(), c.usable)
			}
		})
		t.Run("without a holder, "+name, func(t *testing.T) {
			chooser, _, request := newTestChooser(t)
			entry, _ := chooser.Fleet.Target("e")
			entry.Models = map[string]map[string]int{"m": {request.Call.Key.Adapter: 1}}
			chooser.Fleet.Update(entry)
			for _, r := range c.releases {
				r.addTo(chooser.Fleet, request.Call.Key)
			}
			place, err := chooser.Choose(context.Background(), request)
			if placed := err == nil; placed != c.usable {
				t.Errorf("placed %t on version %d, want %t", placed, place.Version, c.usable)
			}
		})
	}
}

// TestCallsMustBeginBeforeTheirVersionExpires checks the time by which a call must begin to run.
func TestCallsMustBeginBeforeTheirVersionExpires(t *testing.T) {
	const timeout, pass = 2500 * time.Millisecond, 700 * time.Millisecond
	for name, placed := range map[string]bool{"with a holder": true, "without a holder": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chooser, peers, request := newTestChooser(t)
				chooser.BeginTimeout = timeout
				entry, _ := chooser.Fleet.Target("e")
				entry.Models = map[string]map[string]int{"m": {request.Call.Key.Adapter: 1}}
				chooser.Fleet.Update(entry)
				if placed {
					peers.replies["a"] = &wire.PlaceReply{Holder: true, Target: "e", Version: 1}
				}
				place, err := chooser.Choose(t.Context(), request)
				if err != nil {
					t.Fatal(err)
				}
				if got := place.BeginBy(time.Now()); !got.Equal(time.Now().Add(timeout)) {
					t.Errorf("%v left before a release", time.Until(got))
				}
				chooser.Fleet.AddRelease(bamboorail.AdapterRelease{Key: request.Call.Key, Version: 2}, time.Now())
				time.Sleep(pass)
				chooser.Fleet.AddRelease(bamboorail.AdapterRelease{Key: request.Call.Key, Version: 3}, time.Now())
				if got := time.Until(place.BeginBy(time.Now())); got != timeout-pass {
					t.Errorf("%v left after a release", got)
				}
			})
		})
	}
}

// TestChooseWaitsForReleases checks that an instance that has just started and
// has not read the releases does not assume that there are none.
func TestChooseWaitsForReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chooser, peers, request := newTestChooser(t)
		fresh := fleet.New(time.Second)
		fresh.Update(bamboorail.TargetEntry{
			ID: bamboorail.TargetID{Name: "e"}, Service: "s", Zone: "c", Models: map[string]map[string]int{"m": {request.Call.Key.Adapter: 1}},
		})
		chooser.Fleet = fresh
		// The holder has just started too.
		peers.replies["a"] = &wire.PlaceReply{Holder: true, Target: "e", Version: 1}
		request.StartBy = time.Now().Add(time.Second)
		place, err := chooser.Choose(t.Context(), request)
		if err == nil {
			t.Fatalf("placed on version %d", place.Version)
		}
		if !bamboorail.NotRun(err) {
			t.Error("the error of an unplaced call does not exclude that it ran")
		}
		listed := task.Start(t.Context(), "list", func(ctx context.Context) error {
			err := task.Sleep(ctx, 300*time.Millisecond)
			fresh.MarkReleasesSynced()
			return err
		})
		request.StartBy = time.Now().Add(time.Second)
		if _, err := chooser.Choose(t.Context(), request); err != nil {
			t.Errorf("call that can wait for the releases: %v", err)
		}
		listed.Join()
		base := request
		base.Call = &bamboorail.Call{ID: "b", Key: bamboorail.AdapterKey{Model: "m"}}
		chooser.Fleet = fleet.New(time.Second)
		if _, err := chooser.Choose(t.Context(), base); err != nil {
			t.Errorf("call for a base model, which has no releases: %v", err)
		}
	})
}

// TestReleaseWaitIsBounded checks that a call for an adapter is refused long
// before its deadline if the store has been unavailable since the start.
func TestReleaseWaitIsBounded(t *testing.T) {
	const deadline = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		chooser, _, request := newTestChooser(t)
		chooser.Fleet = fleet.New(time.Second)
		start := time.Now()
		request.StartBy = start.Add(deadline)
		_, err := chooser.Choose(t.Context(), request)
		if held := time.Since(start); held > deadline/10 {
			t.Errorf("call waited for %v of %v", held, deadline)
		}
		if !bamboorail.NotRun(err) || bamboorail.FailureOf(err).RetryAfter <= 0 {
			t.Errorf("refused with %v", err)
		}
	})
}
