package lease

import (
	"context"
	"testing"
	"time"

	"bamboorail.example/bamboorail/internal/stand/memory"
)

// TestRestoredStoreHasAHolderAgain guards against leases that nobody renews or
// claims after the store was restored from a copy, and against a pause of a holder
// that is still valid.
func TestRestoredStoreHasAHolderAgain(t *testing.T) {
	cases := map[string]struct {
		// before is what happens before the copy, after what happens until the store
		// is restored from it.
		before, after func(ctx context.Context, s *testStore, a, b *Lease)
		// holder is the instance that lives on: 1 is a, 2 is b.
		holder int
		// wait is the longest time without a holder that may act.
		wait time.Duration
	}{
		"copy without the lease": {
			before: func(context.Context, *testStore, *Lease, *Lease) {},
			after:  func(ctx context.Context, _ *testStore, a, _ *Lease) { _ = a.Claim(ctx) },
			holder: 1,
		},
		"copy of an earlier renewal": {
			before: func(ctx context.Context, _ *testStore, a, _ *Lease) { _ = a.Claim(ctx) },
			after:  func(ctx context.Context, _ *testStore, a, _ *Lease) { _ = a.Renew(ctx); _ = a.Renew(ctx) },
			holder: 1,
		},
		"copy of a former holder": {
			before: func(ctx context.Context, _ *testStore, a, _ *Lease) { _ = a.Claim(ctx) },
			after: func(ctx context.Context, s *testStore, a, b *Lease) {
				_ = a.Release(ctx)
				s.observe(failer{}, b)
				_ = b.Claim(ctx)
				for range 4 {
					s.now += time.Second
					_ = b.Renew(ctx)
				}
			},
			holder: 2,
		},
		"holder lost with the copy": {
			before: func(context.Context, *testStore, *Lease, *Lease) {},
			after:  func(ctx context.Context, s *testStore, a, b *Lease) { _ = a.Claim(ctx); s.observe(failer{}, b) },
			holder: 2,
			wait:   2*testTiming.Term + testTiming.Gap + time.Second,
		},
		"released before the copy": {
			before: func(ctx context.Context, _ *testStore, a, _ *Lease) { _ = a.Claim(ctx); _ = a.Release(ctx) },
			after:  func(ctx context.Context, s *testStore, _, b *Lease) { s.observe(failer{}, b); _ = b.Claim(ctx) },
			holder: 1,
			wait:   2*testTiming.Term + testTiming.Gap + time.Second,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			s := newTestStore()
			a, b := s.instance(1), s.instance(2)
			c.before(ctx, s, a, b)
			copied := s.store.Snapshot()
			c.after(ctx, s, a, b)
			tokenA, _ := a.Tenure()
			tokenB, _ := b.Tenure()
			l := []*Lease{a, b}[c.holder-1]
			s.store.Restore(copied)
			start, idle := s.now, time.Duration(0)
			for s.now < start+30*time.Second {
				if l.Leading() {
					_ = l.Renew(ctx)
				}
				if _ = l.refresh(ctx); l.Claimable() {
					_ = l.Claim(ctx)
				}
				if _, acting := l.Tenure(); !acting {
					idle = s.now - start + testTiming.RenewInterval
				}
				s.now += testTiming.RenewInterval
			}
			if idle > c.wait {
				t.Errorf("no holder for %s after the restore, want %s at the most", idle, c.wait)
			}
			token, acting := l.Tenure()
			if !acting || token < tokenA || token < tokenB {
				t.Errorf("acting %t with token %d after %d and %d", acting, token, tokenA, tokenB)
			}
		})
	}
}

// failer is for reads that cannot fail.
type failer struct{}

func (failer) Fatal(v ...any) { panic(v) }

// TestFirstClaimActsAtOnce checks that only a store that was restored makes the
// first holder wait.
func TestFirstClaimActsAtOnce(t *testing.T) {
	for name, restored := range map[string]bool{"new store": false, "restored store": true} {
		t.Run(name, func(t *testing.T) {
			s := newTestStore()
			if restored {
				s.store.Restore(memory.Snapshot{})
			}
			l := s.instance(1)
			if err := l.Claim(context.Background()); err != nil {
				t.Fatal(err)
			}
			if _, acting := l.Tenure(); acting == restored {
				t.Errorf("acting %t", acting)
			}
		})
	}
}

// TestRestoredRecordAllowsNoShortcut guards against an instance that takes a record
// from before a restore for the latest, and acts beside the holder that it misses.
func TestRestoredRecordAllowsNoShortcut(t *testing.T) {
	for name, released := range map[string]bool{"held by the claimant": false, "released": true} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			s := newTestStore()
			a, b := s.instance(1), s.instance(2)
			if err := a.Claim(ctx); err != nil {
				t.Fatal(err)
			}
			s.now += testTiming.RenewInterval
			if err := a.Renew(ctx); err != nil {
				t.Fatal(err)
			}
			if released {
				if err := a.Release(ctx); err != nil {
					t.Fatal(err)
				}
			}
			copied := s.store.Snapshot()
			if err := a.Release(ctx); err != nil {
				t.Fatal(err)
			}
			s.observe(t, b)
			if err := b.Claim(ctx); err != nil {
				t.Fatal(err)
			}
			for range 4 {
				s.now += testTiming.RenewInterval
				if err := b.Renew(ctx); err != nil {
					t.Fatal(err)
				}
			}
			if _, acting := b.Tenure(); !acting {
				t.Fatal("the successor does not act")
			}
			s.store.Restore(copied)
			if err := a.refresh(ctx); err != nil {
				t.Fatal(err)
			}
			if a.Claimable() {
				_ = a.Claim(ctx) // a conflict is as good
			}
			if _, acting := a.Tenure(); acting {
				t.Error("both act after the restore")
			}
			s.now += testTiming.Gap
			if _, acting := a.Tenure(); acting {
				t.Error("the claimant acts within the gap after its successor")
			}
		})
	}
}
