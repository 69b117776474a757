// Package weightstore simulates the rate-limited weight store for tests and
// local runs.
package weightstore

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Options configure a Server.
type Options struct {
	// LoadTime is how long a load takes when no other load is running.
	LoadTime time.Duration
	// FailEvery makes every n-th load fail; 0 means never.
	FailEvery int
}

// Server is a simulated weight store whose concurrent loads share its bandwidth.
type Server struct {
	options Options
	active  chan int
	loads   chan int
}

// New returns a weight store.
func New(o Options) *Server {
	s := &Server{options: o, active: make(chan int, 1), loads: make(chan int, 1)}
	s.active <- 0
	s.loads <- 0
	return s
}

// Handler serves GET /weights/{adapter}/{version}.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{adapter}/{version}", s.serve)
	return mux
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	n := <-s.loads + 1
	s.loads <- n
	s.active <- <-s.active + 1
	defer func() { s.active <- <-s.active - 1 }()
	if err := s.transfer(r.Context()); err != nil {
		return
	}
	if s.options.FailEvery > 0 && n%s.options.FailEvery == 0 {
		http.Error(w, "injected load failure", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintf(w, "%s@%s", r.PathValue("adapter"), r.PathValue("version"))
}

// transferSteps is the number of parts of a load. The bandwidth is divided among
// the concurrent loads again at the start of each part.
const transferSteps = 20

// transfer waits for the duration of a load. Each part takes longer in
// proportion to the number of concurrent loads.
func (s *Server) transfer(ctx context.Context) error {
	part := s.options.LoadTime / transferSteps
	for range transferSteps {
		active := <-s.active
		s.active <- active
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(part * time.Duration(active)):
		}
	}
	return nil
}
