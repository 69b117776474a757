package placer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

var errStoreDown = errors.New("down")

// TestJournalKeepsOrders guards against unanswered orders that the next holder does not get:
// writes of two holders, a restore of the store, an object of another writer.
func TestJournalKeepsOrders(t *testing.T) {
	key := bamboorail.AdapterKey{Model: "m", Adapter: "a"}
	load := adapters.UnansweredOrder{Engine: "e1", Number: 7, Key: key}
	unload := adapters.UnansweredOrder{Engine: "e2", Number: 8, Key: key, Unload: true}
	open := func(store *memory.Store) *OrderJournal {
		return NewOrderJournal("orders", "z", store, hclog.NewNullLogger())
	}
	cases := map[string]struct {
		play    func(t *testing.T, store *memory.Store)
		numbers []uint64
		unknown int
	}{
		"nothing stored": {play: func(*testing.T, *memory.Store) {}},
		"stored": {
			play:    func(t *testing.T, store *memory.Store) { mustStore(t, open(store), 1, load, unload) },
			numbers: []uint64{7, 8}, unknown: 1,
		},
		"replaced": {
			play: func(t *testing.T, store *memory.Store) {
				j := open(store)
				mustStore(t, j, 1, load)
				mustStore(t, j, 0, unload)
			},
			numbers: []uint64{8},
		},
		"emptied": {
			play: func(t *testing.T, store *memory.Store) {
				j := open(store)
				mustStore(t, j, 1, load)
				mustStore(t, j, 0)
			},
		},
		"written by two holders": {
			play: func(t *testing.T, store *memory.Store) {
				first, second := open(store), open(store)
				mustStore(t, first, 2, load)
				mustStore(t, second, 1, unload)
			},
			numbers: []uint64{7, 8}, unknown: 2,
		},
		"not decoded": {
			play: func(t *testing.T, store *memory.Store) {
				if _, err := store.Put(t.Context(), "orders/z", []byte("\x01"), 0); err != nil {
					t.Fatal(err)
				}
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore()
				c.play(t, store)
				j := open(store)
				got, err := j.Load(t.Context())
				if err != nil || len(got) != len(c.numbers) || j.unknown != c.unknown {
					t.Fatalf("%+v and %d unknown, %v", got, j.unknown, err)
				}
				for n, o := range got {
					if o.Number != c.numbers[n] || o.Key != key || o.Unload != (o.Engine == "e2") {
						t.Errorf("order %+v", o)
					}
				}
				if j.version != 0 {
					store.Restore(store.Snapshot())
					if _, err := store.Get(t.Context(), "orders/z"); err != nil || !j.isLost() {
						t.Errorf("not lost after a restore, %v", err)
					}
				}
			})
		})
	}
}

func mustStore(t *testing.T, j *OrderJournal, unknown int, list ...adapters.UnansweredOrder) {
	t.Helper()
	for n := range list {
		list[n].Sent = time.Now()
	}
	if err := j.Store(t.Context(), list, unknown); err != nil {
		t.Fatal(err)
	}
}

// TestOrdersWaitForTheJournal guards against orders that are sent before the unanswered orders of
// the holder before are known, and against holders that send none while the store is down.
func TestOrdersWaitForTheJournal(t *testing.T) {
	for name, down := range map[string]bool{"store answers": false, "store down": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRoomCluster(t, 1, 0, roomFaults{})
				c.config.Journal = NewOrderJournal("orders", "z", c.store, c.config.Log)
				h := NewHolder(c.config)
				h.upkeep(t.Context())
				if h.hasInherited() {
					t.Error("orders are sent before the journal is read")
				}
				if down {
					c.store.SetHook(func(string, string) error { return errStoreDown })
				}
				h.keepJournal(t.Context())
				if h.hasInherited() == down {
					t.Errorf("journal read: %t", !down)
				}
				time.Sleep(inheritTimeout + time.Millisecond)
				h.keepJournal(t.Context())
				if !h.hasInherited() {
					t.Error("no orders are sent while the store is down")
				}
			})
		})
	}
}

// TestUnansweredOrdersReachTheNextHolder guards against a holder without the orders that engines
// may still carry out for the one before (incident archive-late-orders-of-a-holder).
func TestUnansweredOrdersReachTheNextHolder(t *testing.T) {
	cases := map[string]struct {
		// kept is the time for which the first holder runs on, waits the time before the next.
		kept, waits time.Duration
		orders      int
	}{
		"killed before a write": {waits: time.Second},
		"killed after a write":  {kept: 2 * journalInterval, waits: time.Second, orders: 1},
		"killed later":          {kept: 10 * time.Second, waits: time.Second, orders: 1},
		"killed long after":     {kept: 20 * time.Second, waits: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newRoomCluster(t, 1, 0, roomFaults{})
				next := func() (*Holder, func()) {
					cluster.config.Journal = NewOrderJournal("orders", "z", cluster.store, cluster.config.Log)
					h := NewHolder(cluster.config)
					ctx, kill := context.WithCancel(t.Context())
					done := task.Start(ctx, "holder", h.Run)
					return h, func() {
						kill()
						done.Join()
					}
				}
				h, kill := next()
				renew := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / 2) {
						_ = cluster.config.Lease.Renew(t.Context())
						cluster.register("e0")
					}
				}
				renew(5 * time.Second)
				cluster.engines["e0"].with(func(e *roomEngine) { e.intercept = func(bamboorail.AdapterOrder) {} })
				if c.kept == 0 {
					cluster.store.SetHook(func(string, string) error { return errStoreDown })
				}
				if _, err := h.Place(t.Context(), adapters.Request{
					Key: bamboorail.AdapterKey{Model: "m", Adapter: "a"}, Service: "s", Version: 1, CallID: "c", Objective: time.Second,
				}); err == nil {
					t.Fatal("the order was answered")
				}
				if c.kept < time.Second {
					time.Sleep(c.kept)
				} else {
					renew(c.kept)
				}
				kill()
				cluster.store.SetHook(nil)
				time.Sleep(c.waits)
				cluster.config.Lease = cluster.claim(t, "node")
				h, kill = next()
				defer kill()
				time.Sleep(2 * journalCheckInterval)
				h.mu.Lock()
				defer h.mu.Unlock()
				list, _ := h.planner.Unanswered(time.Now())
				if len(list) != c.orders || c.orders > 0 && list[0].Key.Adapter != "a" {
					t.Errorf("orders %+v, expected %d", list, c.orders)
				}
				if got := h.planner.UnknownOrders(time.Now()); got != 1 {
					t.Errorf("%d unknown orders, expected one", got)
				}
			})
		})
	}
}
