package gateway

import (
	"errors"
	"fmt"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

var errNoRequests = errors.New("the engine wants no requests")

// advise takes note of what a target says of itself.
func (g *Gateway) advise(id bamboorail.TargetID, a bamboorail.Advisory) {
	now := time.Now()
	g.chooser.Advise(id, a, now)
	for _, reason := range g.advisories.Observe(id, a, now) {
		g.metrics.TargetAdvised(string(reason))
		if reason == advisory.ReasonLeaving {
			g.fleet.MarkLeaving(id, now)
			g.log.Info("target says that it leaves", "target", id.Name, "born", id.StartMillis)
			continue
		}
		g.log.Info("target asks for a pause", "target", id.Name, "born", id.StartMillis, "for", a.QuietFor.String())
	}
}

// permit returns an error while an engine wants no requests of this instance. An
// engine that leaves still takes orders.
func (g *Gateway) permit(id bamboorail.TargetID) error {
	reason, until := g.advisories.Check(id, time.Now())
	if reason == advisory.ReasonNone || reason == advisory.ReasonLeaving {
		return nil
	}
	return &Error{bamboorail.Failure{
		Op: "permit-request", Kind: bamboorail.KindUnavailable, Outcome: bamboorail.OutcomeNotRun, RetryAfter: time.Until(until),
		Err: fmt.Errorf("%w: %s", errNoRequests, reason),
	}}
}
