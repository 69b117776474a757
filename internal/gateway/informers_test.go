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
	"bamboorail.example/bamboorail/internal/informer"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/mirror"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// clientTimeout is the time beyond the wait of a watch after which the
	// client of a platform aborts it.
	clientTimeout = 1500 * time.Millisecond
	// recoveryBound is the time after the end of a disturbance of the store
	// within which a change may still be late (bound contact_ms of the small
	// sites).
	recoveryBound = 3 * time.Second
)

// silentStore drops the requests that it receives while it is silent: they end
// with the client's timeout.
type silentStore struct {
	*memory.Store
	mu     sync.Mutex
	silent bool
}

var errNoAnswer = errors.New("no answer")

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *silentStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *silentStore) Watch(ctx context.Context, kinds []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	if !s.isSilent() {
		return s.Store.Watch(ctx, kinds, revision, wait)
	}
	_ = task.Sleep(ctx, wait+clientTimeout)
	return bamboorail.Events{}, errNoAnswer
}

func (*silentStore) ListStale(context.Context, string) ([]bamboorail.Object, error) {
	return nil, errNoAnswer
}

func (*silentStore) SetBaseURL(string) {}

func (*silentStore) ObserveEra(uint64) {}

// TestLostWatchDoesNotDelayChanges checks that a change is known within
// recoveryBound after an outage of the store. A store that does not answer for
// a moment loses the watches sent in that time, such as those after a change; a
// long watch timeout then delays the next change. On the coupons site, 0.3 s
// without answers near a change delayed the next one by 12 s on all instances
// (CONFIG, VERSION).
func TestLostWatchDoesNotDelayChanges(t *testing.T) {
	changes := map[string]string{"configuration": "config/main", "releases": "releases/a", "targets": "targets/a"}
	for name, key := range changes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := &silentStore{Store: memory.NewStore()}
				g := newTestGateway()
				g.platform.Store, g.resync, g.logs = store, informer.NewResyncSignal(), logflags.Discard()
				g.platform.ConfigurationKind, g.platform.ReleaseKind = "config", "releases"
				g.mirror = mirror.NewStore(store, "i", "z", noHolder{}, nil, nil, hclog.NewNullLogger())
				follower := task.Start(ctx, name, g.informers()[name].Run)
				time.Sleep(500 * time.Millisecond)
				version := put(t, store, key, "1", 0)
				synctest.Wait()
				// The next watch is sent after the pause, while the store is
				// silent.
				store.setSilent(true)
				time.Sleep(2 * time.Second)
				store.setSilent(false)
				put(t, store, key, "l", version)
				time.Sleep(recoveryBound)
				synctest.Wait()
				if !g.hasSecondValue(key) {
					t.Errorf("%s not known %v after the store answered again", key, recoveryBound)
				}
				cancel()
				follower.Join()
			})
		})
	}
}

func put(t *testing.T, store bamboorail.ObjectStore, key, value string, version bamboorail.StoreVersion) bamboorail.StoreVersion {
	t.Helper()
	written, err := store.Put(context.Background(), key, []byte(value), version)
	if err != nil {
		t.Fatal(err)
	}
	return written
}

// hasSecondValue reports whether the second value of an object is known.
func (g *Gateway) hasSecondValue(key string) bool {
	switch key {
	case "config/main":
		t := g.table.Load()
		return t != nil && t.Version() == 'l'-'0'
	case "releases/a":
		return g.fleet.Releases(testAdapter).Newest() == 'l'-'0'
	}
	e, found := g.fleet.Target("a")
	return found && e.Leaving
}
