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

	"bamboorail.example/bamboorail/internal/duty"
)

const (
	// crossingTime bounds the time between the last byte of a request and the
	// notice of the close that it met: the close was on its way, or the server
	// had not yet read what was in its socket (RFC 9112, section 9.5).
	crossingTime = 100 * time.Millisecond
	// stallTick is the time between looks for stalls of the soak.
	stallTick = 5 * time.Millisecond
	// configurationTime is the time in which a change is in force everywhere
	// (docs/DEVELOPERS.md).
	configurationTime = 6 * time.Second
)

// model is a version of an adapter that callers ask for.
type model struct {
	name string
	// listed is the time at which the change that added it was acknowledged,
	// retired that of the one that took it away; both are zero for models that
	// were always there.
	listed, retired time.Time
}

// span is the time in which something unplanned befell a link or a process.
type span struct{ from, to time.Time }

// ledger collects what callers saw.
type ledger struct {
	mu         sync.Mutex
	violations []string
	answers    int
	refusals   int
	failures   int
	// calls are the fates of calls that must run at most once, by request id.
	calls map[string]*callFate
	// crossings are the requests that met the close of an idle connection.
	crossings []string
	models    []model
	// stalls are the times for which the soak itself got no processor.
	stalls []span
	// disturbed holds the faults of links and processes by their names.
	disturbed map[string][]*span
}

func newLedger() *ledger {
	l := &ledger{calls: map[string]*callFate{}, disturbed: map[string][]*span{}}
	for _, name := range models {
		l.models = append(l.models, model{name: name})
	}
	return l
}

// callFate sums up the answers to one request id.
type callFate struct {
	answered bool
	// unclear is set once an answer did not say that the call was not run.
	unclear bool
	// trail lists the answers in order, for the report.
	trail []string
}

func (l *ledger) violate(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// disturb notes that something unplanned begins; the function that it returns
// ends it.
func (l *ledger) disturb(name string) func() {
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

// quietSince returns the end of the last disturbance of any of the names, and
// false while one lasts.
func (l *ledger) quietSince(names ...string) (time.Time, bool) {
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

// undisturbed reports whether nothing unplanned befell anything in a time.
func (l *ledger) undisturbed(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.disturbed {
		if slices.ContainsFunc(list, func(s *span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) }) {
			return false
		}
	}
	return true
}

// watchStalls notes for how long the soak itself got no processor, since what
// callers see comes late by that much.
func (l *ledger) watchStalls(ctx context.Context) error {
	for last := time.Now(); ; {
		if err := duty.Sleep(ctx, stallTick); err != nil {
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

// stalled returns the part of a time for which the soak got no processor. Call
// it with the lock held.
func (l *ledger) stalled(from, to time.Time) time.Duration {
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

// judge counts the end of a request. A request that was wholly sent gets an
// answer or a refusal, unless its instance is killed or stands still, or the
// drain timeout has passed, or it crossed the close of an idle connection.
func (l *ledger) judge(v *node, r *response, id string) {
	at := v.lifeAt(r.opened)
	quiet, over := l.quietSince(v.name)
	frozen := !over || quiet.After(r.written)
	drained := !at.left.IsZero()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.whole && r.status == http.StatusOK:
		l.answers++
	case r.whole:
		l.refusals++
		if how := r.incomplete(); how != "" {
			l.violations = append(l.violations, fmt.Sprintf("%s %s: %s answers %d %s: %q", r.ended.Format("15:04:05.000"), id, v.name, r.status, how, r.body))
		}
	case !r.sent:
		l.refusals++
	case at.killed, frozen, drained && r.ended.Sub(at.left) >= drainTimeout:
		l.failures++
	case drained && r.crosses(at.left, l.stalled(r.written, r.ended)):
		l.failures++
		r.crossed = true
		l.crossings = append(l.crossings, id)
	default:
		l.failures++
		l.violations = append(l.violations, fmt.Sprintf("%s %s: cut off by %s after %s with status %d, %q: %v; its process, started %s, got %s",
			r.ended.Format("15:04:05.000"), id, v.name, r.ended.Sub(r.written), r.status, tail(r.body), r.err,
			at.started.Format("05.000"), at.signals))
	}
}

// crosses reports whether a request met the close of a connection that its
// server held for idle: no byte of an answer came, and the close followed the
// request at once, at a server that had ended its notice.
func (r *response) crosses(left time.Time, stalled time.Duration) bool {
	return r.status == 0 && r.ended.Sub(left) >= readinessDelay && r.ended.Sub(r.written)-stalled <= crossingTime
}

// incomplete tells what a refusal lacks (docs/CALLERS.md).
func (r *response) incomplete() string {
	switch busy := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable; {
	case r.outcome != "not-run" && r.outcome != "may-have-run":
		return "without an outcome"
	case busy && r.retryAfter == "":
		return "without a time to come back"
	}
	return ""
}

func tail(body string) string { return body[max(0, len(body)-80):] }

// inForce checks an answer against the changes that were acknowledged.
func (l *ledger) inForce(v *node, m model, began time.Time, r response) {
	quiet, over := l.quietSince(v.name, v.name+" and the platform", "platform")
	late := func(acknowledged time.Time) bool {
		since := acknowledged
		if quiet.After(since) {
			since = quiet
		}
		return over && !acknowledged.IsZero() && began.Sub(since) > configurationTime
	}
	switch unknown := r.status == http.StatusNotFound && strings.Contains(r.body, "unknown-version"); {
	case unknown && m.retired.IsZero() && late(m.listed):
		l.violate("%s does not know %s, listed at %s", v.name, m.name, m.listed.Format("05.000"))
	case r.status == http.StatusOK && late(m.retired):
		l.violate("%s serves %s, retired at %s", v.name, m.name, m.retired.Format("05.000"))
	}
}

// pick draws a model, new ones and retired ones too.
func (l *ledger) pick(random *rand.Rand) model {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := random.IntN(len(models) + 2)
	if n < len(models) || len(l.models) == len(models) {
		return l.models[n%len(models)]
	}
	return l.models[max(len(models), len(l.models)-1-random.IntN(4))]
}

// active returns the models that are not retired.
func (l *ledger) active() []model {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.models), func(m model) bool { return !m.retired.IsZero() })
}

// released notes an acknowledged change that lists a model and retires another.
func (l *ledger) released(listed, retired string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if n := slices.IndexFunc(l.models, func(m model) bool { return m.name == retired }); n >= 0 {
		l.models[n].retired = now
	}
	l.models = append(l.models, model{name: listed, listed: now})
}

// call notes one answer to a request id.
func (l *ledger) call(id, instance string, r response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.calls[id]
	if f == nil {
		f = &callFate{}
		l.calls[id] = f
	}
	f.trail = append(f.trail, fmt.Sprintf("%s %s %d %s %q", time.Now().Format("05.000"), instance, r.status, r.outcome, r.body))
	switch {
	case r.whole && r.status == http.StatusOK:
		f.answered = true
	case r.outcome != "not-run" && !r.crossed:
		f.unclear = true
	}
}

// compare compares the runs of calls and completions with what callers were
// told. A request that crossed the close of a connection reached no target.
func (l *ledger) compare(runs, starts map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, f := range l.calls {
		switch n := runs[id]; {
		case n > 1:
			l.violations = append(l.violations, fmt.Sprintf("call %s ran %d times: %q", id, n, f.trail))
		case n == 1 && !f.answered && !f.unclear:
			l.violations = append(l.violations, fmt.Sprintf("call %s ran, and every answer says that it did not: %q", id, f.trail))
		case n == 0 && f.answered:
			l.violations = append(l.violations, fmt.Sprintf("call %s was answered and never ran", id))
		}
	}
	for _, id := range l.crossings {
		if starts[id] > 0 {
			l.violations = append(l.violations, fmt.Sprintf("%s was cut off without an answer and ran", id))
		}
	}
}

func (l *ledger) report(seed uint64) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		Seed: seed, Answers: l.answers, Refusals: l.refusals, Failures: l.failures, Crossings: len(l.crossings),
		Calls: len(l.calls), Violations: l.violations,
	}
}
