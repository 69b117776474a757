package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
)

// dialFunc is a Dialer.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func (f dialFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return f(ctx, network, address)
}

// TestCallThatWasNotSentIsNotRun guards against calls to be run once that are answered with
// 502 or 504 although no target got any part of them, and against the promise that a call
// was not run of which a target may have got some.
func TestCallThatWasNotSentIsNotRun(t *testing.T) {
	dialer := NewDialer()
	cases := map[string]struct {
		dial   dialFunc
		status int
		result balance.Result
	}{
		"no connection until the deadline": {func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, http.StatusServiceUnavailable, balance.Abandoned},
		"connection refused": {func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", "127.0.0.1:1")
		}, http.StatusServiceUnavailable, balance.Unreachable},
		"reset before the request": {func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			time.Sleep(50 * time.Millisecond) // the reset arrives
			return c, err
		}, http.StatusServiceUnavailable, balance.Unreachable},
		"reset after a part of the request": {func(context.Context, string, string) (net.Conn, error) {
			c, _ := net.Pipe()
			return &halfConn{Conn: c}, nil
		}, http.StatusBadGateway, balance.Dropped},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}
			}()
			target := &fakeTarget{entry: bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "t1"}, Address: l.Addr().String()}}
			b := newTestRelay(t, bamboorail.RouteSpec{Repeat: bamboorail.RepeatNever, MaxAttempts: 1, Timeout: 500 * time.Millisecond}, target)
			b.handler.pool = newPool(c.dial, b.handler.recordRejection)
			r := b.call(t, http.MethodPost, "/p/x", "body")
			if r.status != c.status || (r.header.Get("Retry-After") != "") != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("answer %+v", r)
			}
			if results := b.chooser.releasedResults(); len(results) != 1 || results[0] != c.result {
				t.Errorf("results %v, expected %v", results, c.result)
			}
		})
	}
}

// halfConn takes a part of the first write, whatever the peer does, and is reset then.
type halfConn struct{ net.Conn }

func (c *halfConn) Write([]byte) (int, error) { return 1, io.ErrUnexpectedEOF }

func (c *halfConn) Read([]byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return 0, io.EOF
}

// TestIdleConnectionsAreBounded guards against instances whose idle connections use up those
// that a target accepts.
func TestIdleConnectionsAreBounded(t *testing.T) {
	limit := 3
	p := newPool(NewDialer(), nil)
	p.idleLimit = func(string) int { return limit }
	entry := bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "t"}, Service: "s"}
	check := func(expected int) {
		t.Helper()
		if got := p.transport(entry, false).MaxIdleConns(); got != expected {
			t.Errorf("%d idle connections, expected %d", got, expected)
		}
	}
	check(3)
	limit = 1
	check(1)
	limit = 2 // small changes of the number of instances close no connections
	check(1)
	limit = 100
	check(idlePerTarget)
	p.limitIdle(entry.ID, "timeout=2")
	check(idlePerTarget)
}
