// Package entry routes the requests of callers to the owners of targets.
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
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/pkg/record"
)

// KeeperShards is the number of keepers among which the request ids of a
// service in a zone are spread.
const KeeperShards = 4

// KeeperTarget names a keeper shard of a service among the targets of a zone.
func KeeperTarget(service string, n int) string {
	return "service/" + service + "/" + strconv.Itoa(n)
}

const (
	maxAttempts = 6
	// maxOverflows bounds the engines that are asked after one was full, so
	// that a region without room is not asked by every request in turn.
	maxOverflows    = 2
	firstBackoff    = 50 * time.Millisecond
	maxBackoff      = time.Second
	retryRatio      = 0.2
	retryBurst      = 50
	noTargetRetry   = 2 * time.Second
	cutZoneRetry    = 5 * time.Second
	defaultLoadTime = time.Second
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func notRun(op string, kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: bamboorail.OutcomeNotRun, RetryAfter: after, Err: err}}
}

// Owners finds the owners that run in this process.
type Owners interface {
	Dispatcher(target string) (bamboorail.Dispatcher, bool)
}

// Peers passes requests on to other instances.
type Peers interface {
	Dispatch(ctx context.Context, address string, w *bamboorail.Request, s bamboorail.Sink) error
}

// Config describes a router.
type Config struct {
	Directory *membership.Directory
	View      func() *platform.View
	Owners    Owners
	Peers     Peers
	// Gone is told of a session whose address refuses connections.
	Gone   func(platform.Session)
	Tracer trace.Tracer
}

// Router sends each request to the target where it should start first.
type Router struct {
	config Config
	budget *retry.Budget

	// choosing makes a choice and its count one step.
	choosing sync.Mutex

	mu   sync.Mutex
	sent map[string]*sentSince
	// flights are the repeatable requests at peers, by address.
	flights map[string]map[*flight]struct{}
}

// sentSince counts the requests sent to a target since an announcement.
type sentSince struct {
	at     time.Time
	count  int
	models map[bamboorail.ModelRef]struct{}
}

// NewRouter returns a router.
func NewRouter(c Config) *Router {
	return &Router{config: c, budget: retry.NewBudget(retryRatio, retryBurst), sent: map[string]*sentSince{}, flights: map[string]map[*flight]struct{}{}}
}

var _ bamboorail.Dispatcher = (*Router)(nil)

// Dispatch sends a request, and sends it again elsewhere as long as it
// provably was not run, or may be repeated and has not begun to answer.
func (r *Router) Dispatch(ctx context.Context, w *bamboorail.Request, s bamboorail.Sink) error {
	sink := &onceSink{Sink: s}
	limit := patience{started: time.Now()}
	failed := map[string]bool{}
	reached, overflows := 0, 0
	for attempt := 0; ; attempt++ {
		target, err := r.attempt(ctx, w, sink, failed)
		if err == nil {
			r.budget.RecordSuccess()
			return nil
		}
		if reachedTarget(err) {
			reached++
		}
		if w.MaxAttempts > 0 && reached >= w.MaxAttempts {
			return finalError(err)
		}
		if target != "" {
			failed[target] = true
		}
		if overflows < maxOverflows && r.overflow(w, err, failed) {
			overflows++
			sink.reset()
			continue
		}
		if !r.goesOn(&limit, w, target, err) || !r.mayRetry(ctx, w, sink, err) {
			return finalError(err)
		}
		sink.reset()
		if err := duty.Sleep(ctx, retry.Backoff(attempt, firstBackoff, maxBackoff)); err != nil {
			return notRun("route", bamboorail.KindDeadlineExceeded, noTargetRetry, err)
		}
	}
}

// finalError makes sure that every refusal tells when to come back.
func finalError(err error) error {
	f := bamboorail.FailureOf(err)
	switch f.Kind {
	case bamboorail.KindOverloaded, bamboorail.KindUnavailable, bamboorail.KindNoTarget, bamboorail.KindNotOwner,
		bamboorail.KindDeadlineExceeded, bamboorail.KindLoadFailed, bamboorail.KindStaleHandle:
		if f.RetryAfter <= 0 {
			f.RetryAfter = noTargetRetry
		}
	}
	return err
}

// reachedTarget reports whether a failed attempt counts against the limit of
// the route. A change of owner costs no target anything.
func reachedTarget(err error) bool { return !ownerChanges(err) }

// ownerChanges reports whether an attempt found no owner that takes requests.
func ownerChanges(err error) bool {
	k := bamboorail.KindOf(err)
	return k == bamboorail.KindNotOwner || k == bamboorail.KindNoTarget
}

// patience is what a request has used of its limits.
type patience struct {
	started time.Time
	// tries counts the attempts that did not just meet a change of owner.
	tries int
}

// goesOn counts a failed attempt and reports whether the limits leave another.
func (r *Router) goesOn(p *patience, w *bamboorail.Request, target string, err error) bool {
	changes := ownerChanges(err)
	if !changes || !r.expectsOwner(w, target, err) {
		p.tries++
	}
	settled := changes && time.Since(p.started) >= r.settleTime()
	return p.tries <= maxAttempts && !settled
}

// settleTime is the time for which a request waits for an owner to appear after
// the former one is gone. It ends with a last try after the longest pause.
func (r *Router) settleTime() time.Duration {
	return membership.TakeoverTime(len(r.config.Directory.Peers(time.Now()))) + maxBackoff
}

// expectsOwner reports whether a target that was tried, or without one any that
// may run the request, has no owner but gets the next one without the end of a
// lease.
func (r *Router) expectsOwner(w *bamboorail.Request, target string, err error) bool {
	now := time.Now()
	if target != "" {
		return bamboorail.KindOf(err) == bamboorail.KindNotOwner && !r.config.Directory.UnresponsiveTargets(now)[r.targetKey(target)]
	}
	view := r.config.View()
	adapter, ok := view.Adapter(w.Model.Adapter())
	if !ok {
		return false
	}
	announced := r.config.Directory.Targets(now)
	silent := r.config.Directory.UnresponsiveTargets(now)
	candidates := map[string]bool{}
	return slices.ContainsFunc(view.Targets(), func(t record.Target) bool {
		candidate, known := candidates[t.Zone()]
		if !known {
			candidate = r.config.Directory.HasCandidate(t.Zone(), now)
			candidates[t.Zone()] = candidate
		}
		key := membership.TargetKey{Zone: t.Zone(), Name: t.Name()}
		_, owned := announced[key]
		return candidate && !owned && adapter.MayRunOn(t) && !silent[key] && r.takesWork(t)
	})
}

// overflow reports whether a request that an engine refused for lack of room may
// go to another one, which would start it before its deadline as far as is known.
// Such a refusal costs an engine nothing, so it takes no retry budget.
func (r *Router) overflow(w *bamboorail.Request, err error, failed map[string]bool) bool {
	f := bamboorail.FailureOf(err)
	if f.Kind != bamboorail.KindOverloaded || f.Outcome != bamboorail.OutcomeNotRun || w.Target != "" || w.Service != "" {
		return false
	}
	now := time.Now()
	for _, o := range r.options(w, now, nil) {
		if failed[o.Target] || o.Avoid {
			continue
		}
		if now.Add(o.TimeToStart()).Before(w.Deadline) {
			return true
		}
	}
	return false
}

// mayRetry reports whether a failed request should be sent again.
func (r *Router) mayRetry(ctx context.Context, w *bamboorail.Request, s *onceSink, err error) bool {
	f := bamboorail.FailureOf(err)
	safe := f.Outcome == bamboorail.OutcomeNotRun || (w.Repeatable && !s.delivered())
	if !safe || ctx.Err() != nil {
		return false
	}
	switch f.Kind {
	case bamboorail.KindNotOwner, bamboorail.KindNoTarget:
		// The owner is changing: this costs no target anything.
		return true
	case bamboorail.KindUnavailable, bamboorail.KindStaleHandle, bamboorail.KindTruncated, bamboorail.KindTargetFailed:
		return r.budget.Take()
	}
	return false
}

// attempt makes one try and returns the target that it chose.
func (r *Router) attempt(ctx context.Context, w *bamboorail.Request, s *onceSink, failed map[string]bool) (string, error) {
	if w.Zone != "" && w.Zone != r.zone() {
		return "", r.forward(ctx, w, s, w.Zone)
	}
	if w.Target != "" {
		return w.Target, r.send(ctx, w, s, w.Target)
	}
	if w.Service != "" {
		return r.attemptService(ctx, w, s)
	}
	return r.attemptEngine(ctx, w, s, failed)
}

func (r *Router) zone() string { return r.config.Directory.Self().Zone }

func (r *Router) attemptEngine(ctx context.Context, w *bamboorail.Request, s *onceSink, failed map[string]bool) (string, error) {
	best, ok := r.choose(w, failed)
	if !ok {
		return "", r.elsewhere(ctx, w, s, fmt.Errorf("no engine that can be reached from zone %q serves model %s now", r.zone(), w.Model))
	}
	return best.Target, r.send(ctx, w, s, best.Target)
}

// choose picks an engine and counts the request there before the next one
// compares the engines.
func (r *Router) choose(w *bamboorail.Request, failed map[string]bool) (placement.RouteCandidate, bool) {
	r.choosing.Lock()
	defer r.choosing.Unlock()
	options := r.options(w, time.Now(), failed)
	if len(options) == 0 {
		return placement.RouteCandidate{}, false
	}
	best := placement.Route(w.Model, options)[0]
	r.countSent(best.Target, w.Model)
	return best, true
}

func (r *Router) attemptService(ctx context.Context, w *bamboorail.Request, s *onceSink) (string, error) {
	if !r.hasService(w.Service, r.zone()) {
		return "", r.elsewhere(ctx, w, s, fmt.Errorf("no target of service %q in zone %q", w.Service, r.zone()))
	}
	shard := int(xxhash.Sum64String(w.RequestID) % KeeperShards)
	target := KeeperTarget(w.Service, shard)
	return target, r.send(ctx, w, s, target)
}

func (r *Router) hasService(service, zone string) bool {
	for _, t := range r.config.View().Targets() {
		if t.Role() == record.RoleApplication && t.Service() == service && t.Zone() == zone {
			return true
		}
	}
	return false
}

// options lists the engines of the region that may run a model and whose
// owners announce them. Targets that already failed this request come only if there is
// no other.
func (r *Router) options(w *bamboorail.Request, now time.Time, failed map[string]bool) []placement.RouteCandidate {
	view := r.config.View()
	adapter, ok := view.Adapter(w.Model.Adapter())
	if !ok {
		return nil
	}
	announced := r.config.Directory.Targets(now)
	var options []placement.RouteCandidate
	for _, t := range view.Targets() {
		a, owned := announced[membership.TargetKey{Zone: t.Zone(), Name: t.Name()}]
		if !owned || a.State.GetLeaving() || !adapter.MayRunOn(t) || !r.takesWork(t) {
			continue
		}
		o := r.option(w, a)
		o.CrossZone = t.Zone() != r.zone()
		o.Avoid = o.Avoid || failed[t.Name()]
		options = append(options, o)
	}
	return options
}

// takesWork reports whether a target may get new work: operators did not
// drain it and the platform does not list its machine as leaving.
func (r *Router) takesWork(t record.Target) bool {
	return !t.Draining() && !r.config.Directory.InstanceLeaving(t.Instance())
}

func (r *Router) option(w *bamboorail.Request, a membership.Target) placement.RouteCandidate {
	s, m := a.State, w.Model
	sent, asked := r.sentAfter(a, m)
	o := placement.RouteCandidate{
		Target: a.Name, MaxBatch: int(s.GetMaxBatch()), Outstanding: int(s.GetRunning()+s.GetQueued()) + sent,
		Loading: asked || slices.Contains(s.GetAwaited(), m.String()), Awaited: len(s.GetAwaited()), VictimValue: s.GetVictimValue(),
		Wait: time.Duration(s.GetWaitMicros()) * time.Microsecond, LoadTime: time.Duration(s.GetLoadMicros()) * time.Microsecond,
		Avoid: s.GetCold() || s.GetUnreachable(),
	}
	if o.LoadTime <= 0 {
		o.LoadTime = defaultLoadTime
	}
	if queued := min(sent, o.Outstanding-o.MaxBatch); queued > 0 {
		// What was sent since the announcement waits too. Its requests are
		// taken to be as long as this one.
		run := time.Duration(w.Tokens) * time.Duration(s.GetTokenMicros()) * time.Microsecond
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

// sentAfter returns how many requests were sent since an announcement, and
// whether one of them was for the model.
func (r *Router) sentAfter(a membership.Target, m bamboorail.ModelRef) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.sent[a.Name]
	if !ok || !s.at.Equal(a.At) {
		s = &sentSince{at: a.At, models: map[bamboorail.ModelRef]struct{}{}}
		r.sent[a.Name] = s
	}
	_, asked := s.models[m]
	return s.count, asked
}

// send passes a request to the owner of a target.
func (r *Router) send(ctx context.Context, w *bamboorail.Request, s *onceSink, target string) error {
	directed := *w
	directed.Target = target
	if d, ok := r.config.Owners.Dispatcher(target); ok {
		return d.Dispatch(ctx, &directed, s)
	}
	a, ok := r.config.Directory.Targets(time.Now())[r.targetKey(target)]
	if !ok || a.Session == r.config.Directory.Self().ID {
		return notRun("find-owner", bamboorail.KindNotOwner, noTargetRetry, fmt.Errorf("target %q has no owner now", target))
	}
	directed.Term = a.Term
	owner := platform.Session{ID: a.Session, Instance: a.Instance, Zone: a.Zone, Peer: a.Peer}
	err := r.toPeer(ctx, owner, "owner", &directed, s)
	if peer.ConnectionRefused(err) {
		return notRun("find-owner", bamboorail.KindNotOwner, noTargetRetry, err)
	}
	return err
}

func (r *Router) targetKey(target string) membership.TargetKey {
	if t, ok := r.config.View().Target(target); ok {
		return membership.TargetKey{Zone: t.Zone(), Name: target}
	}
	// A keeper is no declared target; this zone's own one is meant.
	return membership.TargetKey{Zone: r.zone(), Name: target}
}

// toPeer passes a request to the process of a session.
func (r *Router) toPeer(ctx context.Context, to platform.Session, role string, w *bamboorail.Request, s *onceSink) error {
	err := r.callPeer(ctx, to.Peer, role, w, s)
	if peer.ConnectionRefused(err) {
		r.config.Gone(to)
	}
	return err
}

func (r *Router) callPeer(ctx context.Context, address, role string, w *bamboorail.Request, s *onceSink) error {
	ctx, span := r.config.Tracer.Start(ctx, "peer "+role, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", address), attribute.String("target", w.Target)))
	defer span.End()
	if !w.Repeatable {
		return r.config.Peers.Dispatch(ctx, address, w, s)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &flight{sink: s, cancel: cancel}
	r.depart(address, f)
	defer r.land(address, f)
	return r.config.Peers.Dispatch(ctx, address, w, s)
}

// elsewhere passes a request on to another zone, if it did not come from one.
func (r *Router) elsewhere(ctx context.Context, w *bamboorail.Request, s *onceSink, cause error) error {
	if w.Forwarded || w.Zone == r.zone() {
		return notRun("route", bamboorail.KindNoTarget, noTargetRetry, cause)
	}
	for _, zone := range r.otherZones(w) {
		err := r.forward(ctx, w, s, zone)
		if err == nil || !bamboorail.NotRun(err) {
			return err
		}
	}
	return notRun("route", bamboorail.KindNoTarget, noTargetRetry, cause)
}

// otherZones lists the zones that declare a target for the request.
func (r *Router) otherZones(w *bamboorail.Request) []string {
	view := r.config.View()
	adapter, _ := view.Adapter(w.Model.Adapter())
	seen := map[string]bool{r.zone(): true}
	var zones []string
	for _, t := range view.Targets() {
		fits := t.Role() == record.RoleApplication && t.Service() == w.Service
		if w.Service == "" {
			fits = adapter.MayRunOn(t)
		}
		if fits && !seen[t.Zone()] {
			seen[t.Zone()] = true
			zones = append(zones, t.Zone())
		}
	}
	return zones
}

var errZoneCut = errors.New("no instance of the zone can be reached")

// forward passes a request to an instance of another zone. It tries the next
// instance only if the request provably did not run.
func (r *Router) forward(ctx context.Context, w *bamboorail.Request, s *onceSink, zone string) error {
	if w.Forwarded {
		return notRun("forward", bamboorail.KindNoTarget, noTargetRetry, fmt.Errorf("zone %q is not this one", zone))
	}
	directed := *w
	directed.Forwarded = true
	last := notRun("forward", bamboorail.KindUnavailable, cutZoneRetry, fmt.Errorf("zone %q: %w", zone, errZoneCut))
	for _, m := range r.config.Directory.Members(time.Now()) {
		if m.Session.Zone != zone || m.State == membership.StateGone || m.State == membership.StateExpired {
			continue
		}
		err := r.toPeer(ctx, m.Session, "zone", &directed, s)
		if err == nil || !bamboorail.NotRun(err) || bamboorail.KindOf(err) != bamboorail.KindUnavailable {
			return err
		}
		last = err
	}
	return last
}
