// Package placer assigns calls to engines. In each zone, the instance that
// holds the zone's lease decides for all instances and is the only one that
// sends orders to the zone's engines; the other instances query it.
package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// upkeepInterval is the interval between state reads of unsynced engines.
	// Engine reports lag by about a hundred milliseconds.
	upkeepInterval = 250 * time.Millisecond
	// placementExpiry is the age at which placements expire whose instance
	// never reported their end. The longest calls last 25 s.
	placementExpiry = 30 * time.Second
	// backgroundQueueSize is the capacity of the queue of background loads.
	backgroundQueueSize = 64
	// ticketBits is the number of low ticket bits that are numbered within one
	// tenure. The high bits hold the fencing token, so that a ticket of an
	// earlier tenure never ends a placement of the current one.
	ticketBits = 32
	// orderTimeout bounds one order, so that an unresponsive engine delays few
	// calls.
	orderTimeout = 300 * time.Millisecond
)

// HolderConfig configures the holder of a zone.
type HolderConfig struct {
	Zone     string
	Instance string
	Lease    *lease.Lease
	Fleet    *fleet.Fleet
	Table    func() *route.Table
	Engines  bamboorail.EngineController
	Tuning   adapters.Tuning
	// FetchShare returns the zone's fixed share of the fetches that the weight
	// store serves concurrently at full speed, or 0 if the planner learns it.
	FetchShare func() int
	// ModelLoadInterval returns the minimum time between loads of base models.
	ModelLoadInterval func() time.Duration
	Metrics           *telemetry.Metrics
	Log               hclog.Logger
}

// Holder places the calls of one zone while this instance holds the zone's
// lease.
type Holder struct {
	HolderConfig
	background chan []bamboorail.AdapterOrder
	usage      *usage
	timerReset chan time.Time

	mu            sync.Mutex
	planner       *adapters.Planner
	leading       bool
	lastModelLoad time.Time
	// waiters are the enqueued calls by their numbers in the planner. Their
	// channels are closed when the tenure ends.
	waiters map[uint64]chan adapters.Placement
	// nextGrant is the time at which runGrants runs next if the planner does
	// not change before; timerReset passes it on.
	nextGrant time.Time
	// engineLocks serializes the orders to each engine.
	engineLocks map[bamboorail.TargetID]chan struct{}
}

// NewHolder returns a holder that does not lead.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{
		HolderConfig: c, planner: adapters.NewPlanner(c.Tuning, 0), background: make(chan []bamboorail.AdapterOrder, backgroundQueueSize),
		usage: &usage{metrics: c.Metrics.Holder(c.Zone)}, engineLocks: map[bamboorail.TargetID]chan struct{}{},
		waiters: map[uint64]chan adapters.Placement{}, timerReset: make(chan time.Time, 1),
	}
}

// Run maintains the state of the engines until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	g := task.NewGroup(ctx)
	g.Start("upkeep", h.runUpkeep)
	g.Start("background", h.runBackground)
	g.Start("report", h.runReport)
	g.Start("calls", h.runGrants)
	return g.Wait()
}

func (h *Holder) runUpkeep(ctx context.Context) error {
	for {
		h.upkeep(ctx)
		changed := h.Fleet.Changed()
		t := time.NewTimer(upkeepInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		case <-changed:
			t.Stop()
		}
	}
}

func (h *Holder) runBackground(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case orders := <-h.background:
			if err := h.execute(ctx, orders); err != nil {
				h.Log.Info("background load failed", "zone", h.Zone, "engine", orders[0].Target.Name, "error", err)
				continue
			}
			last := orders[len(orders)-1]
			h.Log.Info("adapter ordered in the background", "zone", h.Zone, "engine", last.Target.Name, "model", last.Key.Model,
				"adapter", last.Key.Adapter, "version", last.Version, "orders", len(orders))
		}
	}
}

// upkeep synchronizes the planner with the lease, the fleet and the engines.
func (h *Holder) upkeep(ctx context.Context) {
	table := h.Table()
	leading := h.Lease.Leading()
	h.mu.Lock()
	if leading != h.leading {
		// The engine state of an earlier tenure is outdated.
		h.planner = adapters.NewPlanner(h.Tuning, h.Lease.FencingToken()<<ticketBits)
		h.leading = leading
		for number, w := range h.waiters {
			close(w)
			delete(h.waiters, number)
		}
	}
	h.mu.Unlock()
	if !leading || table == nil {
		return
	}
	unsynced := h.refresh(table)
	for _, e := range unsynced {
		h.sync(ctx, e)
	}
	h.loadModels(ctx, table)
}

// refresh updates the planner from the fleet and returns the unsynced engines.
func (h *Holder) refresh(table *route.Table) []bamboorail.TargetEntry {
	now := time.Now()
	var entries []bamboorail.TargetEntry
	for name, s := range table.Services() {
		if s.Engine {
			entries = append(entries, h.Fleet.Engines(name, h.Zone)...)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	h.planner.SetEngines(entries, func(service string) int {
		s, _ := table.Service(service)
		return s.AdapterSlots
	}, now)
	h.planner.SetFetchLimit(h.FetchShare())
	h.planner.Expire(now.Add(-placementExpiry), now)
	return h.planner.Unsynced()
}

// sync reads the state of an engine.
func (h *Holder) sync(ctx context.Context, e bamboorail.TargetEntry) {
	unlock, err := h.lockEngine(ctx, e.ID)
	if err != nil {
		return
	}
	defer unlock()
	state, err := h.Engines.State(ctx, e.ID, e.Address)
	if err != nil {
		h.Log.Debug("failed to read engine state", "zone", h.Zone, "engine", e.ID.Name, "error", err)
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	h.planner.Sync(e.ID, state, now)
	h.Log.Info("engine state read", "zone", h.Zone, "engine", e.ID.Name, "born", e.ID.StartMillis, "orders", state.Orders,
		"models", len(state.Models), "pending", len(state.Pending))
}

// loadModels loads base models on engines without one, at the rate of the
// weight store.
func (h *Holder) loadModels(ctx context.Context, table *route.Table) {
	now := time.Now()
	if _, acting := h.Lease.Tenure(); !acting {
		return
	}
	h.mu.Lock()
	var orders []bamboorail.AdapterOrder
	if now.Sub(h.lastModelLoad) >= h.ModelLoadInterval() {
		orders = h.planner.ModelLoads(func(service string) []bamboorail.ModelSpec {
			s, _ := table.Service(service)
			return s.Models
		}, 1, now)
	}
	if len(orders) > 0 {
		h.lastModelLoad = now
		h.grantWaiting(now)
	}
	h.mu.Unlock()
	for _, o := range orders {
		err := h.execute(ctx, []bamboorail.AdapterOrder{o})
		h.Log.Info("base model ordered", "zone", h.Zone, "engine", o.Target.Name, "model", o.Key.Model, "error", errorText(err))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Place reserves an engine and orders the load of the adapter if needed. It
// returns after the engine has accepted the load.
func (h *Holder) Place(ctx context.Context, r adapters.Request) (adapters.Placement, error) {
	const op = "place-call"
	if !h.Lease.Leading() {
		return adapters.Placement{}, fail(op, bamboorail.KindNotOwner, errNotHolder)
	}
	if _, acting := h.Lease.Tenure(); !acting {
		r.Loads = adapters.LoadNever
	}
	start := time.Now()
	h.usage.recordRequest()
	p, err := h.awaitPlace(ctx, r)
	h.usage.recordAnswer(err == nil, time.Since(start))
	if err != nil {
		return adapters.Placement{}, err
	}
	if len(p.Background) > 0 {
		h.mu.Lock()
		h.enqueueBackground(p.Background, start)
		h.mu.Unlock()
	}
	if len(p.Orders) == 0 {
		return p, nil
	}
	ordered := time.Now()
	if err := h.execute(context.WithoutCancel(ctx), p.Orders); err != nil {
		h.endPlacement(p.Ticket)
		h.Log.Info("load order not accepted", "zone", h.Zone, "engine", p.Target.ID.Name, "adapter", r.Key.Adapter, "error", err)
		return adapters.Placement{}, err
	}
	p.ReadyAt = p.ReadyAt.Add(time.Since(ordered))
	h.Log.Info("adapter ordered", "zone", h.Zone, "engine", p.Target.ID.Name, "model", r.Key.Model, "adapter", r.Key.Adapter,
		"version", r.Version, "ready-in-ms", time.Until(p.ReadyAt).Milliseconds(), "orders", len(p.Orders))
	return p, nil
}

// lockEngine serializes the orders to one engine and the reads of its state, so
// that the number of accepted orders is known when the next order is sent.
func (h *Holder) lockEngine(ctx context.Context, id bamboorail.TargetID) (func(), error) {
	h.mu.Lock()
	lock := h.engineLocks[id]
	if lock == nil {
		lock = make(chan struct{}, 1)
		h.engineLocks[id] = lock
	}
	h.mu.Unlock()
	select {
	case lock <- struct{}{}:
		return func() { <-lock }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// execute sends orders to one engine sequentially.
func (h *Holder) execute(ctx context.Context, orders []bamboorail.AdapterOrder) error {
	unlock, err := h.lockEngine(ctx, orders[0].Target)
	if err != nil {
		h.revertOrders(orders, err)
		return fail("send-orders", bamboorail.KindUnavailable, err)
	}
	defer unlock()
	for i, o := range orders {
		if err := h.send(ctx, o); err != nil {
			h.revertOrders(orders[i:], err)
			return err
		}
	}
	return nil
}

// revertOrders undoes the planner's assumptions about orders that failed.
func (h *Holder) revertOrders(orders []bamboorail.AdapterOrder, err error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	h.revertOrdersLocked(orders, err, now)
}

// enqueueBackground queues orders that no call waits for. The caller holds the
// lock.
func (h *Holder) enqueueBackground(orders []bamboorail.AdapterOrder, now time.Time) {
	select {
	case h.background <- orders:
	default:
		h.revertOrdersLocked(orders, errEngineUnsynced, now)
	}
}

// revertOrdersLocked implements revertOrders. The caller holds the lock.
func (h *Holder) revertOrdersLocked(orders []bamboorail.AdapterOrder, err error, now time.Time) {
	for _, o := range orders {
		if !o.Unload && o.Key.Adapter == "" {
			h.planner.ModelLoadFailed(o.Target, o.Key.Model)
		} else if !o.Unload {
			h.planner.LoadFailed(o.Target, o.Key)
		}
	}
	if !errors.Is(err, errAdapterInUse) {
		// The engine may have accepted an order, or may still hold the adapter
		// that was to be evicted.
		h.planner.Desync(orders[0].Target, now)
	}
}

// maxOrderAttempts bounds the attempts to send an order, each based on a newer
// engine state.
const maxOrderAttempts = 2

// send sends one order. On a conflict it reads the engine's state and decides
// again.
func (h *Holder) send(ctx context.Context, o bamboorail.AdapterOrder) error {
	const op = "send-order"
	for attempt := range maxOrderAttempts {
		if attempt > 0 && o.Unload {
			if done, err := h.reevaluateUnload(o); done {
				return err
			}
		}
		h.mu.Lock()
		number, known := h.planner.OrderNumber(o.Target)
		hasSlot := o.Unload || h.planner.HasFreeSlot(o.Target, o.Key)
		h.mu.Unlock()
		switch {
		case !known:
			return fail(op, bamboorail.KindUnavailable, errEngineUnsynced)
		case !hasSlot:
			return fail(op, bamboorail.KindOverloaded, errNoCapacity)
		}
		fencingToken, acting := h.Lease.Tenure()
		if !acting {
			return fail(op, bamboorail.KindNotOwner, errMayNotAct)
		}
		o.Orders, o.Holder, o.FencingToken = number, h.Instance, fencingToken
		sendCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		sent := time.Now()
		result, err := h.Engines.Order(sendCtx, o)
		cancel()
		h.usage.recordOrder(time.Since(sent))
		if err != nil {
			h.Log.Warn("order not answered", "zone", h.Zone, "engine", o.Target.Name, "unload", o.Unload,
				"adapter", o.Key.Adapter, "number", number, "fencing", fencingToken, "error", err)
			return err
		}
		done, err := h.recordOrderResult(o, result)
		if done {
			return err
		}
		h.Log.Info("order conflicts with engine state", "zone", h.Zone, "engine", o.Target.Name, "adapter", o.Key.Adapter, "number", number)
		state, err := h.Engines.State(ctx, o.Target, o.Address)
		if err != nil {
			return err
		}
		now := time.Now()
		h.mu.Lock()
		h.planner.Desync(o.Target, now)
		h.planner.Sync(o.Target, state, now)
		h.grantWaiting(now)
		h.mu.Unlock()
	}
	return fail(op, bamboorail.KindUnavailable, errEngineUnsynced)
}

// reevaluateUnload checks an unload against the engine state that was read
// after a conflict. It reports true if the order must not be sent.
func (h *Holder) reevaluateUnload(o bamboorail.AdapterOrder) (bool, error) {
	h.mu.Lock()
	held, idle := h.planner.Evict(o.Target, o.Key)
	h.mu.Unlock()
	switch {
	case !held:
		h.Log.Info("unload no longer needed", "zone", h.Zone, "engine", o.Target.Name, "adapter", o.Key.Adapter)
		return true, nil
	case !idle:
		return true, fail("send-order", bamboorail.KindOverloaded, errAdapterInUse)
	}
	return false, nil
}

// recordOrderResult applies the result of an order to the planner. It reports
// false if the order must be decided again.
func (h *Holder) recordOrderResult(o bamboorail.AdapterOrder, result bamboorail.OrderResult) (bool, error) {
	const op = "send-order"
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	switch result {
	case bamboorail.OrderAccepted:
		h.planner.RecordOrder(o, now)
		if o.Unload {
			h.planner.RecordUnloading(o.Target, o.Key, now)
			return true, fail(op, bamboorail.KindOverloaded, errAdapterInUse)
		}
		return true, nil
	case bamboorail.OrderDone:
		if o.Unload {
			h.planner.RecordOrder(o, now)
		} else {
			h.planner.RecordLoaded(o.Target, o.Key, now)
		}
		return true, nil
	case bamboorail.OrderConflict:
		return false, nil
	case bamboorail.OrderRejected:
	}
	return true, fail(op, bamboorail.KindConflict, errOrderRejected)
}

// EndedPlacement is the end of a placement.
type EndedPlacement struct {
	Ticket uint64
	Result balance.Result
}

// Settle records the ends of placements.
func (h *Holder) Settle(list []EndedPlacement) {
	h.usage.recordEnded(len(list))
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	for _, e := range list {
		if e.Result == balance.Answered {
			h.planner.RecordAnswer(e.Ticket, now)
		}
		c, ok := h.planner.End(e.Ticket)
		if !ok {
			continue
		}
		switch e.Result {
		case balance.Answered:
			h.planner.RecordLoaded(c.Target, c.Key, now)
		case balance.Refused:
			h.planner.RecordRefusal(c, now)
		case balance.Misdirected:
			h.planner.RecordMissing(c, now)
		case balance.Unreachable:
			h.planner.MarkSuspect(c.Target.Name, now)
		case balance.Failed, balance.Abandoned:
		}
	}
}
