package placer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const slots = 2

// fakeEngine accepts orders like the engines of the platform.
type fakeEngine struct {
	mu      sync.Mutex
	held    map[string]bool
	orders  uint64
	maxHeld int
	failure error // of the next order, which is executed if applied is set
	applied bool
	sent    int
}

func (e *fakeEngine) Order(_ context.Context, o bamboorail.AdapterOrder) (bamboorail.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent++
	failure := e.failure
	e.failure = nil
	if failure != nil && !e.applied {
		return 0, failure
	}
	if o.Orders != e.orders {
		return bamboorail.OrderConflict, failure
	}
	e.orders++
	if o.Unload {
		delete(e.held, o.Key.Adapter)
		return bamboorail.OrderDone, failure
	}
	e.held[o.Key.Adapter] = true
	e.maxHeld = max(e.maxHeld, len(e.held))
	return bamboorail.OrderAccepted, failure
}

func (e *fakeEngine) State(context.Context, bamboorail.TargetID, string) (bamboorail.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[string]int{}
	for name := range e.held {
		held[name] = 1
	}
	return bamboorail.EngineState{Orders: e.orders, Models: map[string]map[string]int{"m": held}}, nil
}

// testHolder is a holder in front of one engine, with a clock that the test
// sets.
type testHolder struct {
	*Holder
	engine *fakeEngine

	mu              sync.Mutex
	now             time.Duration
	readsUntilLapse int // clock reads until the lease lapses, or 0
}

func (b *testHolder) clock() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readsUntilLapse > 0 {
		if b.readsUntilLapse--; b.readsUntilLapse == 0 {
			b.now += time.Minute
		}
	}
	return b.now
}

func newTestHolder(t *testing.T) *testHolder {
	t.Helper()
	b := &testHolder{engine: &fakeEngine{held: map[string]bool{}}}
	store := memory.NewStore()
	l := lease.New(lease.Config{
		Key: "leases/z", Holder: "node", Address: "10.0.0.1:1", Store: store, Clock: b.clock, Log: hclog.NewNullLogger(),
		Timing: lease.Timing{RenewInterval: time.Second, Term: 3 * time.Second, Gap: 3 * time.Second},
	})
	if err := l.Claim(context.Background()); err != nil {
		t.Fatal(err)
	}
	f := fleet.New(time.Second)
	f.Update(bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "e"}, Service: "s", Zone: "z", Slots: 8})
	table := route.NewTable(bamboorail.Configuration{Version: 1, Services: []bamboorail.ServiceSpec{
		{Name: "s", Engine: true, AdapterSlots: slots, Models: []bamboorail.ModelSpec{{Name: "m"}}},
	}})
	b.Holder = NewHolder(HolderConfig{
		Zone: "z", Instance: "node", Lease: l, Fleet: f, Table: func() *route.Table { return table }, Engines: b.engine,
		Tuning: adapters.Tuning{
			FetchTime: time.Millisecond, ReloadShare: 1, FetchLimit: 8, MaxLoadsPerEngine: 8, CachedAdapters: 8, DemandHalfLife: time.Second,
		},
		FetchShare: func() int { return 8 }, ModelLoadInterval: func() time.Duration { return time.Second }, Metrics: telemetry.NewMetrics(), Log: hclog.NewNullLogger(),
	})
	b.upkeep(context.Background())
	return b
}

// placeAndEnd places a call for an adapter and ends it.
func (b *testHolder) placeAndEnd(n int) error {
	key := bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
	p, err := b.Place(context.Background(), adapters.Request{Key: key, Service: "s", CallID: key.Adapter, Objective: time.Second})
	if err != nil {
		return err
	}
	b.Settle([]EndedPlacement{{Ticket: p.Ticket}})
	time.Sleep(2 * time.Millisecond) // the load ends
	return nil
}

var errLost = errors.New("answer lost")

// TestAdapterSlotsAreNotExceeded checks that no order exceeds the adapter slots
// of an engine after an earlier order was lost, conflicted, or was prevented by
// a lapsed lease. The cases of the lapsed lease were found by trouble-3 of the
// archive (rule LIMIT): the holder no longer counted the adapter to be evicted,
// although the engine still held it.
func TestAdapterSlotsAreNotExceeded(t *testing.T) {
	cases := map[string]func(b *testHolder){
		"no fault":                       func(*testHolder) {},
		"order lost":                     func(b *testHolder) { b.engine.failure = errLost },
		"order executed, answer lost":    func(b *testHolder) { b.engine.failure, b.engine.applied = errLost, true },
		"orders of another sender":       func(b *testHolder) { b.engine.orders += 3 },
		"lease lapses before the unload": func(b *testHolder) { b.readsUntilLapse = 2 },
		"lease lapses before the load":   func(b *testHolder) { b.readsUntilLapse = 3 },
	}
	for name, injectFault := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestHolder(t)
			for n := range slots {
				if err := b.placeAndEnd(n); err != nil {
					t.Fatal(err)
				}
			}
			injectFault(b)
			failure := b.placeAndEnd(10)
			b.mu.Lock()
			b.readsUntilLapse = 0
			b.mu.Unlock()
			if err := b.Lease.Renew(context.Background()); err != nil {
				t.Fatal(err)
			}
			served := 0
			for n := 20; n < 40; n++ {
				b.upkeep(context.Background())
				if b.placeAndEnd(n) == nil {
					served++
				}
			}
			if b.engine.maxHeld > slots {
				t.Errorf("%d adapters for %d slots after %v", b.engine.maxHeld, slots, failure)
			}
			if served < 15 {
				t.Errorf("only %d of 20 calls were placed after the fault", served)
			}
		})
	}
}

// TestNoOrdersAfterLeaseExpiry checks that a holder whose lease has lapsed
// places calls on loaded adapters only and sends no orders.
func TestNoOrdersAfterLeaseExpiry(t *testing.T) {
	b := newTestHolder(t)
	if err := b.placeAndEnd(1); err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	b.now += time.Minute
	b.mu.Unlock()
	sent := b.engine.sent
	if err := b.placeAndEnd(1); err != nil {
		t.Errorf("a call for a loaded adapter: %v", err)
	}
	if err := b.placeAndEnd(2); err == nil {
		t.Error("a call that needs a load was placed")
	}
	// An order that was decided before the lease lapsed.
	late := bamboorail.AdapterOrder{Target: bamboorail.TargetID{Name: "e"}, Key: bamboorail.AdapterKey{Model: "m", Adapter: "a2"}}
	if err := b.execute(context.Background(), []bamboorail.AdapterOrder{late}); bamboorail.KindOf(err) != bamboorail.KindNotOwner {
		t.Errorf("an order that is late: %v", err)
	}
	if b.engine.sent != sent {
		t.Error("an order was sent")
	}
}
