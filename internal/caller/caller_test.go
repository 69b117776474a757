package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/caller"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/telemetry"
	"bamboorail.example/bamboorail/pkg/record"
)

// fakeDispatcher returns an error for every request and records the last one.
type fakeDispatcher struct {
	err  error
	last *bamboorail.Request
}

func (d *fakeDispatcher) Dispatch(_ context.Context, w *bamboorail.Request, _ bamboorail.Sink) error {
	d.last = w
	return d.err
}

func newHandler(t testing.TB, err error) http.Handler {
	t.Helper()
	return newHandlerOf(t, &fakeDispatcher{err: err})
}

func newHandlerOf(t testing.TB, d bamboorail.Dispatcher, records ...string) http.Handler {
	t.Helper()
	store := memory.NewStore()
	change := platform.Change{ID: "c", Apply: []json.RawMessage{
		json.RawMessage(`{"schema-version":1,"kind":"caller","name":"c","token-sha256":"` + record.HashToken("secret") + `","adapters":["*"],"services":["*"]}`),
		json.RawMessage(`{"schema-version":1,"kind":"adapter","name":"a","base-model":"b","versions":[{"name":"v1"}]}`),
	}}
	for _, r := range records {
		change.Apply = append(change.Apply, json.RawMessage(r))
	}
	if _, err := platform.NewWriter(store).Commit(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	r := platform.NewReader(store, func(*platform.View, []error) {})
	if err := r.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	spans := telemetry.NewSpanStore("i", 16)
	return caller.NewServer(caller.Config{
		Zone: "z", View: r.Current, Dispatcher: d, Ready: func() error { return nil }, MaxBody: 1 << 16,
		Metrics: telemetry.NewMetrics(), Tracer: telemetry.NewTracer(spans), Log: logflags.Discard().Layer("caller"),
	}).Handler()
}

func post(h http.Handler, body string, header map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

type taggedError struct{ bamboorail.Failure }

// TestEveryErrorStatesItsOutcome checks that errors of all kinds have a status
// and an outcome, and on 429 and 503 a Retry-After header.
func TestEveryErrorStatesItsOutcome(t *testing.T) {
	kinds := map[bamboorail.Kind]int{
		bamboorail.KindOverloaded: 429, bamboorail.KindNoTarget: 503, bamboorail.KindNotOwner: 503, bamboorail.KindUnavailable: 503,
		bamboorail.KindLoadFailed: 503, bamboorail.KindStaleHandle: 503, bamboorail.KindDeadlineExceeded: 504, bamboorail.KindMismatch: 502,
		bamboorail.KindTruncated: 502, bamboorail.KindTargetFailed: 502, bamboorail.KindAlreadySeen: 409, bamboorail.KindCancelled: 499,
		bamboorail.KindInternal: 500, bamboorail.Kind("of-a-newer-peer"): 500,
	}
	for kind, status := range kinds {
		for _, outcome := range []bamboorail.Outcome{bamboorail.OutcomeNotRun, bamboorail.OutcomeMayHaveRun, ""} {
			t.Run(string(kind)+" "+string(outcome), func(t *testing.T) {
				err := &taggedError{bamboorail.Failure{Op: "x", Kind: kind, Outcome: outcome}}
				w := post(newHandler(t, err), `{"model":"a@v1","prompt":"x"}`, nil)
				want := outcome
				if want == "" {
					want = bamboorail.OutcomeMayHaveRun // if it is not known
				}
				if w.Code != status || w.Header().Get(caller.OutcomeHeader) != string(want) {
					t.Errorf("status %d, outcome %q", w.Code, w.Header().Get(caller.OutcomeHeader))
				}
				if (status == 429 || status == 503) && w.Header().Get("Retry-After") == "" {
					t.Error("no Retry-After")
				}
			})
		}
	}
	w := post(newHandler(t, errors.New("without a failure")), `{"model":"a@v1","prompt":"x"}`, nil)
	if w.Header().Get(caller.OutcomeHeader) != string(bamboorail.OutcomeMayHaveRun) {
		t.Error("an unclassified error is not reported as possibly run")
	}
}

// TestRoutedCallsAreForwardedUnchanged checks the request that is dispatched
// for a routed call.
func TestRoutedCallsAreForwardedUnchanged(t *testing.T) {
	d := &fakeDispatcher{err: &taggedError{bamboorail.Failure{Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun}}}
	h := newHandlerOf(t, d,
		`{"schema-version":1,"kind":"target","name":"t","role":"application","zone":"z","url":"http://t.example","service":"s"}`,
		`{"schema-version":3,"kind":"route","name":"davky","host":"h.example","path-prefix":"/","services":[{"service":"s"}],"repeat":"always","timeout":"2s","max-attempts":3,"priority":7}`,
		`{"schema-version":3,"kind":"route","name":"raz","host":"h.example","path-prefix":"/raz/","services":[{"service":"s"}],"repeat":"never","timeout":"3m"}`,
	)
	for name, c := range map[string]struct {
		target     string
		repeatable bool
		attempts   int
		priority   bamboorail.Priority
		timeout    time.Duration
	}{
		"path not in normal form": {"/a//b/../c?x=%2F&x=1", true, 3, bamboorail.PriorityBatch, 2 * time.Second},
		"longest prefix":          {"/raz/%41", false, 6, bamboorail.PriorityInteractive, 3 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPut, "http://h.example:8080"+c.target, strings.NewReader("body"))
			r.Header.Set("Authorization", "Bearer secret")
			r.Header.Set("Request-Deadline", "9m")
			w := httptest.NewRecorder()
			start := time.Now()
			h.ServeHTTP(w, r)
			got := d.last
			if w.Code != http.StatusTooManyRequests || got == nil {
				t.Fatalf("status %d: %s", w.Code, w.Body)
			}
			if got.Path != c.target || got.Method != http.MethodPut || string(got.Body) != "body" || got.Service != "s" {
				t.Errorf("dispatched as %s %s to %s: %q", got.Method, got.Path, got.Service, got.Body)
			}
			if got.Repeatable != c.repeatable || got.MaxAttempts != c.attempts || got.Priority != c.priority {
				t.Errorf("repeatable %t, %d attempts, priority %d", got.Repeatable, got.MaxAttempts, got.Priority)
			}
			if got.Deadline.Before(start.Add(c.timeout)) || got.Deadline.After(time.Now().Add(c.timeout)) {
				t.Errorf("deadline in %s, want %s", got.Deadline.Sub(start), c.timeout)
			}
		})
	}
}

// TestDeadlineDoesNotOutliveRequest checks that the connection deadlines of one
// request do not apply to the next one on the same connection.
func TestDeadlineDoesNotOutliveRequest(t *testing.T) {
	overloaded := &taggedError{bamboorail.Failure{Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun}}
	server := httptest.NewServer(newHandler(t, overloaded))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n, body := range []string{`{"model":"a@v1","prompt":"x","stream":true}`, `{"model":"a@v1","prompt":"x"}`} {
		_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n"+
			"Request-Deadline: 50ms\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n+1, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusTooManyRequests {
			t.Fatalf("request %d: status %d, %v", n+1, resp.StatusCode, err)
		}
		time.Sleep(100 * time.Millisecond) // beyond the deadline
	}
}

func FuzzCompletions(f *testing.F) {
	f.Add(`{"model":"a@v1","prompt":"x"}`, "1s", "z.1", "secret")
	f.Add(`{"model":"a@v1","messages":[{}],"n":2}`, "-1", "\x00", "")
	f.Add(`[[[[`, "9999h", strings.Repeat("x", 200), "x")
	h := newHandler(f, &taggedError{bamboorail.Failure{Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun}})
	f.Fuzz(func(t *testing.T, body, deadline, id, token string) {
		w := post(h, body, map[string]string{"Request-Deadline": deadline, "Request-Id": id, "Authorization": "Bearer " + token})
		if w.Code < 400 || w.Header().Get(caller.OutcomeHeader) != "not-run" || !json.Valid(w.Body.Bytes()) {
			t.Errorf("status %d, header %v, body %q", w.Code, w.Header(), w.Body)
		}
	})
}

// brokenDispatcher answers a part and fails.
type brokenDispatcher struct{ header http.Header }

const partBytes = 16 << 10

func (d brokenDispatcher) Dispatch(_ context.Context, _ *bamboorail.Request, s bamboorail.Sink) error {
	if err := s.Begin(bamboorail.ResponseHead{Status: http.StatusOK, Header: d.header}); err != nil {
		return err
	}
	if err := s.Write(bytes.Repeat([]byte("x"), partBytes)); err != nil {
		return err
	}
	return &taggedError{bamboorail.Failure{Op: "o", Kind: bamboorail.KindTruncated, Outcome: bamboorail.OutcomeMayHaveRun}}
}

// TestBrokenAnswerOfServiceIsNotComplete guards against broken answers that look
// complete: to callers of HTTP/1.0, for whom the connection ends the answer, and in a
// stream that breaks off at its announced length.
func TestBrokenAnswerOfServiceIsNotComplete(t *testing.T) {
	cases := map[string]struct {
		version string
		header  http.Header
	}{
		"HTTP/1.0":         {version: "1.0"},
		"HTTP/1.1":         {version: "1.1"},
		"announced length": {"1.1", http.Header{"Content-Type": {"text/event-stream"}, "Content-Length": {fmt.Sprint(partBytes)}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(newHandlerOf(t, brokenDispatcher{c.header},
				`{"schema-version":1,"kind":"target","name":"t","role":"application","zone":"z","url":"http://t.example","service":"s"}`))
			t.Cleanup(s.Close)
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET /v1/services/s/x HTTP/%s\r\nHost: h\r\nAuthorization: Bearer secret\r\n\r\n", c.version)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // reset before its head was read
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusOK || err == nil {
				t.Errorf("status %d, %d bytes end as if complete", resp.StatusCode, len(body))
			}
		})
	}
}
