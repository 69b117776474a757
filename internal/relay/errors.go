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
	errNoConfiguration = errors.New("no configuration is known yet")
	errNoRoute         = errors.New("no route matches the host and path")
	errForeign         = errors.New("the bytes received are not an answer to this call")
	errNoLength        = errors.New("the request says neither the length of its body nor that it has none")
	errTooLate         = errors.New("the adapter is loaded too late for the caller")
	errGap             = errors.New("no event arrived in time")
	errTryTimeout      = errors.New("the target did not answer in time")
)
