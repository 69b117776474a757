package placer

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// maxPendingLimits bounds the limits that are kept for a holder that does not answer.
const maxPendingLimits = 256

// Limits exchanges the limits that targets name with other instances.
type Limits struct {
	registry *advisory.Registry
	metrics  *telemetry.Metrics
	log      hclog.Logger
}

// NewLimits returns the exchange of the limits in a registry.
func NewLimits(r *advisory.Registry, m *telemetry.Metrics, log hclog.Logger) *Limits {
	return &Limits{registry: r, metrics: m, log: log}
}

// observe records the limit that an answer names, or that it names none. It reports
// whether the limit changed.
func (l *Limits) observe(id bamboorail.TargetID, a bamboorail.Advisory, now time.Time) (advisory.Limit, bool) {
	limit, changed := l.registry.ObserveLimit(id, a, now)
	if changed {
		l.report(limit, "answer")
	}
	return limit, changed
}

// merge records limits that another instance reported.
func (l *Limits) merge(messages []*wire.TargetLimit, source string) {
	if len(messages) == 0 {
		return
	}
	now := time.Now()
	list := make([]advisory.Limit, 0, len(messages))
	for _, m := range messages {
		if m.GetTarget() == "" {
			l.log.Warn("limit without a target ignored", "source", source)
			continue
		}
		list = append(list, advisory.Limit{
			Target: bamboorail.TargetID{Name: m.GetTarget(), StartMillis: m.GetBorn()}, Named: m.GetNamed(), Rate: m.GetRate(),
			At: now.Add(-time.Duration(max(m.GetAgeMicros(), 0)) * time.Microsecond),
		})
	}
	for _, limit := range l.registry.MergeLimits(list, now) {
		l.report(limit, source)
	}
}

func (l *Limits) report(limit advisory.Limit, source string) {
	if !limit.Named {
		l.log.Info("target names no limit any more", "target", limit.Target.Name, "born", limit.Target.StartMillis, "source", source)
		return
	}
	l.metrics.TargetAdvised("limit")
	l.log.Info("target names a limit", "target", limit.Target.Name, "born", limit.Target.StartMillis, "requests-per-second", limit.Rate, "source", source)
}

// messages returns all limits, and those that ended lately.
func (l *Limits) messages() []*wire.TargetLimit {
	now := time.Now()
	return limitMessages(l.registry.Limits(now), now)
}

func limitMessages(list []advisory.Limit, now time.Time) []*wire.TargetLimit {
	messages := make([]*wire.TargetLimit, 0, len(list))
	for _, limit := range list {
		messages = append(messages, limitMessage(limit, now))
	}
	return messages
}

func limitMessage(l advisory.Limit, now time.Time) *wire.TargetLimit {
	return &wire.TargetLimit{Target: l.Target.Name, Born: l.Target.StartMillis, Named: l.Named, Rate: l.Rate, AgeMicros: now.Sub(l.At).Microseconds()}
}
