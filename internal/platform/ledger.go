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

// Holder is a session that owns or owned a target.
type Holder struct {
	// Term is the number of its ownership term, which is also its fencing token.
	Term     uint64 `json:"term"`
	Session  string `json:"session"`
	Instance string `json:"instance"`
	Peer     string `json:"peer"`
	// State is empty for a holder that may still send requests and orders.
	State HolderState `json:"state,omitempty"`
}

// HolderState is the known state of an earlier holder.
type HolderState string

// The states of earlier holders that send no new requests or orders.
const (
	// HolderReleased has confirmed that it sends no new requests or orders and
	// that none of its orders is in flight.
	HolderReleased HolderState = "released"
	// HolderGone is a holder whose process no longer exists.
	HolderGone HolderState = "gone"
	// HolderReleasedGone is a released holder whose process no longer exists.
	HolderReleasedGone HolderState = "released-gone"
)

// Ownership is the entry of a target in a ledger.
type Ownership struct {
	// Current is the owner. Its session is empty after a release.
	Current Holder `json:"current"`
	// StartedAt is the start of the term by the owner's clock.
	StartedAt time.Time `json:"began"`
	// Earlier lists the earlier holders whose requests may still be running.
	Earlier []Holder `json:"earlier,omitempty"`
}

// Clone returns a deep copy of o.
func (o Ownership) Clone() Ownership {
	o.Earlier = slices.Clone(o.Earlier)
	return o
}

// sessionTagBits is the number of low bits of a term number that distinguish
// sessions. Sessions may claim the same generation while the store is unavailable.
const sessionTagBits = 32

// NextTerm returns the number of the term that session starts after term.
func NextTerm(term uint64, session string) uint64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(session))
	return (term>>sessionTagBits+1)<<sessionTagBits | uint64(h.Sum32())
}

// Ledger records the owner of each target of a zone. It is stored as one object
// that is written by conditional update only.
type Ledger struct {
	Targets map[string]Ownership `json:"targets"`
}

// NewLedger returns an empty ledger.
func NewLedger() Ledger { return Ledger{Targets: map[string]Ownership{}} }

// Clone returns a deep copy of l.
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
func ReadLedger(ctx context.Context, store bamboorail.ObjectStore, zone string) (Ledger, bamboorail.StoreVersion, error) {
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
// error other than a conflict the write may have taken effect; read the ledger to
// find out.
func WriteLedger(ctx context.Context, store bamboorail.ObjectStore, zone string, l Ledger, expect bamboorail.StoreVersion) (bamboorail.StoreVersion, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return 0, fail("write-ledger", bamboorail.KindInternal, err)
	}
	return store.Put(ctx, LedgerKey(zone), value, expect)
}
