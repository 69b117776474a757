package placer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// queueTuning has an engine with room for two adapters fetch them one by one.
var queueTuning = adapters.Tuning{
	FetchTime: 20 * time.Millisecond, ReloadTime: 20 * time.Millisecond, MinFetchLimit: 1, MaxLoadsPerEngine: 1, CachedAdapters: 126,
	DemandHalfLife: time.Second,
}

// crowd asks a holder for places for calls of as many adapters, each of which
// ends soon after it began. It returns how many got a place.
func crowd(b *bed, calls int) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	holder := duty.Start(ctx, "holder", b.Run)
	list := make([]*duty.Task, 0, calls)
	for n := range calls {
		key := bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
		list = append(list, duty.Start(ctx, key.Adapter, func(ctx context.Context) error {
			p, err := b.Place(ctx, adapters.Request{Key: key, Service: "s", CallID: key.Adapter, Objective: time.Second})
			if err != nil {
				return err
			}
			time.Sleep(time.Until(p.ReadyAt) + time.Millisecond)
			b.Settle([]Ended{{Ticket: p.Ticket, Result: balance.Answered}})
			return nil
		}))
	}
	placed := 0
	for _, d := range list {
		if err := d.JoinWithin(ctx); err == nil {
			placed++
		}
	}
	cancel()
	holder.Join()
	return placed
}

// TestWaitingCallsDoNotUseUpTheHolder: what a holder decides does not grow with
// the time for which calls wait.
func TestWaitingCallsDoNotUseUpTheHolder(t *testing.T) {
	const (
		// A call is decided when it comes, when what it waits for is there, and
		// when its time is over.
		decisions = 3
		// One fetch after the other fits into the longest wait.
		least = int(maxPlaceWait/(20*time.Millisecond)) / 2
	)
	for _, calls := range []int{20, 100, 400} {
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				b.Tuning, b.FetchShare = queueTuning, func() int { return 1 }
				b.planner = adapters.NewPlanner(b.Tuning, 0)
				b.upkeep(context.Background())
				placed := crowd(b, calls)
				if placed < least {
					t.Errorf("%d of %d calls got a place, want %d", placed, calls, least)
				}
				if looks := b.usage.take().looks; looks > decisions*calls {
					t.Errorf("%d decisions about %d calls, want at most %d", looks, calls, decisions*calls)
				}
			})
		})
	}
}

// TestCallsBeyondWhatIsFetchedInTimeAreRefusedAtOnce: a call whose turn would
// come after its caller has left does not wait, and learns when to come back.
func TestCallsBeyondWhatIsFetchedInTimeAreRefusedAtOnce(t *testing.T) {
	const (
		calls  = 400
		served = int(3200 * time.Millisecond / (20 * time.Millisecond)) // in the longest wait of a caller, one fetch after the other
	)
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.Tuning, b.FetchShare = queueTuning, func() int { return 1 }
		b.planner = adapters.NewPlanner(b.Tuning, 0)
		b.upkeep(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		list := make([]*duty.Task, 0, calls)
		refused := 0
		for n := range calls {
			key := bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
			d := duty.Start(ctx, key.Adapter, func(ctx context.Context) error {
				_, err := b.Place(ctx, adapters.Request{Key: key, Service: "s", CallID: key.Adapter, Objective: time.Second})
				return err
			})
			list = append(list, d)
			synctest.Wait()
			select {
			case err := <-d.Done():
				if err == nil {
					continue
				}
				refused++
				if f := bamboorail.FailureOf(err); !bamboorail.NotRun(err) || f.Kind != bamboorail.KindOverloaded || f.RetryAfter < time.Second {
					t.Fatalf("refused with %v, to come back after %v", err, f.RetryAfter)
				}
			default:
			}
		}
		if least := calls - served - slots - 1; refused < least {
			t.Errorf("%d of %d calls were refused at once, want %d", refused, calls, least)
		}
		cancel()
		for _, d := range list {
			d.Join()
		}
	})
}

// TestHoldersThatRefuseAtOnceAreNotAskedWithoutPause: a call that nobody can
// place asks again when the holders say, not all the time.
func TestHoldersThatRefuseAtOnceAreNotAskedWithoutPause(t *testing.T) {
	const patience = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		chooser, peers, ask := site(t)
		full := &wire.PlaceReply{Holder: true, Reason: "full", RetryAfterMicros: noPlaceRetry.Microseconds()}
		peers.replies = map[string]*wire.PlaceReply{"a": full, "b": full, "c": full}
		ask.StartBy = time.Now().Add(patience)
		if _, err := chooser.Choose(context.Background(), ask); err == nil {
			t.Fatal("a call without a place was placed")
		}
		rounds := 1 + int(patience/noPlaceRetry)
		if most := rounds * len(chooser.questions(ask.Call.Key)); len(peers.asked) > most {
			t.Errorf("%d questions in %v, want at most %d", len(peers.asked), patience, most)
		}
	})
}
