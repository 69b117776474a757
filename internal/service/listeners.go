package service

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bamboorail.example/bamboorail/internal/caller"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/operator"
	"bamboorail.example/bamboorail/internal/settings"
)

// listeners holds the open ports of an instance.
type listeners struct {
	peer                      net.Listener
	caller, operator, metrics *httpport.Port
}

// portLimits bounds the request headers of callers and operators.
var portLimits = httpport.Limits{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerReadTimeout}

// openPorts opens all ports. It is called before the instance announces itself.
func openPorts(ctx context.Context, s settings.Entry) (*listeners, error) {
	l := &listeners{}
	var err, failure error
	l.peer, err = httpport.Listen(ctx, s.PeerAddress, s.PeerTLS)
	failure = errors.Join(failure, err)
	l.caller, err = httpport.Open(ctx, s.CallerAddress, s.CallerTLS, portLimits)
	failure = errors.Join(failure, err)
	l.operator, err = httpport.Open(ctx, s.OperatorAddress, s.OperatorTLS, portLimits)
	failure = errors.Join(failure, err)
	l.metrics, err = httpport.Open(ctx, s.MetricsAddress, s.MetricsTLS, portLimits)
	return l, errors.Join(failure, err)
}

// registerHandlers installs the handlers of the HTTP ports.
func (i *Instance) registerHandlers() {
	i.ports.caller.Handle(caller.NewServer(caller.Config{
		Zone: i.settings.Zone, View: i.config.View, Dispatcher: i.router, Ready: i.Ready, MaxBody: i.settings.MaxBody,
		Metrics: i.metrics, Tracer: i.tracer, Log: i.logs.Layer("caller"),
	}).Handler())
	i.ports.operator.Handle(operator.NewServer(operator.Config{
		TokenSHA256: i.settings.OperatorTokenSHA256, Source: &operatorSource{i}, Writer: i.writer, Log: i.logs.Layer("operator"),
	}).Handler())
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(i.metrics.Registry(), promhttp.HandlerOpts{}))
	i.ports.metrics.Handle(metrics)
}
