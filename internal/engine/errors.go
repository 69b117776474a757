package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bamboorail.example/bamboorail"
)

// Error is the error type of this package.
type Error struct{ bamboorail.Failure }

func failed(op string, kind bamboorail.Kind, outcome bamboorail.Outcome, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Outcome: outcome, Err: err}}
}

func notRun(op string, kind bamboorail.Kind, err error) error {
	return failed(op, kind, bamboorail.OutcomeNotRun, err)
}

func mayHaveRun(op string, kind bamboorail.Kind, err error) error {
	return failed(op, kind, bamboorail.OutcomeMayHaveRun, err)
}

// coldStartRetryAfter is the retry delay suggested while the base model loads.
const coldStartRetryAfter = 5 * time.Second

const maxErrorBytes = 4 << 10

// statusError converts an error status into an error. The statuses that the
// dialects define mean that the request did not run; after any other status it
// may have run.
func statusError(op string, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := fmt.Errorf("status %s: %s", resp.Status, bytes.TrimSpace(text))
	switch resp.StatusCode {
	case http.StatusNotFound:
		return notRun(op, bamboorail.KindStaleHandle, err)
	case http.StatusPreconditionFailed:
		return notRun(op, bamboorail.KindStaleFencing, err)
	case http.StatusBadRequest:
		return notRun(op, bamboorail.KindBadRequest, err)
	case http.StatusInsufficientStorage:
		return notRun(op, bamboorail.KindOverloaded, err)
	case http.StatusServiceUnavailable:
		return &Error{bamboorail.Failure{
			Op: op, Kind: bamboorail.KindUnavailable, Outcome: bamboorail.OutcomeNotRun,
			RetryAfter: coldStartRetryAfter, Err: err,
		}}
	}
	return mayHaveRun(op, bamboorail.KindTargetFailed, err)
}

// interrupted classifies an error that occurred after the request was sent.
func interrupted(ctx context.Context, op string, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return mayHaveRun(op, bamboorail.KindDeadlineExceeded, err)
	case ctx.Err() != nil:
		return mayHaveRun(op, bamboorail.KindCancelled, err)
	}
	return mayHaveRun(op, bamboorail.KindTruncated, err)
}
