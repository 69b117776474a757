package placer

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/quarantine"
	"bamboorail.example/bamboorail/internal/ratelimit"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// placeTimeout bounds a query to a holder, which waits up to maxPlaceWait
	// for capacity and up to orderTimeout for an order.
	placeTimeout = 750 * time.Millisecond
	// settleTimeout bounds a report of ended placements.
	settleTimeout = 300 * time.Millisecond
	// dispatchMargin is reserved for the network path to the engine.
	dispatchMargin = 50 * time.Millisecond
	// minHolderBackoff is the time for which a holder that did not answer is
	// skipped. It doubles with each failure up to maxHolderBackoff.
	minHolderBackoff = 700 * time.Millisecond
	maxHolderBackoff = 3 * time.Second
	// settleInterval is the interval between reports of ended placements.
	settleInterval = 200 * time.Millisecond
	// maxPendingEnded bounds the ended placements that are kept for a holder
	// that does not answer. The holder expires placements by itself.
	maxPendingEnded = 4096
	// oldVersionGrace is the time after its replacement for which a version may
	// be used if no holder answers. The bound version_ms is 5 s.
	oldVersionGrace = 1500 * time.Millisecond
	noEngineRetry   = time.Second
	// minRetryDelay is the minimum time between two rounds of queries for a
	// call.
	minRetryDelay = 25 * time.Millisecond
	// defaultTimeout is the timeout of a route without one.
	defaultTimeout = 30 * time.Second
	// maxReleasesWait bounds the wait of a call for the first list of releases.
	// It covers a list request that was rejected twice (retries after 0.1 and
	// 0.2 s).
	maxReleasesWait = 500 * time.Millisecond
)

// Peers sends placement requests to other instances.
type Peers interface {
	Place(ctx context.Context, address string, r *wire.PlaceRequest) (*wire.PlaceReply, error)
	Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error)
	Acquire(ctx context.Context, address string, r *wire.AcquireRequest) (*wire.AcquireReply, error)
}

// ZoneHolder locates the holder of one zone.
type ZoneHolder struct {
	Zone string
	// Local is this instance's own holder of the zone.
	Local *Holder
	Lease *lease.Lease
}

// ChooserConfig configures a chooser.
type ChooserConfig struct {
	Instance string
	// Zones lists the local zone first, then the others by distance.
	Zones    []ZoneHolder
	Peers    Peers
	Fleet    *fleet.Fleet
	Balancer *balance.Balancer
	Tracer   trace.Tracer
	// PollLease triggers a poll of the local zone's lease.
	PollLease  func()
	Quarantine *Quarantine
	Advisories *advisory.Registry
	Limits     *Limits
	// BeginTimeout is the time after the release of a newer adapter version by which calls
	// must have begun to run on the older one.
	BeginTimeout time.Duration
	// Instances returns an estimate of the number of instances.
	Instances func() int
	// ShareTargets reports whether the slots of plain targets under pressure are shared by
	// all instances; nil is never.
	ShareTargets func() bool
	Metrics      *telemetry.Metrics
	Log          hclog.Logger
}

// Chooser selects targets: engines through the holder of a zone, other targets
// locally.
type Chooser struct {
	ChooserConfig

	mu sync.Mutex
	// holderBackoffs are the holders that did not answer, by zone and address.
	holderBackoffs map[string]backoff
	// ended are the ended placements that have not been reported, by zone.
	ended map[string][]EndedPlacement
	// breaks is the evidence that has not been reported, by zone.
	breaks map[string][]quarantine.Break
	// lostBlocks are the segments that the holder of each zone named as blocked, and named no
	// more in its last reply; namedBlocks are all that it named. informedAt are the times at
	// which it was last sent the lost ones.
	lostBlocks, namedBlocks map[string]map[string]bool
	informedAt              map[string]time.Time
	// limits are the changed limits that have not been reported, by zone.
	limits map[string][]advisory.Limit
	// throttles holds the state for targets with limits, ungranted counts the requests
	// that this instance sent to each target without a grant.
	throttles map[bamboorail.TargetID]*throttle
	ungranted map[bamboorail.TargetID]*ratelimit.Window
	// holderContacts are the times of the last answers of holders, by zone.
	holderContacts map[string]time.Time
	// callTimes are the moving averages of the times of answered calls, by service.
	callTimes map[string]time.Duration
	// urgent signals that ends of permits are to be reported, by zone.
	urgent map[string]chan struct{}
	// open are the placements made by the holders of other instances, by zone.
	open map[string]*openPlacements
	// pressed are the times until which the targets of services are shared, told the expected waits
	// that holders expect.
	pressed map[string]time.Time
	told    map[toldKey]toldWait
	// suspects are the engines that this instance cannot reach; other instances
	// may.
	suspects map[string]backoff
}

var _ relay.Chooser = (*Chooser)(nil)

// NewChooser returns a chooser.
func NewChooser(c ChooserConfig) *Chooser {
	open, urgent, now := map[string]*openPlacements{}, map[string]chan struct{}{}, time.Now()
	for _, z := range c.Zones {
		urgent[z.Zone] = make(chan struct{}, 1)
		// An earlier process of this instance may have left placements open.
		open[z.Zone] = &openPlacements{tickets: map[uint64]bool{}, lastPlaced: now}
	}
	if c.ShareTargets == nil {
		c.ShareTargets = func() bool { return false }
	}
	return &Chooser{
		pressed: map[string]time.Time{}, told: map[toldKey]toldWait{},
		ChooserConfig: c, holderBackoffs: map[string]backoff{}, ended: map[string][]EndedPlacement{},
		lostBlocks: map[string]map[string]bool{}, namedBlocks: map[string]map[string]bool{}, informedAt: map[string]time.Time{},
		breaks: map[string][]quarantine.Break{}, limits: map[string][]advisory.Limit{}, throttles: map[bamboorail.TargetID]*throttle{},
		ungranted: map[bamboorail.TargetID]*ratelimit.Window{}, open: open, suspects: map[string]backoff{},
		callTimes: map[string]time.Duration{}, urgent: urgent, holderContacts: map[string]time.Time{},
	}
}

// Choose selects a target for a call. If no engine has capacity, it retries
// until the time by which the call must start.
func (c *Chooser) Choose(ctx context.Context, a relay.ChooseRequest) (relay.Reservation, error) {
	if err := c.checkSoftware(a); err != nil {
		return relay.Reservation{}, err
	}
	if !a.Service.Engine || a.Call.Key.Model == "" {
		return c.chooseBalanced(ctx, a)
	}
	if err := c.awaitReleases(ctx, a); err != nil {
		return relay.Reservation{}, err
	}
	for {
		start := time.Now()
		reservation, retryAfter, err := c.choosePermitted(ctx, a)
		if err == nil || bamboorail.KindOf(err) != bamboorail.KindOverloaded {
			return reservation, err
		}
		// No further delay after holders that already kept the call waiting for
		// as long.
		next := latest(start.Add(retryAfter), time.Now().Add(minRetryDelay))
		if next.Add(dispatchMargin).After(a.StartBy) {
			return reservation, err
		}
		if err := task.Sleep(ctx, time.Until(next)); err != nil {
			return reservation, fail("choose-engine", bamboorail.KindCancelled, err)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitReleases waits for the first list of releases. Until then, an adapter
// without a known release may have one.
func (c *Chooser) awaitReleases(ctx context.Context, a relay.ChooseRequest) error {
	if a.Call.Key.Adapter == "" || c.Fleet.HasSyncedReleases() {
		return nil
	}
	wait := time.NewTimer(min(maxReleasesWait, time.Until(a.StartBy)-dispatchMargin))
	defer wait.Stop()
	select {
	case <-c.Fleet.ReleasesSynced():
		return nil
	case <-ctx.Done():
		return fail("choose-engine", bamboorail.KindCancelled, ctx.Err())
	case <-wait.C:
		return failRetry("choose-engine", bamboorail.KindOverloaded, noCapacityRetry, errReleasesUnknown)
	}
}

// chooseEngine queries each holder once. If all refuse, it returns the shortest
// time after which one of them should be queried again.
func (c *Chooser) chooseEngine(ctx context.Context, a relay.ChooseRequest) (relay.Reservation, time.Duration, error) {
	var failure error
	retryAfter := time.Duration(math.MaxInt64)
	lastPolicy := adapters.LoadAny
	full := map[string]bool{}
	a.Avoid = c.enginesToAvoid(a)
	// A holder may keep the call waiting, but not beyond the time at which the
	// caller is better told to retry.
	roundCtx, cancel := context.WithDeadline(ctx, a.StartBy.Add(dispatchMargin))
	defer cancel()
	for _, q := range c.holderQueries(a.Call.Key) {
		if c.inBackoff(q.zone) || !c.hasSoftware(a, q.zone.Zone) {
			continue
		}
		reservation, err := c.askHolder(roundCtx, q.zone, a, q.policy)
		if err == nil {
			return reservation, 0, nil
		}
		if ctx.Err() != nil {
			return relay.Reservation{}, 0, fail("choose-engine", bamboorail.KindDeadlineExceeded, ctx.Err())
		}
		if roundCtx.Err() != nil {
			failure = preferOverload(failure, failRetry("choose-engine", bamboorail.KindOverloaded, noCapacityRetry, errNoCapacity))
			break
		}
		f := bamboorail.FailureOf(err)
		full[q.zone.Zone] = f.Kind == bamboorail.KindOverloaded
		if q.policy == adapters.LoadAny && f.RetryAfter > 0 {
			retryAfter = min(retryAfter, f.RetryAfter)
		}
		if lastPolicy == adapters.LoadIfDemanded && f.Kind == bamboorail.KindOverloaded {
			// The holder of the adapter's home zone knows why the adapter is
			// not loaded.
			failure = err
		}
		failure, lastPolicy = preferOverload(failure, err), q.policy
	}
	reservation, ok, used := c.chooseLoaded(a, full)
	if ok {
		return reservation, 0, nil
	}
	if retryAfter == math.MaxInt64 {
		retryAfter = noEngineRetry
	}
	if used {
		overload := failRetry("choose-engine", bamboorail.KindOverloaded, noCapacityRetry, errNoCapacity)
		return relay.Reservation{}, min(retryAfter, noCapacityRetry), preferOverload(failure, overload)
	}
	if failure == nil {
		failure = failRetry("choose-engine", bamboorail.KindNoTarget, noEngineRetry, errNoHolder)
	}
	return relay.Reservation{}, retryAfter, failure
}

// chooseLoaded selects an engine that already holds the adapter according to
// its own entry, without a holder. It selects no brittle engine of a zone whose holder has
// refused the call, which may have given all slots of the engine to other calls. used is set
// if there are engines, but this instance used its share of them.
func (c *Chooser) chooseLoaded(a relay.ChooseRequest, full map[string]bool) (r relay.Reservation, ok, used bool) {
	now := time.Now()
	key := a.Call.Key
	releases := c.Fleet.Releases(key)
	var engines []bamboorail.TargetEntry
	for _, e := range c.openTargets(a.Service.Name, now) {
		held, loaded := e.Models[key.Model]
		if !loaded || slices.Contains(a.Avoid, e.ID.Name) || !hasSoftware(e, a) || full[e.Zone] && c.Limits.IsBrittle(e.ID) {
			continue
		}
		version, present := held[key.Adapter]
		if key.Adapter != "" && (!present || releases.OutdatedFor(version, now) > oldVersionGrace) {
			continue
		}
		engines = append(engines, e)
	}
	target, ok := c.Balancer.Choose(engines, a.Avoid, now)
	for ok && !c.mayUseEngine(target, now) {
		used = true
		c.Balancer.Done(target.ID, balance.Abandoned, 0, now)
		engines = slices.DeleteFunc(engines, func(e bamboorail.TargetEntry) bool { return e.ID == target.ID })
		target, ok = c.Balancer.Choose(engines, a.Avoid, now)
	}
	if !ok {
		return relay.Reservation{}, false, used
	}
	c.Log.Info("engine chosen without a holder", "id", a.Call.ID, "engine", target.ID.Name, "adapter", key.Adapter)
	return relay.Reservation{
		Target: target, Version: target.Models[key.Model][key.Adapter], ReadyAt: now, Assumed: true, Valid: c.valid(target),
		Done: c.balancedDone(target, 0), BeginBy: c.beginBy(key, target.Models[key.Model][key.Adapter]),
	}, true, used
}

// beginBy returns a function that returns the time by which a call must begin to run on a
// version of an adapter.
func (c *Chooser) beginBy(key bamboorail.AdapterKey, version int) func(now time.Time) time.Time {
	if key.Adapter == "" || c.BeginTimeout == 0 {
		return nil
	}
	return func(now time.Time) time.Time {
		if at, superseded := c.Fleet.Releases(key).SupersededAt(version); superseded {
			return at.Add(c.BeginTimeout)
		}
		return now.Add(c.BeginTimeout)
	}
}

// valid returns a function that reports whether a target still accepts calls as
// far as this instance knows. This instance may learn that a target leaves, or wants
// no requests, before the holder does.
func (c *Chooser) valid(t bamboorail.TargetEntry) func() bool {
	return func() bool {
		known, ok := c.Fleet.Target(t.ID.Name)
		return ok && !known.Leaving && known.ID == t.ID && known.Software == t.Software && c.Advisories.Acquire(t.ID, time.Now()) == advisory.ReasonNone
	}
}
