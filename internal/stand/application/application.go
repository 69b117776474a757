// Package application simulates an ordinary HTTP service, some of whose calls
// must not be repeated, for tests and local runs.
package application

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Server is a simulated service that counts the executions of each request ID.
type Server struct {
	name    string
	runTime time.Duration
	mu      sync.Mutex
	runs    map[string]int
}

// New returns a service with the given name; each call takes runTime.
func New(name string, runTime time.Duration) *Server {
	return &Server{name: name, runTime: runTime, runs: map[string]int{}}
}

type response struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request-id"`
	Run       int    `json:"run"`
	Body      string `json:"body"`
}

const maxBodyBytes = 1 << 20

// Handler serves calls on every path except GET /runs, which returns the
// execution counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// Runs returns the number of executions of each request ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.runs[id]++
	run := s.runs[id]
	s.mu.Unlock()
	if s.runTime > 0 {
		time.Sleep(s.runTime)
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response{
		Service: s.name, Method: r.Method, Path: r.URL.RequestURI(), RequestID: id, Run: run, Body: string(body),
	})
}
