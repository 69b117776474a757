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

// rawServer answers each connection with a function and counts the request
// heads that it got.
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

// readHead reads a request head and counts it.
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

func client(t *testing.T, address string) *application.Client {
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
	return application.New(target, application.Transport(&http.Transport{}))
}

type sink struct {
	begun bool
	body  []byte
}

func (s *sink) Begin(bamboorail.ResponseHead) error { s.begun = true; return nil }

func (s *sink) Write(p []byte) error { s.body = append(s.body, p...); return nil }

const whole = "HTTP/1.1 200 OK\r\nRequest-Id: z.1\r\nContent-Length: 4\r\n\r\ndone"

// TestACallIsSentAtMostOnce breaks the connection at each boundary that
// matters, with a body, without one, and with an Idempotency-Key, which makes
// net/http replay a request on a reused connection.
func TestACallIsSentAtMostOnce(t *testing.T) {
	answers := map[string]func(s *rawServer, c net.Conn, r *bufio.Reader){
		"closed before the request": func(*rawServer, net.Conn, *bufio.Reader) {},
		"closed after the head":     func(s *rawServer, _ net.Conn, r *bufio.Reader) { s.readHead(r) },
		"closed in the body": func(s *rawServer, _ net.Conn, r *bufio.Reader) {
			s.readHead(r)
			_, _ = io.CopyN(io.Discard, r, int64(min(2, r.Buffered())))
		},
		"reset before the answer": func(s *rawServer, c net.Conn, r *bufio.Reader) {
			s.readHead(r)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	}
	for n := 1; n < len(whole); n += 7 {
		answers[fmt.Sprintf("closed after %d bytes of the answer", n)] = func(s *rawServer, c net.Conn, r *bufio.Reader) {
			s.readHead(r)
			_, _ = io.WriteString(c, whole[:n])
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
				err := client(t, s.address).Call(context.Background(), w, &sink{})
				if err == nil {
					t.Fatal("a broken call succeeded")
				}
				if bamboorail.NotRun(err) {
					t.Errorf("said to be not run: %v", err)
				}
				if n := s.heads.Load(); n > 1 {
					t.Errorf("the request arrived %d times", n)
				}
			})
		}
	}
}

// TestNoReplayOnAReusedConnection answers a first call whole and breaks the
// second where it would meet a kept connection.
func TestNoReplayOnAReusedConnection(t *testing.T) {
	var served atomic.Int32
	s := newRawServer(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		for s.readHead(r) {
			if served.Add(1) != 1 {
				return
			}
			_, _ = io.WriteString(c, whole)
		}
	})
	c := client(t, s.address)
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
		t.Errorf("broken second call: %v", err)
	}
	if n := s.heads.Load(); n != 2 {
		t.Errorf("two calls arrived %d times", n)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	err = client(t, address).Call(context.Background(), &bamboorail.Request{RequestID: "z.1", Method: "POST", Path: "/"}, &sink{})
	if !bamboorail.NotRun(err) {
		t.Errorf("error %v", err)
	}
}

func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	s := newRawServer(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		s.readHead(r)
		_, _ = io.WriteString(c, whole)
	})
	out := &sink{}
	err := client(t, s.address).Call(context.Background(), &bamboorail.Request{RequestID: "z.2", Method: "POST", Path: "/"}, out)
	if bamboorail.KindOf(err) != bamboorail.KindMismatch || out.begun || len(out.body) > 0 {
		t.Errorf("error %v, begun %t, body %q", err, out.begun, out.body)
	}
	if errors.Is(err, io.EOF) {
		t.Error("reported as a cut")
	}
}
