package placer

import (
	"context"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// TestPermitsAreAskedForUnderPressure checks when calls of a plain service need a permit of
// a holder, and what they get from it.
func TestPermitsAreAskedForUnderPressure(t *testing.T) {
	refuse := func(c *Chooser, e bamboorail.TargetEntry) { c.balancedDone(e, 0)(balance.Refused, time.Millisecond) }
	told := func(c *Chooser, e bamboorail.TargetEntry) {
		c.Learn("a", &wire.FollowReply{Pressed: []string{e.ID.Name, "unknown"}})
	}
	cases := map[string]struct {
		share  bool
		press  func(c *Chooser, e bamboorail.TargetEntry)
		grants int
		// engine is set for a call without a model to a service of engines.
		engine bool
		// left is the time until the deadline of the call.
		left          time.Duration
		asked, served bool
	}{
		"no pressure":          {share: true, press: func(*Chooser, bamboorail.TargetEntry) {}, left: time.Second, served: true},
		"not shared":           {press: refuse, left: time.Second, served: true},
		"engines":              {share: true, press: refuse, left: time.Second, engine: true, served: true},
		"refused before":       {share: true, press: refuse, grants: 1, left: time.Second, asked: true, served: true},
		"told by a holder":     {share: true, press: told, grants: 1, left: time.Second, asked: true, served: true},
		"denied by the holder": {share: true, press: refuse, left: time.Second, asked: true},
		"deadline is over":     {share: true, press: refuse, grants: 1, left: -time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chooser, peers, a := newTestChooser(t)
			chooser.ShareTargets = func() bool { return c.share }
			peers.replies["c"], peers.grants = &wire.PlaceReply{}, c.grants
			a.Service.Engine, a.StartBy, a.Route.Priority = c.engine, time.Now().Add(c.left), 3
			a.Call.Workspace, a.Call.Key = "w", bamboorail.AdapterKey{}
			e, _ := chooser.Fleet.Target("e")
			e.Slots = 8
			chooser.Fleet.Update(e)
			c.press(chooser, e)
			reservation, err := chooser.Choose(context.Background(), a)
			if (err == nil) != c.served || (len(peers.asked) > 0) != c.asked {
				t.Fatalf("error %v, %d requests", err, len(peers.asked))
			}
			if err != nil && (bamboorail.FailureOf(err).RetryAfter <= 0 || !bamboorail.NotRun(err)) {
				t.Errorf("failure %+v", bamboorail.FailureOf(err))
			}
			for _, r := range peers.asked {
				if !r.GetShared() || r.GetPriority() != 3 || r.GetWorkspace() != "w" || r.GetWaitMicros() <= 0 || r.GetZone() != "c" || r.GetLimit().GetTarget() != "e" {
					t.Errorf("request %v", r)
				}
			}
			if err == nil {
				reservation.Done(balance.Answered, time.Millisecond)
				if n := chooser.Balancer.InFlight(e.ID); n != 0 {
					t.Errorf("%d calls in flight after the last ended", n)
				}
			}
		})
	}
}
