package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/route"
)

// configurationHandler follows the operators' configuration.
type configurationHandler struct{ g *Gateway }

// Replace takes in the configuration after a gap.
func (h *configurationHandler) Replace(objects []bamboorail.Object, _ bool) {
	for _, o := range objects {
		h.Update(o)
	}
}

// Update takes in a new version. Versions never go back.
func (h *configurationHandler) Update(o bamboorail.Object) {
	if o.Key != h.g.adapter.ConfigurationKey || o.Deleted {
		return
	}
	c, err := h.g.adapter.Records.Configuration(o)
	if err != nil {
		h.g.log.Error("configuration is unreadable", "revision", o.Version, "error", err)
		return
	}
	if t := h.g.table.Load(); t != nil && c.Version <= t.Version() {
		return
	}
	h.g.table.Store(route.NewTable(c))
	h.g.metrics.Configuration(c.Version, 0)
	h.g.log.Info("configuration in force", "config", c.Version, "revision", o.Version, "routes", len(c.Routes), "services", len(c.Services))
}

// targetHandler follows the entries of targets.
type targetHandler struct{ g *Gateway }

// Replace takes in all entries after a gap.
func (h *targetHandler) Replace(objects []bamboorail.Object, afterOutage bool) {
	entries := make([]bamboorail.TargetEntry, 0, len(objects))
	for _, o := range objects {
		if e, ok := h.decode(o); ok {
			entries = append(entries, e)
		}
	}
	h.g.fleet.Replace(entries, time.Now(), afterOutage)
	h.g.log.Info("targets listed", "count", len(entries), "after-outage", afterOutage)
}

// Update takes in one entry.
func (h *targetHandler) Update(o bamboorail.Object) {
	name := h.name(o)
	if o.Deleted {
		h.g.fleet.Remove(name)
		h.g.log.Info("target gone", "target", name, "revision", o.Version)
		return
	}
	e, ok := h.decode(o)
	if !ok {
		h.g.fleet.Remove(name)
		return
	}
	known, found := h.g.fleet.Target(name)
	h.g.fleet.Update(e)
	if !found || known.ID != e.ID || known.Leaving != e.Leaving {
		h.g.log.Info("target changed", "target", name, "service", e.Service, "address", e.Address, "zone", e.Zone,
			"born", e.ID.StartMillis, "leaving", e.Leaving, "revision", o.Version)
	}
}

// targetDigest returns what instances must know of a target at once. Heartbeats
// and the adapters that an engine holds are left out: its holder reads the store
// itself, and the others use them only without a holder.
func (g *Gateway) targetDigest(o bamboorail.Object) (string, bool) {
	if !strings.HasPrefix(o.Key, g.adapter.TargetKind+"/") {
		return "", false
	}
	e, err := g.adapter.Records.Target(o)
	if err != nil {
		return "", false
	}
	models := slices.Sorted(maps.Keys(e.Models))
	return fmt.Sprint(e.ID, e.Service, e.Address, e.Zone, e.Slots, e.Leaving, models), true
}

func (h *targetHandler) name(o bamboorail.Object) string {
	return strings.TrimPrefix(o.Key, h.g.adapter.TargetKind+"/")
}

// decode reads an entry. One that cannot be understood names no target.
func (h *targetHandler) decode(o bamboorail.Object) (bamboorail.TargetEntry, bool) {
	e, err := h.g.adapter.Records.Target(o)
	if err != nil {
		h.g.log.Warn("target entry is unreadable", "key", o.Key, "revision", o.Version, "error", err)
		return bamboorail.TargetEntry{}, false
	}
	return e, true
}

// releaseHandler follows the newest versions of adapters.
type releaseHandler struct{ g *Gateway }

// Replace takes in all releases after a gap. Their age is not known, so the
// versions before them are not used any more.
func (h *releaseHandler) Replace(objects []bamboorail.Object, _ bool) {
	for _, o := range objects {
		h.take(o, time.Time{})
	}
	h.g.fleet.MarkReleasesSynced()
}

// Update takes in one release as it is made.
func (h *releaseHandler) Update(o bamboorail.Object) { h.take(o, time.Now()) }

func (h *releaseHandler) take(o bamboorail.Object, made time.Time) {
	if o.Deleted {
		return
	}
	r, err := h.g.adapter.Records.Release(o)
	if err != nil {
		h.g.log.Warn("release is unreadable", "key", o.Key, "revision", o.Version, "error", err)
		return
	}
	h.g.fleet.AddRelease(r, made)
	h.g.log.Info("release known", "model", r.Key.Model, "adapter", r.Key.Adapter, "version", r.Version, "revision", o.Version)
}
