package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/httpport"
)

// framed sends body as an answer whose framing ends properly, and closes the
// connection.
func framed(f httpport.Framing, contentType, body string) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: %s\r\n", r.Header.Get("Id"), contentType)
		switch f {
		case httpport.FramingLength:
			_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
		case httpport.FramingChunks:
			_, _ = io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n")
			if body != "" {
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(body), body)
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		default:
			_, _ = fmt.Fprintf(c, "\r\n%s", body)
		}
		return false
	}
}

// TestStreamEndingInsideEventIsBroken guards against streams that break off and
// reach their callers as complete (incident archive-order).
func TestStreamEndingInsideEventIsBroken(t *testing.T) {
	const eventStream = "text/event-stream"
	whole := event(1) + event(2)
	all := []httpport.Framing{httpport.FramingLength, httpport.FramingChunks, httpport.FramingClose}
	unsized, marked := all[1:], all[:2]
	cases := map[string]struct {
		contentType, body string
		framings          []httpport.Framing
		complete          bool
	}{
		"whole":                   {eventStream, whole, all, true},
		"whole, other line ends":  {eventStream, strings.ReplaceAll(whole, "\n", "\r\n"), unsized, true},
		"no type, whole":          {"", whole, unsized, true},
		"no events, framed":       {eventStream, "", marked, true},
		"no events, closed":       {eventStream, "", all[2:], false},
		"inside the first event":  {eventStream, event(1)[:8], all, false},
		"inside the second event": {eventStream, event(1) + event(2)[:8], all, false},
		"before the empty line":   {eventStream, whole[:len(whole)-1], all, false},
		"no type, inside":         {"", event(1) + "id:", unsized, false},
		"no event stream":         {"application/json", `{"text":"x"}`, all, true},
	}
	routes := map[string]bamboorail.RouteSpec{"once": oneStream, "resumable": resumable, "no streaming route": once}
	for name, c := range cases {
		for route, spec := range routes {
			for _, f := range c.framings {
				if c.contentType == "" && !spec.Streaming {
					continue // nothing tells that this is a stream
				}
				t.Run(fmt.Sprintf("%s, %s, %s", name, route, f), func(t *testing.T) {
					spec.MaxAttempts = 1
					r := newTestRelay(t, spec, newTarget(t, "a", framed(f, c.contentType, c.body))).call(t, http.MethodPost, "/p/x", "body")
					if complete := !r.broken && r.status == http.StatusOK; complete != c.complete {
						t.Errorf("complete %t, want %t: %+v", complete, c.complete, r)
					}
					if c.complete && r.body != c.body {
						t.Errorf("body %q", r.body)
					}
				})
			}
		}
	}
}

// TestStreamEndingInsideEventIsResumed guards against a resumable stream whose
// unfinished event is dropped without a resumption (incident archive-order).
func TestStreamEndingInsideEventIsResumed(t *testing.T) {
	for _, f := range []httpport.Framing{httpport.FramingLength, httpport.FramingChunks, httpport.FramingClose} {
		t.Run(string(f), func(t *testing.T) {
			a := newTarget(t, "a", framed(f, "text/event-stream", event(1)+event(2)[:8]))
			spare := newTarget(t, "spare", stream(true, event(2), event(3)))
			r := newTestRelay(t, resumable, a, spare).call(t, http.MethodPost, "/p/x", "body")
			if want := event(1) + event(2) + event(3); r.broken || r.body != want {
				t.Fatalf("answer %+v, want %q", r, want)
			}
			if last := spare.seen()[0].header.Get("Last-Event-Id"); last != "1" {
				t.Errorf("resumed after event %q, want 1", last)
			}
		})
	}
}

// TestBrokenAnswerIsResetWithoutChunks guards against broken answers that look
// complete to callers of HTTP/1.0, for whom the connection ends the answer.
func TestBrokenAnswerIsResetWithoutChunks(t *testing.T) {
	cases := map[string]struct {
		answer script
		whole  bool
	}{
		"broken stream": {stream(false, event(1)), false},
		"whole stream":  {stream(true, event(1)), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestRelay(t, oneStream, newTarget(t, "a", c.answer))
			conn, err := net.Dial("tcp", b.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, "GET /p/x HTTP/1.0\r\nHost: host.example\r\nId: id-1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); (err == nil) != c.whole {
				t.Errorf("body %q ends with %v", body, err)
			}
		})
	}
}

// TestBrokenAnswerWithoutEventsIsNotContinued guards against an answer whose
// second half is the stream of another run.
func TestBrokenAnswerWithoutEventsIsNotContinued(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: application/json\r\n"
	cases := map[string]script{
		"short":       raw(head + "Content-Length: 9\r\n\r\n{"),
		"long":        raw(head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*maxBufferedAnswer, strings.Repeat(" ", maxBufferedAnswer+1))),
		"long, reset": reset(head + "\r\n" + strings.Repeat(" ", maxBufferedAnswer+1)),
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			spare := newTarget(t, "spare", stream(true, event(1)))
			r := newTestRelay(t, resumable, newTarget(t, "a", first), spare).call(t, http.MethodPost, "/p/x", "body")
			if !r.broken || len(spare.seen()) != 0 {
				t.Errorf("answer ends with %q, broken %t, %d requests at the second target", r.body[max(0, len(r.body)-40):], r.broken, len(spare.seen()))
			}
		})
	}
}

// TestFailureOnStreamingRoutePasses guards against a failure of the target that is
// taken for a broken stream, since its body is no event.
func TestFailureOnStreamingRoutePasses(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 4\r\n", "close": "", "type": "Content-Type: text/plain\r\n"} {
		t.Run(name, func(t *testing.T) {
			a := newTarget(t, "a", raw("HTTP/1.1 500 No\r\nId: ID\r\n"+head+"\r\nsick"))
			r := newTestRelay(t, oneStream, a).call(t, http.MethodPost, "/p/x", "body")
			if r.status != http.StatusInternalServerError || r.body != "sick" || r.broken {
				t.Errorf("answer %+v", r)
			}
		})
	}
}

// TestBreaksAtTheStartAreTold checks which results tell the chooser that the target
// broke a call off before or as it began to answer.
func TestBreaksAtTheStartAreTold(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	var many []string
	for n := range 2 * startBytes / len(event(1)) {
		many = append(many, event(n+1))
	}
	cases := map[string]struct {
		answer script
		want   balance.Result
	}{
		"reset before the head":  {reset(""), balance.Dropped},
		"closed before the head": {raw(""), balance.Dropped},
		"closed after the head":  {raw(head), balance.CutShort},
		"closed without framing": {framed(httpport.FramingClose, "text/event-stream", ""), balance.CutShort},
		"after the first event":  {stream(false, event(1)), balance.CutShort},
		"midway":                 {stream(false, many...), balance.Failed},
		"refused":                {raw("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), balance.Refused},
		"whole":                  {stream(true, event(1)), balance.Answered},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestRelay(t, oneStream, newTarget(t, "a", c.answer))
			b.call(t, http.MethodPost, "/p/x", "body")
			if got := b.chooser.releasedResults(); len(got) != 1 || got[0] != c.want {
				t.Errorf("results %v, want %v", got, c.want)
			}
		})
	}
}
