package detour

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

var errTest = errors.New("unreachable")

// fakeNetwork connects to the targets that are up.
type fakeNetwork struct {
	mu    sync.Mutex
	down  map[string]bool
	dials int
	// neighbors are the replies of holders, by address.
	neighbors map[string][]string
	lists     int
}

func (n *fakeNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	down := n.down[address] || n.down["all"]
	n.mu.Unlock()
	if down {
		_ = task.Sleep(ctx, probeTimeout)
		return nil, errTest
	}
	a, b := net.Pipe()
	return a, b.Close()
}

func (n *fakeNetwork) Forward(context.Context, string, *wire.ForwardRequest) (*peer.ForwardStream, error) {
	return nil, errTest
}

func (n *fakeNetwork) Neighbors(_ context.Context, address string, _ *wire.NeighborsRequest) (*wire.NeighborsReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lists++
	list, ok := n.neighbors[address]
	if !ok {
		return nil, errTest
	}
	return &wire.NeighborsReply{Holder: true, Addresses: list}, nil
}

func (n *fakeNetwork) set(down ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = map[string]bool{}
	for _, address := range down {
		n.down[address] = true
	}
}

// newTestDetour returns a detour with six targets in zone a, and holders a and b.
func newTestDetour(t *testing.T) (*Detour, *fakeNetwork) {
	t.Helper()
	store := memory.NewStore()
	var zones []lease.Zone
	for _, name := range []string{"a", "b"} {
		key := "leases/" + name
		if _, err := store.Put(t.Context(), key, fmt.Appendf(nil, `{"holder":"x","address":%q}`, "holder-"+name), 0); err != nil {
			t.Fatal(err)
		}
		l := lease.New(lease.Config{Key: key, Holder: "self", Store: store, Clock: lease.BootTime, Log: hclog.NewNullLogger()})
		o, err := store.Get(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		l.Observe(o)
		zones = append(zones, lease.Zone{Name: name, Lease: l})
	}
	n := &fakeNetwork{neighbors: map[string][]string{"holder-a": {"a1", "self"}, "holder-b": {"b1"}}}
	d := New(Config{
		Instance: "self", Address: "self", Zones: zones, Peers: n, Dialer: n, OnChange: func() {}, Log: hclog.NewNullLogger(),
		Members: func() []string { return nil },
		Targets: func() []bamboorail.TargetEntry {
			var list []bamboorail.TargetEntry
			for i := range 6 {
				list = append(list, bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: fmt.Sprint("t", i)}, Zone: []string{"a", "b", "c"}[i/2], Address: fmt.Sprint("t", i)})
			}
			return list
		},
	})
	return d, n
}

// TestPartitionIsNoticedAndEnds checks how long it takes until calls are forwarded, and
// until they go to the targets again, and what other troubles do not cause.
func TestPartitionIsNoticedAndEnds(t *testing.T) {
	cases := map[string]struct {
		down []string
		// silent is set if the call failed on an old connection.
		silent bool
		want   bool
	}{
		"no target reachable":              {[]string{"all"}, false, true},
		"no target reachable, old failed":  {[]string{"all"}, true, true},
		"one target down":                  {[]string{"t0"}, false, false},
		"one target silent":                {nil, true, false},
		"two targets down":                 {[]string{"t0", "t1"}, false, false},
		"three of six down":                {[]string{"t0", "t3", "t4"}, false, false},
		"partitioned from the other zones": {[]string{"t2", "t3", "t4", "t5"}, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d, n := newTestDetour(t)
				running := task.Start(ctx, "detour", d.Run)
				n.set(c.down...)
				target := "t0"
				if c.down != nil && c.down[0] != "all" {
					target = c.down[0]
				}
				if c.silent {
					d.RecordSilence()
				} else if _, err := d.DialContext(ctx, "tcp", target); err == nil {
					t.Error("connected to a target that is down")
				}
				time.Sleep(probeTimeout + probeInterval)
				if d.IsPartitioned() != c.want {
					t.Errorf("partitioned: %t", d.IsPartitioned())
				}
				if d.ShouldResign() {
					t.Error("resigned at once")
				}
				time.Sleep(2 * resignDelay)
				if d.ShouldResign() != c.want {
					t.Errorf("resigned: %t", d.ShouldResign())
				}
				var tried []string
				for range 3 {
					if address, ok := d.Next(tried); ok {
						tried = append(tried, address)
					}
				}
				slices.Sort(tried)
				if got := strings.Join(tried, " "); c.want && got != "a1 b1" || !c.want && got != "" {
					t.Errorf("forwards to %q", got)
				}
				n.set()
				time.Sleep(probeTimeout + 2*probeInterval)
				if d.IsPartitioned() || d.ShouldResign() {
					t.Error("partitioned after the end")
				}
				n.mu.Lock()
				dials, lists := n.dials, n.lists
				n.mu.Unlock()
				time.Sleep(time.Minute)
				n.mu.Lock()
				if n.dials != dials || n.lists != lists {
					t.Errorf("%d probes and %d list requests without a failure", n.dials-dials, n.lists-lists)
				}
				n.mu.Unlock()
				cancel()
				running.Join()
			})
		})
	}
}

// TestUnansweringNeighborIsAvoided checks that an instance that does not answer is not
// used again at once, and that its failure states whether the call may have run.
func TestUnansweringNeighborIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, n := newTestDetour(t)
		n.set("all")
		for _, address := range []string{"t0", "t1", "t2"} {
			_, _ = d.DialContext(t.Context(), "tcp", address)
		}
		d.probe(t.Context())
		first, ok := d.Next(nil)
		if !ok {
			t.Fatal("nothing to forward to")
		}
		if _, err := d.Forward(t.Context(), first, relayCall); err == nil || bamboorail.NotRun(err) {
			t.Errorf("error %v", err)
		}
		for range 20 {
			if next, _ := d.Next(nil); next == first {
				t.Fatal("the instance that failed is used again")
			}
		}
		time.Sleep(avoidTime + time.Millisecond)
		if second, _ := d.Next(nil); second == "" {
			t.Error("nothing to forward to later")
		}
	})
}
