package gateway

import (
	"net/http"
	"time"

	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/relay"
)

const (
	// storeIdleConns and storeIdleTimeout limit the idle connections to the
	// store, which needs only a few.
	storeIdleConns   = 8
	storeIdleTimeout = 30 * time.Second
)

// NewTransport returns the transport for calls to the platform and orders to
// engines.
func NewTransport(d relay.Dialer) *httpport.Transport {
	return httpport.NewTransport(&http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: storeIdleConns,
		IdleConnTimeout: storeIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: httpport.MaxResponseHeaderBytes,
	}, nil)
}

// recordRejection logs and counts a rejected answer of the store or an engine to a call of
// the gateway itself.
func (g *Gateway) recordRejection(r httpport.Rejection) {
	g.metrics.AnswerRejected("platform", string(r.Err.Reason))
	g.log.Warn("answer rejected", "from", "platform", "address", r.Address, "reason", string(r.Err.Reason), "error", r.Err.Err)
}
