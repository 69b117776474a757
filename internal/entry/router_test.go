package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

// fakeEngine runs requests in batches on the fake clock of synctest.
type fakeEngine struct {
	name      string
	tokenTime time.Duration
	loadTime  time.Duration

	mu      sync.Mutex
	loaded  bool
	readyAt time.Time
	running int
	queue   []chan struct{}
	served  int
	refused int
}

const batch = 8

// Dispatch waits for a free position in the batch and runs the request, or
// refuses it if it would start after its deadline.
func (e *fakeEngine) Dispatch(_ context.Context, req *bamboorail.Request, _ bamboorail.Sink) error {
	run := time.Duration(req.Tokens) * e.tokenTime
	e.mu.Lock()
	if e.readyAt.IsZero() {
		e.readyAt = time.Now().Add(e.loadTime)
	}
	wait := max(time.Until(e.readyAt), 0)
	if e.running >= batch {
		wait += run * time.Duration(len(e.queue)+batch) / batch
	}
	if time.Now().Add(wait).After(req.Deadline) {
		e.refused++
		e.mu.Unlock()
		return notRun("admit", bamboorail.KindOverloaded, wait, errors.New("the queue is too long"))
	}
	if e.running >= batch {
		started := make(chan struct{})
		e.queue = append(e.queue, started)
		e.mu.Unlock()
		<-started
		e.mu.Lock()
	} else {
		e.running++
	}
	ready := time.Until(e.readyAt)
	e.mu.Unlock()
	time.Sleep(max(ready, 0) + run)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = true
	e.served++
	if len(e.queue) > 0 {
		close(e.queue[0])
		e.queue = e.queue[1:]
	} else {
		e.running--
	}
	return nil
}

func (e *fakeEngine) state(model string) *wire.TargetState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &wire.TargetState{
		Target: e.name, Term: 1, Slots: 2, MaxBatch: batch, Running: int32(e.running), Queued: int32(len(e.queue)),
		LoadMicros: e.loadTime.Microseconds(), TokenMicros: e.tokenTime.Microseconds(),
	}
	if e.running >= batch {
		s.WaitMicros = (400 * e.tokenTime * time.Duration(len(e.queue)+batch) / batch).Microseconds()
	}
	if !e.readyAt.IsZero() {
		s.Loaded = []*wire.SlotState{{Model: model, Ready: e.loaded, Loading: !e.loaded}}
	}
	return s
}

// fakeRegion is an instance that owns every engine of its region and announces
// their states once a second.
type fakeRegion struct {
	engines map[string]*fakeEngine
	router  *Router
	// announcer ends with the context of the region.
	announcer *task.Task
}

// Dispatcher returns an engine of the region.
func (g *fakeRegion) Dispatcher(target string) (bamboorail.Dispatcher, bool) {
	e, ok := g.engines[target]
	return e, ok
}

type noPeers struct{}

func (noPeers) Dispatch(context.Context, string, *bamboorail.Request, bamboorail.Sink) error {
	return notRun("dispatch", bamboorail.KindUnavailable, time.Second, errors.New("there are no peers"))
}

func newFakeRegion(ctx context.Context, t *testing.T, engines int, tokenTime time.Duration) *fakeRegion {
	t.Helper()
	g := &fakeRegion{engines: map[string]*fakeEngine{}}
	change := platform.Change{ID: "c", Apply: []json.RawMessage{
		json.RawMessage(`{"schema-version":1,"kind":"adapter","name":"hot","base-model":"b","versions":[{"name":"v1"}]}`),
	}}
	for n := range engines {
		name := fmt.Sprintf("e%d", n)
		g.engines[name] = &fakeEngine{name: name, tokenTime: tokenTime, loadTime: time.Second}
		change.Apply = append(change.Apply, json.RawMessage(fmt.Sprintf(
			`{"schema-version":1,"kind":"target","name":%q,"role":"engine","zone":"z","url":"http://x","dialect":"openai","base-model":"b","slots":2,"max-batch":8}`, name)))
	}
	store := memory.NewStore()
	if _, err := platform.NewWriter(store).Commit(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	reader := platform.NewReader(store, func(*platform.View, []error) {})
	if err := reader.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	d := membership.NewDirectory(platform.Session{ID: "s", Instance: "i", Zone: "z", Region: "r"})
	g.router = NewRouter(Config{
		Directory: d, View: reader.Current, Owners: g, Peers: noPeers{}, OnPeerRefused: func(s platform.Session) { d.MarkGone(s.ID) },
		Tracer: noop.NewTracerProvider().Tracer(""),
	})
	announce := func() {
		var states []*wire.TargetState
		for _, e := range g.engines {
			states = append(states, e.state("hot@v1"))
		}
		d.SetOwnTargets(states, time.Now())
	}
	announce()
	g.announcer = task.Start(ctx, "announce", func(ctx context.Context) error {
		return task.Every(ctx, time.Second, func(context.Context) { announce() })
	})
	return g
}

// TestHotAdapterIsSpreadOverEngines reproduces a load seen on the demo system:
// 100 streams of 400 tokens start at the same time for one adapter that is loaded
// on one engine. One engine serves 48 of them within a minute, three engines serve
// all. No stream may be refused while an engine of the region has capacity.
func TestHotAdapterIsSpreadOverEngines(t *testing.T) {
	for name, tokenTime := range map[string]time.Duration{
		"as on the demo system": 25 * time.Millisecond, "long queues": 36 * time.Millisecond, "short queues": 10 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testHotAdapter(t, tokenTime) })
		})
	}
}

func testHotAdapter(t *testing.T, tokenTime time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	g := newFakeRegion(ctx, t, 3, tokenTime)
	defer func() { cancel(); g.announcer.Join() }()
	request := func(n int) *bamboorail.Request {
		return &bamboorail.Request{
			RequestID: fmt.Sprint(n), Model: bamboorail.NewModelRef("hot", "v1"), Tokens: 400, Repeatable: true,
			Weight: 1, Priority: bamboorail.PriorityInteractive, Deadline: time.Now().Add(time.Minute),
		}
	}
	if err := g.router.Dispatch(t.Context(), request(-1), nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // until the loaded adapter is announced
	start := time.Now()
	var group sync.WaitGroup
	for n := range 100 {
		group.Go(func() {
			if err := g.router.Dispatch(t.Context(), request(n), nil); err != nil {
				t.Errorf("stream %d: %v", n, err)
			}
		})
	}
	group.Wait()
	for _, e := range g.engines {
		t.Logf("%s served %d, refused %d", e.name, e.served, e.refused)
	}
	// Three engines need five rounds, after loading the adapter and announcing it.
	const rounds = 5
	if took, limit := time.Since(start), rounds*400*tokenTime+2*time.Second; took > limit {
		t.Errorf("all streams ended after %s, expected at most %s with an even distribution", took, limit)
	}
}
