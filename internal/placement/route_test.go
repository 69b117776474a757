package placement

import (
	"testing"
	"time"
)

func TestRoutePrefersTheEarliestStart(t *testing.T) {
	idle := func(name string) Option { return Option{Target: name, MaxBatch: 8, LoadTime: time.Second} }
	with := func(o Option, change func(*Option)) Option { change(&o); return o }
	for name, c := range map[string]struct {
		options []Option
		want    string
	}{
		"loaded before cold":        {[]Option{idle("a"), with(idle("b"), func(o *Option) { o.Loaded = true })}, "b"},
		"awaited before cold":       {[]Option{idle("a"), with(idle("b"), func(o *Option) { o.Loading = true })}, "b"},
		"free slot before eviction": {[]Option{with(idle("a"), func(o *Option) { o.VictimValue = 5 }), idle("b")}, "b"},
		"emptier batch among loaded": {[]Option{
			with(idle("a"), func(o *Option) { o.Loaded, o.Load = true, 6 }), with(idle("b"), func(o *Option) { o.Loaded, o.Load = true, 2 }),
		}, "b"},
		"own zone among equals": {[]Option{
			with(idle("a"), func(o *Option) { o.Loaded, o.Far = true, true }), with(idle("b"), func(o *Option) { o.Loaded = true }),
		}, "b"},
		"cold target rather than a very long queue": {[]Option{
			with(idle("a"), func(o *Option) { o.Loaded, o.Wait = true, time.Minute }), idle("b"),
		}, "b"},
		"loaded target rather than many awaited loads": {[]Option{
			with(idle("a"), func(o *Option) { o.Loaded, o.Wait = true, 10*time.Second }), with(idle("b"), func(o *Option) { o.Awaited = 9 }),
		}, "a"},
		"never one that does not answer": {[]Option{with(idle("a"), func(o *Option) { o.Loaded, o.Avoid = true, true }), idle("b")}, "b"},
		"an engine with a stale estimate is tried": {[]Option{
			with(idle("a"), func(o *Option) { o.LoadTime, o.VictimValue = 20*time.Millisecond, 2 }), idle("b"),
		}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Route(ref("x"), c.options)[0].Target; got != c.want {
				t.Errorf("routed to %s, expected %s", got, c.want)
			}
		})
	}
}
