// Package relay forwards calls to targets and their answers to callers
// unchanged, repeats calls where the route permits it, and reports for a call
// without an answer whether it may have run.
package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/eventstream"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// defaultMaxBody limits a request body if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// defaultCallTimeout applies if neither caller nor route sets a limit.
	defaultCallTimeout = 30 * time.Second
	// maxSent limits how often one call is sent to targets, refusals included;
	// maxAttempts also counts failed connections.
	maxSent     = 4
	maxAttempts = 6
	// deliveryTime is the time after the deadline to deliver an answer that is
	// ready. It suffices for the largest buffered answer on a slow mobile
	// connection.
	deliveryTime = 5 * time.Second
	// defaultRetryAfter is the retry delay suggested if the cause is not known.
	defaultRetryAfter = 500 * time.Millisecond
)

// ChooseRequest describes the call for which a target is chosen.
type ChooseRequest struct {
	Call    *bamboorail.Call
	Route   bamboorail.RouteSpec
	Service bamboorail.ServiceSpec
	// Avoid names the targets that failed or refused this call.
	Avoid []string
	// Software is the software version that the target must have, empty if any is
	// acceptable.
	Software string
	// Runs is the number of targets that may have run the call.
	Runs int
	// Received is the time at which the call arrived, StartBy the latest time
	// at which it may be sent to a target.
	Received, StartBy time.Time
}

// Reservation is capacity of a target that is reserved for one call.
type Reservation struct {
	Target bamboorail.TargetEntry
	// Version is the adapter version that the target holds, 0 if any is
	// acceptable.
	Version int
	// ReadyAt is the time from which the target can run the call.
	ReadyAt time.Time
	// Assumed is set if it is not certain that the target holds the adapter: a
	// target that turns out to lack it is not tried again.
	Assumed bool
	// BeginBy returns the latest time at which the target may begin to run the call. The
	// call is withdrawn then, unless BeginBy returns a later time. It is nil if there is no
	// such time.
	BeginBy func(now time.Time) time.Time
	// Valid reports whether the target still takes calls. It is called once,
	// immediately before the call is sent.
	Valid func() bool
	// Observe receives the times of the events of an answer, before Done. It is nil if they
	// are of no use.
	Observe func(t Timing)
	// Done releases the reservation. It is called once.
	Done func(r balance.Result, took time.Duration)
}

// Chooser finds targets for calls. Its errors carry the time after which to
// retry.
type Chooser interface {
	Choose(ctx context.Context, req ChooseRequest) (Reservation, error)
}

// Quotas admits calls within the quotas of their workspaces.
type Quotas interface {
	// Admit spends the cost of a call, and waits for credit for at most a time. The caller
	// calls refund if the call was not run. The error states that the call was not run and
	// carries the time after which to retry.
	Admit(ctx context.Context, w bamboorail.Workspace, cost float64, wait time.Duration) (refund func(), err error)
}

// Dialer opens the connections to targets.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config configures a handler.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	Ingress  bamboorail.Ingress
	Egress   bamboorail.Egress
	// Table returns the current routes, or nil if none are known.
	Table func() *route.Table
	// ConfigurationAge returns the time since the routes were known to be current; nil
	// returns 0.
	ConfigurationAge func() time.Duration
	Chooser          Chooser
	// Budget returns the retry budget of a service.
	Budget func(service string) *retry.WindowBudget
	Dialer Dialer
	// IdleLimit returns the number of idle connections that this instance may keep to a
	// target of a service; nil sets no limit beyond that of the package.
	IdleLimit func(service string) int
	Metrics   *telemetry.Metrics
	Tracer    trace.Tracer
	// Advise is told what targets say of themselves in their answers.
	Advise func(id bamboorail.TargetID, a bamboorail.Advisory)
	// Origins records where streams began.
	Origins bamboorail.StreamOrigins
	Detour  Detour
	// Quotas is nil if calls are not limited.
	Quotas Quotas
	// BodyMemory is the memory for the bodies of calls in bytes, 0 for no limit.
	BodyMemory int64
	// ShuttingDown reports whether the instance is shutting down.
	ShuttingDown func() bool
	Log          hclog.Logger
}

// Handler serves the calls that an instance receives.
type Handler struct {
	Config
	pool   *pool
	bodies *bodyMemory
	// messages is the memory for the messages of forwarded calls, which hold copies of their
	// bodies.
	messages *bodyMemory
	// configuration is the newest version of the configuration by which another instance ran a
	// call of this one.
	configuration atomic.Uint64
}

// NewHandler returns a handler. Without origins no stream is resumed by its caller, and
// without a detour no call is forwarded.
func NewHandler(c Config) *Handler {
	if c.Origins == nil {
		c.Origins = noOrigins{}
	}
	if c.Detour == nil {
		c.Detour = noDetour{}
	}
	if c.ConfigurationAge == nil {
		c.ConfigurationAge = func() time.Duration { return 0 }
	}
	h := &Handler{Config: c, bodies: newBodyMemory(c.BodyMemory), messages: newBodyMemory(c.BodyMemory / messageShare)}
	h.pool = newPool(c.Dialer, h.recordRejection)
	if c.IdleLimit != nil {
		h.pool.idleLimit = c.IdleLimit
	}
	return h
}

// Retain closes the connections to targets for which live returns false.
func (h *Handler) Retain(live func(bamboorail.TargetID) bool) { h.pool.retain(live) }

// CloseIdle closes the idle connections to all targets.
func (h *Handler) CloseIdle() { h.pool.closeIdle() }

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, w: w, r: r, received: time.Now(), releaseBody: func() {}, refund: func() {}}
	defer func() { x.releaseBody() }()
	if h.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	span := x.startTrace()
	err := x.run()
	if err != nil && bamboorail.NotRun(err) {
		x.refund()
	}
	if err != nil && !x.committed {
		x.writeFailure(err)
	}
	x.report(err)
	x.endTrace(span, err)
	if err != nil && x.committed {
		if err := httpport.MarkBroken(w, r); err != nil {
			h.Log.Warn("broken answer not marked", "id", x.call.ID, "error", err)
		}
		panic(http.ErrAbortHandler)
	}
}

// exchange is the state of one call.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	received time.Time

	call    bamboorail.Call
	route   bamboorail.RouteSpec
	service bamboorail.ServiceSpec
	table   *route.Table
	version uint64
	body    []byte
	// releaseBody releases the memory that is reserved for the body.
	releaseBody func()
	// refund returns the credit of a call that was not run.
	refund   func()
	startBy  time.Time
	deadline time.Time

	// committed is set once response headers have been sent to the caller.
	committed bool
	status    int
	// resumable is set once whole events of a stream are forwarded, which another
	// target can continue.
	resumable bool
	events    eventBuffer
	// software is the version of the targets that may continue the stream, empty
	// before it begins.
	software string
	// framing and answer describe the body of the last response.
	framing   httpport.Framing
	answer    eventstream.Tracker
	attempted counts
	avoid     []string
	standby   *standby
	// target is the one whose answer is forwarded. neighbors are the instances to which
	// the call was forwarded, failed those of them that did not run it, and forwarded is the
	// call of another instance.
	target            bamboorail.TargetID
	neighbors, failed []string
	reached           []string
	forwarded         *ForwardCall
	// forwards is the number of legs through other instances, which may store origins of the
	// stream.
	forwards  atomic.Int32
	trail     []string
	firstByte time.Duration
	times     streamTimes
}

func (x *exchange) run() error {
	if err := x.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	if err := x.findOrigin(ctx); err != nil {
		return err
	}
	if x.route.Streaming && x.route.Repeat == bamboorail.RepeatResume && x.call.LastEvent != "" && x.r.Method != http.MethodHead {
		x.events.sequence = eventstream.SequenceAfter(x.call.LastEvent)
	}
	return x.concluded(ctx, x.runLegs(ctx))
}

func (x *exchange) budget() *retry.WindowBudget { return x.h.Budget(x.service.Name) }

// admit reads the call, finds its route and reads its body.
func (x *exchange) admit() error {
	const op = "admit-call"
	var err error
	if x.call, err = x.h.Ingress.Decode(x.r); err != nil {
		return err
	}
	table := x.h.Table()
	if table == nil {
		return notRun(op, bamboorail.KindUnavailable, defaultRetryAfter, errNoConfiguration)
	}
	x.version = table.Version()
	if err := x.checkConfiguration(); err != nil {
		return err
	}
	spec, found := table.Match(x.r.Host, x.path())
	if !found {
		return notRun(op, bamboorail.KindNotFound, 0, errNoRoute)
	}
	x.route = spec
	x.table = table
	if err := x.authenticate(); err != nil {
		return err
	}
	x.setService(route.PickService(spec, rand.Float64()))
	x.deadline = x.received.Add(callTimeout(x.call.Timeout, x.route.Timeout))
	x.startBy = x.startDeadline()
	x.acceptForwarded()
	if err := httpport.SetDeadlines(x.w, x.r, x.deadline, x.deadline.Add(deliveryTime)); err != nil {
		return notRun(op, bamboorail.KindUnavailable, defaultRetryAfter, err)
	}
	if err := x.takeCredit(); err != nil {
		return err
	}
	if x.forwarded != nil {
		x.call.Fingerprint = fingerprint(x.r, &x.call, x.body)
		return nil
	}
	return x.readBody(table.Limits().MaxBodyBytes)
}

func (x *exchange) setService(name string) {
	x.service = bamboorail.ServiceSpec{Name: name}
	if declared, ok := x.table.Service(name); ok {
		x.service = declared
	}
}

const (
	// firstEventFactor times the objective, but at least minFirstEventTimeout,
	// is the time for which callers of streams wait for the first event (page
	// PROTOCOL).
	firstEventFactor     = 4
	minFirstEventTimeout = 2 * time.Second
	// startShare is the part of that time that may pass before the call is sent
	// to a target.
	startShare = 0.8
)

// startDeadline returns the latest time at which the call may be sent to a
// target. After it, the caller is better told to retry.
func (x *exchange) startDeadline() time.Time {
	if !x.route.Streaming {
		return x.deadline
	}
	firstEventTimeout := max(minFirstEventTimeout, firstEventFactor*x.route.Objective)
	start := x.received.Add(time.Duration(startShare * float64(firstEventTimeout)))
	if start.After(x.deadline) {
		return x.deadline
	}
	return start
}

// callTimeout returns the smaller of two limits, where 0 means no limit.
func callTimeout(caller, operator time.Duration) time.Duration {
	switch {
	case caller <= 0 && operator <= 0:
		return defaultCallTimeout
	case caller <= 0:
		return operator
	case operator <= 0:
		return caller
	}
	return min(caller, operator)
}
