package gateway

import (
	"runtime/debug"
	"time"

	"bamboorail.example/bamboorail/internal/settings"
)

// Reload applies changed settings: the address of the platform, the retry
// budget, the drain timeout, the memory limit and the log level. Other changes
// require a restart, and the drain timeout no longer changes during shutdown.
func (g *Gateway) Reload(s settings.Gateway) {
	before := *g.current.Load()
	g.current.Store(&s)
	if s.PlatformURL != before.PlatformURL {
		g.platform.Store.SetBaseURL(s.PlatformURL)
	}
	if s.RetryRatio != before.RetryRatio || s.RetrySlack != before.RetrySlack || s.RetryWindow != before.RetryWindow {
		slack, now := g.retrySlack(s.RetrySlack), time.Now()
		g.mu.Lock()
		for _, w := range g.budgets {
			w.Configure(s.RetryRatio*retryRatioShare, slack, s.RetryWindow, now)
		}
		g.mu.Unlock()
	}
	if g.shuttingDown.Load() && s.DrainTimeout != before.DrainTimeout {
		g.log.Warn("drain timeout cannot change during shutdown", "drain-timeout", s.DrainTimeout.String())
	}
	setMemoryLimit(s)
	if err := g.logs.SetLevel(s.Log.Level); err != nil {
		g.log.Error("failed to set log level", "error", err)
	}
	g.log.Info("settings reloaded", "platform", s.PlatformURL, "drain-timeout", s.DrainTimeout.String(), "restart-needed", needsRestart(g.initial, s))
}

// needsRestart reports whether settings changed that are read only at startup.
func needsRestart(start, now settings.Gateway) bool {
	return start.Instance != now.Instance || start.Zone != now.Zone || start.CallerAddress != now.CallerAddress ||
		start.ReadinessAddress != now.ReadinessAddress || start.PeerAddress != now.PeerAddress ||
		start.MetricsAddress != now.MetricsAddress || start.LeaseGap != now.LeaseGap ||
		start.ReleaseTimeout != now.ReleaseTimeout || start.AdapterLoads != now.AdapterLoads
}

// setMemoryLimit sets the soft limit of the garbage collector well below the
// limit at which the process is killed.
func setMemoryLimit(s settings.Gateway) {
	debug.SetMemoryLimit(int64(float64(s.MaxMemory) * memoryLimitShare))
}
