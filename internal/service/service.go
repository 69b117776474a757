// Package service assembles and runs the components of an instance.
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
	"bamboorail.example/bamboorail/internal/entry"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/ownership"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
	"bamboorail.example/bamboorail/internal/tlsconf"
	"bamboorail.example/bamboorail/internal/weightstore"
)

const (
	targetDialTimeout  = 2 * time.Second
	idleConnsPerTarget = 256
	idleConnTimeout    = 90 * time.Second
	platformIdleConns  = 16
	headerReadTimeout  = 10 * time.Second
	maxHeaderBytes     = 64 << 10
	withdrawTimeout    = 5 * time.Second
)

// Instance is one railentry process.
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

	engineTransport    http.RoundTripper
	singleUseTransport *httpport.Transport

	ports      *listeners
	config     *configuration
	leaving    atomic.Bool
	heartbeats *heartbeatSender
}

// New returns an instance with open ports. Run starts it.
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
	i.metrics = telemetry.NewMetrics()
	if err := i.connect(self); err != nil {
		return nil, err
	}
	i.holder = weightstore.NewHolder(s.MaxConcurrentLoads)
	i.spans = telemetry.NewSpanStore(s.Instance, s.TraceCapacity)
	i.tracer = telemetry.NewTracer(i.spans)
	i.config = newConfiguration(i)
	i.assemble(self, &factory{i}, i.peers)
	i.registerHandlers()
	return i, nil
}

// peers is the client of other instances.
type peers interface {
	entry.Peers
	heartbeatClient
}

// assemble creates the components for membership, ownership and routing.
func (i *Instance) assemble(self platform.Session, f ownership.Factory, p peers) {
	i.directory = membership.NewDirectory(self)
	i.heartbeats = newHeartbeatSender(i, p)
	i.manager = ownership.NewManager(ownership.Config{
		Store: i.store, Directory: i.directory, Factory: f, OnChange: i.heartbeats.sendNow, Log: i.logs.Layer("ownership"),
	})
	i.router = entry.NewRouter(entry.Config{
		Directory: i.directory, View: i.config.View, Owners: &owners{i}, Peers: p, OnPeerRefused: i.markPeerGone, Tracer: i.tracer,
	})
}

// connect creates the clients of the platform, of peers and of targets.
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
	i.store = platform.NewClient(i.settings.PlatformURL, httpport.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: platformTLS, MaxIdleConnsPerHost: platformIdleConns, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: httpport.MaxResponseHeaderBytes,
	}, i.recordRejection("platform")))
	i.writer = platform.NewWriter(i.store)
	i.sessions = platform.NewSessionRenewer(i.store, self)
	i.peers = peer.NewClient(peerTLS)
	engines := &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: targetTLS, MaxIdleConnsPerHost: idleConnsPerTarget,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: httpport.MaxResponseHeaderBytes,
	}
	i.singleUseTransport = application.Transport(engines, i.recordRejection("target"))
	i.engineTransport = httpport.NewTransport(engines, i.recordRejection("target"))
	return nil
}

// recordRejection returns the function that logs and counts rejected answers of a kind of
// peer.
func (i *Instance) recordRejection(from string) func(httpport.Rejection) {
	return func(r httpport.Rejection) {
		i.metrics.AnswerRejected(from, string(r.Err.Reason))
		i.log.Warn("answer rejected", "from", from, "address", r.Address, "reason", string(r.Err.Reason), "error", r.Err.Err)
	}
}

// CallerAddress returns the address on which callers are served.
func (i *Instance) CallerAddress() string { return i.ports.caller.Address() }

// OperatorAddress returns the address on which operators are served.
func (i *Instance) OperatorAddress() string { return i.ports.operator.Address() }

// PeerAddress returns the address on which peers are served.
func (i *Instance) PeerAddress() string { return i.ports.peer.Addr().String() }

// Run serves until stop is canceled, then shuts down gracefully. The cancellation
// of ctx ends all work immediately.
func (i *Instance) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := task.NewGroup(ctx)
	g.Start("peers", func(ctx context.Context) error {
		return peer.Serve(ctx, i.ports.peer, &peerHandler{i}, i.logs.Layer("peer"))
	})
	g.Start("callers", i.ports.caller.Serve)
	g.Start("operators", i.ports.operator.Serve)
	g.Start("metrics", i.ports.metrics.Serve)
	g.Start("session", i.renewSession)
	g.Start("listing", i.listSessions)
	g.Start("watch", i.watch)
	g.Start("poll", i.config.poll)
	g.Start("heartbeats", i.heartbeats.run)
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
	i.log.Info("instance started", "instance", i.settings.Instance, "zone", i.settings.Zone, "session", i.directory.Self().ID)
	err := g.Wait()
	return errors.Join(err, i.peers.Close())
}

// shutdown first becomes unready for the load balancer, then releases the owned
// targets and waits for the requests in flight. The other tasks, including the
// peer listener, end after it.
func (i *Instance) shutdown(ctx context.Context) error {
	i.log.Info("instance leaves")
	i.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, i.settings.DrainTimeout)
	defer cancel()
	if err := i.sessions.Renew(ctx, true); err != nil {
		i.log.Warn("failed to mark session as leaving", "error", err)
	}
	i.heartbeats.sendNow()
	if err := task.Sleep(ctx, i.settings.ReadinessDelay); err != nil {
		i.log.Warn("drain timeout is shorter than the readiness delay", "readiness-delay", i.settings.ReadinessDelay.String())
	}
	if err := i.manager.Leave(ctx); err != nil {
		i.log.Error("drain timeout expired with requests still running on owned targets", "error", err)
	}
	if err := i.ports.caller.Drain(ctx); err != nil {
		i.log.Warn("drain timeout expired with caller requests still running", "error", err)
	}
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	if err := i.sessions.Withdraw(ctx); err != nil {
		i.log.Warn("failed to withdraw session", "error", err)
	}
	i.log.Info("instance stopped")
	return nil
}

var errLeaving = errors.New("the instance is shutting down")

// Ready returns nil if the instance accepts new requests, and otherwise the
// reason why it does not.
func (i *Instance) Ready() error {
	if i.leaving.Load() {
		return errLeaving
	}
	if !i.config.loaded() {
		return fmt.Errorf("no configuration: platform %s does not answer and no peer provides one", i.settings.PlatformURL)
	}
	return nil
}
