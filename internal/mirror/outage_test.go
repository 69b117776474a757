package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
)

// brokenStore answers no call while it is down.
type brokenStore struct {
	countingStore
	down atomic.Bool
	// timeout is the time after which calls fail while the store is down.
	timeout time.Duration
}

type unavailableError struct{ bamboorail.Failure }

func (b *brokenStore) failure() error {
	b.n.storeCalls++
	time.Sleep(b.timeout)
	return &unavailableError{bamboorail.Failure{Op: "call-store", Kind: bamboorail.KindUnavailable}}
}

func (b *brokenStore) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	if b.down.Load() {
		return nil, 0, b.failure()
	}
	return b.countingStore.List(ctx, prefix)
}

func (b *brokenStore) Watch(ctx context.Context, prefixes []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	if b.down.Load() {
		return bamboorail.Events{}, b.failure()
	}
	return b.countingStore.Watch(ctx, prefixes, revision, wait)
}

// TestOutageIsProbedForAllKindsTogether guards against followers that each call a
// store that is down for every kind: with many instances, the calls of an outage
// outnumber those of a day. They find a store again that the holder has found, or
// that only the holder has lost.
func TestOutageIsProbedForAllKindsTogether(t *testing.T) {
	const outage, interval = 6 * time.Second, 300 * time.Millisecond
	cases := map[string]struct {
		// holderReturns is set if the holder finds the store again at once.
		holderReturns bool
		maxCalls      int
		maxDelay      time.Duration
	}{
		"holder finds it again": {true, int(2*outage/outageRetryDelay) + 1, interval},
		"holder stays cut off":  {false, int(2*outage/outageRetryDelay) + 2, 3*outageRetryDelay/2 + 2*interval},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := context.Background()
				holder, follower := newPair(t)
				store := &brokenStore{countingStore: countingStore{follower.objects, follower}}
				follower.ObjectStore = store
				revision := holder.mustList(t)
				time.Sleep(2 * maxKindContactAge)
				store.down.Store(true)
				for range outage / interval {
					for _, kind := range []string{"k/", "l/", "m/"} {
						if _, _, err := follower.List(ctx, kind); bamboorail.KindOf(err) != bamboorail.KindUnavailable {
							t.Fatalf("list during an outage: %v", err)
						}
						if _, err := follower.Watch(ctx, []string{kind}, revision, time.Second); err == nil {
							t.Fatal("a watch succeeded during an outage")
						}
					}
					time.Sleep(interval)
				}
				if follower.storeCalls > c.maxCalls {
					t.Errorf("%d calls to a store that was down for %v, want at most %d", follower.storeCalls, outage, c.maxCalls)
				}
				store.down.Store(false)
				back := time.Now()
				if c.holderReturns {
					holder.mustList(t)
				}
				for {
					if _, _, err := follower.List(ctx, "k/"); err == nil {
						break
					}
					time.Sleep(interval)
				}
				if took := time.Since(back); took > c.maxDelay {
					t.Errorf("read %v after the store returned, want at most %v", took, c.maxDelay)
				}
			})
		})
	}
}

// TestTimedOutCallDelaysNoOther guards against a call that was lost in an outage and keeps a follower
// from a store that has returned meanwhile (incident archive-late-configuration).
func TestTimedOutCallDelaysNoOther(t *testing.T) {
	const timeout = 2500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		holder, follower := newPair(t)
		store := &brokenStore{countingStore: countingStore{follower.objects, follower}, timeout: timeout}
		store.down.Store(true)
		follower.ObjectStore = store
		revision := holder.mustList(t)
		time.Sleep(2 * maxKindContactAge)
		lost := time.AfterFunc(time.Millisecond, func() { store.down.Store(false) })
		defer lost.Stop()
		if _, err := follower.Watch(t.Context(), []string{"k/"}, revision, time.Second); err == nil {
			t.Fatal("a watch succeeded during an outage")
		}
		if _, _, err := follower.List(t.Context(), "k/"); err != nil {
			t.Errorf("the store is not called %v after it returned: %v", timeout, err)
		}
	})
}
