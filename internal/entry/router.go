// Package entry routes caller requests to the owners of targets.
package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/record"
)

// DeduplicatorShards is the number of shards into which the request ids of a
// service in a zone are divided. Each shard has one deduplicator.
const DeduplicatorShards = 4

// DeduplicatorTarget returns the target name of a deduplicator of a service.
func DeduplicatorTarget(service string, n int) string {
	return "service/" + service + "/" + strconv.Itoa(n)
}

const (
	maxAttempts = 6
	// maxOverflows bounds the engines that are tried after one was full, so that
	// in a region without capacity a request does not try every engine.
	maxOverflows              = 2
	initialBackoff            = 50 * time.Millisecond
	maxBackoff                = time.Second
	retryRatio                = 0.2
	retryBurst                = 50
	noTargetRetryAfter        = 2 * time.Second
	unreachableZoneRetryAfter = 5 * time.Second
	defaultLoadTime           = time.Second
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func notRun(op string, kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: bamboorail.OutcomeNotRun, RetryAfter: after, Err: err}}
}

// Owners looks up the owners that run in this process.
type Owners interface {
	Dispatcher(target string) (bamboorail.Dispatcher, bool)
}

// Peers dispatches requests to other instances.
type Peers interface {
	Dispatch(ctx context.Context, address string, req *bamboorail.Request, s bamboorail.Sink) error
}

// Config holds the dependencies of a router.
type Config struct {
	Directory *membership.Directory
	View      func() *platform.View
	Owners    Owners
	Peers     Peers
	// OnPeerRefused is called with a session whose address refuses connections.
	OnPeerRefused func(platform.Session)
	Tracer        trace.Tracer
}

// Router sends each request to the target where it is expected to start first.
type Router struct {
	config Config
	budget *retry.Budget

	// chooseMu makes the choice of an engine and the count of the request there
	// atomic.
	chooseMu sync.Mutex

	mu   sync.Mutex
	sent map[string]*sentRequests
	// inFlight holds the repeatable requests at peers, by peer address.
	inFlight map[string]map[*inFlightRequest]struct{}
}

// sentRequests counts the requests sent to a target since its owner announced
// its state at the given time.
type sentRequests struct {
	at     time.Time
	count  int
	models map[bamboorail.ModelRef]struct{}
}

// NewRouter returns a router.
func NewRouter(c Config) *Router {
	return &Router{
		config: c, budget: retry.NewBudget(retryRatio, retryBurst), sent: map[string]*sentRequests{}, inFlight: map[string]map[*inFlightRequest]struct{}{},
	}
}

var _ bamboorail.Dispatcher = (*Router)(nil)

// Dispatch sends a request to a target. After a failure it retries on another
// target, as long as the request provably did not run, or is repeatable and no
// part of its response was delivered.
func (r *Router) Dispatch(ctx context.Context, req *bamboorail.Request, s bamboorail.Sink) error {
	sink := &progressSink{Sink: s}
	state := retryState{started: time.Now()}
	failed := map[string]bool{}
	reached, overflows := 0, 0
	for attempt := 0; ; attempt++ {
		target, err := r.attempt(ctx, req, sink, failed)
		if err == nil {
			r.budget.RecordSuccess()
			return nil
		}
		if reachedTarget(err) {
			reached++
		}
		if req.MaxAttempts > 0 && reached >= req.MaxAttempts {
			return ensureRetryAfter(err)
		}
		if target != "" {
			failed[target] = true
		}
		if overflows < maxOverflows && r.overflow(req, err, failed) {
			overflows++
			sink.reset()
			continue
		}
		if !r.withinLimits(&state, req, target, err) || !r.mayRetry(ctx, req, sink, err) {
			return ensureRetryAfter(err)
		}
		sink.reset()
		if err := task.Sleep(ctx, retry.Backoff(attempt, initialBackoff, maxBackoff)); err != nil {
			return notRun("route", bamboorail.KindDeadlineExceeded, noTargetRetryAfter, err)
		}
	}
}

// ensureRetryAfter sets a default RetryAfter on errors that the caller may retry.
func ensureRetryAfter(err error) error {
	f := bamboorail.FailureOf(err)
	switch f.Kind {
	case bamboorail.KindOverloaded, bamboorail.KindUnavailable, bamboorail.KindNoTarget, bamboorail.KindNotOwner,
		bamboorail.KindDeadlineExceeded, bamboorail.KindLoadFailed, bamboorail.KindStaleHandle:
		if f.RetryAfter <= 0 {
			f.RetryAfter = noTargetRetryAfter
		}
	}
	return err
}

// reachedTarget reports whether a failed attempt counts against the attempt limit
// of the route. An attempt that found no owner put no load on a target.
func reachedTarget(err error) bool { return !isOwnerMissing(err) }

// isOwnerMissing reports whether an attempt found no owner that accepts requests.
func isOwnerMissing(err error) bool {
	k := bamboorail.KindOf(err)
	return k == bamboorail.KindNotOwner || k == bamboorail.KindNoTarget
}

// retryState tracks what a request has used of its retry limits.
type retryState struct {
	started time.Time
	// attempts counts the failed attempts, except those that only found a target
	// whose takeover is pending.
	attempts int
}

// withinLimits counts a failed attempt and reports whether the limits allow
// another one.
func (r *Router) withinLimits(state *retryState, req *bamboorail.Request, target string, err error) bool {
	ownerMissing := isOwnerMissing(err)
	if !ownerMissing || !r.takeoverPending(req, target, err) {
		state.attempts++
	}
	expired := ownerMissing && time.Since(state.started) >= r.takeoverWait()
	return state.attempts <= maxAttempts && !expired
}

// takeoverWait returns the time for which a request waits for a new owner after
// the former one has ended. It includes a last attempt after the longest backoff.
func (r *Router) takeoverWait() time.Duration {
	return membership.TakeoverTime(len(r.config.Directory.Peers(time.Now()))) + maxBackoff
}

// takeoverPending reports whether the target that was tried has no owner but
// gets a new one without waiting for a lease to expire. If no target was tried,
// it reports whether this holds for any target that may run the request.
func (r *Router) takeoverPending(req *bamboorail.Request, target string, err error) bool {
	now := time.Now()
	if target != "" {
		return bamboorail.KindOf(err) == bamboorail.KindNotOwner && !r.config.Directory.UnresponsiveTargets(now)[r.targetKey(target)]
	}
	view := r.config.View()
	adapter, ok := view.Adapter(req.Model.Adapter())
	if !ok {
		return false
	}
	announced := r.config.Directory.Targets(now)
	unresponsive := r.config.Directory.UnresponsiveTargets(now)
	candidates := map[string]bool{}
	return slices.ContainsFunc(view.Targets(), func(t record.Target) bool {
		candidate, known := candidates[t.Zone()]
		if !known {
			candidate = r.config.Directory.HasCandidate(t.Zone(), now)
			candidates[t.Zone()] = candidate
		}
		key := membership.TargetKey{Zone: t.Zone(), Name: t.Name()}
		_, owned := announced[key]
		return candidate && !owned && adapter.MayRunOn(t) && !unresponsive[key] && r.acceptsWork(t)
	})
}

// overflow reports whether a request that was refused by a full engine can go to
// another one, which according to its announced state would start it before its
// deadline. A refusal puts no load on the engine, so these retries are not
// charged to the retry budget.
func (r *Router) overflow(req *bamboorail.Request, err error, failed map[string]bool) bool {
	f := bamboorail.FailureOf(err)
	if f.Kind != bamboorail.KindOverloaded || f.Outcome != bamboorail.OutcomeNotRun || req.Target != "" || req.Service != "" {
		return false
	}
	now := time.Now()
	for _, o := range r.options(req, now, nil) {
		if failed[o.Target] || o.Avoid {
			continue
		}
		if now.Add(o.TimeToStart()).Before(req.Deadline) {
			return true
		}
	}
	return false
}

// mayRetry reports whether a failed request may be retried.
func (r *Router) mayRetry(ctx context.Context, req *bamboorail.Request, s *progressSink, err error) bool {
	f := bamboorail.FailureOf(err)
	safe := f.Outcome == bamboorail.OutcomeNotRun || (req.Repeatable && !s.delivered())
	if !safe || ctx.Err() != nil {
		return false
	}
	switch f.Kind {
	case bamboorail.KindNotOwner, bamboorail.KindNoTarget:
		// No owner accepted the request, so it put no load on a target and the
		// retry is not charged to the budget.
		return true
	case bamboorail.KindUnavailable, bamboorail.KindStaleHandle, bamboorail.KindTruncated, bamboorail.KindTargetFailed:
		return r.budget.Take()
	}
	return false
}

// attempt dispatches the request once and returns the chosen target.
func (r *Router) attempt(ctx context.Context, req *bamboorail.Request, s *progressSink, failed map[string]bool) (string, error) {
	if req.Zone != "" && req.Zone != r.zone() {
		return "", r.forwardToZone(ctx, req, s, req.Zone)
	}
	if req.Target != "" {
		return req.Target, r.sendToOwner(ctx, req, s, req.Target)
	}
	if req.Service != "" {
		return r.attemptService(ctx, req, s)
	}
	return r.attemptEngine(ctx, req, s, failed)
}

func (r *Router) zone() string { return r.config.Directory.Self().Zone }

func (r *Router) attemptEngine(ctx context.Context, req *bamboorail.Request, s *progressSink, failed map[string]bool) (string, error) {
	best, ok := r.chooseEngine(req, failed)
	if !ok {
		return "", r.forwardToOtherZones(ctx, req, s, fmt.Errorf("no engine reachable from zone %q serves model %s", r.zone(), req.Model))
	}
	return best.Target, r.sendToOwner(ctx, req, s, best.Target)
}

// chooseEngine selects an engine and counts the request there before the next
// request compares the engines.
func (r *Router) chooseEngine(req *bamboorail.Request, failed map[string]bool) (placement.RouteCandidate, bool) {
	r.chooseMu.Lock()
	defer r.chooseMu.Unlock()
	options := r.options(req, time.Now(), failed)
	if len(options) == 0 {
		return placement.RouteCandidate{}, false
	}
	best := placement.Route(req.Model, options)[0]
	r.countSent(best.Target, req.Model)
	return best, true
}

func (r *Router) attemptService(ctx context.Context, req *bamboorail.Request, s *progressSink) (string, error) {
	if !r.hasService(req.Service, r.zone()) {
		return "", r.forwardToOtherZones(ctx, req, s, fmt.Errorf("no target of service %q in zone %q", req.Service, r.zone()))
	}
	shard := int(xxhash.Sum64String(req.RequestID) % DeduplicatorShards)
	target := DeduplicatorTarget(req.Service, shard)
	return target, r.sendToOwner(ctx, req, s, target)
}

func (r *Router) hasService(service, zone string) bool {
	for _, t := range r.config.View().Targets() {
		if t.Role() == record.RoleApplication && t.Service() == service && t.Zone() == zone {
			return true
		}
	}
	return false
}

// options lists the engines of the region that may run a model and that are
// announced by an owner. Targets that already failed this request are marked to
// be avoided, so that they are chosen only if there is no other.
func (r *Router) options(req *bamboorail.Request, now time.Time, failed map[string]bool) []placement.RouteCandidate {
	view := r.config.View()
	adapter, ok := view.Adapter(req.Model.Adapter())
	if !ok {
		return nil
	}
	announced := r.config.Directory.Targets(now)
	var options []placement.RouteCandidate
	for _, t := range view.Targets() {
		a, owned := announced[membership.TargetKey{Zone: t.Zone(), Name: t.Name()}]
		if !owned || a.State.GetLeaving() || !adapter.MayRunOn(t) || !r.acceptsWork(t) {
			continue
		}
		o := r.option(req, a)
		o.CrossZone = t.Zone() != r.zone()
		o.Avoid = o.Avoid || failed[t.Name()]
		options = append(options, o)
	}
	return options
}

// acceptsWork reports whether a target may get new work: it is not draining and
// the platform does not list its instance as leaving.
func (r *Router) acceptsWork(t record.Target) bool {
	return !t.Draining() && !r.config.Directory.InstanceLeaving(t.Instance())
}

func (r *Router) option(req *bamboorail.Request, a membership.Target) placement.RouteCandidate {
	s, m := a.State, req.Model
	sent, modelSent := r.sentSince(a, m)
	o := placement.RouteCandidate{
		Target: a.Name, MaxBatch: int(s.GetMaxBatch()), Outstanding: int(s.GetRunning()+s.GetQueued()) + sent,
		Loading: modelSent || slices.Contains(s.GetAwaited(), m.String()), Awaited: len(s.GetAwaited()), VictimValue: s.GetVictimValue(),
		Wait: time.Duration(s.GetWaitMicros()) * time.Microsecond, LoadTime: time.Duration(s.GetLoadMicros()) * time.Microsecond,
		Avoid: s.GetCold() || s.GetUnreachable(),
	}
	if o.LoadTime <= 0 {
		o.LoadTime = defaultLoadTime
	}
	if queued := min(sent, o.Outstanding-o.MaxBatch); queued > 0 {
		// Requests sent since the announcement wait as well. They are assumed
		// to be as long as this one.
		run := time.Duration(req.Tokens) * time.Duration(s.GetTokenMicros()) * time.Microsecond
		o.Wait += run * time.Duration(queued) / time.Duration(max(1, o.MaxBatch))
	}
	for _, l := range s.GetLoaded() {
		if l.GetModel() == m.String() {
			o.Loaded = o.Loaded || l.GetReady()
			o.Loading = o.Loading || l.GetLoading()
		}
	}
	return o
}

func (r *Router) countSent(target string, m bamboorail.ModelRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sent[target]; ok {
		s.count++
		s.models[m] = struct{}{}
	}
}

// sentSince returns the number of requests sent to a target since an
// announcement, and whether one of them was for the given model.
func (r *Router) sentSince(a membership.Target, m bamboorail.ModelRef) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.sent[a.Name]
	if !ok || !s.at.Equal(a.At) {
		s = &sentRequests{at: a.At, models: map[bamboorail.ModelRef]struct{}{}}
		r.sent[a.Name] = s
	}
	_, modelSent := s.models[m]
	return s.count, modelSent
}

// sendToOwner dispatches a request to the owner of a target, in this process or
// at a peer.
func (r *Router) sendToOwner(ctx context.Context, req *bamboorail.Request, s *progressSink, target string) error {
	directed := *req
	directed.Target = target
	if d, ok := r.config.Owners.Dispatcher(target); ok {
		return d.Dispatch(ctx, &directed, s)
	}
	a, ok := r.config.Directory.Targets(time.Now())[r.targetKey(target)]
	if !ok || a.Session == r.config.Directory.Self().ID {
		return notRun("find-owner", bamboorail.KindNotOwner, noTargetRetryAfter, fmt.Errorf("target %q has no owner", target))
	}
	directed.Term = a.Term
	owner := platform.Session{ID: a.Session, Instance: a.Instance, Zone: a.Zone, Peer: a.Peer}
	err := r.sendToPeer(ctx, owner, "owner", &directed, s)
	if peer.ConnectionRefused(err) {
		return notRun("find-owner", bamboorail.KindNotOwner, noTargetRetryAfter, err)
	}
	return err
}

func (r *Router) targetKey(target string) membership.TargetKey {
	if t, ok := r.config.View().Target(target); ok {
		return membership.TargetKey{Zone: t.Zone(), Name: target}
	}
	// Deduplicators are not declared as targets. The name refers to the one of
	// this zone.
	return membership.TargetKey{Zone: r.zone(), Name: target}
}

// sendToPeer dispatches a request to the process of a session and reports a
// refused connection.
func (r *Router) sendToPeer(ctx context.Context, to platform.Session, role string, req *bamboorail.Request, s *progressSink) error {
	err := r.dispatchToPeer(ctx, to.Peer, role, req, s)
	if peer.ConnectionRefused(err) {
		r.config.OnPeerRefused(to)
	}
	return err
}

func (r *Router) dispatchToPeer(ctx context.Context, address, role string, req *bamboorail.Request, s *progressSink) error {
	ctx, span := r.config.Tracer.Start(ctx, "peer "+role, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", address), attribute.String("target", req.Target)))
	defer span.End()
	if !req.Repeatable {
		return r.config.Peers.Dispatch(ctx, address, req, s)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &inFlightRequest{sink: s, cancel: cancel}
	r.trackInFlight(address, f)
	defer r.untrackInFlight(address, f)
	return r.config.Peers.Dispatch(ctx, address, req, s)
}

// forwardToOtherZones forwards a request to the other zones that may run it,
// unless it was itself forwarded or is bound to this zone.
func (r *Router) forwardToOtherZones(ctx context.Context, req *bamboorail.Request, s *progressSink, cause error) error {
	if req.Forwarded || req.Zone == r.zone() {
		return notRun("route", bamboorail.KindNoTarget, noTargetRetryAfter, cause)
	}
	for _, zone := range r.otherZones(req) {
		err := r.forwardToZone(ctx, req, s, zone)
		if err == nil || !bamboorail.NotRun(err) {
			return err
		}
	}
	return notRun("route", bamboorail.KindNoTarget, noTargetRetryAfter, cause)
}

// otherZones lists the zones that declare a target for the request.
func (r *Router) otherZones(req *bamboorail.Request) []string {
	view := r.config.View()
	adapter, _ := view.Adapter(req.Model.Adapter())
	seen := map[string]bool{r.zone(): true}
	var zones []string
	for _, t := range view.Targets() {
		fits := t.Role() == record.RoleApplication && t.Service() == req.Service
		if req.Service == "" {
			fits = adapter.MayRunOn(t)
		}
		if fits && !seen[t.Zone()] {
			seen[t.Zone()] = true
			zones = append(zones, t.Zone())
		}
	}
	return zones
}

var errZoneUnreachable = errors.New("no reachable instance in the zone")

// forwardToZone forwards a request to an instance of another zone. It tries the
// next instance only if the request provably did not run.
func (r *Router) forwardToZone(ctx context.Context, req *bamboorail.Request, s *progressSink, zone string) error {
	if req.Forwarded {
		return notRun("forward", bamboorail.KindNoTarget, noTargetRetryAfter,
			fmt.Errorf("request was already forwarded and zone %q is not the zone of this instance", zone))
	}
	directed := *req
	directed.Forwarded = true
	last := notRun("forward", bamboorail.KindUnavailable, unreachableZoneRetryAfter, fmt.Errorf("zone %q: %w", zone, errZoneUnreachable))
	for _, m := range r.config.Directory.Members(time.Now()) {
		if m.Session.Zone != zone || m.State == membership.StateGone || m.State == membership.StateExpired {
			continue
		}
		err := r.sendToPeer(ctx, m.Session, "zone", &directed, s)
		if err == nil || !bamboorail.NotRun(err) || bamboorail.KindOf(err) != bamboorail.KindUnavailable {
			return err
		}
		last = err
	}
	return last
}
