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

	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/service"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/application"
	"bamboorail.example/bamboorail/internal/stand/engine"
	"bamboorail.example/bamboorail/internal/stand/fault"
	standplatform "bamboorail.example/bamboorail/internal/stand/platform"
	"bamboorail.example/bamboorail/internal/stand/weightstore"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	callerToken   = "test-caller"
	operatorToken = "test-operator"
)

// standIn is a stand-in behind a real port.
type standIn struct {
	server *httptest.Server
	faults *fault.Injector
}

func newStandIn(t *testing.T, h http.Handler, restart func()) *standIn {
	t.Helper()
	faults := fault.NewInjector(restart)
	s := httptest.NewServer(faults.Wrap(h))
	t.Cleanup(s.Close)
	t.Cleanup(faults.Thaw)
	return &standIn{server: s, faults: faults}
}

// bed is a small system: stand-ins and instances in one process.
type bed struct {
	t        *testing.T
	platform *standIn
	store    *platform.Client
	weights  *standIn
	engines  map[string]*engine.Engine
	ports    map[string]*standIn
	apps     map[string]*application.Server
	records  []string
	entries  map[string]*node
}

// node is an instance that runs.
type node struct {
	instance *service.Instance
	kill     context.CancelFunc
	stop     context.CancelFunc
	end      *duty.Task
}

func newBed(t *testing.T) *bed {
	t.Helper()
	server := standplatform.New(standplatform.Options{WritesPerSecond: 1000}, prometheus.NewRegistry())
	b := &bed{
		t: t, engines: map[string]*engine.Engine{}, ports: map[string]*standIn{},
		apps: map[string]*application.Server{}, entries: map[string]*node{},
	}
	b.platform = newStandIn(t, server.Handler(), nil)
	b.store = platform.NewClient(b.platform.server.URL, &http.Transport{})
	b.weights = newStandIn(t, weightstore.New(weightstore.Options{LoadTime: 20 * time.Millisecond}).Handler(), nil)
	b.record(`{"schema-version":1,"kind":"caller","name":"archiv","token-sha256":%q,"adapters":["*"],"services":["*"]}`, record.HashToken(callerToken))
	return b
}

func (b *bed) record(format string, a ...any) {
	b.records = append(b.records, fmt.Sprintf(format, a...))
}

func (b *bed) adapter(name string) {
	b.record(`{"schema-version":1,"kind":"adapter","name":%q,"base-model":"zaklad","versions":[{"name":"v1"},{"name":"v2"}]}`, name)
}

// adapterOn declares an adapter that only one engine may host.
func (b *bed) adapterOn(name, target string) {
	b.record(`{"schema-version":1,"kind":"adapter","name":%q,"base-model":"zaklad","versions":[{"name":"v1"},{"name":"v2"}],"targets":[%q]}`, name, target)
}

// engine adds an engine of a dialect to a zone.
func (b *bed) engine(name, zone string, dialect record.Dialect, slots int) *engine.Engine {
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
	steps := duty.Start(ctx, name, e.Run)
	b.t.Cleanup(func() { cancel(); steps.Join() })
	b.engines[name], b.ports[name] = e, newStandIn(b.t, h, e.Restart)
	b.record(`{"schema-version":1,"kind":"target","name":%q,"role":"engine","zone":%q,"url":%q,"dialect":%q,"base-model":"zaklad","slots":%d,"max-batch":8,"checks-fencing":%t}`,
		name, zone, b.ports[name].server.URL, dialect, slots, fenced)
	return e
}

// application adds a plain service to a zone.
func (b *bed) application(name, zone, serviceName string, runTime time.Duration) *application.Server {
	b.t.Helper()
	a := application.New(name, runTime)
	b.apps[name], b.ports[name] = a, newStandIn(b.t, a.Handler(), nil)
	b.record(`{"schema-version":1,"kind":"target","name":%q,"role":"application","zone":%q,"url":%q,"service":%q,"repeatable-methods":["GET"]}`,
		name, zone, b.ports[name].server.URL, serviceName)
	return a
}

// commit stores the declared records.
func (b *bed) commit(id string) uint64 {
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

// entry starts an instance; options change its settings first.
func (b *bed) entry(name, zone string, options ...func(*settings.Entry)) *node {
	b.t.Helper()
	n := b.tryEntry(name, zone, options...)
	b.await(name+" is ready", func() bool { return b.status(n, "/readyz") == http.StatusOK })
	return n
}

func (b *bed) tryEntry(name, zone string, options ...func(*settings.Entry)) *node {
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
	n := &node{instance: i, kill: kill, stop: leave}
	n.end = duty.Start(ctx, name, func(ctx context.Context) error { return i.Run(ctx, stop) })
	b.entries[name] = n
	b.t.Cleanup(func() { kill(); n.end.Join() })
	return n
}

// killed ends an instance at once.
func (n *node) killed() { n.kill(); n.end.Join() }

// await polls until a condition holds. Only the time limit of the whole test
// run bounds it.
func (b *bed) await(what string, condition func() bool) {
	b.t.Helper()
	for !condition() {
		select {
		case <-b.t.Context().Done():
			b.t.Fatalf("%s: never", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (b *bed) status(n *node, path string) int {
	resp, err := http.Get("http://" + n.instance.CallerAddress() + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// answer is the response to a caller.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) kind() string {
	var e struct {
		Error struct {
			Kind string `json:"kind"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(a.body), &e)
	return e.Error.Kind
}

// call sends a request to an instance.
func (b *bed) call(n *node, method, path, body string, header map[string]string) answer {
	req, err := http.NewRequest(method, "http://"+n.instance.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
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
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// complete asks for a whole completion and returns its text.
func (b *bed) complete(n *node, model, prompt string, tokens int) (string, answer) {
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

// mustComplete checks that an answer is whole and of the named weights.
func (b *bed) mustComplete(n *node, model, prompt string, tokens int) answer {
	b.t.Helper()
	text, a := b.complete(n, model, prompt, tokens)
	if want := engine.Text(model, prompt, tokens); text != want {
		b.t.Fatalf("%s: text %q, expected %q (status %d, error %v): %s", model, text, want, a.status, a.err, a.body)
	}
	return a
}

// stream asks for a streamed completion and returns its chunks' texts, and
// whether the end mark came.
func (b *bed) stream(n *node, model, prompt string, tokens int) (string, bool, answer) {
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

// owners returns the owner of each target as its zone knows it.
func (b *bed) owners(zone string) map[string]platform.Ownership {
	l, _, err := platform.ReadLedger(b.t.Context(), b.store, zone)
	if err != nil {
		b.t.Fatal(err)
	}
	return l.Targets
}

// awaitOwned waits until each target of a zone has an owner.
func (b *bed) awaitOwned(zone string, targets ...string) {
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
func (b *bed) ownerOf(zone, target string) *node {
	return b.entries[b.owners(zone)[target].Current.Instance]
}

// violations counts unloads that hit running requests.
func (b *bed) violations() []engine.Evicted {
	var all []engine.Evicted
	for _, e := range b.engines {
		all = append(all, e.Violations()...)
	}
	return all
}
