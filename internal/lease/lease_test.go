package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

var timing = Timing{RenewInterval: time.Second, Term: 3 * time.Second, Gap: 3 * time.Second}

const key = "leases/zone"

// site is a store with several instances whose clocks differ in their start.
type site struct {
	store *memory.Store
	now   time.Duration
	lost  bool // the next write takes effect and has no answer
	away  bool // calls do not reach the store
}

func newSite() *site {
	s := &site{store: memory.NewStore()}
	s.store.SetHook(func(op, _ string) error {
		if s.away {
			return errors.New("away")
		}
		if op == "put-object" && s.lost {
			s.lost = false
			return memory.ErrLostAnswer
		}
		return nil
	})
	return s
}

func (s *site) instance(n int) *Lease {
	base := time.Duration(n) * time.Hour
	return New(Config{
		Key: key, Holder: fmt.Sprintf("instance-%d", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Timing: timing,
		Store: s.store, Clock: func() time.Duration { return base + s.now }, Log: hclog.NewNullLogger(),
	})
}

func (s *site) observe(t interface{ Fatal(...any) }, l *Lease) {
	if s.away {
		return
	}
	o, err := s.store.Get(context.Background(), key)
	switch {
	case bamboorail.KindOf(err) == bamboorail.KindNotFound:
	case err != nil:
		t.Fatal(err)
	default:
		l.Observe(o)
	}
}

// TestOneHolderAtATime: whatever is lost, late, paused or cut off, no two
// instances may act at once, the next holder leaves the gap, and fencing
// numbers grow.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite()
		leases := []*Lease{s.instance(1), s.instance(2), s.instance(3)}
		last := struct {
			holder  int
			at      time.Duration
			fencing uint64
		}{holder: -1}
		ctx := context.Background()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			l := leases[rapid.IntRange(0, 2).Draw(t, "instance")]
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				s.observe(t, l)
			case 1, 2:
				s.observe(t, l)
				if l.Claimable() {
					_ = l.Claim(ctx)
				}
			case 3:
				if l.Leading() {
					_ = l.Renew(ctx)
				}
			case 4:
				s.lost = true
			case 5:
				s.away = !s.away
			case 6:
				_ = l.Release(ctx)
			}
			for n, one := range leases {
				fencing, acting := one.Tenure()
				if !acting {
					continue
				}
				if last.holder >= 0 && last.holder != n && s.now-last.at < timing.Gap {
					t.Fatalf("instance %d acts %v after instance %d", n, s.now-last.at, last.holder)
				}
				if last.holder != n && fencing <= last.fencing {
					t.Fatalf("fencing number %d after %d", fencing, last.fencing)
				}
				last.holder, last.at, last.fencing = n, s.now, fencing
			}
		}
	})
}

// TestALapsedLeaseIsTaken: a holder that stops renewing is replaced, though no
// sooner than its term and the gap allow.
func TestALapsedLeaseIsTaken(t *testing.T) {
	cases := map[string]struct {
		release bool
		wait    time.Duration // to the first act of the successor
	}{
		"holder falls silent": {false, timing.Term + timing.Gap},
		"holder releases":     {true, timing.Gap},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite()
			a, b := s.instance(1), s.instance(2)
			ctx := context.Background()
			if err := a.Claim(ctx); err != nil {
				t.Fatal(err)
			}
			if c.release {
				if err := a.Release(ctx); err != nil {
					t.Fatal(err)
				}
			}
			s.observe(t, b)
			start := s.now
			for ; s.now < start+time.Minute; s.now += 50 * time.Millisecond {
				if b.Claimable() {
					if err := b.Claim(ctx); err != nil {
						t.Fatal(err)
					}
				}
				if b.Leading() {
					if err := b.Renew(ctx); err != nil {
						t.Fatal(err)
					}
				}
				if _, acting := b.Tenure(); acting {
					break
				}
			}
			if got := s.now - start; got < c.wait || got > c.wait+200*time.Millisecond {
				t.Errorf("the successor acts after %v, want %v", got, c.wait)
			}
		})
	}
}

// TestARenewalWithoutAnAnswerKeepsTheLease: the holder meets its own write and
// goes on with it.
func TestARenewalWithoutAnAnswerKeepsTheLease(t *testing.T) {
	s := newSite()
	l := s.instance(1)
	ctx := context.Background()
	if err := l.Claim(ctx); err != nil {
		t.Fatal(err)
	}
	s.lost = true
	if err := l.Renew(ctx); err == nil {
		t.Fatal("the lost answer was taken for one")
	}
	if err := l.Renew(ctx); bamboorail.KindOf(err) != bamboorail.KindConflict {
		t.Fatalf("the second renewal met %v", err)
	}
	if err := l.Renew(ctx); err != nil {
		t.Fatal(err)
	}
	s.now += timing.Term - time.Millisecond
	if _, acting := l.Tenure(); !acting {
		t.Error("the lease was lost")
	}
}

// TestASuspendedHolderStops: after a suspension longer than its term a holder
// does not act on its old lease.
func TestASuspendedHolderStops(t *testing.T) {
	s := newSite()
	l := s.instance(1)
	if err := l.Claim(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.now += timing.Term
	if _, acting := l.Tenure(); acting {
		t.Error("the holder acts after its term")
	}
}

// listing lists the leases of a store.
type listing struct{ *memory.Store }

func (l listing) ListStale(ctx context.Context, prefix string) ([]bamboorail.Object, error) {
	return l.Store.ListStale(ctx, prefix)
}

// TestAStrangerGivesALeaseBack: an instance of another zone holds the lease of
// a zone without instances, and gives it back once one of its own asks.
func TestAStrangerGivesALeaseBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.NewStore()
		start := time.Now()
		clock := func() time.Duration { return time.Second + time.Since(start) }
		join := func(name string, stranger bool) (*Lease, *Elector, *duty.Task) {
			l := New(Config{Key: key, Holder: name, Address: name + ":1", Timing: timing, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
			e := NewElector("leases", listing{store}, []Candidate{{Lease: l, CrossZone: stranger}}, timing, clock, hclog.NewNullLogger())
			return l, e, duty.Start(ctx, name, e.Run)
		}
		stranger, _, first := join("stranger", true)
		time.Sleep(20 * time.Second)
		if !stranger.Leading() {
			t.Fatal("nobody holds the lease of a zone without instances")
		}
		native, elector, second := join("native", false)
		time.Sleep(20 * time.Second)
		if !stranger.Leading() || native.Leading() {
			t.Error("the lease changed hands although nobody asked")
		}
		// Calls of the native ask the holder that it knows.
		for range 60 {
			if stranger.Leading() {
				stranger.Asked()
			} else {
				elector.PollNow()
			}
			time.Sleep(100 * time.Millisecond)
		}
		if stranger.Leading() || !native.Leading() {
			t.Error("the zone did not get its lease back")
		}
		time.Sleep(20 * time.Second)
		if _, acting := native.Tenure(); !acting || stranger.Leading() {
			t.Error("the zone did not keep its lease")
		}
		cancel()
		first.Join()
		second.Join()
	})
}

// TestALeaseThatNobodyTakesBackIsHeldAgain: an instance that asks and cannot
// claim does not leave its zone without a holder, nor again and again.
func TestALeaseThatNobodyTakesBackIsHeldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.NewStore()
		start := time.Now()
		clock := func() time.Duration { return time.Second + time.Since(start) }
		l := New(Config{Key: key, Holder: "stranger", Address: "s:1", Timing: timing, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
		e := NewElector("leases", listing{store}, []Candidate{{Lease: l, CrossZone: true}}, timing, clock, hclog.NewNullLogger())
		running := duty.Start(ctx, "stranger", e.Run)
		time.Sleep(20 * time.Second)
		led, tenures, last := 0, 0, l.Fencing()
		const steps = 600
		for range steps {
			l.Asked()
			time.Sleep(100 * time.Millisecond)
			if l.Leading() {
				led++
			}
			if f := l.Fencing(); f != last {
				tenures, last = tenures+1, f
			}
		}
		if share := float64(led) / steps; share < 0.6 {
			t.Errorf("the lease was held for %.0f %% of a minute", 100*share)
		}
		if most := int(time.Minute/yieldPause) + 1; tenures > most {
			t.Errorf("the lease was taken %d times in a minute, want at most %d", tenures, most)
		}
		cancel()
		running.Join()
	})
}

// TestAReleasedLeaseGoesToAnother: an elector that was told to release claims
// nothing any more, whatever became of the release at first, and another
// instance of the zone takes the lease.
func TestAReleasedLeaseGoesToAnother(t *testing.T) {
	const (
		writeTime = 50 * time.Millisecond
		outage    = time.Second
		// looks is the longest time until the other instance has seen the
		// release, by its polls, and has claimed.
		looks = 3*pollInterval/2 + claimSpread + 2*writeTime
		asked = 2*claimSpread + 3*writeTime
		// recorded is the longest time until the store has the release.
		recorded = outage + renewRetry + 3*writeTime
	)
	cases := map[string]struct {
		prepare func(s *memory.Store, l *Lease)
		// asks is set if calls of the other instance ask the former holder.
		asks  bool
		bound time.Duration
	}{
		"nobody asks": {bound: looks},
		"calls ask":   {asks: true, bound: asked},
		"renewal under way": {prepare: func(_ *memory.Store, l *Lease) {
			go func() { _ = l.Renew(context.Background()) }()
			time.Sleep(writeTime / 5)
		}, bound: looks + renewRetry + writeTime},
		"answer to the release is lost": {prepare: func(s *memory.Store, _ *Lease) {
			lost := false
			s.SetHook(func(op, _ string) error {
				if op != "put-object" || lost {
					return nil
				}
				lost = true
				return memory.ErrLostAnswer
			})
		}, bound: looks + renewRetry},
		"store is away": {prepare: func(s *memory.Store, _ *Lease) {
			back := time.Now().Add(outage)
			s.SetHook(func(string, string) error {
				if time.Now().Before(back) {
					return errors.New("away")
				}
				return nil
			})
		}, bound: outage + renewRetry + looks},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := memory.NewStore()
				store.SetHook(func(op, _ string) error {
					if op == "put-object" {
						time.Sleep(writeTime)
					}
					return nil
				})
				start := time.Now()
				clock := func() time.Duration { return time.Second + time.Since(start) }
				join := func(name string) (*Lease, *Elector, *duty.Task) {
					l := New(Config{Key: key, Holder: name, Address: name + ":1", Timing: timing, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
					e := NewElector("leases", listing{store}, []Candidate{{Lease: l}}, timing, clock, hclog.NewNullLogger())
					return l, e, duty.Start(ctx, name, e.Run)
				}
				holder, leaving, first := join("holder")
				time.Sleep(10 * time.Second)
				other, elector, second := join("other")
				time.Sleep(10 * time.Second)
				if c.prepare != nil {
					c.prepare(store, holder)
				}
				released := time.Now()
				releasing, stop := context.WithTimeout(ctx, 3*writeTime)
				leaving.Release(releasing)
				stop()
				var taken, noted time.Duration
				for time.Since(released) < time.Minute {
					// Calls of the former holder ask for a look as well.
					leaving.PollNow()
					if c.asks {
						elector.PollNow()
					}
					time.Sleep(10 * time.Millisecond)
					if noted == 0 && isReleased(store) {
						noted = time.Since(released)
					}
					if name, _ := holder.Holder(); name == "holder" {
						t.Fatal("the former holder takes itself for the holder")
					}
					if holder.Leading() {
						t.Fatalf("the former holder leads again after %v", time.Since(released))
					}
					if taken == 0 && other.Leading() {
						taken = time.Since(released)
					}
				}
				if taken == 0 || taken > c.bound {
					t.Errorf("the other instance took the lease after %v, want %v", taken, c.bound)
				}
				if noted == 0 || noted > recorded {
					t.Errorf("the store had the release after %v, want %v", noted, recorded)
				}
				if name, _ := holder.Holder(); name != "other" {
					t.Errorf("the former holder knows %q as the holder", name)
				}
				cancel()
				first.Join()
				second.Join()
			})
		})
	}
}

// TestALeavingHolderKeepsItsLease: an instance that leaves holds its lease until
// it releases it, and claims none that it loses.
func TestALeavingHolderKeepsItsLease(t *testing.T) {
	cases := map[string]struct{ outage, leads bool }{
		"calm store":    {leads: true},
		"lease is lost": {outage: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := memory.NewStore()
				start := time.Now()
				clock := func() time.Duration { return time.Second + time.Since(start) }
				l := New(Config{Key: key, Holder: "holder", Address: "h:1", Timing: timing, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
				e := NewElector("leases", listing{store}, []Candidate{{Lease: l}}, timing, clock, hclog.NewNullLogger())
				running := duty.Start(ctx, "holder", e.Run)
				time.Sleep(10 * time.Second)
				e.StopClaiming()
				if c.outage {
					other := New(Config{Key: key, Holder: "other", Address: "o:1", Timing: timing, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
					if err := other.refresh(ctx); err != nil {
						t.Fatal(err)
					}
					store.SetHook(func(string, string) error { return errors.New("away") })
					// Between two tries of the holder, which would win beside the claim.
					time.Sleep(2*timing.Term + renewRetry/2)
					store.SetHook(nil)
					if !other.Claimable() {
						t.Fatal("the lease did not lapse")
					}
					if err := errors.Join(other.Claim(ctx), other.Release(ctx)); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(20 * time.Second)
				if _, acting := l.Tenure(); acting != c.leads {
					t.Errorf("the leaving holder acts: %t", acting)
				}
				cancel()
				running.Join()
			})
		})
	}
}

// isReleased reports whether the store has the release of the first holder, or
// another holder. A store that is away tells nothing.
func isReleased(store *memory.Store) bool {
	o, err := store.Get(context.Background(), key)
	if err != nil {
		return false
	}
	var r record
	err = json.Unmarshal(o.Value, &r)
	return err == nil && (r.Released || r.Holder != "holder")
}
