package httpport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds the wait for the end of the write of a request whose answer has ended
// with its connection. net/http closes the connection at that moment, which ends the write;
// a process without processor time notices it later.
const writeTimeout = 250 * time.Millisecond

// headOverheadBytes is added to the fields of an informational head for its status line.
const headOverheadBytes = 16

// Rejection is an answer that was rejected.
type Rejection struct {
	// Address is the host and port of the peer.
	Address string
	Err     *Error
}

// Transport is a http.RoundTripper that accepts only valid heads and complete bodies. It
// rejects others by an error of type *Error, of RoundTrip or of the Read of a body, and
// closes their connection.
type Transport struct {
	base    *http.Transport
	observe atomic.Pointer[func(Rejection)]
}

// NewTransport returns a transport that sends requests through base, whose DialContext it
// replaces. Base must not be used otherwise. Observe is called for rejected answers; it may be
// nil.
func NewTransport(base *http.Transport, observe func(Rejection)) *Transport {
	dial := dialFunc(base.DialContext)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = dial.checked()
	t := &Transport{base: base}
	t.Observe(observe)
	return t
}

// Observe replaces the function that is called for rejected answers.
func (t *Transport) Observe(observe func(Rejection)) {
	if observe == nil {
		observe = func(Rejection) {}
	}
	t.observe.Store(&observe)
}

// MaxIdleConns returns the number of idle connections that are kept to each peer.
func (t *Transport) MaxIdleConns() int { return t.base.MaxIdleConnsPerHost }

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request. An error of type *Error means that the request may have run.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, _, err := t.Send(r)
	return resp, err
}

// Send sends a request and reports whether its connection was used before.
func (t *Transport) Send(r *http.Request) (resp *http.Response, reused bool, err error) {
	x := &exchange{transport: t, address: r.URL.Host}
	x.trace = httptrace.ClientTrace{GotConn: x.gotConn, WroteRequest: x.wroteRequest, Got1xxResponse: x.gotInformational}
	resp, err = t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &x.trace)))
	if err == nil {
		if err = x.checkHead(resp); err == nil {
			x.checkBody(resp)
			return resp, x.reused, nil
		}
		resp.Body.Close()
	}
	return nil, x.reused, x.observed(err)
}

// exchange is a request with its answer.
type exchange struct {
	transport *Transport
	address   string
	trace     httptrace.ClientTrace
	conn      net.Conn
	reused    bool
	// informationalBytes is the size of the informational heads.
	informationalBytes int

	mu sync.Mutex
	// written is set once the request was written or has failed with writeErr.
	written  bool
	writeErr error
	// done is closed then; it is nil unless the end is awaited.
	done chan struct{}
}

// gotConn is called with the connection for the request. net/http calls it again if it
// sends a request again of which it had sent nothing.
func (x *exchange) gotConn(i httptrace.GotConnInfo) {
	x.conn, x.reused, x.informationalBytes = i.Conn, i.Reused, 0
	if c, ok := i.Conn.(*conn); ok {
		c.framing.start()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written, x.writeErr = false, nil
}

// wroteRequest is called when all of the request has been written except what is buffered,
// or with the error of the write. Failures of the last write are noticed by conn.
func (x *exchange) wroteRequest(i httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written, x.writeErr = true, i.Err
	if x.done != nil {
		close(x.done)
		x.done = nil
	}
}

// gotInformational checks an informational head. net/http limits the size of each only.
func (x *exchange) gotInformational(_ int, h textproto.MIMEHeader) error {
	x.informationalBytes += headOverheadBytes
	for name, values := range h {
		for _, v := range values {
			x.informationalBytes += len(name) + len(v)
		}
	}
	if x.informationalBytes > MaxResponseHeaderBytes {
		return rejected(ReasonInformational, errManyHeads)
	}
	return checkFields(ReasonInformational, h)
}

// checkHead checks the head of an answer. How often the framing is stated is not known of
// connections with TLS.
func (x *exchange) checkHead(r *http.Response) error {
	if c, ok := x.conn.(*conn); ok && c.framing.ambiguous.Load() {
		return rejected(ReasonFraming, errFramings)
	}
	return checkResponse(r)
}

// observed reports a rejection and closes its connection, which net/http may keep otherwise.
// It returns err.
func (x *exchange) observed(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	if x.conn != nil {
		_ = x.conn.Close() // an error means that it is closed
	}
	(*x.transport.observe.Load())(Rejection{Address: x.address, Err: e})
	return err
}

// checkBody makes the body of an answer end with an error unless it is complete. A length
// is checked by net/http, the end of compressed data by its checksum.
func (x *exchange) checkBody(r *http.Response) {
	if r.Body == http.NoBody || r.Uncompressed || r.ProtoMajor != 1 {
		return
	}
	if f := FramingOf(r); f != FramingLength {
		r.Body = &checkedBody{ReadCloser: r.Body, exchange: x, response: r, framing: f}
	}
}

// awaitWritten returns the error of the write of the request, nil if all was written.
func (x *exchange) awaitWritten() error {
	x.mu.Lock()
	written, err := x.written, x.writeErr
	var done chan struct{}
	if !written {
		done = make(chan struct{})
		x.done = done
	}
	x.mu.Unlock()
	if written {
		return err
	}
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.written {
		return errNotWritten
	}
	return x.writeErr
}

var errNotWritten = errors.New("the request was still being written")

// checkedBody is the body of an answer that ends with its connection or by chunks.
type checkedBody struct {
	io.ReadCloser
	exchange *exchange
	response *http.Response
	framing  Framing
	err      error
}

// Read returns io.EOF only at the end of a complete body.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.err = b.end(err)
	}
	return n, b.err
}

// end returns the error with which the body ends after a read that returned err.
func (b *checkedBody) end(err error) error {
	x := b.exchange
	switch {
	case b.framing == FramingClose && errors.Is(err, errBrokenUnnoticed):
		return x.observed(rejected(ReasonIncomplete, errors.Join(io.ErrUnexpectedEOF, err)))
	case !errors.Is(err, io.EOF):
		return err
	case b.framing == FramingChunks:
		if bad := checkFields(ReasonTrailer, b.response.Trailer); bad != nil {
			return x.observed(bad)
		}
		return err
	}
	if failure := x.awaitWritten(); failure != nil {
		return x.observed(rejected(ReasonIncomplete, fmt.Errorf("%w: the body ended before the request: %w", io.ErrUnexpectedEOF, failure)))
	}
	return err
}

var _ http.RoundTripper = (*Transport)(nil)
