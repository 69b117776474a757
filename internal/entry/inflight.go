package entry

import (
	"context"
	"sync/atomic"

	"bamboorail.example/bamboorail"
)

// progressSink records whether the response has begun.
type progressSink struct {
	bamboorail.Sink
	begun atomic.Bool
}

// Begin records that the response has begun and forwards its head.
func (o *progressSink) Begin(h bamboorail.ResponseHead) error {
	o.begun.Store(true)
	return o.Sink.Begin(h)
}

// delivered reports whether a part of the response may have left the sink.
func (o *progressSink) delivered() bool {
	_, buffered := o.Sink.(bamboorail.Resetter)
	return o.begun.Load() && !buffered
}

// reset discards a response of which nothing was delivered.
func (o *progressSink) reset() {
	o.begun.Store(false)
	if r, ok := o.Sink.(bamboorail.Resetter); ok {
		r.Reset()
	}
}

// inFlightRequest is a repeatable request that was dispatched to a peer. It can
// be canceled until a part of its response was delivered.
type inFlightRequest struct {
	sink   *progressSink
	cancel context.CancelFunc
}

func (r *Router) trackInFlight(address string, f *inFlightRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[address] == nil {
		r.inFlight[address] = map[*inFlightRequest]struct{}{}
	}
	r.inFlight[address][f] = struct{}{}
}

func (r *Router) untrackInFlight(address string, f *inFlightRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight[address], f)
	if len(r.inFlight[address]) == 0 {
		delete(r.inFlight, address)
	}
}

// CancelInFlight cancels the repeatable requests at a peer that no longer
// answers, so that they are retried elsewhere instead of hanging until their
// deadline. Requests with a partly delivered response continue.
func (r *Router) CancelInFlight(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.inFlight[address] {
		if !f.sink.delivered() {
			f.cancel()
		}
	}
}
