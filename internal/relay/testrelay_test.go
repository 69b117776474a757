package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// testDialect is a minimal ingress and egress dialect.
type testDialect struct{}

func (testDialect) Decode(r *http.Request) (bamboorail.Call, error) {
	c := bamboorail.Call{ID: r.Header.Get("Id"), LastEvent: r.Header.Get("Last-Event-Id"), Resumes: r.Header.Get("Resumes"), Header: r.Header.Clone()}
	if ms, err := strconv.Atoi(r.Header.Get("Timeout-Ms")); err == nil {
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	return c, nil
}

func (testDialect) RemoveCredential(h http.Header) { h.Del("Authorization") }

func (testDialect) ReadyPath() string { return "/ready" }

func (testDialect) SetErrorHeaders(h http.Header, _ *bamboorail.Call, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", fmt.Sprint(after.Seconds()))
	}
}

func (testDialect) Encode(r *http.Request, c *bamboorail.Call, s bamboorail.Attempt) {
	r.Header = c.Header.Clone()
	r.Header.Set("Remaining", strconv.FormatInt(s.Remaining.Milliseconds(), 10))
	if s.LastEvent != "" {
		r.Header.Set("Last-Event-Id", s.LastEvent)
	}
}

func (testDialect) SetLastEvent(h http.Header, id string) { h.Set("Last-Event-Id", id) }

func (testDialect) Advisory(r *http.Response) (bamboorail.Advisory, error) {
	quiet, err := time.ParseDuration(r.Header.Get("Quiet"))
	if r.Header.Get("Quiet") == "" {
		err = nil
	}
	return bamboorail.Advisory{Leaving: r.Header.Get("Leaving") != "", QuietFor: quiet}, err
}

func (testDialect) Classify(r *http.Response, c *bamboorail.Call) bamboorail.ResponseClass {
	switch {
	case r.Header.Get("Not-Run") != "":
		return bamboorail.ResponseNotRun
	case r.StatusCode == http.StatusMisdirectedRequest:
		return bamboorail.ResponseMisdirected
	case r.Header.Get("Id") != c.ID:
		return bamboorail.ResponseInvalid
	}
	return bamboorail.ResponseValid
}

func (testDialect) ResponseID(r *http.Response) string { return r.Header.Get("Id") }

// fakeTarget is a scripted target: each request is answered by the next script.
type fakeTarget struct {
	listener net.Listener
	entry    bamboorail.TargetEntry

	mu       sync.Mutex
	scripts  []script
	requests []received
	closed   chan struct{} // receives when a client closed its connection
}

// script answers one request on a connection. It returns false to close the
// connection.
type script func(c net.Conn, r *http.Request) bool

// received is a request as it arrived at the target.
type received struct {
	method, uri, body string
	header            http.Header
}

// targetCount numbers the targets of the process.
var targetCount atomic.Uint32

// targetAddress returns a loopback address of its own for a target: the port of one that was closed
// may be given to a target of another case or process, which then gets its requests.
func targetAddress() string {
	n := targetCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n>>8&0xff, n&0xff)
}

func newTarget(t *testing.T, name string, scripts ...script) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", targetAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	g := &fakeTarget{
		listener: l, scripts: scripts, closed: make(chan struct{}, 16),
		entry: bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: name}, Address: l.Addr().String(), Slots: 8},
	}
	go g.accept()
	return g
}

func (g *fakeTarget) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(c)
	}
}

func (g *fakeTarget) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		g.mu.Lock()
		g.requests = append(g.requests, received{r.Method, r.RequestURI, string(body), r.Header})
		next := answer("whole")
		if len(g.scripts) > 0 {
			next, g.scripts = g.scripts[0], g.scripts[1:]
		}
		g.mu.Unlock()
		if !next(c, r) {
			return
		}
	}
}

func (g *fakeTarget) seen() []received {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]received(nil), g.requests...)
}

// raw writes text with ID replaced by the id of the request, and closes the
// connection.
func raw(text string) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		return false
	}
}

// answer sends a complete answer and keeps the connection open.
func answer(body string) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
		return true
	}
}

// reset writes text and closes the connection with a TCP reset.
func reset(text string) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// stream sends events as chunks and ends the answer properly if complete is
// set.
func stream(complete bool, events ...string) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for _, e := range events {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
		return complete
	}
}

// neverAnswer waits until the client closes the connection, and reports that.
func (g *fakeTarget) neverAnswer(c net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c)
	g.closed <- struct{}{}
	return false
}

var errNoTargetLeft = errors.New("no target left")

// fakeChooser returns the first target that is not to be avoided.
type fakeChooser struct {
	targets []*fakeTarget
	// leaving names a target that starts to leave while the call waits for it.
	leaving string
	wait    time.Duration
	// spareWait is the wait for targets other than the first.
	spareWait time.Duration
	// assumed sets Assumed in all reservations.
	assumed bool
	// beginBy is that of reservations of the first target, which is then chosen only once,
	// as its adapter version expires.
	beginBy func(now time.Time) time.Time

	mu sync.Mutex
	// chosen counts the reservations, results are those of the released ones.
	chosen  int
	results []balance.Result
}

func (c *fakeChooser) Choose(_ context.Context, req ChooseRequest) (Reservation, error) {
	for n, g := range c.targets {
		avoided := false
		for _, name := range req.Avoid {
			avoided = avoided || name == g.entry.ID.Name
		}
		if avoided || n == 0 && c.beginBy != nil && c.reservations() > 0 {
			continue
		}
		name, wait, beginBy := g.entry.ID.Name, c.wait, c.beginBy
		if n > 0 {
			wait, beginBy = max(wait, c.spareWait), nil
		}
		c.mu.Lock()
		c.chosen++
		c.mu.Unlock()
		return Reservation{
			Target: g.entry, ReadyAt: time.Now().Add(wait), Assumed: c.assumed, BeginBy: beginBy, Valid: func() bool { return name != c.leaving },
			Done: func(r balance.Result, _ time.Duration) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.results = append(c.results, r)
			},
		}, nil
	}
	return Reservation{}, notRun("choose", bamboorail.KindNoTarget, time.Second, errNoTargetLeft)
}

// reservations returns the number of reservations.
func (c *fakeChooser) reservations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chosen
}

// releasedResults returns the results of the released reservations.
func (c *fakeChooser) releasedResults() []balance.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.results)
}

// testRelay is a relay with scripted targets.
type testRelay struct {
	*httptest.Server
	chooser *fakeChooser
	// mu guards advisories while a call runs, which two legs may add to.
	mu sync.Mutex
	// advisories are what the targets said, by target.
	advisories map[string][]bamboorail.Advisory
	spans      *telemetry.SpanStore
	// origins are where streams began, by call.
	origins fakeOrigins
	detour  fakeDetour
	handler *Handler
	budget  *retry.WindowBudget
	// table is the configuration of the relay.
	table atomic.Pointer[route.Table]
}

// fakeOrigins are the origins of streams by call.
type fakeOrigins map[string]bamboorail.StreamOrigin

func (fakeOrigins) Permitted(string) string { return "" }

func (fakeOrigins) Announce(string, bamboorail.StreamOrigin) {}

func (o fakeOrigins) Cache(call string, origin bamboorail.StreamOrigin) { o[call] = origin }

func (o fakeOrigins) Record(_ context.Context, call string, origin bamboorail.StreamOrigin) error {
	o[call] = origin
	return nil
}

func (o fakeOrigins) Settle(_ context.Context, call string, origin bamboorail.StreamOrigin, _ bool) error {
	o[call] = origin
	return nil
}

func (o fakeOrigins) Find(_ context.Context, call, _ string) (bamboorail.StreamOrigin, error) {
	if origin, ok := o[call]; ok {
		return origin, nil
	}
	return bamboorail.StreamOrigin{}, notRun("find-origin", bamboorail.KindUnknownOrigin, time.Second, errNoTargetLeft)
}

func newTestRelay(t *testing.T, spec bamboorail.RouteSpec, targets ...*fakeTarget) *testRelay {
	t.Helper()
	spec.Name, spec.Host, spec.Prefix = "r", "host.example", "/p/"
	spec.Shares = []bamboorail.ServiceShare{{Service: "s", Weight: 1}}
	if spec.Timeout == 0 {
		spec.Timeout = 5 * time.Second
	}
	b := &testRelay{budget: retry.NewWindowBudget(1, 100, 10*time.Second), origins: fakeOrigins{}, chooser: &fakeChooser{targets: targets}, advisories: map[string][]bamboorail.Advisory{}, spans: telemetry.NewSpanStore("i", 64)}
	b.table.Store(route.NewTable(bamboorail.Configuration{Version: 1, Routes: []bamboorail.RouteSpec{spec}}))
	handler := NewHandler(Config{
		Tracer:  telemetry.NewTracer(b.spans),
		Ingress: testDialect{}, Egress: testDialect{}, Table: b.table.Load, Chooser: b.chooser,
		Budget: func(string) *retry.WindowBudget { return b.budget }, Dialer: NewDialer(), Metrics: telemetry.NewMetrics(),
		Advise: func(id bamboorail.TargetID, a bamboorail.Advisory) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.advisories[id.Name] = append(b.advisories[id.Name], a)
		},
		Origins: b.origins, Detour: &b.detour, ShuttingDown: func() bool { return false }, Log: hclog.NewNullLogger(),
	})
	b.handler = handler
	b.Server = httptest.NewServer(handler)
	t.Cleanup(b.Close)
	return b
}

// result is an answer as the caller receives it.
type result struct {
	status int
	body   string
	header http.Header
	// broken is set if the answer was incomplete.
	broken bool
}

// call sends one request on a new connection.
func (b *testRelay) call(t *testing.T, method, path, body string, header ...string) result {
	t.Helper()
	req, err := http.NewRequest(method, b.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "host.example"
	req.Header.Set("Id", "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return result{broken: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, body: string(data), header: resp.Header, broken: err != nil}
}
