package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// storeReportInterval is the interval between log lines about the calls to the
// store.
const storeReportInterval = 10 * time.Second

// countedStore counts the calls of this instance to the store, which other
// instances share.
type countedStore struct {
	Store
	metrics *telemetry.Metrics
	log     hclog.Logger

	mu     sync.Mutex
	counts map[string]int
}

func newCountedStore(s Store, m *telemetry.Metrics, log hclog.Logger) *countedStore {
	return &countedStore{Store: s, metrics: m, log: log, counts: map[string]int{}}
}

// count counts a call that concerns one kind of object.
func (s *countedStore) count(call, key string, err error) {
	kind, _, _ := strings.Cut(key, "/")
	result := "ok"
	if err != nil {
		result = string(bamboorail.KindOf(err))
	}
	s.metrics.StoreCall(call, kind, result)
	name := call + " " + kind
	if err != nil {
		name += " " + result
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

// run logs the calls of each interval until ctx ends.
func (s *countedStore) run(ctx context.Context) error {
	return task.Every(ctx, storeReportInterval, func(context.Context) { s.report() })
}

func (s *countedStore) report() {
	s.mu.Lock()
	counts := s.counts
	s.counts = map[string]int{}
	s.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	fields := make([]any, 0, 2*len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fields = append(fields, name, counts[name])
	}
	s.log.Info("calls to the store", fields...)
}

// Get counts and makes the call.
func (s *countedStore) Get(ctx context.Context, key string) (bamboorail.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.count("get", key, err)
	return o, err
}

// GetNewer counts and makes the call.
func (s *countedStore) GetNewer(ctx context.Context, key string, version bamboorail.StoreVersion) (bamboorail.Object, bool, error) {
	o, newer, err := s.Store.GetNewer(ctx, key, version)
	s.count("get", key, err)
	return o, newer, err
}

// List counts and makes the call.
func (s *countedStore) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	objects, revision, err := s.Store.List(ctx, prefix)
	s.count("list", prefix, err)
	return objects, revision, err
}

// ListStale counts and makes the call.
func (s *countedStore) ListStale(ctx context.Context, prefix string) ([]bamboorail.Object, error) {
	objects, err := s.Store.ListStale(ctx, prefix)
	s.count("list-stale", prefix, err)
	return objects, err
}

// Put counts and makes the call.
func (s *countedStore) Put(ctx context.Context, key string, value []byte, expect bamboorail.StoreVersion) (bamboorail.StoreVersion, error) {
	version, err := s.Store.Put(ctx, key, value, expect)
	s.count("put", key, err)
	return version, err
}

// Delete counts and makes the call.
func (s *countedStore) Delete(ctx context.Context, key string, expect bamboorail.StoreVersion) error {
	err := s.Store.Delete(ctx, key, expect)
	s.count("delete", key, err)
	return err
}

// Watch counts and makes the call.
func (s *countedStore) Watch(ctx context.Context, prefixes []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	events, err := s.Store.Watch(ctx, prefixes, revision, wait)
	s.count("watch", prefixes[0], err)
	return events, err
}
