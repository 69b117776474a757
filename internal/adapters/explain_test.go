package adapters

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// explainedCalls is the number of calls of a sequence in the tests of explanations.
const explainedCalls = 400

// mixedCall returns a call of a random kind: with and without work, with several load policies.
func mixedCall(random *rand.Rand, n int) Request {
	r := testRequest(random.IntN(14))
	if random.IntN(2) == 0 {
		r = measuredRequest(random.IntN(14), 200+random.IntN(4000))
		r.Prompt = []bamboorail.PromptPart{{ID: fmt.Sprintf("p%d", random.IntN(3)), Tokens: 150}, {ID: fmt.Sprintf("own%d", n), Tokens: 50}}
	}
	r.CallID, r.Loads = fmt.Sprintf("c%d", n), LoadPolicy(random.IntN(3))
	if random.IntN(8) == 0 {
		r.Version = 1 + random.IntN(2)
		r.Releases = bamboorail.ReleaseHistory{{Version: r.Version, LearnedAt: start}}
	}
	return r
}

// runExplained places a random sequence of calls, with an explanation of each before if explain
// is set, and returns what was decided.
func runExplained(seed uint64, explain func(p *Planner, r Request, now time.Time) func(Placement, bool)) []string {
	p, random, now := newTestPlanner(4, 4), rand.New(rand.NewPCG(seed, 1)), start
	var decisions []string
	var open []uint64
	for n := range explainedCalls {
		now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
		r := mixedCall(random, n)
		check := explain(p, r, now)
		got, ok := p.Place(r, now)
		check(got, ok)
		decisions = append(decisions, fmt.Sprintf("%t %+v", ok, got))
		if ok {
			acceptOrders(p, append(got.Orders, got.Background...), now)
			open = append(open, got.Ticket)
		}
		if len(open) > 40 {
			at := random.IntN(len(open))
			p.RecordTiming(open[at], Timing{FirstEvent: time.Duration(20+random.IntN(200)) * time.Millisecond, Event: 40 * time.Millisecond, LongestGap: time.Duration(random.IntN(500)) * time.Millisecond}, now)
			if ended, known := p.End(open[at]); known {
				p.RecordLoaded(ended.Target, ended.Key, now)
			}
			open = append(open[:at], open[at+1:]...)
		}
		if n%20 == 0 {
			p.Expire(now.Add(-time.Minute), now)
		}
	}
	return decisions
}

// TestExplainedEngineIsPlacedNext guards against explanations that name another engine than the
// one that the next call gets.
func TestExplainedEngineIsPlacedNext(t *testing.T) {
	placed, refused, old := 0, 0, 0
	for seed := range uint64(8) {
		runExplained(seed, func(p *Planner, r Request, now time.Time) func(Placement, bool) {
			x := p.Explain(r, now)
			return func(got Placement, ok bool) {
				switch {
				case ok != (len(x.Candidates) > 0):
					t.Fatalf("seed %d: placed %t, explained %+v", seed, ok, x)
				case !ok:
					refused++
					return
				}
				first := x.Candidates[0]
				if placed++; first.OldVersion {
					old++
				}
				if first.Target.ID != got.Target.ID || first.KeptTokens != got.KeptTokens || (len(got.Orders) > 0) != first.Loads {
					t.Fatalf("seed %d: placed at %s with %d kept tokens and %d orders, explained %+v",
						seed, got.Target.ID.Name, got.KeptTokens, len(got.Orders), first)
				}
				for n, c := range x.Candidates {
					if n > 0 && !x.Candidates[0].OldVersion && c.Cost.Total() < x.Candidates[n-1].Cost.Total() {
						t.Errorf("seed %d: candidates are not in the order of their costs: %+v", seed, x.Candidates)
					}
				}
			}
		})
	}
	t.Logf("%d placed, %d on an old version, %d refused", placed, old, refused)
	if placed == 0 || refused == 0 || old == 0 {
		t.Errorf("%d placed, %d on an old version, %d refused: one of them was not tested", placed, old, refused)
	}
}

// TestExplanationChangesNoDecision guards against explanations that record demand, start loads,
// or update paces or the wait queue.
func TestExplanationChangesNoDecision(t *testing.T) {
	none := func(*Planner, Request, time.Time) func(Placement, bool) { return func(Placement, bool) {} }
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 2))
		explained := runExplained(seed, func(p *Planner, r Request, now time.Time) func(Placement, bool) {
			other := mixedCall(random, 1000)
			for range 3 {
				first, again := p.Explain(other, now), p.Explain(other, now)
				if !reflect.DeepEqual(first, again) {
					t.Fatalf("seed %d: explained %+v, then %+v", seed, first, again)
				}
				p.Explain(r, now)
			}
			return none(p, r, now)
		})
		plain := runExplained(seed, none)
		for n := range plain {
			if explained[n] != plain[n] {
				t.Fatalf("seed %d, call %d: %s, without explanations %s", seed, n, explained[n], plain[n])
			}
		}
	}
}

// TestExplanationOfRefusedCall guards against refusals without a reason.
func TestExplanationOfRefusedCall(t *testing.T) {
	p := newTestPlanner(2, testSlots)
	for n := range testTuning().FetchLimit {
		placeLoading(t, p, testRequest(n))
	}
	x := p.Explain(testRequest(99), start)
	if len(x.Candidates) > 0 || x.Obstacles.Engines != 2 || x.Obstacles.ActiveFetches != 3 || !x.MayWait || x.RetryAfter <= 0 {
		t.Errorf("explained %+v", x)
	}
}

// TestCostPartsOfBusyEngine guards against work that is missing in the parts of a cost.
func TestCostPartsOfBusyEngine(t *testing.T) {
	p := newTestPlanner(2, 8)
	first := placeAndLoad(t, p, measuredRequest(1, 6000), start)
	// The adapter is loaded and its first prompt being read.
	x := p.Explain(measuredRequest(1, 6000), start.Add(testTuning().FetchTime+10*time.Millisecond))
	if len(x.Candidates) != 2 || x.Eligible != 2 {
		t.Fatalf("explained %+v", x)
	}
	for _, c := range x.Candidates {
		busy := c.Target.ID == first.Target.ID
		if busy != (c.Cost.Backlog > 0) || busy == c.Loads || busy == (c.Cost.Load > 0) || c.Cost.Reading <= 0 || c.Cost.FirstEvent <= 0 || c.Cost.Risk < 0 {
			t.Errorf("engine %s, busy %t: %+v", c.Target.ID.Name, busy, c)
		}
	}
}
