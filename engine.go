package bamboorail

import "context"

// Handle is the name of a loaded adapter version in an engine. It contains the
// ownership term in which it was created, so that an order or request of an
// earlier term never affects an adapter of a later one.
type Handle string

// LoadOrder tells an engine to load an adapter version under a handle.
type LoadOrder struct {
	Handle Handle
	Model  ModelRef
	// Source is the path of the weights in the weight store.
	Source string
	// FencingToken is the ownership term of the sender.
	FencingToken uint64
}

// UnloadOrder tells an engine to unload a handle.
type UnloadOrder struct {
	Handle       Handle
	FencingToken uint64
}

// HandleState is the state of one handle in an engine's report.
type HandleState struct {
	Handle  Handle
	Model   ModelRef
	Running int
}

// EngineReport is the state reported by an engine. It may lag behind the actual
// state.
type EngineReport struct {
	// Incarnation changes when the engine restarts.
	Incarnation string
	// BaseModel is the name of the loaded base model, empty during a cold start.
	BaseModel string
	Slots     int
	MaxBatch  int
	Leaving   bool
	// LastOrder is the most recent barrier that the reported state includes.
	LastOrder string
	Handles   []HandleState
}

// EngineRequest is a request bound to a handle of one engine.
type EngineRequest struct {
	Request *Request
	Handle  Handle
}

// Engine is a client of one model engine. Errors carry a Failure. KindStaleHandle
// and KindStaleFencing are rejections by the engine itself, which prove that the
// request was not run.
type Engine interface {
	// Report queries the state of the engine.
	Report(ctx context.Context) (EngineReport, error)
	// Barrier sends an order without effect. A report with id as LastOrder
	// reflects every order that the engine accepted before the barrier.
	Barrier(ctx context.Context, id string, fencing uint64) error
	Load(ctx context.Context, o LoadOrder) error
	Unload(ctx context.Context, o UnloadOrder) error
	// Run executes a request and writes the completion chunks to s one by one.
	Run(ctx context.Context, r EngineRequest, s Sink) error
}

// Application is a client of an HTTP service that is not a model engine.
type Application interface {
	Call(ctx context.Context, r *Request, s Sink) error
}
