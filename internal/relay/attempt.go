package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// attemptTimeoutFactor times the objective is the time after which a call
	// that may be repeated is sent to another target; streams wait longer for
	// their first event.
	attemptTimeoutFactor       = 1.3
	streamAttemptTimeoutFactor = 2.5
	// resumeTimeout is the time within which another target must take over an
	// interrupted stream, before its caller disconnects.
	resumeTimeout = 1500 * time.Millisecond
)

// attempt reserves a target and runs the call there. It reports whether a
// target was found; the chooser has already searched for as long as it is
// useful.
func (x *exchange) attempt(ctx context.Context) (bool, error) {
	started := time.Now()
	if x.committed {
		x.startBy = started.Add(resumeTimeout)
	}
	chooseCtx, span := startSpan(ctx, x.h.Tracer, "choose")
	reservation, err := x.reserveTarget(chooseCtx)
	endSpan(span, err)
	if err != nil {
		return false, x.withEarlierAttempts(ctx, err, "choose-target")
	}
	sent := time.Now()
	sendCtx, span := startSpan(ctx, x.h.Tracer, "target "+reservation.Target.ID.Name)
	result, err := x.send(sendCtx, reservation)
	endSpan(span, err)
	reservation.Done(result, time.Since(sent))
	x.attempts++
	x.trail = append(x.trail, fmt.Sprintf("%s@%d software=%s wait=%d took=%d %s", reservation.Target.ID.Name, reservation.Version,
		reservation.Target.Software, sent.Sub(started).Milliseconds(), time.Since(sent).Milliseconds(), outcome(err)+causeOf(err)))
	if err != nil && (result != balance.Misdirected || reservation.Assumed) {
		x.avoid = append(x.avoid, reservation.Target.ID.Name)
	}
	return true, err
}

// reserveTarget chooses a target and waits until it can run the call. If the
// target starts to leave meanwhile, another one is chosen.
func (x *exchange) reserveTarget(ctx context.Context) (Reservation, error) {
	const op = "await-adapter"
	for {
		reservation, err := x.h.Chooser.Choose(ctx, ChooseRequest{
			Call: &x.call, Route: x.route, Service: x.service, Avoid: x.avoid, Software: x.software, Runs: x.runs,
			Received: x.received, StartBy: x.startBy,
		})
		if err != nil {
			x.trail = append(x.trail, "no-place")
			return Reservation{}, err
		}
		if reservation.ReadyAt.After(x.startBy) {
			reservation.Done(balance.Abandoned, 0)
			return Reservation{}, notRun(op, bamboorail.KindOverloaded, time.Until(reservation.ReadyAt), errTooLate)
		}
		if err := task.Sleep(ctx, time.Until(reservation.ReadyAt)); err != nil {
			reservation.Done(balance.Abandoned, 0)
			return Reservation{}, notRun(op, bamboorail.KindDeadlineExceeded, defaultRetryAfter, err)
		}
		if reservation.Valid() && (x.software == "" || reservation.Target.Software == x.software) {
			return reservation, nil
		}
		reservation.Done(balance.Abandoned, 0)
		x.avoid = append(x.avoid, reservation.Target.ID.Name)
		x.trail = append(x.trail, reservation.Target.ID.Name+" left")
	}
}

func outcome(err error) string {
	if err == nil {
		return "answered"
	}
	f := bamboorail.FailureOf(err)
	return string(f.Kind) + "/" + string(f.Outcome)
}

// causeOf names what ended an attempt without an answer, to tell a timeout of this
// instance from a failure of the target or of the connection.
func causeOf(err error) string {
	switch {
	case errors.Is(err, errEventTimeout), errors.Is(err, errAttemptTimeout):
		return " silent"
	case errors.Is(err, syscall.ETIMEDOUT):
		return " unacknowledged"
	case closedByTarget(err):
		return " closed"
	}
	return ""
}

// withEarlierAttempts adjusts a failure to the earlier attempts: a call that
// was sent once may have run, whatever prevented the next attempt.
func (x *exchange) withEarlierAttempts(ctx context.Context, err error, op string) error {
	if x.runs > 0 {
		kind := bamboorail.KindOf(err)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			kind = bamboorail.KindDeadlineExceeded
		}
		return mayHaveRun(op, kind, err)
	}
	return err
}

// send runs the call at one target. The result rates the target, the error
// states what is known about the call.
func (x *exchange) send(ctx context.Context, reservation Reservation) (balance.Result, error) {
	const op = "send-call"
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req := x.newRequest(reservation)
	x.sent++
	watchdog := time.AfterFunc(x.attemptTimeout(), func() { cancel(errAttemptTimeout) })
	defer watchdog.Stop()
	single := x.route.Repeat == bamboorail.RepeatNever && !x.route.Streaming
	resp, err := x.h.pool.transport(reservation.Target, single).RoundTrip(req.WithContext(ctx))
	if err != nil {
		return x.transportError(ctx, op, err)
	}
	defer resp.Body.Close()
	class := x.h.Egress.Classify(resp, &x.call)
	x.advise(reservation.Target.ID, resp, class)
	x.h.pool.limitIdle(reservation.Target.ID, resp.Header.Get("Keep-Alive"))
	switch class {
	case bamboorail.ResponseNotRun:
		return balance.Refused, x.refusedError(op, resp)
	case bamboorail.ResponseMisdirected:
		return balance.Misdirected, x.refusedError(op, resp)
	case bamboorail.ResponseInvalid:
		x.runs++
		return balance.Failed, mayHaveRun(op, bamboorail.KindMismatch, errInvalidResponse)
	}
	x.runs++
	x.target = reservation.Target.ID.Name
	watchdog.Stop()
	return x.forwardAnswer(ctx, cancel, reservation.Target, resp)
}

// advise passes on what a target says of itself in its answer. A misdirected call
// was answered by another target.
func (x *exchange) advise(id bamboorail.TargetID, resp *http.Response, class bamboorail.ResponseClass) {
	a, err := x.h.Egress.Advisory(resp)
	if err != nil {
		x.h.Log.Warn("advisory of target ignored", "id", x.call.ID, "target", id.Name, "error", err)
	}
	if class != bamboorail.ResponseMisdirected {
		a.Partial = a.Partial || class == bamboorail.ResponseInvalid
		x.h.Advise(id, a)
	}
}

// refusedError returns the failure of a call that the target refused to run.
func (x *exchange) refusedError(op string, resp *http.Response) error {
	err := fmt.Errorf("the target refused with status %d", resp.StatusCode)
	if x.runs > 0 {
		return mayHaveRun(op, bamboorail.KindOverloaded, err)
	}
	return notRun(op, bamboorail.KindOverloaded, defaultRetryAfter, err)
}

// attemptTimeout returns the time to wait for response headers before the call
// is sent to another target, or the time to its deadline if it may not be.
func (x *exchange) attemptTimeout() time.Duration {
	rest := time.Until(x.deadline)
	if x.runs+1 >= x.route.MaxAttempts || x.route.Repeat == bamboorail.RepeatNever || x.route.Objective <= 0 {
		return rest
	}
	factor := attemptTimeoutFactor
	if x.route.Streaming {
		factor = streamAttemptTimeoutFactor
	}
	return min(rest, time.Duration(factor*float64(x.route.Objective)))
}

// transportError returns the failure of a call without a response. Only a
// connection that could not be established proves that the target did not run
// the call.
func (x *exchange) transportError(ctx context.Context, op string, err error) (balance.Result, error) {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		// The call did not reach the target, so it does not count against the
		// budget.
		x.sent--
		if x.runs > 0 {
			return balance.Unreachable, mayHaveRun(op, bamboorail.KindUnavailable, err)
		}
		return balance.Unreachable, notRun(op, bamboorail.KindUnavailable, defaultRetryAfter, err)
	}
	x.runs++
	switch {
	case errors.Is(context.Cause(ctx), errAttemptTimeout):
		x.h.Detour.RecordSilence()
		return balance.Unreachable, mayHaveRun(op, bamboorail.KindDeadlineExceeded, errAttemptTimeout)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindDeadlineExceeded, err)
	case ctx.Err() != nil:
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	if closedByTarget(err) {
		return balance.Dropped, mayHaveRun(op, bamboorail.KindUnavailable, err)
	}
	return balance.Unreachable, mayHaveRun(op, bamboorail.KindUnavailable, err)
}

// closedByTarget reports whether the target ended the connection, in contrast to a
// connection that timed out.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// singleUseBody is a body that cannot be sent again. If it could, net/http
// might retry a request by itself.
type singleUseBody struct{ *bytes.Reader }

// Close does nothing: the body belongs to the call.
func (singleUseBody) Close() error { return nil }

// newRequest builds the request to the target. Method, path and body are byte
// for byte those of the caller.
func (x *exchange) newRequest(reservation Reservation) *http.Request {
	target := &url.URL{Scheme: "http", Host: reservation.Target.Address, RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	if path := x.path(); strings.HasPrefix(path, "//") {
		target.Path, target.RawPath = x.r.URL.Path, x.r.URL.RawPath
	} else {
		target.Opaque = path
	}
	req := &http.Request{
		Method: x.r.Method, URL: target, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: singleUseBody{bytes.NewReader(x.body)}, ContentLength: int64(len(x.body)),
	}
	x.h.Egress.Encode(req, &x.call, bamboorail.Attempt{
		Target: reservation.Target.ID, Remaining: time.Until(x.deadline), AdapterVersion: reservation.Version,
		LastEvent: x.events.lastID, Priority: x.route.Priority,
	})
	return req
}

// path returns the path of the call exactly as the caller sent it.
func (x *exchange) path() string {
	if path, _, _ := strings.Cut(x.r.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return x.r.URL.EscapedPath()
}
