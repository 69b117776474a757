package adapters

import (
	"testing"
	"time"
)

// TestPaceRecoversWithItsFirstCall guards against an engine that was slow once and counts as
// slower after each call that shows that it is not: it would be avoided again.
func TestPaceRecoversWithItsFirstCall(t *testing.T) {
	p := newTestPlanner(3, 4)
	now := runCalls(t, p, []float64{0.25, 1, 1}, 90, start)
	now = now.Add(2 * paceHalfLife)
	p.refreshPaces(now)
	before := p.engines["e0"].pace
	runCalls(t, p, []float64{1, 1, 1}, 3, now)
	p.refreshPaces(now.Add(time.Second))
	after := p.engines["e0"].pace
	if after.read.value > before.read.value || after.event.value > before.event.value {
		t.Errorf("after a call at the usual pace, a token takes %.0f ns and an event %.2f ms, before it %.0f ns and %.2f ms",
			after.read.value, after.event.value/1e6, before.read.value, before.event.value/1e6)
	}
}
