package httpport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail/internal/httpport"
)

// pipeListener is a listener for in-memory connections. The test opens only one.
type pipeListener struct {
	conns chan net.Conn
	ended chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.ended)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// TestLateRequestLeavesConnectionUsable lets a handler run past the read
// deadline. A read deadline set on a request without a body would cancel the
// context of the connection, and so that of the next request on it.
func TestLateRequestLeavesConnectionUsable(t *testing.T) {
	t.Parallel()
	const bound = time.Second
	for name, body := range map[string]string{
		"without a body": "",
		"with a body":    `{"prompt":"late"}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := &pipeListener{conns: make(chan net.Conn, 1), ended: make(chan struct{})}
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					now := time.Now()
					if err := httpport.SetDeadlines(w, r, now.Add(bound), now.Add(time.Hour)); err != nil {
						t.Error(err)
					}
					if data, err := io.ReadAll(r.Body); err != nil || string(data) != body {
						t.Errorf("read body %q, error %v", data, err)
					}
					if r.URL.Path == "/late" {
						time.Sleep(2 * bound)
					}
					if err := r.Context().Err(); err != nil {
						t.Errorf("%s: request context ended: %v", r.URL.Path, err)
					}
				})}
				served := make(chan error, 1)
				go func() { served <- server.Serve(l) }()
				dials := 0
				transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					dials++
					in, out := net.Pipe()
					l.conns <- out
					return in, nil
				}}
				for _, path := range []string{"/late", "/next"} {
					request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://port"+path, strings.NewReader(body))
					if err != nil {
						t.Fatal(err)
					}
					answer, err := transport.RoundTrip(request)
					if err != nil {
						t.Fatal(err)
					}
					if err := answer.Body.Close(); err != nil {
						t.Error(err)
					}
					synctest.Wait()
				}
				if dials != 1 {
					t.Errorf("opened %d connections, expected that both requests use one", dials)
				}
				transport.CloseIdleConnections()
				if err := server.Close(); err != nil {
					t.Error(err)
				}
				<-served
			})
		})
	}
}
