package placer

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/relay"
)

// TestTargetsWithoutSlotsAreNotShared guards against targets that get two calls at once, from
// all instances together, because they state no number of slots and refused a call once.
func TestTargetsWithoutSlotsAreNotShared(t *testing.T) {
	for name, c := range map[string]struct {
		slots  int
		shared bool
	}{"slots stated": {6, true}, "no slots stated": {0, false}} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			registry := advisory.New()
			chooser := NewChooser(ChooserConfig{
				Advisories: registry, Limits: newTestLimits(registry, fleet.New(time.Second)), ShareTargets: func() bool { return true },
			})
			chooser.pressed["s"] = now.Add(time.Second)
			target := bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "t"}, Service: "s", Slots: c.slots}
			shared, others := chooser.splitShared(relay.ChooseRequest{Service: bamboorail.ServiceSpec{Name: "s"}}, []bamboorail.TargetEntry{target}, now)
			if (len(shared) == 1) != c.shared || len(shared)+len(others) != 1 {
				t.Errorf("shared %v, others %v", shared, others)
			}
		})
	}
}
