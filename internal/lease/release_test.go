package lease

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

// TestReleaseIsRecordedAtShutdown checks that the release of a lease is
// recorded within the short time that a process has at shutdown. An unrecorded
// release costs the zone the term of the lease in addition to the gap.
func TestReleaseIsRecordedAtShutdown(t *testing.T) {
	const writeTime = 4 * time.Millisecond
	cases := map[string]func(s *memory.Store, l *Lease){
		"store available": func(*memory.Store, *Lease) {},
		"renewal in progress": func(_ *memory.Store, l *Lease) {
			go func() { _ = l.Renew(context.Background()) }()
			time.Sleep(writeTime / 4)
		},
		"first write rejected": func(s *memory.Store, _ *Lease) {
			var refused atomic.Bool
			s.SetHook(func(op, _ string) error {
				if op != "put-object" || refused.Swap(true) {
					return nil
				}
				return errors.New("503")
			})
		},
	}
	for name, prepare := range cases {
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
				l := New(Config{Key: leaseKey, Holder: "holder", Address: "h:1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
				e := NewElector("leases", staleLister{store}, []Candidate{{Lease: l}}, testTiming, clock, hclog.NewNullLogger())
				run := task.Start(ctx, "holder", e.Run)
				time.Sleep(10 * time.Second)
				e.StopClaiming()
				prepare(store, l)
				releasing, stop := context.WithTimeout(ctx, 150*time.Millisecond)
				e.Release(releasing)
				stop()
				cancel()
				run.Join()
				store.SetHook(nil)
				reader := New(Config{Key: leaseKey, Holder: "x", Address: "x:1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
				if err := reader.refresh(context.Background()); err != nil {
					t.Fatal(err)
				}
				if !reader.lastRecord.Released {
					t.Errorf("release not recorded at shutdown: %+v", reader.lastRecord)
				}
			})
		})
	}
}

// TestSuccessorIsKnown guards against a holder that keeps no room for the orders of the one before:
// a process that starts again under its name has one, too.
func TestSuccessorIsKnown(t *testing.T) {
	store := memory.NewStore()
	open := func() *Lease {
		l := New(Config{Key: "leases/z", Holder: "a", Address: "a", Timing: Timing{Term: time.Minute}, Store: store, Clock: BootTime, Log: hclog.NewNullLogger()})
		if o, err := store.Get(t.Context(), "leases/z"); err == nil {
			l.Observe(o)
		}
		if err := l.Claim(t.Context()); err != nil {
			t.Fatal(err)
		}
		return l
	}
	if open().IsSuccessor() {
		t.Error("the first holder is a successor")
	}
	if !open().IsSuccessor() {
		t.Error("a process that started again is no successor")
	}
}
