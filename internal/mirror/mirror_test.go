package mirror

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// node is an instance that leads or follows another.
type node struct {
	*Store
	objects *memory.Store
	leads   bool
	follows *node
	silent  bool
	asked   int // calls of the object store
}

var errSilent = errors.New("no answer")

func (n *node) Leading() bool { return n.leads }

func (n *node) Holder() (string, string) {
	if n.follows == nil {
		return "", ""
	}
	return "holder", "address"
}

// ask carries a question to the node that is followed.
func (n *node) ask(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	if n.follows.silent {
		return nil, errSilent
	}
	return n.follows.Follow(ctx, r)
}

type line struct{ n *node }

func (l line) Follow(ctx context.Context, _ string, r *wire.FollowRequest) (*wire.FollowReply, error) {
	return l.n.ask(ctx, r)
}

// counted counts the calls of the object store.
type counted struct {
	*memory.Store
	n *node
}

func (c counted) List(ctx context.Context, prefix string) ([]bamboorail.Object, uint64, error) {
	c.n.asked++
	return c.Store.List(ctx, prefix)
}

func (c counted) Watch(ctx context.Context, prefixes []string, revision uint64, wait time.Duration) (bamboorail.Events, error) {
	c.n.asked++
	return c.Store.Watch(ctx, prefixes, revision, wait)
}

func pair(t *testing.T) (holder, follower *node) {
	t.Helper()
	objects := memory.NewStore()
	if _, err := objects.Put(context.Background(), "k/a", []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	holder = &node{objects: objects, leads: true}
	follower = &node{objects: objects, follows: holder}
	for name, n := range map[string]*node{"holder": holder, "follower": follower} {
		n.Store = NewStore(counted{objects, n}, name, "z", n, line{n}, nil, hclog.NewNullLogger())
	}
	return holder, follower
}

// read lists at the holder and returns its revision.
func (n *node) read(t *testing.T) uint64 {
	t.Helper()
	list, revision, err := n.List(context.Background(), "k/")
	if err != nil || len(list) != 1 {
		t.Fatalf("list %v, %v", list, err)
	}
	return revision
}

func TestFollowersReadThroughTheHolder(t *testing.T) {
	holder, follower := pair(t)
	revision := holder.read(t)
	if got := follower.read(t); got != revision || follower.asked != 0 {
		t.Fatalf("revision %d, want %d, after %d calls of the store", got, revision, follower.asked)
	}
	ctx := context.Background()
	if _, err := holder.objects.Put(ctx, "k/b", []byte("2"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := holder.Watch(ctx, []string{"k/"}, revision, time.Second); err != nil {
		t.Fatal(err)
	}
	events, err := follower.Watch(ctx, []string{"k/"}, revision, time.Second)
	if err != nil || !events.FromPeer || len(events.Objects) != 1 || events.Objects[0].Key != "k/b" || follower.asked != 0 {
		t.Errorf("events %+v, %v, after %d calls of the store", events, err, follower.asked)
	}
}

// TestFollowersHelpThemselves: a holder that is silent, cut off from the store
// or no longer the holder is not waited for.
func TestFollowersHelpThemselves(t *testing.T) {
	cases := map[string]func(holder *node){
		"silent":             func(h *node) { h.silent = true },
		"not the holder":     func(h *node) { h.leads = false },
		"cut from the store": func(h *node) { h.cache.contact = time.Now().Add(-2 * freshness) },
		"has never listed":   func(h *node) { h.cache = newCache(nil) },
	}
	for name, breaks := range cases {
		t.Run(name, func(t *testing.T) {
			holder, follower := pair(t)
			holder.read(t)
			breaks(holder)
			follower.read(t)
			if follower.asked != 1 {
				t.Errorf("%d calls of the store", follower.asked)
			}
		})
	}
}

// TestAFollowerThatLagsTooFarListsAgain: what the holder dropped is a gap.
func TestAFollowerThatLagsTooFarListsAgain(t *testing.T) {
	holder, follower := pair(t)
	revision := holder.read(t)
	holder.cache.list("k", nil, revision+5)
	events, err := follower.Watch(context.Background(), []string{"k/"}, revision, time.Second)
	if err != nil || !events.Reset {
		t.Errorf("events %+v, %v", events, err)
	}
}

func TestInstancesAreCounted(t *testing.T) {
	holder, follower := pair(t)
	if n := follower.ZoneSize(); n != 0 {
		t.Errorf("%d instances before the first answer", n)
	}
	holder.read(t)
	follower.read(t)
	if holder.ZoneSize() != 2 || follower.ZoneSize() != 2 {
		t.Errorf("%d and %d instances", holder.ZoneSize(), follower.ZoneSize())
	}
	holder.followers["follower"] = time.Now().Add(-2 * followerExpiry)
	if n := holder.ZoneSize(); n != 1 {
		t.Errorf("%d instances after one is gone", n)
	}
}

// busy is a store that turns readers away.
type busy struct{ counted }

func (b busy) List(ctx context.Context, prefix string) ([]bamboorail.Object, uint64, error) {
	if _, _, err := b.counted.List(ctx, prefix); err != nil {
		return nil, 0, err
	}
	return nil, 0, &tooMany{bamboorail.Failure{Op: "list", Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun}}
}

type tooMany struct{ bamboorail.Failure }

// TestABusyStoreSendsFollowersBack: all instances start at once, before the
// holder has read anything. Those that the store turns away leave it to the
// holder, and ask that again at once, not only after its pause.
func TestABusyStoreSendsFollowersBack(t *testing.T) {
	holder, follower := pair(t)
	follower.ObjectStore = busy{counted{follower.objects, follower}}
	ctx := context.Background()
	for range 3 {
		if _, _, err := follower.List(ctx, "k/"); bamboorail.KindOf(err) != bamboorail.KindOverloaded {
			t.Fatalf("the list of a busy store: %v", err)
		}
	}
	holder.read(t)
	follower.read(t)
	if follower.asked != 1 {
		t.Errorf("%d calls of the busy store", follower.asked)
	}
}

// TestAnAnswerForOneKindVouchesForNoOther: the store may turn the holder's
// watches of one kind away, or lose them, while it answers those of another.
func TestAnAnswerForOneKindVouchesForNoOther(t *testing.T) {
	holder, follower := pair(t)
	now := time.Now()
	holder.cache.now = func() time.Time { return now }
	revision := holder.read(t)
	holder.cache.list("busy", nil, revision)
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		holder.cache.apply("busy", revision, bamboorail.Events{Revision: revision})
	}
	if _, _, err := follower.List(context.Background(), "busy/"); err != nil || follower.asked != 0 {
		t.Fatalf("%v, after %d calls of the store for a kind that the holder follows", err, follower.asked)
	}
	follower.read(t)
	if follower.asked != 1 {
		t.Errorf("%d calls of the store for a kind that the holder has not heard of for 3 s", follower.asked)
	}
}
