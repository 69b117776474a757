package relay

import (
	"errors"
	"io"
	"syscall"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/httpport"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func notRun(op string, kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: bamboorail.OutcomeNotRun, RetryAfter: after, Err: err}}
}

func mayHaveRun(op string, kind bamboorail.Kind, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: bamboorail.OutcomeMayHaveRun, Err: err}}
}

var (
	errNoConfiguration  = errors.New("no configuration received yet")
	errUnknownKey       = errors.New("the key is missing or unknown")
	errKeyUnconfirmed   = errors.New("the key is unknown to a configuration that may be out of date")
	errNoRoute          = errors.New("no route matches the host and path")
	errOldConfiguration = errors.New("this instance has an older configuration than the one that forwarded the call")
	errInvalidResponse  = errors.New("the response does not belong to this call")
	errNoLength         = errors.New("the HTTP/1.0 request has no Content-Length")
	errTooLate          = errors.New("the adapter load would complete too late for the caller")
	errOutdated         = errors.New("the target did not begin to run the call before its adapter version expired")
	errEventTimeout     = errors.New("no stream event arrived in time")
	errAttemptTimeout   = errors.New("the target did not answer in time")
)

// closedByTarget reports whether the target ended the connection, in contrast to a
// connection that timed out.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// isRejected reports whether the target sent an answer that is not valid or not complete.
func isRejected(err error) bool {
	var rejected *httpport.Error
	return errors.As(err, &rejected)
}
