// Package engine implements the clients of inference engines, one for each
// protocol dialect.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	fencingHeader   = "Fencing-Number"
	requestIDHeader = "X-Request-Id"

	reportTimeout  = 2 * time.Second
	orderTimeout   = 5 * time.Second
	cancelTimeout  = 2 * time.Second
	maxReportBytes = 1 << 20
)

// New returns a client for the dialect named in the target's record. The transport of runs
// must not reuse connections: a refusal need not name its run, and one of an earlier run
// could be taken for that of the next.
func New(t record.Target, control, runs http.RoundTripper) bamboorail.Engine {
	base := strings.TrimSuffix(t.URL(), "/")
	c := client{base: base, http: &http.Client{Transport: control}}
	r := client{base: base, http: &http.Client{Transport: runs}}
	if t.Dialect() == record.DialectStatus {
		return &statusEngine{client: c, runs: r}
	}
	return &openAIEngine{client: c, runs: r}
}

type client struct {
	base string
	http *http.Client
}

// send performs an HTTP request. The outcome of its error is not-run only if no
// connection was obtained, so that the request cannot have left this process.
func (c *client) send(ctx context.Context, op, method, path string, header http.Header, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(traced, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, notRun(op, bamboorail.KindInternal, err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req)
	switch {
	case err == nil:
		return resp, nil
	case !connected.Load():
		return nil, notRun(op, bamboorail.KindUnavailable, err)
	}
	return nil, interrupted(ctx, op, err)
}

// sendControl sends a control request and expects status 200.
func (c *client) sendControl(ctx context.Context, op, method, path string, fencing uint64, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return notRun(op, bamboorail.KindInternal, err)
	}
	header := http.Header{fencingHeader: {strconv.FormatUint(fencing, 10)}}
	resp, err := c.send(ctx, op, method, path, header, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(op, resp)
	}
	return nil
}

// cancel stops a run whose caller no longer reads it. The context of the run may
// have been canceled already, so the request uses a context with its own timeout.
func (c *client) cancel(ctx context.Context, path string) {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer done()
	resp, err := c.send(ctx, "cancel-run", http.MethodDelete, path, nil, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// mismatch returns the error for a response that belongs to another request or
// adapter.
func mismatch(op, what, got, want string) error {
	return mayHaveRun(op, bamboorail.KindMismatch, fmt.Errorf("response has %s %q, expected %q", what, got, want))
}
