package service

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	firstWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff   = 5 * time.Second
)

// configuration tracks the configuration stored in the platform, and falls back
// to snapshots of peers.
type configuration struct {
	instance        *Instance
	log             hclog.Logger
	view            atomic.Pointer[platform.View]
	platformRead    atomic.Bool
	refreshRequests chan struct{}

	mu     sync.Mutex // serializes the reader
	reader *platform.Reader
}

func newConfiguration(i *Instance) *configuration {
	c := &configuration{instance: i, log: i.logs.Layer("configuration"), refreshRequests: make(chan struct{}, 1)}
	c.reader = platform.NewReader(i.store, c.install)
	c.view.Store(c.reader.Current())
	return c
}

// View returns the active configuration.
func (c *configuration) View() *platform.View { return c.view.Load() }

// loaded reports whether a configuration was read. It may be empty.
func (c *configuration) loaded() bool { return c.platformRead.Load() || c.View().Revision() > 0 }

func (c *configuration) install(v *platform.View, faults []error) {
	c.view.Store(v)
	c.instance.metrics.Configuration(v.Revision(), len(faults))
	for _, err := range faults {
		c.log.Warn("invalid configuration record skipped", "error", err)
	}
	c.log.Info("configuration activated", "revision", v.Revision())
}

// requestRefresh triggers a read of the latest revision without waiting for it.
func (c *configuration) requestRefresh() {
	select {
	case c.refreshRequests <- struct{}{}:
	default:
	}
}

// poll reads the head at regular intervals, in case watch events were lost.
func (c *configuration) poll(ctx context.Context) error {
	t := time.NewTicker(platform.PollInterval)
	defer t.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-c.refreshRequests:
		}
	}
}

func (c *configuration) refresh(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.reader.Refresh(ctx)
	if err == nil {
		c.platformRead.Store(true)
		return
	}
	c.log.Debug("failed to read configuration from platform", "error", err)
	c.refreshFromPeers(ctx)
}

// refreshFromPeers loads a newer configuration from a peer while the platform is
// unavailable.
func (c *configuration) refreshFromPeers(ctx context.Context) {
	for _, address := range c.instance.snapshotSources(c.View().Revision()) {
		data, err := c.instance.peers.Snapshot(ctx, address, c.View().Revision())
		if err != nil || len(data) == 0 {
			continue
		}
		if err := c.reader.ApplySnapshot(data); err != nil {
			c.log.Warn("failed to apply configuration snapshot", "peer", address, "error", err)
			continue
		}
		return
	}
}

func (c *configuration) applyEvent(ctx context.Context, o bamboorail.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.reader.ApplyEvent(ctx, o); err != nil {
		c.log.Warn("failed to apply configuration event", "error", err)
		c.requestRefresh()
	}
}

// watch follows changes of the configuration and of the ledger of this zone.
func (i *Instance) watch(ctx context.Context) error {
	prefixes := []string{platform.HeadKey, platform.LedgerKey(i.settings.Zone)}
	var revision bamboorail.StoreVersion
	for attempt := 0; ctx.Err() == nil; {
		events, err := i.store.Watch(ctx, prefixes, revision, platform.WatchTimeout)
		if err != nil {
			_ = task.Sleep(ctx, retry.Backoff(attempt, firstWatchBackoff, maxWatchBackoff))
			attempt++
			continue
		}
		attempt = 0
		i.applyEvents(ctx, events)
		revision = events.Revision
	}
	return ctx.Err()
}

func (i *Instance) applyEvents(ctx context.Context, events bamboorail.Events) {
	if events.Reset {
		i.config.requestRefresh()
	}
	for _, o := range events.Objects {
		if o.Key == platform.HeadKey {
			i.config.applyEvent(ctx, o)
			continue
		}
		i.manager.ApplyEvent(o)
	}
}
