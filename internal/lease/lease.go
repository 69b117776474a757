// Package lease elects one holder for each group of engines through conditional
// updates of one object per group. A lease determines which instance may send
// orders to engines; the engines themselves reject orders that were based on an
// outdated state.
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

// Timing holds the durations of a lease.
type Timing struct {
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration
	// Term is the time for which the holder may act, counted from the sending
	// of the last confirmed renewal.
	Term time.Duration
	// Gap is the minimum time between the last action of a holder and the first
	// action of its successor.
	Gap time.Duration
}

// Lease is this instance's view of a lease.
type Lease struct {
	key     string
	self    string
	address string
	timing  Timing
	store   bamboorail.ObjectStore
	clock   Clock
	log     hclog.Logger

	mu sync.Mutex
	// lastRecord is the last record that was read or written, at revision;
	// unchangedSince is the time at which this revision was first seen.
	lastRecord     record
	revision       bamboorail.StoreVersion
	unchangedSince time.Duration
	// held and fencing describe a tenure of this instance, which may act
	// between actFrom and actUntil.
	held         bool
	fencingToken uint64
	// takenOver is set for a tenure that began after another one lapsed.
	takenOver bool
	// succeeds is set if the lease had a holder before, whatever its instance.
	succeeds bool
	// confirmedEra is the era of the last confirmed write of the tenure.
	confirmedEra uint64
	// disappeared is set once the lease object was missing after it had been seen.
	disappeared bool
	actFrom     time.Duration
	actUntil    time.Duration
	// releasePending is set while the end of a tenure has not been recorded in
	// the store; couldAct is set if this instance could act during the tenure.
	releasePending, couldAct bool
	// firstRequest and lastRequest are the times of the first and the last
	// request in a series of requests by instances of the lease's zone, none
	// more than maxRequestGap after the previous one.
	firstRequest, lastRequest time.Duration
	// renewalLatency is the time that the store took for the last confirmed
	// renewal.
	renewalLatency time.Duration
}

// Config configures a lease.
type Config struct {
	// Key is the key of the lease object.
	Key string
	// Holder is the name of this instance, Address its peer address.
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

// Tenure returns the fencing token, and whether this instance may act.
func (l *Lease) Tenure() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.fencingToken, l.held && now >= l.actFrom && now < l.actUntil
}

// WaitToAct returns 0 if this instance may act, the time until its tenure begins
// to permit it, or a term if its tenure has lapsed: nobody knows for how long the
// store does not answer.
func (l *Lease) WaitToAct() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	switch {
	case l.held && now < l.actFrom:
		return l.actFrom - now
	case l.held && now < l.actUntil:
		return 0
	}
	return l.timing.Term
}

// FencingToken returns the fencing token of this instance's last tenure.
func (l *Lease) FencingToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken
}

// Leading reports whether this instance holds the lease as far as it knows. It
// may still have to wait before it acts, or may no longer act because its
// tenure has lapsed. No other instance has a more current view until another
// holder is seen.
func (l *Lease) Leading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Confirmed returns the fencing token, and whether the store confirmed the tenure within the
// last term. No other instance claims the lease of a confirmed tenure, unless the store lost
// its record. A tenure is confirmed before it permits orders.
func (l *Lease) Confirmed() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken, l.held && l.clock() < l.actUntil
}

// IsTakenOver reports whether the tenure began after the lease of another instance lapsed, which
// may not have noticed.
func (l *Lease) IsTakenOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takenOver
}

// IsSuccessor reports whether the lease had a holder before, whatever its instance.
func (l *Lease) IsSuccessor() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.succeeds
}

// RecordZoneRequest records a request by an instance of the lease's zone, which
// could hold the lease itself.
func (l *Lease) RecordZoneRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if now-l.lastRequest > maxRequestGap {
		l.firstRequest = now
	}
	l.lastRequest = now
}

// requestedByZone reports whether this instance holds the lease and has
// received requests from the lease's zone for at least threshold, without a gap
// longer than maxGap.
func (l *Lease) requestedByZone(threshold, maxGap time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.held && l.lastRequest > 0 && now-l.lastRequest <= maxGap && now-l.firstRequest >= threshold
}

// maxListStaleness is the maximum age of a listed lease, including the poll
// interval.
const maxListStaleness = 4 * time.Second

// Alive reports whether the lease is being renewed as far as this instance
// knows.
func (l *Lease) Alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision > 0 && !l.lastRecord.Released && !l.releasePending && l.clock()-l.unchangedSince < l.timing.Term+maxListStaleness
}

// Holder returns the name and the address of the last known holder.
func (l *Lease) Holder() (name, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastRecord.Released || l.releasePending {
		return "", ""
	}
	return l.lastRecord.Holder, l.lastRecord.Address
}

// Held returns the lease object as this instance last wrote it, and false if it
// does not hold the lease.
func (l *Lease) Held() (bamboorail.Object, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return bamboorail.Object{}, false
	}
	value, err := json.Marshal(l.lastRecord)
	if err != nil {
		l.log.Error("failed to encode lease object", "key", l.key, "error", err)
		return bamboorail.Object{}, false
	}
	return bamboorail.Object{Key: l.key, Version: l.revision, Value: value}, true
}

// Claim tries to claim a claimable lease.
func (l *Lease) Claim(ctx context.Context) error {
	l.mu.Lock()
	previous, revision, since := l.lastRecord, l.revision, l.unchangedSince
	l.mu.Unlock()
	sent := l.clock()
	next := record{
		Holder: l.self, Address: l.address, Renewals: previous.Renewals + 1, Era: revision.Era(),
		Acting: revision > 0 && l.earliestActTime(previous, since, sent, revision) <= sent,
	}
	newRevision, err := l.write(ctx, next, revision)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.lastRecord, l.revision, l.unchangedSince = next, newRevision, now
	l.held, l.releasePending, l.fencingToken, l.actUntil = true, false, uint64(newRevision), sent+l.timing.Term
	l.actFrom = l.earliestActTime(previous, since, now, revision)
	l.takenOver = revision > 0 && !previous.Released && (previous.Holder != l.self || previous.Address != l.address)
	l.succeeds = revision > 0 || l.disappeared
	if revision == 0 && (newRevision.Era() > 0 || l.disappeared) {
		// Claims before a restore may be lost.
		l.actFrom = now + l.timing.Term + l.timing.Gap
	}
	l.confirmedEra, l.disappeared = newRevision.Era(), false
	l.log.Info("lease taken", "key", l.key, "from", previous.Holder, "fencing", uint64(newRevision), "acts-in", (l.actFrom - now).String())
	return nil
}

// earliestActTime returns the time from which a new holder may act. The
// previous holder may have acted until it released the lease, or for a term
// after its last renewal. A restored record does not tell who was the last one.
func (l *Lease) earliestActTime(previous record, since, now time.Duration, revision bamboorail.StoreVersion) time.Duration {
	switch {
	case previous.isRestored(revision):
		return max(now, since+l.timing.Term+l.timing.Gap)
	case revision == 0, previous.Acting && previous.Holder == l.self && previous.Address == l.address:
		return now
	case previous.Released && previous.Acting:
		return max(now, since+l.timing.Gap)
	}
	return max(now, since+l.timing.Term+l.timing.Gap)
}

// Renew extends the tenure of this instance.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	sent := l.clock()
	next, revision := l.lastRecord, l.revision
	lapsed := sent >= l.actUntil
	next.Era = revision.Era()
	next.Acting = next.Acting || sent >= l.actFrom
	if lapsed && next.Era != l.confirmedEra {
		next.Acting = false
	}
	l.mu.Unlock()
	next.Renewals++
	newRevision, err := l.write(ctx, next, revision)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return nil
	}
	if lapsed {
		// The tenure lapsed before this renewal was sent. No other instance
		// claimed the lease, but a new tenure with its own fencing token
		// starts.
		l.fencingToken = uint64(newRevision)
	}
	if lapsed && newRevision.Era() != l.confirmedEra {
		// A claim of another instance may have been lost in a restore.
		l.actFrom = l.clock() + l.timing.Term + l.timing.Gap
	}
	l.confirmedEra = newRevision.Era()
	l.lastRecord, l.revision, l.unchangedSince = next, newRevision, l.clock()
	l.actUntil, l.renewalLatency = sent+l.timing.Term, l.unchangedSince-sent
	return nil
}

// RenewalLatency returns the time that the store took for the last confirmed
// renewal.
func (l *Lease) RenewalLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewalLatency
}

// Release ends the tenure of this instance, which does not act afterwards.
// After an error the release is still pending.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	if l.held {
		l.held, l.releasePending, l.couldAct = false, true, l.lastRecord.Acting || l.clock() >= l.actFrom
	}
	pending, next, revision := l.releasePending, l.lastRecord, l.revision
	next.Acting, next.Released = l.couldAct, true
	l.mu.Unlock()
	if !pending {
		return nil
	}
	newRevision, err := l.write(ctx, next, revision)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.releasePending:
		// The store already has the release or another holder.
		return nil
	case err != nil:
		return err
	}
	l.releasePending, l.lastRecord, l.revision, l.unchangedSince = false, next, newRevision, l.clock()
	return nil
}

// hasPendingRelease reports whether a release has not been recorded yet.
func (l *Lease) hasPendingRelease() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releasePending
}

// write stores a record. On a conflict it observes the current object.
func (l *Lease) write(ctx context.Context, r record, revision bamboorail.StoreVersion) (bamboorail.StoreVersion, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	newRevision, err := l.store.Put(ctx, l.key, value, revision)
	if err == nil {
		return newRevision, nil
	}
	if bamboorail.KindOf(err) == bamboorail.KindConflict {
		// The object may be this instance's own earlier write whose answer was
		// lost.
		if readErr := l.refresh(ctx); readErr != nil {
			return 0, errors.Join(err, readErr)
		}
	}
	return 0, err
}
