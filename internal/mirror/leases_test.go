package mirror

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
)

// leaseLister lists one lease and counts the calls.
type leaseLister struct {
	version bamboorail.StoreVersion
	calls   int
}

func (l *leaseLister) ListStale(context.Context, string) ([]bamboorail.Object, error) {
	l.calls++
	return []bamboorail.Object{{Key: "leases/z", Version: l.version, Value: []byte("listed")}}, nil
}

func newLeasePair(t *testing.T) (holder, follower *node, listed *leaseLister, held *[]bamboorail.Object) {
	t.Helper()
	holder, follower = newPair(t)
	listed, held = &leaseLister{version: 5}, &[]bamboorail.Object{}
	holder.SetLeases(Leases{Kind: "leases", Store: listed, Held: func() []bamboorail.Object { return *held }})
	follower.SetLeases(Leases{Kind: "leases", Store: listed, Held: func() []bamboorail.Object { return nil }})
	return holder, follower, listed, held
}

// TestFollowersReadLeasesThroughHolder checks that followers get the leases from
// their holder, with the renewals that it has written since it listed them, and
// from the store if the holder does not answer or has not listed them lately.
func TestFollowersReadLeasesThroughHolder(t *testing.T) {
	cases := map[string]struct {
		disrupt func(holder *node)
		held    bamboorail.StoreVersion
		calls   int
		want    string
	}{
		"listed by the holder":   {func(*node) {}, 0, 1, "listed 5"},
		"renewed since":          {func(*node) {}, 7, 1, "held 7"},
		"lost since":             {func(*node) {}, 3, 1, "listed 5"},
		"unresponsive":           {func(h *node) { h.unreachable = true }, 7, 2, "listed 5"},
		"no longer the holder":   {func(h *node) { h.leading = false }, 7, 2, "listed 5"},
		"not listed for a while": {func(h *node) { h.cache.kinds["leases"].lastContact = time.Now().Add(-2 * maxKindContactAge) }, 7, 2, "listed 5"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			holder, follower, listed, held := newLeasePair(t)
			if _, err := holder.ListStale(ctx, "leases"); err != nil {
				t.Fatal(err)
			}
			if c.held > 0 {
				*held = []bamboorail.Object{{Key: "leases/z", Version: c.held, Value: []byte("held")}}
			}
			c.disrupt(holder)
			got, err := follower.ListStale(ctx, "leases")
			if err != nil || len(got) != 1 || fmt.Sprint(string(got[0].Value), " ", got[0].Version) != c.want {
				t.Errorf("got %v, %v, want %s", got, err, c.want)
			}
			if listed.calls != c.calls {
				t.Errorf("%d calls to the store, want %d", listed.calls, c.calls)
			}
		})
	}
}

// TestStartReadsThroughTheHolder guards against a whole zone that starts at once
// and lists every kind from the store before it has a holder. An instance waits
// for the holder for a while only.
func TestStartReadsThroughTheHolder(t *testing.T) {
	cases := map[string]struct {
		ready time.Duration // time after which the holder can be read
		calls int
		took  time.Duration
	}{
		"holder already there": {0, 0, 0},
		"holder comes":         {2 * time.Second, 0, 2*time.Second + startupRetryDelay},
		"no holder":            {time.Hour, 1, startupWait + startupRetryDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				holder, follower, _, _ := newLeasePair(t)
				holder.mustList(t)
				if c.ready > 0 {
					follower.hidden.Store(true)
					time.AfterFunc(c.ready, func() {
						if _, _, err := holder.List(context.Background(), "k/"); err != nil {
							t.Error(err)
						}
						follower.hidden.Store(false)
					})
				}
				start := time.Now()
				follower.mustList(t)
				if took := time.Since(start); took > c.took || follower.storeCalls != c.calls {
					t.Errorf("%d calls to the store after %v, want %d within %v", follower.storeCalls, took, c.calls, c.took)
				}
			})
		})
	}
}
