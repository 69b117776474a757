package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bamboorail.example/bamboorail/internal/duty"
)

const (
	// maxHeaderBytes, headerTimeout and idleTimeout are at least the limits
	// that operators set (page PROTOCOL, example configuration).
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
)

// httpPort is an HTTP server on an open port.
type httpPort struct {
	listener net.Listener
	server   *http.Server
}

func openHTTP(ctx context.Context, address string) (*httpPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &httpPort{listener: l, server: &http.Server{
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}, nil
}

// serve answers requests until ctx ends or the server is shut down.
func (p *httpPort) serve(ctx context.Context) error {
	closed := duty.Start(ctx, "close", func(ctx context.Context) error {
		<-ctx.Done()
		return p.server.Close()
	})
	err := p.server.Serve(p.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return <-closed.Done()
	}
	return err
}

// handle connects the ports to their handlers.
func (g *Gateway) handle() {
	g.ports.caller.server.Handler = g.relay
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+g.adapter.Ingress.ReadyPath(), g.serveReadiness)
	g.ports.readiness.server.Handler = ready
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(g.metrics.Registry(), promhttp.HandlerOpts{}))
	g.ports.metrics.server.Handler = metrics
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
