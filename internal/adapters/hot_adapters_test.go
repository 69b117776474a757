package adapters

import (
	"fmt"
	"testing"
	"time"
)

// archiveTuning is the tuning of the gateway with the fetch time of that day.
func archiveTuning() Tuning {
	t := testTuning()
	t.FetchTime, t.FetchLimit, t.MinIdleTime = archiveLoad, 15, 50*time.Millisecond
	return t
}

// smallInstanceDecision is the time of a placement decision on the users' small
// instances: 46 us, as measured by the users on the version that they reported,
// on 0.192 of a core.
const smallInstanceDecision = 240 * time.Microsecond

// TestHotAdaptersAreReplicated simulates the calls of the grown archive's day
// scale-2, which occupy half of the slots of all engines. Each class must reach
// the users' target score for a day, and no caller may leave while its call is
// queued at an engine.
func TestHotAdaptersAreReplicated(t *testing.T) {
	const target = 0.72 // mean score of a day (docs/DEVELOPERS.md)
	for name, decision := range map[string]time.Duration{"large instances": 0, "small instances": smallInstanceDecision} {
		for _, seed := range []uint64{1, 2} {
			t.Run(fmt.Sprintf("%s %d", name, seed), func(t *testing.T) {
				l := newSimulation(t, archiveTuning())
				l.decision = decision
				l.run(archiveClasses(), seed, 2*time.Second, 7*time.Second)
				for name, o := range l.results {
					t.Logf("%s: %+v, score %.2f", name, *o, o.score())
					if o.abandonedInQueue > 0 {
						t.Errorf("%d callers of %s left while their call was queued for a slot", o.abandonedInQueue, name)
					}
					if o.score() < target {
						t.Errorf("%s has a score of %.2f, want at least %.2f", name, o.score(), target)
					}
				}
			})
		}
	}
}
