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

// configurationHandler applies the configuration that operators write.
type configurationHandler struct{ g *Gateway }

// Replace applies the configuration that was listed after a gap in the store's
// history.
func (h *configurationHandler) Replace(objects []bamboorail.Object, _ bool) {
	for _, o := range objects {
		h.Update(o)
	}
}

// Update applies a new version of the configuration. Older versions are
// ignored.
func (h *configurationHandler) Update(o bamboorail.Object) {
	if o.Key != h.g.platform.ConfigurationKey || o.Deleted {
		return
	}
	c, err := h.g.platform.Records.Configuration(o)
	if err != nil {
		h.g.log.Error("failed to decode configuration", "revision", o.Version, "error", err)
		return
	}
	if t := h.g.table.Load(); t != nil && c.Version <= t.Version() {
		return
	}
	for _, warning := range c.Warnings {
		h.g.log.Warn("part of the configuration ignored", "config", c.Version, "reason", warning)
	}
	h.g.table.Store(route.NewTable(c))
	h.g.metrics.Configuration(c.Version, 0)
	h.g.log.Info("configuration activated", "config", c.Version, "revision", o.Version, "routes", len(c.Routes), "services", len(c.Services),
		"workspaces", len(c.Workspaces))
}

// targetHandler applies the entries that targets write.
type targetHandler struct{ g *Gateway }

// Replace replaces all entries with those that were listed after a gap in the
// store's history.
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

// Update applies the change of one entry.
func (h *targetHandler) Update(o bamboorail.Object) {
	name := h.name(o)
	if o.Deleted {
		h.g.fleet.Remove(name, time.Now())
		h.g.log.Info("target gone", "target", name, "revision", o.Version)
		return
	}
	e, ok := h.decode(o)
	if !ok {
		h.g.fleet.Remove(name, time.Now())
		return
	}
	known, found := h.g.fleet.Target(name)
	h.g.fleet.Update(e)
	if !found || known.ID != e.ID || known.Leaving != e.Leaving {
		h.g.log.Info("target changed", "target", name, "service", e.Service, "address", e.Address, "zone", e.Zone,
			"born", e.ID.StartMillis, "software", e.Software, "leaving", e.Leaving, "revision", o.Version)
	}
}

// targetDigest returns the state of a target whose changes all instances must
// learn at once. Heartbeats and the adapters that an engine holds are left out:
// the zone's holder reads the store itself, and other instances use them only
// if there is no holder.
func (g *Gateway) targetDigest(o bamboorail.Object) (string, bool) {
	if !strings.HasPrefix(o.Key, g.platform.TargetKind+"/") {
		return "", false
	}
	e, err := g.platform.Records.Target(o)
	if err != nil {
		return "", false
	}
	models := slices.Sorted(maps.Keys(e.Models))
	return fmt.Sprint(e.ID, e.Service, e.Address, e.Zone, e.Slots, e.Leaving, e.Software, models), true
}

func (h *targetHandler) name(o bamboorail.Object) string {
	return strings.TrimPrefix(o.Key, h.g.platform.TargetKind+"/")
}

// decode decodes an entry. An entry that cannot be decoded is treated as
// absent.
func (h *targetHandler) decode(o bamboorail.Object) (bamboorail.TargetEntry, bool) {
	e, err := h.g.platform.Records.Target(o)
	if err != nil {
		h.g.log.Warn("failed to decode target entry", "key", o.Key, "revision", o.Version, "error", err)
		return bamboorail.TargetEntry{}, false
	}
	return e, true
}

// releaseHandler records the newest versions of adapters.
type releaseHandler struct{ g *Gateway }

// Replace records all releases that were listed after a gap in the store's
// history. Their age is not known, so the versions before them are no longer
// used.
func (h *releaseHandler) Replace(objects []bamboorail.Object, _ bool) {
	for _, o := range objects {
		h.record(o, time.Time{})
	}
	h.g.fleet.MarkReleasesSynced()
}

// Update records a release at the time at which it is made.
func (h *releaseHandler) Update(o bamboorail.Object) { h.record(o, time.Now()) }

func (h *releaseHandler) record(o bamboorail.Object, learnedAt time.Time) {
	if o.Deleted {
		return
	}
	r, err := h.g.platform.Records.Release(o)
	if err != nil {
		h.g.log.Warn("failed to decode adapter release", "key", o.Key, "revision", o.Version, "error", err)
		return
	}
	h.g.fleet.AddRelease(r, learnedAt)
	h.g.log.Info("adapter release recorded", "model", r.Key.Model, "adapter", r.Key.Adapter, "version", r.Version, "revision", o.Version)
}
