package placer

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/advisory"
)

// TestExplanationOfPlainCall guards against targets whose slots are shared without the
// explanation saying so, and against explanations that end the pressure on a service.
func TestExplanationOfPlainCall(t *testing.T) {
	cases := map[string]struct {
		share    bool
		pressed  time.Duration
		limited  bool
		shared   bool
		pressure bool
	}{
		"no pressure":          {share: true},
		"pressure":             {share: true, pressed: time.Minute, shared: true, pressure: true},
		"pressure is over":     {share: true, pressed: -time.Second, pressure: true},
		"targets not shared":   {pressed: time.Minute, pressure: true},
		"target names a limit": {share: true, pressed: time.Minute, limited: true, pressure: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chooser, _, a := newTestChooser(t)
			chooser.ShareTargets = func() bool { return c.share }
			id := bamboorail.TargetID{Name: "p"}
			chooser.Fleet.Update(bamboorail.TargetEntry{ID: id, Service: "plain", Zone: "a", Slots: 6})
			if c.limited {
				chooser.Advisories.MergeLimits([]advisory.Limit{{Kind: advisory.Requests, Target: id, Service: "plain", Rate: 5, Named: true, At: time.Now()}}, time.Now())
			}
			if c.pressed != 0 {
				chooser.pressed["plain"] = time.Now().Add(c.pressed)
			}
			a.Service, a.Call.Key = bamboorail.ServiceSpec{Name: "plain"}, bamboorail.AdapterKey{}
			x := chooser.ExplainPlain(a)
			if x.Err != nil || len(x.Targets) != 1 || x.Targets[0].Shared != c.shared {
				t.Errorf("explained %+v", x)
			}
			if _, known := chooser.pressed["plain"]; known != c.pressure {
				t.Errorf("pressure on the service is known: %t", known)
			}
		})
	}
}

// TestExplanationNamesHolders guards against instances that name no holder to ask, or the zones in
// another order than that in which they are asked.
func TestExplanationNamesHolders(t *testing.T) {
	chooser, _, a := newTestChooser(t)
	x := chooser.ExplainEngine(a)
	if x.IsHolder || x.Zone != "a" || x.Holder != "x" || x.Address != "a" || x.Home != "b" {
		t.Errorf("explained %+v", x)
	}
	queries := chooser.holderQueries(a.Call.Key)[1:]
	if len(x.Next) != len(queries) {
		t.Fatalf("next are %+v", x.Next)
	}
	for n, q := range queries {
		if x.Next[n].Zone != q.zone.Zone || x.Next[n].Address != q.zone.Zone {
			t.Errorf("next are %+v", x.Next)
		}
	}
}

// TestExplanationFollowsLease guards against explained loads that the holder may not order, and
// against plans of instances that hold no lease.
func TestExplanationFollowsLease(t *testing.T) {
	b := newTestHolder(t)
	if err := b.placeAndEnd(1); err != nil {
		t.Fatal(err)
	}
	request := func(adapter string) adapters.Request {
		return adapters.Request{Key: bamboorail.AdapterKey{Model: "m", Adapter: adapter}, Service: "s", CallID: adapter}
	}
	explain := func(stage, adapter string, holder bool, candidates int) {
		t.Helper()
		if x, ok := b.Explain(request(adapter)); ok != holder || len(x.Candidates) != candidates || holder && candidates == 0 && x.RetryAfter <= 0 {
			t.Errorf("%s, adapter %s: %t, %+v", stage, adapter, ok, x)
		}
	}
	explain("holder", "a1", true, 1)
	explain("holder", "a2", true, 1)
	b.mu.Lock()
	b.now += time.Minute
	b.mu.Unlock()
	explain("lapsed", "a1", true, 1)
	explain("lapsed", "a2", true, 0)
	if err := b.Lease.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	explain("released", "a1", false, 0)
}
