package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

// TestResignedInstanceHoldsNoLease guards against a zone whose holder reaches no target (incident archive-unreachable-targets).
func TestResignedInstanceHoldsNoLease(t *testing.T) {
	// bound is the time of a poll, and of a claim after the lease was found free.
	const bound = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, start := memory.NewStore(), time.Now()
		clock := func() time.Duration { return time.Second + time.Since(start) }
		var resigned [2]atomic.Bool
		var leases [2]*Lease
		var tasks []*task.Task
		for n, name := range []string{"first", "second"} {
			leases[n] = New(Config{Key: leaseKey, Holder: name, Address: name + ":1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
			e := NewElector("leases", staleLister{store}, []Candidate{{Lease: leases[n]}}, testTiming, clock, hclog.NewNullLogger())
			e.SetResigned(resigned[n].Load)
			tasks = append(tasks, task.Start(ctx, name, e.Run))
			time.Sleep(bound)
		}
		expect := func(first, second bool, when string) {
			t.Helper()
			time.Sleep(bound)
			if leases[0].Leading() != first || leases[1].Leading() != second {
				t.Errorf("%s: first leads %t, second leads %t", when, leases[0].Leading(), leases[1].Leading())
			}
		}
		expect(true, false, "before")
		resigned[0].Store(true)
		expect(false, true, "first resigned")
		resigned[1].Store(true)
		expect(false, false, "both resigned")
		resigned[0].Store(false)
		expect(true, false, "first is back")
		cancel()
		for _, d := range tasks {
			d.Join()
		}
	})
}
