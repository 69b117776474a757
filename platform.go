package bamboorail

import (
	"context"
	"time"
)

// StoreVersion is a state of the object store. It orders states by era and, within an
// era, by revision: a store that is restored from a copy gives revisions out again,
// but in a higher era.
type StoreVersion uint64

// eraShift leaves 40 bits for the revision, and the version exact as a JSON number for
// 8,192 eras.
const eraShift = 40

// NewStoreVersion returns the version of a revision in an era.
func NewStoreVersion(era, revision uint64) StoreVersion {
	return StoreVersion(era<<eraShift | revision&(1<<eraShift-1))
}

// Era returns the era of v, 0 in a store that was never restored or does not tell.
func (v StoreVersion) Era() uint64 { return uint64(v) >> eraShift }

// Revision returns the revision of v within its era.
func (v StoreVersion) Revision() uint64 { return uint64(v) & (1<<eraShift - 1) }

// Object is a value of the platform's object API.
type Object struct {
	Key string `json:"key"`
	// Version is the store-wide version of the last write to the key.
	Version StoreVersion `json:"version"`
	Value   []byte       `json:"value"`
	// Deleted is set in watch events for deleted keys.
	Deleted bool `json:"deleted,omitempty"`
}

// Events is the result of a watch: the objects that changed since a revision.
type Events struct {
	// Revision is the store-wide revision for the next watch.
	Revision StoreVersion `json:"revision"`
	Objects  []Object     `json:"objects"`
	// Reset is set if the store no longer has the requested history. The caller
	// must list the keys again.
	Reset bool `json:"reset,omitempty"`
	// FromPeer is set if a peer forwarded the events, which causes no call to the
	// store.
	FromPeer bool `json:"-"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states in the platform's list of instances.
const (
	InstanceLive       InstanceState = "live"
	InstanceLeaving    InstanceState = "leaving"
	InstanceTerminated InstanceState = "terminated"
)

// Instance is an entry of the platform's list of instances. The list may be
// outdated.
type Instance struct {
	ID    string        `json:"id"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
}

// ObjectStore is a client of the platform's object API.
type ObjectStore interface {
	// Get returns the object under key, or KindNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// GetNewer returns the object under key and true, or false if it still has
	// the given version.
	GetNewer(ctx context.Context, key string, version StoreVersion) (Object, bool, error)
	// List returns the objects whose keys begin with prefix, and the revision of
	// the list.
	List(ctx context.Context, prefix string) ([]Object, StoreVersion, error)
	// Put writes a value if the current version is expect, where 0 means that
	// the key must not exist. It returns the new version, or KindConflict. After
	// any other error the write may have taken effect.
	Put(ctx context.Context, key string, value []byte, expect StoreVersion) (StoreVersion, error)
	// Delete deletes a key if its current version is expect.
	Delete(ctx context.Context, key string, expect StoreVersion) error
	// Watch waits up to wait for changes after revision under the prefixes.
	Watch(ctx context.Context, prefixes []string, revision StoreVersion, wait time.Duration) (Events, error)
	// Instances returns the platform's list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// RestorableStore is an object store that may be restored from a copy, which loses the
// writes since.
type RestorableStore interface {
	ObjectStore
	// Era returns the highest era that this client has observed, 0 if the store does not
	// report any.
	Era() uint64
	// ObserveEra records an era that another instance has observed. Answers of earlier eras
	// are errors from then on.
	ObserveEra(era uint64)
}

// StaleLister is implemented by stores with a cheaper list call whose result may
// be a few seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) ([]Object, error)
}
