package service

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bamboorail.example/bamboorail/internal/caller"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/operator"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/tlsconf"
)

// listeners are the open ports of an instance.
type listeners struct {
	peer                      net.Listener
	caller, operator, metrics *httpListener
}

// httpListener is an HTTP server on an open port.
type httpListener struct {
	listener net.Listener
	server   *http.Server
}

// openPorts opens every port before the instance announces itself.
func openPorts(ctx context.Context, s settings.Entry) (*listeners, error) {
	l := &listeners{}
	var err, failure error
	l.peer, err = openPort(ctx, s.PeerAddress, s.PeerTLS)
	failure = errors.Join(failure, err)
	l.caller, err = openHTTP(ctx, s.CallerAddress, s.CallerTLS)
	failure = errors.Join(failure, err)
	l.operator, err = openHTTP(ctx, s.OperatorAddress, s.OperatorTLS)
	failure = errors.Join(failure, err)
	l.metrics, err = openHTTP(ctx, s.MetricsAddress, s.MetricsTLS)
	return l, errors.Join(failure, err)
}

// handle connects the HTTP ports to their handlers.
func (i *Instance) handle() {
	i.ports.caller.server.Handler = caller.NewServer(caller.Config{
		Zone: i.settings.Zone, View: i.config.View, Dispatcher: i.router, Ready: i.Ready, MaxBody: i.settings.MaxBody,
		Metrics: i.metrics, Tracer: i.tracer, Log: i.logs.Layer("caller"),
	}).Handler()
	i.ports.operator.server.Handler = operator.NewServer(operator.Config{
		TokenSHA256: i.settings.OperatorTokenSHA256, Source: &operatorSource{i}, Writer: i.writer, Log: i.logs.Layer("operator"),
	}).Handler()
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(i.metrics.Registry(), promhttp.HandlerOpts{}))
	i.ports.metrics.server.Handler = metrics
}

func openPort(ctx context.Context, address string, t settings.TLS) (net.Listener, error) {
	config, err := tlsconf.Server(t)
	if err != nil {
		return nil, err
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if config != nil {
		return tls.NewListener(l, config), nil
	}
	return l, nil
}

func openHTTP(ctx context.Context, address string, t settings.TLS) (*httpListener, error) {
	l, err := openPort(ctx, address, t)
	if err != nil {
		return nil, err
	}
	server := &http.Server{ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: maxHeaderBytes}
	return &httpListener{listener: l, server: server}, nil
}

// serve answers requests until ctx ends or drain is called.
func (l *httpListener) serve(ctx context.Context) error {
	closed := duty.Start(ctx, "close", func(ctx context.Context) error {
		<-ctx.Done()
		return l.server.Close()
	})
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return <-closed.Done()
	}
	return err
}

// drain stops accepting requests and waits for those in flight.
func (l *httpListener) drain(ctx context.Context) { _ = l.server.Shutdown(ctx) }
