package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/httpport"
)

const lastTestEvent = 5

// eventsBetween returns the events after one up to another one.
func eventsBetween(after, last int) string {
	text := ""
	for id := after + 1; id <= last; id++ {
		text += event(id)
	}
	return text
}

// continuing sends the events after Last-Event-Id to the last one.
func continuing(c net.Conn, r *http.Request) bool {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return false
	}
	return stream(true, eventsBetween(after, lastTestEvent))(c, r)
}

// misfits are answers that do not continue a stream after event 3.
func misfits() map[string]script {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\n"
	const eventStream = "text/event-stream"
	cases := map[string]script{
		"begins at event 1":           stream(true, event(1), event(2), event(3), event(4), event(5)),
		"begins at event 1, at once":  stream(true, eventsBetween(0, lastTestEvent)),
		"last event again":            stream(true, event(3), event(4), event(5)),
		"gap":                         stream(true, event(6)),
		"ids fall":                    stream(true, event(4), event(2)),
		"ids fall at once":            stream(true, event(4)+event(2)),
		"ids repeat":                  stream(true, event(4), event(4)),
		"ids are no numbers":          stream(true, "id: a\ndata: b\n\n"),
		"ids are missing":             stream(true, event(4), "data: token-5\n\n"),
		"text/plain":                  framed(httpport.FramingLength, "text/plain", "sorry\n\n"),
		"application/json":            framed(httpport.FramingChunks, "application/json", `{"error":"sorry"}`),
		"no type":                     raw(head + "Content-Length: 7\r\n\r\nsorry\n\n"),
		"no type, no event":           raw(head + "Content-Length: 5\r\n\r\nsorry"),
		"error event without an id":   stream(true, "data: {\"error\":\"sorry\"}\n\n"),
		"error event":                 stream(true, "event: error\nid: 4\ndata: sorry\n\n"),
		"begins with a head":          stream(true, "HTTP/1.1 500 No\r\nContent-Type: text/plain\r\n\r\nsorry\n\n"),
		"head between events":         stream(true, event(4), "HTTP/1.1 500 No\r\nContent-Type: text/plain\r\n\r\n", event(5)),
		"head in an event":            stream(true, "id: 4\ndata: token-4\nHTTP/1.1 500 No\r\nContent-Type: text/plain\r\n\r\n"),
		"only a comment":              stream(true, ": sorry\n\n"),
		"inside an event":             stream(true, event(4)[:8]),
		"answer of another call":      raw("HTTP/1.1 200 OK\r\nId: x\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r\n" + event(4)),
		"redirection to another host": raw("HTTP/1.1 301 Moved\r\nId: ID\r\nLocation: http://example.com/\r\nContent-Length: 0\r\n\r\n"),
	}
	for _, f := range []httpport.Framing{httpport.FramingLength, httpport.FramingChunks, httpport.FramingClose} {
		cases["empty, "+string(f)] = framed(f, eventStream, "")
	}
	for _, status := range []int{204, 206, 400, 404, 421, 429, 500, 503} {
		cases[fmt.Sprint(status)] = answerStatus(status)
		if status == http.StatusNoContent {
			continue
		}
		for _, contentType := range []string{"text/plain", eventStream} {
			cases[fmt.Sprintf("%d, %s", status, contentType)] = raw(fmt.Sprintf(
				"HTTP/1.1 %d Status\r\nId: ID\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(event(1)), event(1)))
		}
	}
	return cases
}

// TestContinuationThatDoesNotFitReachesNoCaller guards against streams with bytes of another run or of a failure, and short ones that appear complete (incident archive-silent-targets).
func TestContinuationThatDoesNotFitReachesNoCaller(t *testing.T) {
	broken := func() *fakeTarget { return newTarget(t, "a", stream(false, event(1), event(2), event(3))) }
	spec := resumable
	spec.MaxAttempts = 3
	ways := map[string]func(*testing.T, ...*fakeTarget) *testRelay{
		"in turn": func(t *testing.T, others ...*fakeTarget) *testRelay {
			return newTestRelay(t, spec, append([]*fakeTarget{broken()}, others...)...)
		},
		"through another instance": func(t *testing.T, others ...*fakeTarget) *testRelay {
			b := newTestRelay(t, spec)
			b.detour.neighbors = map[string]func(context.Context, ForwardCall) (ForwardedAnswer, error){}
			for _, g := range append([]*fakeTarget{broken()}, others...) {
				name := g.entry.ID.Name
				g.entry.Software = "v1"
				b.detour.order = append(b.detour.order, name)
				b.detour.neighbors[name] = newTestRelay(t, spec, g).through
			}
			return b
		},
	}
	complete := eventsBetween(0, lastTestEvent)
	for way, start := range ways {
		for name, misfit := range misfits() {
			t.Run(way+", "+name, func(t *testing.T) {
				t.Parallel()
				r := start(t, newTarget(t, "b", misfit)).call(t, http.MethodPost, "/p/x", "body")
				if !r.broken || len(r.body) < len(eventsBetween(0, 3)) || !strings.HasPrefix(complete, r.body) || !strings.HasSuffix(r.body, "\n\n") {
					t.Errorf("alone: broken %t, %q", r.broken, r.body)
				}
				r = start(t, newTarget(t, "b", misfit), newTarget(t, "c", continuing)).call(t, http.MethodPost, "/p/x", "body")
				if r.broken || r.body != complete {
					t.Errorf("before one that fits: broken %t, %q", r.broken, r.body)
				}
			})
		}
	}
}

// TestSilentStreamIsNotReplacedByOneThatDoesNotFit guards against a sound stream that is cut for an answer that cannot continue it (incident archive-silent-targets).
func TestSilentStreamIsNotReplacedByOneThatDoesNotFit(t *testing.T) {
	silent := func(c net.Conn, r *http.Request) bool {
		stream(false, event(1), event(2), event(3))(c, r)
		rest := eventsBetween(3, lastTestEvent)
		return silentFor(stall, func(c net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
			return true
		})(c, r)
	}
	for name, misfit := range misfits() {
		if strings.HasPrefix(name, "ids fall") || strings.HasPrefix(name, "ids repeat") || strings.HasPrefix(name, "ids are missing") || name == "head between events" {
			continue // the first event fits, so that the rest is in turn
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestRelay(t, resumable, newTarget(t, "a", silent), newTarget(t, "b", misfit, misfit, misfit, misfit))
			if r := b.call(t, http.MethodPost, "/p/x", "body"); r.broken || r.body != eventsBetween(0, lastTestEvent) {
				t.Errorf("broken %t, %q", r.broken, r.body)
			}
		})
	}
}

// TestResumedCallBeginsAfterItsEvent guards against callers that come back for the rest of a stream and get other events (incident archive-silent-targets).
func TestResumedCallBeginsAfterItsEvent(t *testing.T) {
	call := func(t *testing.T, targets ...*fakeTarget) result {
		b := newTestRelay(t, resumable, targets...)
		b.origins["id-0"] = bamboorail.StreamOrigin{Service: "s"}
		return b.call(t, http.MethodPost, "/p/x", "body", "Last-Event-Id", "3", "Resumes", "id-0")
	}
	rest := eventsBetween(3, lastTestEvent)
	for name, misfit := range misfits() {
		if strings.HasPrefix(name, "empty, ") || name == "only a comment" || name == "gap" {
			continue // nothing shows whether event 3 was the last one, or the step of the ids
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := call(t, newTarget(t, "b", misfit))
			if r.status < 300 && (!r.broken || r.body == "" || !strings.HasPrefix(rest, r.body)) {
				t.Errorf("alone: status %d, broken %t, %q", r.status, r.broken, r.body)
			}
			r = call(t, newTarget(t, "b", misfit), newTarget(t, "c", continuing))
			if r.status < 300 && (r.broken || r.body != rest || r.header.Get("Content-Type") != "text/event-stream") {
				t.Errorf("before one that fits: status %d, broken %t, %q", r.status, r.broken, r.body)
			}
		})
	}
}

// TestStreamsWithoutComparableIdsAreContinued guards against continuations that are refused though nothing shows that they do not fit.
func TestStreamsWithoutComparableIdsAreContinued(t *testing.T) {
	cases := map[string]struct{ first, second string }{
		"names":              {"id: b\ndata: 1\n\n", "id: a\ndata: 2\n\n"},
		"no ids":             {"data: 1\n\n", "data: 2\n\n"},
		"ids on some events": {event(1) + "data: x\n\n", event(2) + "data: y\n\n"},
		"ids that fall":      {event(2) + event(1), event(1)},
		"larger steps":       {event(3) + event(6) + event(9), event(12)},
		"uneven steps":       {event(1) + event(2) + event(5), event(9)},
		"one step":           {event(1) + event(2), event(5)},
		"comments":           {event(1), ": x\n\nretry: 5\n\n" + event(2)},
		"version first":      {event(1), "versions: 3\n" + event(2)},
		"other line ends":    {event(1), strings.ReplaceAll(event(2), "\n", "\r\n")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestRelay(t, resumable, newTarget(t, "a", stream(false, c.first)), newTarget(t, "b", stream(true, c.second)))
			if r := b.call(t, http.MethodPost, "/p/x", "body"); r.broken || r.body != c.first+c.second {
				t.Errorf("broken %t, %q", r.broken, r.body)
			}
		})
	}
	t.Run("nothing left for the caller", func(t *testing.T) {
		b := newTestRelay(t, resumable, newTarget(t, "a", stream(true)))
		b.origins["id-0"] = bamboorail.StreamOrigin{Service: "s"}
		r := b.call(t, http.MethodPost, "/p/x", "body", "Last-Event-Id", "3", "Resumes", "id-0")
		if r.broken || r.status != http.StatusOK || r.body != "" {
			t.Errorf("answer %+v", r)
		}
	})
}

// TestStreamWithOtherLineEndsIsResumed guards against streams that cannot be continued because their ids are not read (incident archive-silent-targets).
func TestStreamWithOtherLineEndsIsResumed(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		t.Run(fmt.Sprintf("%q", end), func(t *testing.T) {
			text := func(id int) string { return strings.ReplaceAll(event(id), "\n", end) }
			spare := newTarget(t, "b", stream(true, text(2)))
			r := newTestRelay(t, resumable, newTarget(t, "a", stream(false, text(1))), spare).call(t, http.MethodPost, "/p/x", "body")
			if r.broken || r.body != text(1)+text(2) {
				t.Fatalf("answer %+v", r)
			}
			if last := spare.seen()[0].header.Get("Last-Event-Id"); last != "1" {
				t.Errorf("resumed after event %q", last)
			}
		})
	}
}
