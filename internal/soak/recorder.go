package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboorail.example/bamboorail/internal/task"
)

const (
	// idleCloseRaceWindow bounds the time from the last byte of a request until the
	// caller sees the close of the idle connection that it raced with: the close
	// was in transit, or the server had not yet read the request from its socket
	// (RFC 9112, section 9.5).
	idleCloseRaceWindow = 100 * time.Millisecond
	// stallTick is the interval at which stalls of this process are measured.
	stallTick = 5 * time.Millisecond
	// configurationTime is the time within which a change takes effect everywhere
	// (docs/DEVELOPERS.md).
	configurationTime = 6 * time.Second
)

// model is an adapter version that callers request.
type model struct {
	name string
	// listed is the time at which the change that added it was acknowledged,
	// retired that of the change that retired it. Both are zero for the initial
	// models.
	listed, retired time.Time
}

// span is a period of time; to is zero while it lasts.
type span struct{ from, to time.Time }

// recorder records the responses that callers received and the violations.
type recorder struct {
	mu         sync.Mutex
	violations []string
	answers    int
	refusals   int
	failures   int
	// calls holds the results of at-most-once calls by request ID.
	calls map[string]*callResult
	// idleCloseRaces are the requests that raced with the close of an idle connection.
	idleCloseRaces []string
	models         []model
	// stalls are the periods in which this process was not scheduled.
	stalls []span
	// disturbed holds the fault periods by name of the link or process.
	disturbed map[string][]*span
}

func newRecorder() *recorder {
	l := &recorder{calls: map[string]*callResult{}, disturbed: map[string][]*span{}}
	for _, name := range models {
		l.models = append(l.models, model{name: name})
	}
	return l
}

// callResult summarizes the responses to one request ID.
type callResult struct {
	answered bool
	// unclear is set if a response did not state that the call was not run.
	unclear bool
	// responses lists the responses in order, for the report.
	responses []string
}

func (l *recorder) addViolation(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// beginDisturbance records the start of a fault on a link or process; the
// returned function records its end.
func (l *recorder) beginDisturbance(name string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &span{from: time.Now()}
	l.disturbed[name] = append(l.disturbed[name], s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// lastDisturbanceEnd returns the end of the latest fault on any of the names,
// and false while one is active.
func (l *recorder) lastDisturbanceEnd(names ...string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for _, name := range names {
		for _, s := range l.disturbed[name] {
			if s.to.IsZero() {
				return last, false
			}
			if s.to.After(last) {
				last = s.to
			}
		}
	}
	return last, true
}

// undisturbed reports whether no fault was active in a period.
func (l *recorder) undisturbed(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.disturbed {
		if slices.ContainsFunc(list, func(s *span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) }) {
			return false
		}
	}
	return true
}

// watchStalls records periods in which this process was not scheduled, since
// callers observe events late by that much.
func (l *recorder) watchStalls(ctx context.Context) error {
	for last := time.Now(); ; {
		if err := task.Sleep(ctx, stallTick); err != nil {
			return err
		}
		now := time.Now()
		if now.Sub(last) > 2*stallTick {
			l.mu.Lock()
			l.stalls = append(l.stalls, span{last.Add(stallTick), now})
			l.mu.Unlock()
		}
		last = now
	}
}

// stalled returns for how much of a period this process was not scheduled.
// l.mu must be held.
func (l *recorder) stalled(from, to time.Time) time.Duration {
	var sum time.Duration
	for _, s := range l.stalls {
		begin, end := s.from, s.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(0, end.Sub(begin))
	}
	return sum
}

// recordResponse counts a finished request. A request that was sent completely
// must get an answer or a refusal, unless its instance is killed or stopped, the
// drain timeout has passed, or it raced with the close of an idle connection.
func (l *recorder) recordResponse(v *node, r *response, id string) {
	at := v.incarnationAt(r.opened)
	quiet, over := l.lastDisturbanceEnd(v.name)
	stopped := !over || quiet.After(r.written)
	drained := !at.sigtermAt.IsZero()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.complete && r.status == http.StatusOK:
		l.answers++
	case r.complete:
		l.refusals++
		if how := r.missingHeader(); how != "" {
			l.violations = append(l.violations, fmt.Sprintf("%s %s: %s answers %d %s: %q", r.ended.Format("15:04:05.000"), id, v.name, r.status, how, r.body))
		}
	case !r.sent:
		l.refusals++
	case at.killed, stopped, drained && r.ended.Sub(at.sigtermAt) >= drainTimeout:
		l.failures++
	case drained && r.racesIdleClose(at.sigtermAt, l.stalled(r.written, r.ended)):
		l.failures++
		r.racedIdleClose = true
		l.idleCloseRaces = append(l.idleCloseRaces, id)
	default:
		l.failures++
		l.violations = append(l.violations, fmt.Sprintf("%s %s: interrupted by %s after %s with status %d, %q: %v; its process, started %s, received %s",
			r.ended.Format("15:04:05.000"), id, v.name, r.ended.Sub(r.written), r.status, tail(r.body), r.err,
			at.started.Format("05.000"), at.signals))
	}
}

// racesIdleClose reports whether a request raced with the server closing a
// connection that it considered idle: no byte of a response arrived, and the
// close followed the request at once, after the readiness delay of the server.
func (r *response) racesIdleClose(sigtermAt time.Time, stalled time.Duration) bool {
	return r.status == 0 && r.ended.Sub(sigtermAt) >= readinessDelay && r.ended.Sub(r.written)-stalled <= idleCloseRaceWindow
}

// missingHeader returns which required header a refusal lacks (docs/CALLERS.md).
func (r *response) missingHeader() string {
	switch busy := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable; {
	case r.outcome != "not-run" && r.outcome != "may-have-run":
		return "without Run-Outcome"
	case busy && r.retryAfter == "":
		return "without Retry-After"
	}
	return ""
}

func tail(body string) string { return body[max(0, len(body)-80):] }

// checkConfiguration checks a response against the acknowledged changes.
func (l *recorder) checkConfiguration(v *node, m model, began time.Time, r response) {
	quiet, over := l.lastDisturbanceEnd(v.name, v.name+" and the platform", "platform")
	late := func(acknowledged time.Time) bool {
		since := acknowledged
		if quiet.After(since) {
			since = quiet
		}
		return over && !acknowledged.IsZero() && began.Sub(since) > configurationTime
	}
	switch unknown := r.status == http.StatusNotFound && strings.Contains(r.body, "unknown-version"); {
	case unknown && m.retired.IsZero() && late(m.listed):
		l.addViolation("%s does not know %s, listed at %s", v.name, m.name, m.listed.Format("05.000"))
	case r.status == http.StatusOK && late(m.retired):
		l.addViolation("%s serves %s, retired at %s", v.name, m.name, m.retired.Format("05.000"))
	}
}

// pick selects a model at random, including new and retired ones.
func (l *recorder) pick(random *rand.Rand) model {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := random.IntN(len(models) + 2)
	if n < len(models) || len(l.models) == len(models) {
		return l.models[n%len(models)]
	}
	return l.models[max(len(models), len(l.models)-1-random.IntN(4))]
}

// active returns the models that are not retired.
func (l *recorder) active() []model {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.models), func(m model) bool { return !m.retired.IsZero() })
}

// recordRelease records an acknowledged change that adds a model and retires
// another.
func (l *recorder) recordRelease(listed, retired string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if n := slices.IndexFunc(l.models, func(m model) bool { return m.name == retired }); n >= 0 {
		l.models[n].retired = now
	}
	l.models = append(l.models, model{name: listed, listed: now})
}

// recordCall records one response to a request ID.
func (l *recorder) recordCall(id, instance string, r response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.calls[id]
	if f == nil {
		f = &callResult{}
		l.calls[id] = f
	}
	f.responses = append(f.responses, fmt.Sprintf("%s %s %d %s %q", time.Now().Format("05.000"), instance, r.status, r.outcome, r.body))
	switch {
	case r.complete && r.status == http.StatusOK:
		f.answered = true
	case r.outcome != "not-run" && !r.racedIdleClose:
		f.unclear = true
	}
}

// checkExecutions compares the executions of calls and completions with the
// outcomes returned to callers. A request that raced with the close of an idle
// connection must not have reached a target.
func (l *recorder) checkExecutions(runs, starts map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, f := range l.calls {
		switch n := runs[id]; {
		case n > 1:
			l.violations = append(l.violations, fmt.Sprintf("call %s ran %d times: %q", id, n, f.responses))
		case n == 1 && !f.answered && !f.unclear:
			l.violations = append(l.violations, fmt.Sprintf("call %s ran, but every response says that it did not: %q", id, f.responses))
		case n == 0 && f.answered:
			l.violations = append(l.violations, fmt.Sprintf("call %s was answered but never ran", id))
		}
	}
	for _, id := range l.idleCloseRaces {
		if starts[id] > 0 {
			l.violations = append(l.violations, fmt.Sprintf("%s was interrupted without a response but ran", id))
		}
	}
}

func (l *recorder) report(seed uint64) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		Seed: seed, Answers: l.answers, Refusals: l.refusals, Failures: l.failures, IdleCloseRaces: len(l.idleCloseRaces),
		Calls: len(l.calls), Violations: l.violations,
	}
}
