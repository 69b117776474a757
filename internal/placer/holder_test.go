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

// engine takes orders as the platform's engines do.
type engine struct {
	mu      sync.Mutex
	held    map[string]bool
	orders  uint64
	most    int
	failure error // of the next order, which takes effect if it is applied
	applied bool
	sent    int
}

func (e *engine) Order(_ context.Context, o bamboorail.AdapterOrder) (bamboorail.OrderResult, error) {
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
	e.most = max(e.most, len(e.held))
	return bamboorail.OrderAccepted, failure
}

func (e *engine) State(context.Context, bamboorail.TargetID, string) (bamboorail.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[string]int{}
	for name := range e.held {
		held[name] = 1
	}
	return bamboorail.EngineState{Orders: e.orders, Models: map[string]map[string]int{"m": held}}, nil
}

// bed is a holder in front of one engine, with a clock that the test sets.
type bed struct {
	*Holder
	engine *engine

	mu     sync.Mutex
	now    time.Duration
	lapses int // looks at the clock until the lease has lapsed, or 0
}

func (b *bed) clock() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lapses > 0 {
		if b.lapses--; b.lapses == 0 {
			b.now += time.Minute
		}
	}
	return b.now
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{engine: &engine{held: map[string]bool{}}}
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
			FetchTime: time.Millisecond, ReloadTime: time.Millisecond, MinFetchLimit: 8, MaxLoadsPerEngine: 8, CachedAdapters: 8, DemandHalfLife: time.Second,
		},
		FetchShare: func() int { return 8 }, ModelLoadInterval: func() time.Duration { return time.Second }, Metrics: telemetry.NewMetrics(), Log: hclog.NewNullLogger(),
	})
	b.upkeep(context.Background())
	return b
}

// use places a call for an adapter and ends it.
func (b *bed) use(n int) error {
	key := bamboorail.AdapterKey{Model: "m", Adapter: fmt.Sprintf("a%d", n)}
	p, err := b.Place(context.Background(), adapters.Request{Key: key, Service: "s", CallID: key.Adapter, Objective: time.Second})
	if err != nil {
		return err
	}
	b.Settle([]Ended{{Ticket: p.Ticket}})
	time.Sleep(2 * time.Millisecond) // the load ends
	return nil
}

var errLost = errors.New("the answer was lost")

// TestTheHolderNeverOverfillsAnEngine: whatever happens to an order, the next
// ones fit the engine. The lapsed lease was found by trouble-3 of the archive
// (LIMIT): the adapter that was to make way was forgotten.
func TestTheHolderNeverOverfillsAnEngine(t *testing.T) {
	cases := map[string]func(b *bed){
		"nothing":                            func(*bed) {},
		"order lost":                         func(b *bed) { b.engine.failure = errLost },
		"order carried out, its answer lost": func(b *bed) { b.engine.failure, b.engine.applied = errLost, true },
		"orders of somebody else":            func(b *bed) { b.engine.orders += 3 },
		"lease lapses before the unload":     func(b *bed) { b.lapses = 2 },
		"lease lapses before the load":       func(b *bed) { b.lapses = 3 },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			for n := range slots {
				if err := b.use(n); err != nil {
					t.Fatal(err)
				}
			}
			disturb(b)
			failure := b.use(10)
			b.mu.Lock()
			b.lapses = 0
			b.mu.Unlock()
			if err := b.Lease.Renew(context.Background()); err != nil {
				t.Fatal(err)
			}
			served := 0
			for n := 20; n < 40; n++ {
				b.upkeep(context.Background())
				if b.use(n) == nil {
					served++
				}
			}
			if b.engine.most > slots {
				t.Errorf("%d adapters for %d slots after %v", b.engine.most, slots, failure)
			}
			if served < 15 {
				t.Errorf("only %d of 20 calls were placed afterwards", served)
			}
		})
	}
}

// TestNoOrderWithoutATenure: a holder whose lease has lapsed places calls on
// what is loaded and orders nothing.
func TestNoOrderWithoutATenure(t *testing.T) {
	b := newBed(t)
	if err := b.use(1); err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	b.now += time.Minute
	b.mu.Unlock()
	sent := b.engine.sent
	if err := b.use(1); err != nil {
		t.Errorf("a call for a loaded adapter: %v", err)
	}
	if err := b.use(2); err == nil {
		t.Error("a call was placed that needs a load")
	}
	if b.engine.sent != sent {
		t.Error("an order was sent")
	}
}
