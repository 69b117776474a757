// Package fault injects failures into the HTTP servers of the simulated
// components.
package fault

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Rule describes one injected failure.
type Rule struct {
	// Path is the path prefix of the affected requests. Method, if set,
	// restricts the rule to one HTTP method.
	Path   string `json:"path"`
	Method string `json:"method,omitempty"`
	// Delay is added before the request takes effect.
	Delay string `json:"delay,omitempty"`
	// Cut closes the connection before the request takes effect.
	Cut bool `json:"cut,omitempty"`
	// LoseAnswer closes the connection after the request took effect, without
	// sending the response.
	LoseAnswer bool `json:"lose-answer,omitempty"`
	// CutAfter closes the connection after this many bytes of the response body.
	CutAfter int `json:"cut-after,omitempty"`
	// Status is the HTTP status returned instead of serving the request.
	Status int `json:"status,omitempty"`
	// Count is the number of requests that the rule affects; 0 means no limit.
	Count int `json:"count,omitempty"`

	delay time.Duration
}

// Injector applies rules to the requests of a server and can freeze it.
type Injector struct {
	mu      sync.Mutex
	rules   []*Rule
	thawed  chan struct{}
	restart func()
}

// NewInjector returns an injector without rules. restart is called by POST
// /fault/restart and may be nil.
func NewInjector(restart func()) *Injector {
	thawed := make(chan struct{})
	close(thawed)
	return &Injector{thawed: thawed, restart: restart}
}

// Add adds a rule.
func (j *Injector) Add(r Rule) error {
	if r.Delay != "" {
		d, err := time.ParseDuration(r.Delay)
		if err != nil {
			return err
		}
		r.delay = d
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rules = append(j.rules, &r)
	return nil
}

// Clear removes all rules.
func (j *Injector) Clear() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rules = nil
}

// Rules returns copies of the active rules.
func (j *Injector) Rules() []Rule {
	j.mu.Lock()
	defer j.mu.Unlock()
	rules := make([]Rule, 0, len(j.rules))
	for _, r := range j.rules {
		rules = append(rules, *r)
	}
	return rules
}

// Freeze blocks all requests, except those to the fault API, until Thaw.
func (j *Injector) Freeze() {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case <-j.thawed:
		j.thawed = make(chan struct{})
	default:
	}
}

// Thaw unblocks the requests held by Freeze.
func (j *Injector) Thaw() {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case <-j.thawed:
	default:
		close(j.thawed)
	}
}

// match returns the first rule that applies to a request and decrements its
// count. A rule whose count reaches 0 is removed.
func (j *Injector) match(r *http.Request) (Rule, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, rule := range j.rules {
		if !strings.HasPrefix(r.URL.Path, rule.Path) || (rule.Method != "" && rule.Method != r.Method) {
			continue
		}
		if rule.Count > 0 {
			rule.Count--
			if rule.Count == 0 {
				j.rules = append(j.rules[:i:i], j.rules[i+1:]...)
			}
		}
		return *rule, true
	}
	return Rule{}, false
}

// Wrap returns a handler that serves the fault API below /fault and injects
// failures into all other requests.
func (j *Injector) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", j.serveAdd)
	mux.HandleFunc("DELETE /fault", func(http.ResponseWriter, *http.Request) { j.Clear() })
	mux.HandleFunc("POST /fault/freeze", func(http.ResponseWriter, *http.Request) { j.Freeze() })
	mux.HandleFunc("POST /fault/thaw", func(http.ResponseWriter, *http.Request) { j.Thaw() })
	mux.HandleFunc("POST /fault/restart", func(http.ResponseWriter, *http.Request) {
		if j.restart != nil {
			j.restart()
		}
	})
	mux.Handle("/", j.inject(next))
	return mux
}

func (j *Injector) serveAdd(w http.ResponseWriter, r *http.Request) {
	var rule Rule
	err := json.NewDecoder(r.Body).Decode(&rule)
	if err == nil {
		err = j.Add(rule)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (j *Injector) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j.mu.Lock()
		thawed := j.thawed
		j.mu.Unlock()
		select {
		case <-thawed:
		case <-r.Context().Done():
			return
		}
		rule, ok := j.match(r)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		rule.apply(next, w, r)
	})
}

func (r Rule) apply(next http.Handler, w http.ResponseWriter, req *http.Request) {
	if r.delay > 0 {
		// net/http detects a client disconnect only after the request body
		// has been read.
		body, err := io.ReadAll(req.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case <-time.After(r.delay):
		case <-req.Context().Done():
			return
		}
	}
	switch {
	case r.Cut:
		panic(http.ErrAbortHandler)
	case r.LoseAnswer:
		next.ServeHTTP(&discardWriter{header: http.Header{}}, req)
		panic(http.ErrAbortHandler)
	case r.CutAfter > 0:
		next.ServeHTTP(&truncatingWriter{ResponseWriter: w, remaining: r.CutAfter}, req)
	case r.Status > 0:
		http.Error(w, "injected fault", r.Status)
	default:
		next.ServeHTTP(w, req)
	}
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) Flush()                      {}

// truncatingWriter aborts the connection once remaining bytes have been written.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

func (c *truncatingWriter) Write(p []byte) (int, error) {
	if len(p) < c.remaining {
		c.remaining -= len(p)
		return c.ResponseWriter.Write(p)
	}
	_, _ = c.ResponseWriter.Write(p[:c.remaining])
	c.Flush()
	panic(http.ErrAbortHandler)
}

func (c *truncatingWriter) Flush() { _ = http.NewResponseController(c.ResponseWriter).Flush() }
