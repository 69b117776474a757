package entry

import (
	"context"
	"sync/atomic"

	"bamboorail.example/bamboorail"
)

// flight is a repeatable request at a peer. It can be called back until its
// answer begins.
type flight struct {
	bamboorail.Sink
	cancel context.CancelFunc
	begun  atomic.Bool
}

// Begin marks the flight as begun.
func (f *flight) Begin(h bamboorail.AnswerHead) error {
	f.begun.Store(true)
	return f.Sink.Begin(h)
}

func (r *Router) depart(address string, f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.flights[address] == nil {
		r.flights[address] = map[*flight]struct{}{}
	}
	r.flights[address][f] = struct{}{}
}

func (r *Router) land(address string, f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights[address], f)
	if len(r.flights[address]) == 0 {
		delete(r.flights, address)
	}
}

// PeerSilent calls back the requests at a peer that does not answer any more,
// so that they run elsewhere instead of hanging until their deadline. Answers
// that have begun go on.
func (r *Router) PeerSilent(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.flights[address] {
		if !f.begun.Load() {
			f.cancel()
		}
	}
}
