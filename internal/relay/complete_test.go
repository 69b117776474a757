package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	uploadBytes = 4 << 20
	// socketBuffer is a fixed size for the buffers of a connection, which otherwise hold
	// uploadBytes after 60 ms.
	socketBuffer = 64 << 10
)

// smallBuffers opens connections whose send buffer has a fixed size.
type smallBuffers struct{ Dialer }

// DialContext opens a connection.
func (d smallBuffers) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(socketBuffer)
}

// headForms are the protocol and the fields with which a target announces that an answer
// ends with its connection.
var headForms = map[string]string{
	"1.1":        "HTTP/1.1 %s\r\nId: id-1\r\n",
	"1.1, close": "HTTP/1.1 %s\r\nId: id-1\r\nConnection: close\r\n",
	"1.0":        "HTTP/1.0 %s\r\nId: id-1\r\n",
	"1.0, close": "HTTP/1.0 %s\r\nId: id-1\r\nConnection: close\r\n",
}

// routeKinds are the kinds of routes; repeated calls have a second target.
var routeKinds = map[string]bamboorail.RouteSpec{
	"once":     {Repeat: bamboorail.RepeatNever, MaxAttempts: 1},
	"repeated": {Repeat: bamboorail.RepeatAlways, MaxAttempts: 2},
	"stream":   {Repeat: bamboorail.RepeatNever, MaxAttempts: 1, Streaming: true},
}

// newRawTarget returns a target that serves each connection by a function before it has read
// anything.
func newRawTarget(t *testing.T, serve func(c *net.TCPConn)) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return &fakeTarget{listener: l, entry: bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "raw"}, Address: l.Addr().String(), Slots: 8}}
}

// relayTo returns a relay to a raw target. Repeated calls have a second target, which answers
// "whole".
func relayTo(t *testing.T, route bamboorail.RouteSpec, serve func(c *net.TCPConn)) *testRelay {
	t.Helper()
	targets := []*fakeTarget{newRawTarget(t, serve)}
	if route.Repeat == bamboorail.RepeatAlways {
		targets = append(targets, newTarget(t, "second"))
	}
	b := newTestRelay(t, route, targets...)
	b.handler.pool.dialer = &net.Dialer{} // without the time-out, which a busy machine exceeds
	return b
}

// checkFailed checks what a caller gets if the only answer of its first target is no valid or
// no complete one. Begun is set if a streaming route has passed on a part of it.
func checkFailed(t *testing.T, route bamboorail.RouteSpec, r result, begun bool) {
	t.Helper()
	switch {
	case route.Repeat == bamboorail.RepeatAlways:
		if r.broken || r.status != http.StatusOK || r.body != "whole" {
			t.Errorf("got %+v, expected the answer of the second target", r)
		}
	case begun && route.Streaming:
		// The reset may arrive before the relay has read the head.
		if !r.broken && r.status != http.StatusBadGateway {
			t.Errorf("got %+v, expected a broken answer or status 502", r)
		}
	case r.broken || r.status != http.StatusBadGateway:
		t.Errorf("got %+v, expected status 502", r)
	}
}

// TestAnswerDuringUploadIsIncomplete guards against a partial answer that counts as complete
// because its target resets or ends the connection while the request is being written: the
// kernel reports the reset to the write, and the read finds an orderly end.
func TestAnswerDuringUploadIsIncomplete(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	ends := map[string]func(c *net.TCPConn){
		"reset":     func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"half open": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(50 * time.Millisecond) },
	}
	for kind, route := range routeKinds {
		for form, head := range headForms {
			for end, finish := range ends {
				for _, read := range []int64{0, 64 << 10} {
					for _, delay := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond} {
						t.Run(fmt.Sprintf("%s, %s, %s, %d read, %s", kind, form, end, read, delay), func(t *testing.T) {
							b := relayTo(t, route, func(c *net.TCPConn) {
								_ = c.SetReadBuffer(socketBuffer)
								_, _ = io.CopyN(io.Discard, c, read)
								_, _ = fmt.Fprintf(c, head+"Content-Type: text/plain\r\n\r\na part", "200 OK")
								time.Sleep(delay)
								finish(c)
							})
							if end == "half open" {
								b.handler.pool.dialer = smallBuffers{&net.Dialer{}}
							}
							checkFailed(t, route, b.call(t, http.MethodPost, "/p/x", upload), true)
						})
					}
				}
			}
		}
	}
}

// TestOrderlyEndIsComplete guards against complete answers that count as incomplete.
func TestOrderlyEndIsComplete(t *testing.T) {
	for kind, route := range routeKinds {
		for form, head := range headForms {
			for size, body := range map[string]string{"small": "body", "large": strings.Repeat("u", uploadBytes)} {
				for end, finish := range map[string]func(c *net.TCPConn){
					"closed":           func(*net.TCPConn) {},
					"closed and reset": func(c *net.TCPConn) { _, _ = c.CloseWrite(), c.SetLinger(0) },
				} {
					t.Run(fmt.Sprintf("%s, %s, %s, %s", kind, form, size, end), func(t *testing.T) {
						b := relayTo(t, route, func(c *net.TCPConn) {
							req, err := http.ReadRequest(bufio.NewReader(c))
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, req.Body)
							_, _ = fmt.Fprintf(c, head+"Content-Type: text/plain\r\n\r\nall of it", "200 OK")
							finish(c)
						})
						r := b.call(t, http.MethodPost, "/p/x", body)
						if r.broken || r.status != http.StatusOK || r.body != "all of it" {
							t.Errorf("got %+v, expected the complete answer", r)
						}
					})
				}
			}
		}
	}
}

// TestInvalidHeadIsRejected guards against heads that net/http accepts and that a caller
// cannot be given: the relay passed them on, or closed the connection without an answer.
func TestInvalidHeadIsRejected(t *testing.T) {
	const chunks = "3\r\nabc\r\n0\r\n"
	answers := map[string]struct {
		status, rest string
		// begun is set if the fault follows the body; only is the version that has the fault,
		// empty if both have.
		begun bool
		only  string
	}{
		"status 000":                    {status: "000 OK", rest: "Content-Length: 3\r\n\r\nabc"},
		"status 000, no body":           {status: "000 OK", rest: "Content-Length: 0\r\n\r\n"},
		"status -00":                    {status: "-00 OK", rest: "Content-Length: 3\r\n\r\nabc"},
		"status 099":                    {status: "099 OK", rest: "Content-Length: 3\r\n\r\nabc"},
		"status +20":                    {status: "+20 OK", rest: "Content-Length: 3\r\n\r\nabc"},
		"status 101":                    {status: "101 Switching Protocols", rest: "Connection: Upgrade\r\nUpgrade: x\r\n\r\n"},
		"status 600":                    {status: "600 OK", rest: "Content-Length: 3\r\n\r\nabc"},
		"status 999":                    {status: "999 OK", rest: "Content-Length: 3\r\n\r\nabc"},
		"control byte in the phrase":    {status: "200 O\x01K", rest: "Content-Length: 3\r\n\r\nabc"},
		"control byte in a name":        {status: "200 OK", rest: "X\x01Y: z\r\nContent-Length: 3\r\n\r\nabc"},
		"control byte in a value":       {status: "200 OK", rest: "X: y\x01z\r\nContent-Length: 3\r\n\r\nabc"},
		"blank after Transfer-Encoding": {status: "200 OK", rest: "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n"},
		"blank after Content-Length":    {status: "200 OK", rest: "Content-Length : 3\r\n\r\nabc"},
		"blank after other length":      {status: "200 OK", rest: "Content-Length: 3\r\nContent-Length : 5\r\n\r\nabcde"},
		"length and chunks":             {status: "200 OK", rest: "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		"length twice":                  {status: "200 OK", rest: "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
		"chunks in HTTP/1.0":            {status: "200 OK", rest: "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", only: "1.0"},
		"blank in a name":               {status: "200 OK", rest: "X Y: z\r\nContent-Length: 3\r\n\r\nabc"},
		"blank in an informational head": {
			status: "103 Early Hints", rest: "Li nk: x\r\n\r\nHTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 3\r\n\r\nabc", only: "1.1",
		},
		"blank after Transfer-Encoding in an informational head": {
			status: "103 Early Hints", rest: "Transfer-Encoding : chunked\r\n\r\nHTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 3\r\n\r\nabc", only: "1.1",
		},
		"blank in a trailer": {
			status: "200 OK", rest: "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X Y: z\r\n\r\n", begun: true, only: "1.1",
		},
		"blank after Content-Length in a trailer": {
			status: "200 OK", rest: "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "Content-Length : 1\r\n\r\n", begun: true, only: "1.1",
		},
	}
	for kind, route := range routeKinds {
		for form, head := range headForms {
			for name, answer := range answers {
				if !strings.HasPrefix(form, answer.only) {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, %s", kind, form, name), func(t *testing.T) {
					b := relayTo(t, route, func(c *net.TCPConn) {
						if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							_, _ = io.WriteString(c, fmt.Sprintf(head, answer.status)+answer.rest)
						}
					})
					checkFailed(t, route, b.call(t, http.MethodPost, "/p/x", "body"), answer.begun)
				})
			}
		}
	}
}

// TestRejectedAnswersAreCounted guards against rejected answers that an operator does not see.
func TestRejectedAnswersAreCounted(t *testing.T) {
	tests := map[string]struct{ answer, reason string }{
		"head":    {"HTTP/1.1 099 OK\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", "status"},
		"field":   {"HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length : 0\r\n\r\n", "field"},
		"trailer": {"HTTP/1.1 200 OK\r\nId: id-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n", "trailer"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestRelay(t, routeKinds["once"], newTarget(t, "t", raw(tt.answer)))
			checkFailed(t, routeKinds["once"], b.call(t, http.MethodPost, "/p/x", "body"), false)
			if got := rejections(t, b); got != fmt.Sprintf("target %s 1", tt.reason) {
				t.Errorf("counted %q, expected one of reason %q", got, tt.reason)
			}
		})
	}
}

// rejections returns the labels and values of the metric of rejected answers.
func rejections(t *testing.T, b *testRelay) string {
	t.Helper()
	families, err := b.handler.Metrics.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, f := range families {
		if f.GetName() != "bamboorail_answers_rejected_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				texts = append(texts, l.GetValue())
			}
			texts = append(texts, fmt.Sprint(m.GetCounter().GetValue()))
		}
	}
	return strings.Join(texts, " ")
}
