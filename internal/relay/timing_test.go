package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// timedPart is a part of a stream that a target sends after a pause.
type timedPart struct {
	pause time.Duration
	data  string
}

// timedTargets are targets that send parts of a stream at set times, which the network
// buffers. They are tried in order, and each one serves one call.
type timedTargets struct {
	// streams are the parts by target, broken are targets whose streams end without their
	// last chunk.
	streams [][]timedPart
	broken  bool

	// calls are the connections that are served.
	calls sync.WaitGroup

	mu       sync.Mutex
	chosen   int
	observed []Timing
}

func (g *timedTargets) Choose(context.Context, ChooseRequest) (Reservation, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.chosen == len(g.streams) {
		return Reservation{}, notRun("choose", bamboorail.KindNoTarget, time.Second, errNoTargetLeft)
	}
	number, observed := g.chosen, Timing{}
	g.chosen++
	g.observed = append(g.observed, Timing{})
	return Reservation{
		Target:  bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: fmt.Sprint(number)}, Address: fmt.Sprintf("target:%d", number+1)},
		ReadyAt: time.Now(), Valid: func() bool { return true }, Observe: func(t Timing) { observed = t },
		Done: func(balance.Result, time.Duration) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.observed[number] = observed
		},
	}, nil
}

func (g *timedTargets) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	number := 0
	if _, err := fmt.Sscanf(address, "target:%d", &number); err != nil {
		return nil, err
	}
	client, server := net.Pipe()
	g.calls.Go(func() { serveTimed(server, g.streams[number-1], g.broken) })
	return client, nil
}

// serveTimed answers one call and closes the connection. The end of a broken stream is missing.
func serveTimed(c net.Conn, parts []timedPart, broken bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	sent, done := make(chan string, len(parts)+2), make(chan struct{})
	go func() {
		defer close(done)
		for data := range sent {
			if _, err := io.WriteString(c, data); err != nil {
				return
			}
		}
	}()
	sent <- fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	for _, p := range parts {
		time.Sleep(p.pause)
		sent <- fmt.Sprintf("%x\r\n%s\r\n", len(p.data), p.data)
	}
	if !broken {
		sent <- "0\r\n\r\n"
	}
	close(sent)
	<-done
}

// pausingCaller is a caller that does not read for a time after its first part.
type pausingCaller struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

func (c *pausingCaller) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	c.pause = 0
	return c.ResponseRecorder.Write(p)
}

// run serves one call of a caller and returns its log line.
func (g *timedTargets) run(t *testing.T, spec bamboorail.RouteSpec, callerPause time.Duration) (log string) {
	t.Helper()
	spec.Name, spec.Host, spec.Prefix, spec.Timeout = "r", "host.example", "/p/", 30*time.Second
	spec.Shares, spec.MaxEventGap = []bamboorail.ServiceShare{{Service: "s", Weight: 1}}, 400*time.Millisecond
	table := route.NewTable(bamboorail.Configuration{Version: 1, Routes: []bamboorail.RouteSpec{spec}})
	var lines bytes.Buffer
	h := NewHandler(Config{
		Tracer: telemetry.NewTracer(telemetry.NewSpanStore("i", 1)), Ingress: testDialect{}, Egress: testDialect{}, Table: func() *route.Table { return table },
		Chooser: g, Budget: func(string) *retry.WindowBudget { return retry.NewWindowBudget(1, 100, 10*time.Second) }, Dialer: g,
		Metrics: telemetry.NewMetrics(), Advise: func(bamboorail.TargetID, bamboorail.Advisory) {}, ShuttingDown: func() bool { return false },
		Log: hclog.New(&hclog.LoggerOptions{Output: &lines}),
	})
	defer g.calls.Wait()
	defer h.CloseIdle()
	r := httptest.NewRequest(http.MethodPost, "/p/x", strings.NewReader("{}"))
	r.Host = "host.example"
	r.Header.Set("Id", "i")
	func() {
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // the handler panics with this value
				panic(v)
			}
		}()
		h.ServeHTTP(&pausingCaller{httptest.NewRecorder(), callerPause}, r)
	}()
	_, log, _ = strings.Cut(lines.String(), "call ended")
	return log
}

// TestEventTimes guards against a pace of targets that is mistaken for that of callers, of
// the network or of comments.
func TestEventTimes(t *testing.T) {
	const ms = time.Millisecond
	steady := func(pauses ...time.Duration) (parts []timedPart) {
		for n, p := range pauses {
			parts = append(parts, timedPart{p * ms, event(n + 1)})
		}
		return parts
	}
	cases := map[string]struct {
		spec        bamboorail.RouteSpec
		streams     [][]timedPart
		broken      bool
		callerPause time.Duration
		expected    []Timing
		log         string
	}{
		"steady": {
			resumable, [][]timedPart{steady(200, 40, 40, 40)}, false, 0, []Timing{{200 * ms, 40 * ms, 40 * ms}},
			"events=4 first-event-ms=200 longest-gap-ms=40",
		},
		"not resumable": {
			oneStream, [][]timedPart{steady(200, 40, 40, 40)}, false, 0, []Timing{{200 * ms, 40 * ms, 40 * ms}},
			"events=4 first-event-ms=200 longest-gap-ms=40",
		},
		"one event": {resumable, [][]timedPart{steady(200)}, false, 0, []Timing{{200 * ms, 0, 0}}, "events=1 first-event-ms=200 max-gap-ms=400"},
		"one pause": {
			resumable, [][]timedPart{steady(200, 40, 350, 30)}, false, 0, []Timing{{200 * ms, 140 * ms, 350 * ms}},
			"events=4 first-event-ms=200 longest-gap-ms=350 gap-after=2 gap-target=0 max-gap-ms=400",
		},
		"two events at a time": {
			resumable, [][]timedPart{{{200 * ms, event(1)}, {80 * ms, event(2) + event(3)}, {80 * ms, event(4) + event(5)}}}, false, 0,
			[]Timing{{200 * ms, 40 * ms, 80 * ms}}, "events=5 first-event-ms=200 longest-gap-ms=80",
		},
		"events in pieces": {
			resumable, [][]timedPart{{{200 * ms, event(1)}, {30 * ms, "id: 2\n"}, {10 * ms, "data: a\n\n"}}}, false, 0,
			[]Timing{{200 * ms, 40 * ms, 40 * ms}}, "events=2 first-event-ms=200 longest-gap-ms=40",
		},
		"comments in a pause": {
			oneStream, [][]timedPart{{{200 * ms, event(1)}, {200 * ms, ": a\n\n"}, {200 * ms, event(2)}}}, false, 0,
			[]Timing{{200 * ms, 400 * ms, 400 * ms}}, "events=2 first-event-ms=200 longest-gap-ms=400",
		},
		"caller that does not read": {
			resumable, [][]timedPart{steady(200, 40, 40, 40, 40, 40, 40, 40)}, false, 130 * ms,
			[]Timing{{200 * ms, 40 * ms, 40 * ms}}, "events=8 first-event-ms=200 longest-gap-ms=40",
		},
		"interrupted": {
			oneStream, [][]timedPart{append(steady(200, 40), timedPart{500 * ms, "id"})}, true, 0,
			[]Timing{{200 * ms, 40 * ms, 500 * ms}}, "events=2 first-event-ms=200 longest-gap-ms=40",
		},
		"continued by another target": {
			resumable, [][]timedPart{steady(200, 40, 5000), {{300 * ms, event(3)}, {50 * ms, event(4)}, {50 * ms, event(5)}}}, false, 0,
			// The first event of the other target is read before it takes over, and its
			// second one may have been sent before.
			[]Timing{{200 * ms, 40 * ms, eventTimeout + 300*ms}, {300 * ms, 50 * ms, 50 * ms}}, "events=5 first-event-ms=200 longest-gap-ms=1500 gap-after=2 gap-target=0 max-gap-ms=400",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &timedTargets{streams: c.streams, broken: c.broken}
				log := g.run(t, c.spec, c.callerPause)
				if !slices.Equal(g.observed, c.expected) {
					t.Errorf("times %+v, expected %+v", g.observed, c.expected)
				}
				if !strings.Contains(log, c.log) {
					t.Errorf("log line %q lacks %q", log, c.log)
				}
			})
		})
	}
}
