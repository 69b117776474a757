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

	"bamboorail.example/bamboorail/internal/stand/engine"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// requestDeadline is the deadline that callers request, clientTimeout the time
	// after which they disconnect.
	requestDeadline = 4 * time.Second
	clientTimeout   = 8 * time.Second
	// callPause is the pause between requests of one caller.
	callPause = 20 * time.Millisecond
	// tokens is the usual completion length; one completion in longShare has
	// longTokens, so that streams are open whenever an instance drains.
	tokens     = 24
	longTokens = 200
	longShare  = 4
	// requestsPerNode is the number of requests after which a caller may switch to
	// another instance.
	requestsPerNode = 100
)

// conn is a connection that records when it was opened.
type conn struct {
	net.Conn
	opened time.Time
}

// newClient returns a client with keep-alive connections. It uses one
// connection per instance if requests are not concurrent.
func newClient() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &conn{Conn: c, opened: time.Now()}, err
	}
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4}}
}

// response is what a caller received; status is 0 if no response header arrived.
type response struct {
	status  int
	outcome string
	// retryAfter is the Retry-After header as received.
	retryAfter string
	body       string
	// complete reports that the response body was read to its end, sent that the
	// whole request was written to a connection.
	complete, sent bool
	// racedIdleClose reports that the request raced with the server closing the
	// idle connection.
	racedIdleClose bool
	err            error
	// opened is the time at which the connection was opened.
	opened, written, ended time.Time
}

// send sends a request to an instance.
func send(ctx context.Context, client *http.Client, v *node, path, body, id string) (r response) {
	// The transport may report a write after the response has arrived.
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
		// The transport retries an unwritten request on a new connection, so that a
		// dial error means that nothing was sent.
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
	r.body, r.err, r.complete = string(data), err, err == nil
	return r
}

// checkCompletion requests one completion and verifies its text.
func (l *recorder) checkCompletion(ctx context.Context, client *http.Client, v *node, m model, id string, want int, stream bool) bool {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, m.name, id, want, stream)
	began := time.Now()
	r := send(ctx, client, v, "/v1/completions", body, id)
	if ctx.Err() != nil {
		return false // interrupted by the end of the run
	}
	l.recordResponse(v, &r, id)
	l.checkConfiguration(v, m, began, r)
	if !r.complete || r.status != http.StatusOK {
		return false
	}
	text, ended, failed := completionText(r.body, stream)
	switch right := engine.Text(m.name, id, want); {
	case failed && !strings.HasPrefix(right, text):
		l.addViolation("%s %q: stream failed after %q, which is not a prefix of %q", m.name, id, text, right)
	case failed:
		return false
	case !ended:
		l.addViolation("%s %q: stream ended without [DONE]: %q", m.name, id, r.body)
	case text != right:
		l.addViolation("%s %q: got text %q, want %q", m.name, id, text, right)
	}
	return true
}

type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// completionText returns the text of a response, whether it is terminated
// properly, and whether it ended with an error event.
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

// sendCompletions requests completions in sequence until ctx is done. Every second
// caller keeps to one instance and its connection, also while the instance drains.
func (l *recorder) sendCompletions(nodes []*node, seed, number uint64) task.Func {
	return func(ctx context.Context) error {
		random := rand.New(rand.NewPCG(seed, number))
		client := newClient()
		v := nodes[random.IntN(len(nodes))]
		for n := 0; task.Sleep(ctx, callPause) == nil; n++ {
			if number%2 == 0 || n%requestsPerNode == requestsPerNode-1 {
				v = nodes[random.IntN(len(nodes))]
			}
			want := tokens
			if random.IntN(longShare) == 0 {
				want = longTokens
			}
			l.checkCompletion(ctx, client, v, l.pick(random), fmt.Sprintf("soak-%d-%d", number, n), want, random.IntN(2) == 0)
		}
		return ctx.Err()
	}
}

// sendRepeatedCalls sends calls that must run at most once, each one to 1 to 3
// instances under the same request ID.
func (l *recorder) sendRepeatedCalls(nodes []*node, seed, number uint64) task.Func {
	return func(ctx context.Context) error {
		random := rand.New(rand.NewPCG(seed, number))
		client := newClient()
		for task.Sleep(ctx, callPause) == nil {
			first := nodes[random.IntN(len(nodes))]
			r := send(ctx, client, first, "/v1/request-ids", "", "")
			if ctx.Err() != nil {
				return ctx.Err()
			}
			l.recordResponse(first, &r, "an id")
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
					l.recordResponse(v, &answer, issued.ID)
				}
				l.recordCall(issued.ID, v.name, answer)
			}
		}
		return ctx.Err()
	}
}
