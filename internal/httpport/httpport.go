// Package httpport serves HTTP on a port that is open before its handler is
// known, so that an instance announces only ports that answer.
package httpport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/tlsconf"
)

// Limits bound what a peer may send.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	// IdleTimeout closes connections without a request, unless it is 0.
	IdleTimeout time.Duration
}

// Port is an HTTP server on an open port.
type Port struct {
	listener net.Listener
	server   *http.Server
}

// Listen opens a TCP port, with TLS if t is enabled.
func Listen(ctx context.Context, address string, t settings.TLS) (net.Listener, error) {
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

// Open opens a port for HTTP.
func Open(ctx context.Context, address string, t settings.TLS, limits Limits) (*Port, error) {
	l, err := Listen(ctx, address, t)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
	}
	return &Port{listener: l, server: server}, nil
}

// Handle sets the handler; it must be called before Serve.
func (p *Port) Handle(h http.Handler) { p.server.Handler = h }

// Address returns the address of the port.
func (p *Port) Address() string { return p.listener.Addr().String() }

// Serve answers requests until ctx ends or the port is drained.
func (p *Port) Serve(ctx context.Context) error {
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

// Bound ends the reading of a request at read, and the writing of its answer at
// write, so that a peer that stands still holds nothing for longer. The server
// lifts both for the next request of the connection.
//
// Only a body is bounded: once there is none to read, the server reads on to see
// a peer hang up, and a timeout of that read ends the context of the connection,
// and so of each later request on it. The server lifts the bound itself when it
// begins that read at the end of a body.
func Bound(w http.ResponseWriter, r *http.Request, read, write time.Time) error {
	c := http.NewResponseController(w)
	if err := supported(c.SetWriteDeadline(write)); err != nil || r.Body == nil || r.Body == http.NoBody {
		return err
	}
	return supported(c.SetReadDeadline(read))
}

// supported drops the error of writers without a connection.
func supported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// Drain stops accepting requests and waits for those in flight, or for the end
// of ctx, whose error it returns.
func (p *Port) Drain(ctx context.Context) error { return p.server.Shutdown(ctx) }
