package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/eventstream"
)

// describe returns the entry of the leg in the trail, empty if nothing was sent.
func (l *leg) describe(took time.Duration) string {
	suffix := outcome(l.err) + causeOf(l.err)
	if l.standby {
		suffix += " standby"
	}
	switch {
	case l.neighbor != "" && !l.unsent:
		return fmt.Sprintf("via %s took=%d %s", l.neighbor, took.Milliseconds(), suffix)
	case !l.found:
		return ""
	}
	return fmt.Sprintf("%s@%d software=%s wait=%d took=%d %s", l.target.ID.Name, l.reservation.Version,
		l.target.Software, l.sentAt.Sub(l.started).Milliseconds(), took.Milliseconds(), suffix)
}

func outcome(err error) string {
	if err == nil {
		return "answered"
	}
	f := bamboorail.FailureOf(err)
	return string(f.Kind) + "/" + string(f.Outcome)
}

// causeOf names what ended an attempt without an answer, to distinguish a timeout of
// this instance from a failure of the target or of the connection.
func causeOf(err error) string {
	switch {
	case errors.Is(err, errEventTimeout), errors.Is(err, errAttemptTimeout):
		return " silent"
	case errors.Is(err, errSuperseded):
		return " superseded"
	case errors.Is(err, errOutdated):
		return " outdated"
	case errors.Is(err, syscall.ETIMEDOUT):
		return " unacknowledged"
	case errors.Is(err, eventstream.ErrNotContinued):
		return " not-continued"
	case isRejected(err):
		return " rejected"
	case closedByTarget(err):
		return " closed"
	}
	return ""
}

// refusedError returns the failure of a call that the target refused to run.
func (l *leg) refusedError(op string, resp *http.Response) error {
	err := fmt.Errorf("the target refused with status %d", resp.StatusCode)
	if l.start.runs > 0 {
		return mayHaveRun(op, bamboorail.KindOverloaded, err)
	}
	return notRun(op, bamboorail.KindOverloaded, defaultRetryAfter, err)
}

// transportError returns the failure of a call without a response. Only a call of which
// nothing was sent is certain not to run at the target.
func (l *leg) transportError(op string, err error, unsent bool) (balance.Result, error) {
	var dial *net.OpError
	if unsent || errors.As(err, &dial) && dial.Op == "dial" {
		// The call did not reach the target, so it does not count against the
		// budget.
		l.sent = false
		result := balance.Unreachable
		if l.ctx.Err() != nil {
			result, _ = l.canceledError(op, bamboorail.KindUnavailable, err)
		}
		if l.start.runs > 0 {
			return result, mayHaveRun(op, bamboorail.KindUnavailable, err)
		}
		return result, notRun(op, bamboorail.KindUnavailable, defaultRetryAfter, err)
	}
	l.ran = true
	if result, err := l.canceledError(op, bamboorail.KindDeadlineExceeded, err); err != nil {
		return result, err
	}
	if isRejected(err) {
		return balance.Failed, mayHaveRun(op, bamboorail.KindTargetFailed, err)
	}
	if closedByTarget(err) {
		return balance.Dropped, mayHaveRun(op, bamboorail.KindUnavailable, err)
	}
	return balance.Unreachable, mayHaveRun(op, bamboorail.KindUnavailable, err)
}

// canceledError returns the failure of a leg whose context ended, or no error. A leg that
// was replaced because its target stalled has the given kind.
func (l *leg) canceledError(op string, silent bamboorail.Kind, err error) (balance.Result, error) {
	cause := context.Cause(l.ctx)
	switch {
	case errors.Is(cause, errAttemptTimeout), errors.Is(cause, errEventTimeout):
		return balance.Unreachable, mayHaveRun(op, silent, cause)
	case errors.Is(cause, errSuperseded):
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, cause)
	case errors.Is(cause, errOutdated):
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindOverloaded, cause)
	case errors.Is(l.ctx.Err(), context.DeadlineExceeded):
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindDeadlineExceeded, err)
	case l.ctx.Err() != nil:
		return balance.Abandoned, mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	return balance.Answered, nil
}
