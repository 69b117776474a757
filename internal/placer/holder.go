// Package placer assigns calls to engines. In each zone, the instance that
// holds the zone's lease decides for all instances and is the only one that
// sends orders to the zone's engines; the other instances query it.
package placer

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/concurrency"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/ratelimit"
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
	// backgroundWorkers is the number of engines that get background orders at the same
	// time. Most orders are answered at once; a few hold their worker up for orderTimeout.
	backgroundWorkers = 4
	// ticketBits is the number of low ticket bits that are numbered within one
	// tenure. The high bits hold a hash of the fencing token, so that a ticket of
	// an earlier tenure ends no placement of the current one.
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
	// Permit returns an error while an engine wants no requests of this instance;
	// nil permits all.
	Permit func(id bamboorail.TargetID) error
	// Rates are the limits of targets; nil limits none.
	Rates ratelimit.Rates
	// Brittle states which targets must not be sent calls that they may have no room for;
	// nil is none.
	Brittle Brittleness
	// Journal keeps unanswered orders for later holders; nil keeps none.
	Journal *OrderJournal
	Metrics *telemetry.Metrics
	Log     hclog.Logger
}

// Holder places the calls of one zone while this instance holds the zone's
// lease.
type Holder struct {
	HolderConfig
	background chan []bamboorail.AdapterOrder
	usage      *usage
	timerReset chan time.Time
	// journalWake receives after an order was not answered.
	journalWake chan struct{}

	mu      sync.Mutex
	planner *adapters.Planner
	leading bool
	// tenureAt is the time of the last change of leading. inherited is set once the unanswered
	// orders of earlier holders are read; no orders are sent before.
	tenureAt      time.Time
	inherited     bool
	lastModelLoad time.Time
	// waiters are the enqueued calls by their numbers in the planner. Their
	// channels are closed when the tenure ends.
	waiters map[uint64]chan adapters.Placement
	// nextGrant is the time at which runGrants runs next if the planner does
	// not change before; timerReset passes it on.
	nextGrant time.Time
	// engineLocks serializes the orders to each engine.
	engineLocks map[bamboorail.TargetID]chan struct{}
	// limits counts and grants the requests to the targets of the zone.
	limits *ratelimit.Table
	// permits are those of the calls at brittle targets of plain services.
	permits *concurrency.Table
	// shared are the permits of the calls at shared targets of plain services, sharedToken
	// is the fencing token of their tenure. The channels of sharedWaiters are closed when it
	// ends.
	shared        *concurrency.Shared
	sharedToken   uint64
	sharedWaiters map[uint64]chan concurrency.SharedGrant
	// partialUntil is the time until which instances may use their shares of the slots of
	// brittle targets without this holder, since its process was paused.
	partialUntil time.Time
}

// NewHolder returns a holder that does not lead.
func NewHolder(c HolderConfig) *Holder {
	if c.Permit == nil {
		c.Permit = func(bamboorail.TargetID) error { return nil }
	}
	if c.Rates == nil {
		c.Rates = advisory.New()
	}
	if c.Brittle == nil {
		c.Brittle = noneBrittle{}
	}
	h := &Holder{
		HolderConfig: c, permits: newPermits(0), shared: newShared(0), sharedWaiters: map[uint64]chan concurrency.SharedGrant{},
		limits: ratelimit.NewTable(tenureRates{c.Rates, c.Lease}), background: make(chan []bamboorail.AdapterOrder, backgroundQueueSize),
		usage: &usage{metrics: c.Metrics.Holder(c.Zone)}, engineLocks: map[bamboorail.TargetID]chan struct{}{},
		waiters: map[uint64]chan adapters.Placement{}, timerReset: make(chan time.Time, 1),
		journalWake: make(chan struct{}, 1),
	}
	h.setPlanner(0)
	return h
}

// setPlanner replaces the planner with one without engines.
func (h *Holder) setPlanner(afterTicket uint64) {
	h.planner = adapters.NewPlanner(h.Tuning, afterTicket)
	h.planner.SetLimits(h.limits)
	h.planner.SetBrittle(h.Brittle.IsBrittle)
	h.inherited, h.tenureAt = h.Journal == nil, time.Now()
	if h.Journal != nil {
		h.planner.RecordOrders()
	}
}

// Run maintains the state of the engines until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	g := task.NewGroup(ctx)
	g.Start("upkeep", h.runUpkeep)
	for n := range backgroundWorkers {
		g.Start(fmt.Sprintf("background-%d", n), h.runBackground)
	}
	g.Start("report", h.runReport)
	g.Start("calls", h.runGrants)
	if h.Journal != nil {
		g.Start("journal", h.runJournal)
	}
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

// firstTicket returns the number before the first ticket of a tenure. Fencing tokens
// have more than 32 bits, with the era of the store in the upper ones.
func firstTicket(fencingToken uint64) uint64 {
	return (xxhash.Sum64(binary.BigEndian.AppendUint64(nil, fencingToken)) >> ticketBits) << ticketBits
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
		h.setPlanner(firstTicket(h.Lease.FencingToken()))
		h.limits.Reset()
		h.permits = newPermits(h.Lease.FencingToken())
		h.beginShared()
		if h.leading = leading; !leading {
			h.endSharedTenure()
		}
		h.wakeJournal()
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
	h.planner.SetMemory(func(service string) int {
		s, _ := table.Service(service)
		return s.MemoryTokens
	})
	h.planner.SetFetchLimit(h.FetchShare())
	h.planner.Expire(now.Add(-placementExpiry), now)
	h.limits.Retain(func(id bamboorail.TargetID) bool {
		known, ok := h.Fleet.Target(id.Name)
		return ok && known.ID == id
	})
	h.permits.Expire(now)
	h.permits.Retain(func(name string) bool {
		_, ok := h.Fleet.Target(name)
		return ok
	})
	h.retainShared(now)
	return h.planner.Unsynced()
}

// sync reads the state of an engine.
func (h *Holder) sync(ctx context.Context, e bamboorail.TargetEntry) {
	unlock, err := h.lockEngine(ctx, e.ID)
	if err != nil {
		return
	}
	defer unlock()
	if h.Permit(e.ID) != nil || h.throttled(e.ID) {
		return
	}
	h.recordRequest(e.ID)
	asked := time.Now()
	state, err := h.Engines.State(ctx, e.ID, e.Address)
	if err != nil {
		h.Log.Debug("failed to read engine state", "zone", h.Zone, "engine", e.ID.Name, "error", err)
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.grantWaiting(now)
	h.planner.Sync(e.ID, state, asked, now)
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
	wait := h.Lease.WaitToAct()
	if wait > 0 {
		r.Loads = adapters.LoadNever
	}
	start := time.Now()
	h.usage.recordRequest()
	p, err := h.awaitPlace(ctx, r)
	h.usage.recordAnswer(err == nil, time.Since(start))
	if wait > 0 && bamboorail.KindOf(err) == bamboorail.KindOverloaded {
		// Nothing is loaded until this holder may act.
		return adapters.Placement{}, failRetry(op, bamboorail.KindOverloaded, max(wait, noCapacityRetry), fmt.Errorf("%w: %w", errMayNotAct, err))
	}
	if err != nil {
		return adapters.Placement{}, err
	}
	h.usage.recordPrompt(promptTokens(r), p.KeptTokens)
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
