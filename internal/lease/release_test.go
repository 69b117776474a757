package lease

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// TestAReleaseIsRecordedBeforeTheEnd: a process has little time to release its
// leases at its end, and a release that is not recorded costs its zone the term
// of the lease besides the gap.
func TestAReleaseIsRecordedBeforeTheEnd(t *testing.T) {
	const writeTime = 4 * time.Millisecond
	cases := map[string]func(s *memory.Store, l *Lease){
		"calm": func(*memory.Store, *Lease) {},
		"renewal under way": func(_ *memory.Store, l *Lease) {
			go func() { _ = l.Renew(context.Background()) }()
			time.Sleep(writeTime / 4)
		},
		"turned away once": func(s *memory.Store, _ *Lease) {
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
				l := New(Config{Key: key, Holder: "holder", Address: "h:1", Timing: timing, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
				e := NewElector("leases", listing{store}, []Candidate{{Lease: l}}, timing, clock, hclog.NewNullLogger())
				run := duty.Start(ctx, "holder", e.Run)
				time.Sleep(10 * time.Second)
				e.StopClaiming()
				prepare(store, l)
				releasing, stop := context.WithTimeout(ctx, 150*time.Millisecond)
				e.Release(releasing)
				stop()
				cancel()
				run.Join()
				store.SetHook(nil)
				reader := New(Config{Key: key, Holder: "x", Address: "x:1", Timing: timing, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
				if err := reader.refresh(context.Background()); err != nil {
					t.Fatal(err)
				}
				if !reader.seen.Released {
					t.Errorf("the record at the end of the process is not released: %+v", reader.seen)
				}
			})
		})
	}
}
