package adapters

import (
	"testing"
	"time"
)

func TestObstacles(t *testing.T) {
	cases := map[string]struct {
		prepare func(p *Planner)
		want    Obstacles
	}{
		"fetches are active": {
			func(p *Planner) {
				for n := range testTuning().FetchLimit {
					placeLoading(t, p, testRequest(n))
				}
			},
			Obstacles{Engines: 2, ActiveFetches: 3, FetchLimit: 3},
		},
		"all adapters are in use": {
			func(p *Planner) {
				for n := range 2 * testSlots {
					placeAndLoad(t, p, testRequest(n), start.Add(time.Duration(n-2*testSlots)*time.Second))
				}
			},
			Obstacles{Engines: 2, NoFreeSlot: 2, FetchLimit: 3},
		},
		"an engine is unsynced": {
			func(p *Planner) { p.Desync(engineID(0), start) },
			Obstacles{Engines: 2, Unsynced: 1, FetchLimit: 3},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(2, testSlots)
			c.prepare(p)
			if got := p.Obstacles(testRequest(99), start); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// testSlots is the number of adapter slots of the engines in TestObstacles.
const testSlots = 4
