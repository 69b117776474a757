package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail/internal/peer/wire"
)

// TestLostPlacementsAreGivenBack: a placement whose answer was lost, or whose
// instance ended, takes no slot and keeps no adapter for the 30 s in which a
// placement expires.
func TestLostPlacementsAreGivenBack(t *testing.T) {
	const placements = 3
	cases := map[string]struct {
		// open are the placements that the instance reports each second, counted
		// from the first; reports ends after a time.
		open    []int
		reports time.Duration
		want    int
	}{
		"all are held":               {[]int{0, 1, 2}, 10 * time.Second, 3},
		"two answers were lost":      {[]int{1}, 10 * time.Second, 1},
		"the instance started again": {nil, 10 * time.Second, 0},
		"the instance is gone":       {[]int{0, 1, 2}, time.Second, 0},
		"the instance never reports": {nil, 0, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				ctx := context.Background()
				s := NewServer([]ZoneHolder{{Zone: "z", Local: b.Holder, Lease: b.Lease}}, b.Fleet, nil)
				tickets := make([]uint64, 0, placements)
				for range placements {
					reply, err := s.Place(ctx, &wire.PlaceRequest{Zone: "z", Instance: "i", Service: "s", Model: "m", Adapter: "a0"})
					if err != nil || reply.GetTicket() == 0 {
						t.Fatalf("no place: %v, %v", reply, err)
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
				if open := b.planner.Open(); open != c.want {
					t.Errorf("%d placements are open, want %d", open, c.want)
				}
			})
		})
	}
}

// TestAPlaceForACallerThatLeftIsGivenBack: nobody ends a placement that the
// asking instance no longer waits for.
func TestAPlaceForACallerThatLeftIsGivenBack(t *testing.T) {
	b := newBed(t)
	s := NewServer([]ZoneHolder{{Zone: "z", Local: b.Holder, Lease: b.Lease}}, b.Fleet, nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.Place(ctx, &wire.PlaceRequest{Zone: "z", Instance: "i", Service: "s", Model: "m", Adapter: "a0"}); err != nil {
		t.Fatal(err)
	}
	if open := b.planner.Open(); open != 0 {
		t.Errorf("%d placements are open", open)
	}
}

// TestOpenPlacementsAreReported: the holder of a zone learns each second what an
// instance holds, and for a while that it holds nothing.
func TestOpenPlacementsAreReported(t *testing.T) {
	chooser, _, _ := site(t)
	now := chooser.open["b"].used
	if open, due := chooser.reconciles("b", now); !due || len(open) != 0 {
		t.Errorf("after the start: %v, %t", open, due)
	}
	chooser.opened("b", 7, now)
	if _, due := chooser.reconciles("b", now.Add(reconcileInterval/2)); due {
		t.Error("reported twice within a second")
	}
	long := now.Add(2 * reconcileAfter)
	if open, due := chooser.reconciles("b", long); !due || len(open) != 1 || open[0] != 7 {
		t.Errorf("while a placement is open: %v, %t", open, due)
	}
	chooser.closed("b", 7)
	if _, due := chooser.reconciles("b", long.Add(reconcileInterval)); due {
		t.Error("reported long after the last placement")
	}
}
