package relay

import (
	"io"
	"net/http"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/httpport"
)

// statusOf maps a failure to an HTTP status. Statuses that imply that the call
// was not run are used only if that is certain.
func statusOf(f *bamboorail.Failure) int {
	switch f.Kind {
	case bamboorail.KindBadRequest, bamboorail.KindBadDeadline:
		return http.StatusBadRequest
	case bamboorail.KindUnauthenticated:
		return http.StatusUnauthorized
	case bamboorail.KindNotFound:
		return http.StatusNotFound
	case bamboorail.KindTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case f.Outcome == bamboorail.OutcomeNotRun && f.Kind == bamboorail.KindQuotaExceeded:
		return http.StatusTooManyRequests
	case f.Outcome == bamboorail.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case f.Kind == bamboorail.KindDeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeFailure answers a call for which there is no answer of a target.
func (x *exchange) writeFailure(err error) {
	f := bamboorail.FailureOf(err)
	header := x.w.Header()
	x.status = statusOf(f)
	after := time.Duration(0)
	if x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests {
		after = max(f.RetryAfter, time.Millisecond)
		if f.RetryAfter <= 0 {
			after = defaultRetryAfter
		}
	}
	x.h.Ingress.SetErrorHeaders(header, &x.call, after)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(x.status)
	// A write error means that the caller has disconnected.
	_, _ = io.WriteString(x.w, f.Error()+"\n")
}

// recordRejection logs and counts a rejected answer of a target.
func (h *Handler) recordRejection(id bamboorail.TargetID, r httpport.Rejection) {
	h.Metrics.AnswerRejected("target", string(r.Err.Reason))
	h.Log.Warn("answer rejected", "from", "target", "target", id.Name, "address", r.Address, "reason", string(r.Err.Reason), "error", r.Err.Err)
}

// report logs the call in one line and records its metrics.
func (x *exchange) report(err error) {
	took := time.Since(x.received)
	x.h.Metrics.Request(x.route.Name, took, err)
	fields := []any{
		"id", x.call.ID, "route", x.route.Name, "config", x.version, "service", x.service.Name,
		"model", x.call.Key.Model, "adapter", x.call.Key.Adapter, "status", x.status,
		"took-ms", took.Milliseconds(), "first-ms", x.firstByte.Milliseconds(), "sent", x.attempted.sent, "trail", x.trail,
	}
	if x.call.Fingerprint != "" {
		fields = append(fields, "fingerprint", x.call.Fingerprint)
	}
	if x.call.Workspace != "" {
		fields = append(fields, "workspace", x.call.Workspace)
	}
	if x.forwarded != nil {
		fields = append(fields, "forwarded-by", x.forwarded.Instance)
	}
	if x.call.LastEvent != "" {
		fields = append(fields, "resumes", x.call.Resumes, "after-event", x.call.LastEvent)
	}
	if len(x.call.PromptSegments) > 0 {
		fields = append(fields, "prompt", x.call.PromptSegments)
	}
	if x.framing != "" {
		fields = append(fields, "framing", string(x.framing), "answer-bytes", x.answer.Bytes())
		if x.route.Streaming {
			fields = append(fields, "inside-event", x.answer.InsideEvent())
		}
	}
	if t := &x.times; t.events > 0 {
		fields = append(fields, t.fields(x.route.MaxEventGap)...)
		x.h.Metrics.StreamEnded(x.route.Name, t.first, t.longest, t.events > 1)
	}
	if err != nil {
		f := bamboorail.FailureOf(err)
		fields = append(fields, "kind", string(f.Kind), "outcome", string(f.Outcome), "error", err.Error())
	}
	x.h.Log.Info("call ended", fields...)
}
