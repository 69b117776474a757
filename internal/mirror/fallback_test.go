package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/peer/wire"
)

// zonePeers reaches the nodes of several zones by their addresses.
type zonePeers map[string]*node

func (z zonePeers) Follow(ctx context.Context, address string, r *wire.FollowRequest) (*wire.FollowReply, error) {
	if z[address].unreachable {
		return nil, errNoAnswer
	}
	return z[address].Follow(ctx, r)
}

// address locates a holder.
type address string

func (a address) Leading() bool            { return false }
func (a address) Holder() (string, string) { return "holder", string(a) }

// TestFollowersFallBackToOtherZone guards against a zone that reads the store
// with every instance while its holder is gone or has lost the store: a holder
// of another zone passes changes on meanwhile, but no full list, and does not
// count it as its own zone.
func TestFollowersFallBackToOtherZone(t *testing.T) {
	cases := map[string]struct {
		disrupt    func(own, other *node)
		storeCalls int
		// lists is set if a full list is read from the store.
		lists bool
	}{
		"own holder serves":       {func(*node, *node) {}, 0, false},
		"own holder gone":         {func(own, _ *node) { own.unreachable = true }, 0, true},
		"own holder lost store":   {func(own, _ *node) { own.cache.lastContact = time.Now().Add(-2 * maxContactAge) }, 0, true},
		"own holder was replaced": {func(own, _ *node) { own.leading = false }, 0, true},
		"both gone":               {func(own, other *node) { own.unreachable, other.unreachable = true, true }, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			own, follower := newPair(t)
			other := &node{objects: own.objects, leading: true}
			other.Store = NewStore(countingStore{own.objects, other}, "other", "y", other, directPeers{other}, nil, hclog.NewNullLogger())
			peers := zonePeers{"own": own, "other": other}
			follower.Store = NewStore(countingStore{own.objects, follower}, "follower", "z", address("own"), peers, nil, hclog.NewNullLogger())
			follower.AddFallback("y", address("other"))
			own.mustList(t)
			other.mustList(t)
			revision := follower.mustList(t)
			c.disrupt(own, other)
			if _, err := other.objects.Put(context.Background(), "k/b", []byte("2"), 0); err != nil {
				t.Fatal(err)
			}
			for _, n := range []*node{own, other} {
				if n.unreachable || !n.leading {
					continue
				}
				if _, err := n.Watch(context.Background(), []string{"k/"}, revision, time.Second); err != nil {
					t.Fatal(err)
				}
			}
			c.disrupt(own, other)
			events, err := follower.Watch(context.Background(), []string{"k/"}, revision, time.Second)
			if err != nil || len(events.Objects) != 1 || follower.storeCalls != c.storeCalls {
				t.Errorf("events %+v, %v, after %d calls to the store, want %d", events, err, follower.storeCalls, c.storeCalls)
			}
			calls := follower.storeCalls
			if _, _, err := follower.List(context.Background(), "k/"); err != nil || (follower.storeCalls > calls) != c.lists {
				t.Errorf("%v, %d calls to the store by a full list, want one: %t", err, follower.storeCalls-calls, c.lists)
			}
			if size := other.ZoneSize(); size != 1 {
				t.Errorf("the other zone counts %d instances, want its own one", size)
			}
		})
	}
}

// TestHolderOfTwoZonesServesBoth guards against instances that cannot read through the holder of another zone because
// it holds theirs too (incident archive-late-configuration).
func TestHolderOfTwoZonesServesBoth(t *testing.T) {
	holder, follower := newPair(t)
	follower.Store = NewStore(countingStore{follower.objects, follower}, "follower", "y", address("both"), zonePeers{"both": holder}, nil, hclog.NewNullLogger())
	follower.AddFallback("z", address("both"))
	revision := holder.mustList(t)
	if got := follower.mustList(t); got != revision || follower.storeCalls != 0 {
		t.Errorf("revision %d, expected %d, after %d calls to the store", got, revision, follower.storeCalls)
	}
	if size := holder.ZoneSize(); size != 1 {
		t.Errorf("the holder counts %d instances in its own zone, expected 1", size)
	}
}

// silentPeers never answer.
type silentPeers struct{}

func (silentPeers) Follow(ctx context.Context, _ string, _ *wire.FollowRequest) (*wire.FollowReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestTwoSilentHoldersDelayNoChange guards against waiting for one silent holder after the other.
func TestTwoSilentHoldersDelayNoChange(t *testing.T) {
	// maxDelay leaves 300 ms of the 2 s within which a change must take effect (limits
	// config_apply_ms, drain_ms).
	const maxDelay = 1700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		_, follower := newPair(t)
		follower.Store = NewStore(countingStore{follower.objects, follower}, "follower", "z", address("own"), silentPeers{}, nil, hclog.NewNullLogger())
		follower.AddFallback("y", address("other"))
		list, revision, err := follower.objects.List(context.Background(), "k/")
		if err != nil || len(list) != 1 {
			t.Fatal(list, err)
		}
		changed := time.Now()
		if _, err := follower.objects.Put(context.Background(), "k/b", []byte("2"), 0); err != nil {
			t.Fatal(err)
		}
		events, err := follower.Watch(context.Background(), []string{"k/"}, revision, time.Second)
		if took := time.Since(changed); err != nil || len(events.Objects) != 1 || took > maxDelay {
			t.Errorf("events %+v, %v, after %s, want at most %s", events, err, took, maxDelay)
		}
	})
}

// TestSilentHolderIsNotAwaitedAfterAFailedRead guards against a follower that has lost one call to the store, or got
// no fresh data from one holder, and waits for a silent one as if nothing were due (incident archive-late-configuration).
func TestSilentHolderIsNotAwaitedAfterAFailedRead(t *testing.T) {
	// maxDelay is what a watch that was lost at the end of an outage leaves of the 3 s within which a change must be
	// known (limit contact_ms): it waits 1 s and ends 1.5 s later.
	const maxDelay = 500 * time.Millisecond
	cases := map[string]struct {
		sources []string
		lost    bool
	}{
		"after a lost call, two silent":     {[]string{"silent", "other"}, true},
		"after a lost call":                 {[]string{"silent"}, true},
		"after a holder without fresh data": {[]string{"stale", "silent"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, follower := newPair(t)
				store := &brokenStore{countingStore: countingStore{follower.objects, follower}, timeout: 2500 * time.Millisecond}
				store.down.Store(c.lost)
				follower.Store = NewStore(store, "follower", "z", address(c.sources[0]), stalePeers{}, nil, hclog.NewNullLogger())
				for _, from := range c.sources[1:] {
					follower.AddFallback("y", address(from))
				}
				_, revision, err := follower.objects.List(t.Context(), "k/")
				if err != nil {
					t.Fatal(err)
				}
				if c.lost {
					if _, err := follower.Watch(t.Context(), []string{"k/"}, revision, time.Second); err == nil {
						t.Fatal("a watch succeeded during an outage")
					}
					store.down.Store(false)
				}
				changed := time.Now()
				if _, err := follower.objects.Put(t.Context(), "k/b", []byte("2"), 0); err != nil {
					t.Fatal(err)
				}
				events, err := follower.Watch(t.Context(), []string{"k/"}, revision, time.Second)
				if took := time.Since(changed); err != nil || len(events.Objects) != 1 || took > maxDelay {
					t.Errorf("events %+v, %v, after %s, expected at most %s", events, err, took, maxDelay)
				}
			})
		})
	}
}

// stalePeers have no fresh data at the address stale, and never answer at others.
type stalePeers struct{ silentPeers }

func (p stalePeers) Follow(ctx context.Context, address string, r *wire.FollowRequest) (*wire.FollowReply, error) {
	if address == "stale" {
		return &wire.FollowReply{}, nil
	}
	return p.silentPeers.Follow(ctx, address, r)
}
