// Package platform implements a client of the platform's object API and the state
// that instances share through it: sessions, ownership ledgers and configuration.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// MaxValueBytes is the maximum size of a value in the object API.
	MaxValueBytes = 1 << 20

	// CallTimeout bounds every call to the platform except the wait of a watch.
	CallTimeout        = 3 * time.Second
	maxCallsInFlight   = 8
	maxResponseBytes   = 64 << 20
	overloadRetryAfter = time.Second
)

// versionHeader carries the version of an object in requests and responses.
const versionHeader = "Object-Version"

// Client is an ObjectStore over HTTP. It limits its calls in flight, so that a
// slow store does not cause calls to pile up in this process.
type Client struct {
	base  string
	http  *http.Client
	slots chan struct{}
}

var _ bamboorail.ObjectStore = (*Client)(nil)

// NewClient returns a client of the object API at base, an http or https URL.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{
		base:  strings.TrimSuffix(base, "/"),
		http:  &http.Client{Transport: transport},
		slots: make(chan struct{}, maxCallsInFlight),
	}
}

// Get returns the object under key.
func (c *Client) Get(ctx context.Context, key string) (bamboorail.Object, error) {
	o, _, err := c.GetNewer(ctx, key, 0)
	return o, err
}

// GetNewer returns the object under key unless it still has the given version.
func (c *Client) GetNewer(ctx context.Context, key string, version bamboorail.StoreVersion) (bamboorail.Object, bool, error) {
	const op = "get-object"
	header := http.Header{}
	if version > 0 {
		header.Set("If-None-Match", strconv.FormatUint(uint64(version), 10))
	}
	resp, err := c.call(ctx, op, http.MethodGet, "/v1/objects/"+key, nil, header)
	if err != nil {
		return bamboorail.Object{}, false, err
	}
	if resp.status == http.StatusNotModified {
		return bamboorail.Object{}, false, nil
	}
	v, err := strconv.ParseUint(resp.header.Get(versionHeader), 10, 64)
	if err != nil {
		return bamboorail.Object{}, false, fail(op, bamboorail.KindInternal, fmt.Errorf("header %s: %w", versionHeader, err))
	}
	return bamboorail.Object{Key: key, Version: bamboorail.StoreVersion(v), Value: resp.body}, true, nil
}

// List returns the objects under prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	var events bamboorail.Events
	q := url.Values{"prefix": {prefix}}
	err := c.query(ctx, "list-objects", "/v1/list?"+q.Encode(), &events)
	return events.Objects, events.Revision, err
}

// Put writes a value if the current version is expect.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect bamboorail.StoreVersion) (bamboorail.StoreVersion, error) {
	const op = "put-object"
	if len(value) > MaxValueBytes {
		return 0, fail(op, bamboorail.KindTooLarge, fmt.Errorf("value of %q has %d bytes, limit %d", key, len(value), MaxValueBytes))
	}
	resp, err := c.call(ctx, op, http.MethodPut, "/v1/objects/"+key, value, ifMatch(expect))
	if err != nil {
		return 0, err
	}
	v, err := strconv.ParseUint(resp.header.Get(versionHeader), 10, 64)
	if err != nil {
		return 0, fail(op, bamboorail.KindInternal, fmt.Errorf("header %s: %w", versionHeader, err))
	}
	return bamboorail.StoreVersion(v), nil
}

// Delete removes a key if its current version is expect.
func (c *Client) Delete(ctx context.Context, key string, expect bamboorail.StoreVersion) error {
	_, err := c.call(ctx, "delete-object", http.MethodDelete, "/v1/objects/"+key, nil, ifMatch(expect))
	return err
}

// Watch waits up to wait for changes after revision. It does not count against
// the limit of calls in flight, since each process has only one watch.
func (c *Client) Watch(ctx context.Context, prefixes []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	const op = "watch-objects"
	q := url.Values{
		"prefix": prefixes,
		"after":  {strconv.FormatUint(uint64(revision), 10)},
		"wait":   {wait.String()},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	resp, err := c.exchange(ctx, op, http.MethodGet, "/v1/watch?"+q.Encode(), nil, nil)
	if err != nil {
		return bamboorail.Events{}, err
	}
	var events bamboorail.Events
	if err := json.Unmarshal(resp.body, &events); err != nil {
		return bamboorail.Events{}, fail(op, bamboorail.KindInternal, err)
	}
	return events, nil
}

// Instances returns the platform's list of instances.
func (c *Client) Instances(ctx context.Context) ([]bamboorail.Instance, error) {
	var list []bamboorail.Instance
	err := c.query(ctx, "list-instances", "/v1/instances", &list)
	return list, err
}

func (c *Client) query(ctx context.Context, op, path string, v any) error {
	resp, err := c.call(ctx, op, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, v); err != nil {
		return fail(op, bamboorail.KindInternal, err)
	}
	return nil
}

func ifMatch(version bamboorail.StoreVersion) http.Header {
	return http.Header{"If-Match": {strconv.FormatUint(uint64(version), 10)}}
}

type response struct {
	status int
	header http.Header
	body   []byte
}

// call sends a request within the limit of calls in flight. It fails immediately
// if the limit is reached.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte, header http.Header) (response, error) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return response{}, failRetry(op, bamboorail.KindOverloaded, overloadRetryAfter,
			fmt.Errorf("%d calls in flight", maxCallsInFlight))
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return c.exchange(ctx, op, method, path, body, header)
}

func (c *Client) exchange(ctx context.Context, op, method, path string, body []byte, header http.Header) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fail(op, bamboorail.KindInternal, err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if method != http.MethodGet {
		// A retransmission by the transport would conflict with the first
		// write and report a conflict although the write took effect.
		req.GetBody = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, fail(op, transportKind(err), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, fail(op, transportKind(err), err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotModified {
		return response{}, fail(op, statusKind(resp.StatusCode), fmt.Errorf("status %s: %s", resp.Status, bytes.TrimSpace(data)))
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, nil
}

func transportKind(err error) bamboorail.Kind {
	if errors.Is(err, context.Canceled) {
		return bamboorail.KindCancelled
	}
	return bamboorail.KindUnavailable
}

func statusKind(status int) bamboorail.Kind {
	switch status {
	case http.StatusNotFound:
		return bamboorail.KindNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return bamboorail.KindConflict
	case http.StatusRequestEntityTooLarge:
		return bamboorail.KindTooLarge
	case http.StatusTooManyRequests:
		return bamboorail.KindOverloaded
	case http.StatusBadRequest:
		return bamboorail.KindBadRequest
	}
	return bamboorail.KindUnavailable
}
