package bamboorail

import (
	"context"
	"net/http"
	"time"
)

// Priority orders requests of one queue; a higher class is served first.
type Priority int

// The priority classes.
const (
	// PriorityBatch fills slots that interactive requests leave free.
	PriorityBatch Priority = iota
	// PriorityInteractive is for requests that somebody waits for.
	PriorityInteractive
)

// Request is one request on its way from an entry to the owner of a target.
// It is a message: it is not changed after it was built.
type Request struct {
	// RequestID identifies the request on every hop and in the answer.
	RequestID string
	// IssuedAt is the time of issue that the request id carries. It is zero
	// for an id that the entry generated.
	IssuedAt time.Time
	// Target is the name of the target, Term the ownership term that the
	// entry knew when it chose the target, or 0.
	Target string
	Term   uint64
	// Caller is the name of the caller record, Weight its share.
	Caller   string
	Weight   int
	Priority Priority
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Model is set for requests to engines.
	Model ModelRef
	// Chat selects the chat completions call of the engine.
	Chat bool
	// Tokens is the estimated cost of the request in tokens.
	Tokens int
	// Service, Method, Path and Header are set for calls to applications.
	Service string
	Method  string
	Path    string
	Header  http.Header
	// Zone is the home zone of a request id, which alone may run the request,
	// or empty. Forwarded is set on a request that came from another zone.
	Zone      string
	Forwarded bool
	// Repeatable permits sending a call again after an unclear failure.
	Repeatable bool
	// MaxAttempts bounds the attempts to send the request, 0 if its route does
	// not say.
	MaxAttempts int
	// Body is the body of the request as the caller sent it.
	Body []byte
}

// ResponseHead precedes the body of an answer.
type ResponseHead struct {
	// Status is the HTTP status of an application's answer, 200 for engines.
	Status int
	Header http.Header
	// Target is the name of the target that runs the request.
	Target string
	// QueueWait is the time spent in the owner's queue, LoadWait the part of it
	// during which the adapter was not loaded.
	QueueWait time.Duration
	LoadWait  time.Duration
}

// Sink receives the answer to one request. Begin is called once, before the
// first Write. A chunk is one JSON completion chunk for engines, and a part
// of the body for applications. An error ends the request.
type Sink interface {
	Begin(head ResponseHead) error
	Write(chunk []byte) error
}

// Resetter is implemented by sinks that hold an answer back until it is
// whole. Reset forgets what was written, so that the request can run again.
type Resetter interface {
	Reset()
}

// Dispatcher runs a request on its target and writes the answer to s. It
// returns nil only after the whole answer was written. Its errors carry a
// Failure with the outcome.
type Dispatcher interface {
	Dispatch(ctx context.Context, w *Request, s Sink) error
}

// Permit allows one load through the weight store until it is released.
type Permit interface {
	Release()
}

// PermitRequest asks for a permit to load an adapter.
type PermitRequest struct {
	Target string
	// Session is the session that asks.
	Session string
	Model   ModelRef
	// Urgency orders waiting requests: weighted seconds of waiting callers.
	Urgency float64
}

// PermitIssuer hands out the load permits of one availability zone.
type PermitIssuer interface {
	AcquirePermit(ctx context.Context, r PermitRequest) (Permit, error)
}
