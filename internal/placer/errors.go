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
	errNotHolder       = errors.New("this instance does not hold the zone's lease")
	errNoCapacity      = errors.New("no engine has capacity for the call")
	errQueueFull       = errors.New("too many waiting calls; the call would be served too late")
	errTargetsLimited  = errors.New("all targets are at the limits of their request rates")
	errTargetsBusy     = errors.New("all targets are busy and fail if they have to refuse")
	errTargetsFull     = errors.New("all targets are full and the calls that wait for them would keep this one too long")
	errAnswerTooLate   = errors.New("the answer would come after the deadline of the caller")
	errTargetsQuiet    = errors.New("all targets asked for a pause")
	errNoTarget        = errors.New("no available target")
	errNoSoftware      = errors.New("no available target with the software version that began the stream")
	errNoHolder        = errors.New("no known holder of the zone")
	errReleasesUnknown = errors.New("adapter releases have not been read yet")
	errMayNotAct       = errors.New("the lease does not currently permit orders")
	errEngineUnsynced  = errors.New("the engine's state is not synced")
	errAdapterInUse    = errors.New("the adapter to be evicted is still in use")
	errOrderRejected   = errors.New("the engine rejected the order")
)
