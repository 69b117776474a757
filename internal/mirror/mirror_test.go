package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// node is an instance that is the holder or follows another node.
type node struct {
	*Store
	objects     *memory.Store
	leading     bool
	upstream    *node
	unreachable bool
	hidden      atomic.Bool // no holder is known yet
	storeCalls  int         // calls to the object store
}

var errNoAnswer = errors.New("no answer")

func (n *node) Leading() bool { return n.leading }

func (n *node) Holder() (string, string) {
	if n.upstream == nil || n.hidden.Load() {
		return "", ""
	}
	return "holder", "address"
}

// forward forwards a follow request to the upstream node.
func (n *node) forward(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	if n.upstream.unreachable {
		return nil, errNoAnswer
	}
	return n.upstream.Follow(ctx, r)
}

type directPeers struct{ n *node }

func (l directPeers) Follow(ctx context.Context, _ string, r *wire.FollowRequest) (*wire.FollowReply, error) {
	return l.n.forward(ctx, r)
}

// countingStore counts the calls to the object store.
type countingStore struct {
	*memory.Store
	n *node
}

func (c countingStore) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	c.n.storeCalls++
	return c.Store.List(ctx, prefix)
}

func (c countingStore) Watch(ctx context.Context, prefixes []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	c.n.storeCalls++
	return c.Store.Watch(ctx, prefixes, revision, wait)
}

func newPair(t *testing.T) (holder, follower *node) {
	t.Helper()
	objects := memory.NewStore()
	if _, err := objects.Put(context.Background(), "k/a", []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	holder = &node{objects: objects, leading: true}
	follower = &node{objects: objects, upstream: holder}
	for name, n := range map[string]*node{"holder": holder, "follower": follower} {
		n.Store = NewStore(countingStore{objects, n}, name, "z", n, directPeers{n}, nil, hclog.NewNullLogger())
	}
	return holder, follower
}

// mustList lists the kind and returns the revision.
func (n *node) mustList(t *testing.T) bamboorail.StoreVersion {
	t.Helper()
	list, revision, err := n.List(context.Background(), "k/")
	if err != nil || len(list) != 1 {
		t.Fatalf("list %v, %v", list, err)
	}
	return revision
}

func TestFollowersReadThroughTheHolder(t *testing.T) {
	holder, follower := newPair(t)
	revision := holder.mustList(t)
	if got := follower.mustList(t); got != revision || follower.storeCalls != 0 {
		t.Fatalf("revision %d, want %d, after %d calls to the store", got, revision, follower.storeCalls)
	}
	ctx := context.Background()
	if _, err := holder.objects.Put(ctx, "k/b", []byte("2"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := holder.Watch(ctx, []string{"k/"}, revision, time.Second); err != nil {
		t.Fatal(err)
	}
	events, err := follower.Watch(ctx, []string{"k/"}, revision, time.Second)
	if err != nil || !events.FromPeer || len(events.Objects) != 1 || events.Objects[0].Key != "k/b" || follower.storeCalls != 0 {
		t.Errorf("events %+v, %v, after %d calls to the store", events, err, follower.storeCalls)
	}
}

// TestFollowersFallBackToStore checks that followers call the store
// directly if the holder is unresponsive, disconnected from the store, or no
// longer the holder.
func TestFollowersFallBackToStore(t *testing.T) {
	cases := map[string]func(holder *node){
		"unresponsive":     func(h *node) { h.unreachable = true },
		"not the holder":   func(h *node) { h.leading = false },
		"disconnected":     func(h *node) { h.cache.lastContact = time.Now().Add(-2 * maxContactAge) },
		"has never listed": func(h *node) { h.cache = newCache(nil) },
	}
	for name, disrupt := range cases {
		t.Run(name, func(t *testing.T) {
			holder, follower := newPair(t)
			holder.mustList(t)
			disrupt(holder)
			follower.mustList(t)
			if follower.storeCalls != 1 {
				t.Errorf("%d calls to the store", follower.storeCalls)
			}
		})
	}
}

// TestLaggingFollowerIsReset checks that a follower must list again if the
// holder no longer has the changes after its revision.
func TestLaggingFollowerIsReset(t *testing.T) {
	holder, follower := newPair(t)
	revision := holder.mustList(t)
	holder.cache.replace("k", nil, revision+5, time.Now())
	events, err := follower.Watch(context.Background(), []string{"k/"}, revision, time.Second)
	if err != nil || !events.Reset {
		t.Errorf("events %+v, %v", events, err)
	}
}

func TestZoneSize(t *testing.T) {
	holder, follower := newPair(t)
	if n := follower.ZoneSize(); n != 0 {
		t.Errorf("%d instances before the first reply", n)
	}
	holder.mustList(t)
	follower.mustList(t)
	if holder.ZoneSize() != 2 || follower.ZoneSize() != 2 {
		t.Errorf("%d and %d instances", holder.ZoneSize(), follower.ZoneSize())
	}
	holder.followers["follower"] = followerState{lastRequest: time.Now().Add(-2 * followerExpiry)}
	if n := holder.ZoneSize(); n != 1 {
		t.Errorf("%d instances after one expired", n)
	}
}

// overloadedStore is a store that rejects lists.
type overloadedStore struct{ countingStore }

func (b overloadedStore) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	if _, _, err := b.countingStore.List(ctx, prefix); err != nil {
		return nil, 0, err
	}
	return nil, 0, &overloadError{bamboorail.Failure{Op: "list", Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun}}
}

type overloadError struct{ bamboorail.Failure }

// TestOverloadedStoreDefersToHolder guards against instances that start
// together overloading the store before the holder has read anything. An instance
// rejected by the store must leave the store to the holder, and must ask the
// holder again immediately instead of after peerRetryDelay.
func TestOverloadedStoreDefersToHolder(t *testing.T) {
	holder, follower := newPair(t)
	follower.ObjectStore = overloadedStore{countingStore{follower.objects, follower}}
	ctx := context.Background()
	for range 3 {
		if _, _, err := follower.List(ctx, "k/"); bamboorail.KindOf(err) != bamboorail.KindOverloaded {
			t.Fatalf("list of an overloaded store: %v", err)
		}
	}
	holder.mustList(t)
	follower.mustList(t)
	if follower.storeCalls != 1 {
		t.Errorf("%d calls to the overloaded store", follower.storeCalls)
	}
}

// TestFreshnessIsPerKind guards against serving stale objects of one kind because
// the store still responds for another: the store may reject or lose the holder's
// watches of a single kind.
func TestFreshnessIsPerKind(t *testing.T) {
	holder, follower := newPair(t)
	now := time.Now()
	holder.cache.now = func() time.Time { return now }
	revision := holder.mustList(t)
	holder.cache.replace("busy", nil, revision, now)
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		holder.cache.apply("busy", revision, bamboorail.Events{Revision: revision}, now)
	}
	if _, _, err := follower.List(context.Background(), "busy/"); err != nil || follower.storeCalls != 0 {
		t.Fatalf("%v, after %d calls to the store for a kind that the holder watches", err, follower.storeCalls)
	}
	follower.mustList(t)
	if follower.storeCalls != 1 {
		t.Errorf("%d calls to the store for a kind without a response to the holder for 3 s", follower.storeCalls)
	}
}

// TestMembersReachTheTargets checks that a holder names the instances of its zone that
// still read through it and reach the targets.
func TestMembersReachTheTargets(t *testing.T) {
	holder, follower := newPair(t)
	unreachable := false
	follower.SetReachability("follower:1", func() bool { return unreachable })
	holder.mustList(t)
	follower.mustList(t)
	if got := holder.Members(); len(got) != 1 || got[0] != "follower:1" {
		t.Errorf("members %v", got)
	}
	unreachable = true
	follower.mustList(t)
	if got := holder.Members(); len(got) != 0 {
		t.Errorf("members %v, none reaches the targets", got)
	}
	holder.followers["follower"] = followerState{lastRequest: time.Now().Add(-2 * followerExpiry), address: "follower:1"}
	if got := holder.Members(); len(got) != 0 {
		t.Errorf("members %v, none has read for long", got)
	}
}
