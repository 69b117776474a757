package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/informer"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/mirror"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

const (
	// answerTime is the time beyond its wait after which the client of a
	// platform gives a watch up.
	answerTime = 1500 * time.Millisecond
	// disturbed is the time after the end of a disturbance of the store in which
	// a change may still be late (bound contact_ms of the small sites).
	disturbed = 3 * time.Second
)

// hushedStore loses the calls that it gets while it is silent: they end when
// their client gives them up.
type hushedStore struct {
	*memory.Store
	mu     sync.Mutex
	silent bool
}

var errHushed = errors.New("no answer")

func (s *hushedStore) hush(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *hushedStore) lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *hushedStore) Watch(ctx context.Context, kinds []string, revision uint64, wait time.Duration) (bamboorail.Events, error) {
	if !s.lost() {
		return s.Store.Watch(ctx, kinds, revision, wait)
	}
	_ = duty.Sleep(ctx, wait+answerTime)
	return bamboorail.Events{}, errHushed
}

func (*hushedStore) ListStale(context.Context, string) ([]bamboorail.Object, error) {
	return nil, errHushed
}

func (*hushedStore) SetBaseURL(string) {}

// TestALostWatchDelaysNoKind: a store that is silent for a moment loses the
// watches that are sent then, such as those after a change. What changes later
// is known everywhere once the disturbance is over. Found by a trial on the
// coupons (CONFIG, VERSION): after 0.3 s of silence beside a change, all
// instances heard of the next one 12 s late.
func TestALostWatchDelaysNoKind(t *testing.T) {
	changes := map[string]string{"configuration": "config/main", "releases": "releases/a", "targets": "targets/a"}
	for name, key := range changes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := &hushedStore{Store: memory.NewStore()}
				g := bare()
				g.adapter.Store, g.gap, g.logs = store, informer.NewResyncSignal(), logflags.Discard()
				g.adapter.ConfigurationKind, g.adapter.ReleaseKind = "config", "releases"
				g.mirror = mirror.NewStore(store, "i", "z", alone{}, nil, nil, hclog.NewNullLogger())
				follower := duty.Start(ctx, name, g.informers()[name].Run)
				time.Sleep(500 * time.Millisecond)
				version := put(t, store, key, "1", 0)
				synctest.Wait()
				// The next watch is sent after a pause, into the silence.
				store.hush(true)
				time.Sleep(2 * time.Second)
				store.hush(false)
				put(t, store, key, "l", version)
				time.Sleep(disturbed)
				synctest.Wait()
				if !g.knows(key) {
					t.Errorf("%s is not known %v after the silence", key, disturbed)
				}
				cancel()
				follower.Join()
			})
		})
	}
}

func put(t *testing.T, store bamboorail.ObjectStore, key, value string, version uint64) uint64 {
	t.Helper()
	written, err := store.Put(context.Background(), key, []byte(value), version)
	if err != nil {
		t.Fatal(err)
	}
	return written
}

// knows reports whether the second value of an object is known.
func (g *Gateway) knows(key string) bool {
	switch key {
	case "config/main":
		t := g.table.Load()
		return t != nil && t.Version() == 'l'-'0'
	case "releases/a":
		return g.fleet.Releases(adapter).Newest() == 'l'-'0'
	}
	e, found := g.fleet.Target("a")
	return found && e.Leaving
}
