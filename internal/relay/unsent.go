package relay

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"syscall"
)

// trackedConn is a connection that records whether anything was written since its current
// request began.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// writing is the number of writes that have not returned, written the number of bytes
	// that the kernel took, read that of the bytes that arrived.
	writing, written, read int
	// sealed is set once it is decided that nothing was written; nothing is any more.
	sealed bool
}

// Write writes to the connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.written += n
	return n, err
}

// Read reads from the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
	return n, err
}

// begin starts the count for a request. What a new connection has read already may be
// its answer.
func (c *trackedConn) begin(reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
	if reused {
		c.read = 0
	}
}

// seal reports whether nothing was written for the current request, and makes sure that
// nothing will be. A target that sent something without the request may have acted on
// the connection alone.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.writing == 0 && c.written == 0 && c.read == 0
	return c.sealed
}

// trackedDial returns a dial function whose connections are tracked.
func trackedDial(d Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: c}
		if s, ok := c.(syscall.Conn); ok {
			return kernelConn{tracked, s}, nil
		}
		return tracked, nil
	}
}

// kernelConn is a tracked connection with a descriptor.
type kernelConn struct {
	*trackedConn
	syscall.Conn
}

// tracker returns c itself, also for a connection that embeds it.
func (c *trackedConn) tracker() *trackedConn { return c }

// sending follows one request of a leg through its transport, which reports the connections
// in the goroutine that sends the request.
type sending struct {
	conns int
	conn  *trackedConn
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		s.conns++
		conn := i.Conn
		if w, ok := conn.(interface{ NetConn() net.Conn }); ok {
			conn = w.NetConn()
		}
		s.conn = nil
		if c, ok := conn.(interface{ tracker() *trackedConn }); ok {
			s.conn = c.tracker()
			s.conn.begin(i.Reused)
		}
	}}
}

// isUnsent reports whether a request that ended without an answer left this instance in no
// part: it got no connection, or the connection ended before the first byte. A transport that
// took a second connection is no proof.
func (s *sending) isUnsent() bool {
	return s.conns == 0 || s.conns == 1 && s.conn != nil && s.conn.seal()
}
