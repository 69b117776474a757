// Package gateway assembles an instance on a platform that keeps routes,
// targets and releases itself, and whose engines take orders. Every instance
// serves callers; one a zone places adapters.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/informer"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/mirror"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/placer"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// leaseKind is the kind of the lease objects.
	leaseKind = "order-leases"
	// renewInterval and leaseTerm leave two renewals to fail.
	renewInterval = time.Second
	leaseTerm     = 3 * time.Second
	// configurationPace, targetPace and releasePace are pauses after a change,
	// well below the 2 s (bounds config_apply_ms, drain_ms) and 5 s
	// (version_ms) in which a change is in force.
	configurationPace = 300 * time.Millisecond
	targetPace        = 900 * time.Millisecond
	releasePace       = time.Second
	// watchWait bounds the time for which a gap in the history of the store, or
	// the loss of a watch, goes unnoticed. With the time that a client waits for
	// an answer (1.5 s) it stays below the 3 s after a disturbance of the store in
	// which a change may still be late (bound contact_ms).
	watchWait = time.Second
	// returnGrace is the time in which targets register again after an outage
	// of the store (page PROTOCOL: about two seconds).
	returnGrace    = 2 * time.Second
	expireInterval = 500 * time.Millisecond
	// unknownInstances is assumed of a zone whose instances were not counted.
	unknownInstances = 8
	// retryRatioShare and retrySlackShare leave a part of the common retry
	// budget for the time in which the count of instances is old.
	retryRatioShare = 0.8
	retrySlackShare = 0.9
	// oldVersionPercent of the time in which a new adapter version must be in
	// use, the previous one is used; a call may wait in an engine's queue for
	// some seconds before it begins.
	oldVersionPercent = 30
	// fetchesPerEngine is the number of adapters on their way from the weight
	// store that it carries at full speed for each engine (page LATER: 48 and 64
	// for 140 engines).
	fetchesPerEngine = 0.33
	// traceCapacity is the number of hops kept, about 0.5 KB each: a small part
	// of the 64 MB that an instance may use.
	traceCapacity = 4096
	// memoryShare is the part of the memory limit at which the collector works
	// harder.
	memoryShare = 0.7
	// storeIdleConns and storeIdleTimeout keep the few connections to the store.
	storeIdleConns = 8
	// holderShare is the part of a core with which an instance holds a zone as
	// well as any (page SYSTEM: the instances of the small sites).
	holderShare = 0.4
	// longestDeference is long enough for a larger instance to find a lease free,
	// which looks every 0.75 to 2.25 s.
	longestDeference = 2 * time.Second
	storeIdleTimeout = 30 * time.Second
)

// Platform is what a platform provides.
type Platform struct {
	Store   Store
	Records bamboorail.RecordDecoder
	Ingress bamboorail.Ingress
	Egress  bamboorail.Egress
	Engines bamboorail.EngineController
	// ConfigurationKind, TargetKind and ReleaseKind are the kinds of objects
	// that operators and targets write; ConfigurationKey is the object in force.
	ConfigurationKind, TargetKind, ReleaseKind string
	ConfigurationKey                           string
}

// Store is the object store of a platform.
type Store interface {
	bamboorail.ObjectStore
	bamboorail.StaleLister
	// SetBaseURL directs further calls to the store at base, an http URL.
	SetBaseURL(base string)
}

// Gateway is one running instance.
type Gateway struct {
	settings settings.Gateway
	adapter  Platform
	logs     *logflags.Logs
	log      hclog.Logger

	fleet    *fleet.Fleet
	balancer *balance.Balancer
	relay    *relay.Handler
	chooser  *placer.Chooser
	holders  []placer.ZoneHolder
	elector  *lease.Elector
	peers    *peer.Client
	gap      *informer.ResyncSignal
	mirror   *mirror.Store
	metrics  *telemetry.Metrics
	spans    *telemetry.SpanStore
	ports    *ports

	// reloaded are the settings in force; settings those of the start.
	reloaded atomic.Pointer[settings.Gateway]
	// started is the time of the start of this process.
	started time.Time
	table   atomic.Pointer[route.Table]
	leaving atomic.Bool

	mu      sync.Mutex
	budgets map[string]*retry.WindowBudget
}

// NewTransport returns the transport for calls to the platform and orders to
// engines.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext: relay.NewDialer().DialContext, MaxIdleConnsPerHost: storeIdleConns,
		IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
	}
}

// New returns a gateway whose ports are open, but that does not run yet.
func New(ctx context.Context, s settings.Gateway, a Platform, logs *logflags.Logs) (*Gateway, error) {
	g := &Gateway{
		settings: s, adapter: a, logs: logs, log: logs.Layer("gateway"), started: time.Now(),
		fleet: fleet.New(returnGrace), balancer: balance.New(s.Zone), peers: peer.NewClient(nil), gap: informer.NewResyncSignal(),
		metrics: telemetry.NewMetrics(), spans: telemetry.NewSpanStore(s.Instance, traceCapacity), budgets: map[string]*retry.WindowBudget{},
	}
	g.reloaded.Store(&s)
	setMemoryLimit(s)
	var err error
	if g.ports, err = openPorts(ctx, s); err != nil {
		return nil, err
	}
	g.assemble()
	g.handle()
	return g, nil
}

func (g *Gateway) assemble() {
	s := g.settings
	tracer := telemetry.NewTracer(g.spans)
	timing := lease.Timing{RenewInterval: renewInterval, Term: leaseTerm, Gap: s.LeaseGap}
	zones := slices.Clone(s.Zones)
	own := slices.Index(zones, s.Zone)
	// The own zone comes first; the others follow in a turn of the list, so
	// that zones spread what they cannot serve.
	zones = append(zones[own:], zones[:own]...)
	candidates := make([]lease.Candidate, 0, len(zones))
	for _, zone := range zones {
		l := lease.New(lease.Config{
			Key: leaseKind + "/" + zone, Holder: s.Instance, Address: s.PeerAddress, Timing: timing,
			Store: g.adapter.Store, Clock: lease.BootTime, Log: g.logs.Layer("lease"),
		})
		candidates = append(candidates, lease.Candidate{Lease: l, CrossZone: zone != s.Zone, ClaimDelay: deference(s.ProcessorShare)})
		h := placer.NewHolder(placer.HolderConfig{
			Zone: zone, Instance: s.Instance, Lease: l, Fleet: g.fleet, Table: g.table.Load, Engines: g.adapter.Engines,
			Tuning: g.tuning(), FetchShare: g.fetchShare, ModelLoadInterval: g.modelLoadGap, Metrics: g.metrics,
			Log: g.logs.Layer("placer"),
		})
		g.holders = append(g.holders, placer.ZoneHolder{Zone: zone, Local: h, Lease: l})
	}
	g.mirror = mirror.NewStore(g.adapter.Store, s.Instance, s.Zone, g.holders[0].Lease, g.peers, g.targetDigest, g.logs.Layer("mirror"))
	g.elector = lease.NewElector(leaseKind, g.adapter.Store, candidates, timing, lease.BootTime, g.logs.Layer("lease"))
	g.chooser = placer.NewChooser(placer.ChooserConfig{
		Instance: s.Instance, Zones: g.holders, Peers: g.peers, Fleet: g.fleet, Balancer: g.balancer,
		Tracer: tracer, PollLease: g.elector.PollNow, Log: g.logs.Layer("placer"),
	})
	g.relay = relay.NewHandler(relay.Config{
		Ingress: g.adapter.Ingress, Egress: g.adapter.Egress, Table: g.table.Load, Chooser: g.chooser, Budget: g.budget,
		Dialer: relay.NewDialer(), Metrics: g.metrics, Tracer: tracer, ShuttingDown: g.leaving.Load, Log: g.logs.Layer("relay"),
	})
}

// deference returns the time for which an instance leaves a free lease to those
// with more processor time.
func deference(share float64) time.Duration {
	return time.Duration(max(1-share/holderShare, 0) * float64(longestDeference))
}

// tuning returns the costs of the planner. Times are those of the users'
// sheets (page SYSTEM); CallTime is the mean over calls of 17 to 43 events with
// 42 ms each (page LATER).
func (g *Gateway) tuning() adapters.Tuning {
	return adapters.Tuning{
		FetchTime: 270 * time.Millisecond, ReloadTime: 30 * time.Millisecond, MinFetchLimit: g.settings.AdapterLoads / len(g.settings.Zones),
		FetchesPerEngine: fetchesPerEngine, ReplicaDemand: 8,
		MaxLoadsPerEngine: 4, CallCost: 3 * time.Millisecond, CallTime: 1400 * time.Millisecond, RankCost: 15 * time.Millisecond, MinIdleTime: 50 * time.Millisecond,
		CachedAdapters: 126, OldVersionGrace: g.settings.ReleaseTimeout * oldVersionPercent / 100, SuspectPeriod: time.Second, DemandHalfLife: 20 * time.Second,
	}
}

// fetchShare divides the fetches of the weight store among the zones whose
// holder is alive; the others fetch nothing.
func (g *Gateway) fetchShare() int {
	alive := 0
	for _, z := range g.holders {
		if z.Lease.Alive() {
			alive++
		}
	}
	alive = max(alive, 1)
	return (g.settings.AdapterLoads + alive - 1) / alive
}

// modelLoadGap spreads the rate of the weight store over the zones.
func (g *Gateway) modelLoadGap() time.Duration {
	rate := 1.0
	if t := g.table.Load(); t != nil {
		for _, s := range t.Services() {
			if s.Engine && s.LoadsPerSecond > 0 {
				rate = s.LoadsPerSecond
			}
		}
	}
	return time.Duration(float64(len(g.settings.Zones)) / rate * float64(time.Second))
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *retry.WindowBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.budgets[service]
	if w == nil {
		s := g.reloaded.Load()
		w = retry.NewWindowBudget(s.RetryRatio*retryRatioShare, g.retrySlack(s.RetrySlack), s.RetryWindow)
		g.budgets[service] = w
	}
	return w
}

// retrySlack returns this instance's share of the constant part of the retry
// budget. There is none in the first window after the start: the instance knows
// neither what an earlier process spent in it nor how many others there are.
func (g *Gateway) retrySlack(all float64) float64 {
	if time.Since(g.started) < g.settings.RetryWindow {
		return 0
	}
	instances := g.mirror.ZoneSize()
	if instances == 0 {
		instances = unknownInstances
	}
	return all * retrySlackShare / float64(instances*len(g.settings.Zones))
}

// Run serves until stop ends, then shuts down gracefully. The end of ctx ends
// all work at once.
func (g *Gateway) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := duty.NewGroup(ctx)
	d.Start("peers", func(ctx context.Context) error {
		return peer.ServePlacer(ctx, g.ports.peer, placer.NewServer(g.holders, g.fleet, g.mirror), g.logs.Layer("peer"))
	})
	d.Start("readiness", g.ports.readiness.Serve)
	d.Start("callers", g.ports.caller.Serve)
	d.Start("metrics", g.ports.metrics.Serve)
	for name, i := range g.informers() {
		d.Start(name, i.Run)
	}
	d.Start("leases", g.elector.Run)
	d.Start("settle", g.chooser.Run)
	d.Start("pulse", g.pulse)
	d.Start("expiry", func(ctx context.Context) error { return duty.Every(ctx, expireInterval, g.expire) })
	for _, z := range g.holders {
		d.Start("placer "+z.Zone, z.Local.Run)
	}
	d.Start("shutdown", func(ctx context.Context) error {
		select {
		case <-stop.Done():
		case <-ctx.Done():
			return ctx.Err()
		}
		defer cancel()
		return g.shutdown(ctx)
	})
	g.log.Info("instance runs", "instance", g.settings.Instance, "zone", g.settings.Zone, "version", bamboorail.Version)
	err := d.Wait()
	g.log.Info("instance ends", "error", errorText(err))
	return errors.Join(err, g.peers.Close())
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// informers returns what follows the store, by what it follows.
func (g *Gateway) informers() map[string]*informer.Informer {
	return map[string]*informer.Informer{
		"configuration": g.informer(g.adapter.ConfigurationKind, configurationPace, &configurationHandler{g}),
		"targets":       g.informer(g.adapter.TargetKind, targetPace, &targetHandler{g}),
		"releases":      g.informer(g.adapter.ReleaseKind, releasePace, &releaseHandler{g}),
	}
}

func (g *Gateway) informer(kind string, pace time.Duration, h informer.Handler) *informer.Informer {
	return informer.New(informer.Config{
		Store: g.mirror, Kind: kind, BatchDelay: pace, WatchTimeout: watchWait, Resync: g.gap, Handler: h, Log: g.logs.Layer("informer"),
	})
}

// expire forgets targets that stayed away and what was kept for them.
func (g *Gateway) expire(context.Context) {
	g.fleet.Expire(time.Now())
	live := func(id bamboorail.TargetID) bool {
		e, ok := g.fleet.Target(id.Name)
		return ok && e.ID == id
	}
	g.balancer.Retain(live)
	g.relay.Retain(live)
	slack := g.retrySlack(g.reloaded.Load().RetrySlack)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.budgets {
		w.SetSlack(slack)
	}
}

const (
	// balancerNotice is the time in which the platform's balancer, which asks
	// once a second and takes two misses, sends no more connections.
	balancerNotice = 2500 * time.Millisecond
	// exitMargin is left of the drain timeout for the end of the process.
	exitMargin = 400 * time.Millisecond
	// releaseTime, a part of exitMargin, bounds the release of the leases; a calm
	// store answers in 4 ms. A lease that is not released lapses.
	releaseTime = 150 * time.Millisecond
)

// shutdown tells the balancer first, waits for the calls in flight, and gives
// the leases up. Callers with open connections are answered meanwhile, and told
// to close them; an idle connection that was closed at once would cut off the
// request that is on its way. A holder places calls until then: its successor
// may do so only after the gap, unless it is the next process of this instance.
func (g *Gateway) shutdown(ctx context.Context) error {
	timeout := g.reloaded.Load().DrainTimeout
	g.log.Info("instance leaves", "drain-timeout", timeout.String())
	g.leaving.Store(true)
	g.elector.StopClaiming()
	draining, cancel := context.WithTimeout(ctx, timeout-exitMargin)
	defer cancel()
	if err := duty.Sleep(draining, balancerNotice); err != nil {
		g.log.Warn("drain timeout is shorter than the notice to the balancer", "notice", balancerNotice.String())
	}
	if err := g.ports.caller.Drain(draining); err != nil {
		g.log.Warn("calls still run at the drain timeout", "error", err)
	}
	releasing, cancelRelease := context.WithTimeout(ctx, releaseTime)
	defer cancelRelease()
	g.elector.Release(releasing)
	g.log.Info("instance left")
	return nil
}
