package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

type fakeRates struct{ rate float64 }

func (r *fakeRates) HasLimits() bool                           { return r.rate > 0 }
func (r *fakeRates) Limit(bamboorail.TargetID) (float64, bool) { return r.rate, r.rate > 0 }

// most returns the largest number of times within Span.
func most(times []time.Duration) int {
	n := 0
	for i, end := range times {
		count := 0
		for _, at := range times[:i+1] {
			if end-at < Span {
				count++
			}
		}
		n = max(n, count)
	}
	return n
}

// TestGrantsKeepLimitAndUseIt checks that requests that are granted, also by two
// holders in turn and beside earlier ones that were not asked for, stay below one and
// a half times the limit and five, and that demand beyond the limit uses it.
func TestGrantsKeepLimitAndUseIt(t *testing.T) {
	const (
		duration = 40 * time.Second
		takeover = 17 * time.Second
		minShare = 0.85
	)
	cases := map[string]struct {
		rate float64
		// before are requests a second before the limit was named, counted or told by
		// the instances; demand are the questions a second.
		before, told int
		demand       float64
	}{
		"one a second":              {1, 0, 0, 20},
		"three a second":            {3, 0, 0, 20},
		"thirty a second":           {30, 0, 0, 200},
		"three hundred a second":    {300, 0, 0, 1000},
		"fast before, by holder":    {1.5, 12, 0, 20},
		"fast before, by instances": {1.5, 0, 12, 20},
		"less than a tenth":         {0.01, 0, 0, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rates, random := &fakeRates{}, rand.New(rand.NewPCG(1, 2))
			start, id := time.Now(), bamboorail.TargetID{Name: "e"}
			table, instances := NewTable(rates), []*Window{{}, {}}
			var sent []time.Duration
			for n := range c.before + c.told {
				at := time.Duration(n) * time.Second / time.Duration(c.before+c.told)
				sent = append(sent, at)
				if n < c.before {
					table.Record(id, start.Add(at))
				} else {
					instances[n%2].Add(1, start.Add(at))
				}
			}
			rates.rate = c.rate
			after, takenOver := 0, false
			for at := time.Second; at < duration; at += time.Duration(random.ExpFloat64() / c.demand * float64(time.Second)) {
				now := start.Add(at)
				if at > takeover && !takenOver {
					table, takenOver = NewTable(rates), true
				}
				for n, w := range instances {
					table.RecordUngranted(id, fmt.Sprint(n), w.Counts(now), now)
				}
				if g := table.Acquire(id, now); g.Granted {
					sent = append(sent, at)
					after++
				} else if g.Again <= 0 || g.RetryAfter < g.Again {
					t.Fatalf("denied with %s and %s", g.Again, g.RetryAfter)
				}
			}
			if got, want := most(sent), int(1.5*c.rate*Span.Seconds()+5); got > want {
				t.Errorf("%d requests in %s, want at most %d", got, Span, want)
			}
			if want := int(minShare * min(c.rate, c.demand) * (duration - Span).Seconds()); after < want {
				t.Errorf("%d requests in %s, want %d at least", after, duration, want)
			}
		})
	}
}

func TestWindowCountsByAge(t *testing.T) {
	cases := map[string]struct {
		added []time.Duration // ages
		count int
		ages  string
	}{
		"none":              {nil, 0, "[]"},
		"now":               {[]time.Duration{0, 0}, 2, "[2]"},
		"older":             {[]time.Duration{600 * time.Millisecond, 0}, 2, "[1 0 1]"},
		"at the end":        {[]time.Duration{Span, 0}, 2, "[1 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 1]"},
		"too old":           {[]time.Duration{Span + bucketSpan}, 0, "[]"},
		"after a long time": {[]time.Duration{time.Hour, 0}, 1, "[1]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, now := &Window{}, time.Now()
			for _, age := range c.added {
				w.Add(1, now.Add(-age))
			}
			counts := w.Counts(now)
			if got := w.Count(now); got != c.count || fmt.Sprint(counts) != c.ages {
				t.Errorf("%d requests, by age %v", got, counts)
			}
			if got := windowOf(counts, now).Count(now); got != c.count {
				t.Errorf("%d requests in the copy", got)
			}
		})
	}
}

// TestOrdersCountAgainstLimit checks that requests that are not asked for delay those
// that are.
func TestOrdersCountAgainstLimit(t *testing.T) {
	table, id, now := NewTable(&fakeRates{2}), bamboorail.TargetID{Name: "e"}, time.Now()
	for range 3 {
		table.Record(id, now)
	}
	if wait := table.Wait(id, now); wait != 2*time.Second {
		t.Errorf("wait of %s after three requests, want 2s", wait)
	}
	table.Reset()
	if wait := table.Wait(id, now.Add(time.Second)); wait != 500*time.Millisecond {
		t.Errorf("wait of %s at a new holder, want 500ms", wait)
	}
}

// BenchmarkAcquire measures a decision about a target that 195 instances sent requests
// to without a grant.
func BenchmarkAcquire(b *testing.B) {
	table, id, now := NewTable(&fakeRates{30}), bamboorail.TargetID{Name: "e"}, time.Now()
	for n := range 195 {
		table.RecordUngranted(id, fmt.Sprint(n), []int32{1, 0, 1}, now)
	}
	for b.Loop() {
		_ = table.Acquire(id, now)
	}
}
