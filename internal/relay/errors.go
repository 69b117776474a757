package relay

import (
	"errors"
	"time"

	"bamboorail.example/bamboorail"
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
	errNoConfiguration = errors.New("no configuration received yet")
	errUnknownKey      = errors.New("the key is missing or unknown")
	errKeyUnconfirmed  = errors.New("the key is unknown to a configuration that may be out of date")
	errNoRoute         = errors.New("no route matches the host and path")
	errInvalidResponse = errors.New("the response does not belong to this call")
	errNoLength        = errors.New("the HTTP/1.0 request has no Content-Length")
	errTooLate         = errors.New("the adapter load would complete too late for the caller")
	errOutdated        = errors.New("the target did not begin to run the call before its adapter version expired")
	errEventTimeout    = errors.New("no stream event arrived in time")
	errAttemptTimeout  = errors.New("the target did not answer in time")
)
