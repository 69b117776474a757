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
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

var testTiming = Timing{RenewInterval: time.Second, Term: 3 * time.Second, Gap: 3 * time.Second}

const leaseKey = "leases/zone"

// testStore is a store shared by several instances whose clocks have different
// origins.
type testStore struct {
	store          *memory.Store
	now            time.Duration
	loseNextAnswer bool // the next write takes effect without an answer
	unavailable    bool // calls do not reach the store
}

func newTestStore() *testStore {
	s := &testStore{store: memory.NewStore()}
	s.store.SetHook(func(op, _ string) error {
		if s.unavailable {
			return errors.New("store unavailable")
		}
		if op == "put-object" && s.loseNextAnswer {
			s.loseNextAnswer = false
			return memory.ErrLostResponse
		}
		return nil
	})
	return s
}

func (s *testStore) instance(n int) *Lease {
	base := time.Duration(n) * time.Hour
	return New(Config{
		Key: leaseKey, Holder: fmt.Sprintf("instance-%d", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Timing: testTiming,
		Store: s.store, Clock: func() time.Duration { return base + s.now }, Log: hclog.NewNullLogger(),
	})
}

func (s *testStore) observe(t interface{ Fatal(...any) }, l *Lease) {
	if s.unavailable {
		return
	}
	o, err := s.store.Get(context.Background(), leaseKey)
	switch {
	case bamboorail.KindOf(err) == bamboorail.KindNotFound:
	case err != nil:
		t.Fatal(err)
	default:
		l.Observe(o)
	}
}

// TestAtMostOneActingHolder checks that, with lost answers, delays, pauses and
// outages, at most one instance may act at a time, a successor waits for the
// gap, and fencing tokens increase.
func TestAtMostOneActingHolder(t *testing.T) {
	checkHolders(t, false)
}

// TestAtMostOneActingHolderAcrossRestores checks the same in a store that is
// restored from earlier copies, with instances that start again.
func TestAtMostOneActingHolderAcrossRestores(t *testing.T) { checkHolders(t, true) }

func checkHolders(t *testing.T, restores bool) {
	const actions, restoreActions = 6, 9
	lastAction := actions
	if restores {
		lastAction = restoreActions
	}
	rapid.Check(t, func(t *rapid.T) {
		s := newTestStore()
		copies := []memory.Snapshot{s.store.Snapshot()}
		leases := []*Lease{s.instance(1), s.instance(2), s.instance(3)}
		last := struct {
			holder       int
			at           time.Duration
			fencingToken uint64
		}{holder: -1}
		ctx := context.Background()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, 2).Draw(t, "instance")
			l := leases[n]
			switch rapid.IntRange(0, lastAction).Draw(t, "action") {
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
				s.loseNextAnswer = true
			case 5:
				s.unavailable = !s.unavailable
			case 6:
				_ = l.Release(ctx)
			case 7:
				copies = append(copies, s.store.Snapshot())
			case 8:
				s.store.Restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
			case 9:
				leases[n] = s.instance(n + 1)
			}
			for n, other := range leases {
				fencingToken, acting := other.Tenure()
				if !acting {
					continue
				}
				if last.holder >= 0 && last.holder != n && s.now-last.at < testTiming.Gap {
					t.Fatalf("instance %d may act %v after instance %d", n, s.now-last.at, last.holder)
				}
				if last.holder != n && fencingToken <= last.fencingToken {
					t.Fatalf("fencing token %d follows %d", fencingToken, last.fencingToken)
				}
				last.holder, last.at, last.fencingToken = n, s.now, fencingToken
			}
		}
	})
}

// TestSuccessorActsAfterTermAndGap checks that a holder that stops renewing is
// replaced, but not before its term and the gap have passed.
func TestSuccessorActsAfterTermAndGap(t *testing.T) {
	cases := map[string]struct {
		release bool
		wait    time.Duration // until the successor may act
	}{
		"holder stops renewing": {false, testTiming.Term + testTiming.Gap},
		"holder releases":       {true, testTiming.Gap},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestStore()
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
				t.Errorf("successor acts after %v, want %v", got, c.wait)
			}
		})
	}
}

// TestRenewAfterLostAnswer checks that a holder whose renewal took effect
// without an answer recognizes its own write and keeps the lease.
func TestRenewAfterLostAnswer(t *testing.T) {
	s := newTestStore()
	l := s.instance(1)
	ctx := context.Background()
	if err := l.Claim(ctx); err != nil {
		t.Fatal(err)
	}
	s.loseNextAnswer = true
	if err := l.Renew(ctx); err == nil {
		t.Fatal("renewal with a lost answer succeeded")
	}
	if err := l.Renew(ctx); bamboorail.KindOf(err) != bamboorail.KindConflict {
		t.Fatalf("second renewal: %v, want a conflict", err)
	}
	if err := l.Renew(ctx); err != nil {
		t.Fatal(err)
	}
	s.now += testTiming.Term - time.Millisecond
	if _, acting := l.Tenure(); !acting {
		t.Error("the holder may not act after the retried renewal")
	}
}

// TestSuspendedHolderDoesNotAct checks that a holder does not act on its lease
// after a suspension longer than the term.
func TestSuspendedHolderDoesNotAct(t *testing.T) {
	s := newTestStore()
	l := s.instance(1)
	if err := l.Claim(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.now += testTiming.Term
	if _, acting := l.Tenure(); acting {
		t.Error("the holder may act after its term")
	}
}

// staleLister lists the leases of a store.
type staleLister struct{ *memory.Store }

func (l staleLister) ListStale(ctx context.Context, prefix string) ([]bamboorail.Object, error) {
	return l.Store.ListStale(ctx, prefix)
}

// TestCrossZoneHolderReturnsLease checks that an instance of another zone
// claims the lease of a zone without instances, and returns it once an instance
// of that zone sends requests.
func TestCrossZoneHolderReturnsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.NewStore()
		start := time.Now()
		clock := func() time.Duration { return time.Second + time.Since(start) }
		startInstance := func(name string, crossZone bool) (*Lease, *Elector, *task.Task) {
			l := New(Config{Key: leaseKey, Holder: name, Address: name + ":1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
			e := NewElector("leases", staleLister{store}, []Candidate{{Lease: l, CrossZone: crossZone}}, testTiming, clock, hclog.NewNullLogger())
			return l, e, task.Start(ctx, name, e.Run)
		}
		crossZone, _, first := startInstance("cross-zone", true)
		time.Sleep(20 * time.Second)
		if !crossZone.Leading() {
			t.Fatal("the lease of a zone without instances is not held")
		}
		local, elector, second := startInstance("local", false)
		time.Sleep(20 * time.Second)
		if !crossZone.Leading() || local.Leading() {
			t.Error("the lease was returned without a request")
		}
		// Calls in the zone query the holder that its instance knows.
		for range 60 {
			if crossZone.Leading() {
				crossZone.RecordZoneRequest()
			} else {
				elector.PollNow()
			}
			time.Sleep(100 * time.Millisecond)
		}
		if crossZone.Leading() || !local.Leading() {
			t.Error("the lease was not returned to its zone")
		}
		time.Sleep(20 * time.Second)
		if _, acting := local.Tenure(); !acting || crossZone.Leading() {
			t.Error("the zone's instance did not keep the lease")
		}
		cancel()
		first.Join()
		second.Join()
	})
}

// TestReturnedLeaseIsReclaimed checks that a zone whose instance sends requests
// but cannot claim the lease is not left without a holder, and that its lease
// is not returned repeatedly.
func TestReturnedLeaseIsReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.NewStore()
		start := time.Now()
		clock := func() time.Duration { return time.Second + time.Since(start) }
		l := New(Config{Key: leaseKey, Holder: "cross-zone", Address: "s:1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
		e := NewElector("leases", staleLister{store}, []Candidate{{Lease: l, CrossZone: true}}, testTiming, clock, hclog.NewNullLogger())
		running := task.Start(ctx, "cross-zone", e.Run)
		time.Sleep(20 * time.Second)
		heldSteps, tenures, last := 0, 0, l.FencingToken()
		const steps = 600
		for range steps {
			l.RecordZoneRequest()
			time.Sleep(100 * time.Millisecond)
			if l.Leading() {
				heldSteps++
			}
			if f := l.FencingToken(); f != last {
				tenures, last = tenures+1, f
			}
		}
		if share := float64(heldSteps) / steps; share < 0.6 {
			t.Errorf("the lease was held for %.0f %% of a minute, want at least 60 %%", 100*share)
		}
		if maxTenures := int(time.Minute/minYieldInterval) + 1; tenures > maxTenures {
			t.Errorf("the lease was claimed %d times in a minute, want at most %d", tenures, maxTenures)
		}
		cancel()
		running.Join()
	})
}

// TestReleasedLeaseIsClaimedByPeer checks that an elector claims nothing after
// Release, whatever happens to the first release, and that another instance of
// the zone claims the lease.
func TestReleasedLeaseIsClaimedByPeer(t *testing.T) {
	const (
		writeTime = 50 * time.Millisecond
		outage    = time.Second
		// maxPollTime bounds the time until the other instance has seen the
		// release by polling, and has claimed the lease.
		maxPollTime          = 3*pollInterval/2 + maxClaimJitter + 2*writeTime
		maxTriggeredPollTime = 2*maxClaimJitter + 3*writeTime
		// maxRecordTime bounds the time until the store has the release.
		maxRecordTime = outage + renewRetryInterval + 3*writeTime
	)
	cases := map[string]struct {
		prepare func(s *memory.Store, l *Lease)
		// triggersPoll is set if calls of the other instance query the former
		// holder.
		triggersPoll bool
		bound        time.Duration
	}{
		"polling only":        {bound: maxPollTime},
		"calls trigger polls": {triggersPoll: true, bound: maxTriggeredPollTime},
		"renewal in progress": {prepare: func(_ *memory.Store, l *Lease) {
			go func() { _ = l.Renew(context.Background()) }()
			time.Sleep(writeTime / 5)
		}, bound: maxPollTime + renewRetryInterval + writeTime},
		"answer to the release lost": {prepare: func(s *memory.Store, _ *Lease) {
			lost := false
			s.SetHook(func(op, _ string) error {
				if op != "put-object" || lost {
					return nil
				}
				lost = true
				return memory.ErrLostResponse
			})
		}, bound: maxPollTime + renewRetryInterval},
		"store unavailable": {prepare: func(s *memory.Store, _ *Lease) {
			recovery := time.Now().Add(outage)
			s.SetHook(func(string, string) error {
				if time.Now().Before(recovery) {
					return errors.New("store unavailable")
				}
				return nil
			})
		}, bound: outage + renewRetryInterval + maxPollTime},
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
				startInstance := func(name string) (*Lease, *Elector, *task.Task) {
					l := New(Config{Key: leaseKey, Holder: name, Address: name + ":1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
					e := NewElector("leases", staleLister{store}, []Candidate{{Lease: l}}, testTiming, clock, hclog.NewNullLogger())
					return l, e, task.Start(ctx, name, e.Run)
				}
				holder, leaving, first := startInstance("holder")
				time.Sleep(10 * time.Second)
				other, elector, second := startInstance("other")
				time.Sleep(10 * time.Second)
				if c.prepare != nil {
					c.prepare(store, holder)
				}
				released := time.Now()
				releasing, stop := context.WithTimeout(ctx, 3*writeTime)
				leaving.Release(releasing)
				stop()
				var taken, recorded time.Duration
				for time.Since(released) < time.Minute {
					// Calls of the former holder trigger polls as well.
					leaving.PollNow()
					if c.triggersPoll {
						elector.PollNow()
					}
					time.Sleep(10 * time.Millisecond)
					if recorded == 0 && isReleased(store) {
						recorded = time.Since(released)
					}
					if name, _ := holder.Holder(); name == "holder" {
						t.Fatal("the former holder returns itself as the holder")
					}
					if holder.Leading() {
						t.Fatalf("the former holder leads again after %v", time.Since(released))
					}
					if taken == 0 && other.Leading() {
						taken = time.Since(released)
					}
				}
				if taken == 0 || taken > c.bound {
					t.Errorf("the other instance claimed the lease after %v, want at most %v", taken, c.bound)
				}
				if recorded == 0 || recorded > maxRecordTime {
					t.Errorf("the store recorded the release after %v, want at most %v", recorded, maxRecordTime)
				}
				if name, _ := holder.Holder(); name != "other" {
					t.Errorf("the former holder returns %q as the holder", name)
				}
				cancel()
				first.Join()
				second.Join()
			})
		})
	}
}

// TestHolderKeepsLeaseAfterStopClaiming checks that an instance that shuts down
// keeps its lease until it releases it, and does not claim a lease that it
// lost.
func TestHolderKeepsLeaseAfterStopClaiming(t *testing.T) {
	cases := map[string]struct{ outage, acts bool }{
		"store available":         {acts: true},
		"lease lost in an outage": {outage: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := memory.NewStore()
				start := time.Now()
				clock := func() time.Duration { return time.Second + time.Since(start) }
				l := New(Config{Key: leaseKey, Holder: "holder", Address: "h:1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
				e := NewElector("leases", staleLister{store}, []Candidate{{Lease: l}}, testTiming, clock, hclog.NewNullLogger())
				running := task.Start(ctx, "holder", e.Run)
				time.Sleep(10 * time.Second)
				e.StopClaiming()
				if c.outage {
					other := New(Config{Key: leaseKey, Holder: "other", Address: "o:1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
					if err := other.refresh(ctx); err != nil {
						t.Fatal(err)
					}
					store.SetHook(func(string, string) error { return errors.New("store unavailable") })
					// Between two attempts of the holder, which would otherwise
					// renew first.
					time.Sleep(2*testTiming.Term + renewRetryInterval/2)
					store.SetHook(nil)
					if !other.Claimable() {
						t.Fatal("the lease did not lapse")
					}
					if err := errors.Join(other.Claim(ctx), other.Release(ctx)); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(20 * time.Second)
				if _, acting := l.Tenure(); acting != c.acts {
					t.Errorf("holder may act after StopClaiming: %t", acting)
				}
				cancel()
				running.Join()
			})
		})
	}
}

// isReleased reports whether the store has the release of the first holder, or
// another holder. It returns false while the store is unavailable.
func isReleased(store *memory.Store) bool {
	o, err := store.Get(context.Background(), leaseKey)
	if err != nil {
		return false
	}
	var r record
	err = json.Unmarshal(o.Value, &r)
	return err == nil && (r.Released || r.Holder != "holder")
}
