package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/telemetry"
)

var (
	once      = bamboorail.RouteSpec{Repeat: bamboorail.RepeatNever, MaxAttempts: 1}
	always    = bamboorail.RouteSpec{Repeat: bamboorail.RepeatAlways, MaxAttempts: 2, Objective: 300 * time.Millisecond}
	resumable = bamboorail.RouteSpec{Repeat: bamboorail.RepeatResume, Streaming: true, MaxAttempts: 2}
	oneStream = bamboorail.RouteSpec{Repeat: bamboorail.RepeatNever, Streaming: true, MaxAttempts: 1}
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", id, id) }

// TestRequestsPassUnchanged checks that method, path, query and body reach the
// target as the caller sent them.
func TestRequestsPassUnchanged(t *testing.T) {
	cases := map[string]struct{ method, uri, body string }{
		"escaped slash":      {http.MethodGet, "/p/a%2fb%20c?x=1&y=%2f", ""},
		"empty query":        {http.MethodGet, "/p/a?", ""},
		"dots and semicolon": {http.MethodPost, "/p/../p/;a=b", "{}"},
		"request in a body":  {http.MethodPost, "/p/x", "GET /other HTTP/1.1\r\nHost: host.example\r\n\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newTarget(t, "a", answer("ok"))
			b := newTestRelay(t, once, g)
			if r := b.call(t, c.method, c.uri, c.body); r.status != http.StatusOK || r.body != "ok" {
				t.Fatalf("answer %+v", r)
			}
			got := g.seen()
			if len(got) != 1 || got[0].method != c.method || got[0].uri != c.uri || got[0].body != c.body {
				t.Errorf("target saw %+v", got)
			}
		})
	}
}

// truncations are answers that break off at different points of a connection.
var truncations = map[string]script{
	"closed before the answer":   raw(""),
	"reset before the answer":    reset(""),
	"closed in the status line":  raw("HTTP/1.1 20"),
	"closed in the head":         raw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Le"),
	"closed in the body":         raw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nwho"),
	"closed in a chunk":          raw("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwho"),
	"closed before the last one": raw("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n"),
	"reset without a length":     reset("HTTP/1.1 200 OK\r\nId: ID\r\n\r\nwho"),
	"not HTTP":                   raw("garbage\r\n\r\n"),
	"another request's answer":   raw("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"),
}

// TestNonRepeatableCallIsSentOnce checks that a call that may not be repeated
// reaches one target once, wherever its connection breaks, and that its caller
// is not told that it has not run.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	for name, truncation := range truncations {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused connection %t", name, reused), func(t *testing.T) {
				scripts := []script{truncation}
				if reused {
					scripts = []script{answer("first"), truncation}
				}
				a, spare := newTarget(t, "a", scripts...), newTarget(t, "spare")
				b := newTestRelay(t, once, a, spare)
				if reused {
					b.call(t, http.MethodPost, "/p/x", "body")
				}
				r := b.call(t, http.MethodPost, "/p/x", "body")
				if r.status != http.StatusBadGateway {
					t.Errorf("status %d, want 502", r.status)
				}
				if n := len(a.seen()) + len(spare.seen()); n != len(scripts) {
					t.Errorf("%d requests reached targets, want %d", n, len(scripts))
				}
			})
		}
	}
}

// TestTransportDoesNotRetry guards against retries by net/http, which repeats
// some requests on reused connections by itself. Each request at the target
// must be one that the relay counted.
func TestTransportDoesNotRetry(t *testing.T) {
	spec := always
	spec.MaxAttempts = 1
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions} {
		t.Run(method, func(t *testing.T) {
			g := newTarget(t, "a", answer("first"), raw(""))
			b := newTestRelay(t, spec, g)
			b.call(t, http.MethodGet, "/p/x", "", "Idempotency-Key", "k")
			b.call(t, method, "/p/x", "", "Idempotency-Key", "k")
			if n := len(g.seen()); n != 2 {
				t.Errorf("%d requests reached the target, want 2", n)
			}
		})
	}
}

// TestIdempotentCallIsRepeated checks that an idempotent call is sent to
// another target after a broken answer, and that the caller gets one complete
// answer.
func TestIdempotentCallIsRepeated(t *testing.T) {
	for name, truncation := range truncations {
		t.Run(name, func(t *testing.T) {
			a, spare := newTarget(t, "a", truncation), newTarget(t, "spare", answer("whole"))
			r := newTestRelay(t, always, a, spare).call(t, http.MethodGet, "/p/x", "")
			if r.status != http.StatusOK || r.body != "whole" || r.broken {
				t.Errorf("answer %+v", r)
			}
			if len(a.seen()) != 1 || len(spare.seen()) != 1 {
				t.Errorf("targets received %d and %d requests, want 1 each", len(a.seen()), len(spare.seen()))
			}
		})
	}
}

// TestNotRunStatusIsReliable checks that statuses that imply "not run" are
// given only to calls that no target ran.
func TestNotRunStatusIsReliable(t *testing.T) {
	refusal := raw("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	cases := map[string]struct {
		spec   bamboorail.RouteSpec
		first  script
		status int
	}{
		"refused by the target":          {once, refusal, http.StatusServiceUnavailable},
		"failure of the target":          {once, raw("HTTP/1.1 500 No\r\nId: ID\r\nContent-Length: 2\r\n\r\nno"), http.StatusInternalServerError},
		"truncated":                      {once, raw(""), http.StatusBadGateway},
		"truncated, then refused":        {always, raw(""), http.StatusBadGateway},
		"another instance's address":     {once, raw("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"), http.StatusServiceUnavailable},
		"answer to another call":         {once, raw("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway},
		"stream refused before an event": {oneStream, refusal, http.StatusServiceUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			second := refusal
			if name == "another instance's address" {
				second = c.first
			}
			a, spare := newTarget(t, "a", c.first, second, second, second), newTarget(t, "spare", second, second, second, second)
			r := newTestRelay(t, c.spec, a, spare).call(t, http.MethodPost, "/p/x", "body")
			if r.status != c.status {
				t.Errorf("status %d, want %d", r.status, c.status)
			}
			if c.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
}

// TestStreamResumesAtAnotherTarget checks that an interrupted resumable stream
// continues at another target without missing or repeated events.
func TestStreamResumesAtAnotherTarget(t *testing.T) {
	a := newTarget(t, "a", stream(false, event(1), event(2)+"id: 3\ndata: hal"))
	spare := newTarget(t, "spare", stream(true, event(3), event(4)))
	r := newTestRelay(t, resumable, a, spare).call(t, http.MethodPost, "/p/x", "body")
	if want := event(1) + event(2) + event(3) + event(4); r.body != want || r.broken {
		t.Errorf("answer %+v, want body %q", r, want)
	}
	if got := spare.seen(); len(got) != 1 || got[0].header.Get("Last-Event-Id") != "2" {
		t.Errorf("second target saw %+v", got)
	}
}

// TestFailedResumptionBreaksStream checks that the caller sees a broken stream
// if the second target fails, never a short one that looks complete (coupons
// site, hunt-2113-3, ORDER).
func TestFailedResumptionBreaksStream(t *testing.T) {
	cases := map[string]script{
		"failure with a type":   raw("HTTP/1.1 500 No\r\nId: ID\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nno"),
		"failure of the target": raw("HTTP/1.1 500 No\r\nId: ID\r\nContent-Length: 2\r\n\r\nno"),
		"refusal":               raw("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"another call's answer": raw("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n"),
		"truncated again":       stream(false, event(3)),
	}
	for name, second := range cases {
		t.Run(name, func(t *testing.T) {
			a, spare := newTarget(t, "a", stream(false, event(1), event(2))), newTarget(t, "spare", second)
			if r := newTestRelay(t, resumable, a, spare).call(t, http.MethodPost, "/p/x", "body"); !r.broken {
				t.Errorf("the stream ended as if complete: %+v", r)
			}
		})
	}
}

// TestNonResumableStreamBreaks checks that a stream that may not be resumed is
// not sent to another target and does not look complete.
func TestNonResumableStreamBreaks(t *testing.T) {
	a, spare := newTarget(t, "a", stream(false, event(1), event(2))), newTarget(t, "spare")
	r := newTestRelay(t, oneStream, a, spare).call(t, http.MethodPost, "/p/x", "body")
	if !r.broken || len(spare.seen()) != 0 {
		t.Errorf("answer %+v, %d requests at the second target", r, len(spare.seen()))
	}
}

// TestCallMovesFromLeavingTarget checks that a call that waits for a target
// goes to another one if the first starts to leave (archive site, scale-2
// --seed 306864834133, DRAIN).
func TestCallMovesFromLeavingTarget(t *testing.T) {
	a, spare := newTarget(t, "a"), newTarget(t, "spare", answer("whole"))
	b := newTestRelay(t, once, a, spare)
	b.chooser.leaving, b.chooser.wait = "a", 10*time.Millisecond
	if r := b.call(t, http.MethodPost, "/p/x", "body"); r.body != "whole" {
		t.Errorf("answer %+v", r)
	}
	if len(a.seen()) != 0 {
		t.Error("the leaving target got the call")
	}
}

// TestCallerDisconnectFreesTarget checks that the connection to the target is
// closed when the caller disconnects.
func TestCallerDisconnectFreesTarget(t *testing.T) {
	a := newTarget(t, "a")
	a.scripts = []script{a.neverAnswer}
	b := newTestRelay(t, once, a)
	req, err := http.NewRequest(http.MethodGet, b.URL+"/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "host.example"
	client := &http.Client{Timeout: 100 * time.Millisecond}
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("a silent target answered")
	}
	<-a.closed
	b.Close()
	if got := b.chooser.results; len(got) != 1 || got[0] != balance.Abandoned {
		t.Errorf("reservation released with results %v", got)
	}
}

// TestRouteTimeoutEndsCall checks that the caller gets an answer at the
// operator's timeout, and that it does not imply that the call has not run.
func TestRouteTimeoutEndsCall(t *testing.T) {
	a := newTarget(t, "a")
	a.scripts = []script{a.neverAnswer}
	spec := once
	spec.Timeout = 150 * time.Millisecond
	if r := newTestRelay(t, spec, a).call(t, http.MethodPost, "/p/x", "body", "Timeout-Ms", "60000"); r.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", r.status)
	}
	<-a.closed
}

// TestTargetLackingAdapter checks that a target that is loading the adapter is
// tried again, and that one that was only assumed to hold it is not.
func TestTargetLackingAdapter(t *testing.T) {
	misdirected := func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	cases := map[string]struct {
		assumed bool
		first   int // requests at the first target
	}{
		"loads the adapter":           {false, 2},
		"assumed to hold the adapter": {true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, spare := newTarget(t, "a", misdirected, answer("whole")), newTarget(t, "spare", answer("whole"))
			b := newTestRelay(t, oneStream, a, spare)
			b.chooser.assumed = c.assumed
			if r := b.call(t, http.MethodPost, "/p/x", "body"); r.body != "whole" {
				t.Errorf("answer %+v", r)
			}
			if n := len(a.seen()); n != c.first {
				t.Errorf("%d requests at the first target, want %d", n, c.first)
			}
		})
	}
}

// TestEachStepHasASpan checks the spans of a call that is repeated at a second
// target.
func TestEachStepHasASpan(t *testing.T) {
	first := newTarget(t, "t1", reset(""))
	second := newTarget(t, "t2", answer("whole"))
	b := newTestRelay(t, bamboorail.RouteSpec{Repeat: bamboorail.RepeatAlways, MaxAttempts: 2}, first, second)
	const traceID, parent = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	if got := b.call(t, http.MethodGet, "/p/x", "", "Traceparent", "00-"+traceID+"-"+parent+"-01"); got.body != "whole" {
		t.Fatalf("answer %+v", got)
	}
	var steps []string
	var root telemetry.Span
	for len(steps) < 5 { // the caller has its answer before the last span ends
		steps = nil
		for _, s := range b.spans.Find("", "id-1") {
			name := s.Name
			if failed := s.Fields["failed"]; failed != "" {
				name += " " + failed
			}
			steps = append(steps, name)
			if s.ParentID == parent {
				root = s
			}
		}
		time.Sleep(time.Millisecond)
	}
	want := []string{"entry r", "choose", "target t1 unavailable/may-have-run", "choose", "target t2"}
	if !slices.Equal(steps, want) {
		t.Errorf("spans %q, want %q", steps, want)
	}
	if root.TraceID != traceID || root.Fields["sent"] != "2" || root.Fields["status"] != "200" {
		t.Errorf("root span %+v", root)
	}
}

// streamForever streams events until the client closes the connection.
func (g *fakeTarget) streamForever(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"))
	// More data than the buffers of both connections hold until the deadline.
	many := strings.Repeat(event(0), 4096)
	for {
		if _, err := io.WriteString(c, many); err != nil {
			g.closed <- struct{}{}
			return false
		}
	}
}

// TestStalledCallersAreDisconnected checks that a caller that reads nothing
// holds its target only until its deadline, and that one that never completes
// its body gets no target.
func TestStalledCallersAreDisconnected(t *testing.T) {
	cases := map[string]struct {
		body string
		runs int
	}{
		"reads nothing":            {body: "body", runs: 1},
		"sends a part of its body": {body: "bo", runs: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow := newTarget(t, "t1")
			slow.scripts = []script{slow.streamForever}
			b := newTestRelay(t, oneStream, slow)
			conn, err := net.Dial("tcp", b.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.(*net.TCPConn).SetReadBuffer(1 << 10); err != nil {
				t.Fatal(err)
			}
			_, err = fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: host.example\r\nId: id-1\r\nTimeout-Ms: 300\r\nContent-Length: 4\r\n\r\n%s", c.body)
			if err != nil {
				t.Fatal(err)
			}
			if c.runs == 0 {
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || resp.StatusCode != http.StatusBadRequest {
					t.Errorf("answer %+v, %v", resp, err)
				}
			} else {
				// The timeout of the test run bounds both waits.
				<-slow.closed
				for len(b.chooser.releasedResults()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
			}
			if runs := len(slow.seen()); runs != c.runs {
				t.Errorf("%d requests reached the target, want %d", runs, c.runs)
			}
		})
	}
}
