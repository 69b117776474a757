package placer

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// maxPendingLimits bounds the limits that are kept for a holder that does not answer.
const maxPendingLimits = 256

// Limits exchanges the limits that targets name with other instances.
type Limits struct {
	registry *advisory.Registry
	fleet    *fleet.Fleet
	metrics  *telemetry.Metrics
	log      hclog.Logger

	mu sync.Mutex
	// refusalsChanged is the time of the last change of a limit of refusals, refusalsSent
	// the times at which other instances got all of them.
	refusalsChanged time.Time
	refusalsSent    map[string]time.Time
}

// NewLimits returns the exchange of the limits in a registry.
func NewLimits(r *advisory.Registry, f *fleet.Fleet, m *telemetry.Metrics, log hclog.Logger) *Limits {
	return &Limits{registry: r, fleet: f, metrics: m, log: log, refusalsSent: map[string]time.Time{}}
}

// limitKinds are the kinds of limits that targets name.
var limitKinds = []advisory.LimitKind{advisory.Requests, advisory.Refusals}

// observe records the limits that an answer names, or that it names none. It returns those
// that changed.
func (l *Limits) observe(id bamboorail.TargetID, a bamboorail.Advisory, now time.Time) []advisory.Limit {
	var list []advisory.Limit
	service := l.service(id)
	for _, kind := range limitKinds {
		if limit, changed := l.registry.ObserveLimit(kind, id, service, a, now); changed {
			l.report(limit, "answer")
			list = append(list, limit)
		}
	}
	return list
}

// service returns the service of a target, or an empty string.
func (l *Limits) service(id bamboorail.TargetID) string {
	e, _ := l.fleet.Target(id.Name)
	return e.Service
}

// IsBrittle reports whether a target must not be sent calls that it may have no room for.
func (l *Limits) IsBrittle(id bamboorail.TargetID) bool {
	return l.registry.IsBrittle(id, l.service(id))
}

// MaxRefusals returns the refusals a second after which a brittle target fails, one if it is
// not known.
func (l *Limits) MaxRefusals(id bamboorail.TargetID) float64 {
	if limit, _ := l.registry.LastLimit(advisory.Refusals, id); limit.Named {
		return limit.Rate
	}
	return 1
}

// merge records limits of a kind that another instance reported.
func (l *Limits) merge(kind advisory.LimitKind, messages []*wire.TargetLimit, source string) {
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
		id := bamboorail.TargetID{Name: m.GetTarget(), StartMillis: m.GetBorn()}
		list = append(list, advisory.Limit{
			Kind: kind, Target: id, Service: l.service(id), Named: m.GetNamed(), Rate: m.GetRate(),
			At: now.Add(-time.Duration(max(m.GetAgeMicros(), 0)) * time.Microsecond),
		})
	}
	for _, limit := range l.registry.MergeLimits(list, now) {
		l.report(limit, source)
	}
}

func (l *Limits) report(limit advisory.Limit, source string) {
	if limit.Kind == advisory.Refusals {
		l.mu.Lock()
		l.refusalsChanged = time.Now()
		l.mu.Unlock()
		l.log.Info("target changes the refusals that it bears", "target", limit.Target.Name, "born", limit.Target.StartMillis, "brittle", limit.Named,
			"refusals-per-second", limit.Rate, "source", source)
		if limit.Named {
			l.metrics.TargetAdvised("brittle")
		}
		return
	}
	if !limit.Named {
		l.log.Info("target names no limit any more", "target", limit.Target.Name, "born", limit.Target.StartMillis, "source", source)
		return
	}
	l.metrics.TargetAdvised("limit")
	l.log.Info("target names a limit", "target", limit.Target.Name, "born", limit.Target.StartMillis, "requests-per-second", limit.Rate, "source", source)
}

// messages returns all limits of a kind, and those that ended lately.
func (l *Limits) messages(kind advisory.LimitKind) []*wire.TargetLimit {
	now := time.Now()
	return limitMessages(l.registry.Limits(kind, now), kind, now)
}

const (
	// refusalsInterval is the time after which an instance gets all limits of refusals
	// again; changes are sent at once.
	refusalsInterval = 3 * time.Second
	// maxRefusalsSent bounds the instances that are distinguished.
	maxRefusalsSent = 1024
)

// refusalMessages returns all limits of refusals if they are due for an instance: in each
// reply, those of many brittle targets would exceed the traffic for control.
func (l *Limits) refusalMessages(instance string) []*wire.TargetLimit {
	now := time.Now()
	l.mu.Lock()
	sent, known := l.refusalsSent[instance]
	due := !known || sent.Before(l.refusalsChanged) || now.Sub(sent) >= refusalsInterval
	if due {
		if len(l.refusalsSent) >= maxRefusalsSent {
			clear(l.refusalsSent)
		}
		l.refusalsSent[instance] = now
	}
	l.mu.Unlock()
	if !due {
		return nil
	}
	return l.messages(advisory.Refusals)
}

// limitMessages returns the messages of the limits of a kind in a list.
func limitMessages(list []advisory.Limit, kind advisory.LimitKind, now time.Time) []*wire.TargetLimit {
	messages := make([]*wire.TargetLimit, 0, len(list))
	for _, limit := range list {
		if limit.Kind == kind {
			messages = append(messages, limitMessage(limit, now))
		}
	}
	return messages
}

func limitMessage(l advisory.Limit, now time.Time) *wire.TargetLimit {
	return &wire.TargetLimit{Target: l.Target.Name, Born: l.Target.StartMillis, Named: l.Named, Rate: l.Rate, AgeMicros: now.Sub(l.At).Microseconds()}
}
