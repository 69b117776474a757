// Package mirror lets the instances of a zone read the object store through the
// holder of the zone, so that the number of calls to the store does not grow with
// the number of instances. An instance that cannot reach a holder with fresh data
// reads the store directly.
package mirror

import (
	"context"
	"strings"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// maxEvents is the number of retained changes per kind. A peer that lags
	// further behind must list again.
	maxEvents = 2048
	// maxContactAge is the time since the last response of the store for which
	// the cache may be served to peers. The watch of each kind returns once a
	// second.
	maxContactAge = 1500 * time.Millisecond
	// minorUpdateInterval is the interval at which changes that are not urgent for
	// peers are forwarded. Targets write about once a second, and all updates for
	// the instances of a zone share the network link of the holder.
	minorUpdateInterval = 5 * time.Second
	// maxKindContactAge is the equivalent of maxContactAge for the last response
	// about one kind, unless SetMaxAge sets another.
	maxKindContactAge = 2500 * time.Millisecond
)

// Digest returns a string that changes whenever an object changes in a way that
// must be forwarded to peers immediately. It returns false if every change must.
type Digest func(o bamboorail.Object) (string, bool)

// cache holds the objects that an instance read from the store.
type cache struct {
	mu          sync.Mutex
	kinds       map[string]*kindCache
	maxAges     map[string]time.Duration
	lastContact time.Time
	now         func() time.Time
	digest      Digest
}

// kindCache holds the objects of a kind at revision, and the changes after since,
// oldest first.
type kindCache struct {
	objects  map[string]bamboorail.Object
	revision bamboorail.StoreVersion
	since    bamboorail.StoreVersion
	events   []bamboorail.Object
	changed  chan struct{}
	// lastContact is the time at which the store had this state.
	lastContact time.Time
	// forwarded holds the last forwarded change of each object.
	forwarded map[string]forwardedChange
}

// forwardedChange is the digest and time of a change forwarded to peers.
type forwardedChange struct {
	digest string
	at     time.Time
}

func newCache(d Digest) *cache {
	return &cache{kinds: map[string]*kindCache{}, maxAges: map[string]time.Duration{}, now: time.Now, digest: d}
}

// deferrable reports whether forwarding a change to peers can be delayed. The
// caller holds the lock.
func (c *cache) deferrable(k *kindCache, o bamboorail.Object) bool {
	if o.Deleted || c.digest == nil {
		delete(k.forwarded, o.Key)
		return false
	}
	digest, ok := c.digest(o)
	if !ok {
		return false
	}
	now := c.now()
	if p := k.forwarded[o.Key]; p.digest == digest && now.Sub(p.at) < minorUpdateInterval {
		return true
	}
	k.forwarded[o.Key] = forwardedChange{digest, now}
	return false
}

func (c *cache) kind(name string) *kindCache {
	k := c.kinds[name]
	if k == nil {
		k = &kindCache{changed: make(chan struct{})}
		c.kinds[name] = k
	}
	return k
}

// recordContact records a response of the store that shows a kind as of a time, and
// returns the kind. The caller holds the lock.
func (c *cache) recordContact(name string, at time.Time) *kindCache {
	k := c.kind(name)
	c.lastContact = c.now()
	if at.After(k.lastContact) {
		k.lastContact = at
	}
	return k
}

func (c *cache) setMaxAge(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxAges[name] = d
}

// freshFor returns the time for which a kind may still be served. The caller holds the
// lock.
func (c *cache) freshFor(name string, k *kindCache) time.Duration {
	maxAge, ok := c.maxAges[name]
	if !ok {
		maxAge = maxKindContactAge
	}
	now := c.now()
	return min(maxContactAge-now.Sub(c.lastContact), maxAge-now.Sub(k.lastContact))
}

// notify wakes the waiting peers. The caller holds the lock.
func (k *kindCache) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// replace replaces all objects of a kind with the result of a list, which shows the store
// as of a time.
func (c *cache) replace(name string, objects []bamboorail.Object, revision bamboorail.StoreVersion, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.recordContact(name, at)
	k.objects = make(map[string]bamboorail.Object, len(objects))
	for _, o := range objects {
		k.objects[o.Key] = o
	}
	k.revision, k.since, k.events, k.forwarded = revision, revision, nil, map[string]forwardedChange{}
	k.notify()
}

// apply applies the changes of a kind after a revision, as of a time. It returns false if the
// cache lacks earlier changes, as on an instance that followed another holder. The
// kind must then be listed again.
func (c *cache) apply(name string, after bamboorail.StoreVersion, e bamboorail.Events, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.recordContact(name, at)
	if e.Reset || k.objects == nil || after > k.revision {
		k.objects, k.events = nil, nil
		k.notify()
		return false
	}
	urgent := false
	for _, o := range e.Objects {
		if o.Deleted {
			delete(k.objects, o.Key)
		} else {
			k.objects[o.Key] = o
		}
		if !c.deferrable(k, o) {
			k.events = append(k.events, o)
			urgent = true
		}
	}
	if extra := len(k.events) - maxEvents; extra > 0 {
		k.since = k.events[extra-1].Version
		k.events = append([]bamboorail.Object(nil), k.events[extra:]...)
	}
	k.revision = max(k.revision, e.Revision)
	if urgent {
		k.notify()
	}
	return true
}

// followResult is the reply to a peer.
type followResult struct {
	fresh bool
	// freshFor is the time for which the reply stays fresh.
	freshFor time.Duration
	objects  []bamboorail.Object
	events   bamboorail.Events
}

// read returns the changes of a kind after a revision, or all objects if the
// revision is 0, and a channel that is closed at the next change.
func (c *cache) read(name string, revision bamboorail.StoreVersion) (followResult, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kind(name)
	freshFor := c.freshFor(name, k)
	if revision.Era() > k.revision.Era() {
		// The peer has heard of a restore of the store that this instance has not.
		return followResult{}, k.changed
	}
	if k.objects == nil || freshFor < 0 {
		return followResult{}, k.changed
	}
	a := followResult{fresh: true, freshFor: freshFor, events: bamboorail.Events{Revision: k.revision}}
	switch {
	case revision == 0:
		for _, o := range k.objects {
			a.objects = append(a.objects, o)
		}
	case revision < k.since:
		a.events.Reset = true
	default:
		for _, o := range k.events {
			if o.Version > revision {
				a.events.Objects = append(a.events.Objects, o)
			}
		}
		a.events.Revision = max(revision, k.revision)
	}
	return a, k.changed
}

// follow reads a kind and waits up to wait for a change if there is none, and no longer
// than the kind may be served.
func (c *cache) follow(ctx context.Context, name string, revision bamboorail.StoreVersion, wait time.Duration) followResult {
	deadline := time.Now().Add(wait)
	for {
		a, changed := c.read(name, revision)
		left := time.Until(deadline)
		if !a.fresh || revision == 0 || a.events.Reset || len(a.events.Objects) > 0 || left <= 0 || ctx.Err() != nil {
			return a
		}
		t := time.NewTimer(min(left, a.freshFor+time.Millisecond))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// kindOf returns the kind of a prefix.
func kindOf(prefix string) string { return strings.TrimSuffix(prefix, "/") }
