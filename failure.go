package bamboorail

import (
	"errors"
	"fmt"
	"time"
)

// Outcome states what is known about the execution of a request without a
// complete response.
type Outcome string

// The outcomes of a failed request.
const (
	// OutcomeNotRun means that no target executed any part of the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeMayHaveRun means that a target may have executed the request.
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// Kind classifies an error. Kinds are sent between processes as text.
type Kind string

// The kinds that are visible to callers and operators.
const (
	KindBadRequest       Kind = "bad-request"
	KindBadDeadline      Kind = "bad-deadline"
	KindTooLarge         Kind = "too-large"
	KindUnauthenticated  Kind = "unauthenticated"
	KindForbidden        Kind = "forbidden"
	KindQuotaExceeded    Kind = "quota-exceeded"
	KindUnknownAdapter   Kind = "unknown-adapter"
	KindUnknownVersion   Kind = "unknown-version"
	KindUnknownService   Kind = "unknown-service"
	KindUnknownTarget    Kind = "unknown-target"
	KindNotFound         Kind = "not-found"
	KindConflict         Kind = "conflict"
	KindOverloaded       Kind = "overloaded"
	KindNoTarget         Kind = "no-target"
	KindUnknownOrigin    Kind = "unknown-origin"
	KindPromptBlocked    Kind = "prompt-blocked"
	KindRequestBlocked   Kind = "request-blocked"
	KindNotOwner         Kind = "not-owner"
	KindUnavailable      Kind = "unavailable"
	KindDeadlineExceeded Kind = "deadline-exceeded"
	KindLoadFailed       Kind = "load-failed"
	KindStaleHandle      Kind = "stale-handle"
	KindStaleFencing     Kind = "stale-fencing-number"
	KindMismatch         Kind = "answer-mismatch"
	KindTruncated        Kind = "answer-truncated"
	KindAlreadySeen      Kind = "already-seen"
	KindCancelled        Kind = "canceled"
	KindTargetFailed     Kind = "target-failed"
	KindInvalidRecord    Kind = "invalid-record"
	KindInternal         Kind = "internal"
)

// Failure is the common part of the error types of this module. The error type
// of each package embeds it.
type Failure struct {
	// Op is the operation that failed, in kebab case.
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Outcome is empty where the failure does not concern a request.
	Outcome Outcome
	// RetryAfter is the suggested delay before a retry, or 0.
	RetryAfter time.Duration
	// Err is the cause.
	Err error
}

// Error returns the operation, the kind and the cause.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s: %s", f.Op, f.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", f.Op, f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Detail returns the failure itself, for FailureOf.
func (f *Failure) Detail() *Failure { return f }

// FailureOf returns the failure in the chain of err. An error without one yields
// a failure of kind internal with the outcome may-have-run.
func FailureOf(err error) *Failure {
	var d interface{ Detail() *Failure }
	if errors.As(err, &d) {
		return d.Detail()
	}
	return &Failure{Op: "request", Kind: KindInternal, Outcome: OutcomeMayHaveRun, Err: err}
}

// KindOf returns the kind of err.
func KindOf(err error) Kind { return FailureOf(err).Kind }

// NotRun reports whether err proves that no target executed the request.
func NotRun(err error) bool { return FailureOf(err).Outcome == OutcomeNotRun }
