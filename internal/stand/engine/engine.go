// Package engine simulates a model engine for tests and local runs: continuous
// batching, a limited number of adapter slots, load times and load failures, a
// prefix cache, and streams that can be resumed and canceled. It is served
// through two HTTP dialects.
package engine

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"bamboorail.example/bamboorail"
)

// Options configure an engine.
type Options struct {
	Name      string
	BaseModel string
	Slots     int
	MaxBatch  int
	// Step is the duration of one batch step, which generates one token for
	// each running request.
	Step time.Duration
	// Prefill delays the first token of a prompt whose prefix is not cached.
	Prefill time.Duration
	// ColdStart is how long the base model takes to load after a start.
	ColdStart time.Duration
	// WeightStore is the base URL of the weight store.
	WeightStore string
	// ChecksFencing makes the engine reject orders whose fencing number is
	// lower than the highest one seen.
	ChecksFencing bool
	// StateLag is how far the state reported by the status dialect lags behind.
	StateLag time.Duration
}

// Errors returned for requests that the engine rejects.
var (
	errUnknownHandle = errors.New("unknown handle")
	errStaleFencing  = errors.New("stale fencing number")
	errNoSlot        = errors.New("no free adapter slot")
	errColdStart     = errors.New("base model is loading")
	errUnknownRun    = errors.New("unknown run")
)

const (
	// resumeWindow is how long a run without readers continues, so that a
	// disconnected client can resume its stream.
	resumeWindow   = 2 * time.Second
	prefixBytes    = 64
	prefixCacheMax = 256
)

// adapterSlot holds an adapter that is loaded or being loaded.
type adapterSlot struct {
	weights string // adapter@version, as returned by the weight store
	ready   bool
	running int
}

// run is the execution of one request.
type run struct {
	id             string
	handle         string
	weights        string
	prompt         string
	maxTokens      int
	prefillLeft    time.Duration // remaining time before the first token
	tokens         []string
	changed        chan struct{}
	readers        int
	lastReaderLeft time.Time
	finished       bool
	err            error
}

// UnloadViolation describes a handle that was unloaded while requests were running on it.
type UnloadViolation struct {
	Handle   string    `json:"handle"`
	Running  int       `json:"running"`
	Requests []string  `json:"requests"`
	Fencing  uint64    `json:"fencing"`
	At       time.Time `json:"at"`
}

// Engine holds the state shared by both dialects.
type Engine struct {
	options Options
	client  *http.Client

	mu          sync.Mutex
	incarnation string
	coldUntil   time.Time
	fencing     uint64
	lastOrder   string
	handles     map[string]*adapterSlot
	runs        map[string]*run
	queue       []*run
	batch       []*run
	prefixes    map[string]struct{}
	violations  []UnloadViolation
	leaving     bool
	started     int
	// starts counts runs by request ID; it is kept across restarts.
	starts     map[string]int
	canceled   int
	history    []snapshot
	steps      uint64
	stepTokens uint64
}

// New returns an engine that fetches weights through client.
func New(o Options, client *http.Client) *Engine {
	e := &Engine{options: o, client: client, starts: map[string]int{}}
	e.Restart()
	return e
}

// Restart simulates a crash followed by a start. It discards handles, runs and
// the prefix cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.fail(errors.New("engine restarted"))
	}
	e.incarnation = uuid.NewString()
	e.coldUntil = time.Now().Add(e.options.ColdStart)
	e.handles = map[string]*adapterSlot{}
	e.runs = map[string]*run{}
	e.queue, e.batch = nil, nil
	e.prefixes = map[string]struct{}{}
	e.history = nil
}

// Run executes batch steps until ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	t := time.NewTicker(e.options.Step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			e.step(now)
		}
	}
}

// step admits queued requests to the batch and generates one token for each
// running request.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordSnapshot(now)
	for len(e.queue) > 0 && len(e.batch) < e.options.MaxBatch {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.batch) > 0 {
		e.steps++
	}
	kept := e.batch[:0]
	for _, r := range e.batch {
		e.advance(r, now)
		if r.finished {
			e.releaseHandle(r)
			continue
		}
		kept = append(kept, r)
	}
	clear(e.batch[len(kept):])
	e.batch = kept
}

func (e *Engine) advance(r *run, now time.Time) {
	if r.finished {
		return
	}
	if r.readers == 0 && now.Sub(r.lastReaderLeft) > resumeWindow {
		r.fail(errors.New("no reader reconnected within the resume window"))
		return
	}
	if r.prefillLeft > 0 {
		r.prefillLeft -= e.options.Step
		return
	}
	r.tokens = append(r.tokens, token(r.weights, r.prompt, len(r.tokens)))
	e.stepTokens++
	r.finished = len(r.tokens) >= r.maxTokens
	r.notifyReaders()
}

func (e *Engine) releaseHandle(r *run) {
	if h, ok := e.handles[r.handle]; ok {
		h.running--
	}
}

// token derives a token from the weights, the prompt and the index, so that
// checks can detect a response generated with the wrong weights. The first token
// contains the name of the weights.
func token(weights, prompt string, i int) string {
	if i == 0 {
		return "[" + weights + "]"
	}
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%s/%d", weights, prompt, i)
	return fmt.Sprintf(" t%05x", h.Sum32()&0xfffff)
}

// Text returns the complete response that an engine generates, for comparison in
// checks.
func Text(model, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(model, prompt, i))
	}
	return b.String()
}

func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) fail(err error) {
	r.err = err
	r.finished = true
	r.notifyReaders()
}

// acceptFencing checks and records the fencing number of an order. The caller
// must hold e.mu.
func (e *Engine) acceptFencing(fencing uint64) error {
	if e.options.ChecksFencing && fencing < e.fencing {
		return errStaleFencing
	}
	e.fencing = max(e.fencing, fencing)
	return nil
}

// Barrier records the ID of an order that has no other effect.
func (e *Engine) Barrier(id string, fencing uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptFencing(fencing); err != nil {
		return err
	}
	e.lastOrder = id
	return nil
}

// Load fetches weights from the weight store and makes them available under
// handle.
func (e *Engine) Load(ctx context.Context, handle, source string, fencing uint64) error {
	l, err := e.reserve(handle, fencing)
	if err != nil {
		return err
	}
	weights, err := e.fetch(ctx, source)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handles[handle] != l {
		return errors.New("engine restarted or handle unloaded during the load")
	}
	if err != nil {
		delete(e.handles, handle)
		return err
	}
	l.weights = weights
	l.ready = true
	return nil
}

func (e *Engine) reserve(handle string, fencing uint64) (*adapterSlot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptFencing(fencing); err != nil {
		return nil, err
	}
	if time.Now().Before(e.coldUntil) {
		return nil, errColdStart
	}
	if _, ok := e.handles[handle]; !ok && len(e.handles) >= e.options.Slots {
		return nil, errNoSlot
	}
	l := &adapterSlot{}
	e.handles[handle] = l
	return l, nil
}

func (e *Engine) fetch(ctx context.Context, source string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.options.WeightStore+"/"+source, nil)
	if err != nil {
		return "", err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("fetch weights from weight store: %s", resp.Status)
	}
	return string(data), nil
}

// Unload frees the slot of a handle. A handle with running requests is not
// protected: its runs fail, and the unload is recorded as a violation.
func (e *Engine) Unload(handle string, fencing uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.acceptFencing(fencing); err != nil {
		return err
	}
	l, ok := e.handles[handle]
	if !ok {
		return errUnknownHandle
	}
	delete(e.handles, handle)
	if l.running == 0 {
		return nil
	}
	evicted := UnloadViolation{Handle: handle, Running: l.running, Fencing: fencing, At: time.Now()}
	for _, r := range e.runs {
		if r.handle == handle && !r.finished {
			evicted.Requests = append(evicted.Requests, r.id)
			r.fail(errors.New("adapter unloaded while the run was active"))
		}
	}
	e.violations = append(e.violations, evicted)
	return nil
}

// Violations returns the unloads that interrupted running requests.
func (e *Engine) Violations() []UnloadViolation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]UnloadViolation{}, e.violations...)
}

// Start queues a run, or returns the existing run with the same ID.
func (e *Engine) Start(id, handle, prompt string, tokens int) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.coldUntil) {
		return nil, errColdStart
	}
	l, ok := e.handles[handle]
	if !ok || !l.ready {
		return nil, errUnknownHandle
	}
	if r, ok := e.runs[id]; ok {
		return r, nil
	}
	r := &run{
		id: id, handle: handle, weights: l.weights, prompt: prompt, maxTokens: max(1, tokens),
		prefillLeft: e.prefill(handle, prompt), changed: make(chan struct{}), lastReaderLeft: time.Now(),
	}
	l.running++
	e.started++
	e.starts[id]++
	e.runs[id] = r
	e.queue = append(e.queue, r)
	return r, nil
}

// prefill returns the delay before the first token and caches the prompt prefix.
func (e *Engine) prefill(handle, prompt string) time.Duration {
	key := handle + "/" + prompt[:min(len(prompt), prefixBytes)]
	if _, hit := e.prefixes[key]; hit {
		return 0
	}
	if len(e.prefixes) >= prefixCacheMax {
		clear(e.prefixes)
	}
	e.prefixes[key] = struct{}{}
	return e.options.Prefill
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Started returns the number of runs started.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Starts returns the number of runs started for each request ID.
func (e *Engine) Starts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.starts)
}

// Canceled returns the number of runs that were canceled.
func (e *Engine) Canceled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canceled
}

// Cancel ends a run before it completes.
func (e *Engine) Cancel(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok {
		return errUnknownRun
	}
	if !r.finished {
		e.canceled++
		r.fail(errors.New("canceled"))
	}
	return nil
}

// Follow calls emit for each token of a run, starting at index from, until the
// run ends or ctx is done.
func (e *Engine) Follow(ctx context.Context, id string, from int, emit func(i int, token string, last bool) error) error {
	e.mu.Lock()
	r, ok := e.runs[id]
	if !ok {
		e.mu.Unlock()
		return errUnknownRun
	}
	r.readers++
	e.mu.Unlock()
	defer e.detachReader(r)
	for i := from; ; {
		e.mu.Lock()
		tokens, finished, err, changed := r.tokens, r.finished, r.err, r.changed
		e.mu.Unlock()
		for ; i < len(tokens); i++ {
			if err := emit(i, tokens[i], finished && err == nil && i == len(tokens)-1); err != nil {
				return err
			}
		}
		if finished {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Engine) detachReader(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	r.lastReaderLeft = time.Now()
	if r.finished && r.readers == 0 {
		delete(e.runs, r.id)
	}
}

// snapshot is the state at one time, kept for LaggingState.
type snapshot struct {
	at    time.Time
	state State
}

// State is the status that an engine reports.
type State struct {
	Incarnation string
	BaseModel   string
	LastOrder   string
	Leaving     bool
	Queued      int
	Running     int
	Handles     []bamboorail.HandleState
}

// State returns the current state.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state(time.Now())
}

func (e *Engine) state(now time.Time) State {
	s := State{Incarnation: e.incarnation, LastOrder: e.lastOrder, Leaving: e.leaving, Queued: len(e.queue), Running: len(e.batch)}
	if now.Before(e.coldUntil) {
		return s
	}
	s.BaseModel = e.options.BaseModel
	for name, l := range e.handles {
		if !l.ready {
			continue
		}
		h := bamboorail.HandleState{Handle: bamboorail.Handle(name), Running: l.running}
		h.Model, _ = bamboorail.ParseModelRef(l.weights)
		s.Handles = append(s.Handles, h)
	}
	return s
}

// recordSnapshot adds the current state to the history that LaggingState reads,
// and drops states that are no longer needed.
func (e *Engine) recordSnapshot(now time.Time) {
	if e.options.StateLag == 0 {
		return
	}
	e.history = append(e.history, snapshot{at: now, state: e.state(now)})
	for len(e.history) > 1 && now.Sub(e.history[1].at) >= e.options.StateLag {
		e.history = e.history[1:]
	}
}

// LaggingState returns the state as it was StateLag ago.
func (e *Engine) LaggingState() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.history) == 0 {
		return e.state(time.Now())
	}
	return e.history[0].state
}
