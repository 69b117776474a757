package relay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
)

const (
	// attemptTimeoutFactor times the objective is the time after which a call
	// that may be repeated is sent to another target too; streams wait longer for
	// their first event.
	attemptTimeoutFactor       = 1.3
	streamAttemptTimeoutFactor = 2.5
	// resumeTimeout is the time within which another target must take over an
	// interrupted stream, before its caller disconnects.
	resumeTimeout = 1500 * time.Millisecond
)

// runLegs runs the call at one target after another, as its route permits.
func (x *exchange) runLegs(ctx context.Context) error {
	l := x.newLeg(ctx, x.legStart())
	switch {
	case x.isRepeat():
		if !x.budget().Take(time.Now()) {
			x.trail = append(x.trail, "no-budget")
			l.cancel(nil)
			return notRun("serve-forwarded", bamboorail.KindNoTarget, defaultRetryAfter, errNoBudget)
		}
		defer func() {
			if x.attempted.sent == 0 {
				x.budget().Return(time.Now())
			}
		}()
	case l.neighbor == "":
		// The instance that sends the call to a target counts it.
		x.budget().RecordRequest(x.received)
	}
	for {
		next, err := x.runLeg(ctx, l)
		switch {
		case err == nil:
			return nil
		case next != nil:
			l = next
			continue
		case !l.found || !x.mayRepeat(ctx, err):
			return err
		}
		next = x.newLeg(ctx, x.legStart())
		if l.sent && next.neighbor == "" && !x.budget().Take(time.Now()) {
			x.trail = append(x.trail, "no-budget")
			next.cancel(nil)
			return err
		}
		l = next
	}
}

// runLeg runs one leg to its end. If another leg was answered meanwhile, that one is
// returned with the error.
func (x *exchange) runLeg(ctx context.Context, l *leg) (*leg, error) {
	s := x.newStandby(ctx, l)
	x.standby = s
	defer s.end()
	if l.response == nil {
		l.admit = func() error {
			s.watch(x.attemptTimeout(l), errAttemptTimeout, l.start, x.attempted.add(admittedCounts))
			return nil
		}
		l.open()
	}
	counted := l.counts()
	x.attempted = x.attempted.add(counted)
	x.recordNeighbor(l)
	next := x.replaceFailure(ctx, l)
	if l.err == nil && !s.progress(l.start.lastEvent, l.start.sequence) {
		l.end(balance.Unreachable, mayHaveRun("send-call", bamboorail.KindDeadlineExceeded, errAttemptTimeout))
	}
	if l.err == nil {
		l.end(x.forwardAnswer(l))
		l.found = l.neighbor == "" || l.isUseful(l.err)
		// Another instance may have repeated the call after the head of its answer.
		x.attempted.runs += l.counts().runs - counted.runs
	}
	x.record(l)
	if l.err != nil && next == nil {
		next = s.takeOver(ctx)
	}
	s.end()
	x.recordStandbys(next)
	return next, l.err
}

// replaceFailure returns the standby leg that replaces the failure with which the target of
// l answered, if one is answered in time.
func (x *exchange) replaceFailure(ctx context.Context, l *leg) *leg {
	if l.err != nil || l.response.StatusCode < http.StatusInternalServerError || !x.standby.isRunning() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, x.attemptTimeout(l))
	defer cancel()
	next := x.standby.takeOver(ctx)
	if next != nil {
		l.end(balance.Failed, targetFailed(l.response))
	}
	return next
}

// recordStandbys records the attempts and targets of the standby legs other than next.
func (x *exchange) recordStandbys(next *leg) {
	for _, l := range x.standby.legs {
		if l == next {
			continue
		}
		x.attempted = x.attempted.add(l.limitedCounts())
		if !l.unsent {
			x.recordNeighbor(l)
		}
		x.record(l)
	}
	if x.standby.noBudget {
		x.trail = append(x.trail, "no-budget standby")
	}
}

// recordNeighbor records the instance of a leg that has been opened.
func (x *exchange) recordNeighbor(l *leg) {
	if l.neighbor == "" {
		return
	}
	x.neighbors = append(x.neighbors, l.neighbor)
	if !l.hasRun() {
		x.failed = append(x.failed, l.neighbor)
	}
}

// record adds the targets and the trail of a leg that has ended to those of the call.
func (x *exchange) record(l *leg) {
	x.avoid = append(x.avoid, l.avoid...)
	x.reached = append(x.reached, l.reached...)
	x.trail = append(x.trail, l.trail...)
}

// concluded adjusts a failure to all attempts: a call that was sent once may have run,
// whatever prevented another attempt.
func (x *exchange) concluded(ctx context.Context, err error) error {
	if err == nil || x.attempted.runs == 0 || !bamboorail.NotRun(err) {
		return err
	}
	kind := bamboorail.KindOf(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = bamboorail.KindDeadlineExceeded
	}
	return mayHaveRun("repeat-call", kind, err)
}

// mayRepeat reports whether the call may be sent to another target after err.
func (x *exchange) mayRepeat(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if bamboorail.NotRun(err) && x.attempted.runs == 0 {
		return x.attempted.attempts < maxAttempts && x.attempted.sent < maxSent
	}
	return x.permits(x.attempted, x.legStart())
}

// permits reports whether the route permits another attempt after those in c, even though
// the call may have run.
func (x *exchange) permits(c counts, start legStart) bool {
	if c.attempts >= maxAttempts || c.sent >= maxSent || c.runs >= x.maxRuns() {
		return false
	}
	switch x.route.Repeat {
	case bamboorail.RepeatAlways:
		return !start.committed
	case bamboorail.RepeatResume:
		return !start.committed || start.resumable
	}
	return false
}

// attemptTimeout returns the time to wait for response headers before the call is sent
// to another target too, or 0 if it may not be.
func (x *exchange) attemptTimeout(l *leg) time.Duration {
	if l.start.runs+1 >= x.maxRuns() || x.route.Repeat == bamboorail.RepeatNever {
		return 0
	}
	factor := attemptTimeoutFactor
	if x.route.Streaming {
		factor = streamAttemptTimeoutFactor
	}
	return time.Duration(factor * float64(x.route.Objective))
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

// singleUseBody is a body that cannot be sent again. If it could, net/http
// might retry a request by itself.
type singleUseBody struct{ *bytes.Reader }

func newSingleUseBody(body []byte) singleUseBody { return singleUseBody{bytes.NewReader(body)} }

// Close does nothing: the body belongs to the call.
func (singleUseBody) Close() error { return nil }

// path returns the path of the call exactly as the caller sent it.
func (x *exchange) path() string {
	if path, _, _ := strings.Cut(x.r.RequestURI, "?"); strings.HasPrefix(path, "/") {
		return path
	}
	return x.r.URL.EscapedPath()
}
