package httpport

import (
	"errors"
	"net"
	"net/http"
)

// Framing is the way in which an HTTP/1.1 message marks the end of its body.
type Framing string

// The framings. Without a length or chunks, a body ends with its connection, so
// that a peer that closes early cannot be told from one that has finished.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	FramingClose  Framing = "close"
)

// FramingOf returns the framing of a response.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return FramingLength
	case len(r.TransferEncoding) > 0:
		return FramingChunks
	}
	return FramingClose
}

// MarkBroken makes the caller of r see that an answer which has begun is not
// complete, if the handler panics with http.ErrAbortHandler next. A caller of
// HTTP/1.0 has no other sign of a complete answer than the end of its connection, so
// that its connection is reset.
func MarkBroken(w http.ResponseWriter, r *http.Request) error {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn() // the connection below TLS
	}
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return errors.Join(errNoTCP, conn.Close())
	}
	return errors.Join(t.SetLinger(0), t.Close())
}

var errNoTCP = errors.New("the connection is not a TCP connection")
