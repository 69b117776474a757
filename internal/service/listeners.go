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

// listen opens every port before the instance announces itself.
func (i *Instance) listen(ctx context.Context) (*listeners, error) {
	callers := caller.NewServer(caller.Config{
		Zone: i.settings.Zone, View: i.config.View, Dispatcher: i.router, Ready: i.Ready, MaxBody: i.settings.MaxBody,
		Metrics: i.metrics, Tracer: i.tracer, Log: i.logs.Layer("caller"),
	})
	operators := operator.NewServer(operator.Config{
		TokenSHA256: i.settings.OperatorTokenSHA256, Source: &operatorSource{i}, Writer: i.writer, Log: i.logs.Layer("operator"),
	})
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(i.metrics.Registry(), promhttp.HandlerOpts{}))
	l := &listeners{}
	var err, failure error
	l.peer, err = openPort(ctx, i.settings.PeerAddress, i.settings.PeerTLS)
	failure = errors.Join(failure, err)
	l.caller, err = openHTTP(ctx, i.settings.CallerAddress, i.settings.CallerTLS, callers.Handler())
	failure = errors.Join(failure, err)
	l.operator, err = openHTTP(ctx, i.settings.OperatorAddress, i.settings.OperatorTLS, operators.Handler())
	failure = errors.Join(failure, err)
	l.metrics, err = openHTTP(ctx, i.settings.MetricsAddress, i.settings.MetricsTLS, metrics)
	return l, errors.Join(failure, err)
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

func openHTTP(ctx context.Context, address string, t settings.TLS, h http.Handler) (*httpListener, error) {
	l, err := openPort(ctx, address, t)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: maxHeaderBytes}
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
