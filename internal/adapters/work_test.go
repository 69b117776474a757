package adapters

import (
	"testing"
	"time"
)

// portalFleet returns a zone of engines of three speeds, whose gaps are late if they read more
// than some thousand prompt tokens in a row.
func portalFleet() *batchFleet {
	return &batchFleet{
		engines: 30, slots: 16, chunk: 2048, memory: 72041, adapterSlots: 10, adapters: 10000, speeds: []float64{0.6, 1, 1.6},
		step: 10100 * time.Microsecond, read: 20.4, rate: 110, slowEvery: 10 * time.Second, gap: 300 * time.Millisecond, objective: 800 * time.Millisecond,
		fetches: 3,
	}
}

// evenFleet returns engines of the same speed that have time enough, with a share of the calls
// for one adapter.
func evenFleet(hot float64) *batchFleet {
	return &batchFleet{
		engines: 60, slots: 64, chunk: 1024, memory: 119491, adapterSlots: 14, adapters: 10000, speeds: []float64{1},
		step: 8870 * time.Microsecond, read: 19.1, rate: 332, hot: hot, gap: 300 * time.Millisecond, objective: 800 * time.Millisecond, fetches: 8,
	}
}

// TestWorkBasedPlacementKeepsStreamsOnTime guards against placements that ignore what an engine
// can do in time. On engines of three speeds, at most half as many streams as by the number of
// calls may be late because of a gap, also when a fifth of the calls suddenly is for one adapter.
// Nowhere may notably more calls be refused, or first events be late.
func TestWorkBasedPlacementKeepsStreamsOnTime(t *testing.T) {
	// The seeds make a difference of about 1 in 1,000 calls.
	const maxMoreLate, maxMoreRefused = 0.002, 0.001
	shift := portalFleet()
	shift.hot, shift.hotFrom = 0.2, batchWarmUp
	cases := map[string]struct {
		fleet *batchFleet
		seeds uint64
	}{
		"engines of three speeds":                {portalFleet(), 4},
		"engines of three speeds, demand shifts": {shift, 4},
		"even engines":                           {evenFleet(0), 1},
		"even engines, one busy adapter":         {evenFleet(0.2), 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var byCalls, byWork batchResult
			for seed := range c.seeds {
				byCalls.add(c.fleet.run(seed+1, false))
				byWork.add(c.fleet.run(seed+1, true))
			}
			t.Logf("by the number of calls: %v", byCalls)
			t.Logf("by work:                %v", byWork)
			if byWork.lateGap > byCalls.lateGap/2 {
				t.Errorf("%d streams late because of a gap, by the number of calls %d", byWork.lateGap, byCalls.lateGap)
			}
			if limit := byCalls.lateFirst + int(maxMoreLate*float64(byCalls.all)); byWork.lateFirst > limit {
				t.Errorf("%d first events late, expected at most %d", byWork.lateFirst, limit)
			}
			if limit := byCalls.refused + int(maxMoreRefused*float64(byCalls.all)); byWork.refused > limit {
				t.Errorf("%d calls refused, expected at most %d", byWork.refused, limit)
			}
		})
	}
}

// TestBacklogMovesCallsButRefusesNone guards against prompts that are sent where the running
// streams become late while another engine is free, and against a call that is refused for that.
func TestBacklogMovesCallsButRefusesNone(t *testing.T) {
	cases := map[string]struct {
		prompt  int
		engines int
		moved   bool
	}{
		"small prompts":               {100, 2, false},
		"large prompts":               {6000, 2, true},
		"large prompts, one engine":   {6000, 1, false},
		"larger than the gap permits": {20000, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(c.engines, 8)
			first := placeAndLoad(t, p, measuredRequest(1, 100), start)
			now, moved := start.Add(time.Second), false
			for n := range 8 {
				r := measuredRequest(1, c.prompt)
				got, ok := p.Place(r, now)
				if !ok {
					t.Fatalf("call %d is refused", n)
				}
				moved = moved || got.Target.ID != first.Target.ID
			}
			if moved != c.moved {
				t.Errorf("moved to another engine: %t, expected %t", moved, c.moved)
			}
		})
	}
}
