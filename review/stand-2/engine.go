package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The behaviour of engines.
const (
	heartbeat   = 1200 * time.Millisecond
	adapterLoad = 250 * time.Millisecond
	reportLag   = 100 * time.Millisecond
	baseModel   = "m0"
	// fastReload is the part of adapterLoad that an adapter takes which the engine held.
	fastReload = 10
)

// arrival is a request that reached an engine, as the engine saw it.
type arrival struct {
	at     time.Time
	engine string
	// software is the version of the engine's software.
	software string
	id       string
	path     string
	parts    []string
	// ran is set if the engine began to work on it.
	ran       bool
	status    int
	crashed   bool
	crashedAt time.Time
	resumes   bool
	header    http.Header
}

// engineConfig describes an engine.
type engineConfig struct {
	name, service, zone, address, software string
	// model is set for an engine that runs models.
	model        bool
	slots        int
	adapterSlots int
	loadTime     time.Duration
	work         time.Duration
	prefill, gap time.Duration
	pieces       int
}

// engine is a stand-in of an engine.
type engine struct {
	engineConfig
	stand *stand

	mu       sync.Mutex
	id       string
	born     int64
	seq      uint64
	beats    uint64
	adapters map[string]bool // true once loaded
	held     map[string]bool
	loaded   bool
	busy     bool
	active   int
	up       bool
	conns    map[net.Conn]bool
	server   *http.Server
	lifetime context.Context
	end      context.CancelFunc
	starts   int
	// fault decides on each request that is about to run; it may be nil.
	fault func(a *arrival) verdict
	// rejected is told of requests that are turned away for want of room; it may be nil.
	rejected func(id string)
	// header is added to all answers.
	header map[string]string
	// leaving is set once the engine says in all answers that it leaves.
	leaving bool
}

// verdict is what becomes of a request that runs.
type verdict int

const (
	sound verdict = iota
	crashes
	breaksOff
)

func newEngine(s *stand, c engineConfig) *engine {
	return &engine{engineConfig: c, stand: s, conns: map[net.Conn]bool{}, held: map[string]bool{}}
}

// start starts the engine as a new incarnation. The first start holds its base model.
func (e *engine) start(withModel bool) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d-%04x", e.name, e.starts, rand.IntN(1<<16))
	e.born, e.seq, e.beats, e.active, e.busy = time.Now().UnixMilli(), 0, 0, 0, false
	e.adapters, e.loaded, e.up = map[string]bool{}, withModel, true
	e.lifetime, e.end = context.WithCancel(context.Background())
	life := e.lifetime
	e.server = &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch s {
		case http.StateNew:
			e.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(e.conns, c)
		}
	}}
	server := e.server
	go func() { _ = server.Serve(l) }()
	go e.beat(life)
	return nil
}

// beat writes the entry of the engine to the store.
func (e *engine) beat(life context.Context) {
	for life.Err() == nil {
		e.announce()
		select {
		case <-life.Done():
		case <-time.After(heartbeat):
		}
	}
}

// announce writes the entry now, unless the store is away.
func (e *engine) announce() {
	if e.stand.store.isDown() {
		return
	}
	e.mu.Lock()
	e.beats++
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.software, "slots": e.slots, "state": state,
		"cold_left_ms": 0, "seq": e.beats, "born": e.born,
	}
	if e.model {
		entry["stage"], entry["models"] = "colocated", e.models()
	}
	id := e.id
	e.mu.Unlock()
	e.stand.store.put("servers", id, entry)
}

// models lists what the engine holds. The caller holds the lock.
func (e *engine) models() []map[string]any {
	if !e.loaded {
		return []map[string]any{}
	}
	list := []string{}
	for name, ready := range e.adapters {
		if ready {
			list = append(list, name+"@1")
		}
	}
	slices.Sort(list)
	return []map[string]any{{"name": baseModel, "version": 1, "adapters": list}}
}

// crash ends the engine at once; it is back after a time, and its entry lapses after three
// heartbeats.
func (e *engine) crash(back time.Duration) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	id, conns, server := e.id, e.conns, e.server
	e.conns = map[net.Conn]bool{}
	e.end()
	e.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { e.stand.store.remove("servers", id) })
	if back > 0 {
		time.AfterFunc(back, func() {
			if err := e.start(true); err != nil {
				e.stand.fail("engine %s does not start again: %v", e.name, err)
			}
		})
	}
}

func (e *engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Bamboorail-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP serves requests, orders and reports.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	id, life, leaving := e.id, e.lifetime, e.leaving
	e.mu.Unlock()
	requestID := r.Header.Get("Bamboorail-Request-Id")
	if requestID != "" {
		w.Header().Set("Bamboorail-Request-Id", requestID)
	}
	w.Header().Set("Keep-Alive", "timeout=5")
	for name, value := range e.header {
		w.Header().Set(name, value)
	}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if want := r.Header.Get("Bamboorail-Expect-Instance"); want != "" && want != id {
		w.Header().Set("Bamboorail-Instance-Id", id)
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Bamboorail-Instance-Id", id)
		w.WriteHeader(http.StatusOK)
		return
	case "/bamboorail/report":
		e.report(w)
		return
	case "/bamboorail/order":
		e.order(w, body)
		return
	}
	e.request(w, r, requestID, life)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	pending := []string{}
	for name, ready := range e.adapters {
		if !ready {
			pending = append(pending, baseModel+"/"+name+"@1")
		}
	}
	data, _ := json.Marshal(map[string]any{
		"stage": "colocated", "models": e.models(), "busy": e.busy, "seq": e.seq, "queued": 0, "active": e.active, "kv_used": 1000,
		"kv_total": 129183, "handles": 0, "pending": pending, "born": e.born,
	})
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

type order struct {
	Op           string  `json:"op"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Precondition *uint64 `json:"precondition"`
	Holder       string  `json:"holder"`
	FencingToken uint64  `json:"fencing_token"`
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.FencingToken == 0 || !e.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stand.record("order engine=%s op=%s model=%s adapter=%s holder=%s token=%d", e.name, o.Op, o.Model, o.Adapter, o.Holder, o.FencingToken)
	if e.busy || o.Precondition != nil && *o.Precondition != e.seq {
		w.WriteHeader(http.StatusConflict)
		return
	}
	life := e.lifetime
	switch {
	case o.Op == "load" && o.Adapter == "":
		if e.loaded {
			w.WriteHeader(http.StatusOK)
			return
		}
		e.seq++
		e.busy = true
		time.AfterFunc(e.loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if life.Err() == nil {
				e.loaded, e.busy = true, false
			}
		})
		w.WriteHeader(http.StatusAccepted)
	case o.Op == "load":
		if _, ok := e.adapters[o.Adapter]; ok {
			w.WriteHeader(http.StatusOK)
			return
		}
		e.seq++
		if len(e.adapters) >= e.adapterSlots {
			e.stand.record("overload engine=%s", e.name)
		}
		e.adapters[o.Adapter] = false
		took := adapterLoad
		if e.held[o.Adapter] {
			took /= fastReload
		}
		e.held[o.Adapter] = true
		time.AfterFunc(took, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if _, ok := e.adapters[o.Adapter]; ok && life.Err() == nil {
				e.adapters[o.Adapter] = true
			}
		})
		w.WriteHeader(http.StatusAccepted)
	case o.Op == "unload":
		if _, ok := e.adapters[o.Adapter]; ok {
			e.seq++
			delete(e.adapters, o.Adapter)
		}
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// partsOf returns the ids of the parts of a prompt without the last one.
func partsOf(list string) []string {
	var ids []string
	parts := strings.Split(list, ",")
	for _, p := range parts[:max(len(parts)-1, 0)] {
		id, _, _ := strings.Cut(p, ":")
		ids = append(ids, id)
	}
	return ids
}

func (e *engine) request(w http.ResponseWriter, r *http.Request, id string, life context.Context) {
	a := arrival{at: time.Now(), engine: e.name, software: e.software, id: id, path: r.URL.Path, parts: partsOf(r.Header.Get("Bamboorail-Prompt-Prefix")),
		resumes: r.Header.Get("Last-Event-Id") != "", header: r.Header.Clone()}
	defer func() { e.stand.arrived(a) }()
	if id == "" {
		a.status = http.StatusBadRequest
		e.refuse(w, a.status)
		return
	}
	if a.status = e.admit(r); a.status != 0 {
		if a.status == http.StatusServiceUnavailable && e.rejected != nil {
			e.rejected(id)
		}
		e.refuse(w, a.status)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if life.Err() == nil {
			e.active--
		}
	}()
	a.ran = true
	v := sound
	if e.fault != nil {
		v = e.fault(&a)
	}
	ms, _ := strconv.ParseFloat(r.Header.Get("Bamboorail-Deadline-Ms"), 64)
	if ms <= 0 {
		ms = 30000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	stop := context.AfterFunc(life, cancel)
	defer stop()
	if e.model {
		e.generate(ctx, w, r, &a, v)
	} else {
		e.runPlain(ctx, w, &a, v)
	}
}

// admit returns the status with which the engine turns a request away, or 0.
func (e *engine) admit(r *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model {
		model, adapter, _ := strings.Cut(r.Header.Get("Bamboorail-Model"), "/")
		if model != baseModel || !e.loaded {
			return http.StatusMisdirectedRequest
		}
		if adapter != "" {
			ready, ok := e.adapters[adapter]
			if !ok {
				return http.StatusMisdirectedRequest
			}
			if !ready {
				return http.StatusServiceUnavailable
			}
		}
		if v := r.Header.Get("Bamboorail-Expect-Version"); v != "" && v != "1" {
			return http.StatusMisdirectedRequest
		}
	}
	if e.active >= e.slots {
		return http.StatusServiceUnavailable
	}
	e.active++
	return 0
}

func (e *engine) stamp(w http.ResponseWriter) {
	w.Header().Set("Bamboorail-Server-Stamp", "stamp."+e.name)
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// abort ends the connection of a request without a complete answer.
func abort() { panic(http.ErrAbortHandler) }

// runPlain runs a request of a plain service.
func (e *engine) runPlain(ctx context.Context, w http.ResponseWriter, a *arrival, v verdict) {
	if v == crashes {
		a.crashed, a.crashedAt = true, time.Now()
		e.crash(e.stand.crashTime)
		abort()
	}
	if !pause(ctx, e.work) {
		abort()
	}
	a.status = http.StatusOK
	e.stamp(w)
	body := []byte(e.service + " " + a.id + " " + strings.Repeat("x", 700))
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if v == breaksOff {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abort()
	}
	_, _ = w.Write(body)
}

// generate runs a request of a model engine.
func (e *engine) generate(ctx context.Context, w http.ResponseWriter, r *http.Request, a *arrival, v verdict) {
	if !pause(ctx, e.prefill) {
		abort()
	}
	if v == crashes {
		a.crashed, a.crashedAt = true, time.Now()
		e.crash(e.stand.crashTime)
		abort()
	}
	a.status = http.StatusOK
	first := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		if n, err := strconv.Atoi(text); err == nil {
			first = n
		}
	}
	e.stamp(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Bamboorail-Weight-Versions", "1")
	flush := http.NewResponseController(w)
	pieces := e.pieces
	if text := r.Header.Get("Bamboorail-Token-Usage"); text != "" {
		if _, out, ok := strings.Cut(text, ","); ok {
			if n, err := strconv.Atoi(out); err == nil && n > 0 {
				pieces = n / 2
			}
		}
	}
	for n := first + 1; n <= pieces; n++ {
		end := ""
		if n == pieces {
			end = " end"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d%s\n\n", n, e.software, e.name, n, end); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
		if v == breaksOff && n == first+3 {
			abort()
		}
		if n < pieces && !pause(ctx, e.gap) {
			abort()
		}
	}
}
