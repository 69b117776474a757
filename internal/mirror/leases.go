package mirror

import (
	"context"
	"maps"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// startupWait is the time after its start for which an instance waits for a
	// holder to read from. A zone that starts has its holder within the first
	// poll intervals of its instances.
	startupWait = 3 * time.Second
	// startupRetryDelay is the delay between two attempts to find the holder.
	startupRetryDelay = 100 * time.Millisecond
)

// Leases describes the objects by which the holders of all zones are elected.
type Leases struct {
	// Kind is their kind.
	Kind string
	// Store lists them without a peer.
	Store bamboorail.StaleLister
	// Held returns those that this instance holds, as last written.
	Held func() []bamboorail.Object
}

// SetLeases lets followers read the leases through the holder, and lets this
// instance wait for a holder when it starts. It must be called before the store
// is used.
func (s *Store) SetLeases(l Leases) {
	s.leases, s.startupEnd = l, time.Now().Add(startupWait)
}

// ListStale returns the leases as the holder of the zone last read them, or as
// the object store lists them.
func (s *Store) ListStale(ctx context.Context, prefix string) ([]bamboorail.Object, error) {
	for _, from := range s.sources(kindOf(prefix)) {
		if reply, err := s.request(ctx, from, prefix, 0, 0, replyGrace); err == nil && reply.GetFresh() {
			return objectsOf(reply), nil
		}
	}
	sent := time.Now()
	objects, err := s.leases.Store.ListStale(ctx, prefix)
	if err == nil {
		s.cache.replace(kindOf(prefix), objects, 1, sent)
	}
	return objects, err
}

// withHeld replaces the leases that this instance holds by the versions that it
// has written since they were listed.
func (s *Store) withHeld(kind string, listed []bamboorail.Object) []bamboorail.Object {
	if s.leases.Held == nil || kind != s.leases.Kind {
		return listed
	}
	merged := map[string]bamboorail.Object{}
	for _, o := range slices.Concat(listed, s.leases.Held()) {
		if o.Version >= merged[o.Key].Version {
			merged[o.Key] = o
		}
	}
	return slices.Collect(maps.Values(merged))
}

// awaitHolder waits while an instance that has just started may still find a
// holder to read from. It reports whether to look again.
func (s *Store) awaitHolder(ctx context.Context) bool {
	if s.holder.Leading() || !time.Now().Before(s.startupEnd) || task.Sleep(ctx, startupRetryDelay) != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.retryAt)
	return true
}
