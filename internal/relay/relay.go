// Package relay passes calls through to targets unchanged and their answers
// back, repeats what a route permits, and tells callers truly whether a call
// without an answer was run.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// defaultMaxBody bounds a body if the configuration does not.
	defaultMaxBody = 4 << 20
	// defaultPatience is assumed where neither caller nor route set a limit.
	defaultPatience = 30 * time.Second
	// maxArrivals bounds the targets that one call reaches, refusals included;
	// maxAttempts counts failed connections too.
	maxArrivals = 4
	maxAttempts = 6
	// deliveryTime is left after the deadline to deliver an answer that is ready,
	// at the pace of a slow mobile line for the largest that is held back.
	deliveryTime = 5 * time.Second
	// retryLater is suggested where nothing is known about the cause.
	retryLater = 500 * time.Millisecond
)

// ChooseRequest is the question for a target.
type ChooseRequest struct {
	Call    *bamboorail.Call
	Route   bamboorail.RouteSpec
	Service bamboorail.ServiceSpec
	// Avoid names the targets that failed or refused this call.
	Avoid []string
	// Received is the time at which the call arrived, StartBy the time by which
	// a target must have it.
	Received, StartBy time.Time
}

// Reservation is a place at a target that was taken for a call.
type Reservation struct {
	Target bamboorail.TargetEntry
	// Version is the adapter version that the target holds, 0 if any will do.
	Version int
	// ReadyAt is the time from which the target can run the call.
	ReadyAt time.Time
	// Assumed is set if the target only seems to hold the adapter: one that
	// lacks it is not asked again.
	Assumed bool
	// Valid reports whether the target still takes calls.
	Valid func() bool
	// Done gives the place back. It is called once.
	Done func(r balance.Result, took time.Duration)
}

// Chooser finds targets for calls. Its errors carry the time to come back.
type Chooser interface {
	Choose(ctx context.Context, a ChooseRequest) (Reservation, error)
}

// Config configures a handler.
type Config struct {
	Ingress bamboorail.Ingress
	Egress  bamboorail.Egress
	// Table returns the routes in force, or nil.
	Table   func() *route.Table
	Chooser Chooser
	// Budget returns the retry budget of a service.
	Budget  func(service string) *retry.WindowBudget
	Dialer  *net.Dialer
	Metrics *telemetry.Metrics
	Tracer  trace.Tracer
	// ShuttingDown is set while the instance shuts down.
	ShuttingDown func() bool
	Log          hclog.Logger
}

// Handler serves the callers of an instance.
type Handler struct {
	Config
	pool *pool
}

// NewHandler returns a handler.
func NewHandler(c Config) *Handler {
	return &Handler{Config: c, pool: newPool(c.Dialer)}
}

// Retain closes the connections to targets that are gone.
func (h *Handler) Retain(live func(bamboorail.TargetID) bool) { h.pool.retain(live) }

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, w: w, r: r, received: time.Now()}
	if h.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	span := x.startTrace()
	err := x.run()
	if err != nil && !x.committed {
		x.refuse(err)
	}
	x.report(err)
	x.endTrace(span, err)
	if err != nil && x.committed {
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// exchange is one call of a caller.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	received time.Time

	call     bamboorail.Call
	route    bamboorail.RouteSpec
	service  bamboorail.ServiceSpec
	version  uint64
	body     []byte
	startBy  time.Time
	deadline time.Time

	// committed is set once the head of an answer went to the caller.
	committed bool
	status    int
	events    eventBuffer
	// attempts counts the targets chosen, arrivals those that the call reached,
	// and runs those that may have run it.
	attempts  int
	arrivals  int
	runs      int
	avoid     []string
	trail     []string
	firstByte time.Duration
}

func (x *exchange) run() error {
	if err := x.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.budget().RecordRequest(x.received)
	for {
		arrived := x.arrivals
		placed, err := x.attempt(ctx)
		if err == nil || !placed || !x.mayRepeat(ctx, err) {
			return err
		}
		if x.arrivals > arrived && !x.budget().Take(time.Now()) {
			x.trail = append(x.trail, "no-budget")
			return err
		}
	}
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
		return notRun(op, bamboorail.KindUnavailable, retryLater, errNoConfiguration)
	}
	x.version = table.Version()
	spec, found := table.Match(x.r.Host, x.path())
	if !found {
		return notRun(op, bamboorail.KindNotFound, 0, errNoRoute)
	}
	x.route = spec
	x.service = bamboorail.ServiceSpec{Name: route.PickService(spec, rand.Float64())}
	if declared, ok := table.Service(x.service.Name); ok {
		x.service = declared
	}
	x.deadline = x.received.Add(patience(x.call.Timeout, x.route.Timeout))
	x.startBy = x.startTime()
	if err := httpport.Bound(x.w, x.r, x.deadline, x.deadline.Add(deliveryTime)); err != nil {
		return notRun(op, bamboorail.KindUnavailable, retryLater, err)
	}
	return x.readBody(table.Limits().MaxBodyBytes)
}

const (
	// startFactor times the objective is the time for which callers of streams
	// wait for the first event (page PROTOCOL), startLeast the least of it.
	startFactor = 4
	startLeast  = 2 * time.Second
	// startShare of that time may pass before a target has the call.
	startShare = 0.8
)

// startTime returns the time by which a target must have the call. Later, the
// caller is better told to come back.
func (x *exchange) startTime() time.Time {
	if !x.route.Streaming {
		return x.deadline
	}
	gap := max(startLeast, startFactor*x.route.Objective)
	start := x.received.Add(time.Duration(startShare * float64(gap)))
	if start.After(x.deadline) {
		return x.deadline
	}
	return start
}

// patience returns the smaller of two limits, of which 0 means none.
func patience(caller, operator time.Duration) time.Duration {
	switch {
	case caller <= 0 && operator <= 0:
		return defaultPatience
	case caller <= 0:
		return operator
	case operator <= 0:
		return caller
	}
	return min(caller, operator)
}

func (x *exchange) readBody(limit int64) error {
	const op = "read-body"
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if !x.r.ProtoAtLeast(1, 1) && x.r.Method != http.MethodGet && x.r.Header.Get("Content-Length") == "" {
		// net/http ignores the encoding of such a request and reads no body.
		return notRun(op, bamboorail.KindBadRequest, 0, errNoLength)
	}
	var err error
	x.body, err = io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(op, bamboorail.KindTooLarge, 0, err)
	}
	if err != nil {
		return notRun(op, bamboorail.KindBadRequest, 0, err)
	}
	return nil
}

// mayRepeat reports whether the call may go to another target after err.
func (x *exchange) mayRepeat(ctx context.Context, err error) bool {
	if ctx.Err() != nil || x.attempts >= maxAttempts || x.arrivals >= maxArrivals {
		return false
	}
	if bamboorail.NotRun(err) {
		return true
	}
	if x.runs >= x.route.MaxAttempts {
		return false
	}
	switch x.route.Repeat {
	case bamboorail.RepeatAlways:
		return !x.committed
	case bamboorail.RepeatResume:
		return true
	}
	return false
}

// statusOf maps a failure to the status that tells the caller what happened.
// Statuses that promise "not run" are used for calls that were not run only.
func statusOf(f *bamboorail.Failure) int {
	switch f.Kind {
	case bamboorail.KindBadRequest, bamboorail.KindBadDeadline:
		return http.StatusBadRequest
	case bamboorail.KindNotFound:
		return http.StatusNotFound
	case bamboorail.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case f.Outcome == bamboorail.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case f.Kind == bamboorail.KindDeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refuse answers a call that has no answer of a target.
func (x *exchange) refuse(err error) {
	f := bamboorail.FailureOf(err)
	header := x.w.Header()
	x.status = statusOf(f)
	after := time.Duration(0)
	if x.status == http.StatusServiceUnavailable {
		after = max(f.RetryAfter, time.Millisecond)
		if f.RetryAfter <= 0 {
			after = retryLater
		}
	}
	x.h.Ingress.SetErrorHeaders(header, &x.call, after)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(x.status)
	// A caller that left does not need the text.
	_, _ = io.WriteString(x.w, f.Error()+"\n")
}

// report writes the one line and the metrics of the call.
func (x *exchange) report(err error) {
	took := time.Since(x.received)
	x.h.Metrics.Request(x.route.Name, took, err)
	fields := []any{
		"id", x.call.ID, "route", x.route.Name, "config", x.version, "service", x.service.Name,
		"model", x.call.Key.Model, "adapter", x.call.Key.Adapter, "status", x.status,
		"took-ms", took.Milliseconds(), "first-ms", x.firstByte.Milliseconds(), "sent", x.arrivals, "trail", x.trail,
	}
	if err != nil {
		f := bamboorail.FailureOf(err)
		fields = append(fields, "kind", string(f.Kind), "outcome", string(f.Outcome), "error", err.Error())
	}
	x.h.Log.Info("call ended", fields...)
}
