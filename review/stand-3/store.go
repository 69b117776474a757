package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the metadata store of the platform (page PROTOCOL): objects by kind and name,
// one revision counter, conditional writes, lists and watches.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]*object
	events  []event
	changed chan struct{}
	addr    string
	// beats are the times of the last heartbeats of engines.
	beats map[string]time.Time
}

type object struct {
	name string
	rev  uint64
	spec json.RawMessage
}

type event struct {
	rev     uint64
	kind    string
	deleted bool
	o       object
}

func newStore() *store {
	s := &store{rev: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(s.serve)}).Serve(l) }()
	go s.run()
	return s
}

// run removes the entries of engines that are silent for three heartbeats.
func (s *store) run() {
	for {
		time.Sleep(500 * time.Millisecond)
		s.mu.Lock()
		var silent []string
		for name := range s.objects["servers"] {
			if time.Since(s.beats[name]) > 3*beat {
				silent = append(silent, name)
			}
		}
		s.mu.Unlock()
		for _, name := range silent {
			s.remove("servers", name)
		}
	}
}

// beat writes the entry of an engine.
func (s *store) beat(name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[name] = time.Now()
	s.putLocked("servers", name, spec, -1)
}

func (o object) encode() json.RawMessage {
	spec := o.spec
	if len(spec) == 0 {
		spec = json.RawMessage("null")
	}
	return json.RawMessage(fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":1,"finalizers":[],"deletion_pending":false},"spec":%s,"status":null}`, o.name, o.rev, spec))
}

// put writes an object. With expect < 0 there is no condition, with 0 it must not exist.
func (s *store) put(kind, name string, spec json.RawMessage, expect int64) (object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, spec, expect)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage, expect int64) (object, int) {
	old := s.objects[kind][name]
	switch {
	case old == nil && expect > 0:
		return object{}, 404
	case old != nil && expect >= 0 && old.rev != uint64(expect):
		return *old, 409
	case old != nil && string(old.spec) == string(spec):
		return *old, 200
	}
	s.rev++
	o := object{name, s.rev, spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][name] = &o
	s.notify(event{s.rev, kind, false, o})
	return o, 200
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		s.rev++
		delete(s.objects[kind], name)
		s.notify(event{s.rev, kind, true, object{name, s.rev, o.spec}})
	}
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return object{}, false
	}
	return *o, true
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	status, body := s.handle(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) handle(r *http.Request) (int, []byte) {
	path := strings.TrimPrefix(r.URL.Path, "/bamboorail/objects/")
	kind, name, _ := strings.Cut(path, "/")
	q := r.URL.Query()
	switch {
	case r.Method == "GET" && q.Has("watch"):
		return s.watch(r, kind)
	case r.Method == "GET" && name == "":
		return s.list(kind, q.Get("after"))
	case r.Method == "GET":
		o, ok := s.get(kind, name)
		if !ok {
			return 404, []byte("{}")
		}
		return 200, o.encode()
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 400, []byte("{}")
	}
	var in struct {
		Metadata struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &in); err != nil {
			return 400, []byte("{}")
		}
	}
	expect := int64(-1)
	if in.Metadata.Revision != nil {
		expect = int64(*in.Metadata.Revision)
	}
	if q.Has("revision") {
		expect, _ = strconv.ParseInt(q.Get("revision"), 10, 64)
	}
	if r.Method == "POST" {
		name, expect = in.Metadata.Name, 0
	}
	if r.Method == "DELETE" {
		o, ok := s.get(kind, name)
		switch {
		case !ok:
			return 404, []byte("{}")
		case expect >= 0 && o.rev != uint64(expect):
			return 409, o.encode()
		}
		s.remove(kind, name)
		return 200, o.encode()
	}
	o, status := s.put(kind, name, in.Spec, expect)
	if status == 404 {
		return 404, []byte("{}")
	}
	return status, o.encode()
}

func (s *store) list(kind, after string) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []json.RawMessage{}
	for _, n := range names {
		items = append(items, s.objects[kind][n].encode())
	}
	b, _ := json.Marshal(map[string]any{"items": items, "has_more": more, "at": s.rev})
	return 200, b
}

func (s *store) watch(r *http.Request, kind string) (int, []byte) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		list := []json.RawMessage{}
		for n := len(s.events) - 1; n >= 0 && s.events[n].rev > from; n-- {
			if e := s.events[n]; e.kind == kind {
				list = append([]json.RawMessage{json.RawMessage(fmt.Sprintf(`{"deleted":%t,"object":%s}`, e.deleted, e.o.encode()))}, list...)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(list) > 0 || over {
			b, _ := json.Marshal(map[string]any{"events": list, "at": at})
			return 200, b
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return 200, nil
		}
	}
}
