// Package application implements the client of application targets. It sends
// each call at most once: every call uses a new connection, because net/http may
// replay a request whose reused connection breaks.
package application

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"go.opentelemetry.io/otel/propagation"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/eventstream"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/pkg/record"
)

const requestIDHeader = "Request-Id"

// Error is the error type of this package.
type Error struct{ bamboorail.Failure }

const opCall = "call-application"

func failed(kind bamboorail.Kind, outcome bamboorail.Outcome, err error) error {
	return &Error{bamboorail.Failure{Op: opCall, Kind: kind, Outcome: outcome, Err: err}}
}

// Client calls one application target.
type Client struct {
	base string
	http *http.Client
}

var _ bamboorail.Application = (*Client)(nil)

// Transport returns a copy of base that uses each connection for one request and
// does not attempt HTTP/2.
// Observe is called for rejected answers; it may be nil.
func Transport(base *http.Transport, observe func(httpport.Rejection)) *httpport.Transport {
	t := base.Clone()
	t.DisableKeepAlives = true
	t.ForceAttemptHTTP2 = false
	return httpport.NewTransport(t, observe)
}

// New returns a client for a target. The transport must be one that Transport
// returned, because a transport with keep-alive may replay a call.
func New(t record.Target, transport *httpport.Transport) *Client {
	return &Client{
		base: strings.TrimSuffix(t.URL(), "/"),
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

const copyBufferBytes = 16 << 10

// Call sends a call at most once and forwards the response.
func (c *Client) Call(ctx context.Context, w *bamboorail.Request, s bamboorail.Sink) error {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(traced, w)
	if err != nil {
		return failed(bamboorail.KindBadRequest, bamboorail.OutcomeNotRun, err)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return failed(bamboorail.KindUnavailable, bamboorail.OutcomeNotRun, err)
		}
		return failed(interruptionKind(ctx), bamboorail.OutcomeMayHaveRun, err)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(requestIDHeader); got != w.RequestID {
		return failed(bamboorail.KindMismatch, bamboorail.OutcomeMayHaveRun,
			fmt.Errorf("response has request id %q, expected %q", got, w.RequestID))
	}
	if err := forwardResponse(resp, s); err != nil {
		return failed(interruptionKind(ctx), bamboorail.OutcomeMayHaveRun, err)
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, w *bamboorail.Request) (*http.Request, error) {
	var body io.Reader
	if len(w.Body) > 0 {
		body = bytes.NewReader(w.Body)
	}
	req, err := http.NewRequestWithContext(ctx, w.Method, c.base+w.Path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for k, v := range w.Header {
		req.Header[k] = v
	}
	req.Header.Set(requestIDHeader, w.RequestID)
	return req, nil
}

func forwardResponse(resp *http.Response, s bamboorail.Sink) error {
	if err := s.Begin(bamboorail.ResponseHead{Status: resp.StatusCode, Header: resp.Header}); err != nil {
		return err
	}
	var stream eventstream.Tracker
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			_, _ = stream.Write(buffer[:n]) // never fails
			if err := s.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if resp.Request.Method != http.MethodHead && eventstream.IsEventStream(resp.Header.Get("Content-Type")) {
				return stream.CheckEnd(httpport.FramingOf(resp) == httpport.FramingClose)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func interruptionKind(ctx context.Context) bamboorail.Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bamboorail.KindDeadlineExceeded
	case ctx.Err() != nil:
		return bamboorail.KindCancelled
	}
	return bamboorail.KindTruncated
}
