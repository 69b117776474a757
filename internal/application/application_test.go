package application_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/application"
	"bamboorail.example/bamboorail/pkg/record"
)

// rawServer handles each TCP connection with a function and counts the request
// headers that it received.
type rawServer struct {
	address string
	heads   atomic.Int32
}

func newRawServer(t *testing.T, answer func(s *rawServer, c net.Conn, r *bufio.Reader)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				answer(s, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readHead reads the header of a request and counts it.
func (s *rawServer) readHead(r *bufio.Reader) bool {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			s.heads.Add(1)
			return true
		}
	}
}

func newClient(t *testing.T, address string) *application.Client {
	t.Helper()
	raw := fmt.Sprintf(`{"schema-version":1,"kind":"target","name":"kasa","role":"application","zone":"z","url":"http://%s","service":"kasa"}`, address)
	r, err := record.Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	target, err := r.Target()
	if err != nil {
		t.Fatal(err)
	}
	return application.New(target, application.Transport(&http.Transport{}, nil))
}

type sink struct {
	begun bool
	body  []byte
}

func (s *sink) Begin(bamboorail.ResponseHead) error { s.begun = true; return nil }

func (s *sink) Write(p []byte) error { s.body = append(s.body, p...); return nil }

const completeResponse = "HTTP/1.1 200 OK\r\nRequest-Id: z.1\r\nContent-Length: 4\r\n\r\ndone"

// TestCallIsSentAtMostOnce closes the connection at several points of the
// request and the response, for calls with and without a body. The calls carry an
// Idempotency-Key, because net/http replays such requests on reused connections.
func TestCallIsSentAtMostOnce(t *testing.T) {
	answers := map[string]func(s *rawServer, c net.Conn, r *bufio.Reader){
		"closed before the request": func(*rawServer, net.Conn, *bufio.Reader) {},
		"closed after the header":   func(s *rawServer, _ net.Conn, r *bufio.Reader) { s.readHead(r) },
		"closed in the body": func(s *rawServer, _ net.Conn, r *bufio.Reader) {
			s.readHead(r)
			_, _ = io.CopyN(io.Discard, r, int64(min(2, r.Buffered())))
		},
		"reset before the response": func(s *rawServer, c net.Conn, r *bufio.Reader) {
			s.readHead(r)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	}
	for n := 1; n < len(completeResponse); n += 7 {
		answers[fmt.Sprintf("closed after %d bytes of the response", n)] = func(s *rawServer, c net.Conn, r *bufio.Reader) {
			s.readHead(r)
			_, _ = io.WriteString(c, completeResponse[:n])
		}
	}
	bodies := map[string]string{"body": "payload", "no body": ""}
	for name, answer := range answers {
		for kind, body := range bodies {
			t.Run(name+", "+kind, func(t *testing.T) {
				s := newRawServer(t, answer)
				w := &bamboorail.Request{
					RequestID: "z.1", Method: http.MethodPost, Path: "/redeem", Body: []byte(body),
					Header: http.Header{"Idempotency-Key": {"k"}},
				}
				err := newClient(t, s.address).Call(context.Background(), w, &sink{})
				if err == nil {
					t.Fatal("call succeeded on a broken connection")
				}
				if bamboorail.NotRun(err) {
					t.Errorf("error reports a call that may have run as not run: %v", err)
				}
				if n := s.heads.Load(); n > 1 {
					t.Errorf("server received the request %d times, expected at most once", n)
				}
			})
		}
	}
}

// TestNoReplayOnReusedConnection completes the first call and closes the connection
// when a second request arrives. With keep-alive, net/http would send the second call on
// the reused connection and replay it when that connection breaks.
func TestNoReplayOnReusedConnection(t *testing.T) {
	var served atomic.Int32
	s := newRawServer(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		for s.readHead(r) {
			if served.Add(1) != 1 {
				return
			}
			_, _ = io.WriteString(c, completeResponse)
		}
	})
	c := newClient(t, s.address)
	call := func() error {
		w := &bamboorail.Request{
			RequestID: "z.1", Method: http.MethodPost, Path: "/redeem", Header: http.Header{"Idempotency-Key": {"k"}},
		}
		return c.Call(context.Background(), w, &sink{})
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	if err := call(); err == nil || bamboorail.NotRun(err) {
		t.Errorf("got error %v for the second call, expected one with outcome may-have-run", err)
	}
	if n := s.heads.Load(); n != 2 {
		t.Errorf("server received %d requests for two calls", n)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	err = newClient(t, address).Call(context.Background(), &bamboorail.Request{RequestID: "z.1", Method: "POST", Path: "/"}, &sink{})
	if !bamboorail.NotRun(err) {
		t.Errorf("got error %v, expected one with outcome not-run", err)
	}
}

func TestResponseToAnotherRequestIsDiscarded(t *testing.T) {
	s := newRawServer(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		s.readHead(r)
		_, _ = io.WriteString(c, completeResponse)
	})
	out := &sink{}
	err := newClient(t, s.address).Call(context.Background(), &bamboorail.Request{RequestID: "z.2", Method: "POST", Path: "/"}, out)
	if bamboorail.KindOf(err) != bamboorail.KindMismatch || out.begun || len(out.body) > 0 {
		t.Errorf("got error %v, response begun %t, body %q; expected a mismatch and no response", err, out.begun, out.body)
	}
	if errors.Is(err, io.EOF) {
		t.Error("mismatch reported as a truncated response")
	}
}

// TestStreamEndingInsideEventFails guards against event streams that break off
// and reach their callers as complete (incident archive-order).
func TestStreamEndingInsideEventFails(t *testing.T) {
	const event = "data: a\n\n"
	cases := map[string]struct {
		head, body string
		complete   bool
	}{
		"whole, closed":     {"Content-Type: text/event-stream", event, true},
		"inside, closed":    {"Content-Type: text/event-stream", event + "data", false},
		"inside, length":    {"Content-Type: text/event-stream\r\nContent-Length: 8", event[:8], false},
		"no events, closed": {"Content-Type: text/event-stream", "", false},
		"no events, length": {"Content-Type: text/event-stream\r\nContent-Length: 0", "", true},
		"no event stream":   {"Content-Type: text/plain", event[:8], true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
				s.readHead(r)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: z.1\r\n"+c.head+"\r\n\r\n"+c.body)
			})
			err := newClient(t, s.address).Call(context.Background(), &bamboorail.Request{RequestID: "z.1", Method: "GET", Path: "/"}, &sink{})
			if c.complete != (err == nil) || err != nil && bamboorail.KindOf(err) != bamboorail.KindTruncated {
				t.Errorf("error %v, complete %t", err, c.complete)
			}
		})
	}
}
