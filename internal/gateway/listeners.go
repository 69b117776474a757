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
	metrics.HandleFunc("GET /v1/traces/{id}", g.serveTrace)
	g.ports.metrics.Handle(metrics)
}

// serveTrace answers with the hops of a request that this instance recorded,
// in the form of the interface to operators.
func (g *Gateway) serveTrace(w http.ResponseWriter, r *http.Request) {
	t := operatorapi.Trace{RequestID: r.PathValue("id")}
	for _, s := range g.spans.Find("", t.RequestID) {
		t.TraceID = s.TraceID
		t.Spans = append(t.Spans, operatorapi.Span(s))
	}
	if len(t.Spans) == 0 {
		http.Error(w, "this instance recorded no such request", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(t); err != nil {
		g.log.Debug("trace not delivered", "error", err)
	}
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
