package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/settings"
)

const (
	// maxHeaderBytes, headerTimeout and idleTimeout are at least the limits
	// that operators set (page PROTOCOL, example configuration).
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
)

// portLimits bound what callers may send.
var portLimits = httpport.Limits{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}

// ports are the open ports of a gateway.
type ports struct {
	peer                       net.Listener
	caller, readiness, metrics *httpport.Port
}

// openPorts opens every port before the instance runs.
func openPorts(ctx context.Context, s settings.Gateway) (*ports, error) {
	p, none := &ports{}, settings.TLS{}
	var err, failure error
	p.peer, err = httpport.Listen(ctx, s.PeerAddress, none)
	failure = errors.Join(failure, err)
	p.caller, err = httpport.Open(ctx, s.CallerAddress, none, portLimits)
	failure = errors.Join(failure, err)
	p.readiness, err = httpport.Open(ctx, s.ReadinessAddress, none, portLimits)
	failure = errors.Join(failure, err)
	p.metrics, err = httpport.Open(ctx, s.MetricsAddress, none, portLimits)
	return p, errors.Join(failure, err)
}

// handle connects the ports to their handlers.
func (g *Gateway) handle() {
	g.ports.caller.Handle(g.relay)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+g.adapter.Ingress.ReadyPath(), g.serveReadiness)
	g.ports.readiness.Handle(ready)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(g.metrics.Registry(), promhttp.HandlerOpts{}))
	g.ports.metrics.Handle(metrics)
}

// Ready returns why the instance should get no new calls, or nil.
func (g *Gateway) Ready() error {
	if g.leaving.Load() {
		return errLeaving
	}
	if g.table.Load() == nil {
		return errNoConfiguration
	}
	return nil
}

var (
	errLeaving         = errors.New("the instance is shutting down")
	errNoConfiguration = errors.New("no configuration is known yet")
)

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := g.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	// A prober that left does not need the text.
	_, _ = io.WriteString(w, "ready\n")
}
