package placement

import (
	"testing"
	"time"
)

func TestRoutePrefersTheEarliestStart(t *testing.T) {
	idle := func(name string) RouteCandidate {
		return RouteCandidate{Target: name, MaxBatch: 8, LoadTime: time.Second}
	}
	with := func(o RouteCandidate, change func(*RouteCandidate)) RouteCandidate { change(&o); return o }
	for name, c := range map[string]struct {
		options []RouteCandidate
		want    string
	}{
		"loaded before cold":        {[]RouteCandidate{idle("a"), with(idle("b"), func(o *RouteCandidate) { o.Loaded = true })}, "b"},
		"awaited before cold":       {[]RouteCandidate{idle("a"), with(idle("b"), func(o *RouteCandidate) { o.Loading = true })}, "b"},
		"free slot before eviction": {[]RouteCandidate{with(idle("a"), func(o *RouteCandidate) { o.VictimValue = 5 }), idle("b")}, "b"},
		"emptier batch among loaded": {[]RouteCandidate{
			with(idle("a"), func(o *RouteCandidate) { o.Loaded, o.Outstanding = true, 6 }), with(idle("b"), func(o *RouteCandidate) { o.Loaded, o.Outstanding = true, 2 }),
		}, "b"},
		"own zone among equals": {[]RouteCandidate{
			with(idle("a"), func(o *RouteCandidate) { o.Loaded, o.CrossZone = true, true }), with(idle("b"), func(o *RouteCandidate) { o.Loaded = true }),
		}, "b"},
		"cold target rather than a very long queue": {[]RouteCandidate{
			with(idle("a"), func(o *RouteCandidate) { o.Loaded, o.Wait = true, time.Minute }), idle("b"),
		}, "b"},
		"loaded target rather than many awaited loads": {[]RouteCandidate{
			with(idle("a"), func(o *RouteCandidate) { o.Loaded, o.Wait = true, 10*time.Second }), with(idle("b"), func(o *RouteCandidate) { o.Awaited = 9 }),
		}, "a"},
		"never one that does not answer": {[]RouteCandidate{with(idle("a"), func(o *RouteCandidate) { o.Loaded, o.Avoid = true, true }), idle("b")}, "b"},
		"an engine with a stale estimate is tried": {[]RouteCandidate{
			with(idle("a"), func(o *RouteCandidate) { o.LoadTime, o.VictimValue = 20*time.Millisecond, 2 }), idle("b"),
		}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Route(ref("x"), c.options)[0].Target; got != c.want {
				t.Errorf("routed to %s, expected %s", got, c.want)
			}
		})
	}
}
