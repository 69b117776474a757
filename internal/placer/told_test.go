package placer

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
)

// TestToldWaitsAreThoseOfTheWorkspace guards against calls of a workspace that are refused
// without a question to the holder because calls of another one would wait too long.
func TestToldWaitsAreThoseOfTheWorkspace(t *testing.T) {
	const wait = time.Second
	target := bamboorail.TargetID{Name: "t"}
	cases := map[string]struct {
		asked    toldKey
		expected bool
	}{
		"same workspace":                {toldKey{target: target, priority: 1, workspace: "a"}, true},
		"other workspace":               {toldKey{target: target, priority: 1, workspace: "b"}, false},
		"other workspace, less urgent":  {toldKey{target: target, priority: 2, workspace: "b"}, true},
		"same workspace, less urgent":   {toldKey{target: target, priority: 2, workspace: "a"}, true},
		"same workspace, more urgent":   {toldKey{target: target, priority: 0, workspace: "a"}, false},
		"call without a workspace":      {toldKey{target: target, priority: 1}, false},
		"same workspace, other target":  {toldKey{target: bamboorail.TargetID{Name: "u"}, priority: 1, workspace: "a"}, false},
		"same workspace, late calls":    {toldKey{target: target, priority: 1, workspace: "a", late: true}, false},
		"other workspace, very low one": {toldKey{target: target, priority: 1000, workspace: "b"}, true},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			c := NewChooser(ChooserConfig{Advisories: advisory.New()})
			c.recordTold(toldKey{target: target, priority: 1, workspace: "a"}, admission{busy: true, expected: wait}, "s")
			if got := c.toldWait(x.asked, time.Now()) > 0; got != x.expected {
				t.Errorf("a wait is expected: %v", got)
			}
			c.Retain(func(bamboorail.TargetID) bool { return true })
			if len(c.told) != 2 {
				t.Errorf("%d waits are kept, expected 2", len(c.told))
			}
		})
	}
}
