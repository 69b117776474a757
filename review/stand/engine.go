package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which engines write their entry (setting heartbeat_ms).
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in for an engine, or for an application if it has no model.
type engine struct {
	sys               *system
	id, service, zone string
	software, model   string
	slots             int
	pace              time.Duration // between two events of a stream
	work              time.Duration // of another request, and before the first event
	length            int           // events of a stream
	poison            string        // the part of a prompt that crashes the engine
	down              time.Duration // after a crash

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	beats    int
	gone     bool
	leaving  atomic.Bool
	active   atomic.Int64
	stop     chan struct{}
	adapters *adapterStore
}

// start lets the engine listen and register.
func (e *engine) start() {
	e.stop = make(chan struct{})
	e.listen(listen())
	e.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-e.stop:
				return
			case <-t.C:
				e.beat()
			}
		}
	}()
}

func (e *engine) listen(l net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.address, e.born, e.conns = l, l.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}
	e.serve(l)
}

// serve serves a listener. The caller holds the lock.
func (e *engine) serve(l net.Listener) {
	conns := e.conns
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateClosed {
			delete(conns, c)
		} else {
			conns[c] = true
		}
	}}
	go server.Serve(l)
}

// beat writes the entry of the engine unless it is down or the store is.
func (e *engine) beat() {
	e.mu.Lock()
	if e.gone || e.listener == nil || e.sys.store.isDown() {
		e.mu.Unlock()
		return
	}
	e.beats++
	const state = "ready"
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.software, "slots": e.slots, "state": state,
		"cold_left_ms": 0, "seq": e.beats, "born": e.born,
	}
	if e.model != "" {
		entry["stage"] = "colocated"
		held := []string{}
		if e.adapters != nil {
			held, _ = e.adapters.list()
		}
		entry["models"] = []any{map[string]any{"name": e.model, "version": 1, "adapters": held}}
	}
	e.mu.Unlock()
	e.sys.store.put("servers", e.id, entry)
}

// withdraw leaves as planned, as engines do that never report draining: the entry is removed,
// and the engine serves on for drain_ms and a little longer.
func (e *engine) withdraw(after time.Duration) {
	e.leaving.Store(true)
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.sys.store.remove("servers", e.id)
	e.sys.note("the entry of engine %s (%s) is removed", e.id, e.software)
	time.AfterFunc(after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.closeAll()
		e.sys.note("engine %s (%s) is gone", e.id, e.software)
	})
}

// closeAll resets all connections and closes the listener. The caller holds the lock.
func (e *engine) closeAll() {
	if e.listener != nil {
		e.listener.Close()
		e.listener = nil
	}
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// crash lets the engine be down for a while, with the address and id that it had.
func (e *engine) crash() {
	e.mu.Lock()
	if e.listener == nil {
		e.mu.Unlock()
		return
	}
	e.closeAll()
	address := e.address
	e.mu.Unlock()
	go func() {
		time.Sleep(e.down)
		for {
			l, err := net.Listen("tcp", address)
			if err == nil {
				e.listen(l)
				e.beat()
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bamboorail-Request-Id")
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if e.adapters != nil {
		if n := e.adapters.brittle(); n > 0 {
			w.Header().Set("Server-Brittle", strconv.Itoa(n))
		}
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Bamboorail-Instance-Id", e.id)
		return
	case "/bamboorail/report":
		models, pending := []any{}, []string{}
		seq, running, waiting := uint64(0), int(e.active.Load()), 0
		if e.model != "" {
			held := []string{}
			if e.adapters != nil {
				running, waiting = e.adapters.load()
				held, pending = e.adapters.list()
				seq = e.adapters.orders()
			}
			models = append(models, map[string]any{"name": e.model, "version": 1, "adapters": held})
		}
		answer(w, http.StatusOK, map[string]any{
			"stage": "colocated", "models": models, "pending": pending, "busy": false, "seq": seq, "queued": waiting, "active": running, "kv_used": 0, "kv_total": 129183, "handles": 0,
		})
		return
	case "/bamboorail/order":
		if e.adapters != nil {
			body, _ := io.ReadAll(r.Body)
			w.WriteHeader(e.adapters.order(body))
			return
		}
		// What the engine holds already needs no load.
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Bamboorail-Request-Id", id)
	if expect := r.Header.Get("Bamboorail-Expect-Instance"); expect != "" && expect != e.id {
		w.Header().Set("Bamboorail-Instance-Id", e.id)
		w.Header().Set("Bamboorail-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if n := e.active.Add(1); e.adapters == nil && int(n) > e.slots*5 {
		e.active.Add(-1)
		w.Header().Set("Bamboorail-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.active.Add(-1)
	e.sys.arrival(e, r, id, len(body))
	if e.poison != "" && strings.Contains(r.Header.Get("Bamboorail-Prompt-Prefix"), e.poison+":") {
		time.Sleep(e.work)
		e.sys.note("engine %s crashes on request %s", e.id, id)
		e.crash()
		return
	}
	if e.adapters != nil {
		status, end := e.adapters.run(r, id, adapterOf(r))
		if status != 0 {
			w.Header().Set("Bamboorail-Not-Executed", "1")
			w.Header().Set("Bamboorail-Instance-Id", e.id)
			w.WriteHeader(status)
			return
		}
		defer end()
	}
	w.Header().Set("Bamboorail-Server-Stamp", "stamp-"+e.id)
	if e.model == "" {
		time.Sleep(e.work)
		w.Header().Set("Content-Length", "800")
		w.Write([]byte(strings.Repeat("x", 800)))
		return
	}
	w.Header().Set("Bamboorail-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	time.Sleep(e.work)
	control := http.NewResponseController(w)
	began, length := time.Now(), e.length
	if _, out, _ := strings.Cut(r.Header.Get("Bamboorail-Token-Usage"), ","); out != "2" {
		tokens, _ := strconv.Atoi(out)
		length = tokens / 2 // an event holds two tokens
	}
	for n := first; n <= length; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s token\n\n", n, e.software, e.id); err != nil || control.Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(time.Until(began.Add(time.Duration(n-first+1) * e.pace)))
	}
}
