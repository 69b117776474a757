package detour

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placer"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/task"
)

var relayCall = relay.ForwardCall{
	Method: http.MethodPost, URI: "/p/x?q=1", Host: "h", Header: http.Header{"Id": {"c"}}, Body: []byte("body"),
	Remaining: 5 * time.Second, StartWithin: time.Second, Service: "s", Software: "v1", Runs: 1, MaxRuns: 1, Avoid: []string{"x"}, Configuration: 7,
}

var scriptedTarget = bamboorail.TargetID{Name: "t", StartMillis: 5}

// scriptedRunner answers with parts and an error.
type scriptedRunner struct {
	parts []string
	err   error
	// headRuns and runs are reported with the head and the end.
	headRuns, runs int
	avoid          []string
	// status is that of the answer, 200 if it is 0; field is the name of a header field.
	status int
	field  string
	// got is the last call; block keeps it running until its context ends.
	got   chan relay.ForwardCall
	block bool
	ended chan error
}

func (r *scriptedRunner) ServeForwarded(ctx context.Context, c relay.ForwardCall, to relay.ForwardWriter) (relay.ForwardReport, error) {
	report := relay.ForwardReport{Runs: r.runs, Known: true, Avoid: r.avoid}
	r.got <- c
	for n, part := range r.parts {
		if n == 0 {
			if err := to.Begin(relay.ForwardedHead{
				Status: cmp.Or(r.status, http.StatusOK), Header: http.Header{cmp.Or(r.field, "Stamp"): {"t"}}, Target: scriptedTarget,
				Origin: bamboorail.StreamOrigin{Service: "s", Software: "v1"}, Configuration: 8, Runs: r.headRuns,
			}); err != nil {
				return report, err
			}
		}
		if err := to.Write([]byte(part)); err != nil {
			return report, err
		}
	}
	if r.block {
		<-ctx.Done()
		r.ended <- ctx.Err()
	}
	return report, r.err
}

// forwardTo returns a detour and the address of a server that runs its calls.
func forwardTo(t *testing.T, r *scriptedRunner) (*Detour, *Server, string) {
	t.Helper()
	r.got, r.ended = make(chan relay.ForwardCall, 1), make(chan error, 1)
	d, _ := newTestDetour(t)
	server := NewServer(d, r)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := peer.NewClient(nil)
	ctx, cancel := context.WithCancel(context.Background())
	serving := task.Start(ctx, "peers", func(ctx context.Context) error {
		return peer.ServePlacer(ctx, l, &placer.Server{Forwarder: server}, hclog.NewNullLogger())
	})
	t.Cleanup(func() {
		_ = client.Close()
		cancel()
		serving.Join()
	})
	d.Peers = client
	return d, server, l.Addr().String()
}

func TestForwardedCalls(t *testing.T) {
	failure := &Error{bamboorail.Failure{Op: "x", Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun, RetryAfter: 2 * time.Second, Err: errTest}}
	unknown := &Error{bamboorail.Failure{Op: "x", Kind: bamboorail.KindTargetFailed, Outcome: bamboorail.OutcomeMayHaveRun, Err: errTest}}
	cases := map[string]struct {
		runner scriptedRunner
		// body is the answer as it arrives; broken is set if it ends with an error.
		body   string
		broken bool
		// kind and notRun describe the failure without an answer.
		kind   bamboorail.Kind
		notRun bool
	}{
		"whole answer":              {runner: scriptedRunner{parts: []string{"a", "b"}}, body: "ab"},
		"answer that broke off":     {runner: scriptedRunner{parts: []string{"a", "b"}, err: unknown}, body: "ab", broken: true},
		"refused":                   {runner: scriptedRunner{err: failure}, kind: bamboorail.KindOverloaded, notRun: true},
		"failed, may have run":      {runner: scriptedRunner{err: unknown}, kind: bamboorail.KindTargetFailed},
		"nothing at all":            {runner: scriptedRunner{}, kind: bamboorail.KindUnavailable},
		"an error of another type":  {runner: scriptedRunner{err: errTest}, kind: bamboorail.KindInternal},
		"invalid status":            {runner: scriptedRunner{parts: []string{"a"}, status: 99}, kind: bamboorail.KindUnavailable},
		"invalid field name":        {runner: scriptedRunner{parts: []string{"a"}, field: "X Y"}, kind: bamboorail.KindUnavailable},
		"large answer, many pieces": {runner: scriptedRunner{parts: []string{string(make([]byte, 1<<20)), "x"}}, body: string(make([]byte, 1<<20)) + "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, _, address := forwardTo(t, &c.runner)
			answer, err := d.Forward(t.Context(), address, relayCall)
			if got := <-c.runner.got; got.URI != relayCall.URI || string(got.Body) != "body" || got.Header.Get("Id") != "c" || got.Runs != 1 || got.MaxRuns != 1 || !slices.Equal(got.Avoid, relayCall.Avoid) || got.Software != "v1" || got.Configuration != relayCall.Configuration {
				t.Errorf("call %+v", got)
			}
			if c.kind != "" {
				if bamboorail.KindOf(err) != c.kind || bamboorail.NotRun(err) != c.notRun {
					t.Errorf("error %v", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Response.Body)
			if string(body) != c.body || (err != nil) != c.broken || answer.Target != scriptedTarget || answer.Origin.Software != "v1" || answer.Configuration != 8 {
				t.Errorf("%d bytes, %v, of %+v", len(body), err, answer)
			}
			if err := answer.Response.Body.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestForwardedCallReportsRuns guards against calls that run on more targets than their route permits
// because the instance that ran them reports one run whatever it did, and against further attempts at
// targets that failed them.
func TestForwardedCallReportsRuns(t *testing.T) {
	failure := &Error{bamboorail.Failure{Op: "x", Kind: bamboorail.KindTruncated, Outcome: bamboorail.OutcomeMayHaveRun, Err: errTest}}
	refusal := &Error{bamboorail.Failure{Op: "x", Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun, Err: errTest}}
	cases := map[string]struct {
		runner             scriptedRunner
		atHead, afterwards int
	}{
		"one run":           {scriptedRunner{parts: []string{"a"}, headRuns: 1, runs: 1}, 1, 1},
		"repeated":          {scriptedRunner{parts: []string{"a"}, headRuns: 2, runs: 2}, 2, 2},
		"goes on elsewhere": {scriptedRunner{parts: []string{"a", "b"}, headRuns: 1, runs: 3}, 1, 3},
		"broken, no answer": {scriptedRunner{err: failure, runs: 2, avoid: []string{"x", "y"}}, 2, 2},
		"broken afterwards": {scriptedRunner{parts: []string{"a"}, err: failure, headRuns: 1, runs: 2, avoid: []string{"x"}}, 1, 2},
		"none":              {scriptedRunner{err: refusal}, 0, 0},
		"not reported":      {scriptedRunner{parts: []string{"a"}}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d, _, address := forwardTo(t, &c.runner)
			answer, err := d.Forward(t.Context(), address, relayCall)
			if answer.Report == nil {
				t.Fatalf("no runs are reported, %v", err)
			}
			if got := answer.Report(); got.Runs != c.atHead || !got.Known {
				t.Errorf("%+v reported with the head, expected %d runs", got, c.atHead)
			}
			if err == nil {
				_, _ = io.Copy(io.Discard, answer.Response.Body)
				if err := answer.Response.Body.Close(); err != nil {
					t.Error(err)
				}
			}
			if got := answer.Report(); got.Runs != c.afterwards || !got.Known || !slices.Equal(got.Avoid, c.runner.avoid) {
				t.Errorf("%+v reported afterwards, expected %d runs and %v", got, c.afterwards, c.runner.avoid)
			}
		})
	}
}

// TestReportOfEarlierBuildsIsUnknown guards against calls that count as not run because an earlier build
// reports nothing.
func TestReportOfEarlierBuildsIsUnknown(t *testing.T) {
	b := &answerBody{}
	b.record(&wire.ForwardEvent{Head: &wire.ForwardHead{}})
	if got := b.reported(); got.Known {
		t.Errorf("report %+v", got)
	}
	two := int32(2)
	b.record(&wire.ForwardEvent{Runs: &two})
	if got := b.reported(); !got.Known || got.Runs != 2 {
		t.Errorf("report %+v", got)
	}
}

// TestCallerThatLeavesEndsForwardedCall checks that the other instance cancels it.
func TestCallerThatLeavesEndsForwardedCall(t *testing.T) {
	r := &scriptedRunner{parts: []string{"a"}, block: true}
	d, server, address := forwardTo(t, r)
	answer, err := d.Forward(t.Context(), address, relayCall)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := server.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drained while a call runs: %v", err)
	}
	if err := answer.Response.Body.Close(); err != nil {
		t.Error(err)
	}
	if err := <-r.ended; !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	if err := server.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	if _, err := d.Forward(t.Context(), address, relayCall); bamboorail.KindOf(err) != bamboorail.KindNoTarget || !bamboorail.NotRun(err) {
		t.Errorf("a server that drains answers with %v", err)
	}
}

// TestLeavingInstanceAcceptsCallsThatFit checks that an instance that leaves runs those
// forwarded calls only that end before it does.
func TestLeavingInstanceAcceptsCallsThatFit(t *testing.T) {
	r := &scriptedRunner{parts: []string{"a"}}
	d, server, address := forwardTo(t, r)
	for name, c := range map[string]struct {
		left time.Duration
		runs bool
	}{"enough time": {2 * relayCall.Remaining, true}, "too little": {relayCall.Remaining / 2, false}, "none": {-time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			server.Leave(time.Now().Add(c.left))
			answer, err := d.Forward(t.Context(), address, relayCall)
			if !c.runs {
				if bamboorail.KindOf(err) != bamboorail.KindNoTarget || !bamboorail.NotRun(err) {
					t.Errorf("error %v", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			<-r.got
			if err := answer.Response.Body.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestDeadInstanceRunsNothing checks that a call to a closed port has not run.
func TestDeadInstanceRunsNothing(t *testing.T) {
	d, _, _ := forwardTo(t, &scriptedRunner{})
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := d.Forward(t.Context(), address, relayCall); !bamboorail.NotRun(err) {
		t.Errorf("error %v", err)
	}
}

func TestCallWithInvalidTextAvoidsNoInstance(t *testing.T) {
	for name, change := range map[string]func(c *relay.ForwardCall){
		"header": func(c *relay.ForwardCall) { c.Header = http.Header{"Id": {"c\xff"}} },
		"uri":    func(c *relay.ForwardCall) { c.URI = "/p/\xff" },
	} {
		t.Run(name, func(t *testing.T) {
			d, _, address := forwardTo(t, &scriptedRunner{parts: []string{"a"}})
			c := relayCall
			change(&c)
			if _, err := d.Forward(t.Context(), address, c); err == nil || !bamboorail.NotRun(err) {
				t.Errorf("error %v", err)
			}
			if len(d.avoided) > 0 {
				t.Error("other calls are not forwarded there")
			}
		})
	}
}

// TestConnectionThatEndsIsNoEndOfAnAnswer guards against a forwarded stream that counts as complete although the
// instance that ran it ended.
func TestConnectionThatEndsIsNoEndOfAnAnswer(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn) error{
		"closed": func(c *net.TCPConn) error { return c.Close() },
		"reset":  func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"half":   func(c *net.TCPConn) error { return c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			r := &scriptedRunner{parts: []string{"a", "b"}, block: true}
			d, _, address := forwardTo(t, r)
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			accepted := make(chan *net.TCPConn, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				upstream, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(upstream, c) }()
				accepted <- c.(*net.TCPConn)
				_, _ = io.Copy(c, upstream)
			}()
			answer, err := d.Forward(t.Context(), l.Addr().String(), relayCall)
			if err != nil {
				t.Fatal(err)
			}
			body := make([]byte, 2)
			if _, err := io.ReadFull(answer.Response.Body, body); err != nil {
				t.Fatal(err)
			}
			if err := end(<-accepted); err != nil {
				t.Fatal(err)
			}
			if n, err := answer.Response.Body.Read(body); n > 0 || err == nil || errors.Is(err, io.EOF) {
				t.Errorf("%d bytes, %v: the answer counts as complete", n, err)
			}
			_ = answer.Response.Body.Close()
		})
	}
}

// endlessForwarder begins an answer and does not end it.
type endlessForwarder struct{ *Server }

func (endlessForwarder) Forward(_ *wire.ForwardRequest, stream wire.DRPCPlacer_ForwardStream) error {
	w := &streamWriter{stream}
	return errors.Join(w.Begin(relay.ForwardedHead{Status: http.StatusOK, Header: http.Header{}, Target: scriptedTarget}), w.Write([]byte("ab")))
}

// TestAnswerWithoutAnEndIsBroken guards against a forwarded answer that counts as complete because its stream ends.
func TestAnswerWithoutAnEndIsBroken(t *testing.T) {
	d, _ := newTestDetour(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := peer.NewClient(nil)
	ctx, cancel := context.WithCancel(context.Background())
	serving := task.Start(ctx, "peers", func(ctx context.Context) error {
		return peer.ServePlacer(ctx, l, &placer.Server{Forwarder: endlessForwarder{}}, hclog.NewNullLogger())
	})
	defer serving.Join()
	defer cancel()
	d.Peers = client
	answer, err := d.Forward(t.Context(), l.Addr().String(), relayCall)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Response.Body.Close()
	body := make([]byte, 2)
	if _, err := io.ReadFull(answer.Response.Body, body); err != nil {
		t.Fatal(err)
	}
	if n, err := answer.Response.Body.Read(body); n > 0 || err == nil || errors.Is(err, io.EOF) {
		t.Errorf("%d bytes, %v: the answer counts as complete", n, err)
	}
}
