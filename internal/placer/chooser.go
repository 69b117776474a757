package placer

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/relay"
)

const (
	// placeTimeout bounds the question to a holder, which waits for a place for
	// maxPlaceWait and for an order for orderTimeout.
	placeTimeout = 750 * time.Millisecond
	// settleTimeout bounds a report of ended placements.
	settleTimeout = 300 * time.Millisecond
	// startMargin is left for the way to the engine.
	startMargin = 50 * time.Millisecond
	// firstPause is the time for which a holder that did not answer is left out;
	// it doubles with each failure up to lastPause.
	firstPause = 700 * time.Millisecond
	lastPause  = 3 * time.Second
	// settleInterval is the time between reports of ended placements.
	settleInterval = 200 * time.Millisecond
	// maxUnsettled bounds the ends kept for a holder that does not answer; it
	// forgets placements by itself.
	maxUnsettled = 4096
	// oldVersionUse is the time after its replacement in which a version still
	// serves if no holder answers; the bound version_ms is 5 s.
	oldVersionUse = 1500 * time.Millisecond
	noEngineRetry = time.Second
	// leastPause is the least time between two rounds of questions about a call.
	leastPause = 25 * time.Millisecond
	// releasesWait is the time for which a call waits for the first list of
	// releases, enough for a list that was turned away twice (0.1 and 0.2 s).
	releasesWait = 500 * time.Millisecond
)

// Peers asks other instances for places.
type Peers interface {
	Place(ctx context.Context, address string, r *wire.PlaceRequest) (*wire.PlaceReply, error)
	Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error)
}

// ZoneHolder is how the holder of one zone is found.
type ZoneHolder struct {
	Zone string
	// Local is this instance's own holder of the zone.
	Local *Holder
	Lease *lease.Lease
}

// ChooserConfig configures a chooser.
type ChooserConfig struct {
	Instance string
	// Zones lists the own zone first, then the others by distance.
	Zones    []ZoneHolder
	Peers    Peers
	Fleet    *fleet.Fleet
	Balancer *balance.Balancer
	Tracer   trace.Tracer
	// PollLease asks for a look at the lease of the own zone.
	PollLease func()
	Log       hclog.Logger
}

// Chooser finds targets: engines through the holder of a zone, plain targets
// by itself.
type Chooser struct {
	ChooserConfig

	mu sync.Mutex
	// paused are the holders that did not answer, by zone and address.
	paused map[string]suspect
	// ended are the ends that each zone's holder has yet to learn.
	ended map[string][]Ended
	// open are the placements by holders of other instances, by zone.
	open map[string]*openPlacements
	// suspects are the engines that this instance does not reach; others may.
	suspects map[string]suspect
}

var _ relay.Chooser = (*Chooser)(nil)

// NewChooser returns a chooser.
func NewChooser(c ChooserConfig) *Chooser {
	open, now := map[string]*openPlacements{}, time.Now()
	for _, z := range c.Zones {
		// An earlier process of this instance may have left placements open.
		open[z.Zone] = &openPlacements{tickets: map[uint64]bool{}, used: now}
	}
	return &Chooser{ChooserConfig: c, paused: map[string]suspect{}, ended: map[string][]Ended{}, open: open, suspects: map[string]suspect{}}
}

// Choose finds a target for a call. A call that waits for an engine is placed
// again until the time by which it must start.
func (c *Chooser) Choose(ctx context.Context, a relay.ChooseRequest) (relay.Reservation, error) {
	if !a.Service.Engine || a.Call.Key.Model == "" {
		return c.choosePlain(a)
	}
	if err := c.awaitReleases(ctx, a); err != nil {
		return relay.Reservation{}, err
	}
	for {
		asked := time.Now()
		place, again, err := c.chooseEngine(ctx, a)
		if err == nil || bamboorail.KindOf(err) != bamboorail.KindOverloaded {
			return place, err
		}
		// Holders that had the call wait for as long need no pause.
		next := later(asked.Add(again), time.Now().Add(leastPause))
		if next.Add(startMargin).After(a.StartBy) {
			return place, err
		}
		if err := duty.Sleep(ctx, time.Until(next)); err != nil {
			return place, fail("choose-engine", bamboorail.KindCancelled, err)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitReleases waits for the first list of releases: before it, an adapter
// without a known release may have some.
func (c *Chooser) awaitReleases(ctx context.Context, a relay.ChooseRequest) error {
	if a.Call.Key.Adapter == "" || c.Fleet.HasSyncedReleases() {
		return nil
	}
	wait := time.NewTimer(min(releasesWait, time.Until(a.StartBy)-startMargin))
	defer wait.Stop()
	select {
	case <-c.Fleet.Listed():
		return nil
	case <-ctx.Done():
		return fail("choose-engine", bamboorail.KindCancelled, ctx.Err())
	case <-wait.C:
		return failRetry("choose-engine", bamboorail.KindOverloaded, noPlaceRetry, errNoReleases)
	}
}

// chooseEngine asks the holders once. After a refusal it returns the shortest
// time after which one of them is to be asked again.
func (c *Chooser) chooseEngine(ctx context.Context, a relay.ChooseRequest) (relay.Reservation, time.Duration, error) {
	var failure error
	again := time.Duration(math.MaxInt64)
	asked := adapters.LoadFreely
	a.Avoid = c.avoid(a)
	for _, q := range c.questions(a.Call.Key) {
		if c.isPaused(q.zone) {
			continue
		}
		place, err := c.ask(ctx, q.zone, a, q.loads)
		if err == nil {
			return place, 0, nil
		}
		if ctx.Err() != nil {
			return relay.Reservation{}, 0, fail("choose-engine", bamboorail.KindDeadlineExceeded, ctx.Err())
		}
		f := bamboorail.FailureOf(err)
		if q.loads == adapters.LoadFreely && f.RetryAfter > 0 {
			again = min(again, f.RetryAfter)
		}
		if asked == adapters.LoadIfWanted && f.Kind == bamboorail.KindOverloaded {
			// The adapter's home knows why it is not loaded.
			failure = err
		}
		failure, asked = keepRefusal(failure, err), q.loads
	}
	if place, ok := c.chooseLoaded(a); ok {
		return place, 0, nil
	}
	if failure == nil {
		failure = failRetry("choose-engine", bamboorail.KindNoTarget, noEngineRetry, errNoHolder)
	}
	return relay.Reservation{}, min(again, noEngineRetry), failure
}

// question is a question to the holder of one zone.
type question struct {
	zone  ZoneHolder
	loads adapters.LoadRule
}

// questions returns whom to ask for an adapter, in order: the own zone if it
// holds the adapter or wants it often, the adapter's home, then whoever has
// room. One home an adapter keeps fetches from the weight store few.
func (c *Chooser) questions(key bamboorail.AdapterKey) []question {
	list := make([]question, 0, len(c.Zones)+1)
	if key.Adapter != "" {
		names := make([]string, 0, len(c.Zones))
		for _, z := range c.Zones {
			names = append(names, z.Zone)
		}
		if home := slices.Index(names, adapters.Home(names, key)); home > 0 {
			list = append(list, question{c.Zones[0], adapters.LoadIfWanted}, question{c.Zones[home], adapters.LoadFreely})
		}
	}
	for _, z := range c.Zones {
		if len(list) > 1 && z.Zone == list[1].zone.Zone {
			continue
		}
		list = append(list, question{z, adapters.LoadFreely})
	}
	return list
}

// keepRefusal keeps the failure that says most about when to come back.
func keepRefusal(first, second error) error {
	if first == nil || bamboorail.KindOf(first) != bamboorail.KindOverloaded {
		return second
	}
	return first
}

func (c *Chooser) choosePlain(a relay.ChooseRequest) (relay.Reservation, error) {
	now := time.Now()
	target, ok := c.Balancer.Choose(c.Fleet.Service(a.Service.Name), a.Avoid, now)
	if !ok {
		return relay.Reservation{}, failRetry("choose-target", bamboorail.KindNoTarget, noEngineRetry, errNoEngine)
	}
	return relay.Reservation{Target: target, ReadyAt: now, Valid: c.valid(target), Done: func(r balance.Result, took time.Duration) {
		c.Balancer.Done(target.ID, r, took, time.Now())
	}}, nil
}

// chooseLoaded finds an engine that already holds the adapter, without a
// holder, by what engines say of themselves.
func (c *Chooser) chooseLoaded(a relay.ChooseRequest) (relay.Reservation, bool) {
	now := time.Now()
	key := a.Call.Key
	releases := c.Fleet.Releases(key)
	var engines []bamboorail.TargetEntry
	for _, e := range c.Fleet.Service(a.Service.Name) {
		held, loaded := e.Models[key.Model]
		if !loaded || slices.Contains(a.Avoid, e.ID.Name) {
			continue
		}
		version, present := held[key.Adapter]
		if key.Adapter != "" && (!present || releases.OutdatedFor(version, now) > oldVersionUse) {
			continue
		}
		engines = append(engines, e)
	}
	target, ok := c.Balancer.Choose(engines, a.Avoid, now)
	if !ok {
		return relay.Reservation{}, false
	}
	c.Log.Info("engine chosen without a holder", "id", a.Call.ID, "engine", target.ID.Name, "adapter", key.Adapter)
	return relay.Reservation{
		Target: target, Version: target.Models[key.Model][key.Adapter], ReadyAt: now, Assumed: true, Valid: c.valid(target),
		Done: func(r balance.Result, took time.Duration) { c.Balancer.Done(target.ID, r, took, time.Now()) },
	}, true
}

// holderKey names the holder of a zone: a new one is not paused.
func holderKey(z ZoneHolder) string {
	_, address := z.Lease.Holder()
	return z.Zone + "@" + address
}

func (c *Chooser) isPaused(z ZoneHolder) bool {
	key := holderKey(z)
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.paused[key].until)
}

// pause leaves a holder out for a while.
func (c *Chooser) pause(z ZoneHolder) {
	key := holderKey(z)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused[key] = c.paused[key].again(firstPause, lastPause, time.Now())
}

// answered forgets the failures of a holder.
func (c *Chooser) answered(z ZoneHolder) {
	key := holderKey(z)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.paused, key)
}

// ask asks the holder of a zone.
func (c *Chooser) ask(ctx context.Context, z ZoneHolder, a relay.ChooseRequest, loads adapters.LoadRule) (relay.Reservation, error) {
	releases := c.Fleet.Releases(a.Call.Key)
	newest := releases.Newest()
	if z.Local != nil && z.Lease.Leading() {
		p, err := z.Local.Place(ctx, adapters.Request{
			Key: a.Call.Key, Service: a.Service.Name, Version: newest, Releases: releases, Avoid: a.Avoid,
			Loads: loads, CallID: a.Call.ID, Waited: time.Since(a.Received), Objective: a.Route.Objective, Priority: a.Route.Priority,
		})
		if err != nil {
			return relay.Reservation{}, err
		}
		return relay.Reservation{
			Target: p.Target, Version: p.Version, ReadyAt: p.ReadyAt, Valid: c.valid(p.Target), Done: c.settleLater(z.Zone, p.Target.ID.Name, p.Ticket),
		}, nil
	}
	_, address := z.Lease.Holder()
	if address == "" {
		return relay.Reservation{}, failRetry("ask-holder", bamboorail.KindUnavailable, noEngineRetry, errNoHolder)
	}
	return c.askPeer(ctx, z, address, a, newest, loads)
}

func (c *Chooser) askPeer(
	ctx context.Context, z ZoneHolder, address string, a relay.ChooseRequest, newest int, loads adapters.LoadRule,
) (relay.Reservation, error) {
	const op = "ask-holder"
	asked, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	asked, span := c.Tracer.Start(asked, "holder "+z.Zone, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	ended := c.takeEnded(z.Zone)
	reply, err := c.Peers.Place(asked, address, &wire.PlaceRequest{
		Zone: z.Zone, Instance: c.Instance, Service: a.Service.Name, Model: a.Call.Key.Model, Adapter: a.Call.Key.Adapter,
		Version: int64(newest), Avoid: a.Avoid, Ended: endedMessages(ended), Loads: int32(loads),
		CallId: a.Call.ID, WaitedMicros: time.Since(a.Received).Microseconds(), ObjectiveMicros: a.Route.Objective.Microseconds(),
		Priority: int32(a.Route.Priority), InstanceZone: c.Zones[0].Zone,
	})
	received := time.Now()
	switch {
	case err != nil && ctx.Err() != nil:
		c.putBack(z.Zone, ended)
		return relay.Reservation{}, fail(op, bamboorail.KindCancelled, err)
	case err != nil:
		c.putBack(z.Zone, ended)
		c.pause(z)
		c.Log.Warn("holder does not answer", "zone", z.Zone, "address", address, "id", a.Call.ID, "error", err)
		return relay.Reservation{}, failRetry(op, bamboorail.KindUnavailable, noEngineRetry, err)
	case !reply.GetHolder():
		c.answered(z)
		c.pause(z)
		if z.Zone == c.Zones[0].Zone {
			c.PollLease()
		}
		return relay.Reservation{}, failRetry(op, bamboorail.KindNotOwner, noEngineRetry, errNotHolder)
	case reply.GetTarget() == "":
		c.answered(z)
		after := time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond
		return relay.Reservation{}, failRetry(op, bamboorail.KindOverloaded, after, errors.New(reply.GetReason()))
	}
	c.answered(z)
	c.opened(z.Zone, reply.GetTicket(), received)
	target := bamboorail.TargetEntry{
		ID: bamboorail.TargetID{Name: reply.GetTarget(), StartMillis: reply.GetBorn()}, Service: a.Service.Name,
		Address: reply.GetAddress(), Zone: reply.GetZone(),
	}
	ready := received.Add(time.Duration(reply.GetReadyInMicros()) * time.Microsecond)
	return relay.Reservation{
		Target: target, Version: int(reply.GetVersion()), ReadyAt: ready, Valid: c.valid(target),
		Done: c.settleLater(z.Zone, target.ID.Name, reply.GetTicket()),
	}, nil
}

// valid returns whether a target still takes calls, by what this instance
// knows; it may have learned of a leaving before the holder did.
func (c *Chooser) valid(t bamboorail.TargetEntry) func() bool {
	return func() bool {
		known, ok := c.Fleet.Target(t.ID.Name)
		return ok && !known.Leaving && known.ID == t.ID
	}
}

// settleLater returns the end of a placement.
func (c *Chooser) settleLater(zone, engine string, ticket uint64) func(balance.Result, time.Duration) {
	return func(r balance.Result, _ time.Duration) {
		c.observe(engine, r)
		c.closed(zone, ticket)
		end := []Ended{{Ticket: ticket, Result: r}}
		for _, z := range c.Zones {
			if z.Zone == zone && z.Local != nil && z.Lease.Leading() {
				z.Local.Settle(end)
				return
			}
		}
		c.putBack(zone, end)
	}
}

func (c *Chooser) takeEnded(zone string) []Ended {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.ended[zone]
	delete(c.ended, zone)
	return list
}

func (c *Chooser) putBack(zone string, list []Ended) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ended[zone])+len(list) <= maxUnsettled {
		c.ended[zone] = append(c.ended[zone], list...)
	}
}

func endedMessages(list []Ended) []*wire.EndedPlacement {
	out := make([]*wire.EndedPlacement, 0, len(list))
	for _, e := range list {
		out = append(out, &wire.EndedPlacement{Ticket: e.Ticket, Result: int32(e.Result)})
	}
	return out
}

// Run reports ended placements until ctx ends.
func (c *Chooser) Run(ctx context.Context) error {
	return duty.Every(ctx, settleInterval, func(ctx context.Context) {
		for _, z := range c.Zones {
			c.settle(ctx, z)
		}
	})
}

func (c *Chooser) settle(ctx context.Context, z ZoneHolder) {
	list := c.takeEnded(z.Zone)
	open, reconcile := c.reconciles(z.Zone, time.Now())
	if len(list) == 0 && !reconcile {
		return
	}
	if z.Local != nil && z.Lease.Leading() {
		z.Local.Settle(list)
		return
	}
	_, address := z.Lease.Holder()
	if address == "" || c.isPaused(z) {
		c.putBack(z.Zone, list)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	reply, err := c.Peers.Settle(ctx, address, &wire.SettleRequest{
		Zone: z.Zone, Instance: c.Instance, Ended: endedMessages(list), Reconcile: reconcile, Open: open,
	})
	if err != nil {
		c.putBack(z.Zone, list)
		c.pause(z)
		c.Log.Debug("ended placements not reported", "zone", z.Zone, "count", len(list), "error", err)
		return
	}
	if !reply.GetHolder() {
		// A new holder does not know the placements of the former one.
		c.Log.Debug("ended placements dropped", "zone", z.Zone, "count", len(list))
	}
}
