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
	"bamboorail.example/bamboorail/internal/duty"
)

const (
	// tryFactor times the objective is the time after which a call that may
	// be repeated is sent elsewhere; streams wait longer for their first event.
	tryFactor       = 1.3
	streamTryFactor = 2.5
	// eventGap is the pause after which a resumable stream goes on elsewhere.
	// Callers leave after two seconds without an event (page PROTOCOL).
	eventGap = 1200 * time.Millisecond
	// resumeWithin is the time in which another target must have a stream that
	// broke off, before its caller leaves.
	resumeWithin = 1500 * time.Millisecond
	// holdBack is the largest answer that is read whole before it is passed
	// on, so that a broken one can be replaced.
	holdBack = 256 << 10
	// readSize is the size of one read of an answer.
	readSize = 16 << 10
)

// attempt takes a place and runs the call there. It reports whether there was
// a place; the chooser has looked for one for as long as is of use.
func (x *exchange) attempt(ctx context.Context) (bool, error) {
	asked := time.Now()
	if x.committed {
		x.startBy = asked.Add(resumeWithin)
	}
	choosing, span := startHop(ctx, x.h.Tracer, "choose")
	place, err := x.takePlace(choosing)
	endHop(span, err)
	if err != nil {
		return false, x.ended(ctx, err, "choose-target")
	}
	sent := time.Now()
	sending, span := startHop(ctx, x.h.Tracer, "target "+place.Target.ID.Name)
	result, err := x.send(sending, place)
	endHop(span, err)
	place.Done(result, time.Since(sent))
	x.attempts++
	x.trail = append(x.trail, fmt.Sprintf("%s@%d wait=%d took=%d %s", place.Target.ID.Name, place.Version,
		sent.Sub(asked).Milliseconds(), time.Since(sent).Milliseconds(), outcome(err)))
	if err != nil && (result != balance.Misdirected || place.Assumed) {
		x.avoid = append(x.avoid, place.Target.ID.Name)
	}
	return true, err
}

// takePlace chooses a target and waits until it can run the call. A target
// that leaves meanwhile is replaced.
func (x *exchange) takePlace(ctx context.Context) (Reservation, error) {
	const op = "await-adapter"
	for {
		place, err := x.h.Chooser.Choose(ctx, ChooseRequest{
			Call: &x.call, Route: x.route, Service: x.service, Avoid: x.avoid,
			Received: x.received, StartBy: x.startBy,
		})
		if err != nil {
			x.trail = append(x.trail, "no-place")
			return Reservation{}, err
		}
		if place.ReadyAt.After(x.startBy) {
			place.Done(balance.Abandoned, 0)
			return Reservation{}, notRun(op, bamboorail.KindOverloaded, time.Until(place.ReadyAt), errTooLate)
		}
		if err := duty.Sleep(ctx, time.Until(place.ReadyAt)); err != nil {
			place.Done(balance.Abandoned, 0)
			return Reservation{}, notRun(op, bamboorail.KindDeadlineExceeded, retryLater, err)
		}
		if place.Valid() {
			return place, nil
		}
		place.Done(balance.Abandoned, 0)
		x.avoid = append(x.avoid, place.Target.ID.Name)
		x.trail = append(x.trail, place.Target.ID.Name+" left")
	}
}

func outcome(err error) string {
	if err == nil {
		return "answered"
	}
	f := bamboorail.FailureOf(err)
	return string(f.Kind) + "/" + string(f.Outcome)
}

// ended replaces a failure by the one that fits what was sent before: a call
// that was sent once may have run, whatever stopped its repetition.
func (x *exchange) ended(ctx context.Context, err error, op string) error {
	if x.runs > 0 {
		kind := bamboorail.KindOf(err)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			kind = bamboorail.KindDeadlineExceeded
		}
		return mayHaveRun(op, kind, err)
	}
	return err
}

// send runs the call at one target. The result describes the target, the
// error what is known about the call.
func (x *exchange) send(ctx context.Context, p Reservation) (balance.Result, error) {
	const op = "send-call"
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req := x.request(p)
	x.arrivals++
	watchdog := time.AfterFunc(x.tryTimeout(), func() { cancel(errTryTimeout) })
	defer watchdog.Stop()
	single := x.route.Repeat == bamboorail.RepeatNever && !x.route.Streaming
	resp, err := x.h.pool.transport(p.Target, single).RoundTrip(req.WithContext(ctx))
	if err != nil {
		return x.lost(ctx, op, err)
	}
	defer resp.Body.Close()
	x.h.pool.learn(p.Target.ID, resp.Header.Get("Keep-Alive"))
	switch x.h.Egress.Classify(resp, &x.call) {
	case bamboorail.ResponseNotRun:
		return balance.Refused, x.refused(op, resp)
	case bamboorail.ResponseMisdirected:
		return balance.Misdirected, x.refused(op, resp)
	case bamboorail.ResponseInvalid:
		x.runs++
		return balance.Failed, mayHaveRun(op, bamboorail.KindMismatch, errForeign)
	}
	x.runs++
	watchdog.Stop()
	return x.pass(ctx, cancel, resp)
}

// refused is the failure of a call that the target did not run.
func (x *exchange) refused(op string, resp *http.Response) error {
	err := fmt.Errorf("the target refused with status %d", resp.StatusCode)
	if x.runs > 0 {
		return mayHaveRun(op, bamboorail.KindOverloaded, err)
	}
	return notRun(op, bamboorail.KindOverloaded, retryLater, err)
}

// tryTimeout is the time to the head of an answer after which the call goes
// to another target, or the time to its deadline.
func (x *exchange) tryTimeout() time.Duration {
	rest := time.Until(x.deadline)
	if x.runs+1 >= x.route.MaxAttempts || x.route.Repeat == bamboorail.RepeatNever || x.route.Objective <= 0 {
		return rest
	}
	factor := tryFactor
	if x.route.Streaming {
		factor = streamTryFactor
	}
	return min(rest, time.Duration(factor*float64(x.route.Objective)))
}

// lost is the failure of a call without an answer. Only a connection that was
// never made proves that nothing was run.
func (x *exchange) lost(ctx context.Context, op string, err error) (balance.Result, error) {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		// Nothing arrived, so nothing counts against the budget.
		x.arrivals--
		if x.runs > 0 {
			return balance.Unreachable, mayHaveRun(op, bamboorail.KindUnavailable, err)
		}
		return balance.Unreachable, notRun(op, bamboorail.KindUnavailable, retryLater, err)
	}
	x.runs++
	switch {
	case errors.Is(context.Cause(ctx), errTryTimeout):
		return balance.Unreachable, mayHaveRun(op, bamboorail.KindDeadlineExceeded, errTryTimeout)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindDeadlineExceeded, err)
	case ctx.Err() != nil:
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	return balance.Unreachable, mayHaveRun(op, bamboorail.KindUnavailable, err)
}

// sentBody is a body without the means to send it again, which net/http takes
// as permission to repeat a request by itself.
type sentBody struct{ *bytes.Reader }

// Close does nothing: the body stays with the call.
func (sentBody) Close() error { return nil }

// request builds the request to the target. Method, path and body are those
// of the caller, to the byte.
func (x *exchange) request(p Reservation) *http.Request {
	target := &url.URL{Scheme: "http", Host: p.Target.Address, RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	if path := x.path(); strings.HasPrefix(path, "//") {
		target.Path, target.RawPath = x.r.URL.Path, x.r.URL.RawPath
	} else {
		target.Opaque = path
	}
	req := &http.Request{
		Method: x.r.Method, URL: target, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: sentBody{bytes.NewReader(x.body)}, ContentLength: int64(len(x.body)),
	}
	x.h.Egress.Encode(req, &x.call, bamboorail.Attempt{
		Target: p.Target.ID, Remaining: time.Until(x.deadline), AdapterVersion: p.Version,
		LastEvent: x.events.last, Priority: x.route.Priority,
	})
	return req
}

// path returns the path of the call as the caller wrote it.
func (x *exchange) path() string {
	if path, _, _ := strings.Cut(x.r.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return x.r.URL.EscapedPath()
}

// pass gives an answer to the caller.
func (x *exchange) pass(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response) (balance.Result, error) {
	const op = "pass-answer"
	if x.route.Streaming && resp.StatusCode == http.StatusOK {
		return x.passStream(ctx, cancel, resp)
	}
	if x.committed || (resp.StatusCode >= http.StatusInternalServerError && x.canRunAgain()) {
		// The failure of a second target must not end the stream of the first
		// as if it were whole.
		return balance.Failed, mayHaveRun(op, bamboorail.KindTargetFailed, fmt.Errorf("the target answered with status %d", resp.StatusCode))
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, holdBack))
	if err != nil {
		return x.cut(ctx, op, err)
	}
	result := balance.Answered
	if resp.StatusCode >= http.StatusInternalServerError {
		result = balance.Failed
	}
	if len(head) < holdBack {
		resp.ContentLength = int64(len(head))
	}
	x.commit(resp)
	if _, err := x.w.Write(head); err != nil {
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	if len(head) < holdBack {
		return result, nil
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		return x.cut(ctx, op, err)
	}
	return result, nil
}

// canRunAgain reports whether a failure of the target itself is worth another
// run.
func (x *exchange) canRunAgain() bool {
	return x.route.Repeat != bamboorail.RepeatNever && x.runs < x.route.MaxAttempts && x.arrivals < maxArrivals &&
		time.Until(x.deadline) > x.route.Objective/2 && x.budget().Available(time.Now())
}

// cut is the failure of an answer that did not arrive whole.
func (x *exchange) cut(ctx context.Context, op string, err error) (balance.Result, error) {
	switch {
	case errors.Is(context.Cause(ctx), errGap):
		return balance.Unreachable, mayHaveRun(op, bamboorail.KindTruncated, errGap)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindDeadlineExceeded, err)
	case ctx.Err() != nil:
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	return balance.Failed, mayHaveRun(op, bamboorail.KindTruncated, err)
}

// commit sends the head of the answer to the caller. The head of a resumed
// stream stays that of its first target.
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
		// A nil value keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", fmt.Sprint(resp.ContentLength))
	}
	x.committed, x.status, x.firstByte = true, resp.StatusCode, time.Since(x.received)
	x.w.WriteHeader(resp.StatusCode)
}

// passStream forwards events as they arrive.
func (x *exchange) passStream(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response) (balance.Result, error) {
	const op = "pass-stream"
	resumable := x.route.Repeat == bamboorail.RepeatResume
	x.commit(resp)
	flusher := http.NewResponseController(x.w)
	watched := resumable && x.runs < x.route.MaxAttempts
	gap := time.AfterFunc(eventGap, func() { cancel(errGap) })
	defer gap.Stop()
	if !watched {
		gap.Stop()
	}
	x.events.drop()
	buffer := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if watched {
				gap.Reset(eventGap)
			}
			if sendErr := x.forward(flusher, buffer[:n], resumable); sendErr != nil {
				return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return balance.Answered, nil
		}
		if err != nil {
			return x.cut(ctx, op, err)
		}
	}
}

// forward passes bytes of a stream on. Of a resumable stream only whole
// events are, so that another target can go on after the last.
func (x *exchange) forward(flusher *http.ResponseController, data []byte, resumable bool) error {
	if resumable {
		var err error
		if data, err = x.events.add(data); err != nil || len(data) == 0 {
			return err
		}
	}
	if _, err := x.w.Write(data); err != nil {
		return err
	}
	return flusher.Flush()
}
