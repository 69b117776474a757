package gateway

import (
	"runtime/debug"
	"time"

	"bamboorail.example/bamboorail/internal/settings"
)

// Reload puts changed settings in force: the address of the platform, the
// retry budget, the drain timeout, the memory limit and the log level. Other
// changes wait for a restart, and a leaving instance keeps its drain timeout.
func (g *Gateway) Reload(s settings.Gateway) {
	before := *g.reloaded.Load()
	g.reloaded.Store(&s)
	if s.PlatformURL != before.PlatformURL {
		g.adapter.Store.SetBaseURL(s.PlatformURL)
	}
	if s.RetryRatio != before.RetryRatio || s.RetrySlack != before.RetrySlack || s.RetryWindow != before.RetryWindow {
		slack, now := g.retrySlack(s.RetrySlack), time.Now()
		g.mu.Lock()
		for _, w := range g.budgets {
			w.Configure(s.RetryRatio*retryRatioShare, slack, s.RetryWindow, now)
		}
		g.mu.Unlock()
	}
	if g.leaving.Load() && s.DrainTimeout != before.DrainTimeout {
		g.log.Warn("drain timeout is not changed while the instance leaves", "drain-timeout", s.DrainTimeout.String())
	}
	setMemoryLimit(s)
	if err := g.logs.SetLevel(s.Log.Level); err != nil {
		g.log.Error("log level not changed", "error", err)
	}
	g.log.Info("settings reloaded", "platform", s.PlatformURL, "drain-timeout", s.DrainTimeout.String(), "restart-needed", needsRestart(g.settings, s))
}

// needsRestart reports whether settings changed that are read at the start.
func needsRestart(start, now settings.Gateway) bool {
	return start.Instance != now.Instance || start.Zone != now.Zone || start.CallerAddress != now.CallerAddress ||
		start.ReadinessAddress != now.ReadinessAddress || start.PeerAddress != now.PeerAddress ||
		start.MetricsAddress != now.MetricsAddress || start.LeaseGap != now.LeaseGap ||
		start.ReleaseTimeout != now.ReleaseTimeout || start.AdapterLoads != now.AdapterLoads
}

// setMemoryLimit has the collector work harder well below the limit at which
// the process is ended.
func setMemoryLimit(s settings.Gateway) {
	debug.SetMemoryLimit(int64(float64(s.MaxMemory) * memoryShare))
}
