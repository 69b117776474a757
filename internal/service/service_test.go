package service_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboorail.example/bamboorail/internal/entry"
	"bamboorail.example/bamboorail/internal/requestid"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/application"
	"bamboorail.example/bamboorail/internal/stand/engine"
	"bamboorail.example/bamboorail/internal/stand/fault"
	"bamboorail.example/bamboorail/pkg/record"
)

func TestServesBothDialects(t *testing.T) {
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
	for adapter, n := range map[string]*runningInstance{"suhrn": a, "stitky": c} {
		t.Run(adapter, func(t *testing.T) {
			b.mustComplete(n, adapter+"@v1", "whole", 6)
			text, done, resp := b.stream(n, adapter+"@v2", "stream", 6)
			if want := engine.Text(adapter+"@v2", "stream", 6); text != want || !done {
				t.Errorf("stream %q, done %t, expected %q: %s", text, done, want, resp.body)
			}
			if !strings.Contains(resp.body, `"model":"`+adapter+`@v2"`) {
				t.Errorf("stream does not contain the model name of the request: %s", resp.body)
			}
		})
	}
}

func TestErrorResponses(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapter("suhrn")
	b.record(`{"schema-version":1,"kind":"caller","name":"host","token-sha256":%q,"adapters":["stitky"]}`, record.HashToken("guest"))
	b.application("citaren-1", "sala-a", "citaren", 0)
	b.commit("first")
	n := b.startReady("a1", "sala-a")
	guest := map[string]string{"Authorization": "Bearer guest"}
	for name, c := range map[string]struct {
		path, body string
		header     map[string]string
		status     int
		kind       string
	}{
		"unknown caller":      {"/v1/completions", `{}`, map[string]string{"Authorization": "Bearer nobody"}, 401, "unauthenticated"},
		"no right to adapter": {"/v1/completions", `{"model":"suhrn@v1","prompt":"x"}`, guest, 403, "forbidden"},
		"no right to service": {"/v1/services/citaren/x", ``, guest, 403, "forbidden"},
		"unknown adapter":     {"/v1/completions", `{"model":"nic@v1","prompt":"x"}`, nil, 404, "unknown-adapter"},
		"unknown version":     {"/v1/completions", `{"model":"suhrn@v9","prompt":"x"}`, nil, 404, "unknown-version"},
		"unknown service":     {"/v1/services/nic/x", ``, nil, 404, "unknown-service"},
		"model without at":    {"/v1/completions", `{"model":"suhrn","prompt":"x"}`, nil, 400, "bad-request"},
		"malformed body":      {"/v1/completions", `{"model":`, nil, 400, "bad-request"},
		"body is a list":      {"/v1/completions", `[1]`, nil, 400, "bad-request"},
		"no prompt":           {"/v1/completions", `{"model":"suhrn@v1"}`, nil, 400, "bad-request"},
		"no messages":         {"/v1/chat/completions", `{"model":"suhrn@v1","messages":[]}`, nil, 400, "bad-request"},
		"negative max_tokens": {"/v1/completions", `{"model":"suhrn@v1","prompt":"x","max_tokens":-1}`, nil, 400, "bad-request"},
		"oversized body":      {"/v1/completions", strings.Repeat("x", 1<<20+1), nil, 413, "too-large"},
		"deadline no unit":    {"/v1/completions", `{"model":"suhrn@v1","prompt":"x"}`, map[string]string{"Request-Deadline": "5"}, 400, "bad-deadline"},
		"deadline negative":   {"/v1/completions", `{"model":"suhrn@v1","prompt":"x"}`, map[string]string{"Request-Deadline": "-5s"}, 400, "bad-deadline"},
		"id with space":       {"/v1/completions", `{"model":"suhrn@v1","prompt":"x"}`, map[string]string{"Request-Id": "a b"}, 400, "bad-request"},
		"no engine":           {"/v1/completions", `{"model":"suhrn@v1","prompt":"x"}`, map[string]string{"Request-Deadline": "200ms"}, 503, "no-target"},
	} {
		t.Run(name, func(t *testing.T) {
			a := b.call(n, http.MethodPost, c.path, c.body, c.header)
			if a.status != c.status && (c.kind != "no-target" || a.status != http.StatusGatewayTimeout) {
				t.Errorf("status %d, expected %d: %s", a.status, c.status, a.body)
			}
			if a.kind() != c.kind && c.kind != "no-target" {
				t.Errorf("kind %q, expected %q", a.kind(), c.kind)
			}
			if a.header.Get("Run-Outcome") != "not-run" {
				t.Errorf("outcome %q", a.header.Get("Run-Outcome"))
			}
			if a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
			if strings.Contains(a.body, callerToken) {
				t.Error("the answer shows the token")
			}
		})
	}
}

// acceptedID returns a request id that the deduplicators accept, because it was
// issued after their terms began.
func (b *testbed) acceptedID(n *runningInstance, zone string) string {
	b.t.Helper()
	for {
		id, err := requestid.New(zone)
		if err != nil {
			b.t.Fatal(err)
		}
		a := b.call(n, http.MethodPost, "/v1/services/citaren/probe", "", map[string]string{requestid.Header: id.String()})
		if a.status == http.StatusOK {
			fresh, err := requestid.New(zone)
			if err != nil {
				b.t.Fatal(err)
			}
			return fresh.String()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func deduplicatorTargets(service string) []string {
	var names []string
	for n := range entry.DeduplicatorShards {
		names = append(names, entry.DeduplicatorTarget(service, n))
	}
	return names
}

// TestRoutesSelectServices checks the routing of calls by host and path: the
// longest prefix wins, repeats of a request id go to the same service, and a call
// that may not be repeated is sent once.
func TestRoutesSelectServices(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	apps := map[string]*application.Server{}
	for _, name := range []string{"citaren", "citaren-nova", "podania"} {
		apps[name] = b.application(name+"-1", "sala-a", name, 0)
	}
	b.record(`{"schema-version":3,"kind":"route","name":"vsetko","host":"citaj.example","path-prefix":"/","repeat":"always","max-attempts":2,"services":[{"service":"citaren"},{"service":"citaren-nova"}]}`)
	b.record(`{"schema-version":3,"kind":"route","name":"podania","host":"citaj.example","path-prefix":"/podaj/","repeat":"never","max-attempts":1,"services":[{"service":"podania"}]}`)
	b.record(`{"schema-version":3,"kind":"route","name":"nikam","host":"citaj.example","path-prefix":"/nikam/","repeat":"never","services":[{"service":"neznama"}]}`)
	b.commit("first")
	n := b.startReady("a1", "sala-a")
	b.awaitOwned("sala-a", append(append(deduplicatorTargets("citaren"), deduplicatorTargets("citaren-nova")...), deduplicatorTargets("podania")...)...)
	call := func(method, path, id string) response {
		return b.call(n, method, path, "", map[string]string{"Host": "CITAJ.example:80", requestid.Header: id})
	}
	for k := range 40 {
		id := fmt.Sprint("volanie-", k)
		for range 2 {
			if a := call(http.MethodPost, "/kapitoly/1?cast=2", id); a.status != http.StatusOK {
				t.Fatalf("routed call: %d %s", a.status, a.body)
			}
		}
		if runs := [2]int{apps["citaren"].Runs()[id], apps["citaren-nova"].Runs()[id]}; runs != [2]int{2, 0} && runs != [2]int{0, 2} {
			t.Errorf("repeats of %s ran %v times on the two services", id, runs)
		}
	}
	if len(apps["citaren"].Runs()) == 0 || len(apps["citaren-nova"].Runs()) == 0 {
		t.Error("one of the two services of the route was never chosen")
	}
	a := call(http.MethodPost, "/podaj/vec", "raz")
	if a.status != http.StatusOK || apps["podania"].Runs()["raz"] != 1 || a.header.Get("Repeat-Policy") != "new-request" {
		t.Errorf("longest prefix: %d %s %v", a.status, a.body, a.header)
	}
	b.injectFault(b.servers["podania-1"], fault.Rule{Path: "/podaj", LoseAnswer: true, Count: 1})
	if a := call(http.MethodPost, "/podaj/vec", "stratene"); a.header.Get("Run-Outcome") != "may-have-run" || apps["podania"].Runs()["stratene"] != 1 {
		t.Errorf("a lost answer: %d %v, %d runs", a.status, a.header, apps["podania"].Runs()["stratene"])
	}
	// A third attempt would be answered.
	b.injectFault(b.servers["citaren-1"], fault.Rule{Path: "/medza", Cut: true, Count: 2})
	b.injectFault(b.servers["citaren-nova-1"], fault.Rule{Path: "/medza", Cut: true, Count: 2})
	if a := call(http.MethodGet, "/medza/x", "medza"); a.status == http.StatusOK {
		t.Errorf("a call of two attempts was sent three times: %d %s", a.status, a.body)
	}
	if a := call(http.MethodGet, "/nikam/x", "x"); a.status != http.StatusNotFound || a.kind() != "unknown-service" {
		t.Errorf("a route to an undeclared service: %d %s", a.status, a.body)
	}
	if a := b.call(n, http.MethodGet, "/kapitoly/1", "", nil); a.status != http.StatusNotFound || a.header.Get("Run-Outcome") != "not-run" {
		t.Errorf("another host: %d %s", a.status, a.body)
	}
}

func TestRunsAtMostOnceAcrossZonesAndDeduplicators(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	app := b.application("citaren-1", "sala-a", "citaren", 10*time.Millisecond)
	b.commit("first")
	a1, a2, b1 := b.startReady("a1", "sala-a"), b.startReady("a2", "sala-a"), b.startReady("b1", "sala-b")
	b.awaitOwned("sala-a", deduplicatorTargets("citaren")...)
	b.await("the other zone to be known", func() bool {
		id, _ := requestid.New("sala-a")
		a := b.call(b1, http.MethodPost, "/v1/services/citaren/x", "", map[string]string{requestid.Header: id.String()})
		return a.kind() != "unavailable"
	})
	var group sync.WaitGroup
	for range 20 {
		id := b.acceptedID(a1, "sala-a")
		for _, n := range []*runningInstance{a1, a2, b1, a1, b1} {
			group.Go(func() {
				b.call(n, http.MethodPost, "/v1/services/citaren/zalozky", `{"dielo":1}`, map[string]string{requestid.Header: id, "Idempotency-Key": id})
			})
		}
	}
	group.Wait()
	// After a takeover, requests seen by the killed deduplicators must not run
	// again.
	id := b.acceptedID(a1, "sala-a")
	b.call(a2, http.MethodPost, "/v1/services/citaren/zalozky", `{}`, map[string]string{requestid.Header: id})
	a1.killAndWait()
	b.await("new deduplicators", func() bool {
		for _, k := range deduplicatorTargets("citaren") {
			if b.owners("sala-a")[k].Current.Instance != "a2" {
				return false
			}
		}
		return true
	})
	for range 4 {
		b.call(a2, http.MethodPost, "/v1/services/citaren/zalozky", `{}`, map[string]string{requestid.Header: id})
		b.call(b1, http.MethodPost, "/v1/services/citaren/zalozky", `{}`, map[string]string{requestid.Header: id})
	}
	for id, n := range app.Runs() {
		if n != 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// TestDeduplicatorsOfZonesAreSeparate checks that a request id runs once, and only
// in its own zone, when two zones of a region have the same service and two
// instances each. The deduplicators of both zones have the same target names, and
// when these were confused, ids ran in both zones. The soak test with faults found
// this with seed 1.
func TestDeduplicatorsOfZonesAreSeparate(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	apps := map[string]*application.Server{}
	for _, zone := range []string{"sala-a", "sala-b"} {
		apps[zone] = b.application("citaren-"+zone, zone, "citaren", 0)
	}
	b.commit("first")
	nodes := []*runningInstance{b.startReady("a1", "sala-a"), b.startReady("b1", "sala-b"), b.startReady("a2", "sala-a"), b.startReady("b2", "sala-b")}
	for zone := range apps {
		b.awaitOwned(zone, deduplicatorTargets("citaren")...)
	}
	for _, n := range nodes {
		for zone := range apps {
			b.await("calls from each instance to each zone", func() bool {
				id := b.acceptedID(nodes[0], zone)
				return b.call(n, http.MethodPost, "/v1/services/citaren/x", "", map[string]string{requestid.Header: id}).status == http.StatusOK
			})
		}
	}
	for zone, app := range apps {
		for range 20 {
			id := b.acceptedID(nodes[0], zone)
			for _, n := range nodes {
				b.call(n, http.MethodPost, "/v1/services/citaren/x", "", map[string]string{requestid.Header: id})
			}
			for where, other := range apps {
				if runs := other.Runs()[id]; runs > 1 || (other != app && runs > 0) {
					t.Errorf("id %s ran %d times in %s", id, runs, where)
				}
			}
		}
	}
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapter("suhrn")
	b.engine("stroj-1", "sala-a", record.DialectOpenAI, 2)
	b.engine("stroj-2", "sala-a", record.DialectStatus, 2)
	b.commit("first")
	b.startReady("a1", "sala-a")
	b.startReady("a2", "sala-a")
	b.awaitOwned("sala-a", "stroj-1", "stroj-2")
	b.mustComplete(b.instances["a1"], "suhrn@v1", "before", 4)
	former := b.ownerOf("sala-a", "stroj-1")
	survivor := b.instances["a1"]
	if survivor == former {
		survivor = b.instances["a2"]
	}
	former.killAndWait()
	b.mustComplete(survivor, "suhrn@v1", "after", 4)
	b.mustComplete(survivor, "suhrn@v2", "after", 4)
	if v := b.violations(); len(v) > 0 {
		t.Errorf("evicted while serving: %v", v)
	}
}

func TestPlatformOutageKeepsServingAndReplacesOwners(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapter("suhrn")
	b.engine("stroj-1", "sala-a", record.DialectOpenAI, 2)
	b.commit("first")
	b.startReady("a1", "sala-a")
	b.startReady("a2", "sala-a")
	b.awaitOwned("sala-a", "stroj-1")
	b.mustComplete(b.instances["a1"], "suhrn@v1", "before", 4)
	b.await("heartbeats in both directions", func() bool {
		return strings.Count(b.operator(b.instances["a1"], "/v1/instances"), `"live"`) == 2 &&
			strings.Count(b.operator(b.instances["a2"], "/v1/instances"), `"live"`) == 2
	})
	if err := b.platform.faults.Add(fault.Rule{Path: "/v1", Cut: true}); err != nil {
		t.Fatal(err)
	}
	b.mustComplete(b.instances["a1"], "suhrn@v2", "a load without the platform", 4)
	former := b.announcedOwner("stroj-1")
	survivor := b.instances["a1"]
	if survivor == former {
		survivor = b.instances["a2"]
	}
	former.killAndWait()
	b.await("answers of a provisional owner", func() bool {
		text, _ := b.complete(survivor, "suhrn@v1", "after", 4)
		return text == engine.Text("suhrn@v1", "after", 4)
	})
	b.platform.faults.Clear()
	b.await("the provisional term in the ledger", func() bool {
		return b.ownerOf("sala-a", "stroj-1") == survivor
	})
	b.mustComplete(survivor, "suhrn@v2", "platform back", 4)
	if v := b.violations(); len(v) > 0 {
		t.Errorf("evicted while serving: %v", v)
	}
}

// announcedOwner returns the owner of a target from the announcements of the
// instances, for use while the platform is unavailable.
func (b *testbed) announcedOwner(target string) *runningInstance {
	b.t.Helper()
	var found *runningInstance
	b.await("an announced owner", func() bool {
		for name, n := range b.instances {
			list := b.operator(n, "/v1/targets")
			if strings.Contains(list, fmt.Sprintf(`"name":%q`, target)) && strings.Contains(list, fmt.Sprintf(`"owner":%q`, name)) {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// operator sends a query to the operator API.
func (b *testbed) operator(n *runningInstance, path string) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.instance.OperatorAddress()+path, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

// balancer selects ready instances in turn, like the platform's load balancer.
type balancer struct {
	testbed *testbed
	mu      sync.Mutex
	nodes   []*runningInstance
	next    int
}

func (l *balancer) add(n *runningInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = append(l.nodes, n)
}

func (l *balancer) pick() *runningInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		l.next++
		n := l.nodes[l.next%len(l.nodes)]
		if l.testbed.status(n, "/readyz") == http.StatusOK {
			return n
		}
	}
}

func TestGracefulShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapter("suhrn")
	b.engine("stroj-1", "sala-a", record.DialectOpenAI, 4)
	b.engine("stroj-2", "sala-a", record.DialectStatus, 4)
	b.commit("first")
	delayed := func(s *settings.Entry) { s.ReadinessDelay = 300 * time.Millisecond }
	l := &balancer{testbed: b}
	l.add(b.startReady("a1", "sala-a", delayed))
	l.add(b.startReady("a2", "sala-a", delayed))
	b.awaitOwned("sala-a", "stroj-1", "stroj-2")
	failures := make(chan string, 1000)
	var group sync.WaitGroup
	stop := make(chan struct{})
	for k := range 6 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("%d-%d", k, n)
				text, done, a := b.stream(l.pick(), "suhrn@v1", prompt, 100)
				if text != engine.Text("suhrn@v1", prompt, 100) || !done {
					failures <- fmt.Sprintf("%s: status %d, error %v, %d bytes: %s", prompt, a.status, a.err, len(text), a.body[max(0, len(a.body)-300):])
				}
			}
		})
	}
	// Replace every instance while the streams run.
	for _, old := range []string{"a1", "a2"} {
		l.add(b.startReady(old+"-new", "sala-a", delayed))
		b.instances[old].stop()
		if err := <-b.instances[old].end.Done(); err != nil {
			t.Errorf("shutdown of %s: %v", old, err)
		}
	}
	b.mustComplete(b.instances["a1-new"], "suhrn@v2", "after", 3)
	close(stop)
	group.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	if v := b.violations(); len(v) > 0 {
		t.Errorf("evicted while serving: %v", v)
	}
}

func TestNewInstanceLoadsConfigurationFromPeers(t *testing.T) {
	t.Parallel()
	b := newTestbed(t)
	b.adapter("suhrn")
	b.engine("stroj-1", "sala-a", record.DialectOpenAI, 2)
	b.commit("first")
	a1 := b.startReady("a1", "sala-a")
	b.awaitOwned("sala-a", "stroj-1")
	if err := b.platform.faults.Add(fault.Rule{Path: "/v1", Cut: true}); err != nil {
		t.Fatal(err)
	}
	isolated := b.start("a2", "sala-a")
	if got := b.status(isolated, "/readyz"); got != http.StatusServiceUnavailable {
		t.Errorf("an instance without platform and peers has status %d", got)
	}
	seeded := b.startReady("a3", "sala-a", func(s *settings.Entry) { s.Seeds = []string{a1.instance.PeerAddress()} })
	b.await("answers of the seeded instance", func() bool {
		text, _ := b.complete(seeded, "suhrn@v1", "x", 3)
		return text == engine.Text("suhrn@v1", "x", 3)
	})
}
