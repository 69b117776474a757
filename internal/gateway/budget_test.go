package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/mirror"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// alone is a zone without a holder.
type alone struct{}

func (alone) Leading() bool            { return false }
func (alone) Holder() (string, string) { return "", "" }

// TestRestartsGrantNoRetries: all instances end and start again within a window
// of the retry budget, at first without knowing of each other. Together they
// stay within it (found by a hunt on the grown coupons, hunt-66d3-7: 844 retries
// in 10 s where 813 were allowed).
func TestRestartsGrantNoRetries(t *testing.T) {
	const (
		instances, zones = 86, 4
		ratio, slack     = 0.2, 212.0
		window           = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		s := settings.Gateway{RetryRatio: ratio, RetrySlack: slack, RetryWindow: window, Zones: make([]string, zones)}
		fleet := make([]*Gateway, instances)
		start := func() {
			for n := range fleet {
				fleet[n] = &Gateway{
					settings: s, started: time.Now(), budgets: map[string]*retry.WindowBudget{},
					mirror: mirror.NewStore(memory.NewStore(), "i", "z", alone{}, nil, nil, hclog.NewNullLogger()),
				}
				fleet[n].reloaded.Store(&s)
			}
		}
		start()
		time.Sleep(2 * window)
		requests, retries := 0, 0
		spend := func() {
			// Each instance repeats as often as it may.
			for _, g := range fleet {
				w := g.budget("s")
				for range 17 {
					requests++
					w.RecordRequest(time.Now())
				}
				for w.Take(time.Now()) {
					retries++
				}
			}
		}
		// The count of the instances is known: the slack of all is shared.
		for _, g := range fleet {
			g.budget("s").SetSlack(slack * retrySlackShare / instances)
		}
		spend()
		time.Sleep(window / 2)
		start()
		spend()
		if allowed := ratio*float64(requests) + slack; float64(retries) > allowed {
			t.Errorf("%d retries for %d requests, %.0f are allowed", retries, requests, allowed)
		}
	})
}

// TestAReloadForgetsNoRetries: a change of the retry settings counts on with
// what the instance spent before it.
func TestAReloadForgetsNoRetries(t *testing.T) {
	const window = 10 * time.Second
	cases := map[string]func(s *settings.Gateway){
		"nothing": func(*settings.Gateway) {},
		"ratio":   func(s *settings.Gateway) { s.RetryRatio = 0.21 },
		"slack":   func(s *settings.Gateway) { s.RetrySlack = 213 },
		"window":  func(s *settings.Gateway) { s.RetryWindow = 11 * time.Second },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := settings.Gateway{RetryRatio: 0.2, RetrySlack: 212, RetryWindow: window, Zones: make([]string, 4), MaxMemory: 1 << 40}
				s.Log.Level = "error"
				g := bare()
				g.settings, g.started, g.budgets, g.logs = s, time.Now(), map[string]*retry.WindowBudget{}, logflags.Discard()
				g.mirror = mirror.NewStore(memory.NewStore(), "i", "z", alone{}, nil, nil, hclog.NewNullLogger())
				g.reloaded.Store(&s)
				time.Sleep(2 * window)
				retries := 0
				spend := func() {
					for g.budget("s").Take(time.Now()) {
						retries++
					}
				}
				spend()
				if retries == 0 {
					t.Fatal("no retry is allowed at all")
				}
				before := retries
				changed := s
				change(&changed)
				g.Reload(changed)
				spend()
				if retries > before+1 {
					t.Errorf("%d retries, and %d more after the reload", before, retries-before)
				}
				time.Sleep(window / 2)
				spend()
				if retries > before+1 {
					t.Errorf("%d retries, and %d more half a window after the reload", before, retries-before)
				}
				time.Sleep(window)
				if spend(); retries < 2*before {
					t.Errorf("only %d retries after the window", retries-before)
				}
			})
		})
	}
}
