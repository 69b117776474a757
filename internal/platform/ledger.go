package platform

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

const ledgerPrefix = "ledger/"

// Holder is a session that holds or held the ownership of a target.
type Holder struct {
	// Term is the number of its term, which is also its fencing number.
	Term     uint64 `json:"term"`
	Session  string `json:"session"`
	Instance string `json:"instance"`
	Peer     string `json:"peer"`
	// Ended is set for an earlier holder that sends nothing new any more.
	Ended bool `json:"ended,omitempty"`
}

// Ownership is the entry of a target in a ledger.
type Ownership struct {
	// Current is the owner; its session is empty after a release.
	Current Holder `json:"current"`
	// Began is the owner's time at the beginning of the term.
	Began time.Time `json:"began"`
	// Earlier lists the earlier holders whose requests may still run.
	Earlier []Holder `json:"earlier,omitempty"`
}

// Clone returns a copy that shares nothing with o.
func (o Ownership) Clone() Ownership {
	o.Earlier = slices.Clone(o.Earlier)
	return o
}

// EndedThrough returns the highest term before which no holder sends
// anything new.
func (o Ownership) EndedThrough() uint64 {
	through := o.Current.Term - 1
	for _, h := range o.Earlier {
		if !h.Ended {
			through = min(through, h.Term-1)
		}
	}
	return through
}

// DrainedThrough returns the highest term without a running request.
func (o Ownership) DrainedThrough() uint64 {
	through := o.Current.Term - 1
	for _, h := range o.Earlier {
		through = min(through, h.Term-1)
	}
	return through
}

// tagBits is the part of a term number that tells sessions apart which claim
// the same generation, as they may while the store is away.
const tagBits = 32

// NextTerm returns the number of the term that a session begins after term.
func NextTerm(term uint64, session string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(session))
	return (term>>tagBits+1)<<tagBits | uint64(h.Sum32())
}

// Ledger records the owner of each target of a zone. It is one object that
// changes only by conditional update.
type Ledger struct {
	Targets map[string]Ownership `json:"targets"`
}

// NewLedger returns an empty ledger.
func NewLedger() Ledger { return Ledger{Targets: map[string]Ownership{}} }

// Clone returns a copy that shares nothing with l.
func (l Ledger) Clone() Ledger {
	c := Ledger{Targets: maps.Clone(l.Targets)}
	for k, o := range c.Targets {
		c.Targets[k] = o.Clone()
	}
	return c
}

// LedgerKey returns the key of the ledger of a zone.
func LedgerKey(zone string) string { return ledgerPrefix + zone }

// ReadLedger returns the ledger of a zone and its object version.
func ReadLedger(ctx context.Context, store bamboorail.ObjectStore, zone string) (Ledger, uint64, error) {
	o, err := store.Get(ctx, LedgerKey(zone))
	if err != nil {
		if bamboorail.KindOf(err) == bamboorail.KindNotFound {
			return NewLedger(), 0, nil
		}
		return Ledger{}, 0, err
	}
	l, err := ParseLedger(o.Value)
	return l, o.Version, err
}

// ParseLedger decodes a stored ledger.
func ParseLedger(value []byte) (Ledger, error) {
	l := NewLedger()
	if err := json.Unmarshal(value, &l); err != nil {
		return Ledger{}, fail("read-ledger", bamboorail.KindInvalidRecord, err)
	}
	return l, nil
}

// WriteLedger replaces the ledger of a zone if its version is expect. After an
// error other than a conflict the write may have taken effect; the next read
// tells.
func WriteLedger(ctx context.Context, store bamboorail.ObjectStore, zone string, l Ledger, expect uint64) (uint64, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return 0, fail("write-ledger", bamboorail.KindInternal, err)
	}
	return store.Put(ctx, LedgerKey(zone), value, expect)
}
