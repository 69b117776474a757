package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// TestALeaseGoesToALargeInstance: a holder decides for its whole zone, so a
// small instance takes a free lease only if no larger one does.
func TestALeaseGoesToALargeInstance(t *testing.T) {
	const deference = time.Second
	cases := map[string]struct {
		large []string // the instances with more processor time that run
		want  string
	}{
		"a large one runs":  {[]string{"large"}, "large"},
		"no large one runs": {nil, "small"},
	}
	for name, c := range cases {
		for run := range 10 {
			t.Run(fmt.Sprint(name, " ", run), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					store, start := memory.NewStore(), time.Now()
					clock := func() time.Duration { return time.Second + time.Since(start) }
					var duties []*duty.Task
					leases := map[string]*Lease{}
					begin := func(name string, d time.Duration) {
						l := New(Config{Key: key, Holder: name, Address: name + ":1", Timing: timing, Store: store, Clock: clock, Log: hclog.NewNullLogger()})
						e := NewElector("leases", listing{store}, []Candidate{{Lease: l, ClaimDelay: d}}, timing, clock, hclog.NewNullLogger())
						leases[name] = l
						duties = append(duties, duty.Start(ctx, name, e.Run))
					}
					for n := range 8 {
						begin(fmt.Sprintf("small-%d", n), deference)
					}
					for _, name := range c.large {
						begin(name, 0)
					}
					time.Sleep(5 * time.Second)
					holder, _ := leases["small-0"].Holder()
					if len(holder) < len(c.want) || holder[:len(c.want)] != c.want {
						t.Errorf("held by %q, want a %s one", holder, c.want)
					}
					cancel()
					for _, d := range duties {
						d.Join()
					}
				})
			})
		}
	}
}
