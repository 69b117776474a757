package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// manyCallers are sixteen workspaces, a few of them large, with the same load as a part of
// their limits.
func manyCallers(load float64) []creditCaller {
	var list []creditCaller
	for n := range 16 {
		rate := 13_376.0
		switch {
		case n == 0:
			rate = 372_609
		case n < 4:
			rate = 90_000
		case n < 9:
			rate = 30_000
		}
		list = append(list, creditCaller{Workspace: tokensOf(fmt.Sprintf("w%d", n), rate), cost: 1500, load: load})
	}
	return list
}

// TestQuotaOfOneWorkspaceAtTenTimesItsLimit guards against a workspace over its limit that
// takes credit or time from others, or gets more than its limit.
func TestQuotaOfOneWorkspaceAtTenTimesItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, d = 89, 20 * time.Second
		callers := manyCallers(0.6)
		callers[3].load = 10
		s := newCreditSim(t, instances, callers, 1)
		s.serve(callers, d, nil)
		for _, w := range callers {
			part, ideal := s.served(w.Name, 0, d)
			worst := s.worst(w.Workspace, 0)
			t.Logf("%s rate %.0f load %.1f: served %.3f, ideal %.3f, worst window %.3f, late %d", w.Name, w.Quota.Rate, w.load, part, ideal, worst, s.spent[w.Name].refusedLate)
			if part < 0.95*ideal || worst > 1 || s.spent[w.Name].refusedLate > 0 {
				t.Errorf("%s: served %.3f of the load, an ideal bucket %.3f; worst window %.3f", w.Name, part, ideal, worst)
			}
		}
		t.Logf("messages per second %.0f, bytes per second %.0f", float64(s.messages.Load())/d.Seconds(), float64(s.bytes.Load())/d.Seconds())
	})
}

// TestQuotaFollowsDemand guards against credit that stays in zones and instances without
// demand.
func TestQuotaFollowsDemand(t *testing.T) {
	const instances, d, moves = 89, 24 * time.Second, 8 * time.Second
	toZone := func(at time.Duration, random *rand.Rand) int {
		if at < moves {
			return random.IntN(instances)
		}
		return random.IntN(instances/3) * 3
	}
	toInstance := func(at time.Duration, random *rand.Rand) int {
		if at < moves {
			return random.IntN(instances)
		}
		return 7
	}
	for name, c := range map[string]struct {
		instance func(time.Duration, *rand.Rand) int
		load     float64
	}{
		"to one zone":                  {toZone, 0.9},
		"to one instance":              {toInstance, 0.9},
		"to one instance, three times": {toInstance, 3},
		"everywhere":                   {nil, 0.9},
		"everywhere, twice":            {nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				callers := manyCallers(c.load)
				for n := range callers {
					callers[n].instance = c.instance
				}
				s := newCreditSim(t, instances, callers, 1)
				s.serve(callers, d, nil)
				for _, w := range callers {
					before, idealBefore := s.served(w.Name, 0, moves)
					after, idealAfter := s.served(w.Name, moves, d)
					worst := s.worst(w.Workspace, 0)
					t.Logf("%s rate %.0f: before %.3f of ideal, after %.3f, worst window %.3f", w.Name, w.Quota.Rate, before/idealBefore, after/idealAfter, worst)
					if before < 0.95*idealBefore || after < 0.95*idealAfter || worst > 1 {
						t.Errorf("%s: served %.3f and %.3f of what an ideal bucket serves; worst window %.3f", w.Name, before/idealBefore, after/idealAfter, worst)
					}
				}
				t.Logf("messages per second %.0f, bytes per second %.0f", float64(s.messages.Load())/d.Seconds(), float64(s.bytes.Load())/d.Seconds())
			})
		})
	}
}
