package service

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/retry"
)

const (
	firstWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff   = 5 * time.Second
)

// configuration follows the configuration in the platform and at peers.
type configuration struct {
	instance *Instance
	log      hclog.Logger
	view     atomic.Pointer[platform.View]
	answered atomic.Bool
	kicks    chan struct{}

	mu     sync.Mutex // serializes the reader
	reader *platform.Reader
}

func newConfiguration(i *Instance) *configuration {
	c := &configuration{instance: i, log: i.logs.Layer("configuration"), kicks: make(chan struct{}, 1)}
	c.reader = platform.NewReader(i.store, c.install)
	c.view.Store(c.reader.Current())
	return c
}

// View returns the configuration in force.
func (c *configuration) View() *platform.View { return c.view.Load() }

// known reports whether a configuration was read, be it an empty one.
func (c *configuration) known() bool { return c.answered.Load() || c.View().Revision() > 0 }

func (c *configuration) install(v *platform.View, faults []error) {
	c.view.Store(v)
	c.instance.metrics.Configuration(v.Revision(), len(faults))
	for _, err := range faults {
		c.log.Warn("record left out", "error", err)
	}
	c.log.Info("configuration in force", "revision", v.Revision())
}

// kick asks for the newest revision to be read soon.
func (c *configuration) kick() {
	select {
	case c.kicks <- struct{}{}:
	default:
	}
}

// poll reads the head regularly, against lost watch events.
func (c *configuration) poll(ctx context.Context) error {
	t := time.NewTicker(platform.PollInterval)
	defer t.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-c.kicks:
		}
	}
}

func (c *configuration) refresh(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.reader.Refresh(ctx)
	if err == nil {
		c.answered.Store(true)
		return
	}
	c.log.Debug("configuration not read", "error", err)
	c.fromPeers(ctx)
}

// fromPeers takes a newer configuration from a peer while the platform is
// away.
func (c *configuration) fromPeers(ctx context.Context) {
	for _, address := range c.instance.snapshotSources(c.View().Revision()) {
		data, err := c.instance.peers.Snapshot(ctx, address, c.View().Revision())
		if err != nil || len(data) == 0 {
			continue
		}
		if err := c.reader.ApplySnapshot(data); err != nil {
			c.log.Warn("snapshot not usable", "peer", address, "error", err)
			continue
		}
		return
	}
}

func (c *configuration) applyEvent(ctx context.Context, o bamboorail.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.reader.ApplyEvent(ctx, o); err != nil {
		c.log.Warn("configuration event not applied", "error", err)
		c.kick()
	}
}

// watch follows changes of the configuration and of the zone's ledger.
func (i *Instance) watch(ctx context.Context) error {
	prefixes := []string{platform.HeadKey, platform.LedgerKey(i.settings.Zone)}
	var revision uint64
	for attempt := 0; ctx.Err() == nil; {
		events, err := i.store.Watch(ctx, prefixes, revision, platform.WatchTimeout)
		if err != nil {
			_ = duty.Sleep(ctx, retry.Backoff(attempt, firstWatchBackoff, maxWatchBackoff))
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
		i.config.kick()
	}
	for _, o := range events.Objects {
		if o.Key == platform.HeadKey {
			i.config.applyEvent(ctx, o)
			continue
		}
		i.manager.ApplyEvent(o)
	}
}
