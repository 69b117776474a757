package relay

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/eventstream"
	"bamboorail.example/bamboorail/internal/httpport"
)

// ForwardCall is a call that an instance forwards to another one, which reaches the
// targets.
type ForwardCall struct {
	// Instance is the name of the forwarding instance.
	Instance          string
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Remaining is the time until the deadline of the call, StartWithin that until it
	// must be sent to a target.
	Remaining, StartWithin time.Duration
	// Service is the service that the forwarding instance chose; Software is set for a
	// stream that has begun there.
	Service, Software string
	// Runs is the number of targets that may have run the call, MaxRuns the number of those that
	// may run it at the other instance, 0 for as many as the route permits.
	Runs, MaxRuns int
	// Avoid are the names of targets that failed the call.
	Avoid []string
	// Workspace is the workspace of the call, empty if it has none.
	Workspace string
	// Configuration is the newest version of the configuration that the forwarding instance
	// applied, or by which another one ran its calls. An instance with an earlier one does not
	// run the call.
	Configuration uint64
}

// ForwardedAnswer is the answer of a target to a forwarded call.
type ForwardedAnswer struct {
	Response *http.Response
	Target   bamboorail.TargetID
	Origin   bamboorail.StreamOrigin
	// Configuration is the version of the configuration by which the call ran.
	Configuration uint64
	// Report returns what the other instance has reported of its attempts so far. It is nil if
	// that was not reached.
	Report func() ForwardReport
}

// ForwardReport is what an instance reports of its attempts to run a forwarded call.
type ForwardReport struct {
	// Runs is the number of targets that may have run the call there, if Known is set.
	Runs  int
	Known bool
	// Avoid are the names of targets that failed the call.
	Avoid []string
}

// ForwardedHead is the head of an answer of a target to a forwarded call.
type ForwardedHead struct {
	Status        int
	Header        http.Header
	Target        bamboorail.TargetID
	Origin        bamboorail.StreamOrigin
	Configuration uint64
	// Runs is the number of targets that may have run the call at this instance.
	Runs int
}

// Detour forwards calls through other instances while this one reaches no target.
type Detour interface {
	// Next returns the address of an instance that is not among those tried. It
	// returns false if the targets are reachable or no such instance is known.
	Next(tried []string) (address string, ok bool)
	// Forward runs a call at the instance at address. The outcome of an error states
	// whether the call may have run, and Runs of the answer at how many targets.
	Forward(ctx context.Context, address string, c ForwardCall) (ForwardedAnswer, error)
	// RecordSilence records that a target did not answer.
	RecordSilence()
}

// noDetour forwards no calls.
type noDetour struct{}

func (noDetour) Next([]string) (string, bool) { return "", false }

func (noDetour) Forward(context.Context, string, ForwardCall) (ForwardedAnswer, error) {
	return ForwardedAnswer{}, notRun("forward-call", bamboorail.KindNoTarget, 0, errNeighborFailed)
}

func (noDetour) RecordSilence() {}

// maxForwardBody is the largest body of a forwarded call, which is one message.
const maxForwardBody = 4 << 20

// errNeighborFailed marks a failure of the path to another instance, in contrast to one
// that the instance reports.
var errNeighborFailed = errors.New("the instance that the call was forwarded to did not answer")

// NeighborFailed returns the failure of the path to another instance.
func NeighborFailed(err error) error {
	outcome := bamboorail.OutcomeMayHaveRun
	if bamboorail.NotRun(err) {
		outcome = bamboorail.OutcomeNotRun
	}
	return &Error{bamboorail.Failure{Op: "forward-call", Kind: bamboorail.KindUnavailable, Outcome: outcome, Err: errors.Join(errNeighborFailed, err)}}
}

// forwardedRuns is the number of targets that may run a call at the instance that it is forwarded
// to. The forwarding one decides on each further run: it may start a standby attempt meanwhile.
const forwardedRuns = 1

// neighbor returns the address of the instance to which the call is forwarded, empty if it
// is not. One that has answered is tried again if there is no other.
func (x *exchange) neighbor(tried, failed []string) string {
	if x.forwarded != nil || len(x.body) > maxForwardBody {
		return ""
	}
	address, ok := x.h.Detour.Next(tried)
	if !ok && len(failed) < len(tried) {
		address, ok = x.h.Detour.Next(failed)
	}
	if !ok {
		return ""
	}
	return address
}

// isRepeat reports whether the call was forwarded by an instance that leaves it to this one to
// take it out of the retry budget, after it may have run.
func (x *exchange) isRepeat() bool {
	return x.forwarded != nil && x.forwarded.MaxRuns > 0 && x.forwarded.Runs > 0
}

// maxRuns returns the number of targets that may run the call.
func (x *exchange) maxRuns() int {
	if c := x.forwarded; c != nil && c.MaxRuns > 0 {
		return min(x.route.MaxAttempts, c.Runs+c.MaxRuns)
	}
	return x.route.MaxAttempts
}

// openThrough runs the call through another instance, which makes its own attempts.
func (l *leg) openThrough() {
	const op = "forward-call"
	sendCtx, span := startSpan(l.ctx, l.x.h.Tracer, "instance "+l.neighbor)
	l.span = span
	if l.err = l.reserveMessage(); l.err == nil {
		l.err = l.admit()
	}
	if l.err != nil {
		l.result, l.unsent = balance.Abandoned, true
		return
	}
	answer, err := l.x.h.Detour.Forward(sendCtx, l.neighbor, l.forwardCall())
	l.forwardReport = answer.Report
	if err != nil {
		l.recordRejection(err)
		l.ran = !bamboorail.NotRun(err)
		if r := l.report(); l.start.runs > 0 && r.Known {
			// The outcome includes the runs before.
			l.ran = r.Runs > 0
		}
		l.sent = l.ran
		l.found = l.isUseful(err)
		if l.start.runs > 0 && bamboorail.NotRun(err) {
			err = mayHaveRun(op, bamboorail.KindOf(err), err)
		}
		l.err = err
		return
	}
	l.x.h.recordConfiguration(answer.Configuration)
	l.response, l.origin, l.sent, l.ran, l.found = answer.Response, answer.Origin, true, true, true
	l.target = bamboorail.TargetEntry{ID: answer.Target, Software: answer.Origin.Software}
	class := l.x.h.Egress.Classify(answer.Response, &l.x.call)
	l.x.advise(l.target.ID, answer.Response, class)
	if class != bamboorail.ResponseValid {
		l.err = mayHaveRun(op, bamboorail.KindMismatch, errInvalidResponse)
	}
}

// reserveMessage waits for memory for the message with a large body, which is kept until the
// call ends.
func (l *leg) reserveMessage() error {
	const op = "forward-call"
	x := l.x
	if len(x.body) <= smallBody {
		return nil
	}
	ctx, cancel := context.WithDeadline(l.ctx, earliest(l.start.startBy, time.Now().Add(maxBodyWait)))
	defer cancel()
	release, err := x.h.messages.reserve(ctx, int64(len(x.body)))
	switch {
	case err == nil:
		l.releaseMessage = release
		return nil
	case l.start.runs > 0:
		return mayHaveRun(op, bamboorail.KindOverloaded, err)
	}
	return notRun(op, bamboorail.KindOverloaded, defaultRetryAfter, err)
}

// recordRejection logs and counts an answer with an invalid head that came through another
// instance.
func (l *leg) recordRejection(err error) {
	var rejected *httpport.Error
	if !errors.As(err, &rejected) {
		return
	}
	h := l.x.h
	h.Metrics.AnswerRejected("instance", string(rejected.Reason))
	h.Log.Warn("answer rejected", "from", "instance", "address", l.neighbor, "reason", string(rejected.Reason), "error", rejected.Err)
}

// isUseful reports whether another attempt is useful after one through another instance. That
// instance leaves a repetition after a run to this one, has made its own after refusals, and cannot
// check whether the answer of its target continues a stream.
func (l *leg) isUseful(err error) bool {
	kind := bamboorail.KindOf(err)
	return l.hasRun() || errors.Is(err, errNeighborFailed) || errors.Is(err, eventstream.ErrNotContinued) ||
		kind == bamboorail.KindTruncated || kind == bamboorail.KindNoTarget
}

// report returns what the instance that the call was forwarded to has reported.
func (l *leg) report() ForwardReport {
	if l.forwardReport == nil {
		return ForwardReport{}
	}
	return l.forwardReport()
}

// hasRun reports whether a target of the instance that the call was forwarded to ran it.
func (l *leg) hasRun() bool { return l.report().Runs > 0 }

func (l *leg) forwardCall() ForwardCall {
	x := l.x
	header := x.call.Header
	if l.start.lastEvent != "" {
		header = header.Clone()
		x.h.Egress.SetLastEvent(header, l.start.lastEvent)
	}
	return ForwardCall{
		Instance: x.h.Instance, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body,
		Remaining: time.Until(x.deadline), StartWithin: time.Until(l.start.startBy), Service: l.start.service.Name, Software: l.start.software,
		Runs: l.start.runs, MaxRuns: forwardedRuns, Avoid: l.start.avoid, Workspace: x.call.Workspace, Configuration: max(x.version, x.h.configuration.Load()),
	}
}

// recordConfiguration records the version of the configuration by which another instance ran a
// call. No later call may run by an older one.
func (h *Handler) recordConfiguration(version uint64) {
	for known := h.configuration.Load(); version > known; known = h.configuration.Load() {
		if h.configuration.CompareAndSwap(known, version) {
			return
		}
	}
}

// ForwardWriter receives the answer to a forwarded call.
type ForwardWriter interface {
	// Begin receives the head of an answer of a target.
	Begin(h ForwardedHead) error
	Write(chunk []byte) error
}

// ServeForwarded runs a call that another instance forwarded, and returns a report for that. Without
// an answer of a target, it returns the failure; an answer that broke off ends with an error too.
func (h *Handler) ServeForwarded(ctx context.Context, c ForwardCall, to ForwardWriter) (ForwardReport, error) {
	target, err := url.ParseRequestURI(c.URI)
	if err != nil {
		return ForwardReport{Known: true}, notRun("serve-forwarded", bamboorail.KindBadRequest, 0, err)
	}
	w := &forwardWriter{to: to, header: http.Header{}}
	r := (&http.Request{
		Method: c.Method, URL: target, RequestURI: c.URI, Host: c.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.Header, Body: http.NoBody, ContentLength: int64(len(c.Body)),
	}).WithContext(ctx)
	x := &exchange{h: h, w: w, r: r, received: time.Now(), forwarded: &c, body: c.Body, attempted: counts{runs: c.Runs}, software: c.Software,
		// A target that failed the call may have answered it on a connection of this instance.
		avoid: slices.Clone(c.Avoid), reached: slices.Clone(c.Avoid)}
	w.x = x
	span := x.startTrace()
	err = x.run()
	x.report(err)
	x.endTrace(span, err)
	return ForwardReport{Runs: x.ownRuns(), Known: true, Avoid: x.avoid[len(c.Avoid):]}, err
}

// ownRuns returns the number of targets of this instance that may have run a forwarded call.
func (x *exchange) ownRuns() int { return x.attempted.runs - x.forwarded.Runs }

// checkConfiguration returns an error if the call was forwarded by an instance with a newer
// configuration than this one has: its route may have changed since.
func (x *exchange) checkConfiguration() error {
	if x.forwarded == nil || x.forwarded.Configuration <= x.version {
		return nil
	}
	return notRun("serve-forwarded", bamboorail.KindNoTarget, defaultRetryAfter, errOldConfiguration)
}

// acceptForwarded applies what the forwarding instance decided.
func (x *exchange) acceptForwarded() {
	c := x.forwarded
	if c == nil {
		return
	}
	if slices.ContainsFunc(x.route.Shares, func(s bamboorail.ServiceShare) bool { return s.Service == c.Service }) {
		x.setService(c.Service)
	}
	x.deadline = earliest(x.deadline, x.received.Add(c.Remaining))
	x.startBy = earliest(x.startBy, x.received.Add(c.StartWithin))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// forwardWriter is the response writer of a forwarded call.
type forwardWriter struct {
	x      *exchange
	to     ForwardWriter
	header http.Header
	err    error
}

// Header returns the header of the answer.
func (w *forwardWriter) Header() http.Header { return w.header }

// WriteHeader sends the head of the answer.
func (w *forwardWriter) WriteHeader(status int) {
	x := w.x
	w.err = w.to.Begin(ForwardedHead{
		Status: status, Header: w.header, Target: x.target, Origin: bamboorail.StreamOrigin{Service: x.service.Name, Software: x.software},
		Configuration: x.version, Runs: x.ownRuns(),
	})
}

// maxForwardChunk is the largest part of an answer in one message.
const maxForwardChunk = 256 << 10

// Write sends a part of the answer.
func (w *forwardWriter) Write(p []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(p, maxForwardChunk) {
		if w.err == nil {
			w.err = w.to.Write(chunk)
		}
		if w.err != nil {
			return written, w.err
		}
		written += len(chunk)
	}
	return written, nil
}

// FlushError does nothing: each part is sent at once.
func (w *forwardWriter) FlushError() error { return w.err }
