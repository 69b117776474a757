package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/task"
)

// standbyRetryDelay is the time after which another standby leg starts if the last one
// failed or could not be started.
const standbyRetryDelay = 300 * time.Millisecond

var (
	errSuperseded   = errors.New("another attempt was answered first")
	errNoBudget     = errors.New("the retry budget is used up")
	errNotContinued = errors.New("the answer does not continue the stream")
)

// counts are the attempts of a call: the targets chosen, those that the call reached, and
// those that may have run it.
type counts struct{ attempts, sent, runs int }

func (c counts) add(other counts) counts {
	return counts{c.attempts + other.attempts, c.sent + other.sent, c.runs + other.runs}
}

func (c counts) subtract(other counts) counts {
	return counts{c.attempts - other.attempts, c.sent - other.sent, c.runs - other.runs}
}

// admittedCounts are those of a leg that was sent and whose result is not known.
var admittedCounts = counts{attempts: 1, sent: 1, runs: 1}

// counts returns what the leg adds to the attempts of its call.
func (l *leg) counts() counts {
	c := counts{}
	if l.found || l.neighbor != "" {
		c.attempts = 1
	}
	if l.sent {
		c.sent = 1
	}
	if l.ran {
		c.runs = 1
	}
	return c
}

// standby runs another leg of a call while the current one is silent. The current leg is
// given up only once the other one is answered: until then it may continue, and the other
// one may fail.
type standby struct {
	x       *exchange
	ctx     context.Context
	current *leg

	mu    sync.Mutex
	timer *time.Timer
	// wait is the time of silence after which a leg starts, 0 if none may; due is the
	// end of the current one, zero while the current leg is not watched.
	wait time.Duration
	due  time.Time
	// cause is the reason for which the current leg is given up.
	cause error
	start legStart
	// counts are the attempts so far, with the current one.
	counts counts
	// next is the leg that runs, or that was answered if won is set.
	next *leg
	won  bool
	// reported is set once the current silence is reported to the detour.
	reported bool
	// kept is set once the current leg has failed and the next one takes its place.
	kept  bool
	ended bool
	legs  []*leg
	tasks []*task.Task
}

// newStandby returns a standby for the current leg of a call.
func (x *exchange) newStandby(ctx context.Context, current *leg) *standby {
	s := &standby{x: x, ctx: ctx, current: current}
	s.timer = time.AfterFunc(time.Hour, s.onSilence)
	s.timer.Stop()
	return s
}

// watch starts another leg if the current one is silent for a time.
func (s *standby) watch(wait time.Duration, cause error, start legStart, c counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait, s.cause, s.start, s.counts = wait, cause, start, c
	s.exclude(s.current)
	s.arm(wait)
}

// exclude keeps further legs from the target or instance of l. The caller holds the lock.
func (s *standby) exclude(l *leg) {
	if l.neighbor != "" {
		s.start.neighbors = append(slices.Clip(s.start.neighbors), l.neighbor)
		return
	}
	s.start.avoid = append(slices.Clip(s.start.avoid), l.target.ID.Name)
}

// arm starts the timer. The caller holds the lock.
func (s *standby) arm(wait time.Duration) {
	if s.wait > 0 && !s.won && !s.kept && !s.ended {
		s.due = time.Now().Add(wait)
		s.timer.Reset(wait)
	}
}

// disarm stops the timer. The caller holds the lock.
func (s *standby) disarm() {
	s.due = time.Time{}
	s.timer.Stop()
}

// resume watches the current leg again after progress.
func (s *standby) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arm(s.wait)
}

// progress records that the current leg continues, now after event lastEvent. It returns
// false if another leg has taken its place; nothing more of the current one may be used.
func (s *standby) progress(lastEvent string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.won {
		return false
	}
	s.disarm()
	s.reported = false
	s.start.lastEvent = lastEvent
	if s.next != nil {
		s.next.cancel(errSuperseded)
		s.next = nil
	}
	return true
}

// onSilence starts another leg if the call permits one now.
func (s *standby) onSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.due.IsZero() || now.Before(s.due) || s.next != nil {
		return
	}
	if !s.reported {
		s.reported = true
		s.x.h.Detour.RecordSilence()
	}
	start := s.start
	start.runs = s.counts.runs
	if !s.x.permits(s.counts, start) || !s.x.h.Budget(start.service.Name).Available(now) {
		s.arm(standbyRetryDelay)
		return
	}
	if start.committed {
		start.startBy = now.Add(resumeTimeout)
	}
	s.x.h.Log.Info("target is silent, another attempt starts", "id", s.x.call.ID, "target", s.current.target.ID.Name,
		"silent-ms", s.wait.Milliseconds(), "after-event", start.lastEvent)
	l := s.x.newLeg(s.ctx, start)
	l.standby = true
	l.admit = func() error { return s.admit(l) }
	s.next = l
	s.legs = append(s.legs, l)
	s.tasks = append(s.tasks, task.Start(s.ctx, "standby", func(context.Context) error {
		s.run(l)
		return nil
	}))
}

// admit takes a standby leg out of the retry budget before its call is sent, and counts it:
// once it is sent, it may run.
func (s *standby) admit(l *leg) error {
	if !s.x.h.Budget(l.start.service.Name).Take(time.Now()) {
		return notRun("start-standby", bamboorail.KindOverloaded, defaultRetryAfter, errNoBudget)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != l {
		return notRun("start-standby", bamboorail.KindCancelled, 0, errSuperseded)
	}
	l.admitted = true
	s.counts = s.counts.add(admittedCounts)
	return nil
}

// run opens a standby leg, which takes the place of the current one if it is answered.
func (s *standby) run(l *leg) {
	l.open()
	if l.err == nil {
		if err := l.awaitContinuation(); err != nil {
			l.end(balance.Failed, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.next != l || s.ended:
		if l.err == nil {
			l.end(balance.Abandoned, mayHaveRun("send-call", bamboorail.KindCancelled, errSuperseded))
		}
	case l.err != nil:
		s.next = nil
		s.counts = s.counts.add(l.counts())
		if l.admitted {
			s.counts = s.counts.subtract(admittedCounts)
		}
		s.start.avoid = append(slices.Clip(s.start.avoid), l.avoid...)
		s.start.reached = append(slices.Clip(s.start.reached), l.reached...)
		if l.neighbor != "" {
			s.exclude(l)
		}
		s.arm(standbyRetryDelay)
	default:
		s.won = true
		s.disarm()
		if !s.kept {
			s.current.cancel(s.cause)
		}
	}
}

// takeOver returns the leg that takes the place of the current one, which has ended, or
// nil if there is none. It waits for a leg that runs.
func (s *standby) takeOver() *leg {
	s.mu.Lock()
	s.disarm()
	s.kept = true
	s.mu.Unlock()
	s.join()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.won {
		return s.next
	}
	return nil
}

// end ends the legs that still run or were answered.
func (s *standby) end() {
	s.mu.Lock()
	s.disarm()
	s.ended = true
	next, won := s.next, s.won
	if next != nil && !won {
		next.cancel(errSuperseded)
		s.next = nil
	}
	s.mu.Unlock()
	s.join()
	if next != nil && won {
		next.end(balance.Abandoned, mayHaveRun("send-call", bamboorail.KindCancelled, errSuperseded))
	}
}

// join waits until all standby legs have ended or were answered.
func (s *standby) join() {
	s.mu.Lock()
	tasks := s.tasks
	s.tasks = nil
	s.mu.Unlock()
	for _, t := range tasks {
		t.Join()
	}
}

// awaitContinuation checks that the answer of a standby leg can take the place of the
// current one, and waits for the first bytes of a stream.
func (l *leg) awaitContinuation() error {
	const op = "start-standby"
	resp := l.response
	events := l.x.isEventStream(resp)
	if resp.StatusCode >= http.StatusInternalServerError || l.start.committed && (resp.StatusCode != http.StatusOK || !events) {
		return mayHaveRun(op, bamboorail.KindTargetFailed, errNotContinued)
	}
	if !events {
		return nil
	}
	first := make([]byte, readSize)
	n, err := resp.Body.Read(first)
	if n == 0 && err != nil && !errors.Is(err, io.EOF) {
		return mayHaveRun(op, bamboorail.KindTruncated, err)
	}
	resp.Body = prefixedBody{Reader: io.MultiReader(&firstRead{data: first[:n], err: err}, resp.Body), Closer: resp.Body}
	return nil
}

// prefixedBody is a body whose beginning was read before.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// firstRead returns the result of an earlier read.
type firstRead struct {
	data []byte
	err  error
}

// Read returns the rest of the data, and then the error of the earlier read. It returns
// io.EOF if there was none, for the reader that follows.
func (r *firstRead) Read(p []byte) (int, error) {
	n := copy(p, r.data)
	r.data = r.data[n:]
	if len(r.data) > 0 {
		return n, nil
	}
	if r.err != nil {
		return n, r.err
	}
	return n, io.EOF
}
