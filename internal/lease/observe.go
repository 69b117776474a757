package lease

import (
	"context"
	"encoding/json"

	"bamboorail.example/bamboorail"
)

// record is the value of a lease object.
type record struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Renewals changes with each renewal, so that each renewal produces a new
	// revision.
	Renewals uint64 `json:"renewals"`
	// Acting is set once the holder's gap has passed: no other instance has
	// acted since. A release without it does not end the wait of the holder.
	Acting bool `json:"acting"`
	// Released is set by a holder that gives the lease up.
	Released bool `json:"released"`
	// Era is the era of the store in which the record was written.
	Era uint64 `json:"era,omitempty"`
}

// isRestored reports whether a record that was read at this version was written
// before the store was restored from a copy. It may be older than others that are
// lost, of which nothing can be concluded.
func (r record) isRestored(at bamboorail.StoreVersion) bool { return r.Era < at.Era() }

// Observe applies the lease object as read from the store. Outdated versions
// are ignored.
func (l *Lease) Observe(o bamboorail.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Version <= l.revision {
		return
	}
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		l.log.Warn("failed to decode lease object", "key", l.key, "revision", o.Version, "error", err)
		r = record{}
	}
	if o.Version.Era() > l.revision.Era() && l.revision > 0 {
		l.log.Info("lease restored", "key", l.key, "to", r.Holder, "era", o.Version.Era(), "revision", o.Version.Revision())
	}
	if r.isRestored(o.Version) && l.held && l.clock() < l.actUntil {
		// The copy is older than the tenure, which is still valid: until it ends, no
		// other instance acts, and the next renewal writes it again.
		l.revision, l.unchangedSince = o.Version, l.clock()
		return
	}
	if l.held && (r.Holder != l.self || r.Address != l.address) {
		l.log.Info("lease lost", "key", l.key, "to", r.Holder, "revision", o.Version)
		l.held = false
	}
	if r.Released || r.Holder != l.self || r.Address != l.address {
		l.releasePending = false
	}
	l.lastRecord, l.revision, l.unchangedSince = r, o.Version, l.clock()
}

// refresh reads the lease object. A lease that was never claimed has none.
func (l *Lease) refresh(ctx context.Context) error {
	o, err := l.store.Get(ctx, l.key)
	if bamboorail.KindOf(err) == bamboorail.KindNotFound {
		l.observeMissing()
		return nil
	}
	if err != nil {
		return err
	}
	l.Observe(o)
	return nil
}

// observeMissing records that the store has no lease object. One that was seen
// before is missing if the store was restored from a copy made before its first
// claim.
func (l *Lease) observeMissing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == 0 {
		return
	}
	l.log.Info("lease object is missing", "key", l.key, "revision", l.revision)
	l.disappeared, l.revision, l.unchangedSince = true, 0, l.clock()
	if !l.held || l.clock() >= l.actUntil {
		l.held, l.releasePending, l.lastRecord = false, false, record{}
	}
}

// Claimable reports whether the lease is free, or was not renewed for the time
// in which its holder may act.
func (l *Lease) Claimable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held && l.clock() < l.actUntil {
		return false
	}
	if l.revision == 0 || l.clock()-l.unchangedSince > l.timing.Term {
		return true
	}
	return !l.lastRecord.isRestored(l.revision) && (l.lastRecord.Released || l.lastRecord.Holder == l.self)
}
