package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

const (
	// maxHeaderBytes, headerTimeout and idleTimeout are no stricter than the
	// limits that operators set (page PROTOCOL, example configuration).
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
)

// portLimits limits the size of request headers and the time that callers may
// take.
var portLimits = httpport.Limits{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}

// ports holds the open ports of a gateway.
type ports struct {
	peer                       net.Listener
	caller, readiness, metrics *httpport.Port
}

// openPorts opens all ports before the instance starts and returns the errors
// of all that failed.
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

// registerHandlers sets the HTTP handlers of the ports.
func (g *Gateway) registerHandlers() {
	g.ports.caller.Handle(g.relay)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+g.platform.Ingress.ReadyPath(), g.serveReadiness)
	g.ports.readiness.Handle(ready)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(g.metrics.Registry(), promhttp.HandlerOpts{}))
	metrics.HandleFunc("GET /v1/traces/{id}", g.serveTrace)
	metrics.HandleFunc("GET "+operatorapi.PlacementPath, g.serveExplainPlacement)
	g.ports.metrics.Handle(metrics)
}

// serveTrace returns the spans of a request that this instance recorded, in the
// format of the operator API.
func (g *Gateway) serveTrace(w http.ResponseWriter, r *http.Request) {
	t := operatorapi.Trace{RequestID: r.PathValue("id")}
	for _, s := range g.spans.Find("", t.RequestID) {
		t.TraceID = s.TraceID
		t.Spans = append(t.Spans, operatorapi.Span(s))
	}
	if len(t.Spans) == 0 {
		http.Error(w, "no trace of this request on this instance", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(t); err != nil {
		g.log.Debug("failed to write trace", "error", err)
	}
}

// Ready returns the reason why the instance should get no new calls, or nil.
func (g *Gateway) Ready() error {
	if g.shuttingDown.Load() {
		return errShuttingDown
	}
	if g.table.Load() == nil {
		return errNoConfiguration
	}
	return nil
}

var (
	errShuttingDown    = errors.New("the instance is shutting down")
	errNoConfiguration = errors.New("no configuration received yet")
)

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := g.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	// A write error means that the prober has disconnected.
	_, _ = io.WriteString(w, "ready\n")
}
