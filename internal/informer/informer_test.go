package informer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

// recorder forwards the calls of an informer to the test.
type recorder struct {
	replaced chan bool // value of afterOutage
	updated  chan string
	listed   atomic.Pointer[[]string] // keys of the last list
}

func newRecorder() *recorder {
	return &recorder{replaced: make(chan bool, 64), updated: make(chan string, 64)}
}

func (r *recorder) Replace(objects []bamboorail.Object, afterOutage bool) {
	keys := []string{}
	for _, o := range objects {
		keys = append(keys, o.Key)
	}
	r.listed.Store(&keys)
	r.replaced <- afterOutage
}

func (r *recorder) Update(o bamboorail.Object) { r.updated <- o.Key }

// gapStore is a store whose watches return no changes after it lost its history.
// Only the watch of the busy kind reports the gap.
type gapStore struct {
	*memory.Store
	lost chan struct{}
}

func (s *gapStore) Watch(ctx context.Context, kinds []string, _ bamboorail.StoreVersion, _ time.Duration) (bamboorail.Events, error) {
	if kinds[0] == "busy" {
		select {
		case <-s.lost:
			return bamboorail.Events{Reset: true}, nil
		case <-ctx.Done():
			return bamboorail.Events{}, ctx.Err()
		}
	}
	<-ctx.Done()
	return bamboorail.Events{}, ctx.Err()
}

func start(t *testing.T, store bamboorail.ObjectStore, kind string, resync *ResyncSignal) *recorder {
	t.Helper()
	r := newRecorder()
	i := New(Config{
		Store: store, Kind: kind, BatchDelay: time.Millisecond, WatchTimeout: time.Hour, Resync: resync, Handler: r, Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	d := task.Start(ctx, kind, i.Run)
	t.Cleanup(func() {
		cancel()
		d.Join()
	})
	return r
}

// TestHistoryGapResyncsAllInformers guards against a missed change in a quiet
// kind: its pending watch never reports a gap in the history, so it must list again
// when the informer of another kind finds the gap. Found by coupons scale-1
// (CONFIG).
func TestHistoryGapResyncsAllInformers(t *testing.T) {
	store := &gapStore{Store: memory.NewStore(), lost: make(chan struct{})}
	resync := NewResyncSignal()
	quiet, busy := start(t, store, "quiet", resync), start(t, store, "busy", resync)
	<-quiet.replaced
	<-busy.replaced
	store.lost <- struct{}{}
	if <-busy.replaced || <-quiet.replaced {
		t.Error("a gap was reported as an outage")
	}
}

func TestUpdatesFollowTheList(t *testing.T) {
	store := memory.NewStore()
	r := start(t, store, "k/", NewResyncSignal())
	<-r.replaced
	if _, err := store.Put(context.Background(), "k/a", []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	if key := <-r.updated; key != "k/a" {
		t.Errorf("update of %q", key)
	}
}

// TestOutageIsReported checks that the list after failed calls has afterOutage set,
// since entries may have expired in the meantime.
func TestOutageIsReported(t *testing.T) {
	store := memory.NewStore()
	failures := 3
	store.SetHook(func(op, _ string) error {
		if op == "list-objects" && failures > 0 {
			failures--
			return errors.New("unreachable")
		}
		return nil
	})
	if r := start(t, store, "k/", NewResyncSignal()); !<-r.replaced {
		t.Error("afterOutage is not set after failed lists")
	}
}

// outageStore fails the watches and one list of the busy kind. A watch of the
// quiet kind that began before the outage never returns.
type outageStore struct {
	*memory.Store
	outage chan struct{}
	failed bool
}

var errUnreachable = errors.New("unreachable")

func (s *outageStore) List(ctx context.Context, kind string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	if kind == "busy" && s.failed {
		s.failed = false
		return nil, 0, errUnreachable
	}
	return s.Store.List(ctx, kind)
}

func (s *outageStore) Watch(ctx context.Context, kinds []string, _ bamboorail.StoreVersion, _ time.Duration) (bamboorail.Events, error) {
	if kinds[0] == "busy" {
		select {
		case <-s.outage:
			s.failed = true
			return bamboorail.Events{}, errUnreachable
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return bamboorail.Events{}, ctx.Err()
}

// TestOutageEndResyncsAllInformers guards against a watch that never returns
// because it was pending when the store became unreachable. Found by hunt-beeb-7 of
// the archive site (CONFIG).
func TestOutageEndResyncsAllInformers(t *testing.T) {
	store := &outageStore{Store: memory.NewStore(), outage: make(chan struct{})}
	resync := NewResyncSignal()
	quiet, busy := start(t, store, "quiet", resync), start(t, store, "busy", resync)
	<-quiet.replaced
	<-busy.replaced
	store.outage <- struct{}{}
	store.outage <- struct{}{} // two consecutive failed watches count as an outage
	if !<-busy.replaced {
		t.Error("the outage was not detected")
	}
	select {
	case <-quiet.replaced:
	case <-time.After(10 * time.Second):
		t.Error("the quiet kind was not listed again")
	}
}

// overloadedStore rejects every other list of a kind; its watches block.
type overloadedStore struct {
	*memory.Store
	mu    sync.Mutex
	lists map[string]int
}

type overloadError struct{ bamboorail.Failure }

func (s *overloadedStore) List(ctx context.Context, kind string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	s.mu.Lock()
	s.lists[kind]++
	refused := s.lists[kind]%2 == 1
	s.mu.Unlock()
	if refused {
		return nil, 0, &overloadError{bamboorail.Failure{Op: "list", Kind: bamboorail.KindOverloaded}}
	}
	return s.Store.List(ctx, kind)
}

// TestOverloadDoesNotResync guards against informers that resync each other endlessly. An
// overloaded store still responds to pending watches. If every rejected list woke
// the other informers, their rejected lists would wake the first one again. Found
// in a run on the coupons site, where an instance lost and regained the store 43
// times per second.
func TestOverloadDoesNotResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, resync := &overloadedStore{Store: memory.NewStore(), lists: map[string]int{}}, NewResyncSignal()
		for _, kind := range []string{"config/", "targets/", "releases/"} {
			r := start(t, store, kind, resync)
			read := task.Start(t.Context(), "read", func(ctx context.Context) error {
				for {
					select {
					case <-r.replaced:
					case <-ctx.Done():
						return ctx.Err()
					}
				}
			})
			t.Cleanup(read.Join)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		store.mu.Lock()
		defer store.mu.Unlock()
		for kind, n := range store.lists {
			if n > 2 {
				t.Errorf("%s was listed %d times in 10 s", kind, n)
			}
		}
	})
}

// TestRestoredStoreIsListedAgain guards against changes that are missed after a store
// came back from an older copy and gave the same revisions out again, and against a
// late list of the time before.
func TestRestoredStoreIsListedAgain(t *testing.T) {
	ctx := context.Background()
	store := &lateStore{Store: memory.NewStore()}
	r := start(t, store, "k", NewResyncSignal())
	<-r.replaced
	copied := store.Snapshot()
	put := func(key string) {
		if _, err := store.Put(ctx, key, []byte("1"), 0); err != nil {
			t.Fatal(err)
		}
	}
	put("k/before")
	<-r.updated
	store.late.Store(1)
	store.Restore(copied)
	put("k/after") // with the revision that k/before had
	if afterOutage := <-r.replaced; !afterOutage {
		t.Error("the list after a restore counts as complete")
	}
	if keys := *r.listed.Load(); !slices.Equal(keys, []string{"k/after"}) {
		t.Errorf("listed %q", keys)
	}
}

// lateStore answers late lists as before the restore.
type lateStore struct {
	*memory.Store
	late atomic.Int32
}

func (s *lateStore) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	if s.late.Add(-1) >= 0 {
		return []bamboorail.Object{{Key: "k/before", Version: 1}}, 1, nil
	}
	return s.Store.List(ctx, prefix)
}

// lostWatchStore loses the first watches: each fails after a timeout.
type lostWatchStore struct {
	*memory.Store
	mu   sync.Mutex
	lost int
	// failed and repeated are the times of the last failure and of the call after it.
	failed, repeated time.Time
}

func (s *lostWatchStore) Watch(ctx context.Context, kinds []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	if !s.call(true) {
		return s.Store.Watch(ctx, kinds, revision, wait)
	}
	time.Sleep(2 * maxBackoff)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = time.Now()
	return bamboorail.Events{}, errors.New("timeout")
}

func (s *lostWatchStore) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	s.call(false)
	return s.Store.List(ctx, prefix)
}

// call records a call and reports whether it is lost.
func (s *lostWatchStore) call(watch bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failed.IsZero() {
		s.repeated = time.Now()
	}
	if !watch || s.lost == 0 {
		return false
	}
	s.lost--
	return true
}

// pause returns the time from the last failure to the call after it.
func (s *lostWatchStore) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeated.Sub(s.failed)
}

// TestTimedOutWatchIsRepeatedAtOnce guards against a pause after a call that has waited for its timeout already (incident
// archive-late-configuration).
func TestTimedOutWatchIsRepeatedAtOnce(t *testing.T) {
	cases := map[string]int{"first failure": 1, "second failure": 2}
	for name, lost := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := &lostWatchStore{Store: memory.NewStore(), lost: lost}
				i := New(Config{
					Store: store, Kind: "k/", WatchTimeout: time.Second, Resync: NewResyncSignal(), Handler: newRecorder(), Log: hclog.NewNullLogger(),
				})
				d := task.Start(ctx, "informer", i.Run)
				time.Sleep(time.Duration(lost)*2*maxBackoff + maxBackoff/10)
				if pause := store.pause(); pause != 0 {
					t.Errorf("the next call is sent %v after the timeout", pause)
				}
				cancel()
				d.Join()
			})
		})
	}
}

// peerStore answers one watch in place of the store, and fails after that.
type peerStore struct {
	*memory.Store
	fromPeer, answered bool
}

func (s *peerStore) Watch(context.Context, []string, bamboorail.StoreVersion, time.Duration) (bamboorail.Events, error) {
	if s.answered {
		return bamboorail.Events{}, errUnreachable
	}
	s.answered = true
	return bamboorail.Events{Revision: 1, FromPeer: s.fromPeer}, nil
}

func (s *peerStore) List(ctx context.Context, kind string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	if s.answered {
		return nil, 0, errUnreachable
	}
	return s.Store.List(ctx, kind)
}

// TestAgeIncludesThatOfPeers guards against an instance that takes what a peer answers for
// current, which has lost the store itself: it would refuse a key for good that was added.
func TestAgeIncludesThatOfPeers(t *testing.T) {
	const peerAge = 1600 * time.Millisecond
	for name, c := range map[string]struct {
		fromPeer bool
		want     time.Duration
	}{"store": {false, time.Second}, "peer": {true, time.Second + peerAge}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				i := New(Config{
					Store: &peerStore{Store: memory.NewStore(), fromPeer: c.fromPeer}, Kind: "k/", WatchTimeout: time.Second, PeerAge: peerAge,
					Resync: NewResyncSignal(), Handler: newRecorder(), Log: hclog.NewNullLogger(),
				})
				if i.Age() != 0 {
					t.Errorf("age %v before the first answer", i.Age())
				}
				d := task.Start(ctx, "informer", i.Run)
				time.Sleep(time.Second)
				if i.Age() != c.want || i.SinceLastAnswer() != time.Second {
					t.Errorf("age %v, expected %v, last answer %v ago", i.Age(), c.want, i.SinceLastAnswer())
				}
				cancel()
				d.Join()
			})
		})
	}
}
