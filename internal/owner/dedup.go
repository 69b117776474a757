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
	// IDWindow is the maximum age of an accepted request id. Ids are remembered
	// at least that long.
	IDWindow = 10 * time.Minute
	// MaxClockSkew is the maximum assumed difference between the clocks of
	// callers and instances. An id issued less than this after the start of a
	// term may have been seen in an earlier one.
	MaxClockSkew = 2 * time.Second

	retryAfter     = 2 * time.Second
	maxQueuedCalls = 1024
)

var errNoAdapters = errors.New("applications have no adapters")

// Backend is an application target to which calls may be sent.
type Backend struct {
	Name        string
	Limit       int
	Application bamboorail.Application
}

// Deduplicator owns one shard of the request ids of a service in a zone. It
// sends each id to a target at most once. Ids are kept only in memory: whether
// an earlier owner saw an id is unknown, and a call with such an id is answered
// accordingly.
type Deduplicator struct {
	name string
	log  Logger

	mu        sync.Mutex
	history   placement.TermHistory
	began     time.Time
	backends  []*backend
	seen      map[string]time.Time
	lastSweep time.Time
	closed    error
}

// Logger is the part of a logger that a Deduplicator needs.
type Logger interface {
	Debug(msg string, args ...any)
}

type backend struct {
	Backend
	gate *admission.Gate
}

// NewDeduplicator returns the owner of a shard for the term that began at
// began.
func NewDeduplicator(name string, history placement.TermHistory, began time.Time, log Logger) *Deduplicator {
	return &Deduplicator{name: name, log: log, history: history, began: began, seen: map[string]time.Time{}}
}

// SetTermHistory replaces the term history.
func (d *Deduplicator) SetTermHistory(history placement.TermHistory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = history
}

// SetBackends replaces the targets that may receive new calls.
func (d *Deduplicator) SetBackends(list []Backend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make([]*backend, 0, len(list))
	for _, b := range list {
		i := slices.IndexFunc(d.backends, func(o *backend) bool { return o.Name == b.Name })
		if i < 0 {
			next = append(next, &backend{Backend: b, gate: admission.NewGate(b.Limit, maxQueuedCalls)})
			continue
		}
		d.backends[i].gate.SetLimit(b.Limit)
		next = append(next, &backend{Backend: b, gate: d.backends[i].gate})
	}
	d.backends = next
}

// Close refuses new and waiting calls with err. Running calls continue.
func (d *Deduplicator) Close(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = err
	for _, b := range d.backends {
		b.gate.Close(err)
	}
}

// Running returns the number of running calls.
func (d *Deduplicator) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, b := range d.backends {
		n += b.gate.Running()
	}
	return n
}

var _ bamboorail.Dispatcher = (*Deduplicator)(nil)

// Dispatch sends a call to a target once and writes the answer to s. A call
// that provably did not reach a target is sent to the next one.
func (d *Deduplicator) Dispatch(ctx context.Context, req *bamboorail.Request, s bamboorail.Sink) error {
	arrived := time.Now()
	tried := map[string]bool{}
	for {
		b, err := d.chooseBackend(tried)
		if err != nil {
			return err
		}
		err = d.dispatchTo(ctx, b, req, s, arrived)
		if err == nil || !bamboorail.NotRun(err) || bamboorail.KindOf(err) != bamboorail.KindUnavailable {
			return err
		}
		tried[b.Name] = true
		if len(tried) == d.backendCount() {
			return err
		}
	}
}

func (d *Deduplicator) backendCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.backends)
}

func (d *Deduplicator) dispatchTo(ctx context.Context, b *backend, req *bamboorail.Request, s bamboorail.Sink, arrived time.Time) error {
	if err := b.gate.Enter(ctx, req, arrived); err != nil {
		return err
	}
	defer b.gate.Leave()
	if err := d.claim(req, time.Now()); err != nil {
		return err
	}
	err := b.Application.Call(ctx, req, &meteredSink{Sink: s, head: bamboorail.ResponseHead{
		Target: b.Name, QueueWait: time.Since(arrived),
	}})
	if err != nil && bamboorail.NotRun(err) {
		d.releaseClaim(req)
	}
	return err
}

// chooseBackend returns the target with the most free capacity that was not
// tried yet.
func (d *Deduplicator) chooseBackend(tried map[string]bool) (*backend, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed != nil {
		return nil, d.closed
	}
	left := slices.DeleteFunc(slices.Clone(d.backends), func(b *backend) bool { return tried[b.Name] })
	if len(left) == 0 {
		return nil, notRun("choose-target", bamboorail.KindNoTarget, retryAfter,
			fmt.Errorf("no target of %s accepts calls", d.name))
	}
	return slices.MaxFunc(left, func(a, b *backend) int {
		return (a.Limit - a.gate.Running()) - (b.Limit - b.gate.Running())
	}), nil
}

// claim records an id before its call is sent. It refuses an id that was, or
// may have been, sent before.
func (d *Deduplicator) claim(req *bamboorail.Request, now time.Time) error {
	const op = "claim-request-id"
	if req.IssuedAt.IsZero() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.history.EarlierTermsEnded() {
		return notRun(op, bamboorail.KindUnavailable, retryAfter,
			errors.New("an earlier owner of this request-id shard may still send calls"))
	}
	if err := checkAge(req, d.began, now); err != nil {
		return err
	}
	d.dropExpired(now)
	if _, ok := d.seen[req.RequestID]; ok {
		return alreadySeen(op, errors.New("request id was already sent"))
	}
	d.seen[req.RequestID] = req.IssuedAt
	return nil
}

func checkAge(req *bamboorail.Request, began, now time.Time) error {
	const op = "check-request-id"
	switch {
	case req.IssuedAt.After(now.Add(MaxClockSkew)):
		return notRun(op, bamboorail.KindBadRequest, 0, fmt.Errorf("request id was issued %s in the future", req.IssuedAt.Sub(now).Round(time.Millisecond)))
	case now.Sub(req.IssuedAt) > IDWindow:
		return alreadySeen(op, fmt.Errorf("request id is older than %s", IDWindow))
	case req.IssuedAt.Before(began.Add(MaxClockSkew)):
		return alreadySeen(op, errors.New("request id was issued before the term of its current owner"))
	}
	return nil
}

func alreadySeen(op string, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindAlreadySeen, Outcome: bamboorail.OutcomeMayHaveRun, Err: err}}
}

// releaseClaim removes an id whose call was provably not sent.
func (d *Deduplicator) releaseClaim(req *bamboorail.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.seen, req.RequestID)
}

// dropExpired drops ids that are too old to be accepted again.
func (d *Deduplicator) dropExpired(now time.Time) {
	if now.Sub(d.lastSweep) < IDWindow/10 {
		return
	}
	d.lastSweep = now
	for id, issued := range d.seen {
		if now.Sub(issued) > IDWindow+MaxClockSkew {
			delete(d.seen, id)
		}
	}
}
