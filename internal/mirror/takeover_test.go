package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
)

// TestNewHolderServesFollowers checks that an instance that never read the store
// directly serves followers once it holds the zone, so that they do not call the
// store.
func TestNewHolderServesFollowers(t *testing.T) {
	ctx := context.Background()
	holder, next := newPair(t)
	revision := holder.mustList(t)
	next.mustList(t)
	if next.storeCalls != 0 {
		t.Fatal("the follower called the store")
	}
	holder.leading, next.leading = false, true
	third := &node{objects: next.objects, upstream: next}
	third.Store = NewStore(countingStore{next.objects, third}, "third", "z", third, directPeers{third}, nil, hclog.NewNullLogger())
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
			_ = next.mustList(t)
		}
	}
	_, _, err := third.List(ctx, "k/")
	if err != nil || third.storeCalls != 0 {
		t.Errorf("%v, %d calls to the store by a follower of the new holder", err, third.storeCalls)
	}
}

// TestNewHolderServesNoStaleObjects guards against stale objects after a
// takeover: an instance that once read the store directly and then followed a
// holder takes over the lease. What it serves as fresh must include all changes
// made in between.
func TestNewHolderServesNoStaleObjects(t *testing.T) {
	ctx := context.Background()
	holder, next := newPair(t)
	holder.unreachable = true
	next.mustList(t) // from the store, since the holder is unreachable
	holder.unreachable = false
	next.mu.Lock()
	clear(next.retryAt)
	next.mu.Unlock()
	revision := holder.mustList(t)
	put := func(key, value string, version bamboorail.StoreVersion) bamboorail.StoreVersion {
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
	holder.leading, next.leading = false, true
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
	third := &node{objects: next.objects, upstream: next}
	third.Store = NewStore(countingStore{next.objects, third}, "third", "z", third, directPeers{third}, nil, hclog.NewNullLogger())
	list, at, err := third.List(ctx, "k/")
	for _, o := range list {
		t.Logf("at %d: %s = %s (version %d), store called %d times", at, o.Key, o.Value, o.Version, third.storeCalls)
		if o.Key == "k/a" && string(o.Value) != "2" {
			t.Errorf("%s is served as fresh with its old value %q", o.Key, o.Value)
		}
	}
	if err != nil || len(list) != 2 {
		t.Errorf("list %v, %v", list, err)
	}
}
