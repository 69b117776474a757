package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the metadata of an object of the store.
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
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
	at       time.Time
}

// history is the time for which the store keeps its changes (history_s).
const history = 20 * time.Second

// pageSize is the number of items of a list in one answer.
const pageSize = 500

// store is a stand-in of the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	// floor is the revision up to which the history is gone.
	floor   uint64
	changed chan struct{}
	// era is told in all answers.
	era uint64
	// down is set while the store resets all connections.
	down bool
}

func newStore() *store {
	return &store{revision: 100, floor: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// record adds a change to the history. The caller holds the lock.
func (s *store) record(kind string, o object, deleted bool) {
	now := time.Now()
	s.events = append(s.events, event{Object: o, Deleted: deleted, kind: kind, revision: s.revision, at: now})
	for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
		s.floor = s.events[0].revision
		s.events = s.events[1:]
	}
	s.notify()
}

// put writes an object as its own writer: the operator or an engine.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, _ := s.write(kind, name, data, nil)
	return o.Metadata.Revision
}

// write sets the spec of an object. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage, finalizers []string) (object, bool) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, known := s.objects[kind][name]
	if known && string(o.Spec) == string(spec) {
		return o, false
	}
	s.revision++
	if !known {
		o.Metadata = meta{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	if finalizers != nil {
		o.Metadata.Finalizers = finalizers
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.record(kind, o, false)
	return o, true
}

// remove deletes an object as its own writer.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.revision++
		s.record(kind, o, true)
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// storeCopy is a copy of the store.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]object
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, objects: map[string]map[string]object{}}
	for kind, list := range s.objects {
		c.objects[kind] = map[string]object{}
		for name, o := range list {
			c.objects[kind][name] = o
		}
	}
	return c
}

// restore brings the store back from a copy. What is written by the operator and the engines
// (kinds in keep) is written again.
func (s *store) restore(c storeCopy, keep []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.objects
	s.objects, s.revision, s.floor, s.events = c.objects, c.revision, c.revision, nil
	s.era++
	for _, kind := range keep {
		for name := range s.objects[kind] {
			if _, ok := latest[kind][name]; !ok {
				o := s.objects[kind][name]
				delete(s.objects[kind], name)
				s.revision++
				s.record(kind, o, true)
			}
		}
		for name, o := range latest[kind] {
			s.write(kind, name, o.Spec, nil)
		}
	}
	s.notify()
}

func reset(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, v any) {
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	if down {
		reset(w)
		return
	}
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		reset(w)
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/bamboorail/objects/")
	if !ok {
		s.answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	parts := strings.Split(path, "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Get("watch") != "":
		s.watch(w, r, parts[0], q)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], q.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if !ok {
			s.answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		s.answer(w, http.StatusOK, o)
	default:
		s.change(w, r, parts, body, q)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string, body []byte, q url.Values) {
	var o object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &o); err != nil {
			s.answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	name := o.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	expected := o.Metadata.Revision
	if text := q.Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	known, exists := s.objects[parts[0]][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && expected != 0 && expected != known.Metadata.Revision:
		s.mu.Unlock()
		s.answer(w, http.StatusConflict, known)
	case r.Method != http.MethodPost && !exists:
		s.mu.Unlock()
		s.answer(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		delete(s.objects[parts[0]], name)
		s.revision++
		s.record(parts[0], known, true)
		s.mu.Unlock()
		s.answer(w, http.StatusOK, known)
	default:
		written, _ := s.write(parts[0], name, o.Spec, o.Metadata.Finalizers)
		s.mu.Unlock()
		s.answer(w, http.StatusOK, written)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	items := []object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, q url.Values) {
	from, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	s.mu.Lock()
	era := s.era
	for {
		if s.down || s.era != era {
			s.mu.Unlock()
			reset(w)
			return
		}
		if from < s.floor || from > s.revision {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		list := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				list = append(list, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": list, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			s.answer(w, http.StatusOK, map[string]any{"events": list, "at": at})
			return
		}
		s.mu.Lock()
	}
}

// serve serves a handler at an address until the stand ends.
func serve(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return server, nil
}
