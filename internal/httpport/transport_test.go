package httpport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/httpport"
)

// answeringTransport returns a transport whose connections read a request up to the end of
// its head, get the given answer and end.
func answeringTransport(answer string, observe func(httpport.Rejection)) *httpport.Transport {
	return httpport.NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		in, out := net.Pipe()
		go func() {
			defer out.Close()
			head := make([]byte, 4<<10)
			if _, err := out.Read(head); err == nil {
				_, _ = io.WriteString(out, answer)
			}
		}()
		return in, nil
	}}, observe)
}

func newRequest(ctx context.Context, t testing.TB) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://target.example/", nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRejectionIsObservedOnce guards against rejected answers that are not logged, and
// against errors that claim that the request did not run.
func TestRejectionIsObservedOnce(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		answer string
		reason httpport.Reason
	}{
		"status":             {"HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n", httpport.ReasonStatus},
		"field":              {"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", httpport.ReasonField},
		"informational head": {"HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", httpport.ReasonInformational},
		"many heads": {
			strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("x", 8<<10)+"\r\n\r\n", 9) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			httpport.ReasonInformational,
		},
		"trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n", httpport.ReasonTrailer},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var seen []httpport.Rejection
			transport := answeringTransport(tt.answer, func(r httpport.Rejection) { seen = append(seen, r) })
			resp, err := transport.RoundTrip(newRequest(t.Context(), t))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			var rejected *httpport.Error
			if !errors.As(err, &rejected) || bamboorail.NotRun(err) {
				t.Fatalf("got error %v, expected a rejection that may have run", err)
			}
			if len(seen) != 1 || seen[0].Err.Reason != tt.reason || seen[0].Address != "target.example" {
				t.Errorf("observed %+v, expected one of reason %q", seen, tt.reason)
			}
		})
	}
}

// TestConnectionOfRejectedAnswerIsNotReused guards against a further request on a connection
// whose framing is in doubt: net/http keeps it if the answer has no body.
func TestConnectionOfRejectedAnswerIsNotReused(t *testing.T) {
	t.Parallel()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted, served := 0, make(chan struct{})
	go func() {
		defer close(served)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted++
			answer := "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n"
			if accepted > 1 {
				answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			}
			for n, err := c.Read(make([]byte, 4<<10)); n > 0 && err == nil; n, err = c.Read(make([]byte, 4<<10)) {
				_, _ = io.WriteString(c, answer)
				answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			}
			_ = c.Close()
		}
	}()
	transport := httpport.NewTransport(&http.Transport{}, nil)
	r := newRequest(t.Context(), t)
	r.URL.Host = l.Addr().String()
	if resp, err := transport.RoundTrip(r); err == nil {
		resp.Body.Close()
		t.Error("the invalid head was accepted")
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	transport.CloseIdleConnections()
	l.Close()
	<-served
	if accepted != 2 {
		t.Errorf("opened %d connections, expected 2", accepted)
	}
}

// isToken reports whether a name is a token as in RFC 9110, section 5.6.2.
func isToken(name string) bool {
	const marks = "!#$%&'*+-.^_`|~"
	return name != "" && !strings.ContainsFunc(name, func(c rune) bool {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		return !letter && !strings.ContainsRune(marks, c)
	})
}

// checkValid checks field names and values of an accepted answer.
func checkValid(t *testing.T, h http.Header) {
	t.Helper()
	for name, values := range h {
		if !isToken(name) {
			t.Errorf("accepted the field name %q", name)
		}
		for _, v := range values {
			if strings.ContainsFunc(v, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
				t.Errorf("accepted the value %q of %s", v, name)
			}
		}
	}
}

// FuzzAnswer gives a transport arbitrary bytes as an answer. What it accepts must have a
// valid head and trailer, and an answer that it rejects must not count as not run.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.0 200 OK\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX Y: z\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x00Y: z\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\x7fz\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, answer string) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		transport := answeringTransport(answer, nil)
		defer transport.CloseIdleConnections()
		resp, err := transport.RoundTrip(newRequest(ctx, t))
		if err != nil {
			if bamboorail.NotRun(err) {
				t.Errorf("the error claims that the request did not run: %v", err)
			}
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Errorf("accepted status %d", resp.StatusCode)
		}
		checkValid(t, resp.Header)
		if _, err := io.ReadAll(resp.Body); err == nil {
			checkValid(t, resp.Trailer)
		}
		if ctx.Err() != nil {
			t.Error("the answer did not end")
		}
	})
}
