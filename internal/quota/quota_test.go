package quota

import (
	"math"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

var testStart = time.Unix(1000, 0)

// testQuota is a limit of 3,000 units a second: 1,000 for each of three zones.
var testQuota = bamboorail.Quota{Unit: bamboorail.QuotaTokens, Rate: 3000, Burst: 3000}

func newTestBuckets(q *bamboorail.Quota) *Buckets {
	return NewBuckets(3, func(name string) (bamboorail.Quota, bool) { return *q, name == "w" }, testStart)
}

// TestGrant guards against grants beyond the bucket, and against needs that are denied without
// a reason or without a retry time.
func TestGrant(t *testing.T) {
	unlimited := bamboorail.Quota{Rate: 0}
	for name, c := range map[string]struct {
		quota           bamboorail.Quota
		workspace       string
		age             time.Duration
		amount, minimum float64
		granted         float64
		retry           bool
	}{
		"new tenure":           {testQuota, "w", 0, 100, 100, 0, true},
		"refill":               {testQuota, "w", 500 * time.Millisecond, 400, 400, 400, false},
		"part of the need":     {testQuota, "w", 100 * time.Millisecond, 400, 50, 100.8, true},
		"less than a call":     {testQuota, "w", 100 * time.Millisecond, 400, 300, 0, true},
		"full":                 {testQuota, "w", time.Hour, 2000, 500, 2000, false},
		"call above the share": {testQuota, "w", time.Hour, 3300, 3300, 3300, false},
		"call above all":       {testQuota, "w", time.Hour, 6000, 6000, 0, true},
		"no burst":             {bamboorail.Quota{Rate: 3000}, "w", time.Hour, 500, 500, 500, false},
		"no limit":             {unlimited, "w", 0, 1e9, 1e9, 1e9, false},
		"unknown workspace":    {testQuota, "x", time.Hour, 10, 10, 0, false},
		"not a number":         {testQuota, "w", time.Hour, math.NaN(), math.Inf(1), 0, false},
		"negative":             {testQuota, "w", time.Hour, -5, -5, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBuckets(&c.quota)
			g := b.Grant(Need{Workspace: c.workspace, Instance: "i", Amount: c.amount, Minimum: c.minimum}, testStart.Add(c.age))
			if math.Abs(g.Amount-c.granted) > 6 || (g.Retry > 0) != c.retry {
				t.Errorf("granted %.1f, retry after %v", g.Amount, g.Retry)
			}
		})
	}
}

// TestLowerLimitClipsBucket guards against credit of a higher limit that is spent after the
// limit was lowered.
func TestLowerLimitClipsBucket(t *testing.T) {
	q := testQuota
	b, now := newTestBuckets(&q), testStart.Add(time.Hour)
	b.Grant(Need{Workspace: "w", Instance: "i", Amount: 1, Minimum: 1}, now)
	q.Rate, q.Burst = 300, 300
	if g := b.Grant(Need{Workspace: "w", Instance: "i", Amount: 1000}, now); g.Amount > 103 {
		t.Errorf("granted %.0f after the limit was lowered", g.Amount)
	}
}

// TestGiveKeepsOwnDemand guards against transfers that harm the zone that gives, and against
// credit that stays in a zone without demand.
func TestGiveKeepsOwnDemand(t *testing.T) {
	for name, c := range map[string]struct {
		// used is requested in each tenth of a second for a second.
		used     float64
		idle     time.Duration
		min, max float64
	}{
		"no demand":                {0, 0, 990, 1010},
		"half of its share":        {50, 0, 700, 950},
		"all of its share":         {100, 0, 0, 800},
		"twice its share":          {200, 0, 0, 0},
		"demand left a second ago": {100, time.Second, 800, 1010},
	} {
		t.Run(name, func(t *testing.T) {
			b, now := newTestBuckets(&testQuota), testStart.Add(time.Hour)
			for range 10 {
				now = now.Add(100 * time.Millisecond)
				if c.used > 0 {
					b.Grant(Need{Workspace: "w", Instance: "i", Amount: c.used, Minimum: 1}, now)
				}
			}
			if given := b.Give("w", 1e6, now.Add(c.idle)); given < c.min || given > c.max {
				t.Errorf("gave %.0f", given)
			}
		})
	}
}

// TestCallAboveBucketIsServedByTransfer guards against calls that no zone can serve by itself.
func TestCallAboveBucketIsServedByTransfer(t *testing.T) {
	q, now := bamboorail.Quota{Unit: bamboorail.QuotaTokens, Rate: 13_376, Burst: 13_376}, testStart.Add(time.Hour)
	a, b, c := newTestBuckets(&q), newTestBuckets(&q), newTestBuckets(&q)
	need := Need{Workspace: "w", Instance: "i", Amount: 9000, Minimum: 9000}
	if g := a.Grant(need, now); g.Amount != 0 || !g.Short {
		t.Fatalf("granted %.0f without a transfer, short: %v", g.Amount, g.Short)
	}
	for _, w := range a.Wanted(now) {
		for _, other := range []*Buckets{b, c} {
			a.Receive("w", other.Give("w", w.Amount/2, now), now.Add(CreditExpiry), now)
		}
	}
	if g := a.Grant(need, now.Add(10*time.Millisecond)); g.Amount != 9000 {
		t.Errorf("granted %.0f after a transfer", g.Amount)
	}
}

// TestDryZonesAreNotAskedAgain guards against a flood of requests between zones that are all at
// the limit.
func TestDryZonesAreNotAskedAgain(t *testing.T) {
	b, now, asked := newTestBuckets(&testQuota), testStart, 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		b.Grant(Need{Workspace: "w", Instance: "i", Amount: 5000, Minimum: 1}, now)
		if len(b.Wanted(now)) > 0 {
			asked++
			b.Answered("w", 0, now)
		}
	}
	if asked == 0 || asked > 6 {
		t.Errorf("%d requests in a second", asked)
	}
}

// TestWallet guards against credit that is spent twice, outlives its expiry or is lost.
func TestWallet(t *testing.T) {
	at := testStart.Add
	for name, c := range map[string]struct {
		refund bool
		at     time.Duration
		cost   float64
		ok     bool
	}{
		"the rest":                    {false, 0, 40, true},
		"more than the rest":          {false, 0, 41, false},
		"refunded":                    {true, 0, 100, true},
		"refunded once":               {true, 0, 101, false},
		"refund keeps the old expiry": {true, CreditExpiry, 1, false},
		"expired":                     {false, CreditExpiry, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := NewWallet()
			w.Add("w", 50, at(CreditExpiry), testStart)
			w.Add("w", 50, at(CreditExpiry-time.Millisecond), testStart)
			s, ok := w.Spend("w", 60, testStart)
			if !ok {
				t.Fatal("not spent")
			}
			if c.refund {
				w.Refund(s)
			}
			if _, ok := w.Spend("w", c.cost, at(c.at)); ok != c.ok {
				t.Errorf("spent: %v", ok)
			}
		})
	}
}

// TestRoundingDoesNotDenyCall guards against a call that asks for its credit again without end
// because the parts that it got add up to a little less than its cost.
func TestRoundingDoesNotDenyCall(t *testing.T) {
	w := NewWallet()
	for range 10 {
		w.Add("w", 0.1, testStart.Add(CreditExpiry), testStart)
	}
	if _, ok := w.Spend("w", 1, testStart); !ok {
		t.Error("not spent")
	}
}

// TestAskPrefetchesForSteadyDemand guards against a request for each call of a busy workspace,
// and against credit that expires between the calls of another one.
func TestAskPrefetchesForSteadyDemand(t *testing.T) {
	for name, c := range map[string]struct {
		interval time.Duration
		min, max float64
	}{
		"busy":       {2 * time.Millisecond, 4000, 6500},
		"occasional": {200 * time.Millisecond, 100, 100},
	} {
		t.Run(name, func(t *testing.T) {
			w, now := NewWallet(), testStart
			for range 1000 {
				now = now.Add(c.interval)
				w.Record("w", 100, now)
			}
			if n := w.Ask("w", 100, 100, now); n.Amount < c.min || n.Amount > c.max || n.Minimum != 100 {
				t.Errorf("asks for %.0f, at least %.0f", n.Amount, n.Minimum)
			}
		})
	}
}

// TestDeniedCost guards against requests for calls that were denied just before, and against
// smaller calls that are refused although they fit.
func TestDeniedCost(t *testing.T) {
	w := NewWallet()
	w.Deny("w", 100, time.Second, testStart)
	for name, c := range map[string]struct {
		cost   float64
		at     time.Duration
		denied bool
	}{
		"the same":  {100, 0, true},
		"larger":    {150, 0, true},
		"smaller":   {99, 0, false},
		"retry due": {150, time.Second, false},
	} {
		if denied := w.Denied("w", c.cost, testStart.Add(c.at)) > 0; denied != c.denied {
			t.Errorf("%s: denied: %v", name, denied)
		}
	}
}

// TestSpread guards against callers that all return at the same time.
func TestSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for range 100 {
		d := Spread(time.Second)
		if d < time.Second || d > 1500*time.Millisecond {
			t.Fatalf("retry after %v", d)
		}
		seen[d] = true
	}
	if len(seen) < 50 {
		t.Errorf("%d different times of 100", len(seen))
	}
}
