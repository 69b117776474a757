// Package httpport implements an HTTP server whose port is opened before its
// handler is set, so that an instance announces only ports that accept connections.
package httpport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/tlsconf"
)

// MaxResponseHeaderBytes limits the head of an answer of a target or a store. One
// in trouble may send a head without an end, and the default of net/http, 10 MB a
// connection, is a large part of an instance's memory.
const MaxResponseHeaderBytes = 64 << 10

// Limits restricts the header size and the timing of a client.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	// IdleTimeout is the time after which an idle connection is closed;
	// 0 disables it.
	IdleTimeout time.Duration
}

// Port is an HTTP server with an open listener.
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

// Open opens a port and creates its HTTP server. Call Serve to handle requests.
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

// Serve handles requests until ctx ends or the port is drained.
func (p *Port) Serve(ctx context.Context) error {
	closed := task.Start(ctx, "close", func(ctx context.Context) error {
		<-ctx.Done()
		return p.server.Close()
	})
	err := p.server.Serve(p.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return <-closed.Done()
	}
	return err
}

// SetDeadlines sets deadlines for reading the request body and for writing the response,
// so that a stalled client cannot hold resources for longer. The server resets
// both for the next request on the connection.
//
// The read deadline is set only for a request with a body. Without one, the server
// already reads in the background to detect a disconnect, and a timeout of that
// read cancels the context of the connection and of every later request on it. At
// the end of a body, the server clears the deadline itself before it begins the
// background read.
func SetDeadlines(w http.ResponseWriter, r *http.Request, read, write time.Time) error {
	c := http.NewResponseController(w)
	if err := ignoreNotSupported(c.SetWriteDeadline(write)); err != nil || r.Body == nil || r.Body == http.NoBody {
		return err
	}
	return ignoreNotSupported(c.SetReadDeadline(read))
}

// ignoreNotSupported drops the error of response writers that do not support
// deadlines, because they have no connection.
func ignoreNotSupported(err error) error {
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// Drain stops accepting requests and waits for those in flight, or for the end
// of ctx, whose error it returns.
func (p *Port) Drain(ctx context.Context) error { return p.server.Shutdown(ctx) }
