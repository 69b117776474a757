// Package gateway runs an instance on a platform that stores routes, targets
// and adapter releases itself and whose engines accept load orders. Every
// instance serves callers; in each zone, one instance holds the lease and
// places the adapters.
package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/detour"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/informer"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/mirror"
	"bamboorail.example/bamboorail/internal/origin"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placer"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// leaseKind is the object kind under which leases are stored.
	leaseKind = "order-leases"
	// originKind is the object kind under which the origins of streams are stored.
	originKind = "stream-origins"
	// journalKind is the kind of the unanswered orders of the holders.
	journalKind = "unanswered-orders"
	// renewInterval and leaseTerm allow two renewals in a row to fail before a
	// lease expires.
	renewInterval = time.Second
	leaseTerm     = 3 * time.Second
	// registrationGrace is the time that targets have to register again after
	// an outage of the store (page PROTOCOL: about two seconds).
	registrationGrace = 2 * time.Second
	expireInterval    = 500 * time.Millisecond
	// defaultZoneSize is the number of instances assumed in a zone until they
	// have been counted.
	defaultZoneSize = 8
	// retryRatioShare and retrySlackShare are the parts of the common retry
	// budget that are used. The rest is a reserve for the time in which the
	// known number of instances is out of date.
	retryRatioShare = 0.8
	retrySlackShare = 0.9
	// traceCapacity is the number of spans kept, about 0.5 KB each: a small
	// part of the 64 MB that an instance may use.
	traceCapacity = 4096
	// memoryLimitShare is the part of the memory limit that is set as the soft
	// limit of the garbage collector.
	memoryLimitShare = 0.7
	// bodyMemoryShare is the part of the memory limit for the bodies of calls.
	bodyMemoryShare = 0.4
)

// Platform holds the interfaces and object names that a platform provides.
type Platform struct {
	Store   Store
	Records bamboorail.RecordDecoder
	Ingress bamboorail.Ingress
	Egress  bamboorail.Egress
	Engines bamboorail.EngineController
	// Dialer opens the connections for calls to targets.
	Dialer relay.Dialer
	// Transport is that of Store and Engines, whose rejected answers are logged; it may be
	// nil.
	Transport *httpport.Transport
	// ConfigurationKind, TargetKind and ReleaseKind are the kinds of the
	// objects that operators and targets write; ConfigurationKey is the key of
	// the current configuration.
	ConfigurationKind, TargetKind, ReleaseKind string
	ConfigurationKey                           string
}

// Store is the object store of a platform.
type Store interface {
	bamboorail.RestorableStore
	bamboorail.StaleLister
	// SetBaseURL sends all further requests to the store at base, an HTTP URL.
	SetBaseURL(base string)
}

// Gateway is one running instance.
type Gateway struct {
	initial  settings.Gateway
	platform Platform
	logs     *logflags.Logs
	log      hclog.Logger

	fleet    *fleet.Fleet
	balancer *balance.Balancer
	relay    *relay.Handler
	chooser  *placer.Chooser
	credit   *placer.Credit
	// quarantine and advisories are shared by the chooser and the holders.
	quarantine *placer.Quarantine
	advisories *advisory.Registry
	limits     *placer.Limits
	origins    *origin.Registry
	detour     *detour.Detour
	forwarder  *detour.Server
	holders    []placer.ZoneHolder
	elector    *lease.Elector
	peers      *peer.Client
	resync     *informer.ResyncSignal
	mirror     *mirror.Store
	metrics    *telemetry.Metrics
	spans      *telemetry.SpanStore
	ports      *ports
	// storeCalls is the store of platform, whose calls it counts.
	storeCalls *countedStore
	// configuration follows the operators' configuration.
	configuration *informer.Informer

	// current holds the settings in effect, initial those at startup.
	current      atomic.Pointer[settings.Gateway]
	started      time.Time
	table        atomic.Pointer[route.Table]
	shuttingDown atomic.Bool

	mu      sync.Mutex
	budgets map[string]*retry.WindowBudget
}

// New opens the ports of a gateway and returns it without starting it.
func New(ctx context.Context, s settings.Gateway, p Platform, logs *logflags.Logs) (*Gateway, error) {
	g := &Gateway{
		initial: s, platform: p, logs: logs, log: logs.Layer("gateway"), started: time.Now(),
		fleet: fleet.New(registrationGrace), balancer: balance.New(s.Zone), peers: peer.NewClient(nil), resync: informer.NewResyncSignal(),
		metrics: telemetry.NewMetrics(), spans: telemetry.NewSpanStore(s.Instance, traceCapacity), advisories: advisory.New(),
		budgets: map[string]*retry.WindowBudget{},
	}
	g.current.Store(&s)
	g.storeCalls = newCountedStore(p.Store, g.metrics, logs.Layer("store"))
	g.platform.Store = g.storeCalls
	setMemoryLimit(s)
	var err error
	if g.ports, err = openPorts(ctx, s); err != nil {
		return nil, err
	}
	g.assemble()
	if p.Transport != nil {
		p.Transport.Observe(g.recordRejection)
	}
	if e, ok := p.Engines.(bamboorail.AdvisedController); ok {
		e.OnAdvisory(g.advise)
	}
	g.registerHandlers()
	return g, nil
}

func (g *Gateway) assemble() {
	s := g.initial
	tracer := telemetry.NewTracer(g.spans)
	g.limits = placer.NewLimits(g.advisories, g.fleet, g.metrics, g.logs.Layer("placer"))
	timing := lease.Timing{RenewInterval: renewInterval, Term: leaseTerm, Gap: s.LeaseGap}
	zones := slices.Clone(s.Zones)
	own := slices.Index(zones, s.Zone)
	// The instance's own zone comes first and the others follow in rotated
	// order, so that each zone sends what it cannot serve to a different zone.
	zones = append(zones[own:], zones[:own]...)
	candidates := make([]lease.Candidate, 0, len(zones))
	for _, zone := range zones {
		l := lease.New(lease.Config{
			Key: leaseKind + "/" + zone, Holder: s.Instance, Address: s.PeerAddress, Timing: timing,
			Store: g.platform.Store, Clock: lease.BootTime, Log: g.logs.Layer("lease"),
		})
		candidates = append(candidates, lease.Candidate{Lease: l, CrossZone: zone != s.Zone, ClaimDelay: claimDelay(s.ProcessorShare)})
		h := placer.NewHolder(placer.HolderConfig{
			Zone: zone, Instance: s.Instance, Lease: l, Fleet: g.fleet, Table: g.table.Load, Engines: g.platform.Engines,
			Tuning: g.tuning(), FetchShare: g.fetchShare, ModelLoadInterval: g.modelLoadInterval, Permit: g.permit, Rates: g.advisories, Brittle: g.limits,
			Journal: placer.NewOrderJournal(journalKind, zone, g.platform.Store, g.logs.Layer("placer")),
			Metrics: g.metrics, Log: g.logs.Layer("placer"),
		})
		g.holders = append(g.holders, placer.ZoneHolder{Zone: zone, Local: h, Lease: l})
	}
	g.mirror = mirror.NewStore(g.platform.Store, s.Instance, s.Zone, g.holders[0].Lease, g.peers, g.targetDigest, g.logs.Layer("mirror"))
	for _, z := range g.holders[1:] {
		g.mirror.AddFallback(z.Zone, z.Lease)
	}
	g.mirror.SetLeases(mirror.Leases{Kind: leaseKind, Store: g.platform.Store, Held: g.heldLeases})
	g.elector = lease.NewElector(leaseKind, g.platform.Store, candidates, timing, lease.BootTime, g.logs.Layer("lease"))
	g.elector.SetReader(g.mirror)
	g.quarantine = placer.NewQuarantine(g.metrics, g.logs.Layer("placer"))
	g.chooser = placer.NewChooser(placer.ChooserConfig{
		Instance: s.Instance, Zones: g.holders, Peers: g.peers, Fleet: g.fleet, Balancer: g.balancer,
		Tracer: tracer, PollLease: g.elector.PollNow, Quarantine: g.quarantine, Advisories: g.advisories, Limits: g.limits,
		Instances: g.instances, ShareTargets: g.shareTargets, BeginTimeout: s.ReleaseTimeout * beginPercent / 100, Metrics: g.metrics, Log: g.logs.Layer("placer"),
	})
	g.credit = placer.NewCredit(placer.CreditConfig{
		Instance: s.Instance, Zones: g.holders, Peers: g.peers, Table: g.table.Load, Instances: g.instances, Contacts: g.mirror.Contacts,
		Metrics: g.metrics, Log: g.logs.Layer("quota"),
	})
	g.origins = g.newOrigins()
	g.mirror.SetOnReply(func(zone string, r *wire.FollowReply) {
		g.chooser.Learn(zone, r)
		g.origins.MergeBaselines(r.GetBaselines())
	})
	g.detour = g.newDetour()
	g.mirror.SetReachability(s.PeerAddress, func() bool { return g.shuttingDown.Load() || g.detour.IsPartitioned() })
	g.elector.SetResigned(g.detour.ShouldResign)
	g.configuration = g.informer(g.platform.ConfigurationKind, configurations, &configurationHandler{g})
	g.relay = relay.NewHandler(relay.Config{
		Instance: s.Instance, Detour: g.detour, Quotas: g.credit,
		Ingress: g.platform.Ingress, Egress: g.platform.Egress, Table: g.table.Load, Chooser: g.chooser, Budget: g.budget,
		ConfigurationAge: g.configuration.Age, IdleLimit: g.idleLimit,
		Dialer: g.detour, Metrics: g.metrics, Tracer: tracer, Advise: g.advise, Origins: g.origins, ShuttingDown: g.shuttingDown.Load,
		BodyMemory: int64(float64(s.MaxMemory) * bodyMemoryShare),
		Log:        g.logs.Layer("relay"),
	})
	g.forwarder = detour.NewServer(g.detour, g.relay)
}

// budget returns the retry budget of a service, which it creates on first use.
func (g *Gateway) budget(service string) *retry.WindowBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.budgets[service]
	if w == nil {
		s := g.current.Load()
		w = retry.NewWindowBudget(s.RetryRatio*retryRatioShare, g.retrySlack(s.RetrySlack), s.RetryWindow)
		g.budgets[service] = w
	}
	return w
}

// retrySlack returns this instance's share of the constant part of the retry
// budget. It is 0 during the first window after startup, when the instance
// knows neither what an earlier process spent in that window nor how many other
// instances there are.
func (g *Gateway) retrySlack(total float64) float64 {
	if time.Since(g.started) < g.initial.RetryWindow {
		return 0
	}
	return total * retrySlackShare / float64(g.instances())
}

// instances returns an estimate of the number of instances.
func (g *Gateway) instances() int {
	instances := g.mirror.ZoneSize()
	if instances == 0 {
		instances = defaultZoneSize
	}
	return instances * len(g.initial.Zones)
}

// Run serves until stop is canceled, then shuts down gracefully. Canceling ctx
// ends all work at once.
func (g *Gateway) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks := task.NewGroup(ctx)
	tasks.Start("peers", func(ctx context.Context) error {
		server := placer.NewServer(g.holders, g.fleet, g.mirror, g.origins, g.forwarder, g.quarantine, g.limits)
		server.SetCredit(g.credit)
		return peer.ServePlacer(ctx, g.ports.peer, server, g.logs.Layer("peer"))
	})
	tasks.Start("readiness", g.ports.readiness.Serve)
	tasks.Start("callers", g.ports.caller.Serve)
	tasks.Start("metrics", g.ports.metrics.Serve)
	for name, i := range g.informers() {
		tasks.Start(name, i.Run)
	}
	tasks.Start("leases", g.elector.Run)
	tasks.Start("settle", g.chooser.Run)
	tasks.Start("quotas", g.credit.Run)
	tasks.Start("origins", g.origins.Run)
	tasks.Start("detour", g.detour.Run)
	tasks.Start("store calls", g.storeCalls.run)
	tasks.Start("pulse", g.measureTimerDelay)
	tasks.Start("expiry", func(ctx context.Context) error { return task.Every(ctx, expireInterval, g.expireTargets) })
	for _, z := range g.holders {
		tasks.Start("placer "+z.Zone, z.Local.Run)
	}
	tasks.Start("shutdown", func(ctx context.Context) error {
		select {
		case <-stop.Done():
		case <-ctx.Done():
			return ctx.Err()
		}
		defer cancel()
		return g.shutdown(ctx)
	})
	if loads := g.initial.AdapterLoads; loads > 0 {
		g.log.Info("concurrent adapter loads are set, not learned", "adapter-loads", loads)
	}
	g.log.Info("instance started", "instance", g.initial.Instance, "zone", g.initial.Zone, "version", bamboorail.Version)
	err := tasks.Wait()
	g.log.Info("instance ends", "error", errorText(err))
	return errors.Join(err, g.peers.Close())
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// informers returns the informers of the store's object kinds by task name.
func (g *Gateway) informers() map[string]*informer.Informer {
	if g.configuration == nil {
		g.configuration = g.informer(g.platform.ConfigurationKind, configurations, &configurationHandler{g})
	}
	return map[string]*informer.Informer{
		"configuration": g.configuration,
		"targets":       g.informer(g.platform.TargetKind, targets, &targetHandler{g}),
		"releases":      g.informer(g.platform.ReleaseKind, releases, &releaseHandler{g}),
	}
}

func (g *Gateway) informer(kind string, f followedKind, h informer.Handler) *informer.Informer {
	g.mirror.SetMaxAge(kind, f.maxAge())
	return informer.New(informer.Config{
		Store: g.mirror, Kind: kind, BatchDelay: f.batchDelay, WatchTimeout: f.watchTimeout, PeerAge: f.maxAge(),
		Resync: g.resync, Handler: h, Log: g.logs.Layer("informer"),
	})
}

// expireTargets removes targets that have not registered again and the state
// kept for them, and updates the slack of the retry budgets.
func (g *Gateway) expireTargets(context.Context) {
	g.fleet.Expire(time.Now())
	live := func(id bamboorail.TargetID) bool {
		e, ok := g.fleet.Target(id.Name)
		return ok && e.ID == id
	}
	g.balancer.Retain(live)
	g.relay.Retain(live)
	g.advisories.Expire(live, time.Now())
	g.chooser.Retain(live)
	slack := g.retrySlack(g.current.Load().RetrySlack)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.budgets {
		w.SetSlack(slack)
	}
}

const (
	// balancerDrainDelay is the time after which the platform's load balancer,
	// which probes readiness once a second and removes an instance after two
	// failed probes, opens no more connections to it.
	balancerDrainDelay = 2500 * time.Millisecond
	// exitMargin is the part of the drain timeout that is reserved for the exit
	// of the process.
	exitMargin = 400 * time.Millisecond
	// leaseReleaseTimeout, a part of exitMargin, bounds the release of the
	// leases; a store without load answers in 4 ms. A lease that is not
	// released expires.
	leaseReleaseTimeout = 150 * time.Millisecond
)

// shutdown first fails the readiness probes of the load balancer, then waits
// for the calls in flight and releases the leases. Calls on open connections
// are served meanwhile with a request to close the connection: closing an idle
// connection at once would cut off a request that is already in transit. A
// holder places calls until it releases its lease, since its successor may do
// so only after the lease gap, unless it is the next process of this instance.
func (g *Gateway) shutdown(ctx context.Context) error {
	timeout := g.current.Load().DrainTimeout
	g.log.Info("instance leaves", "drain-timeout", timeout.String())
	g.shuttingDown.Store(true)
	g.elector.StopClaiming()
	g.forwarder.Leave(time.Now().Add(timeout - exitMargin))
	draining, cancel := context.WithTimeout(ctx, timeout-exitMargin)
	defer cancel()
	if err := task.Sleep(draining, balancerDrainDelay); err != nil {
		g.log.Warn("drain timeout is shorter than the time for the load balancer to remove the instance", "notice", balancerDrainDelay.String())
	}
	if err := g.ports.caller.Drain(draining); err != nil {
		g.log.Warn("drain timeout reached with calls still in flight", "error", err)
	}
	if err := g.forwarder.Drain(draining); err != nil {
		g.log.Warn("drain timeout reached with forwarded calls still in flight", "error", err)
	}
	releasing, cancelRelease := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancelRelease()
	g.elector.Release(releasing)
	g.log.Info("instance stopped")
	return nil
}
