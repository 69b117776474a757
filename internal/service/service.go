// Package service assembles the parts of an instance and runs them.
package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/application"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/entry"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/ownership"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/telemetry"
	"bamboorail.example/bamboorail/internal/tlsconf"
	"bamboorail.example/bamboorail/internal/weightstore"
)

const (
	targetDialTimeout  = 2 * time.Second
	idlePerTarget      = 256
	idleConnTimeout    = 90 * time.Second
	platformIdleConns  = 16
	headerReadTimeout  = 10 * time.Second
	maxHeaderBytes     = 64 << 10
	shutdownGraceExtra = 5 * time.Second
)

// Instance is one running railentry.
type Instance struct {
	settings settings.Entry
	logs     *logflags.Logs
	log      hclog.Logger

	store     bamboorail.ObjectStore
	directory *membership.Directory
	manager   *ownership.Manager
	router    *entry.Router
	peers     *peer.Client
	holder    *weightstore.Holder
	writer    *platform.Writer
	sessions  *platform.SessionRenewer
	metrics   *telemetry.Metrics
	spans     *telemetry.SpanStore
	tracer    trace.Tracer

	engineTransport      http.RoundTripper
	applicationTransport *http.Transport

	ports   *listeners
	config  *configuration
	leaving atomic.Bool
	beats   *heartbeats
}

// New returns an instance whose ports are open, but that does not run yet.
func New(ctx context.Context, s settings.Entry, logs *logflags.Logs) (*Instance, error) {
	i := &Instance{settings: s, logs: logs, log: logs.Layer("service")}
	var err error
	if i.ports, err = openPorts(ctx, s); err != nil {
		return nil, err
	}
	if s.PeerAnnounce == "" {
		s.PeerAnnounce = i.ports.peer.Addr().String()
	}
	self := platform.Session{
		ID: uuid.NewString(), Instance: s.Instance, Zone: s.Zone, Region: s.Region, Peer: s.PeerAnnounce, Caller: s.CallerAddress,
	}
	if err := i.connect(self); err != nil {
		return nil, err
	}
	i.holder = weightstore.NewHolder(s.MaxConcurrentLoads)
	i.metrics = telemetry.NewMetrics()
	i.spans = telemetry.NewSpanStore(s.Instance, s.TraceCapacity)
	i.tracer = telemetry.NewTracer(i.spans)
	i.config = newConfiguration(i)
	i.assemble(self, &factory{i}, i.peers)
	i.handle()
	return i, nil
}

// peers calls other instances.
type peers interface {
	entry.Peers
	beatPeers
}

// assemble connects membership, ownership and routing.
func (i *Instance) assemble(self platform.Session, f ownership.Factory, p peers) {
	i.directory = membership.NewDirectory(self)
	i.beats = newHeartbeats(i, p)
	i.manager = ownership.NewManager(ownership.Config{
		Store: i.store, Directory: i.directory, Factory: f, OnChange: i.beats.now, Log: i.logs.Layer("ownership"),
	})
	i.router = entry.NewRouter(entry.Config{
		Directory: i.directory, View: i.config.View, Owners: &owners{i}, Peers: p, OnPeerRefused: i.peerGone, Tracer: i.tracer,
	})
}

// connect builds the clients of the platform, of peers and of targets.
func (i *Instance) connect(self platform.Session) error {
	platformTLS, err := tlsconf.Client(i.settings.PlatformTLS)
	if err != nil {
		return err
	}
	peerTLS, err := tlsconf.Client(i.settings.PeerTLS)
	if err != nil {
		return err
	}
	targetTLS, err := tlsconf.Client(i.settings.TargetTLS)
	if err != nil {
		return err
	}
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	i.store = platform.NewClient(i.settings.PlatformURL, &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: platformTLS, MaxIdleConnsPerHost: platformIdleConns, IdleConnTimeout: idleConnTimeout,
	})
	i.writer = platform.NewWriter(i.store)
	i.sessions = platform.NewSessionRenewer(i.store, self)
	i.peers = peer.NewClient(peerTLS)
	engines := &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: targetTLS, MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
	i.engineTransport = engines
	i.applicationTransport = application.Transport(engines)
	return nil
}

// CallerAddress returns the address on which callers are served.
func (i *Instance) CallerAddress() string { return i.ports.caller.Address() }

// OperatorAddress returns the address on which operators are served.
func (i *Instance) OperatorAddress() string { return i.ports.operator.Address() }

// PeerAddress returns the address on which peers are served.
func (i *Instance) PeerAddress() string { return i.ports.peer.Addr().String() }

// Run serves until stop ends, then shuts down gracefully. The end of ctx ends
// all work at once.
func (i *Instance) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := duty.NewGroup(ctx)
	g.Start("peers", func(ctx context.Context) error {
		return peer.Serve(ctx, i.ports.peer, &peerHandler{i}, i.logs.Layer("peer"))
	})
	g.Start("callers", i.ports.caller.Serve)
	g.Start("operators", i.ports.operator.Serve)
	g.Start("metrics", i.ports.metrics.Serve)
	g.Start("session", i.keepSession)
	g.Start("listing", i.listSessions)
	g.Start("watch", i.watch)
	g.Start("poll", i.config.poll)
	g.Start("heartbeats", i.beats.run)
	g.Start("targets", i.refreshTargets)
	g.Start("ownership", i.manager.Run)
	g.Start("shutdown", func(ctx context.Context) error {
		select {
		case <-stop.Done():
		case <-ctx.Done():
			return ctx.Err()
		}
		defer cancel()
		return i.shutdown(ctx)
	})
	i.log.Info("instance runs", "instance", i.settings.Instance, "zone", i.settings.Zone, "session", i.directory.Self().ID)
	err := g.Wait()
	return errors.Join(err, i.peers.Close())
}

// shutdown tells the balancer first, hands over what is owned, and waits for
// the requests in flight. The duties, peer listener included, end after it.
func (i *Instance) shutdown(ctx context.Context) error {
	i.log.Info("instance leaves")
	i.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, i.settings.DrainTimeout)
	defer cancel()
	if err := i.sessions.Renew(ctx, true); err != nil {
		i.log.Warn("session not marked as leaving", "error", err)
	}
	i.beats.now()
	if err := duty.Sleep(ctx, i.settings.ReadinessDelay); err != nil {
		i.log.Warn("drain timeout is shorter than the readiness delay", "readiness-delay", i.settings.ReadinessDelay.String())
	}
	if err := i.manager.Leave(ctx); err != nil {
		i.log.Error("requests still run at the drain timeout", "error", err)
	}
	if err := i.ports.caller.Drain(ctx); err != nil {
		i.log.Warn("requests of callers still run at the drain timeout", "error", err)
	}
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), shutdownGraceExtra)
	defer cancel()
	if err := i.sessions.Withdraw(ctx); err != nil {
		i.log.Warn("session not withdrawn", "error", err)
	}
	i.log.Info("instance left")
	return nil
}

var errLeaving = errors.New("the instance is shutting down")

// Ready returns why the instance should get no new requests, or nil.
func (i *Instance) Ready() error {
	if i.leaving.Load() {
		return errLeaving
	}
	if !i.config.known() {
		return fmt.Errorf("no configuration: platform %s does not answer and no peer has one", i.settings.PlatformURL)
	}
	return nil
}
