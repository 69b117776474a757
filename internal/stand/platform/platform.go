// Package platform simulates the platform's object API for tests and local runs:
// versions, conditional updates, watches, rate limits, call counts and an
// instance list that can lag.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

const (
	maxValueBytes  = 1 << 20
	maxWatchWait   = time.Minute
	versionHeader  = "Object-Version"
	readsPerSecond = 2000
)

// Options configure a Server.
type Options struct {
	// WritesPerSecond limits writes; writes over the limit get status 429.
	WritesPerSecond int
	// InstanceLag delays changes to the list of instances.
	InstanceLag time.Duration
	// Instances is the initial list of instances.
	Instances []bamboorail.Instance
}

// Server is a simulated platform. It keeps its state in memory only.
type Server struct {
	store *memory.Store
	lag   time.Duration
	calls *prometheus.CounterVec

	mu     sync.Mutex
	writes rateLimit
	reads  rateLimit
}

// rateLimit limits the number of calls in each second of the clock.
type rateLimit struct {
	second int64
	count  int
	limit  int
}

func (w *rateLimit) allow(now time.Time) bool {
	if s := now.Unix(); s != w.second {
		w.second, w.count = s, 0
	}
	w.count++
	return w.count <= w.limit
}

// New returns a server that registers its call counter with reg.
func New(o Options, reg prometheus.Registerer) *Server {
	s := &Server{
		store:  memory.NewStore(),
		lag:    o.InstanceLag,
		writes: rateLimit{limit: o.WritesPerSecond},
		reads:  rateLimit{limit: readsPerSecond},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "platform_calls_total", Help: "Calls of the object API by kind and status.",
		}, []string{"call", "status"}),
	}
	s.store.SetInstances(o.Instances)
	reg.MustRegister(s.calls)
	return s
}

// Handler serves the object API and PUT /fault-instances, which replaces the
// list of instances.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.limited("get", &s.reads, s.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", s.limited("put", &s.writes, s.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.limited("delete", &s.writes, s.deleteObject))
	mux.HandleFunc("GET /v1/list", s.limited("list", &s.reads, s.list))
	mux.HandleFunc("GET /v1/watch", s.limited("watch", &s.reads, s.watch))
	mux.HandleFunc("GET /v1/instances", s.limited("instances", &s.reads, s.listInstances))
	mux.HandleFunc("PUT /fault-instances", s.setInstances)
	return mux
}

type reply struct {
	status  int
	version bamboorail.StoreVersion
	body    []byte
}

func errorReply(status int, message string) reply {
	return reply{status: status, body: []byte(message)}
}

func storeErrorReply(err error) reply {
	statuses := map[bamboorail.Kind]int{
		bamboorail.KindNotFound: http.StatusNotFound, bamboorail.KindConflict: http.StatusConflict,
	}
	if status, ok := statuses[bamboorail.KindOf(err)]; ok {
		return errorReply(status, err.Error())
	}
	return errorReply(http.StatusServiceUnavailable, err.Error())
}

func jsonReply(v any, err error) reply {
	if err != nil {
		return storeErrorReply(err)
	}
	body, err := json.Marshal(v)
	if err != nil {
		return errorReply(http.StatusInternalServerError, err.Error())
	}
	return reply{status: http.StatusOK, body: body}
}

func (s *Server) limited(call string, w *rateLimit, f func(*http.Request) reply) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		allowed := w.allow(time.Now())
		s.mu.Unlock()
		rep := errorReply(http.StatusTooManyRequests, "rate limit exceeded")
		if allowed {
			rep = f(r)
		}
		s.calls.WithLabelValues(call, strconv.Itoa(rep.status)).Inc()
		if rep.version > 0 {
			rw.Header().Set(versionHeader, strconv.FormatUint(uint64(rep.version), 10))
		}
		rw.WriteHeader(rep.status)
		_, _ = rw.Write(rep.body)
	}
}

func (s *Server) get(r *http.Request) reply {
	o, err := s.store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		return storeErrorReply(err)
	}
	if r.Header.Get("If-None-Match") == strconv.FormatUint(uint64(o.Version), 10) {
		return reply{status: http.StatusNotModified, version: o.Version}
	}
	return reply{status: http.StatusOK, version: o.Version, body: o.Value}
}

func (s *Server) put(r *http.Request) reply {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return errorReply(http.StatusBadRequest, err.Error())
	}
	if len(value) > maxValueBytes {
		return errorReply(http.StatusRequestEntityTooLarge, "value exceeds 1 MiB")
	}
	expect, err := expectedVersion(r)
	if err != nil {
		return errorReply(http.StatusBadRequest, err.Error())
	}
	version, err := s.store.Put(r.Context(), r.PathValue("key"), value, expect)
	if err != nil {
		return storeErrorReply(err)
	}
	return reply{status: http.StatusOK, version: version}
}

func (s *Server) deleteObject(r *http.Request) reply {
	expect, err := expectedVersion(r)
	if err != nil {
		return errorReply(http.StatusBadRequest, err.Error())
	}
	if err := s.store.Delete(r.Context(), r.PathValue("key"), expect); err != nil {
		return storeErrorReply(err)
	}
	return reply{status: http.StatusOK}
}

func expectedVersion(r *http.Request) (bamboorail.StoreVersion, error) {
	v, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	return bamboorail.StoreVersion(v), err
}

func (s *Server) list(r *http.Request) reply {
	objects, revision, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	return jsonReply(bamboorail.Events{Revision: revision, Objects: objects}, err)
}

func (s *Server) watch(r *http.Request) reply {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return errorReply(http.StatusBadRequest, "after must be a revision number")
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait > maxWatchWait {
		return errorReply(http.StatusBadRequest, "wait must be a duration of at most "+maxWatchWait.String())
	}
	return jsonReply(s.store.Watch(r.Context(), q["prefix"], bamboorail.StoreVersion(after), wait))
}

func (s *Server) listInstances(r *http.Request) reply {
	return jsonReply(s.store.Instances(r.Context()))
}

// setInstances replaces the list of instances after the configured lag.
func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var list []bamboorail.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.AfterFunc(s.lag, func() { s.store.SetInstances(list) })
}
