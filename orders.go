package bamboorail

import "context"

// AdapterOrder tells an engine to load or unload an adapter or base model. It
// takes effect only if the engine has the given identity and has accepted exactly
// Orders orders, so that a delayed order has no effect.
type AdapterOrder struct {
	Target  TargetID
	Address string
	Unload  bool
	Key     AdapterKey
	// Version is the version to load, or 0 for the newest.
	Version int
	Orders  uint64
	// Holder is the sending instance. FencingToken increases with each new
	// holder.
	Holder       string
	FencingToken uint64
	// Plan identifies the planned load that the order belongs to, 0 for a base model.
	Plan uint64
}

// OrderResult is the response of an engine to an order.
type OrderResult int

// The results of an order.
const (
	// OrderAccepted means that the engine will execute the order.
	OrderAccepted OrderResult = iota
	// OrderDone means that the engine already is in the requested state.
	OrderDone
	// OrderConflict means that the engine has accepted a different number of
	// orders.
	OrderConflict
	// OrderRejected means that the engine will not execute the order.
	OrderRejected
)

// String returns the result in one word.
func (r OrderResult) String() string {
	switch r {
	case OrderAccepted:
		return "accepted"
	case OrderDone:
		return "done"
	case OrderConflict:
		return "conflict"
	case OrderRejected:
		return "rejected"
	}
	return "unknown"
}

// EngineState is the state reported by an engine.
type EngineState struct {
	Orders uint64
	Busy   bool
	Active int
	Queued int
	// MemoryUsed and MemoryTotal count the tokens in the memory of the engine that it
	// cannot evict, and all that fit; 0 if unknown.
	MemoryUsed, MemoryTotal int
	Models                  map[string]map[string]int
	// Pending lists the adapters with a load in progress.
	Pending []AdapterKey
}

// AdvisedController is implemented by controllers that tell what engines say of
// themselves in their answers to orders and state queries.
type AdvisedController interface {
	// OnAdvisory sets the function that is told. It is called before the first order.
	OnAdvisory(f func(id TargetID, a Advisory))
}

// EngineController is a client of engines that accept orders. An error means
// that the order may have been accepted, or may still be accepted later.
type EngineController interface {
	Order(ctx context.Context, o AdapterOrder) (OrderResult, error)
	State(ctx context.Context, id TargetID, address string) (EngineState, error)
}
