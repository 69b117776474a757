// Package lease elects one holder for each group of engines through
// conditional updates of one object a group. A lease decides who may order
// engines; engines themselves drop orders that were decided on an old view.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
)

// Timing are the times of a lease.
type Timing struct {
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// Term is the time after the sending of the last confirmed renewal in
	// which the holder may act.
	Term time.Duration
	// Gap is the least time between the last act of a holder and the first of
	// its successor.
	Gap time.Duration
}

// record is the value of a lease object.
type record struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Renewals changes with each renewal, so that each has a revision.
	Renewals uint64 `json:"renewals"`
	// Acting is set once the holder's gap has passed, so that nobody else acted
	// since within it.
	Acting bool `json:"acting"`
	// Released is set by a holder that leaves.
	Released bool `json:"released"`
}

// Lease is the state of one group's lease as this instance sees it.
type Lease struct {
	key     string
	self    string
	address string
	timing  Timing
	store   bamboorail.ObjectStore
	clock   Clock
	log     hclog.Logger

	mu sync.Mutex
	// seen is the last record read or written, at revision; unchangedSince is
	// the time at which this revision was first seen.
	seen           record
	revision       uint64
	unchangedSince time.Duration
	// held and fencing describe an own tenure: it may act between actFrom and
	// actUntil.
	held     bool
	fencing  uint64
	actFrom  time.Duration
	actUntil time.Duration
	// owed is set while the end of a tenure is not recorded yet; acted tells
	// whether this instance could act in it.
	owed, acted bool
	// askedSince and askedLast are the first and the last of the questions by
	// instances of the lease's own zone that followed each other closely.
	askedSince, askedLast time.Duration
	// renewal is the time that the store took for the last confirmed renewal.
	renewal time.Duration
}

// Config configures a lease.
type Config struct {
	// Key is the key of the lease object.
	Key string
	// Holder names this instance, Address is where peers reach it.
	Holder, Address string
	Timing          Timing
	Store           bamboorail.ObjectStore
	Clock           Clock
	Log             hclog.Logger
}

// New returns a lease that is not held.
func New(c Config) *Lease {
	return &Lease{
		key: c.Key, self: c.Holder, address: c.Address, timing: c.Timing, store: c.Store, clock: c.Clock, log: c.Log,
	}
}

// Tenure returns the fencing number and true while this instance may act.
func (l *Lease) Tenure() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.fencing, l.held && now >= l.actFrom && now < l.actUntil
}

// Fencing returns the fencing number of the last own tenure.
func (l *Lease) Fencing() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing
}

// Leading reports whether this instance holds the lease as far as it knows. It
// may have to wait before it acts, or may not act any more because its tenure
// has lapsed; nobody has a better view until another holder is seen.
func (l *Lease) Leading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Asked takes in a question by an instance of the lease's own zone, which could
// hold the lease itself.
func (l *Lease) Asked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if now-l.askedLast > askedPause {
		l.askedSince = now
	}
	l.askedLast = now
}

// askedFor reports whether this instance holds the lease, and was asked without
// a longer pause for a time.
func (l *Lease) askedFor(d, pause time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.held && l.askedLast > 0 && now-l.askedLast <= pause && now-l.askedSince >= d
}

// staleList is the time by which a listed lease may be old, with the time
// between looks at it.
const staleList = 4 * time.Second

// Alive reports whether somebody renews the lease, as far as this instance
// sees it.
func (l *Lease) Alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision > 0 && !l.seen.Released && !l.owed && l.clock()-l.unchangedSince < l.timing.Term+staleList
}

// Holder returns the name and address of the holder that was last seen.
func (l *Lease) Holder() (name, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen.Released || l.owed {
		return "", ""
	}
	return l.seen.Holder, l.seen.Address
}

// Observe takes in the lease object as read from the store, which may be old.
func (l *Lease) Observe(o bamboorail.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Version <= l.revision {
		return
	}
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		l.log.Warn("lease object is unreadable", "key", l.key, "revision", o.Version, "error", err)
		r = record{}
	}
	if l.held && (r.Holder != l.self || r.Address != l.address) {
		l.log.Info("lease lost", "key", l.key, "to", r.Holder, "revision", o.Version)
		l.held = false
	}
	if r.Released || r.Holder != l.self || r.Address != l.address {
		l.owed = false
	}
	l.seen, l.revision, l.unchangedSince = r, o.Version, l.clock()
}

// refresh reads the lease object. A lease that nobody took yet has none.
func (l *Lease) refresh(ctx context.Context) error {
	o, err := l.store.Get(ctx, l.key)
	if bamboorail.KindOf(err) == bamboorail.KindNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	l.Observe(o)
	return nil
}

// Claimable reports whether the lease is free, or was not renewed for the
// time in which its holder may act.
func (l *Lease) Claimable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held && l.clock() < l.actUntil {
		return false
	}
	return l.revision == 0 || l.seen.Released || l.seen.Holder == l.self || l.clock()-l.unchangedSince > l.timing.Term
}

// Claim tries to take a lease that is claimable.
func (l *Lease) Claim(ctx context.Context) error {
	l.mu.Lock()
	previous, revision, since := l.seen, l.revision, l.unchangedSince
	l.mu.Unlock()
	sent := l.clock()
	next := record{
		Holder: l.self, Address: l.address, Renewals: previous.Renewals + 1,
		Acting: l.firstAct(previous, since, sent, revision) <= sent,
	}
	won, err := l.write(ctx, next, revision)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.seen, l.revision, l.unchangedSince = next, won, now
	l.held, l.owed, l.fencing, l.actUntil = true, false, won, sent+l.timing.Term
	l.actFrom = l.firstAct(previous, since, now, revision)
	l.log.Info("lease taken", "key", l.key, "from", previous.Holder, "fencing", won, "acts-in", (l.actFrom - now).String())
	return nil
}

// firstAct returns the time from which a new holder may act. The previous one
// acted until it released the lease, or for a term after its last renewal.
func (l *Lease) firstAct(previous record, since, now time.Duration, revision uint64) time.Duration {
	switch {
	case revision == 0, previous.Acting && previous.Holder == l.self && previous.Address == l.address:
		return now
	case previous.Released:
		return max(now, since+l.timing.Gap)
	}
	return max(now, since+l.timing.Term+l.timing.Gap)
}

// Renew extends an own tenure.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	sent := l.clock()
	next, revision := l.seen, l.revision
	next.Acting = next.Acting || sent >= l.actFrom
	l.mu.Unlock()
	next.Renewals++
	won, err := l.write(ctx, next, revision)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return nil
	}
	if sent >= l.actUntil {
		// The tenure lapsed before this renewal was sent. Nobody else took the
		// lease, but it starts anew with a fencing number of its own.
		l.fencing = won
	}
	l.seen, l.revision, l.unchangedSince = next, won, l.clock()
	l.actUntil, l.renewal = sent+l.timing.Term, l.unchangedSince-sent
	return nil
}

// RenewalTime returns the time that the store took for the last confirmed
// renewal.
func (l *Lease) RenewalTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewal
}

// Release gives an own tenure up; this instance does not act afterwards. After
// an error the release is still owed.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	if l.held {
		l.held, l.owed, l.acted = false, true, l.seen.Acting || l.clock() >= l.actFrom
	}
	owed, next, revision := l.owed, l.seen, l.revision
	next.Acting, next.Released = l.acted, true
	l.mu.Unlock()
	if !owed {
		return nil
	}
	won, err := l.write(ctx, next, revision)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.owed:
		// The store has the release, or another holder, by now.
		return nil
	case err != nil:
		return err
	}
	l.owed, l.seen, l.revision, l.unchangedSince = false, next, won, l.clock()
	return nil
}

// owesRelease reports whether a release is not recorded yet.
func (l *Lease) owesRelease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owed
}

// write stores a record and takes in the object of a conflicting writer.
func (l *Lease) write(ctx context.Context, r record, revision uint64) (uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	won, err := l.store.Put(ctx, l.key, value, revision)
	if err == nil {
		return won, nil
	}
	if bamboorail.KindOf(err) == bamboorail.KindConflict {
		// The object may be the own earlier write whose answer was lost.
		o, readErr := l.store.Get(ctx, l.key)
		if readErr != nil {
			return 0, errors.Join(err, readErr)
		}
		l.Observe(o)
	}
	return 0, err
}
