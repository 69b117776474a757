package placer

import (
	"errors"
	"time"

	"bamboorail.example/bamboorail"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func fail(op string, kind bamboorail.Kind, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: bamboorail.OutcomeNotRun, Err: err}}
}

func failRetry(op string, kind bamboorail.Kind, after time.Duration, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: bamboorail.OutcomeNotRun, RetryAfter: after, Err: err}}
}

var (
	errNotHolder  = errors.New("this instance does not hold the zone")
	errNoPlace    = errors.New("no engine can take the call now")
	errCrowded    = errors.New("so many calls wait that this one would be served too late")
	errNoEngine   = errors.New("no engine is known")
	errNoHolder   = errors.New("no holder of the zone is known")
	errNoReleases = errors.New("the releases of adapters are not known yet")
	errTenure     = errors.New("the lease does not allow orders now")
	errDoubt      = errors.New("the state of the engine is in doubt")
	errVictimBusy = errors.New("the evicted adapter still serves")
	errRejected   = errors.New("the engine rejected the order")
)
