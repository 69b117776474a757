package service_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/requestid"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/engine"
	"bamboorail.example/bamboorail/internal/stand/fault"
	"bamboorail.example/bamboorail/pkg/operatorapi"
	"bamboorail.example/bamboorail/pkg/record"
)

func (b *testbed) injectFault(s *standInServer, r fault.Rule) {
	b.t.Helper()
	if err := s.faults.Add(r); err != nil {
		b.t.Fatal(err)
	}
}

func TestCutStreamIsResumedOrEndsWithAnError(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapterOn("suhrn", "stroj-1")
	b.adapterOn("stitky", "stroj-2")
	b.engine("stroj-1", "sala-a", record.DialectOpenAI, 2)
	b.engine("stroj-2", "sala-b", record.DialectStatus, 2)
	b.commit("first")
	a, c := b.startReady("a1", "sala-a"), b.startReady("b1", "sala-b")
	b.awaitOwned("sala-a", "stroj-1")
	b.awaitOwned("sala-b", "stroj-2")
	b.mustComplete(a, "suhrn@v1", "warm", 2)
	b.mustComplete(c, "stitky@v1", "warm", 2)
	b.injectFault(b.servers["stroj-1"], fault.Rule{Path: "/v1/completions", CutAfter: 1000, Count: 1})
	text, done, resp := b.stream(a, "suhrn@v1", "resume", 30)
	if text != engine.Text("suhrn@v1", "resume", 30) || !done {
		t.Errorf("resumed stream: done %t: %s", done, resp.body)
	}
	b.injectFault(b.servers["stroj-2"], fault.Rule{Path: "/generate", CutAfter: 300, Count: 1})
	_, done, resp = b.stream(c, "stitky@v1", "cut", 30)
	if done || !strings.Contains(resp.body, "event: error") || !strings.Contains(resp.body, "may-have-run") {
		t.Errorf("truncated stream looks complete or reports no error: %s", resp.body)
	}
	b.injectFault(b.servers["stroj-2"], fault.Rule{Path: "/generate", CutAfter: 300, Count: 1})
	// Without streaming, no part of the response was sent yet, so the request is
	// retried.
	b.mustComplete(c, "stitky@v1", "again", 30)
}

func TestCallerThatGoesAwayCancelsItsRun(t *testing.T) {
	t.Parallel()
	for name, dialect := range map[string]record.Dialect{"openai": record.DialectOpenAI, "status": record.DialectStatus} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			b.adapter("suhrn")
			e := b.engine("stroj-1", "sala-a", dialect, 2)
			b.commit("first")
			b.startReady("a1", "sala-a")
			b.startReady("a2", "sala-a")
			b.awaitOwned("sala-a", "stroj-1")
			n := b.instances["a1"]
			if b.ownerOf("sala-a", "stroj-1") == n {
				n = b.instances["a2"] // so that the cancellation crosses a hop
			}
			b.mustComplete(n, "suhrn@v1", "warm", 2)
			ctx, cancel := context.WithCancel(t.Context())
			body := `{"model":"suhrn@v1","prompt":"long","max_tokens":30000,"stream":true}`
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.instance.CallerAddress()+"/v1/completions", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+callerToken)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
			cancel()
			_ = resp.Body.Close()
			// Without a cancellation the engine would end the run on its own some
			// time after the client disconnected.
			b.await("the run to end", func() bool { return e.State().Running == 0 })
			if e.Canceled() != 1 {
				t.Errorf("%d runs were canceled, expected 1", e.Canceled())
			}
		})
	}
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(b *testbed){
		"declared by operators": func(b *testbed) {
			b.record("%s", strings.Replace(b.targetRecord("stroj-1"), `"slots"`, `"state":"draining","slots"`, 1))
			b.commit("drain")
		},
		"reported by the engine without the platform": func(b *testbed) {
			b.injectFault(b.platform, fault.Rule{Path: "/v1", Cut: true})
			b.engines["stroj-1"].Leave()
		},
		"listed by the platform": func(b *testbed) {
			list := []bamboorail.Instance{{ID: "stroj-1", Zone: "sala-a", State: bamboorail.InstanceLeaving}}
			data, err := json.Marshal(list)
			if err != nil {
				b.t.Fatal(err)
			}
			req, err := http.NewRequest(http.MethodPut, b.platform.server.URL+"/fault-instances", strings.NewReader(string(data)))
			if err != nil {
				b.t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				b.t.Fatal(err)
			}
			_ = resp.Body.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			// More models than one engine has slots for, so that both engines serve.
			models := []string{"suhrn", "stitky", "varovania", "titulky", "obsahy", "ukazky"}
			for _, m := range models {
				b.adapter(m)
			}
			leaving := b.engine("stroj-1", "sala-a", record.DialectOpenAI, 2)
			b.engine("stroj-2", "sala-a", record.DialectOpenAI, 2)
			b.commit("first")
			n := b.startReady("a1", "sala-a")
			b.startReady("a2", "sala-a")
			b.awaitOwned("sala-a", "stroj-1", "stroj-2")
			b.await("requests on both engines", func() bool {
				var group sync.WaitGroup
				for _, m := range models {
					group.Go(func() { b.complete(n, m+"@v1", "x", 20) })
				}
				group.Wait()
				return leaving.Started() > 0 && b.engines["stroj-2"].Started() > 0
			})
			running := make(chan string, 1)
			go func() {
				text, _, _ := b.stream(n, "suhrn@v1", "long", 200)
				running <- text
			}()
			b.await("the long stream to start", func() bool { return leaving.State().Running+b.engines["stroj-2"].State().Running > 0 })
			leave(b)
			b.await("both instances to see the target leave", func() bool {
				for _, n := range []string{"a1", "a2"} {
					var list []operatorapi.Target
					_ = json.Unmarshal([]byte(b.operator(b.instances[n], "/v1/targets")), &list)
					if len(list) == 0 || list[0].State == "active" {
						return false
					}
				}
				return true
			})
			before := leaving.Started()
			for k := range 30 {
				b.mustComplete(n, models[k%len(models)]+"@v1", fmt.Sprint("late", k), 2)
			}
			if leaving.Started() != before {
				t.Error("the leaving engine got new work")
			}
			if text := <-running; text != engine.Text("suhrn@v1", "long", 200) {
				t.Errorf("the running stream was truncated after %d bytes", len(text))
			}
		})
	}
}

// targetRecord returns the stored record of a target.
func (b *testbed) targetRecord(name string) string {
	b.t.Helper()
	r := platform.NewReader(b.store, func(*platform.View, []error) {})
	if err := r.Refresh(b.t.Context()); err != nil {
		b.t.Fatal(err)
	}
	rec, ok := r.Current().Record(record.Key{Kind: record.KindTarget, Name: name})
	if !ok {
		b.t.Fatalf("no record of %s", name)
	}
	return string(rec.Raw())
}

// TestAnswersStayCorrectDuringVersionChanges retires and restores versions on
// engines with few slots, while engines restart and loads fail. Every response
// must be complete and come from the requested version, or be an error.
func TestAnswersStayCorrectDuringVersionChanges(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	for _, a := range []string{"suhrn", "stitky", "varovania"} {
		b.adapter(a)
	}
	b.engine("stroj-1", "sala-a", record.DialectOpenAI, 2)
	b.engine("stroj-2", "sala-a", record.DialectStatus, 2)
	b.commit("first")
	b.startReady("a1", "sala-a")
	b.startReady("a2", "sala-a")
	b.awaitOwned("sala-a", "stroj-1", "stroj-2")
	b.injectFault(b.weights, fault.Rule{Path: "/weights/stitky", Status: 503, Count: 3})
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for k := range 8 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				model := fmt.Sprintf("%s@v%d", []string{"suhrn", "stitky", "varovania"}[(k+n)%3], 1+n%2)
				prompt := fmt.Sprintf("%d-%d", k, n)
				text, a := b.complete(b.instances[fmt.Sprint("a", 1+k%2)], model, prompt, 10)
				switch {
				case a.status == http.StatusOK && text == engine.Text(model, prompt, 10):
					mu.Lock()
					whole++
					mu.Unlock()
				case a.status == http.StatusOK || a.kind() == "answer-mismatch":
					t.Errorf("%s: %q", model, a.body)
				}
			}
		})
	}
	progress := func() func() bool {
		mu.Lock()
		defer mu.Unlock()
		before := whole
		return func() bool { mu.Lock(); defer mu.Unlock(); return whole >= before+40 }
	}
	b.await("answers", progress())
	b.engines["stroj-1"].Restart()
	b.engines["stroj-2"].Restart()
	b.await("answers after restarts", progress())
	b.record(`{"schema-version":1,"kind":"adapter","name":"suhrn","base-model":"zaklad","versions":[{"name":"v1","state":"retired"},{"name":"v2"}]}`)
	b.commit("retire")
	b.await("answers after a retirement", progress())
	b.await("refusals of the retired version", func() bool {
		_, a := b.complete(b.instances["a1"], "suhrn@v1", "x", 1)
		_, c := b.complete(b.instances["a2"], "suhrn@v1", "x", 1)
		return a.kind() == "unknown-version" && c.kind() == "unknown-version"
	})
	b.record(`{"schema-version":1,"kind":"adapter","name":"suhrn","base-model":"zaklad","versions":[{"name":"v1"},{"name":"v2"}]}`)
	b.commit("restore")
	b.await("answers after a restoration", progress())
	close(stop)
	group.Wait()
	b.await("answers of the restored version", func() bool {
		text, _ := b.complete(b.instances["a2"], "suhrn@v1", "back", 3)
		return text == engine.Text("suhrn@v1", "back", 3)
	})
	if v := b.violations(); len(v) > 0 {
		t.Errorf("evicted while serving: %v", v)
	}
}

func TestConfigurationReachesEveryInstance(t *testing.T) {
	t.Parallel()
	for name, rule := range map[string]fault.Rule{
		"no fault":                {Path: "/none"},
		"watch events are lost":   {Path: "/v1/watch", Cut: true},
		"the platform is slow":    {Path: "/v1", Delay: "300ms"},
		"first reads are cut off": {Path: "/v1/objects/config", Cut: true, Count: 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			b.commit("first")
			nodes := []*runningInstance{b.startReady("a1", "sala-a"), b.startReady("a2", "sala-a"), b.startReady("b1", "sala-b")}
			b.injectFault(b.platform, rule)
			b.adapter("novy")
			b.await("the commit", func() bool {
				records := b.records
				head, _, err := platform.ReadHead(t.Context(), b.store)
				if err != nil {
					return false
				}
				_, err = platform.NewWriter(b.store).Commit(t.Context(), platform.Change{ID: "second", Base: head.Revision, Apply: []json.RawMessage{json.RawMessage(records[0])}})
				return err == nil
			})
			for _, n := range nodes {
				b.await("the new configuration", func() bool {
					return strings.Contains(b.call(n, http.MethodGet, "/v1/models", "", nil).body, "novy@v1")
				})
			}
		})
	}
}

// partitionProxy forwards TCP connections. During a simulated network partition,
// its connections hang.
type partitionProxy struct {
	address string
	target  chan string
	mu      sync.Mutex
	healed  chan struct{}
	conns   []net.Conn
}

func newPartitionProxy(t *testing.T) *partitionProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := &partitionProxy{address: l.Addr().String(), target: make(chan string, 1), healed: make(chan struct{})}
	close(c.healed)
	t.Cleanup(c.heal)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(conn)
		}
	}()
	return c
}

// setTarget sets the address to which the proxy forwards. Connections wait for it.
func (c *partitionProxy) setTarget(address string) { c.target <- address }

func (c *partitionProxy) forward(in net.Conn) {
	to := <-c.target
	c.target <- to
	out, err := net.Dial("tcp", to)
	if err != nil {
		_ = in.Close()
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, in, out)
	c.mu.Unlock()
	go c.pipe(in, out)
	c.pipe(out, in)
}

func (c *partitionProxy) pipe(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		healed := c.healed
		c.mu.Unlock()
		<-healed
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *partitionProxy) partition() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healed = make(chan struct{})
}

func (c *partitionProxy) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.healed:
	default:
		close(c.healed)
	}
}

func TestPartitionedZoneKeepsServing(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapter("suhrn")
	b.engine("stroj-1", "sala-a", record.DialectOpenAI, 2)
	b.engine("stroj-2", "sala-b", record.DialectOpenAI, 2)
	appA := b.application("citaren-a", "sala-a", "citaren", 0)
	appB := b.application("citaren-b", "sala-b", "citaren", 0)
	b.commit("first")
	// Every connection between zone sala-b and the outside goes through a proxy.
	toA, toB, toPlatform := newPartitionProxy(t), newPartitionProxy(t), newPartitionProxy(t)
	toPlatform.setTarget(strings.TrimPrefix(b.platform.server.URL, "http://"))
	a := b.startReady("a1", "sala-a", func(s *settings.Entry) { s.PeerAnnounce = toA.address })
	toA.setTarget(a.instance.PeerAddress())
	c := b.startReady("b1", "sala-b", func(s *settings.Entry) { s.PeerAnnounce, s.PlatformURL = toB.address, "http://"+toPlatform.address })
	toB.setTarget(c.instance.PeerAddress())
	b.awaitOwned("sala-a", append(deduplicatorTargets("citaren"), "stroj-1")...)
	b.awaitOwned("sala-b", append(deduplicatorTargets("citaren"), "stroj-2")...)
	idA, idB := b.acceptedID(a, "sala-a"), b.acceptedID(c, "sala-b")
	b.await("calls across zones", func() bool {
		id := b.acceptedID(a, "sala-a")
		resp := b.call(c, http.MethodPost, "/v1/services/citaren/x", "", map[string]string{requestid.Header: id})
		return resp.status == http.StatusOK
	})
	for _, l := range []*partitionProxy{toA, toB, toPlatform} {
		l.partition()
	}
	for _, model := range []string{"suhrn@v1", "suhrn@v2"} {
		// The deadline is far below the default, so that a request that hangs on
		// the partition fails.
		body := fmt.Sprintf(`{"model":%q,"prompt":"cut","max_tokens":4}`, model)
		resp := b.call(c, http.MethodPost, "/v1/completions", body, map[string]string{"Request-Deadline": "25s"})
		if resp.status != http.StatusOK {
			t.Errorf("%s in the partitioned zone: %d %s", model, resp.status, resp.body)
		}
	}
	resp := b.call(c, http.MethodPost, "/v1/services/citaren/x", "", map[string]string{requestid.Header: idB})
	if resp.status != http.StatusOK {
		t.Errorf("a call with the id of the partitioned zone: %d %s", resp.status, resp.body)
	}
	resp = b.call(c, http.MethodPost, "/v1/services/citaren/x", "", map[string]string{requestid.Header: idA, "Request-Deadline": "3s"})
	if resp.status == http.StatusOK || appB.Runs()[idA] > 0 || appA.Runs()[idA] > 1 {
		t.Errorf("a call with the id of the other zone: %d, runs %d and %d", resp.status, appA.Runs()[idA], appB.Runs()[idA])
	}
	for _, l := range []*partitionProxy{toA, toB, toPlatform} {
		l.heal()
	}
	b.await("calls across zones after the partition", func() bool {
		id := b.acceptedID(a, "sala-a")
		resp := b.call(c, http.MethodPost, "/v1/services/citaren/x", "", map[string]string{requestid.Header: id})
		return resp.status == http.StatusOK
	})
	for _, app := range []map[string]int{appA.Runs(), appB.Runs()} {
		for id, n := range app {
			if n > 1 {
				t.Errorf("request %s ran %d times", id, n)
			}
		}
	}
}

// TestPartitionCancelsInFlightRequests partitions a zone while a repeatable
// request from it waits for the first byte of an engine in the other zone. The
// request must be canceled and run on the engine of its own zone instead of hanging
// until its deadline.
func TestPartitionCancelsInFlightRequests(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapterOn("suhrn", "stroj-1")
	b.engine("stroj-1", "sala-a", record.DialectOpenAI, 2)
	b.engine("stroj-2", "sala-b", record.DialectOpenAI, 2)
	b.commit("first")
	toA, toB, toPlatform := newPartitionProxy(t), newPartitionProxy(t), newPartitionProxy(t)
	toPlatform.setTarget(strings.TrimPrefix(b.platform.server.URL, "http://"))
	a := b.startReady("a1", "sala-a", func(s *settings.Entry) { s.PeerAnnounce = toA.address })
	toA.setTarget(a.instance.PeerAddress())
	c := b.startReady("b1", "sala-b", func(s *settings.Entry) { s.PeerAnnounce, s.PlatformURL = toB.address, "http://"+toPlatform.address })
	toB.setTarget(c.instance.PeerAddress())
	b.awaitOwned("sala-a", "stroj-1")
	b.awaitOwned("sala-b", "stroj-2")
	b.mustComplete(c, "suhrn@v1", "warm", 2)

	// The first completion on the engine of the other zone never answers.
	b.injectFault(b.servers["stroj-1"], fault.Rule{Path: "/v1/completions", Delay: "1h", Count: 1})
	answers := make(chan response, 1)
	go func() {
		body := `{"model":"suhrn@v1","prompt":"cut","max_tokens":4}`
		answers <- b.call(c, http.MethodPost, "/v1/completions", body, map[string]string{"Request-Deadline": "40s"})
	}()
	b.await("the request at the engine of the other zone", func() bool { return len(b.servers["stroj-1"].faults.Rules()) == 0 })
	b.adapter("suhrn")
	b.adapter("znacka")
	b.commit("second")
	b.await("the adapter to be allowed on the engine of the same zone", func() bool {
		return strings.Contains(b.call(c, http.MethodGet, "/v1/models", "", nil).body, "znacka@v1")
	})
	for _, l := range []*partitionProxy{toA, toB, toPlatform} {
		l.partition()
	}
	resp := <-answers
	if resp.status != http.StatusOK || !strings.Contains(resp.body, engine.Text("suhrn@v1", "cut", 4)) {
		t.Errorf("in-flight request: %d %s", resp.status, resp.body)
	}
	for _, l := range []*partitionProxy{toA, toB, toPlatform} {
		l.heal()
	}
}

func TestGivenUpRequestIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapter("suhrn")
	e := b.engine("stroj-1", "sala-a", record.DialectOpenAI, 1)
	b.commit("first")
	n := b.startReady("a1", "sala-a")
	b.awaitOwned("sala-a", "stroj-1")
	b.mustComplete(n, "suhrn@v1", "warm", 2)
	for k := range 8 {
		go func() { b.stream(n, "suhrn@v1", fmt.Sprint("fill", k), 3000) }()
	}
	b.await("a full batch", func() bool { return e.State().Running == 8 })
	b.await("an immediate refusal of a short deadline", func() bool {
		start := time.Now()
		body := `{"model":"suhrn@v1","prompt":"x","max_tokens":5}`
		a := b.call(n, http.MethodPost, "/v1/completions", body, map[string]string{"Request-Deadline": "900ms"})
		if a.status == http.StatusOK {
			return false
		}
		if a.header.Get("Retry-After") == "" || a.header.Get("Run-Outcome") != "not-run" {
			t.Errorf("refusal without Retry-After or outcome: %v", a.header)
		}
		return time.Since(start) < 450*time.Millisecond && a.kind() == "overloaded"
	})
}
