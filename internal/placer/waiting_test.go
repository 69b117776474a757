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
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/task"
)

// queueTuning makes an engine with two adapter slots fetch one adapter at a
// time.
var queueTuning = adapters.Tuning{
	FetchTime: 20 * time.Millisecond, ReloadShare: 1, FetchLimit: 1, MaxLoadsPerEngine: 1, CachedAdapters: 126,
	DemandHalfLife: time.Second,
}

// placeConcurrently places concurrent calls, each for its own adapter, and ends
// each shortly after it starts. It returns the number of placed calls.
func placeConcurrently(b *testHolder, calls int) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	holder := task.Start(ctx, "holder", b.Run)
	list := make([]*task.Task, 0, calls)
	for n := range calls {
		key := bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
		list = append(list, task.Start(ctx, key.Adapter, func(ctx context.Context) error {
			p, err := b.Place(ctx, adapters.Request{Key: key, Service: "s", CallID: key.Adapter, Objective: time.Second})
			if err != nil {
				return err
			}
			time.Sleep(time.Until(p.ReadyAt) + time.Millisecond)
			b.Settle([]EndedPlacement{{Ticket: p.Ticket, Result: balance.Answered}})
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

// TestDecisionsPerWaitingCallAreBounded checks that the number of placement
// decisions does not grow with the time for which calls wait.
func TestDecisionsPerWaitingCallAreBounded(t *testing.T) {
	const (
		// A call is decided on arrival, when its adapter is available, and when
		// its wait ends.
		maxDecisionsPerCall = 3
		// Fetches run one after the other within the longest wait.
		minPlaced = int(maxPlaceWait/(20*time.Millisecond)) / 2
	)
	for _, calls := range []int{20, 100, 400} {
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestHolder(t)
				b.Tuning, b.FetchShare = queueTuning, func() int { return 1 }
				b.planner = adapters.NewPlanner(b.Tuning, 0)
				b.upkeep(context.Background())
				placed := placeConcurrently(b, calls)
				if placed < minPlaced {
					t.Errorf("%d of %d calls were placed, want at least %d", placed, calls, minPlaced)
				}
				if decisions := b.usage.resetCounts().decisions; decisions > maxDecisionsPerCall*calls {
					t.Errorf("%d decisions about %d calls, want at most %d", decisions, calls, maxDecisionsPerCall*calls)
				}
			})
		})
	}
}

// TestCallsBeyondQueueCapacityAreRefused checks that a call that would be
// served after its caller has timed out is refused immediately with a retry
// time.
func TestCallsBeyondQueueCapacityAreRefused(t *testing.T) {
	const (
		calls         = 400
		queueCapacity = int(3200 * time.Millisecond / (20 * time.Millisecond)) // sequential fetches within the longest wait of a caller
	)
	synctest.Test(t, func(t *testing.T) {
		b := newTestHolder(t)
		b.Tuning, b.FetchShare = queueTuning, func() int { return 1 }
		b.planner = adapters.NewPlanner(b.Tuning, 0)
		b.upkeep(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		list := make([]*task.Task, 0, calls)
		refused := 0
		for n := range calls {
			key := bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
			d := task.Start(ctx, key.Adapter, func(ctx context.Context) error {
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
					t.Fatalf("refused with %v, retry after %v", err, f.RetryAfter)
				}
			default:
			}
		}
		if minRefused := calls - queueCapacity - slots - 1; refused < minRefused {
			t.Errorf("%d of %d calls were refused immediately, want at least %d", refused, calls, minRefused)
		}
		cancel()
		for _, d := range list {
			d.Join()
		}
	})
}

// TestCallIsRefusedBeforeItsCallerLeaves checks that holders that keep a call
// waiting in turn do not keep it beyond the time by which it must start.
func TestCallIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	for name, startIn := range map[string]time.Duration{
		"within the first query": maxPlaceWait / 2, "between two queries": 3 * maxPlaceWait / 2, "in a later round": 2560 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chooser, peers, request := newTestChooser(t)
				full := &wire.PlaceReply{Holder: true, Reason: "full", RetryAfterMicros: noCapacityRetry.Microseconds()}
				peers.replies, peers.wait = map[string]*wire.PlaceReply{"a": full, "b": full, "c": full}, maxPlaceWait
				start := time.Now()
				request.StartBy = start.Add(startIn)
				_, err := chooser.Choose(context.Background(), request)
				f := bamboorail.FailureOf(err)
				if f.Kind != bamboorail.KindOverloaded || !bamboorail.NotRun(err) || f.RetryAfter <= 0 {
					t.Errorf("refused with %v, retry after %v", err, f.RetryAfter)
				}
				if took := time.Since(start); took > startIn+dispatchMargin {
					t.Errorf("refused after %v, want at most %v", took, startIn+dispatchMargin)
				}
			})
		})
	}
}

// TestCallWithoutHopeIsRefusedAtOnce checks that a call is refused without a
// delay if all holders say that they cannot serve it before it must start, with
// the time that they tell, and waits if one of them can.
func TestCallWithoutHopeIsRefusedAtOnce(t *testing.T) {
	const startIn = 2560 * time.Millisecond
	cases := map[string]struct {
		after map[string]time.Duration // retry time by zone
		took  time.Duration
	}{
		"no holder can":       {map[string]time.Duration{"a": 4 * time.Second, "b": 3 * time.Second, "c": 5 * time.Second}, 0},
		"one can in a moment": {map[string]time.Duration{"a": 4 * time.Second, "b": 1200 * time.Millisecond, "c": 5 * time.Second}, 2400 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chooser, peers, request := newTestChooser(t)
				for zone, after := range c.after {
					peers.replies[zone] = &wire.PlaceReply{Holder: true, Reason: "full", RetryAfterMicros: after.Microseconds()}
				}
				start := time.Now()
				request.StartBy = start.Add(startIn)
				_, err := chooser.Choose(context.Background(), request)
				f := bamboorail.FailureOf(err)
				if f.Kind != bamboorail.KindOverloaded || !bamboorail.NotRun(err) || f.RetryAfter < time.Second {
					t.Errorf("refused with %v, retry after %v", err, f.RetryAfter)
				}
				if took := time.Since(start); took != c.took {
					t.Errorf("refused after %v, want %v", took, c.took)
				}
			})
		})
	}
}

// TestRefusalTellsWhenQueueHasDrained checks that a call that cannot be served
// before its caller leaves is refused at once, with the time after which the
// waiting adapters have been fetched.
func TestRefusalTellsWhenQueueHasDrained(t *testing.T) {
	const waiting = 50
	synctest.Test(t, func(t *testing.T) {
		b := newTestHolder(t)
		b.Tuning, b.FetchShare = queueTuning, func() int { return 1 }
		b.planner = adapters.NewPlanner(b.Tuning, 0)
		b.upkeep(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		var list []*task.Task
		place := func(name string, startIn time.Duration) error {
			_, err := b.Place(ctx, adapters.Request{
				Key: bamboorail.AdapterKey{Model: "m", Adapter: name}, Service: "s", CallID: name, Objective: time.Second, StartBy: time.Now().Add(startIn),
			})
			return err
		}
		for n := range waiting {
			list = append(list, task.Start(ctx, "call", func(context.Context) error { return place(fmt.Sprintf("a%d", n), 3*time.Second) }))
			synctest.Wait()
		}
		start := time.Now()
		err := place("z", queueTuning.FetchTime*waiting/2)
		f := bamboorail.FailureOf(err)
		drain := queueTuning.FetchTime * (waiting - slots - 1)
		if f.Kind != bamboorail.KindOverloaded || f.RetryAfter < drain || f.RetryAfter > 2*drain {
			t.Errorf("refused with %v, retry after %v, want about %v", err, f.RetryAfter, drain)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("refused after %v, want at once", took)
		}
		cancel()
		for _, d := range list {
			d.Join()
		}
	})
}

// TestRetryHonorsRetryAfter checks that a call that no holder can place is
// retried after the time that the holders return, not continuously.
func TestRetryHonorsRetryAfter(t *testing.T) {
	const timeout = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		chooser, peers, request := newTestChooser(t)
		full := &wire.PlaceReply{Holder: true, Reason: "full", RetryAfterMicros: noCapacityRetry.Microseconds()}
		peers.replies = map[string]*wire.PlaceReply{"a": full, "b": full, "c": full}
		request.StartBy = time.Now().Add(timeout)
		if _, err := chooser.Choose(context.Background(), request); err == nil {
			t.Fatal("a call was placed although all holders are full")
		}
		rounds := 1 + int(timeout/noCapacityRetry)
		if maxQueries := rounds * len(chooser.holderQueries(request.Call.Key)); len(peers.queries) > maxQueries {
			t.Errorf("%d queries in %v, want at most %d", len(peers.queries), timeout, maxQueries)
		}
	})
}

// TestLapsedHolderRefusesAtOnce checks that a holder whose tenure does not permit
// orders refuses a call for an adapter that no engine holds, and tells when it may
// act, or that it does not know so for a term. What is loaded it still places.
func TestLapsedHolderRefusesAtOnce(t *testing.T) {
	const term = 3 * time.Second // of the test's lease
	b := newTestHolder(t)
	held := adapters.Request{Key: bamboorail.AdapterKey{Model: "m", Adapter: "held"}, Service: "s", CallID: "c", Objective: time.Second}
	if _, err := b.Place(context.Background(), held); err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	b.now += 2 * term
	b.mu.Unlock()
	if _, err := b.Place(context.Background(), held); err != nil {
		t.Errorf("a call for an adapter that is loaded: %v", err)
	}
	start := time.Now()
	_, err := b.Place(context.Background(), adapters.Request{Key: bamboorail.AdapterKey{Model: "m", Adapter: "cold"}, Service: "s", CallID: "d", Objective: time.Second})
	f := bamboorail.FailureOf(err)
	if f.Kind != bamboorail.KindOverloaded || !bamboorail.NotRun(err) || f.RetryAfter < term {
		t.Errorf("refused with %v, retry after %v, want %v", err, f.RetryAfter, term)
	}
	if took := time.Since(start); took >= maxPlaceWait {
		t.Errorf("refused after %v", took)
	}
}
