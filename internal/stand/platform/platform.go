// Package platform is the stand-in for the platform's object API: versions,
// conditional updates, watches, counted calls and a lagging instance list.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboorail.example/bamboorail"
)

const (
	maxValueBytes  = 1 << 20
	historyLength  = 4096
	maxWatchWait   = time.Minute
	versionHeader  = "Object-Version"
	readsPerSecond = 2000
)

// Options configure the stand-in.
type Options struct {
	// WritesPerSecond limits writes; further ones are answered with 429.
	WritesPerSecond int
	// InstanceLag delays changes in the list of instances.
	InstanceLag time.Duration
	// Instances is the initial list.
	Instances []bamboorail.Instance
}

// Server is the stand-in. Its state survives neither a restart nor a crash
// of the process, but does survive the restart of its fault API.
type Server struct {
	mu        sync.Mutex
	revision  uint64
	objects   map[string]bamboorail.Object
	history   []bamboorail.Object
	changed   chan struct{}
	instances []bamboorail.Instance
	lag       time.Duration
	writes    window
	reads     window
	calls     *prometheus.CounterVec
}

// window counts calls of the current second.
type window struct {
	second int64
	count  int
	limit  int
}

func (w *window) take(now time.Time) bool {
	if s := now.Unix(); s != w.second {
		w.second, w.count = s, 0
	}
	w.count++
	return w.count <= w.limit
}

// New returns a stand-in that registers its call counts with reg.
func New(o Options, reg prometheus.Registerer) *Server {
	s := &Server{
		objects:   map[string]bamboorail.Object{},
		changed:   make(chan struct{}),
		instances: o.Instances,
		lag:       o.InstanceLag,
		writes:    window{limit: o.WritesPerSecond},
		reads:     window{limit: readsPerSecond},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "platform_calls_total", Help: "Calls of the object API by kind and status.",
		}, []string{"call", "status"}),
	}
	reg.MustRegister(s.calls)
	return s
}

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.counted("get", &s.reads, s.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", s.counted("put", &s.writes, s.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.counted("delete", &s.writes, s.remove))
	mux.HandleFunc("GET /v1/list", s.counted("list", &s.reads, s.list))
	mux.HandleFunc("GET /v1/watch", s.counted("watch", &s.reads, s.watch))
	mux.HandleFunc("GET /v1/instances", s.counted("instances", &s.reads, s.listInstances))
	mux.HandleFunc("PUT /fault-instances", s.setInstances)
	return mux
}

type reply struct {
	status  int
	version uint64
	body    []byte
}

func failed(status int, message string) reply { return reply{status: status, body: []byte(message)} }

func (s *Server) counted(call string, w *window, f func(*http.Request) reply) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		allowed := w.take(time.Now())
		s.mu.Unlock()
		rep := failed(http.StatusTooManyRequests, "too many calls")
		if allowed {
			rep = f(r)
		}
		s.calls.WithLabelValues(call, strconv.Itoa(rep.status)).Inc()
		if rep.version > 0 {
			rw.Header().Set(versionHeader, strconv.FormatUint(rep.version, 10))
		}
		rw.WriteHeader(rep.status)
		_, _ = rw.Write(rep.body)
	}
}

func (s *Server) get(r *http.Request) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[r.PathValue("key")]
	if !ok {
		return failed(http.StatusNotFound, "no such object")
	}
	if r.Header.Get("If-None-Match") == strconv.FormatUint(o.Version, 10) {
		return reply{status: http.StatusNotModified, version: o.Version}
	}
	return reply{status: http.StatusOK, version: o.Version, body: o.Value}
}

func (s *Server) put(r *http.Request) reply {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return failed(http.StatusBadRequest, err.Error())
	}
	if len(value) > maxValueBytes {
		return failed(http.StatusRequestEntityTooLarge, "value over 1 MiB")
	}
	return s.write(r, bamboorail.Object{Key: r.PathValue("key"), Value: value})
}

func (s *Server) remove(r *http.Request) reply {
	return s.write(r, bamboorail.Object{Key: r.PathValue("key"), Deleted: true})
}

func (s *Server) write(r *http.Request, o bamboorail.Object) reply {
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return failed(http.StatusBadRequest, "If-Match must be a version")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.objects[o.Key].Version; current != expect {
		return failed(http.StatusConflict, "current version is "+strconv.FormatUint(current, 10))
	}
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.history = append(s.history, o)
	s.history = s.history[max(0, len(s.history)-historyLength):]
	close(s.changed)
	s.changed = make(chan struct{})
	return reply{status: http.StatusOK, version: o.Version}
}

func (s *Server) list(r *http.Request) reply {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	defer s.mu.Unlock()
	events := bamboorail.Events{Revision: s.revision}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			events.Objects = append(events.Objects, o)
		}
	}
	slices.SortFunc(events.Objects, func(a, b bamboorail.Object) int { return strings.Compare(a.Key, b.Key) })
	return encode(events)
}

func encode(v any) reply {
	body, err := json.Marshal(v)
	if err != nil {
		return failed(http.StatusInternalServerError, err.Error())
	}
	return reply{status: http.StatusOK, body: body}
}

func (s *Server) watch(r *http.Request) reply {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return failed(http.StatusBadRequest, "after must be a revision")
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait > maxWatchWait {
		return failed(http.StatusBadRequest, "wait must be a duration of at most "+maxWatchWait.String())
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		events, changed := s.eventsAfter(after, q["prefix"])
		if len(events.Objects) > 0 || events.Reset {
			return encode(events)
		}
		select {
		case <-changed:
		case <-timeout.C:
			return encode(events)
		case <-r.Context().Done():
			return encode(events)
		}
	}
}

func (s *Server) eventsAfter(after uint64, prefixes []string) (bamboorail.Events, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := bamboorail.Events{Revision: s.revision}
	if after > s.revision || (len(s.history) > 0 && s.history[0].Version > after+1) {
		events.Reset = true
		return events, s.changed
	}
	for _, o := range s.history {
		matches := slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(o.Key, p) })
		if o.Version > after && matches {
			events.Objects = append(events.Objects, o)
		}
	}
	return events, s.changed
}

func (s *Server) listInstances(*http.Request) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return encode(s.instances)
}

// setInstances replaces the list after the configured lag.
func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var list []bamboorail.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.AfterFunc(s.lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.instances = list
	})
}
