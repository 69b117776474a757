package bamboorail

import (
	"context"
	"time"
)

// Object is a value of the platform's object API.
type Object struct {
	Key string `json:"key"`
	// Version is the store-wide revision of the last write to the key.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Deleted is set in watch events for deleted keys.
	Deleted bool `json:"deleted,omitempty"`
}

// Events is the result of a watch: the objects that changed since a revision.
type Events struct {
	// Revision is the store-wide revision for the next watch.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
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
	GetNewer(ctx context.Context, key string, version uint64) (Object, bool, error)
	// List returns the objects whose keys begin with prefix, and the revision of
	// the list.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes a value if the current version is expect, where 0 means that
	// the key must not exist. It returns the new version, or KindConflict. After
	// any other error the write may have taken effect.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// Delete deletes a key if its current version is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits up to wait for changes after revision under the prefixes.
	Watch(ctx context.Context, prefixes []string, revision uint64, wait time.Duration) (Events, error)
	// Instances returns the platform's list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// StaleLister is implemented by stores with a cheaper list call whose result may
// be a few seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) ([]Object, error)
}
