package platform

import (
	"time"

	"bamboorail.example/bamboorail"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func fail(op string, kind bamboorail.Kind, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Err: err}}
}

func failRetry(op string, kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, RetryAfter: after, Err: err}}
}
