package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
)

// lateStore answers watches late.
type lateStore struct {
	countingStore
	latency time.Duration
}

func (s *lateStore) Watch(ctx context.Context, prefixes []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	events, err := s.countingStore.Watch(ctx, prefixes, revision, wait)
	time.Sleep(s.latency)
	return events, err
}

// TestHolderServesNoKindBeyondItsAge guards against followers that wait for a change at a holder whose own answers of the
// store do not come, or come late (incident archive-late-configuration).
func TestHolderServesNoKindBeyondItsAge(t *testing.T) {
	const maxAge, wait = 1200 * time.Millisecond, time.Second
	cases := map[string]struct {
		// latency is that of the last watch, after which there is none for pause.
		latency, pause time.Duration
		fresh          bool
		// replyWithin is the time in which the holder answers.
		replyWithin time.Duration
	}{
		"answered in time":               {0, 0, true, followWait},
		"its age is reached":             {0, maxAge + time.Millisecond, false, 0},
		"its age is reached in the wait": {0, maxAge - 100*time.Millisecond, false, 110 * time.Millisecond},
		"answered late":                  {maxAge + time.Millisecond, 0, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				holder, _ := newPair(t)
				holder.ObjectStore = &lateStore{countingStore{holder.objects, holder}, c.latency}
				holder.SetMaxAge("k", maxAge)
				revision := holder.mustList(t)
				if _, err := holder.Watch(t.Context(), []string{"k/"}, revision, wait); err != nil {
					t.Fatal(err)
				}
				time.Sleep(c.pause)
				asked := time.Now()
				reply := holder.cache.follow(t.Context(), "k", revision, followWait)
				if took := time.Since(asked); reply.fresh != c.fresh || took > c.replyWithin {
					t.Errorf("fresh %t after %v, expected %t within %v", reply.fresh, took, c.fresh, c.replyWithin)
				}
			})
		})
	}
}

// TestStaleKindPausesNoOther guards against a follower that sends a holder no requests at all because that has no fresh
// data of one kind (incident archive-late-configuration).
func TestStaleKindPausesNoOther(t *testing.T) {
	holder, follower := newPair(t)
	now := time.Now()
	holder.cache.now = func() time.Time { return now }
	revision := holder.mustList(t)
	now = now.Add(2 * maxKindContactAge)
	holder.cache.replace("busy", nil, revision, now)
	follower.mustList(t)
	if follower.storeCalls != 1 {
		t.Fatalf("%d calls to the store for a kind that the holder has not read lately", follower.storeCalls)
	}
	if _, _, err := follower.List(t.Context(), "busy/"); err != nil || follower.storeCalls != 1 {
		t.Errorf("%v, %d calls to the store for a kind that the holder has", err, follower.storeCalls-1)
	}
}
