package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time of an answer of the store (page SYSTEM: 4 ms).
const storeLatency = 4 * time.Millisecond

type meta struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision uint64
}

// store is a stand-in for the platform's metadata store (page PROTOCOL). It serves any
// number of addresses; down makes all of them silent for callers other than the stand-ins.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
	down     bool
	// view rewrites an object for the callers of one address.
	conns map[net.Conn]bool
}

func newStore() *store {
	return &store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// setDown makes the store silent: calls get no answer.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	if !down {
		// The connections of calls that got no answer return nothing further.
		for c := range s.conns {
			c.Close()
		}
	}
	s.mu.Unlock()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put writes an object for an operator or an engine.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw, nil)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// write stores an object. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage, finalizers []string) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o, known := s.kinds[kind][name]
	if known && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !known {
		o = object{Metadata: meta{Name: name, Created: s.revision}, Status: json.RawMessage("null")}
	}
	if finalizers == nil {
		finalizers = []string{}
	}
	o.Metadata.Finalizers, o.Metadata.Revision, o.Spec = finalizers, s.revision, spec
	s.kinds[kind][name] = o
	s.record(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) drop(kind, name string) {
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.record(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

type view func(kind string, o object) object

// serve serves the store at a new address, with objects as a view shows them.
func (s *store) serve(v view) string {
	l := listen()
	server := &http.Server{Handler: s.handler(v), ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed {
			delete(s.conns, c)
		} else {
			s.conns[c] = true
		}
	}}
	go server.Serve(l)
	return l.Addr().String()
}

func (s *store) handler(v view) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for s.isDown() {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
		time.Sleep(storeLatency)
		rest, ok := strings.CutPrefix(r.URL.Path, "/bamboorail/objects/")
		if !ok {
			http.Error(w, "no such call", http.StatusNotFound)
			return
		}
		kind, name, _ := strings.Cut(rest, "/")
		w.Header().Set("Content-Type", "application/json")
		switch {
		case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
			s.watch(w, r, kind, v)
		case r.Method == http.MethodGet && name == "":
			s.list(w, r, kind, v)
		case r.Method == http.MethodGet:
			s.get(w, kind, name, v)
		default:
			s.change(w, r, kind, name, body)
		}
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	w.Write(raw)
}

func (s *store) get(w http.ResponseWriter, kind, name string, v view) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	answer(w, http.StatusOK, v(kind, o))
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string, v view) {
	const page = 500
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	names := []string{}
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > page
	items := []object{}
	for _, name := range names[:min(len(names), page)] {
		items = append(items, v(kind, s.kinds[kind][name]))
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, v view) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": "bad revision"})
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				e.Object = v(kind, e.Object)
				events = append(events, e)
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			<-r.Context().Done()
			return
		}
		left := time.Until(deadline)
		if len(events) > 0 || left <= 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-time.After(min(left, 50*time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var in object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	expect := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expect, _ = strconv.ParseUint(q, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	o, known := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && known, r.Method != http.MethodPost && known && expect != 0 && expect != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		answer(w, http.StatusOK, s.write(kind, name, in.Spec, in.Metadata.Finalizers))
	case !known:
		answer(w, http.StatusNotFound, map[string]string{"error": "no such object"})
	case r.Method == http.MethodPut:
		answer(w, http.StatusOK, s.write(kind, name, in.Spec, in.Metadata.Finalizers))
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		answer(w, http.StatusOK, o)
	default:
		answer(w, http.StatusMethodNotAllowed, map[string]string{"error": "no such call"})
	}
}

// loopback returns a loopback address of this run. Connections go out from 127.0.0.1, so that
// they never take a port there.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n)
}

func listen() net.Listener {
	l, err := net.Listen("tcp", loopback(200)+":0")
	if err != nil {
		unable("listen: %v", err)
	}
	return l
}
