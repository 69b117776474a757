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
	// eventTimeout is the time without an event after which a resumable stream
	// continues at another target. Callers disconnect after two seconds without
	// an event (page PROTOCOL).
	eventTimeout = 1200 * time.Millisecond
	// resumeTimeout is the time within which another target must take over an
	// interrupted stream, before its caller disconnects.
	resumeTimeout = 1500 * time.Millisecond
	// maxBufferedAnswer is the largest answer that is read completely before it
	// is forwarded, so that a truncated one can be replaced.
	maxBufferedAnswer = 256 << 10
	// readSize is the buffer size for reading a stream.
	readSize = 16 << 10
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
	x.trail = append(x.trail, fmt.Sprintf("%s@%d wait=%d took=%d %s", reservation.Target.ID.Name, reservation.Version,
		sent.Sub(started).Milliseconds(), time.Since(sent).Milliseconds(), outcome(err)))
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
			Call: &x.call, Route: x.route, Service: x.service, Avoid: x.avoid,
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
		if reservation.Valid() {
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
	x.h.pool.limitIdle(reservation.Target.ID, resp.Header.Get("Keep-Alive"))
	switch x.h.Egress.Classify(resp, &x.call) {
	case bamboorail.ResponseNotRun:
		return balance.Refused, x.refusedError(op, resp)
	case bamboorail.ResponseMisdirected:
		return balance.Misdirected, x.refusedError(op, resp)
	case bamboorail.ResponseInvalid:
		x.runs++
		return balance.Failed, mayHaveRun(op, bamboorail.KindMismatch, errInvalidResponse)
	}
	x.runs++
	watchdog.Stop()
	return x.forwardAnswer(ctx, cancel, resp)
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
		return balance.Unreachable, mayHaveRun(op, bamboorail.KindDeadlineExceeded, errAttemptTimeout)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindDeadlineExceeded, err)
	case ctx.Err() != nil:
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	return balance.Unreachable, mayHaveRun(op, bamboorail.KindUnavailable, err)
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

// forwardAnswer forwards the response of a target to the caller.
func (x *exchange) forwardAnswer(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response) (balance.Result, error) {
	const op = "pass-answer"
	if x.route.Streaming && resp.StatusCode == http.StatusOK {
		return x.forwardStream(ctx, cancel, resp)
	}
	if x.committed || (resp.StatusCode >= http.StatusInternalServerError && x.mayRetryAnswer()) {
		// The failure of a second target must not end the stream of the first
		// as if it were complete.
		return balance.Failed, mayHaveRun(op, bamboorail.KindTargetFailed, fmt.Errorf("the target answered with status %d", resp.StatusCode))
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer))
	if err != nil {
		return x.truncatedError(ctx, op, err)
	}
	result := balance.Answered
	if resp.StatusCode >= http.StatusInternalServerError {
		result = balance.Failed
	}
	if len(head) < maxBufferedAnswer {
		resp.ContentLength = int64(len(head))
	}
	x.commit(resp)
	if _, err := x.w.Write(head); err != nil {
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	if len(head) < maxBufferedAnswer {
		return result, nil
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		return x.truncatedError(ctx, op, err)
	}
	return result, nil
}

// mayRetryAnswer reports whether a call that the target answered with a failure
// may be run again.
func (x *exchange) mayRetryAnswer() bool {
	return x.route.Repeat != bamboorail.RepeatNever && x.runs < x.route.MaxAttempts && x.sent < maxSent &&
		time.Until(x.deadline) > x.route.Objective/2 && x.budget().Available(time.Now())
}

// truncatedError returns the failure of an answer that did not arrive
// completely.
func (x *exchange) truncatedError(ctx context.Context, op string, err error) (balance.Result, error) {
	switch {
	case errors.Is(context.Cause(ctx), errEventTimeout):
		return balance.Unreachable, mayHaveRun(op, bamboorail.KindTruncated, errEventTimeout)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindDeadlineExceeded, err)
	case ctx.Err() != nil:
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	return balance.Failed, mayHaveRun(op, bamboorail.KindTruncated, err)
}

// commit sends the response headers to the caller. A resumed stream keeps the
// headers of its first target.
func (x *exchange) commit(resp *http.Response) {
	if x.committed {
		return
	}
	header := x.w.Header()
	for name, values := range resp.Header {
		if name == "Connection" || name == "Keep-Alive" || name == "Transfer-Encoding" || name == "Content-Length" || name == "Trailer" {
			continue
		}
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value stops net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", fmt.Sprint(resp.ContentLength))
	}
	x.committed, x.status, x.firstByte = true, resp.StatusCode, time.Since(x.received)
	x.w.WriteHeader(resp.StatusCode)
}

// forwardStream forwards events as they arrive.
func (x *exchange) forwardStream(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response) (balance.Result, error) {
	const op = "pass-stream"
	resumable := x.route.Repeat == bamboorail.RepeatResume
	x.commit(resp)
	flusher := http.NewResponseController(x.w)
	watched := resumable && x.runs < x.route.MaxAttempts
	eventTimer := time.AfterFunc(eventTimeout, func() { cancel(errEventTimeout) })
	defer eventTimer.Stop()
	if !watched {
		eventTimer.Stop()
	}
	x.events.discardPartial()
	buffer := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			forwarded, sendErr := x.forwardChunk(flusher, buffer[:n], resumable)
			if sendErr != nil {
				return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, sendErr)
			}
			if watched && forwarded {
				// A byte now and then is no event.
				eventTimer.Reset(eventTimeout)
			}
		}
		if errors.Is(err, io.EOF) {
			return balance.Answered, nil
		}
		if err != nil {
			return x.truncatedError(ctx, op, err)
		}
	}
}

// forwardChunk forwards bytes of a stream. Of a resumable stream it forwards
// only complete events, so that another target can continue after the last one. It
// reports whether anything was forwarded.
func (x *exchange) forwardChunk(flusher *http.ResponseController, data []byte, resumable bool) (bool, error) {
	if resumable {
		var err error
		if data, err = x.events.add(data); err != nil || len(data) == 0 {
			return false, err
		}
	}
	if _, err := x.w.Write(data); err != nil {
		return false, err
	}
	return true, flusher.Flush()
}
