package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bamboorail.example/bamboorail"
)

// TestCutHeadIsNoAnswer guards against an answer that counts as complete although its target ended in the middle of
// the head, on each path of an answer.
func TestCutHeadIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"length last":  "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n",
		"length first": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: ID\r\nContent-Type: text/plain\r\n\r\n",
		"no length":    "HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n",
		"old protocol": "HTTP/1.0 200 OK\r\nId: ID\r\nContent-Type: text/plain\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
		"events":       "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two heads":    "HTTP/1.1 103 Early Hints\r\nId: ID\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
		"no body":      "HTTP/1.1 204 No Content\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
	}
	once := bamboorail.RouteSpec{Repeat: bamboorail.RepeatNever, MaxAttempts: 1}
	twice := bamboorail.RouteSpec{Repeat: bamboorail.RepeatAlways, MaxAttempts: 2}
	ways := map[string]struct {
		route bamboorail.RouteSpec
		// first is the answer of a target before the one whose head is cut.
		first     script
		forwarded bool
	}{
		"only attempt":       {route: once},
		"second attempt":     {route: twice, first: raw("")},
		"stream":             {route: oneStream},
		"continued stream":   {route: resumable, first: stream(false, event(1), event(2))},
		"forwarded":          {route: once, forwarded: true},
		"forwarded, twice":   {route: twice, first: raw(""), forwarded: true},
		"forwarded, resumed": {route: resumable, first: stream(false, event(1), event(2)), forwarded: true},
	}
	for name, way := range ways {
		for form, head := range heads {
			for end, cut := range map[string]func(text string) script{"closed": raw, "reset": reset} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, form, end), func(t *testing.T) {
					t.Parallel()
					b, firsts, targets := newCutRelay(t, way.route, way.first != nil, way.forwarded)
					for length := range len(head) {
						if end == "reset" && length%7 > 0 {
							continue // a reset takes 20 ms
						}
						if way.first != nil {
							firsts.scripts = append(firsts.scripts, way.first)
						}
						targets.scripts = append(targets.scripts, cut(head[:length]))
						r := b.call(t, http.MethodPost, "/p/x", "body", "Id", fmt.Sprint("id-", length))
						if len(targets.scripts) > 0 {
							t.Fatalf("the target was not called: %+v", r)
						}
						if !r.broken && r.status < http.StatusInternalServerError {
							t.Errorf("cut after %q the caller gets %d %q, complete", head[:length], r.status, r.body)
						}
						if r.status < http.StatusInternalServerError && !strings.HasPrefix(event(1)+event(2), r.body) {
							t.Errorf("cut after %q the caller gets %q", head[:length], r.body)
						}
					}
				})
			}
		}
	}
}

// newCutRelay returns a relay with a target, and one that is tried before it if first is set.
// With forwarded, another relay has them, through which calls go.
func newCutRelay(t *testing.T, spec bamboorail.RouteSpec, first, forwarded bool) (b *testRelay, firsts, last *fakeTarget) {
	t.Helper()
	last = newTarget(t, "last")
	targets := []*fakeTarget{last}
	if first {
		firsts = newTarget(t, "first")
		targets = []*fakeTarget{firsts, last}
	}
	for _, g := range targets {
		g.entry.Software = "v1"
	}
	b = newTestRelay(t, spec, targets...)
	if !forwarded {
		return b, firsts, last
	}
	entry := newTestRelay(t, spec, newTarget(t, "direct"))
	entry.detour.order = []string{"neighbor"}
	entry.detour.neighbors = map[string]func(ctx context.Context, c ForwardCall) (ForwardedAnswer, error){"neighbor": b.through}
	return entry, firsts, last
}
