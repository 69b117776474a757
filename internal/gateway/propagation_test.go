package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// applyBound is the time from the acknowledgement of a change within which it must
	// be in force.
	applyBound = 2 * time.Second
	// settleTime is the time in which a cluster elects its holders.
	settleTime = 8 * time.Second
	// checkInterval is the precision of a measured delay.
	checkInterval = 20 * time.Millisecond
	configKey     = "config/main"
	targetKey     = "targets/a"
)

// awaitChange waits until the instances apply the second value of an object, and returns the
// name of the last one and the time that it took.
func (c *simCluster) awaitChange(key string, instances []*simInstance) (last string, took time.Duration) {
	const limit = 10 * time.Second
	start := time.Now()
	for _, i := range instances {
		for !i.gateway.hasSecondValue(key) && time.Since(start) < limit {
			time.Sleep(checkInterval)
			last = i.name
		}
	}
	return last, time.Since(start)
}

// delays are the times from an acknowledgement until the last instance applies the change.
type delays struct {
	late        int
	worst       time.Duration
	description string
}

func (d *delays) add(took, bound time.Duration, description string) {
	if took > bound {
		d.late++
	}
	if took > d.worst {
		d.worst, d.description = took, description
	}
}

func (d *delays) check(t *testing.T, runs int) {
	t.Helper()
	t.Logf("worst %v: %s", d.worst, d.description)
	if d.late > 0 {
		t.Errorf("a change is applied late in %d of %d runs", d.late, runs)
	}
}

// outside returns the instances outside a zone.
func (c *simCluster) outside(zone string) (list []*simInstance) {
	for _, i := range c.instances {
		if i.zone != zone {
			list = append(list, i)
		}
	}
	return list
}

// TestChangeAfterOutageIsAppliedInTime guards against instances that apply a change late
// after an outage of the store (incident archive-late-configuration).
func TestChangeAfterOutageIsAppliedInTime(t *testing.T) {
	const runs = 30
	cases := map[string]struct {
		// lateZone starts after the others, so that one of them holds it.
		lateZone string
		// cutZone is cut off when the store returns.
		cutZone     string
		shortest    time.Duration
		longest     time.Duration
		refuses     bool
		changeAfter time.Duration
	}{
		"nothing cut off":                 {"", "", 300 * time.Millisecond, 6 * time.Second, false, time.Second},
		"a zone cut off":                  {"", "a", 2 * time.Second, 3 * time.Second, false, time.Second},
		"store refuses":                   {"", "a", 2 * time.Second, 6 * time.Second, true, time.Second},
		"held by another zone":            {"b", "", 2 * time.Second, 3 * time.Second, false, time.Second},
		"held by another, one cut off":    {"b", "a", 2 * time.Second, 3 * time.Second, false, time.Second},
		"held by another, store refuses":  {"b", "a", 2 * time.Second, 6 * time.Second, true, time.Second},
		"held by another, the holder cut": {"b", "c", 2 * time.Second, 3 * time.Second, false, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d delays
			for range runs {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					s := newSimCluster(ctx, t, c.lateZone)
					time.Sleep(settleTime + rand.N(time.Second))
					s.set(func() { s.refuses = c.refuses })
					s.setSilent(true)
					time.Sleep(c.shortest + rand.N(c.longest-c.shortest))
					s.setSilent(false)
					back := time.Now()
					if c.cutZone != "" {
						s.set(func() { s.cutZone = c.cutZone })
					}
					time.Sleep(rand.N(c.changeAfter))
					s.change(configKey)
					bound := max(applyBound, recoveryBound-time.Since(back))
					last, took := s.awaitChange(configKey, s.outside(c.cutZone))
					d.add(took, bound, fmt.Sprintf("%s applies it %v after the outage", last, time.Since(back)))
					cancel()
					s.stop()
				})
			}
			d.check(t, runs)
		})
	}
}

// TestDisturbedHolderDelaysNoChange guards against sound instances that apply a change late because the one that they
// read through is disturbed (incident archive-late-configuration).
func TestDisturbedHolderDelaysNoChange(t *testing.T) {
	const (
		runs = 10
		late = 1400 * time.Millisecond
	)
	// watched is set for watches of the kind that changes.
	disturbances := map[string]func(watched bool) disturbance{
		"watches lost": func(watched bool) disturbance { return disturbance{lost: watched} },
		"watches late": func(watched bool) disturbance {
			if watched {
				return disturbance{delay: late}
			}
			return disturbance{}
		},
		"all late":    func(bool) disturbance { return disturbance{delay: late} },
		"all lost":    func(bool) disturbance { return disturbance{lost: true} },
		"all refused": func(bool) disturbance { return disturbance{refused: true} },
		"half lost":   func(bool) disturbance { return disturbance{lost: rand.N(2) == 0} },
	}
	others := map[string]func(s *simCluster) (disturbed, silent []string){
		"one zone":        func(*simCluster) ([]string, []string) { return simZones[:1], nil },
		"every zone":      func(*simCluster) ([]string, []string) { return simZones, nil },
		"the next silent": func(*simCluster) ([]string, []string) { return simZones[:1], simZones[1:2] },
	}
	for key, bound := range map[string]time.Duration{configKey: configurations.bound, targetKey: targets.bound} {
		for name, disturb := range disturbances {
			for which, choose := range others {
				t.Run(fmt.Sprintf("%s, %s, %s", kindOf(key), name, which), func(t *testing.T) {
					var d delays
					for range runs {
						synctest.Test(t, func(t *testing.T) {
							ctx, cancel := context.WithCancel(t.Context())
							s := newSimCluster(ctx, t, "")
							time.Sleep(settleTime + rand.N(time.Second))
							disturbed, silent := choose(s)
							sound := s.instances
							for _, zone := range disturbed {
								h := s.holder(zone)
								s.set(func() {
									h.disturb = func(op, kind string) disturbance { return disturb(op == "watch" && kind == kindOf(key)) }
								})
								sound = without(sound, h)
							}
							for _, zone := range silent {
								h := s.holder(zone)
								s.set(func() { h.silentPeer = true })
							}
							time.Sleep(rand.N(3 * time.Second))
							s.change(key)
							last, took := s.awaitChange(key, sound)
							d.add(took, bound, last)
							cancel()
							s.stop()
						})
					}
					d.check(t, runs)
				})
			}
		}
	}
}

// TestWorstDelayIsWithinBound adds up what a change may wait for on its way.
func TestWorstDelayIsWithinBound(t *testing.T) {
	// storeTime is the time of a call to a store without load.
	const storeTime = 10 * time.Millisecond
	for name, k := range map[string]followedKind{"configuration": configurations, "targets": targets, "releases": releases} {
		if got := k.worstDelay() + storeTime; got > k.bound {
			t.Errorf("%s: a change takes up to %v, the bound is %v", name, got, k.bound)
		}
	}
}

func without(list []*simInstance, i *simInstance) (rest []*simInstance) {
	for _, e := range list {
		if e != i {
			rest = append(rest, e)
		}
	}
	return rest
}
