package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const beat = 1200 * time.Millisecond

// engineKind describes the engines of one service.
type engineKind struct {
	service      string
	slots        int
	adapterSlots int // 0: an application without models
	model        string
	loadTime     time.Duration // of the model
	adapterTime  time.Duration
	// first and gap are the times of a stream's events, events their number.
	first, gap time.Duration
	events     int
	// work returns the time and the status of an application's answer.
	work func() (time.Duration, int)
	// queue is the number of calls that wait beyond the slots.
	queue int
}

// engine is one start of an engine.
type engine struct {
	kind     engineKind
	id       string
	zone     string
	software string
	born     int64
	sys      *system
	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]bool
	down     bool
	state    string
	beats    uint64
	seq      uint64
	busy     bool
	loaded   bool
	adapters map[string]int
	pending  map[string]bool
	active   int
	// silentUntil is the time until which the engine neither reads nor writes.
	silentUntil time.Time
	slot        chan struct{}
}

func (y *system) startEngine(k engineKind, id, zone, software string, loaded bool) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{
		kind: k, id: id, zone: zone, software: software, born: time.Now().UnixMilli(), sys: y, listener: l, conns: map[net.Conn]bool{},
		state: "ready", loaded: loaded, adapters: map[string]int{}, pending: map[string]bool{},
	}
	if k.queue > 0 {
		e.slot = make(chan struct{}, k.slots)
	}
	srv := &http.Server{Handler: e}
	go func() { _ = srv.Serve(gatedListener{l, e}) }()
	go e.run()
	y.mu.Lock()
	y.engines[id] = e
	y.mu.Unlock()
	return e
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) run() {
	for {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			return
		}
		e.heartbeat()
		time.Sleep(beat)
	}
}

// heartbeat writes the entry of the engine, unless the store is away.
func (e *engine) heartbeat() {
	e.mu.Lock()
	e.beats++
	spec, _ := json.Marshal(map[string]any{
		"service": e.kind.service, "address": e.address(), "zone": e.zone, "version": e.software, "slots": e.kind.slots, "state": e.state,
		"cold_left_ms": 0, "seq": e.beats, "born": e.born, "stage": "colocated", "models": e.models(),
	})
	id := e.id
	e.mu.Unlock()
	e.sys.store.beat(id, spec)
}

// models lists what the engine holds. The caller holds the lock.
func (e *engine) models() []map[string]any {
	if !e.loaded {
		return []map[string]any{}
	}
	names := []string{}
	for n, v := range e.adapters {
		names = append(names, fmt.Sprintf("%s@%d", n, v))
	}
	return []map[string]any{{"name": e.kind.model, "version": 1, "adapters": names}}
}

// crash ends the engine: its connections are reset, and nothing listens.
func (e *engine) crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	conns := []net.Conn{}
	for c := range e.conns {
		conns = append(conns, c)
	}
	e.mu.Unlock()
	e.listener.Close()
	for _, c := range conns {
		if g, ok := c.(*gatedConn); ok {
			if t, ok := g.Conn.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
		}
		c.Close()
	}
	e.sys.mu.Lock()
	if e.sys.engines[e.id] == e {
		delete(e.sys.engines, e.id)
	}
	e.sys.mu.Unlock()
}

func (e *engine) isDown() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.down }

// setSilent makes the engine silent for a time, unless it was within the last three seconds.
func (e *engine) setSilent(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.silentUntil) < 2*time.Second {
		return false
	}
	e.silentUntil = time.Now().Add(d)
	return true
}

func (e *engine) awaitSound() {
	for {
		e.mu.Lock()
		d := time.Until(e.silentUntil)
		down := e.down
		e.mu.Unlock()
		if d <= 0 || down {
			return
		}
		time.Sleep(d)
	}
}

type gatedListener struct {
	net.Listener
	e *engine
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.e.awaitSound()
	g := &gatedConn{c, l.e}
	l.e.mu.Lock()
	l.e.conns[g] = true
	l.e.mu.Unlock()
	return g, nil
}

// gatedConn reads and writes nothing while its engine is silent.
type gatedConn struct {
	net.Conn
	e *engine
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.e.awaitSound()
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.e.awaitSound()
	return c.Conn.Write(p)
}

func (c *gatedConn) Close() error {
	c.e.mu.Lock()
	delete(c.e.conns, c)
	c.e.mu.Unlock()
	return c.Conn.Close()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bamboorail-Request-Id")
	if id != "" {
		w.Header().Set("Bamboorail-Request-Id", id)
	}
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Bamboorail-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Bamboorail-Instance-Id", e.id)
		w.WriteHeader(421)
		return
	}
	switch r.URL.Path {
	case "/bamboorail/order":
		e.order(w, body)
	case "/bamboorail/report":
		e.report(w)
	case "/healthz":
		w.Header().Set("Bamboorail-Instance-Id", e.id)
	default:
		e.serveCall(w, r, id)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	pending := []string{}
	for n := range e.pending {
		pending = append(pending, e.kind.model+"/"+n+"@1")
	}
	b, _ := json.Marshal(map[string]any{
		"stage": "colocated", "models": e.models(), "busy": e.busy, "seq": e.seq, "queued": 0, "active": e.active, "kv_used": 0, "kv_total": 120000,
		"handles": 0, "pending": pending,
	})
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Op, Model, Adapter, Holder string
		Version                    int
		Precondition               *uint64 `json:"precondition"`
		Token                      uint64  `json:"fencing_token"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" {
		w.WriteHeader(400)
		return
	}
	if e.sys.isLate != nil && e.sys.isLate() {
		e.sys.recordOrder(order{at: time.Now(), engine: e.id, holder: o.Holder, token: o.Token, op: o.Op, adapter: o.Adapter, status: 0})
		go e.sys.carryOutLate(e.id, o.Holder, o.Op, o.Adapter, max(o.Version, 1), o.Precondition)
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	status := e.carryOut(o.Op, o.Adapter, max(o.Version, 1), o.Precondition)
	e.mu.Unlock()
	e.sys.recordOrder(order{at: time.Now(), engine: e.id, holder: o.Holder, token: o.Token, op: o.Op, adapter: o.Adapter, status: status})
	w.WriteHeader(status)
}

func (e *engine) carryOut(op, adapter string, version int, precondition *uint64) int {
	if e.busy || precondition != nil && *precondition != e.seq {
		return 409
	}
	switch {
	case op == "load" && adapter == "":
		if e.loaded {
			return 200
		}
		e.seq++
		e.busy = true
		time.AfterFunc(e.kind.loadTime, func() {
			e.mu.Lock()
			e.busy, e.loaded = false, true
			e.mu.Unlock()
			e.heartbeat()
		})
		return 202
	case op == "load":
		if v, held := e.adapters[adapter]; held && v >= version || e.pending[adapter] {
			return 200
		}
		if len(e.adapters)+len(e.pending) >= e.kind.adapterSlots {
			e.sys.note("engine %s is ordered to load %s at number %d, its %d places are taken by %v and %v", e.id, adapter, e.seq, e.kind.adapterSlots, e.adapters, e.pending)
			e.sys.overfull.Add(1)
			go e.crash()
			return 202
		}
		e.seq++
		e.pending[adapter] = true
		time.AfterFunc(e.kind.adapterTime, func() {
			e.mu.Lock()
			delete(e.pending, adapter)
			e.adapters[adapter] = version
			e.mu.Unlock()
		})
		return 202
	case op == "unload" && adapter != "":
		if _, held := e.adapters[adapter]; !held {
			return 200
		}
		e.seq++
		delete(e.adapters, adapter)
		return 200
	}
	return 409
}

func (e *engine) refuseCall(w http.ResponseWriter) {
	w.Header().Set("Bamboorail-Not-Executed", "1")
	w.WriteHeader(503)
}

func (e *engine) serveCall(w http.ResponseWriter, r *http.Request, id string) {
	if id == "" {
		w.Header().Set("Bamboorail-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	e.mu.Lock()
	full := e.active >= e.kind.slots+e.kind.queue
	_, adapter, _ := strings.Cut(r.Header.Get("Bamboorail-Model"), "/")
	held := e.loaded
	if adapter != "" {
		_, held = e.adapters[adapter]
	}
	if e.kind.adapterSlots > 0 && !held {
		e.mu.Unlock()
		w.WriteHeader(421)
		return
	}
	if full {
		e.mu.Unlock()
		e.refuseCall(w)
		return
	}
	e.active++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	e.sys.recordRun(run{at: time.Now(), id: id, engine: e.id, software: e.software})
	w.Header().Set("Bamboorail-Server-Stamp", "s."+e.id+"."+id)
	if e.kind.adapterSlots == 0 {
		if e.slot != nil {
			select {
			case e.slot <- struct{}{}:
				defer func() { <-e.slot }()
			case <-r.Context().Done():
				return
			}
		}
		d, status := e.kind.work()
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, "answer to %s\n", id)
		return
	}
	e.stream(w, r, id)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Bamboorail-Weight-Versions", "1")
	ctl := http.NewResponseController(w)
	for n := from + 1; n <= e.kind.events; n++ {
		d := e.kind.gap
		if n == from+1 {
			d = e.kind.first
		}
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", n, e.software, e.id); err != nil {
			return
		}
		if ctl.Flush() != nil {
			return
		}
	}
}

func (e *engine) isLoaded() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.loaded }
