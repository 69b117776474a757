package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// TestAFollowerThatTakesOverPassesOn: an instance that never read the store
// itself is followed once it holds the zone, so that the others leave the store
// alone.
func TestAFollowerThatTakesOverPassesOn(t *testing.T) {
	ctx := context.Background()
	holder, next := pair(t)
	revision := holder.read(t)
	next.read(t)
	if next.asked != 0 {
		t.Fatal("the follower asked the store")
	}
	holder.leads, next.leads = false, true
	third := &node{objects: next.objects, follows: next}
	third.Store = NewStore(counted{next.objects, third}, "third", "z", third, line{third}, nil, hclog.NewNullLogger())
	for n := range 5 {
		if _, err := next.objects.Put(ctx, "k/a", []byte("2"), revision); err != nil {
			t.Fatal(err)
		}
		events, err := next.Watch(ctx, []string{"k/"}, revision, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		revision = events.Revision
		t.Logf("watch %d of the new holder: reset %t, %d objects", n, events.Reset, len(events.Objects))
		if events.Reset {
			_ = next.read(t)
		}
	}
	_, _, err := third.List(ctx, "k/")
	if err != nil || third.asked != 0 {
		t.Errorf("%v, %d calls of the store by a follower of the new holder", err, third.asked)
	}
}

// TestATakeoverPassesNothingOldOn: an instance that read the store itself long
// ago, and followed a holder since, takes the lease over. What it passes on as
// fresh lacks nothing of the time between.
func TestATakeoverPassesNothingOldOn(t *testing.T) {
	ctx := context.Background()
	holder, next := pair(t)
	holder.silent = true
	next.read(t) // at the store, since the holder is silent
	holder.silent = false
	next.mu.Lock()
	next.paused = time.Time{}
	next.mu.Unlock()
	revision := holder.read(t)
	put := func(key, value string, version uint64) uint64 {
		v, err := next.objects.Put(ctx, key, []byte(value), version)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	put("k/a", "2", revision)
	if _, err := holder.Watch(ctx, []string{"k/"}, revision, time.Second); err != nil {
		t.Fatal(err)
	}
	events, err := next.Watch(ctx, []string{"k/"}, revision, time.Second)
	if err != nil || !events.FromPeer || len(events.Objects) != 1 {
		t.Fatalf("%+v, %v", events, err)
	}
	revision = events.Revision
	holder.leads, next.leads = false, true
	put("k/b", "1", 0)
	events, err = next.Watch(ctx, []string{"k/"}, revision, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if events.Reset {
		if _, _, err := next.List(ctx, "k/"); err != nil {
			t.Fatal(err)
		}
	}
	third := &node{objects: next.objects, follows: next}
	third.Store = NewStore(counted{next.objects, third}, "third", "z", third, line{third}, nil, hclog.NewNullLogger())
	list, at, err := third.List(ctx, "k/")
	for _, o := range list {
		t.Logf("at %d: %s = %s (version %d), store asked %d times", at, o.Key, o.Value, o.Version, third.asked)
		if o.Key == "k/a" && string(o.Value) != "2" {
			t.Errorf("%s is passed on as fresh with its old value %q", o.Key, o.Value)
		}
	}
	if err != nil || len(list) != 2 {
		t.Errorf("list %v, %v", list, err)
	}
}
