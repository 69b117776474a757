package service_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/service"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/application"
	"bamboorail.example/bamboorail/internal/stand/engine"
	"bamboorail.example/bamboorail/internal/stand/fault"
	standplatform "bamboorail.example/bamboorail/internal/stand/platform"
	"bamboorail.example/bamboorail/internal/stand/weightstore"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	callerToken   = "test-caller"
	operatorToken = "test-operator"
)

// standInServer runs a stand-in of an external service on a real port, with fault
// injection.
type standInServer struct {
	server *httptest.Server
	faults *fault.Injector
}

func newStandInServer(t *testing.T, h http.Handler, restart func()) *standInServer {
	t.Helper()
	faults := fault.NewInjector(restart)
	s := httptest.NewServer(faults.Wrap(h))
	t.Cleanup(s.Close)
	t.Cleanup(faults.Thaw)
	return &standInServer{server: s, faults: faults}
}

// testbed runs instances and stand-ins of external services in one process.
type testbed struct {
	t         *testing.T
	platform  *standInServer
	store     *platform.Client
	weights   *standInServer
	engines   map[string]*engine.Engine
	servers   map[string]*standInServer
	apps      map[string]*application.Server
	records   []string
	instances map[string]*runningInstance
}

// runningInstance is an instance that was started by a testbed.
type runningInstance struct {
	instance *service.Instance
	kill     context.CancelFunc
	stop     context.CancelFunc
	end      *task.Task
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	server := standplatform.New(standplatform.Options{WritesPerSecond: 1000}, prometheus.NewRegistry())
	b := &testbed{
		t: t, engines: map[string]*engine.Engine{}, servers: map[string]*standInServer{},
		apps: map[string]*application.Server{}, instances: map[string]*runningInstance{},
	}
	b.platform = newStandInServer(t, server.Handler(), nil)
	b.store = platform.NewClient(b.platform.server.URL, &http.Transport{})
	b.weights = newStandInServer(t, weightstore.New(weightstore.Options{LoadTime: 20 * time.Millisecond}).Handler(), nil)
	b.record(`{"schema-version":1,"kind":"caller","name":"archiv","token-sha256":%q,"adapters":["*"],"services":["*"]}`, record.HashToken(callerToken))
	return b
}

func (b *testbed) record(format string, a ...any) {
	b.records = append(b.records, fmt.Sprintf(format, a...))
}

func (b *testbed) adapter(name string) {
	b.record(`{"schema-version":1,"kind":"adapter","name":%q,"base-model":"zaklad","versions":[{"name":"v1"},{"name":"v2"}]}`, name)
}

// adapterOn declares an adapter that only one engine may load.
func (b *testbed) adapterOn(name, target string) {
	b.record(`{"schema-version":1,"kind":"adapter","name":%q,"base-model":"zaklad","versions":[{"name":"v1"},{"name":"v2"}],"targets":[%q]}`, name, target)
}

// engine adds an engine that speaks a dialect to a zone.
func (b *testbed) engine(name, zone string, dialect record.Dialect, slots int) *engine.Engine {
	b.t.Helper()
	fenced := dialect == record.DialectOpenAI
	o := engine.Options{
		Name: name, BaseModel: "zaklad", Slots: slots, MaxBatch: 8, Step: 5 * time.Millisecond,
		WeightStore: b.weights.server.URL, ChecksFencing: fenced,
	}
	if !fenced {
		o.StateLag = 300 * time.Millisecond
	}
	e := engine.New(o, b.weights.server.Client())
	h := e.OpenAIHandler()
	if !fenced {
		h = e.StatusHandler()
	}
	ctx, cancel := context.WithCancel(context.Background())
	steps := task.Start(ctx, name, e.Run)
	b.t.Cleanup(func() { cancel(); steps.Join() })
	b.engines[name], b.servers[name] = e, newStandInServer(b.t, h, e.Restart)
	b.record(`{"schema-version":1,"kind":"target","name":%q,"role":"engine","zone":%q,"url":%q,"dialect":%q,"base-model":"zaklad","slots":%d,"max-batch":8,"checks-fencing":%t}`,
		name, zone, b.servers[name].server.URL, dialect, slots, fenced)
	return e
}

// application adds an application target of a service to a zone.
func (b *testbed) application(name, zone, serviceName string, runTime time.Duration) *application.Server {
	b.t.Helper()
	a := application.New(name, runTime)
	b.apps[name], b.servers[name] = a, newStandInServer(b.t, a.Handler(), nil)
	b.record(`{"schema-version":1,"kind":"target","name":%q,"role":"application","zone":%q,"url":%q,"service":%q,"repeatable-methods":["GET"]}`,
		name, zone, b.servers[name].server.URL, serviceName)
	return a
}

// commit writes the declared records to the platform.
func (b *testbed) commit(id string) uint64 {
	b.t.Helper()
	change := platform.Change{ID: id, Base: 1 << 40}
	head, _, err := platform.ReadHead(b.t.Context(), b.store)
	if err != nil {
		b.t.Fatal(err)
	}
	change.Base = head.Revision
	for _, r := range b.records {
		change.Apply = append(change.Apply, json.RawMessage(r))
	}
	b.records = nil
	revision, err := platform.NewWriter(b.store).Commit(b.t.Context(), change)
	if err != nil {
		b.t.Fatal(err)
	}
	return revision
}

// startReady starts an instance and waits until it is ready. Options change its
// settings first.
func (b *testbed) startReady(name, zone string, options ...func(*settings.Entry)) *runningInstance {
	b.t.Helper()
	n := b.start(name, zone, options...)
	b.await(name+" is ready", func() bool { return b.status(n, "/readyz") == http.StatusOK })
	return n
}

func (b *testbed) start(name, zone string, options ...func(*settings.Entry)) *runningInstance {
	b.t.Helper()
	s := settings.Entry{
		Instance: name, Zone: zone, Region: "kosice", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		MetricsAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", PlatformURL: b.platform.server.URL,
		OperatorTokenSHA256: record.HashToken(operatorToken), MaxBody: 1 << 20, DrainTimeout: time.Minute,
		MaxConcurrentLoads: 1, Policy: "weighted", TraceCapacity: 512,
	}
	for _, o := range options {
		o(&s)
	}
	logs := logflags.Discard()
	if testing.Verbose() {
		var err error
		if logs, err = logflags.New(os.Stderr, name, "debug", false); err != nil {
			b.t.Fatal(err)
		}
	}
	i, err := service.New(b.t.Context(), s, logs)
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, kill := context.WithCancel(context.Background())
	stop, leave := context.WithCancel(context.Background())
	n := &runningInstance{instance: i, kill: kill, stop: leave}
	n.end = task.Start(ctx, name, func(ctx context.Context) error { return i.Run(ctx, stop) })
	b.instances[name] = n
	b.t.Cleanup(func() { kill(); n.end.Join() })
	return n
}

// killAndWait ends an instance without a graceful shutdown.
func (n *runningInstance) killAndWait() { n.kill(); n.end.Join() }

// await polls until a condition holds. It is bounded only by the time limit of
// the whole test run.
func (b *testbed) await(what string, condition func() bool) {
	b.t.Helper()
	for !condition() {
		select {
		case <-b.t.Context().Done():
			b.t.Fatalf("condition not met: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (b *testbed) status(n *runningInstance, path string) int {
	resp, err := http.Get("http://" + n.instance.CallerAddress() + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a response) kind() string {
	var e struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(a.body), &e)
	return e.Error.Kind
}

// call sends a request to an instance as a caller.
func (b *testbed) call(n *runningInstance, method, path, body string, header map[string]string) response {
	req, err := http.NewRequest(method, "http://"+n.instance.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	for k, v := range header {
		req.Header.Set(k, v)
		if k == "Host" {
			req.Host = v
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// complete requests a completion without streaming and returns its text.
func (b *testbed) complete(n *runningInstance, model, prompt string, tokens int) (string, response) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, tokens)
	a := b.call(n, http.MethodPost, "/v1/completions", body, nil)
	var c struct {
		Model   string `json:"model"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(a.body), &c); err != nil || len(c.Choices) == 0 {
		return "", a
	}
	return c.Choices[0].Text, a
}

// mustComplete checks that a response is complete and comes from the requested
// weights.
func (b *testbed) mustComplete(n *runningInstance, model, prompt string, tokens int) response {
	b.t.Helper()
	text, a := b.complete(n, model, prompt, tokens)
	if want := engine.Text(model, prompt, tokens); text != want {
		b.t.Fatalf("%s: text %q, expected %q (status %d, error %v): %s", model, text, want, a.status, a.err, a.body)
	}
	return a
}

// stream requests a streamed completion and returns the text of its chunks, and
// whether the stream ended with [DONE].
func (b *testbed) stream(n *runningInstance, model, prompt string, tokens int) (string, bool, response) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	a := b.call(n, http.MethodPost, "/v1/completions", body, nil)
	text, done := streamText(a.body)
	return text, done, a
}

func streamText(body string) (string, bool) {
	var text bytes.Buffer
	done := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Text)
		}
	}
	return text.String(), done
}

// owners returns the ownership of each target in the ledger of a zone.
func (b *testbed) owners(zone string) map[string]platform.Ownership {
	l, _, err := platform.ReadLedger(b.t.Context(), b.store, zone)
	if err != nil {
		b.t.Fatal(err)
	}
	return l.Targets
}

// awaitOwned waits until each target of a zone has an owner.
func (b *testbed) awaitOwned(zone string, targets ...string) {
	b.t.Helper()
	b.await("owners", func() bool {
		l := b.owners(zone)
		for _, t := range targets {
			if l[t].Current.Session == "" {
				return false
			}
		}
		return true
	})
}

// ownerOf returns the instance that owns a target.
func (b *testbed) ownerOf(zone, target string) *runningInstance {
	return b.instances[b.owners(zone)[target].Current.Instance]
}

// violations returns the unloads that hit running requests.
func (b *testbed) violations() []engine.UnloadViolation {
	var all []engine.UnloadViolation
	for _, e := range b.engines {
		all = append(all, e.Violations()...)
	}
	return all
}
