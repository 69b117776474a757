package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
	"bamboorail.example/bamboorail/internal/placement"
)

const (
	// IDWindow is the age up to which a request id is accepted; a keeper
	// remembers ids at least that long.
	IDWindow = 10 * time.Minute
	// ClockSkew is the largest assumed difference between the clocks of
	// callers and keepers. An id issued less than this after the beginning of
	// a term may have been seen in an earlier one.
	ClockSkew = 2 * time.Second

	evidenceRetryAfter = 2 * time.Second
	keeperQueue        = 1024
)

var errNoAdapters = errors.New("an application holds no adapters")

// Backend is an application target that a keeper may call.
type Backend struct {
	Name        string
	Limit       int
	Application bamboorail.Application
}

// Deduplicator owns one shard of the request ids of a service in a zone. It sends
// each id to a target at most once. It keeps ids only in memory: what an
// earlier keeper saw is unknown, and answered as such.
type Deduplicator struct {
	name string
	log  Logger

	mu       sync.Mutex
	evidence placement.TermHistory
	began    time.Time
	backends []*backend
	seen     map[string]time.Time
	swept    time.Time
	closed   error
}

// Logger is the part of a logger that a keeper needs.
type Logger interface {
	Debug(msg string, args ...any)
}

type backend struct {
	Backend
	gate *admission.Gate
}

// NewDeduplicator returns the keeper of a shard for the term that began at began.
func NewDeduplicator(name string, e placement.TermHistory, began time.Time, log Logger) *Deduplicator {
	return &Deduplicator{name: name, log: log, evidence: e, began: began, seen: map[string]time.Time{}}
}

// SetEvidence passes on what was learnt about earlier terms.
func (k *Deduplicator) SetEvidence(e placement.TermHistory) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evidence = e
}

// SetBackends replaces the targets that may get new calls.
func (k *Deduplicator) SetBackends(list []Backend) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := make([]*backend, 0, len(list))
	for _, b := range list {
		i := slices.IndexFunc(k.backends, func(o *backend) bool { return o.Name == b.Name })
		if i < 0 {
			next = append(next, &backend{Backend: b, gate: admission.NewGate(b.Limit, keeperQueue)})
			continue
		}
		k.backends[i].gate.SetLimit(b.Limit)
		next = append(next, &backend{Backend: b, gate: k.backends[i].gate})
	}
	k.backends = next
}

// Close refuses new and waiting calls with err; running ones go on.
func (k *Deduplicator) Close(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = err
	for _, b := range k.backends {
		b.gate.Close(err)
	}
}

// Running returns the number of calls that run.
func (k *Deduplicator) Running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, b := range k.backends {
		n += b.gate.Running()
	}
	return n
}

var _ bamboorail.Dispatcher = (*Deduplicator)(nil)

// Dispatch sends a call to a target once and writes the answer to s. A call
// that provably did not reach a target goes to the next one.
func (k *Deduplicator) Dispatch(ctx context.Context, w *bamboorail.Request, s bamboorail.Sink) error {
	arrived := time.Now()
	tried := map[string]bool{}
	for {
		b, err := k.choose(tried)
		if err != nil {
			return err
		}
		err = k.dispatchTo(ctx, b, w, s, arrived)
		if err == nil || !bamboorail.NotRun(err) || bamboorail.KindOf(err) != bamboorail.KindUnavailable {
			return err
		}
		tried[b.Name] = true
		if len(tried) == k.backendCount() {
			return err
		}
	}
}

func (k *Deduplicator) backendCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.backends)
}

func (k *Deduplicator) dispatchTo(ctx context.Context, b *backend, w *bamboorail.Request, s bamboorail.Sink, arrived time.Time) error {
	if err := b.gate.Enter(ctx, w, arrived); err != nil {
		return err
	}
	defer b.gate.Leave()
	if err := k.claim(w, time.Now()); err != nil {
		return err
	}
	err := b.Application.Call(ctx, w, &meteredSink{Sink: s, head: bamboorail.ResponseHead{
		Target: b.Name, QueueWait: time.Since(arrived),
	}})
	if err != nil && bamboorail.NotRun(err) {
		k.unclaim(w)
	}
	return err
}

// choose returns the target with the most room that was not tried yet.
func (k *Deduplicator) choose(tried map[string]bool) (*backend, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed != nil {
		return nil, k.closed
	}
	left := slices.DeleteFunc(slices.Clone(k.backends), func(b *backend) bool { return tried[b.Name] })
	if len(left) == 0 {
		return nil, notRun("choose-target", bamboorail.KindNoTarget, evidenceRetryAfter,
			fmt.Errorf("no target of %s takes calls", k.name))
	}
	return slices.MaxFunc(left, func(a, b *backend) int {
		return (a.Limit - a.gate.Running()) - (b.Limit - b.gate.Running())
	}), nil
}

// claim records an id before its call leaves. It refuses an id that was or
// may have been sent before.
func (k *Deduplicator) claim(w *bamboorail.Request, now time.Time) error {
	const op = "claim-request-id"
	if w.IssuedAt.IsZero() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.evidence.EarlierTermsEnded() {
		return notRun(op, bamboorail.KindUnavailable, evidenceRetryAfter,
			errors.New("an earlier keeper of these ids may still run"))
	}
	if err := checkAge(w, k.began, now); err != nil {
		return err
	}
	k.sweep(now)
	if _, ok := k.seen[w.RequestID]; ok {
		return alreadySeen(op, errors.New("the id was sent before"))
	}
	k.seen[w.RequestID] = w.IssuedAt
	return nil
}

func checkAge(w *bamboorail.Request, began, now time.Time) error {
	const op = "check-request-id"
	switch {
	case w.IssuedAt.After(now.Add(ClockSkew)):
		return notRun(op, bamboorail.KindBadRequest, 0, fmt.Errorf("the id was issued %s in the future", w.IssuedAt.Sub(now).Round(time.Millisecond)))
	case now.Sub(w.IssuedAt) > IDWindow:
		return alreadySeen(op, fmt.Errorf("the id is older than %s", IDWindow))
	case w.IssuedAt.Before(began.Add(ClockSkew)):
		return alreadySeen(op, errors.New("the id was issued before its keeper took over"))
	}
	return nil
}

func alreadySeen(op string, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindAlreadySeen, Outcome: bamboorail.OutcomeMayHaveRun, Err: err}}
}

// unclaim forgets an id whose call provably did not leave.
func (k *Deduplicator) unclaim(w *bamboorail.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.seen, w.RequestID)
}

// sweep drops ids that are too old to be accepted again.
func (k *Deduplicator) sweep(now time.Time) {
	if now.Sub(k.swept) < IDWindow/10 {
		return
	}
	k.swept = now
	for id, issued := range k.seen {
		if now.Sub(issued) > IDWindow+ClockSkew {
			delete(k.seen, id)
		}
	}
}
