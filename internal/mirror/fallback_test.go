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
