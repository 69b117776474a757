package bamboorail

import "context"

// AdapterOrder tells an engine to load or unload an adapter or base model.
// It takes effect only if the engine is still the named one and has accepted
// exactly Orders orders, so that a delayed order does nothing.
type AdapterOrder struct {
	Target  TargetID
	Address string
	Unload  bool
	Key     AdapterKey
	// Version is the version to load, or 0 for the newest.
	Version int
	Orders  uint64
	// Holder is the instance that sends, Fencing grows with each new holder.
	Holder       string
	FencingToken uint64
}

// OrderResult is the answer of an engine to an order.
type OrderResult int

// The results of an order.
const (
	// OrderAccepted means that the engine carries the order out.
	OrderAccepted OrderResult = iota
	// OrderDone means that the engine is in the ordered state already.
	OrderDone
	// OrderConflict means that the engine has accepted other orders.
	OrderConflict
	// OrderRejected means that the engine will not carry the order out.
	OrderRejected
)

// EngineState is the report of an engine on itself.
type EngineState struct {
	Orders uint64
	Busy   bool
	Active int
	Queued int
	Models map[string]map[string]int
	// Pending lists the adapters that are being loaded.
	Pending []AdapterKey
}

// EngineController is a client of engines that take orders. An error means that the
// order may have been accepted, or may be accepted later.
type EngineController interface {
	Order(ctx context.Context, o AdapterOrder) (OrderResult, error)
	State(ctx context.Context, id TargetID, address string) (EngineState, error)
}
