package placer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/relay"
)

// TestSilenceCountsOnceForAllCalls guards against an engine that is avoided longer the more calls one stall left unanswered.
func TestSilenceCountsOnceForAllCalls(t *testing.T) {
	cases := map[string]struct {
		// results are those of the calls, between the failures of which gap passes.
		results []balance.Result
		gap     time.Duration
		avoided bool
	}{
		"one call":           {results: []balance.Result{balance.Unreachable}, avoided: false},
		"three calls":        {results: []balance.Result{balance.Unreachable, balance.Unreachable, balance.Dropped}, avoided: false},
		"fails again later":  {results: []balance.Result{balance.Unreachable, balance.Unreachable}, gap: minSuspectPeriod + time.Millisecond, avoided: true},
		"answered meanwhile": {results: []balance.Result{balance.Unreachable, balance.Answered}, avoided: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chooser := NewChooser(ChooserConfig{Advisories: advisory.New()})
				for n, r := range c.results {
					if n > 0 {
						time.Sleep(c.gap)
					}
					chooser.recordResult("e", r)
				}
				time.Sleep(minSuspectPeriod)
				if avoided := slices.Contains(chooser.enginesToAvoid(relay.ChooseRequest{}), "e"); avoided != c.avoided {
					t.Errorf("avoided after %s: %t, expected %t", minSuspectPeriod, avoided, c.avoided)
				}
			})
		})
	}
}
