package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
	tokens    = 24
)

// ledger collects what callers saw.
type ledger struct {
	mu         sync.Mutex
	violations []string
	answers    int
	refusals   int
	failures   int
	// calls are the fates of calls that must run at most once, by request id.
	calls map[string]*callFate
}

// callFate sums up the answers to one request id.
type callFate struct {
	answered bool
	// unclear is set once an answer did not say that the call was not run.
	unclear bool
	// trail lists the answers in order, for the report.
	trail []string
}

func (l *ledger) violate(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, a...))
}

// count counts the end of a request by its status; 0 stands for none.
func (l *ledger) count(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch status {
	case http.StatusOK:
		l.answers++
	case 0:
		l.failures++
	default:
		l.refusals++
	}
}

// call notes one answer to a request id.
func (l *ledger) call(id, instance string, r response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.calls[id]
	if f == nil {
		f = &callFate{}
		l.calls[id] = f
	}
	f.trail = append(f.trail, fmt.Sprintf("%s %s %d %s %q", time.Now().Format("05.000"), instance, r.status, r.outcome, r.body))
	switch {
	case r.status == http.StatusOK:
		f.answered = true
	case r.outcome != "not-run":
		f.unclear = true
	}
}

// response is what a caller received; status is 0 without a whole answer.
type response struct {
	status  int
	outcome string
	body    string
}

// send sends a request to an instance.
func send(ctx context.Context, client *http.Client, v *node, path, body, id string) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+path, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Request-Deadline", requestDeadline.String())
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{body: string(data)}
	}
	return response{status: resp.StatusCode, outcome: resp.Header.Get("Run-Outcome"), body: string(data)}
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

// complete asks for one completion and checks the text.
func (l *ledger) complete(ctx context.Context, client *http.Client, v *node, model, prompt string, stream bool) bool {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, tokens, stream)
	r := send(ctx, client, v, "/v1/completions", body, "")
	l.count(r.status)
	if r.status != http.StatusOK {
		return false
	}
	text, ended, failed := completionText(r.body, stream)
	switch want := engine.Text(model, prompt, tokens); {
	case failed && !strings.HasPrefix(want, text):
		l.violate("%s %q: broken off with %q, which is not the beginning of %q", model, prompt, text, want)
	case failed:
		return false
	case !ended:
		l.violate("%s %q: a stream ended without its mark: %q", model, prompt, r.body)
	case text != want:
		l.violate("%s %q: %q in place of %q", model, prompt, text, want)
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

// load asks for one completion after the other until ctx ends.
func (l *ledger) load(nodes []*node, seed, number uint64) duty.Func {
	return func(ctx context.Context) error {
		random := rand.New(rand.NewPCG(seed, number))
		client := newClient()
		for n := 0; duty.Sleep(ctx, callPause) == nil; n++ {
			prompt := fmt.Sprintf("%d-%d", number, n)
			l.complete(ctx, client, nodes[random.IntN(len(nodes))], models[random.IntN(len(models))], prompt, random.IntN(2) == 0)
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
			var issued struct {
				ID string `json:"request-id"`
			}
			if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &issued) != nil {
				continue
			}
			for range 1 + random.IntN(3) {
				v := nodes[random.IntN(len(nodes))]
				answer := send(ctx, client, v, "/v1/services/"+serviceName+"/zalozky", "{}", issued.ID)
				l.count(answer.status)
				l.call(issued.ID, v.name, answer)
			}
		}
		return ctx.Err()
	}
}
