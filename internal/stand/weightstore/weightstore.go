// Package weightstore is the stand-in for the rate-limited store of weights.
package weightstore

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Options configure the stand-in.
type Options struct {
	// LoadTime is the time of one load that runs alone.
	LoadTime time.Duration
	// FailEvery makes every n-th load fail; 0 means never.
	FailEvery int
}

// Server shares its bandwidth between the loads that run at the same time.
type Server struct {
	options Options
	active  chan int
	count   chan int
}

// New returns a weight store.
func New(o Options) *Server {
	s := &Server{options: o, active: make(chan int, 1), count: make(chan int, 1)}
	s.active <- 0
	s.count <- 0
	return s
}

// Handler serves GET /weights/{adapter}/{version}.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{adapter}/{version}", s.serve)
	return mux
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	n := <-s.count + 1
	s.count <- n
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

// transferSteps is the number of parts in which the bandwidth is shared anew.
const transferSteps = 20

// transfer takes the time of a load: each part takes longer while other loads
// run at the same time.
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
