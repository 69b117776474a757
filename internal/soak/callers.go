package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/stand/engine"
)

const (
	// requestDeadline is what callers ask for, clientTimeout when they leave.
	requestDeadline = 4 * time.Second
	clientTimeout   = 8 * time.Second
	// callPause spreads the requests of one caller.
	callPause = 20 * time.Millisecond
	// tokens is the length of an answer; one in longShare takes longTokens, so
	// that streams are open whenever an instance is told to leave.
	tokens     = 24
	longTokens = 200
	longShare  = 4
	// stay is the number of requests after which a caller may change its instance.
	stay = 100
)

// conn is a connection that knows when it was opened.
type conn struct {
	net.Conn
	opened time.Time
}

// newClient returns a client that keeps its connections, one to an instance if
// it is used for one request at a time.
func newClient() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &conn{Conn: c, opened: time.Now()}, err
	}
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4}}
}

// response is what a caller received; status is 0 without the head of an answer.
type response struct {
	status  int
	outcome string
	// retryAfter is the time after which to come back, as it was received.
	retryAfter string
	body       string
	// whole tells that the answer came to its end, sent that the whole request
	// was written to a connection.
	whole, sent bool
	// crossed tells that the request met the close of its connection.
	crossed bool
	err     error
	// opened is the time at which the connection was opened.
	opened, written, ended time.Time
}

// send sends a request to an instance.
func send(ctx context.Context, client *http.Client, v *node, path, body, id string) (r response) {
	// The transport may report a write after the answer has come.
	var mu sync.Mutex
	var written time.Time
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			written = time.Time{}
			if c, ok := i.Conn.(*conn); ok {
				r.opened = c.opened
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if i.Err == nil {
				written = time.Now()
			}
		},
	}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		var o *net.OpError
		// A request that was not written at all is tried on a new connection.
		unsent := errors.As(r.err, &o) && o.Op == "dial"
		r.written, r.sent, r.ended = written, !written.IsZero() && !unsent, time.Now()
	}()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+v.callers+path, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Request-Deadline", requestDeadline.String())
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.outcome, r.retryAfter = resp.StatusCode, resp.Header.Get("Run-Outcome"), resp.Header.Get("Retry-After")
	data, err := io.ReadAll(resp.Body)
	r.body, r.err, r.whole = string(data), err, err == nil
	return r
}

// complete asks for one completion and checks the text.
func (l *ledger) complete(ctx context.Context, client *http.Client, v *node, m model, id string, want int, stream bool) bool {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, m.name, id, want, stream)
	began := time.Now()
	r := send(ctx, client, v, "/v1/completions", body, id)
	if ctx.Err() != nil {
		return false // cut off by the end of the run
	}
	l.judge(v, &r, id)
	l.inForce(v, m, began, r)
	if !r.whole || r.status != http.StatusOK {
		return false
	}
	text, ended, failed := completionText(r.body, stream)
	switch right := engine.Text(m.name, id, want); {
	case failed && !strings.HasPrefix(right, text):
		l.violate("%s %q: broken off with %q, which is not the beginning of %q", m.name, id, text, right)
	case failed:
		return false
	case !ended:
		l.violate("%s %q: a stream ended without its mark: %q", m.name, id, r.body)
	case text != right:
		l.violate("%s %q: %q in place of %q", m.name, id, text, right)
	}
	return true
}

type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// completionText returns the text of an answer, whether it has its end, and
// whether it ended with an error.
func completionText(body string, stream bool) (text string, ended, failed bool) {
	add := func(data string) {
		var c completion
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Text
		}
	}
	if !stream {
		add(body)
		return text, true, false
	}
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if line == "event: error" {
			return text, false, true
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			ended = data == "[DONE]"
			add(data)
		}
	}
	return text, ended, false
}

// load asks for one completion after the other until ctx ends. Every second
// caller stays at an instance and its connection, also while it leaves.
func (l *ledger) load(nodes []*node, seed, number uint64) duty.Func {
	return func(ctx context.Context) error {
		random := rand.New(rand.NewPCG(seed, number))
		client := newClient()
		v := nodes[random.IntN(len(nodes))]
		for n := 0; duty.Sleep(ctx, callPause) == nil; n++ {
			if number%2 == 0 || n%stay == stay-1 {
				v = nodes[random.IntN(len(nodes))]
			}
			want := tokens
			if random.IntN(longShare) == 0 {
				want = longTokens
			}
			l.complete(ctx, client, v, l.pick(random), fmt.Sprintf("soak-%d-%d", number, n), want, random.IntN(2) == 0)
		}
		return ctx.Err()
	}
}

// repeat sends calls that must run at most once, each to several instances.
func (l *ledger) repeat(nodes []*node, seed, number uint64) duty.Func {
	return func(ctx context.Context) error {
		random := rand.New(rand.NewPCG(seed, number))
		client := newClient()
		for duty.Sleep(ctx, callPause) == nil {
			first := nodes[random.IntN(len(nodes))]
			r := send(ctx, client, first, "/v1/request-ids", "", "")
			if ctx.Err() != nil {
				return ctx.Err()
			}
			l.judge(first, &r, "an id")
			var issued struct {
				ID string `json:"request-id"`
			}
			if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &issued) != nil {
				continue
			}
			for range 1 + random.IntN(3) {
				v := nodes[random.IntN(len(nodes))]
				answer := send(ctx, client, v, "/v1/services/"+serviceName+"/zalozky", "{}", issued.ID)
				if ctx.Err() == nil {
					l.judge(v, &answer, issued.ID)
				}
				l.call(issued.ID, v.name, answer)
			}
		}
		return ctx.Err()
	}
}
