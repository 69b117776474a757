package httpport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// errBrokenUnnoticed is the end of a connection whose failure was reported to a write.
var errBrokenUnnoticed = fmt.Errorf("the connection broke while the request was written: %w", syscall.ECONNRESET)

// conn is a TCP connection whose failure is never read as an orderly end. The kernel reports
// a reset to the first system call after it only: if that is a write, the next read returns
// the end of the stream.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	framing framingScanner

	// mu is held by a write, failed is set once one has failed.
	mu     sync.Mutex
	failed bool
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a dial function for connections of type *conn. Connections that do not
// belong to the kernel are returned as they are.
func (d dialFunc) checked() dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		s, ok := c.(syscall.Conn)
		if !ok {
			return c, nil
		}
		raw, err := s.SyscallConn()
		if err != nil {
			return nil, errors.Join(err, c.Close())
		}
		return &conn{Conn: c, raw: raw}, nil
	}
}

// NetConn returns the connection that the dial function returned.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// Read reads from the connection. It returns io.EOF only for an orderly end.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.framing.scan(p[:n])
	if errors.Is(err, io.EOF) && c.isClosed() && c.hasFailed() {
		return n, errBrokenUnnoticed
	}
	return n, err
}

// hasFailed reports whether a write has failed. It waits for a running write, which ends at
// once on a closed connection. A reset that no write has noticed followed an orderly end.
func (c *conn) hasFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// isClosed reports whether the kernel has closed the connection. After an orderly end it
// still waits for the end of this side.
func (c *conn) isClosed() bool {
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}
