package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// endless writes text, with ID replaced by the id of the request, and then repeats
// a piece until the connection is closed. written counts the bytes.
func endless(text, piece string, written *atomic.Int64) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		block := strings.Repeat(piece, 1+4096/len(piece))
		for {
			n, err := io.WriteString(c, block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
	}
}

// TestEndlessBytesAreNotKept guards against a target in trouble whose head, line or
// event has no end: what is kept of it must not grow until the instance has no
// memory left, and the call ends before its deadline.
func TestEndlessBytesAreNotKept(t *testing.T) {
	// maxRead covers what an instance keeps, 256 KiB of an event at the most, and
	// up to 6 MiB in the kernel's receive buffer.
	const maxRead = 7 << 20
	const chunked = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		spec        bamboorail.RouteSpec
		text, piece string
		broken      bool // the answer had begun
		notRun      bool
	}{
		"status line":        {spec: once, text: "HTTP/1.1 200 ", piece: "a"},
		"head":               {spec: once, text: "HTTP/1.1 200 OK\r\n", piece: "A: b\r\n"},
		"field":              {spec: once, text: "HTTP/1.1 200 OK\r\nA: ", piece: "b"},
		"informational head": {spec: once, piece: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"no protocol":        {spec: once, piece: "garbage"},
		"chunk line":         {spec: oneStream, text: chunked + "5;", piece: "a", broken: true},
		"event":              {spec: resumable, text: chunked, piece: "4\r\ndata\r\n", broken: true},
		"trailer":            {spec: oneStream, text: chunked + "0\r\n", piece: "A: b\r\n", broken: true},
		"refusal":            {spec: once, text: "HTTP/1.1 503 No\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "4\r\ndata\r\n", notRun: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			target := newTarget(t, "a", endless(c.text, c.piece, &written))
			c.spec.Timeout = time.Minute
			r := newTestRelay(t, c.spec, target).call(t, http.MethodPost, "/p/x", "body")
			want := http.StatusBadGateway
			if c.notRun {
				want = http.StatusServiceUnavailable
			}
			if c.broken != r.broken || (!c.broken && r.status != want) {
				t.Errorf("status %d, broken %t, want %d, %t", r.status, r.broken, want, c.broken)
			}
			if n := written.Load(); n > maxRead {
				t.Errorf("the target could send %d bytes, want at most %d", n, maxRead)
			}
		})
	}
}

// TestEndlessBodyEndsWithTheCall checks that an answer without an end is passed on
// as it arrives, ends at the deadline, and does not look complete.
func TestEndlessBodyEndsWithTheCall(t *testing.T) {
	var written atomic.Int64
	// The start of the answer is passed on once 256 KiB of it have arrived, which
	// takes longer than the call in chunks of a few bytes on a busy machine.
	chunk := fmt.Sprintf("%x\r\n%s\r\n", readSize, strings.Repeat("d", readSize))
	target := newTarget(t, "a", endless("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, &written))
	spec := once
	spec.Timeout = time.Second
	if r := newTestRelay(t, spec, target).call(t, http.MethodPost, "/p/x", "body"); !r.broken {
		t.Errorf("an answer without an end looks complete: status %d, %d bytes", r.status, len(r.body))
	}
}

// trickle sends an event and then a byte of the next one now and then.
func trickle(c net.Conn, r *http.Request) bool {
	stream(false, event(1))(c, r)
	for {
		if _, err := io.WriteString(c, "1\r\n:\r\n"); err != nil {
			return false
		}
		time.Sleep(eventTimeout / 4)
	}
}

// TestStalledStreamMovesDespiteTrickle checks that a target that sends a byte of an
// event now and then counts as stalled, and that one whose events come slowly does
// not.
func TestStalledStreamMovesDespiteTrickle(t *testing.T) {
	slow := func(c net.Conn, r *http.Request) bool {
		stream(false, event(1))(c, r)
		for n := 2; n <= 4; n++ {
			time.Sleep(eventTimeout / 2)
			e := event(n)
			_, _ = io.WriteString(c, strconv.FormatInt(int64(len(e)), 16)+"\r\n"+e+"\r\n")
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	cases := map[string]struct {
		first script
		moves bool
	}{
		"a byte now and then": {trickle, true},
		"slow events":         {slow, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first, spare := newTarget(t, "a", c.first), newTarget(t, "spare", stream(true, event(2), event(3), event(4)))
			r := newTestRelay(t, resumable, first, spare).call(t, http.MethodPost, "/p/x", "body")
			if want := event(1) + event(2) + event(3) + event(4); r.broken || r.body != want {
				t.Errorf("answer %q, broken %t, want %q", r.body, r.broken, want)
			}
			if moved := len(spare.seen()) > 0; moved != c.moves {
				t.Errorf("moved %t, want %t", moved, c.moves)
			}
		})
	}
}
