package peer

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

// dialError marks an error that occurred before a connection was established.
type dialError struct{ err error }

func (d *dialError) Error() string { return "dial: " + d.err.Error() }
func (d *dialError) Unwrap() error { return d.err }

// callError returns the error of a failed call. Without an established connection
// nothing was sent, so the request was not run.
func callError(op string, err error) error {
	var d *dialError
	outcome := bamboorail.OutcomeMayHaveRun
	if errors.As(err, &d) {
		outcome = bamboorail.OutcomeNotRun
	}
	return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindUnavailable, Outcome: outcome, Err: err}}
}

// ConnectionRefused reports whether err shows that no process listens on the
// address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// encodeEnd encodes the result of a dispatch.
func encodeEnd(err error) *wire.End {
	if err == nil {
		return &wire.End{Ok: true}
	}
	f := bamboorail.FailureOf(err)
	message := ""
	if f.Err != nil {
		message = f.Err.Error()
	}
	return &wire.End{
		Op: f.Op, Kind: string(f.Kind), Outcome: string(f.Outcome),
		RetryAfterMicros: f.RetryAfter.Microseconds(), Message: message,
	}
}

// decodeEnd decodes the result of a dispatch.
func decodeEnd(e *wire.End) error {
	if e.GetOk() {
		return nil
	}
	return &Error{bamboorail.Failure{
		Op: e.GetOp(), Kind: bamboorail.Kind(e.GetKind()), Outcome: bamboorail.Outcome(e.GetOutcome()),
		RetryAfter: time.Duration(e.GetRetryAfterMicros()) * time.Microsecond, Err: errors.New(e.GetMessage()),
	}}
}

func requestIDMismatch(got, want string) error {
	return &Error{bamboorail.Failure{
		Op: "dispatch", Kind: bamboorail.KindMismatch, Outcome: bamboorail.OutcomeMayHaveRun,
		Err: fmt.Errorf("event has request id %q, expected %q", got, want),
	}}
}
