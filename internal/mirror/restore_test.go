package mirror

import (
	"context"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestHolderBehindARestoreIsNotFresh guards against a follower that has heard of a
// restore of the store and goes on with what its holder read before.
func TestHolderBehindARestoreIsNotFresh(t *testing.T) {
	ctx := context.Background()
	holder, follower := newPair(t)
	revision := holder.mustList(t)
	copied := holder.objects.Snapshot()
	if _, err := holder.objects.Put(ctx, "k/b", []byte("2"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := holder.Watch(ctx, []string{"k/"}, revision, time.Second); err != nil {
		t.Fatal(err)
	}
	holder.objects.Restore(copied)
	restored := bamboorail.NewStoreVersion(1, revision.Revision())
	if _, err := follower.Watch(ctx, []string{"k/"}, restored, 10*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if follower.storeCalls != 1 {
		t.Errorf("%d calls to the store, want 1: the holder has not heard of the restore", follower.storeCalls)
	}
	holder.mustList(t)
	events, err := follower.Watch(ctx, []string{"k/"}, revision, 10*time.Millisecond)
	if err != nil || !events.Reset {
		t.Errorf("events %+v, %v for a follower of the era before", events, err)
	}
}
