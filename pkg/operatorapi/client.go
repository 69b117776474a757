package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/pkg/record"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

const (
	commitAttempts   = 5
	commitRetryDelay = 500 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// Client calls the operator API of an instance.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the operator API at base with the operators'
// token.
func NewClient(base, token string, transport http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), token: token, http: &http.Client{Transport: transport}}
}

// NewChangeID returns a unique id for a change.
func NewChangeID() string { return uuid.NewString() }

// Commit commits a change. After a failure with an unknown outcome it sends the
// change again with the same id.
func (c *Client) Commit(ctx context.Context, change Change) (ChangeResult, error) {
	var result ChangeResult
	var err error
	for range commitAttempts {
		err = c.do(ctx, http.MethodPost, "/v1/changes", change, &result)
		if err == nil || bamboorail.KindOf(err) != bamboorail.KindUnavailable {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(commitRetryDelay):
		}
	}
	return result, err
}

// Records returns the records of a kind, or the one with the given name if it is
// not empty.
func (c *Client) Records(ctx context.Context, kind record.Kind, name string) (RecordList, error) {
	var list RecordList
	q := url.Values{"kind": {string(kind)}, "name": {name}}
	err := c.do(ctx, http.MethodGet, "/v1/records?"+q.Encode(), nil, &list)
	return list, err
}

// Targets returns the state of all targets.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	var list []Target
	err := c.do(ctx, http.MethodGet, "/v1/targets", nil, &list)
	return list, err
}

// Instances returns the state of all instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.do(ctx, http.MethodGet, "/v1/instances", nil, &list)
	return list, err
}

// Trace returns the spans of a request.
func (c *Client) Trace(ctx context.Context, requestID string) (Trace, error) {
	var t Trace
	err := c.do(ctx, http.MethodGet, "/v1/traces/"+url.PathEscape(requestID), nil, &t)
	return t, err
}

// Load requests that a model be loaded on a target.
func (c *Client) Load(ctx context.Context, m bamboorail.ModelRef, target string) error {
	return c.do(ctx, http.MethodPost, "/v1/models/"+m.String()+"/load", LoadRequest{Target: target}, nil)
}

// SetLogLevel changes the log level of the instance.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	return c.do(ctx, http.MethodPut, "/v1/log-level", LogLevel{Level: level}, nil)
}

func (c *Client) do(ctx context.Context, method, path string, message, result any) error {
	op := strings.ToLower(method) + " " + path
	var body []byte
	if message != nil {
		var err error
		if body, err = json.Marshal(message); err != nil {
			return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindInternal, Err: err}}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindBadRequest, Err: err}}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindUnavailable, Err: err}}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindUnavailable, Err: err}}
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(op, resp.Status, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindInternal, Err: err}}
	}
	return nil
}

func responseError(op, status string, data []byte) error {
	var e ErrorResponse
	if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
		return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindInternal, Err: fmt.Errorf("status %s", status)}}
	}
	return &Error{bamboorail.Failure{Op: op, Kind: e.Kind, Err: errors.New(e.Message)}}
}
