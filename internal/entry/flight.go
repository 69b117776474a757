package entry

import (
	"context"
	"sync/atomic"

	"bamboorail.example/bamboorail"
)

// onceSink remembers whether the answer has begun.
type onceSink struct {
	bamboorail.Sink
	begun atomic.Bool
}

// Begin marks the answer as begun.
func (o *onceSink) Begin(h bamboorail.ResponseHead) error {
	o.begun.Store(true)
	return o.Sink.Begin(h)
}

// delivered reports whether a part of the answer may have left the sink.
func (o *onceSink) delivered() bool {
	_, held := o.Sink.(bamboorail.Resetter)
	return o.begun.Load() && !held
}

// reset forgets an answer that was not delivered.
func (o *onceSink) reset() {
	o.begun.Store(false)
	if r, ok := o.Sink.(bamboorail.Resetter); ok {
		r.Reset()
	}
}

// flight is a repeatable request at a peer. It can be called back until a part
// of its answer was delivered.
type flight struct {
	sink   *onceSink
	cancel context.CancelFunc
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
// of which a part was delivered go on.
func (r *Router) PeerSilent(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.flights[address] {
		if !f.sink.delivered() {
			f.cancel()
		}
	}
}
