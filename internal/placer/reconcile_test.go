package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// TestLostPlacementsAreReconciled checks that a placement whose answer was
// lost, or whose instance ended, is ended well before it expires after 30 s.
// Until then it would occupy a slot and protect an adapter from eviction.
func TestLostPlacementsAreReconciled(t *testing.T) {
	const placements = 3
	cases := map[string]struct {
		// open are the indices of the placements that the instance reports
		// every second; reports is the time after which it stops reporting.
		open    []int
		reports time.Duration
		want    int
	}{
		"all placements held":    {[]int{0, 1, 2}, 10 * time.Second, 3},
		"two answers lost":       {[]int{1}, 10 * time.Second, 1},
		"instance restarted":     {nil, 10 * time.Second, 0},
		"instance gone":          {[]int{0, 1, 2}, time.Second, 0},
		"instance never reports": {nil, 0, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestHolder(t)
				ctx := context.Background()
				s := NewServer([]ZoneHolder{{Zone: "z", Local: b.Holder, Lease: b.Lease}}, b.Fleet, nil, nil, nil, newTestQuarantine(), newTestLimits(advisory.New(), b.Fleet))
				tickets := make([]uint64, 0, placements)
				for range placements {
					reply, err := s.Place(ctx, &wire.PlaceRequest{Zone: "z", Instance: "i", Service: "s", Model: "m", Adapter: "a0"})
					if err != nil || reply.GetTicket() == 0 {
						t.Fatalf("not placed: %v, %v", reply, err)
					}
					tickets = append(tickets, reply.GetTicket())
				}
				for at := time.Duration(0); at < 10*time.Second; at += time.Second {
					if at < c.reports {
						r := &wire.SettleRequest{Zone: "z", Instance: "i", Reconcile: true}
						for _, n := range c.open {
							r.Open = append(r.Open, tickets[n])
						}
						if _, err := s.Settle(ctx, r); err != nil {
							t.Fatal(err)
						}
					}
					b.upkeep(ctx)
					time.Sleep(time.Second)
				}
				if open := b.planner.OpenPlacements(); open != c.want {
					t.Errorf("%d placements are open, want %d", open, c.want)
				}
			})
		})
	}
}

// TestPlacementOfCanceledRequestIsReleased checks that a placement is ended if
// the requesting instance no longer waits for the answer: nobody else would end
// it.
func TestPlacementOfCanceledRequestIsReleased(t *testing.T) {
	b := newTestHolder(t)
	s := NewServer([]ZoneHolder{{Zone: "z", Local: b.Holder, Lease: b.Lease}}, b.Fleet, nil, nil, nil, newTestQuarantine(), newTestLimits(advisory.New(), b.Fleet))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.Place(ctx, &wire.PlaceRequest{Zone: "z", Instance: "i", Service: "s", Model: "m", Adapter: "a0"}); err != nil {
		t.Fatal(err)
	}
	if open := b.planner.OpenPlacements(); open != 0 {
		t.Errorf("%d placements are open", open)
	}
}

// TestOpenPlacementsReport checks that the holder of a zone receives a report
// of the open placements every second, and for a while after the last one has
// ended.
func TestOpenPlacementsReport(t *testing.T) {
	chooser, _, _ := newTestChooser(t)
	now := chooser.open["b"].lastPlaced
	if open, due := chooser.openReport("b", now); !due || len(open) != 0 {
		t.Errorf("after the start: %v, %t", open, due)
	}
	chooser.addOpen("b", 7, now)
	if _, due := chooser.openReport("b", now.Add(reconcileInterval/2)); due {
		t.Error("report due twice within a second")
	}
	long := now.Add(2 * reconcileAfter)
	if open, due := chooser.openReport("b", long); !due || len(open) != 1 || open[0] != 7 {
		t.Errorf("while a placement is open: %v, %t", open, due)
	}
	chooser.removeOpen("b", 7)
	if _, due := chooser.openReport("b", long.Add(reconcileInterval)); due {
		t.Error("report due long after the last placement")
	}
}
