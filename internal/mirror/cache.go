// Package mirror lets the instances of a zone read the object store through
// the holder of the zone, so that its calls do not grow with the instances.
// Whoever finds no fresh holder reads the store itself.
package mirror

import (
	"context"
	"strings"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// keptEvents is the number of changes of a kind that a peer may lag behind.
	keptEvents = 2048
	// freshness is the time after the last answer of the store in which the
	// cache may be passed on; a watch of each kind answers once a second.
	freshness = 1500 * time.Millisecond
	// minorInterval is the time after which a change that peers need not know at
	// once is passed on all the same. Targets write each second or so, and what
	// all instances of a zone follow goes through one link.
	minorInterval = 5 * time.Second
	// kindFreshness is the same for the last answer about a kind, whose next
	// watch may be sent a second after a change.
	kindFreshness = 2500 * time.Millisecond
)

// Digest returns a text that changes with what peers must know of an object at
// once, and false if that is all of it.
type Digest func(o bamboorail.Object) (string, bool)

// cache holds what an instance read of the store.
type cache struct {
	mu      sync.Mutex
	kinds   map[string]*kindCache
	contact time.Time
	now     func() time.Time
	digest  Digest
}

// kindCache holds the objects of a kind at a revision, and the changes since
// another, oldest first.
type kindCache struct {
	objects  map[string]bamboorail.Object
	revision uint64
	since    uint64
	events   []bamboorail.Object
	changed  chan struct{}
	contact  time.Time
	// passed is what was passed on last of each object.
	passed map[string]passed
}

// passed is a change that was passed on.
type passed struct {
	digest string
	at     time.Time
}

func newCache(d Digest) *cache {
	return &cache{kinds: map[string]*kindCache{}, now: time.Now, digest: d}
}

// minor reports whether peers need not know of a change yet. The caller holds
// the lock.
func (c *cache) minor(k *kindCache, o bamboorail.Object) bool {
	if o.Deleted || c.digest == nil {
		delete(k.passed, o.Key)
		return false
	}
	digest, ok := c.digest(o)
	if !ok {
		return false
	}
	now := c.now()
	if p := k.passed[o.Key]; p.digest == digest && now.Sub(p.at) < minorInterval {
		return true
	}
	k.passed[o.Key] = passed{digest, now}
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

// heard returns a kind of which the store has just told. The caller holds the
// lock.
func (c *cache) heard(name string) *kindCache {
	k := c.kind(name)
	c.contact = c.now()
	k.contact = c.contact
	return k
}

// notify wakes the peers that wait. The caller holds the lock.
func (k *kindCache) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// list takes in all objects of a kind.
func (c *cache) list(name string, objects []bamboorail.Object, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.heard(name)
	k.objects = make(map[string]bamboorail.Object, len(objects))
	for _, o := range objects {
		k.objects[o.Key] = o
	}
	k.revision, k.since, k.events, k.passed = revision, revision, nil, map[string]passed{}
	k.notify()
}

// apply takes in the changes of a kind after a revision. It returns false if
// the cache lacks those before, as it does of an instance that followed another,
// and has to be listed again.
func (c *cache) apply(name string, after uint64, e bamboorail.Events) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.heard(name)
	if e.Reset || k.objects == nil || after > k.revision {
		k.objects, k.events = nil, nil
		k.notify()
		return false
	}
	news := false
	for _, o := range e.Objects {
		if o.Deleted {
			delete(k.objects, o.Key)
		} else {
			k.objects[o.Key] = o
		}
		if !c.minor(k, o) {
			k.events = append(k.events, o)
			news = true
		}
	}
	if extra := len(k.events) - keptEvents; extra > 0 {
		k.since = k.events[extra-1].Version
		k.events = append([]bamboorail.Object(nil), k.events[extra:]...)
	}
	k.revision = max(k.revision, e.Revision)
	if news {
		k.notify()
	}
	return true
}

// answer is what a peer gets.
type answer struct {
	fresh   bool
	objects []bamboorail.Object
	events  bamboorail.Events
}

// read returns the changes of a kind after a revision, or all objects for 0,
// and a channel that is closed at the next change.
func (c *cache) read(name string, revision uint64) (answer, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kind(name)
	now := c.now()
	if k.objects == nil || now.Sub(c.contact) > freshness || now.Sub(k.contact) > kindFreshness {
		return answer{}, k.changed
	}
	a := answer{fresh: true, events: bamboorail.Events{Revision: k.revision}}
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

// follow reads a kind, and waits for a change if there is none.
func (c *cache) follow(ctx context.Context, name string, revision uint64, wait time.Duration) answer {
	a, changed := c.read(name, revision)
	if !a.fresh || revision == 0 || a.events.Reset || len(a.events.Objects) > 0 {
		return a
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	a, _ = c.read(name, revision)
	return a
}

// kindOf returns the kind that a prefix names.
func kindOf(prefix string) string { return strings.TrimSuffix(prefix, "/") }
