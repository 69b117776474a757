package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/eventstream"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// standbyRetryDelay is the time after which another standby leg starts if the last one
	// failed or could not be started. It doubles with each of these.
	standbyRetryDelay   = 300 * time.Millisecond
	maxStandbyDoublings = 3
)

var (
	errSuperseded = errors.New("another attempt was answered first")
	errNoAttempts = errors.New("the route permits no more attempts")
	errNoBudget   = errors.New("the retry budget is used up")
)

// standby runs further legs of a call while the current one is silent. The current leg is
// given up only once another one is answered: until then it may continue, and the others
// may fail.
type standby struct {
	x       *exchange
	ctx     context.Context
	current *leg

	mu    sync.Mutex
	timer *time.Timer
	// wait is the time without progress after which a leg starts, 0 if none may; due is the
	// end of the current one, zero while the current leg is not watched.
	wait time.Duration
	due  time.Time
	// silent is the name of the target or instance of the current leg, cause the reason for
	// which that leg is given up.
	silent string
	cause  error
	start  legStart
	// failed holds the targets and instances of standby legs that failed.
	failed legStart
	// base are the attempts of the call with the current leg, extra those of standby legs.
	base, extra counts
	// legs are all that were started, running those without a result.
	legs    []*leg
	running map[*leg]bool
	// started counts the legs since the last progress, failures those that failed or could
	// not start.
	started, failures int
	// winner is the leg that was answered, taken is set once it is the current one.
	winner *leg
	taken  bool
	// reported is set once the current stall is reported to the detour, noBudget if the
	// budget kept a leg from starting.
	reported, noBudget bool
	ended              bool
	// changed receives after a leg has ended or was answered.
	changed chan struct{}
	tasks   []*task.Task
}

// newStandby returns a standby for the current leg of a call.
func (x *exchange) newStandby(ctx context.Context, current *leg) *standby {
	s := &standby{x: x, ctx: ctx, current: current, running: map[*leg]bool{}, changed: make(chan struct{}, 1)}
	s.timer = time.AfterFunc(time.Hour, s.onSilence)
	s.timer.Stop()
	return s
}

// watch starts another leg if the current one is silent for a time. The attempts in base
// include the current one. A forwarded call is watched by the instance that forwarded it.
func (s *standby) watch(wait time.Duration, cause error, start legStart, base counts) {
	if s.x.forwarded != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	start.avoid = append(slices.Clip(start.avoid), s.failed.avoid...)
	start.reached = append(slices.Clip(start.reached), s.failed.reached...)
	start.neighbors = append(slices.Clip(start.neighbors), s.failed.neighbors...)
	start.failed = append(slices.Clip(start.failed), s.failed.failed...)
	s.wait, s.cause, s.start, s.base = wait, cause, start, base
	s.silent = cmp.Or(s.current.neighbor, s.current.target.ID.Name)
	s.start.exclude(s.current)
	if s.current.neighbor != "" && s.current.response != nil {
		s.start.avoid = append(s.start.avoid, s.current.target.ID.Name)
	}
	s.arm(wait, time.Now())
}

// arm starts the timer. The caller holds the lock.
func (s *standby) arm(wait time.Duration, now time.Time) {
	if s.wait > 0 && s.winner == nil && !s.ended {
		s.due = now.Add(wait)
		s.timer.Reset(wait)
	}
}

// armRetry starts the timer after a leg that failed or could not start. The caller holds
// the lock.
func (s *standby) armRetry() {
	delay := standbyRetryDelay << min(s.failures, maxStandbyDoublings)
	s.failures++
	s.arm(delay, time.Now())
}

// disarm stops the timer. The caller holds the lock.
func (s *standby) disarm() {
	s.due = time.Time{}
	s.timer.Stop()
}

// cancelRunning ends the legs without a result. The caller holds the lock.
func (s *standby) cancelRunning() {
	for l := range s.running {
		l.cancel(errSuperseded)
	}
	clear(s.running)
}

// resume watches the current leg again after progress.
func (s *standby) resume(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start.committed = s.x.committed
	s.arm(s.wait, now)
}

// progress records that the current leg continues, now after event lastEvent of sequence.
// It returns false if another leg has taken its place; nothing more of the current one may
// be used.
func (s *standby) progress(lastEvent string, sequence eventstream.Sequence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.winner != nil {
		return false
	}
	s.disarm()
	s.reported, s.failures, s.started = false, 0, 0
	s.start.lastEvent, s.start.sequence = lastEvent, sequence
	s.cancelRunning()
	return true
}

// isRunning reports whether a leg may still take the place of the current one.
func (s *standby) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.winner != nil || len(s.running) > 0
}

// attempts returns those of the standby legs.
func (s *standby) attempts() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.extra
}

// onSilence starts another leg if the call permits one now.
func (s *standby) onSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.due.IsZero() || now.Before(s.due) {
		return
	}
	s.due = time.Time{}
	if !s.reported {
		s.reported = true
		s.x.h.Detour.RecordSilence()
	}
	start, attempts := s.start, s.base.add(s.extra)
	if !s.x.permits(attempts, start) || s.started >= maxAttempts {
		return
	}
	if !s.x.mayTakeBudget(start, now) {
		s.noBudget = true
		s.armRetry()
		return
	}
	start.runs = attempts.runs
	for l := range s.running {
		if l.admitted {
			start.exclude(l)
		}
	}
	if start.committed {
		start.startBy = now.Add(resumeTimeout)
	}
	s.x.h.Log.Info("target is silent, another attempt starts", "id", s.x.call.ID, "target", s.silent,
		"silent-ms", s.wait.Milliseconds(), "after-event", start.lastEvent)
	l := s.x.newLeg(s.ctx, start)
	l.standby = true
	l.admit = func() error { return s.admit(l) }
	s.started++
	s.running[l] = true
	s.legs = append(s.legs, l)
	s.tasks = append(s.tasks, task.Start(s.ctx, "standby", func(context.Context) error {
		s.run(l)
		return nil
	}))
	s.arm(s.wait, now)
}

// admit takes a standby leg out of the retry budget before its call is sent, and counts it:
// once it is sent, it may run.
func (s *standby) admit(l *leg) error {
	const op = "start-standby"
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running[l] {
		return notRun(op, bamboorail.KindCancelled, 0, errSuperseded)
	}
	if s.isTaken(l) || !s.x.permits(s.base.add(s.extra), l.start) {
		return notRun(op, bamboorail.KindOverloaded, defaultRetryAfter, errNoAttempts)
	}
	if l.neighbor == "" && !s.x.h.Budget(l.start.service.Name).Take(time.Now()) {
		s.noBudget = true
		return notRun(op, bamboorail.KindOverloaded, defaultRetryAfter, errNoBudget)
	}
	l.admitted = true
	s.extra = s.extra.add(admittedCounts)
	return nil
}

// isTaken reports whether another leg already runs the call at the target of l. The caller
// holds the lock.
func (s *standby) isTaken(l *leg) bool {
	for other := range s.running {
		if other != l && other.admitted && l.neighbor == "" && other.neighbor == "" && other.target.ID == l.target.ID {
			return true
		}
	}
	return false
}

// settle replaces what admit counted by what became of a leg that failed. The caller holds
// the lock.
func (s *standby) settle(l *leg) {
	if !l.admitted {
		return
	}
	s.extra = s.extra.subtract(admittedCounts).add(l.limitedCounts())
	if !l.sent && l.neighbor == "" {
		s.x.h.Budget(l.start.service.Name).Return(time.Now())
	}
}

// run opens a standby leg, which takes the place of the current one if it is answered.
func (s *standby) run(l *leg) {
	l.open()
	if l.err == nil {
		if err := l.awaitContinuation(); err != nil {
			l.end(l.continuationError(err))
		}
	}
	if !s.finish(l) && l.err == nil {
		l.end(balance.Abandoned, mayHaveRun("send-call", bamboorail.KindCancelled, errSuperseded))
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// finish records the result of a standby leg. It returns true if the leg takes the place of
// the current one.
func (s *standby) finish(l *leg) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.err != nil {
		s.settle(l)
		s.failed.avoid = append(s.failed.avoid, l.avoid...)
		s.failed.reached = append(s.failed.reached, l.reached...)
		if l.neighbor != "" && l.admitted {
			s.failed.excludeNeighbor(l)
		}
	}
	if !s.running[l] {
		return false
	}
	delete(s.running, l)
	if l.err != nil {
		s.start.avoid = append(slices.Clip(s.start.avoid), l.avoid...)
		s.start.reached = append(slices.Clip(s.start.reached), l.reached...)
		if l.neighbor != "" && l.admitted {
			s.start.excludeNeighbor(l)
		}
		s.armRetry()
		return false
	}
	s.winner = l
	s.disarm()
	s.cancelRunning()
	s.current.cancel(s.cause)
	return true
}

// takeOver returns the leg that takes the place of the current one, which has no answer, or
// nil if there is none. It waits for legs that run until ctx ends.
func (s *standby) takeOver(ctx context.Context) *leg {
	for s.isPending() && ctx.Err() == nil {
		select {
		case <-s.changed:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	winner := s.winner
	s.taken = winner != nil
	s.cancelRunning()
	s.mu.Unlock()
	s.end()
	return winner
}

// isPending reports whether legs run and none was answered.
func (s *standby) isPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.winner == nil && len(s.running) > 0
}

// end ends the legs that still run, and one that was answered and is not taken.
func (s *standby) end() {
	s.mu.Lock()
	s.disarm()
	unused := s.winner
	if s.taken || s.ended {
		unused = nil
	}
	s.ended = true
	s.cancelRunning()
	tasks := s.tasks
	s.tasks = nil
	s.mu.Unlock()
	for _, t := range tasks {
		t.Join()
	}
	if unused != nil {
		unused.end(balance.Abandoned, mayHaveRun("send-call", bamboorail.KindCancelled, errSuperseded))
	}
}
