package placer

import (
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// faultBegin and faultEnd bound the faults of the tests.
const faultBegin, faultEnd = 8 * time.Second, 18 * time.Second

// quotaFault is a fault that begins at faultBegin, with the load under which it occurs.
type quotaFault struct {
	load  float64
	apply func(s *creditSim, failing func() bool)
	// served is the least part of what an ideal bucket serves that is served from faultBegin
	// until faultEnd.
	served float64
}

// quotaFaults are faults of holders, links and the store. Zone a has the instances 0, 3, 6...
var quotaFaults = map[string]quotaFault{
	"store down for all": {0.9, func(s *creditSim, failing func() bool) {
		s.storeDown = func(time.Duration, *creditInstance) bool { return failing() }
	}, 0.95},
	"holder killed": {0.6, func(*creditSim, func() bool) {}, 0.95},
	// The zone goes on with a third of the limit for a third of the load.
	"zone cut off": {0.6, func(s *creditSim, failing func() bool) {
		s.storeDown = func(_ time.Duration, i *creditInstance) bool { return failing() && i.zone == "a" }
		s.cut = func(_ time.Duration, from, to *creditInstance) bool {
			return failing() && (from.zone == "a") != (to.zone == "a")
		}
	}, 0.9},
	"zone cut off over the limit": {3, func(s *creditSim, failing func() bool) {
		s.storeDown = func(_ time.Duration, i *creditInstance) bool { return failing() && i.zone == "a" }
		s.cut = func(_ time.Duration, from, to *creditInstance) bool {
			return failing() && (from.zone == "a") != (to.zone == "a")
		}
	}, 0.9},
	"holder loses the store over the limit": {3, func(s *creditSim, failing func() bool) {
		s.storeDown = func(_ time.Duration, i *creditInstance) bool { return failing() && i.name == "i0" }
	}, 0},
	"all holders lose the store over the limit": {3, func(s *creditSim, failing func() bool) {
		s.storeDown = func(_ time.Duration, i *creditInstance) bool { return failing() && len(i.name) == 2 && i.name < "i3" }
	}, 0},
	"holder loses all others over the limit": {3, func(s *creditSim, failing func() bool) {
		s.storeDown = func(_ time.Duration, i *creditInstance) bool { return failing() && i.name == "i0" }
		s.cut = func(_ time.Duration, from, to *creditInstance) bool {
			return failing() && (from.name == "i0") != (to.name == "i0")
		}
	}, 0},
	"no instance reaches a holder": {3, func(s *creditSim, failing func() bool) {
		s.cut = func(_ time.Duration, _, _ *creditInstance) bool { return failing() }
	}, 0},
}

// TestQuotaFaults guards against more credit than the limit, and calls that are refused
// although they are within it, when holders, links and the store fail.
func TestQuotaFaults(t *testing.T) {
	const instances, d = 89, 26 * time.Second
	for name, c := range quotaFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				callers := manyCallers(c.load)
				s := newCreditSim(t, instances, callers, 1)
				events := map[time.Duration]func(){}
				if name == "holder killed" {
					events[faultBegin] = s.instances[0].end
				}
				begin := time.Now().Add(creditSimWarmUp)
				c.apply(s, func() bool { at := time.Since(begin); return at >= faultBegin && at < faultEnd })
				s.serve(callers, d, events)
				total, ideal, largest := 0.0, 0.0, 0.0
				for _, w := range callers {
					x := s.spent[w.Name]
					total += sum(x.spent, faultBegin, faultEnd)
					ideal += sum(x.ideal, faultBegin, faultEnd)
					worst := s.worst(w.Workspace, 0)
					largest = max(largest, worst)
					if worst > 1 {
						t.Errorf("%s: worst window %.3f of the limit", w.Name, worst)
					}
				}
				after, idealAfter := s.served("w0", faultEnd+4*time.Second, d)
				t.Logf("served %.3f of an ideal bucket during the fault, %.3f after it, worst window %.3f, late %d", total/ideal, after/idealAfter, largest,
					s.spent["w0"].refusedLate)
				if total < c.served*ideal {
					t.Errorf("served %.3f of what an ideal bucket serves", total/ideal)
				}
			})
		})
	}
}

// TestLowerLimitTakesEffect guards against credit of a former limit. The limit is a tenth from
// the middle of the load on.
func TestLowerLimitTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, d, lowered = 89, 24 * time.Second, 10 * time.Second
		callers := []creditCaller{{Workspace: tokensOf("w", 90_000), cost: 1500, load: 3}}
		lower := []creditCaller{{Workspace: tokensOf("w", 9_000)}}
		s := newCreditSim(t, instances, callers, 1)
		s.serve(callers, d, map[time.Duration]func(){lowered: func() { s.configure(lower) }})
		worst := s.worst(lower[0].Workspace, lowered+creditBin)
		t.Logf("worst window after the change %.3f", worst)
		if worst > 1 {
			t.Errorf("worst window after the change is %.3f of the limit", worst)
		}
	})
}

// TestQuotaMessagesGrowLinearly guards against traffic that grows faster than the number of
// instances. The load of each instance is the same.
func TestQuotaMessagesGrowLinearly(t *testing.T) {
	const d = 8 * time.Second
	var first float64
	for _, instances := range []int{30, 100, 300} {
		synctest.Test(t, func(t *testing.T) {
			callers := manyCallers(0.8)
			for n := range callers {
				q := &callers[n].Quota
				q.Rate, q.Burst = q.Rate*float64(instances)/100, q.Burst*float64(instances)/100
			}
			s := newCreditSim(t, instances, callers, 1)
			s.serve(callers, d, nil)
			calls := 0.0
			for _, w := range callers {
				calls += sum(s.spent[w.Name].offered, 0, d) / w.cost
			}
			messages, bytes := float64(s.messages.Load()), float64(s.bytes.Load())
			each := messages / float64(instances) / d.Seconds()
			t.Logf("%d instances: %.0f calls/s, %.0f messages/s, %.2f messages a call, %.1f messages/s and %.0f B/s an instance", instances,
				calls/d.Seconds(), messages/d.Seconds(), messages/calls, each, bytes/float64(instances)/d.Seconds())
			if first == 0 {
				first = each
			}
			if each > 1.2*first {
				t.Errorf("%.1f messages a second for each of %d instances, %.1f with fewer", each, instances, first)
			}
		})
	}
}

// TestUnlimitedWorkspaceCostsNothing guards against messages for workspaces without a limit and
// for deployments without workspaces.
func TestUnlimitedWorkspaceCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		callers := []creditCaller{{Workspace: tokensOf("w", 0)}}
		s := newCreditSim(t, 6, callers, 1)
		s.serve(nil, 0, nil)
		for n := range 100 {
			if _, err := s.instances[n%6].credit.Admit(t.Context(), callers[0].Workspace, 1e9, 0); err != nil {
				t.Error(err)
			}
		}
		if n := s.messages.Load(); n > 0 {
			t.Errorf("%d messages", n)
		}
	})
}

// TestImpossibleCostIsRefusedAtOnce guards against calls that wait for credit that no bucket
// can ever hold.
func TestImpossibleCostIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := tokensOf("w", 1000)
		s := newCreditSim(t, 3, []creditCaller{{Workspace: w}}, 1)
		begin := time.Now()
		_, err := s.instances[0].credit.Admit(t.Context(), w, 2001, time.Second)
		f := bamboorail.FailureOf(err)
		if time.Since(begin) > 0 || f.Kind != bamboorail.KindQuotaExceeded || f.Outcome != bamboorail.OutcomeNotRun || f.RetryAfter <= 0 {
			t.Errorf("refused after %v with %v", time.Since(begin), err)
		}
	})
}

// TestRefundServesNextCall guards against credit that is lost with calls that were not run.
func TestRefundServesNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := tokensOf("w", 3000)
		callers := []creditCaller{{Workspace: w}}
		s := newCreditSim(t, 3, callers, 1)
		refunded := false
		s.serve(callers[:0], 0, nil)
		i := s.instances[1]
		i.credit.wallet.Add("w", 10, time.Now().Add(time.Second), time.Now())
		refund, err := i.credit.Admit(t.Context(), w, 10, 0)
		if err != nil {
			t.Fatal(err)
		}
		refund()
		refund()
		for range 2 {
			if _, err := i.credit.Admit(t.Context(), w, 10, 0); err == nil {
				if refunded {
					t.Error("credit was refunded twice")
				}
				refunded = true
			}
		}
		if !refunded {
			t.Error("credit was not refunded")
		}
	})
}

// TestServerWithoutQuotasGrantsNothing guards against a crash by messages of other instances.
func TestServerWithoutQuotasGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCreditSim(t, 3, []creditCaller{{Workspace: tokensOf("w", 3000)}}, 1)
		for name, c := range map[string]struct {
			server  *Server
			request *wire.CreditRequest
		}{
			"no quotas":    {&Server{}, &wire.CreditRequest{Zone: "a"}},
			"unknown zone": {s.instances[0].server, &wire.CreditRequest{Zone: "?"}},
			"not held":     {s.instances[0].server, &wire.CreditRequest{Zone: "a", Needs: []*wire.CreditNeed{{Workspace: "w", Amount: 1}, nil}}},
			"too many":     {s.instances[0].server, &wire.CreditRequest{Zone: "a", Needs: make([]*wire.CreditNeed, maxCreditNeeds+1)}},
		} {
			if reply, err := c.server.Credit(t.Context(), c.request); err != nil || reply.GetHolder() || len(reply.GetGrants()) > 0 {
				t.Errorf("%s: %v, %v", name, reply, err)
			}
		}
	})
}
