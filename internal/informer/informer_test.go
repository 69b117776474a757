package informer

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
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// recorder passes what an informer reads to the test.
type recorder struct {
	replaced chan bool // after an outage
	updated  chan string
}

func newRecorder() *recorder {
	return &recorder{replaced: make(chan bool, 64), updated: make(chan string, 64)}
}

func (r *recorder) Replace(_ []bamboorail.Object, afterOutage bool) { r.replaced <- afterOutage }

func (r *recorder) Update(o bamboorail.Object) { r.updated <- o.Key }

// gapStore is a store whose watches hear nothing once it lost its history; a
// watch that began before never learns of the gap.
type gapStore struct {
	*memory.Store
	lost chan struct{}
}

func (s *gapStore) Watch(ctx context.Context, kinds []string, _ uint64, _ time.Duration) (bamboorail.Events, error) {
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

func start(t *testing.T, store bamboorail.ObjectStore, kind string, gap *ResyncSignal) *recorder {
	t.Helper()
	r := newRecorder()
	i := New(Config{
		Store: store, Kind: kind, BatchDelay: time.Millisecond, WatchTimeout: time.Hour, Resync: gap, Handler: r, Log: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	d := duty.Start(ctx, kind, i.Run)
	t.Cleanup(func() {
		cancel()
		d.Join()
	})
	return r
}

// TestAGapWakesAllInformers: the informer of a quiet kind lists again when
// another one finds that the history is gone. Found by coupons scale-1 (CONFIG).
func TestAGapWakesAllInformers(t *testing.T) {
	store := &gapStore{Store: memory.NewStore(), lost: make(chan struct{})}
	gap := NewResyncSignal()
	quiet, busy := start(t, store, "quiet", gap), start(t, store, "busy", gap)
	<-quiet.replaced
	<-busy.replaced
	store.lost <- struct{}{}
	if <-busy.replaced || <-quiet.replaced {
		t.Error("a gap was taken for an outage")
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

// TestAnOutageIsReported: after calls that failed, the list says so, as
// entries may have lapsed meanwhile.
func TestAnOutageIsReported(t *testing.T) {
	store := memory.NewStore()
	failures := 3
	store.SetHook(func(op, _ string) error {
		if op == "list-objects" && failures > 0 {
			failures--
			return errors.New("away")
		}
		return nil
	})
	if r := start(t, store, "k/", NewResyncSignal()); !<-r.replaced {
		t.Error("the list was taken for one without an outage")
	}
}

// outageStore fails the watches and one list of the busy kind. A watch of the
// quiet kind that began before the outage is never answered.
type outageStore struct {
	*memory.Store
	outage chan struct{}
	failed bool
}

var errAway = errors.New("away")

func (s *outageStore) List(ctx context.Context, kind string) ([]bamboorail.Object, uint64, error) {
	if kind == "busy" && s.failed {
		s.failed = false
		return nil, 0, errAway
	}
	return s.Store.List(ctx, kind)
}

func (s *outageStore) Watch(ctx context.Context, kinds []string, _ uint64, _ time.Duration) (bamboorail.Events, error) {
	if kinds[0] == "busy" {
		select {
		case <-s.outage:
			s.failed = true
			return bamboorail.Events{}, errAway
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return bamboorail.Events{}, ctx.Err()
}

// TestTheEndOfAnOutageWakesAllInformers: the store may never answer the
// watches that waited when it went away. Found by hunt-beeb-7 of the archive
// site (CONFIG).
func TestTheEndOfAnOutageWakesAllInformers(t *testing.T) {
	store := &outageStore{Store: memory.NewStore(), outage: make(chan struct{})}
	gap := NewResyncSignal()
	quiet, busy := start(t, store, "quiet", gap), start(t, store, "busy", gap)
	<-quiet.replaced
	<-busy.replaced
	store.outage <- struct{}{}
	store.outage <- struct{}{} // two failed watches make an outage
	if !<-busy.replaced {
		t.Error("the outage was not noticed")
	}
	select {
	case <-quiet.replaced:
	case <-time.After(10 * time.Second):
		t.Error("the quiet kind was not listed again")
	}
}

// fullStore turns every other list of a kind away; its watches wait.
type fullStore struct {
	*memory.Store
	mu    sync.Mutex
	lists map[string]int
}

type refusal struct{ bamboorail.Failure }

func (s *fullStore) List(ctx context.Context, kind string) ([]bamboorail.Object, uint64, error) {
	s.mu.Lock()
	s.lists[kind]++
	refused := s.lists[kind]%2 == 1
	s.mu.Unlock()
	if refused {
		return nil, 0, &refusal{bamboorail.Failure{Op: "list", Kind: bamboorail.KindOverloaded}}
	}
	return s.Store.List(ctx, kind)
}

// TestARefusedListWakesNobody: a store that turns some calls away answers the
// watches that wait. If each list that is refused once wakes the others, their
// refused lists wake the first one again. Found by a trial on the coupons: an
// instance lost and regained the store 43 times in a second.
func TestARefusedListWakesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, gap := &fullStore{Store: memory.NewStore(), lists: map[string]int{}}, NewResyncSignal()
		for _, kind := range []string{"config/", "targets/", "releases/"} {
			r := start(t, store, kind, gap)
			read := duty.Start(t.Context(), "read", func(ctx context.Context) error {
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
