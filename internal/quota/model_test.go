package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboorail.example/bamboorail"
)

const (
	modelZones     = 2
	modelInstances = 2
	// modelTimeout is the time after which a request for credit is given up.
	modelTimeout = 100 * time.Millisecond
	modelWindow  = 8 * time.Second
)

// modelReply is an answer in transit.
type modelReply struct {
	zone, instance int // instance is negative for a transfer to the holder of the zone
	tenure         int
	amount         float64
	sent           time.Time
}

type modelEvent struct {
	at     time.Time
	amount float64
}

// model is a system of two zones in which messages are lost and delayed, holders are replaced
// and the limit changes at any step.
type model struct {
	now     time.Time
	quota   bamboorail.Quota
	buckets [modelZones]*Buckets
	tenure  [modelZones]int
	wallets [modelZones][modelInstances]*Wallet
	transit []modelReply
	spent   []modelEvent
	// limits are the limits with the times from which they applied.
	limits []struct {
		from time.Time
		bamboorail.Quota
	}
}

func (m *model) lookup(string) (bamboorail.Quota, bool) { return m.quota, true }

func (m *model) setQuota(rate, burst float64) {
	m.quota = bamboorail.Quota{Unit: bamboorail.QuotaTokens, Rate: rate, Burst: burst}
	m.limits = append(m.limits, struct {
		from time.Time
		bamboorail.Quota
	}{m.now, m.quota})
}

func newModel(rate, burst float64) *model {
	m := &model{now: time.Unix(1000, 0)}
	m.setQuota(rate, burst)
	for z := range m.buckets {
		m.buckets[z] = NewBuckets(modelZones, m.lookup, m.now)
		for i := range m.wallets[z] {
			m.wallets[z][i] = NewWallet()
		}
	}
	return m
}

// ask sends a request for credit to the holder of a zone, which may belong to another zone.
func (m *model) ask(zone, instance, holder int, amount, minimum float64) {
	g := m.buckets[holder].Grant(Need{Workspace: "w", Instance: fmt.Sprint(zone, instance), Amount: amount, Minimum: minimum}, m.now)
	m.transit = append(m.transit, modelReply{zone: zone, instance: instance, amount: g.Amount, sent: m.now})
}

func (m *model) askTransfer(zone int, amount float64) {
	given := m.buckets[1-zone].Give("w", amount, m.now)
	m.transit = append(m.transit, modelReply{zone: zone, instance: -1, tenure: m.tenure[zone], amount: given, sent: m.now})
}

// deliver delivers an answer, or loses it. Answers that arrive too late are dropped.
func (m *model) deliver(n int, lost bool) {
	r := m.transit[n]
	m.transit = append(m.transit[:n], m.transit[n+1:]...)
	switch {
	case lost || m.now.Sub(r.sent) > modelTimeout:
	case r.instance >= 0:
		m.wallets[r.zone][r.instance].Add("w", r.amount, r.sent.Add(CreditExpiry), m.now)
	case r.tenure == m.tenure[r.zone]:
		m.buckets[r.zone].Receive("w", r.amount, r.sent.Add(CreditExpiry), m.now)
		m.buckets[r.zone].Answered("w", r.amount, m.now)
	}
}

// spend spends a cost at an instance, and returns it if the call was not run.
func (m *model) spend(zone, instance int, cost float64, refused bool) {
	s, ok := m.wallets[zone][instance].Spend("w", cost, m.now)
	switch {
	case !ok:
	case refused:
		m.wallets[zone][instance].Refund(s)
	default:
		m.spent = append(m.spent, modelEvent{m.now, cost})
	}
}

// limit returns the largest limit that applied in a time. Credit is up to twice CreditExpiry old
// when it is spent.
func (m *model) limit(from, to time.Time) float64 {
	largest := 0.0
	for n, l := range m.limits {
		ended := n+1 < len(m.limits) && m.limits[n+1].from.Before(from.Add(-2*CreditExpiry))
		if !ended && !l.from.After(to) {
			largest = max(largest, (l.Rate*modelWindow.Seconds()+l.Burst)*1.1+11_000)
		}
	}
	return largest
}

// drain requests all credit, and spends it.
func (m *model) drain() {
	for z := range modelZones {
		m.ask(z, 0, z, m.quota.Rate+m.quota.Burst+1, 0)
		m.deliver(len(m.transit)-1, false)
	}
	m.spendAll()
}

func (m *model) spendAll() {
	for z := range m.wallets {
		for i, w := range m.wallets[z] {
			m.spend(z, i, w.account("w").credit.balance(m.now), false)
		}
	}
}

// created returns the most credit that the zones create together in a time.
func (m *model) created(d time.Duration) float64 {
	largest := 0.0
	for _, l := range m.limits {
		largest = max(largest, l.Rate+extraBurstShare*l.Burst+min(extraRateShare*l.Rate, maxExtraRate))
	}
	return largest * d.Seconds()
}

// check returns an error if any window has more spending than its limit, or if more was spent
// than the zones, which were empty at the beginning, created.
func (m *model) check() error {
	first, sum, total := 0, 0.0, 0.0
	for _, e := range m.spent {
		sum, total = sum+e.amount, total+e.amount
		for e.at.Sub(m.spent[first].at) >= modelWindow {
			sum -= m.spent[first].amount
			first++
		}
		if limit := m.limit(e.at.Add(-modelWindow), e.at); sum > limit {
			return fmt.Errorf("%.0f spent in the window that ends at %v, limit %.0f", sum, e.at.Sub(m.limits[0].from), limit)
		}
		if created := m.created(e.at.Sub(m.limits[0].from)); total > created*1.000001+1 {
			return fmt.Errorf("%.0f spent by %v, created %.0f", total, e.at.Sub(m.limits[0].from), created)
		}
	}
	return nil
}

// TestModelKeepsLimit guards against credit that is created or kept by lost, late or repeated
// messages, new holders, refunds and changed limits. The steps are greedy: instances ask for
// and spend all they can get.
func TestModelKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(100, 400_000).Draw(t, "rate")
		m := newModel(rate, rate*rapid.Float64Range(0, 2).Draw(t, "burst"))
		zones, instances := rapid.IntRange(0, modelZones-1), rapid.IntRange(0, modelInstances-1)
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "idle")) * time.Millisecond)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"ask": func(t *rapid.T) {
				amount := m.quota.Rate * rapid.Float64Range(0, 3).Draw(t, "amount")
				m.ask(zones.Draw(t, "zone"), instances.Draw(t, "instance"), zones.Draw(t, "holder"), amount, amount*rapid.Float64Range(0, 1).Draw(t, "minimum"))
			},
			"transfer": func(t *rapid.T) {
				m.askTransfer(zones.Draw(t, "zone"), m.quota.Rate*rapid.Float64Range(0, 3).Draw(t, "amount"))
			},
			"deliver": func(t *rapid.T) {
				if len(m.transit) > 0 {
					m.deliver(rapid.IntRange(0, len(m.transit)-1).Draw(t, "reply"), rapid.IntRange(0, 9).Draw(t, "fate") == 0)
				}
			},
			"spend all": func(*rapid.T) { m.spendAll() },
			"drain":     func(*rapid.T) { m.drain() },
			"spend": func(t *rapid.T) {
				cost := m.quota.Rate * rapid.Float64Range(0, 0.5).Draw(t, "cost")
				m.spend(zones.Draw(t, "zone"), instances.Draw(t, "instance"), cost, rapid.Bool().Draw(t, "refused"))
			},
			"new holder": func(t *rapid.T) {
				z := zones.Draw(t, "zone")
				m.tenure[z]++
				m.buckets[z] = NewBuckets(modelZones, m.lookup, m.now)
			},
			"lower limit": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "chance") == 0 {
					m.setQuota(m.quota.Rate*rapid.Float64Range(0.05, 1).Draw(t, "rate"), m.quota.Burst*rapid.Float64Range(0, 1).Draw(t, "burst"))
				}
			},
			"": func(t *rapid.T) {
				if err := m.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

// TestGreedySequenceKeepsLimit guards against a system that exceeds the limit if all that can
// be outside of the buckets is spent at the beginning of a window. Zones move what they have
// to one another before instances request it.
func TestGreedySequenceKeepsLimit(t *testing.T) {
	for name, q := range map[string]bamboorail.Quota{
		"largest":         {Rate: 372_609, Burst: 372_609},
		"smallest":        {Rate: 13_376, Burst: 13_376},
		"no burst":        {Rate: 13_376},
		"large burst":     {Rate: 1000, Burst: 100_000},
		"rate of nothing": {Rate: 1, Burst: 1},
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(q.Rate, q.Burst)
			// A large call makes the buckets hold as much as the slack permits.
			m.ask(0, 0, 0, q.Rate+q.Burst, q.Rate+q.Burst)
			m.deliver(0, false)
			m.ask(1, 0, 1, q.Rate+q.Burst, q.Rate+q.Burst)
			m.deliver(0, false)
			m.now = m.now.Add(largestCallTime - time.Second)
			const hold = CreditExpiry - time.Millisecond
			for z := range modelZones {
				m.askTransfer(z, q.Rate+q.Burst)
				m.deliver(0, false)
			}
			m.now = m.now.Add(hold)
			for z := range modelZones {
				m.ask(z, 0, z, q.Rate+q.Burst, 0)
				m.deliver(0, false)
			}
			m.now = m.now.Add(hold)
			for begin := m.now; m.now.Sub(begin) < modelWindow; m.now = m.now.Add(10 * time.Millisecond) {
				m.spendAll()
				m.drain()
			}
			if err := m.check(); err != nil {
				t.Error(err)
			}
		})
	}
}
