package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

// TestLargerInstanceClaimsLeaseFirst checks that a small instance claims a free
// lease only if no larger instance does, because a holder decides for its whole
// zone.
func TestLargerInstanceClaimsLeaseFirst(t *testing.T) {
	const claimDelay = time.Second
	cases := map[string]struct {
		large []string // running instances with more processor time
		want  string
	}{
		"with a large instance":    {[]string{"large"}, "large"},
		"without a large instance": {nil, "small"},
	}
	for name, c := range cases {
		for run := range 10 {
			t.Run(fmt.Sprint(name, " ", run), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					store, start := memory.NewStore(), time.Now()
					clock := func() time.Duration { return time.Second + time.Since(start) }
					var tasks []*task.Task
					leases := map[string]*Lease{}
					startInstance := func(name string, d time.Duration) {
						l := New(Config{Key: leaseKey, Holder: name, Address: name + ":1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
						e := NewElector("leases", staleLister{store}, []Candidate{{Lease: l, ClaimDelay: d}}, testTiming, clock, hclog.NewNullLogger())
						leases[name] = l
						tasks = append(tasks, task.Start(ctx, name, e.Run))
					}
					for n := range 8 {
						startInstance(fmt.Sprintf("small-%d", n), claimDelay)
					}
					for _, name := range c.large {
						startInstance(name, 0)
					}
					time.Sleep(5 * time.Second)
					holder, _ := leases["small-0"].Holder()
					if len(holder) < len(c.want) || holder[:len(c.want)] != c.want {
						t.Errorf("held by %q, want a %s instance", holder, c.want)
					}
					cancel()
					for _, d := range tasks {
						d.Join()
					}
				})
			})
		}
	}
}

// laggingReader lists the leases as a peer read them at some time.
type laggingReader struct{ objects []bamboorail.Object }

func (r *laggingReader) ListStale(context.Context, string) ([]bamboorail.Object, error) {
	return r.objects, nil
}

// TestFreeLeaseIsConfirmedBeforeClaim guards against claims of a lease that only
// looks free in the view of a peer: each would cost the store a write.
func TestFreeLeaseIsConfirmedBeforeClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		clock := func() time.Duration { return time.Second + time.Since(start) }
		store := &countingPuts{Store: memory.NewStore()}
		newLease := func(name string) *Lease {
			return New(Config{Key: leaseKey, Holder: name, Address: name + ":1", Timing: testTiming, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
		}
		holder := newLease("holder")
		renewing := task.Start(ctx, "holder", NewElector("leases", staleLister{store.Store}, []Candidate{{Lease: holder}}, testTiming, clock, hclog.NewNullLogger()).Run)
		time.Sleep(3 * time.Second)
		o, ok := holder.Held()
		if !ok {
			t.Fatal("no holder")
		}
		follower := newLease("follower")
		e := NewElector("leases", staleLister{store.Store}, []Candidate{{Lease: follower}}, testTiming, clock, hclog.NewNullLogger())
		e.SetReader(&laggingReader{[]bamboorail.Object{o}})
		polling := task.Start(ctx, "follower", e.Run)
		time.Sleep(30 * time.Second)
		if n := store.conflicts; n > 0 {
			t.Errorf("%d claims of a lease that is renewed", n)
		}
		if name, _ := follower.Holder(); name != "holder" {
			t.Errorf("the follower sees the holder %q", name)
		}
		cancel()
		renewing.Join()
		polling.Join()
	})
}

// countingPuts counts the writes that met a conflict.
type countingPuts struct {
	*memory.Store
	conflicts int
}

func (c *countingPuts) Put(ctx context.Context, key string, value []byte, expect bamboorail.StoreVersion) (bamboorail.StoreVersion, error) {
	version, err := c.Store.Put(ctx, key, value, expect)
	if bamboorail.KindOf(err) == bamboorail.KindConflict {
		c.conflicts++
	}
	return version, err
}
