// Package memory implements an in-memory object store. It backs the simulated
// platform, and tests use it in place of the platform client and inject errors
// through a Hook.
package memory

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
)

const historyLength = 4096

// Error is the error type returned by a Store.
type Error struct{ bamboorail.Failure }

func fail(op string, kind bamboorail.Kind, format string, a ...any) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Err: fmt.Errorf(format, a...)}}
}

// Hook is called before each operation with its name and key. If it returns an
// error, the operation fails without taking effect, or, for a write and
// ErrLostResponse, fails after taking effect.
type Hook func(op, key string) error

// ErrLostResponse is returned by a Hook to make a write take effect and then fail,
// as if the response had been lost.
var ErrLostResponse = errors.New("response lost after the write took effect")

// Store is an in-memory object store.
type Store struct {
	mu       sync.Mutex
	revision bamboorail.StoreVersion // last one given out
	objects  map[string]bamboorail.Object
	history  []bamboorail.Object
	// firstEvent is the version of the first change since the last restore.
	firstEvent bamboorail.StoreVersion
	changed    chan struct{}
	instances  []bamboorail.Instance
	hook       Hook
}

var _ bamboorail.RestorableStore = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]bamboorail.Object{}, changed: make(chan struct{})}
}

// SetHook sets the hook; nil removes it.
func (s *Store) SetHook(h Hook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = h
}

// SetInstances replaces the list of instances.
func (s *Store) SetInstances(list []bamboorail.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = list
}

// runHook calls the hook, if any. If lost is true, the operation must take
// effect and then fail.
func (s *Store) runHook(op, key string) (lost bool, err error) {
	s.mu.Lock()
	h := s.hook
	s.mu.Unlock()
	if h == nil {
		return false, nil
	}
	err = h(op, key)
	if errors.Is(err, ErrLostResponse) {
		return true, nil
	}
	if err != nil {
		return false, fail(op, bamboorail.KindUnavailable, "%w", err)
	}
	return false, nil
}

// Get returns the object under key.
func (s *Store) Get(ctx context.Context, key string) (bamboorail.Object, error) {
	o, _, err := s.GetNewer(ctx, key, 0)
	return o, err
}

// GetNewer returns the object under key and whether its version differs from
// version.
func (s *Store) GetNewer(_ context.Context, key string, version bamboorail.StoreVersion) (bamboorail.Object, bool, error) {
	if _, err := s.runHook("get-object", key); err != nil {
		return bamboorail.Object{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return o, false, fail("get-object", bamboorail.KindNotFound, "key %q does not exist", key)
	}
	return o, o.Version != version, nil
}

// List returns the objects whose keys start with prefix, sorted by key, and the
// revision of the store.
func (s *Store) List(_ context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	if _, err := s.runHook("list-objects", prefix); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []bamboorail.Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b bamboorail.Object) int { return strings.Compare(a.Key, b.Key) })
	return list, s.revision, nil
}

// Put writes a value if the current version is expect; version 0 means that the
// key does not exist.
func (s *Store) Put(_ context.Context, key string, value []byte, expect bamboorail.StoreVersion) (bamboorail.StoreVersion, error) {
	return s.write("put-object", bamboorail.Object{Key: key, Value: slices.Clone(value)}, expect)
}

// Delete removes a key if its current version is expect.
func (s *Store) Delete(_ context.Context, key string, expect bamboorail.StoreVersion) error {
	_, err := s.write("delete-object", bamboorail.Object{Key: key, Deleted: true}, expect)
	return err
}

func (s *Store) write(op string, o bamboorail.Object, expect bamboorail.StoreVersion) (bamboorail.StoreVersion, error) {
	lost, err := s.runHook(op, o.Key)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.objects[o.Key].Version; current != expect {
		return 0, fail(op, bamboorail.KindConflict, "version conflict on key %q: current version %d, expected %d", o.Key, current, expect)
	}
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.history = append(s.history, o)
	s.history = s.history[max(0, len(s.history)-historyLength):]
	close(s.changed)
	s.changed = make(chan struct{})
	if lost {
		return 0, fail(op, bamboorail.KindUnavailable, "%w", ErrLostResponse)
	}
	return o.Version, nil
}

// Watch returns the changes after revision to keys with one of the prefixes. It
// waits up to wait for the first one. Events.Reset is set if the history no
// longer covers the changes after revision, or if revision is newer than the
// store.
func (s *Store) Watch(ctx context.Context, prefixes []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	if _, err := s.runHook("watch-objects", strings.Join(prefixes, ",")); err != nil {
		return bamboorail.Events{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		events, changed := s.eventsAfter(revision, prefixes)
		if len(events.Objects) > 0 || events.Reset {
			return events, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return events, nil
		case <-ctx.Done():
			return events, nil
		}
	}
}

func (s *Store) eventsAfter(after bamboorail.StoreVersion, prefixes []string) (bamboorail.Events, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := bamboorail.Events{Revision: s.revision}
	if after > s.revision || after+1 < s.firstEvent || (len(s.history) > 0 && s.history[0].Version > after+1) {
		events.Reset = true
		return events, s.changed
	}
	for _, o := range s.history {
		matches := slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(o.Key, p) })
		if o.Version > after && matches {
			events.Objects = append(events.Objects, o)
		}
	}
	return events, s.changed
}

// Instances returns the list of instances.
func (s *Store) Instances(context.Context) ([]bamboorail.Instance, error) {
	if _, err := s.runHook("list-instances", ""); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances), nil
}

// ListStale returns the same objects as List, which are never stale in this
// store.
func (s *Store) ListStale(ctx context.Context, prefix string) ([]bamboorail.Object, error) {
	objects, _, err := s.List(ctx, prefix)
	return objects, err
}

// Snapshot is a copy of the objects of a store.
type Snapshot struct {
	revision uint64
	objects  map[string]bamboorail.Object
}

// Snapshot copies the store.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision.Revision(), objects: maps.Clone(s.objects)}
}

// Restore replaces the objects by those of an earlier copy, in the next era. The
// revisions after the copy are given out again.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.revision, s.history = bamboorail.NewStoreVersion(era, c.revision), nil
	s.objects = make(map[string]bamboorail.Object, len(c.objects))
	for key, o := range c.objects {
		o.Version = bamboorail.NewStoreVersion(era, o.Version.Revision())
		s.objects[key] = o
	}
	s.firstEvent = s.revision + 1
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the era of the store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}

// ObserveEra does nothing: the store determines its era itself.
func (s *Store) ObserveEra(uint64) {}
