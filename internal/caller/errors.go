package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/requestid"
	"bamboorail.example/bamboorail/internal/retry"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

// rejected returns the error for a request that was refused before it was
// dispatched.
func rejected(kind bamboorail.Kind, err error) error {
	return &Error{bamboorail.Failure{Op: "accept-request", Kind: kind, Outcome: bamboorail.OutcomeNotRun, Err: err}}
}

// OutcomeHeader is the response header that states whether a request without a
// complete answer may have run.
const OutcomeHeader = "Run-Outcome"

// statusClientClosedRequest is the non-standard status, introduced by nginx,
// for a caller that has disconnected.
const statusClientClosedRequest = 499

var statuses = map[bamboorail.Kind]int{
	bamboorail.KindBadRequest:       http.StatusBadRequest,
	bamboorail.KindBadDeadline:      http.StatusBadRequest,
	bamboorail.KindTooLarge:         http.StatusRequestEntityTooLarge,
	bamboorail.KindUnauthenticated:  http.StatusUnauthorized,
	bamboorail.KindForbidden:        http.StatusForbidden,
	bamboorail.KindUnknownAdapter:   http.StatusNotFound,
	bamboorail.KindUnknownVersion:   http.StatusNotFound,
	bamboorail.KindUnknownService:   http.StatusNotFound,
	bamboorail.KindNotFound:         http.StatusNotFound,
	bamboorail.KindConflict:         http.StatusConflict,
	bamboorail.KindAlreadySeen:      http.StatusConflict,
	bamboorail.KindOverloaded:       http.StatusTooManyRequests,
	bamboorail.KindNoTarget:         http.StatusServiceUnavailable,
	bamboorail.KindNotOwner:         http.StatusServiceUnavailable,
	bamboorail.KindUnavailable:      http.StatusServiceUnavailable,
	bamboorail.KindLoadFailed:       http.StatusServiceUnavailable,
	bamboorail.KindStaleHandle:      http.StatusServiceUnavailable,
	bamboorail.KindDeadlineExceeded: http.StatusGatewayTimeout,
	bamboorail.KindMismatch:         http.StatusBadGateway,
	bamboorail.KindTruncated:        http.StatusBadGateway,
	bamboorail.KindTargetFailed:     http.StatusBadGateway,
	bamboorail.KindCancelled:        statusClientClosedRequest,
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind       bamboorail.Kind    `json:"kind"`
	Message    string             `json:"message"`
	Outcome    bamboorail.Outcome `json:"outcome"`
	RequestID  string             `json:"request-id,omitempty"`
	RetryAfter int                `json:"retry-after-seconds,omitempty"`
}

func detailOf(err error, requestID string) (errorDetail, int) {
	f := *bamboorail.FailureOf(err)
	if f.Outcome == "" {
		f.Outcome = bamboorail.OutcomeMayHaveRun
	}
	status, ok := statuses[f.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	d := errorDetail{Kind: f.Kind, Message: f.Error(), Outcome: f.Outcome, RequestID: requestID}
	if f.RetryAfter > 0 || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		d.RetryAfter = ceilSeconds(retry.Jitter(max(f.RetryAfter, time.Second)))
	}
	return d, status
}

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// encodeError sends an error response, or aborts an answer that has already
// started.
func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	x := exchangeFrom(ctx)
	if x != nil && x.started {
		x.abort(err)
		return
	}
	id := ""
	if x != nil {
		id = x.requestID
	}
	writeError(w, err, id)
}

func writeError(w http.ResponseWriter, err error, requestID string) {
	d, status := detailOf(err, requestID)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(d.Outcome))
	if d.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(d.RetryAfter))
	}
	if requestID != "" {
		h.Set(requestid.Header, requestID)
	}
	if status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: d})
}

var errNoToken = errors.New("no valid bearer token")
