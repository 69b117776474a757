package adapters

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestCallsAreServedAtTheirSoftwareVersion checks that a call that needs a software
// version gets an engine of it, also if it has to wait, and that others use all.
func TestCallsAreServedAtTheirSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		software string
		adapter  int
		placed   bool
	}{
		"first version":             {"v1", 1, true},
		"second version":            {"v2", 1, true},
		"any version":               {"", 1, true},
		"version without an engine": {"v3", 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(4, 8)
			var entries []bamboorail.TargetEntry
			for n := range 4 {
				entries = append(entries, bamboorail.TargetEntry{
					ID: engineID(n), Service: "s", Address: "a", Zone: "z", Slots: 64, Software: []string{"v1", "v2"}[n/2],
				})
			}
			p.SetEngines(entries, func(string) int { return 8 }, start)
			r := testRequest(c.adapter)
			// The adapter is loaded at one version before the other one needs it.
			placeAndLoad(t, p, r, start)
			r.Software = c.software
			now := start.Add(time.Second)
			for n := range 80 {
				got, ok := p.Place(r, now)
				if ok != c.placed {
					t.Fatalf("call %d placed: %t", n, ok)
				}
				if ok && c.software != "" && got.Target.Software != c.software {
					t.Fatalf("call %d placed at %s", n, got.Target.Software)
				}
				acceptOrders(p, got.Orders, now)
			}
		})
	}
}

// TestBrittleEnginesAreNotOverfilled checks that a brittle engine gets no more calls than
// it has slots, and that the calls beyond wait for one.
func TestBrittleEnginesAreNotOverfilled(t *testing.T) {
	for name, brittle := range map[string]bool{"brittle": true, "sound": false} {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 8)
			p.SetBrittle(func(bamboorail.TargetID) bool { return brittle })
			now := start
			placeAndLoad(t, p, testRequest(1), now)
			placed := 1
			for range 80 {
				now = now.Add(time.Millisecond)
				if _, ok := p.Place(testRequest(1), now); ok {
					placed++
				}
			}
			if slots := 64; brittle && placed != slots || !brittle && placed <= slots {
				t.Errorf("%d calls placed at %d slots", placed, slots)
			}
			if _, ok := p.End(1); !ok {
				t.Fatal("no first placement")
			}
			if _, ok := p.Place(testRequest(1), now); !ok {
				t.Error("not placed after a call has ended")
			}
		})
	}
}
