package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"time"

	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/eventstream"
	"bamboorail.example/bamboorail/internal/task"
)

// legStart is the state of a call in which a leg starts.
type legStart struct {
	service  bamboorail.ServiceSpec
	software string
	// lastEvent is the last event that was forwarded, sequence the ids up to it.
	lastEvent string
	sequence  eventstream.Sequence
	// committed and resumable are those of the exchange; begins is set if the answer may
	// begin a resumable stream.
	committed, resumable, begins bool

	avoid []string
	// neighbors are the instances that the call was forwarded to, failed those of them that did
	// not run it.
	neighbors, failed []string
	// reached are the targets that the call was sent to.
	reached []string
	runs    int
	startBy time.Time
}

// legStart returns the current state of the call.
func (x *exchange) legStart() legStart {
	start := legStart{
		service: x.service, software: x.software, lastEvent: x.events.lastID, sequence: x.events.sequence,
		committed: x.committed, resumable: x.resumable, avoid: x.avoid, neighbors: x.neighbors, failed: x.failed, reached: x.reached,
		runs: x.attempted.runs, startBy: x.startBy,
	}
	if x.committed {
		start.startBy = time.Now().Add(resumeTimeout)
	}
	if x.beginsStream() {
		start.begins, start.software = true, x.h.Origins.Permitted(x.service.Name)
	}
	return start
}

// exclude keeps legs that start in s from the target or instance of l, which may still run.
func (s *legStart) exclude(l *leg) {
	if l.neighbor != "" {
		s.neighbors = append(slices.Clip(s.neighbors), l.neighbor)
		s.failed = append(slices.Clip(s.failed), l.neighbor)
		return
	}
	s.avoid = append(slices.Clip(s.avoid), l.target.ID.Name)
	s.reached = append(slices.Clip(s.reached), l.target.ID.Name)
}

// excludeNeighbor keeps legs that start in s from the instance of l, which has ended.
func (s *legStart) excludeNeighbor(l *leg) {
	s.neighbors = append(slices.Clip(s.neighbors), l.neighbor)
	if !l.hasRun() {
		s.failed = append(slices.Clip(s.failed), l.neighbor)
	}
}

// leg is one attempt to run a call, at a target or through another instance. It does not
// change its exchange, so that two legs can run at the same time.
type leg struct {
	x      *exchange
	start  legStart
	ctx    context.Context
	cancel context.CancelCauseFunc
	// neighbor is the address of the instance that runs the call, empty for a target.
	neighbor string
	// admit is called when the call is about to be sent. The leg ends if it returns an
	// error.
	admit func() error
	// standby is set for a leg that started beside another one.
	standby bool

	// releaseMessage releases the memory for the message of a forwarded call.
	releaseMessage  func()
	reservation     Reservation
	origin          bamboorail.StreamOrigin
	target          bamboorail.TargetEntry
	response        *http.Response
	span            trace.Span
	started, sentAt time.Time
	timer           eventTimer
	// admitted is set once a standby leg is counted as sent, unsent if admit returned an
	// error.
	admitted, unsent bool
	// found is set if another attempt is useful after this one, sent if the call may
	// have reached a target, and ran if a target may have run it.
	found, sent, ran bool
	// forwardReport returns what another instance reported, nil if none was reached.
	forwardReport func() ForwardReport
	result        balance.Result
	err           error
	// avoid, reached and trail are what the leg adds to those of the call.
	avoid, reached, trail []string
}

// newLeg returns a leg that has not been opened.
func (x *exchange) newLeg(ctx context.Context, start legStart) *leg {
	l := &leg{x: x, start: start, neighbor: x.neighbor(start.neighbors, start.failed), admit: func() error { return nil }, releaseMessage: func() {}}
	if l.neighbor != "" {
		x.forwards.Add(1)
	}
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	return l
}

// open sends the call and waits for the head of the answer. If there is none, or one that
// is not the answer to the call, the leg ends with an error.
func (l *leg) open() {
	l.started = time.Now()
	l.sentAt = l.started
	if l.neighbor != "" {
		l.openThrough()
	} else {
		l.openDirect()
	}
	if l.err != nil {
		l.end(l.result, l.err)
	}
}

func (l *leg) openDirect() {
	chooseCtx, span := startSpan(l.ctx, l.x.h.Tracer, "choose")
	err := l.reserve(chooseCtx)
	endSpan(span, err)
	if err == nil {
		err = l.admit()
		l.unsent = err != nil
	}
	if err != nil {
		l.result, l.err = balance.Abandoned, err
		return
	}
	l.found, l.sentAt = true, time.Now()
	if l.start.begins {
		x := l.x
		x.h.Origins.Announce(x.call.ID, bamboorail.StreamOrigin{Service: l.start.service.Name, Software: l.target.Software})
	}
	sendCtx, span := startSpan(l.ctx, l.x.h.Tracer, "target "+l.target.ID.Name)
	l.span = span
	l.send(sendCtx)
}

// reserve chooses a target and waits until it can run the call. If the target starts to
// leave meanwhile, another one is chosen.
func (l *leg) reserve(ctx context.Context) error {
	const op = "await-adapter"
	x := l.x
	for {
		reservation, err := x.h.Chooser.Choose(ctx, ChooseRequest{
			Call: &x.call, Route: x.route, Service: l.start.service, Avoid: l.start.avoid, Software: l.start.software, Runs: l.start.runs,
			Received: x.received, StartBy: l.start.startBy,
		})
		if err != nil {
			l.recordNoPlace()
			return err
		}
		if reservation.ReadyAt.After(l.start.startBy) {
			reservation.Done(balance.Abandoned, 0)
			return notRun(op, bamboorail.KindOverloaded, time.Until(reservation.ReadyAt), errTooLate)
		}
		if err := task.Sleep(ctx, time.Until(reservation.ReadyAt)); err != nil {
			reservation.Done(balance.Abandoned, 0)
			return notRun(op, bamboorail.KindDeadlineExceeded, defaultRetryAfter, err)
		}
		if reservation.Valid() && (l.start.software == "" || reservation.Target.Software == l.start.software) {
			l.reservation, l.target = reservation, reservation.Target
			return nil
		}
		reservation.Done(balance.Abandoned, 0)
		name := reservation.Target.ID.Name
		l.start.avoid = append(slices.Clip(l.start.avoid), name)
		l.avoid = append(l.avoid, name)
		l.trail = append(l.trail, name+" left")
	}
}

// recordNoPlace adds to the trail that no target was found, unless the search was canceled.
func (l *leg) recordNoPlace() {
	switch {
	case !l.standby:
		l.trail = append(l.trail, "no-place")
	case l.ctx.Err() == nil:
		l.trail = append(l.trail, "no-place standby")
	}
}

// send runs the call at the reserved target.
func (l *leg) send(ctx context.Context) {
	const op = "send-call"
	x := l.x
	l.sent = true
	// A repeated response to an earlier attempt names this call, too.
	single := x.route.Repeat == bamboorail.RepeatNever && !x.route.Streaming || slices.Contains(l.start.reached, l.target.ID.Name)
	var sending sending
	ctx = httptrace.WithClientTrace(ctx, sending.trace())
	transport := x.h.pool.transport(l.target, single)
	defer l.withdrawOutdated()()
	resp, reused, err := transport.Send(l.newRequest().WithContext(ctx)) //nolint:bodyclose // closed by end
	if err != nil {
		if isRejected(err) {
			x.h.pool.discard(l.target.ID, transport)
		}
		l.result, l.err = l.transportError(op, err, sending.isUnsent())
		return
	}
	class := l.classify(resp, reused)
	if x.h.Egress.ResponseID(resp) != x.call.ID {
		// The connection may still carry the answer to this call.
		x.h.pool.discard(l.target.ID, transport)
	}
	x.advise(l.target.ID, resp, class)
	x.h.pool.limitIdle(l.target.ID, resp.Header.Get("Keep-Alive"))
	l.response = resp
	switch class {
	case bamboorail.ResponseNotRun:
		l.result, l.err = balance.Refused, l.refusedError(op, resp)
		return
	case bamboorail.ResponseMisdirected:
		l.result, l.err = balance.Misdirected, l.refusedError(op, resp)
		return
	}
	l.ran = true
	if class == bamboorail.ResponseInvalid {
		l.result, l.err = balance.Failed, mayHaveRun(op, bamboorail.KindMismatch, errInvalidResponse)
	}
}

// classify classifies a response. On a reused connection, a target may have repeated its
// response to an earlier call; only a new one proves that a refusal without an id belongs
// to this call.
func (l *leg) classify(resp *http.Response, reused bool) bamboorail.ResponseClass {
	x := l.x
	id := x.h.Egress.ResponseID(resp)
	if id != x.call.ID && (id != "" || reused) {
		x.h.Log.Warn("response may belong to another call", "id", x.call.ID, "target", l.target.ID.Name,
			"status", resp.StatusCode, "response-id", id, "reused-connection", reused)
		return bamboorail.ResponseInvalid
	}
	return x.h.Egress.Classify(resp, &x.call)
}

// end releases what the leg holds. It is called once.
func (l *leg) end(result balance.Result, err error) {
	l.result, l.err = result, err
	if errors.Is(err, eventstream.ErrNotContinued) {
		l.x.h.Log.Warn("answer does not continue the stream", "id", l.x.call.ID, "target", l.target.ID.Name, "via", l.neighbor, "error", err)
	}
	if l.response != nil {
		l.response.Body.Close()
	}
	l.cancel(nil)
	l.releaseMessage()
	if l.span != nil {
		endSpan(l.span, err)
	}
	took := time.Since(l.sentAt)
	l.release(result, took)
	if entry := l.describe(took); entry != "" {
		l.trail = append(l.trail, entry)
	}
	if l.sent && l.neighbor == "" {
		l.reached = append(l.reached, l.target.ID.Name)
	}
	if l.neighbor != "" {
		l.addForwardedAvoid()
		return
	}
	if err == nil || !l.found || result == balance.Abandoned {
		return
	}
	if result != balance.Misdirected || l.reservation.Assumed {
		l.avoid = append(l.avoid, l.target.ID.Name)
	}
}

// addForwardedAvoid adds the targets that failed the call at another instance.
func (l *leg) addForwardedAvoid() {
	l.avoid = append(l.avoid, l.report().Avoid...)
	if l.err != nil && l.response != nil && l.target.ID.Name != "" {
		l.avoid = append(l.avoid, l.target.ID.Name)
	}
}

// newRequest builds the request to the target. Method, path and body are byte
// for byte those of the caller.
func (l *leg) newRequest() *http.Request {
	x := l.x
	target := &url.URL{Scheme: "http", Host: l.target.Address, RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	if path := x.path(); strings.HasPrefix(path, "//") {
		target.Path, target.RawPath = x.r.URL.Path, x.r.URL.RawPath
	} else {
		target.Opaque = path
	}
	req := &http.Request{
		Method: x.r.Method, URL: target, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: newSingleUseBody(x.body), ContentLength: int64(len(x.body)),
	}
	x.h.Egress.Encode(req, &x.call, bamboorail.Attempt{
		Target: l.target.ID, Remaining: time.Until(x.deadline), AdapterVersion: l.reservation.Version,
		LastEvent: l.start.lastEvent, Priority: x.route.Priority,
	})
	return req
}
