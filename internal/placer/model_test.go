package placer

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// The model consists of two instances with real leases, holders and planners,
// one engine and one store. A step is one event; orders can be lost, be
// executed without an answer, or be executed late. Every sequence of modelDepth
// steps is executed in a synctest bubble, except extensions of sequences that
// end in a state that another sequence of the same length has reached.
const modelDepth = 4

var modelTiming = lease.Timing{RenewInterval: time.Second, Term: 3 * time.Second, Gap: 3 * time.Second}

// orderFault is the fault that affects the first order of a step.
type orderFault int

const (
	faultNone orderFault = iota
	faultAnswerLost
	faultDelayed
	faultCount
)

// modelEngine is an engine that checks the order number of each order.
type modelEngine struct {
	startMillis int64
	orders      uint64
	held        map[string]bool
	nextFault   orderFault
	delayed     []bamboorail.AdapterOrder

	// sender sent the last order, at sent.
	sender string
	sent   time.Time
	// busy reports whether the sender placed a call that still runs.
	busy      func(holder, adapter string) bool
	violation string
	accepted  int
}

var errNoAnswer = errors.New("no answer")

func (e *modelEngine) Order(ctx context.Context, o bamboorail.AdapterOrder) (bamboorail.OrderResult, error) {
	if e.sender != "" && e.sender != o.Holder && time.Since(e.sent) < modelTiming.Gap {
		e.violate("%s sends an order %s after %s did", o.Holder, time.Since(e.sent), e.sender)
	}
	e.sender, e.sent = o.Holder, time.Now()
	// An engine keeps an adapter until the calls that use it have ended, but no
	// holder should rely on it.
	if o.Unload && e.busy(o.Holder, o.Key.Adapter) {
		e.violate("%s unloads %s during a call that it placed", o.Holder, o.Key.Adapter)
	}
	next := e.nextFault
	e.nextFault = faultNone
	if next == faultDelayed {
		e.delayed = append(e.delayed, o)
		<-ctx.Done()
		return 0, errNoAnswer
	}
	result := e.apply(o)
	if next == faultAnswerLost {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	return result, nil
}

// apply executes an order if it was based on the engine's current state.
func (e *modelEngine) apply(o bamboorail.AdapterOrder) bamboorail.OrderResult {
	if o.Orders != e.orders || o.Target.StartMillis != e.startMillis {
		return bamboorail.OrderConflict
	}
	e.orders++
	e.accepted++
	if o.Unload {
		if !e.held[o.Key.Adapter] {
			e.violate("%s unloads %s, which is not loaded", o.Holder, o.Key.Adapter)
		}
		delete(e.held, o.Key.Adapter)
		return bamboorail.OrderDone
	}
	e.held[o.Key.Adapter] = true
	if len(e.held) > slots {
		e.violate("%s loads %s as adapter number %d", o.Holder, o.Key.Adapter, len(e.held))
	}
	return bamboorail.OrderAccepted
}

func (e *modelEngine) violate(format string, a ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, a...)
	}
}

func (e *modelEngine) State(_ context.Context, id bamboorail.TargetID, _ string) (bamboorail.EngineState, error) {
	if id.StartMillis != e.startMillis {
		return bamboorail.EngineState{}, errNoAnswer
	}
	held := map[string]int{}
	for name := range e.held {
		held[name] = 1
	}
	return bamboorail.EngineState{Orders: e.orders, Models: map[string]map[string]int{"m": held}}, nil
}

// modelInstance is one of the two instances.
type modelInstance struct {
	name   string
	lease  *lease.Lease
	holder *Holder
	// running are the calls that the instance placed, oldest first.
	running []modelCall
}

type modelCall struct {
	ticket  uint64
	adapter string
}

type modelCluster struct {
	store     *memory.Store
	engine    *modelEngine
	fleet     *fleet.Fleet
	instances [2]*modelInstance
	// loseAnswer makes the next write to the store take effect without an
	// answer.
	loseAnswer bool
}

// initialStates are the states from which the sequences start, by the steps
// that lead to them from a full engine that is led by a. They include b being
// able to claim the lease, and b having claimed it while an order of a is still
// pending.
var initialStates = map[string][]string{
	"a leads":         {},
	"b may claim":     {"elect b", "wait 4s"},
	"b has claimed":   {"place a z 2", "elect b", "wait 4s", "elect b", "wait 2s", "upkeep b"},
	"b leads":         {"place a x 0", "elect b", "wait 4s", "elect b", "wait 4s", "upkeep b", "place b z 0"},
	"a has released":  {"place a z 2", "release a", "elect b", "upkeep b"},
	"a loses answers": {"elect-lost a", "elect b", "wait 2s", "elect a"},
}

func newModelCluster(t *testing.T) *modelCluster {
	w := &modelCluster{store: memory.NewStore(), engine: &modelEngine{startMillis: 1, held: map[string]bool{}}, fleet: fleet.New(time.Second)}
	w.store.SetHook(func(op, _ string) error {
		if op == "put-object" && w.loseAnswer {
			return memory.ErrLostResponse
		}
		return nil
	})
	w.engine.busy = w.busy
	w.register()
	table := route.NewTable(bamboorail.Configuration{Version: 1, Services: []bamboorail.ServiceSpec{
		{Name: "s", Engine: true, AdapterSlots: slots, Models: []bamboorail.ModelSpec{{Name: "m"}}},
	}})
	start := time.Now()
	for n, name := range []string{"a", "b"} {
		l := lease.New(lease.Config{
			Key: "leases/z", Holder: name, Address: name + ":1", Store: w.store, Timing: modelTiming,
			Clock: func() time.Duration { return time.Since(start) }, Log: hclog.NewNullLogger(),
		})
		h := NewHolder(HolderConfig{
			Zone: "z", Instance: name, Lease: l, Fleet: w.fleet, Table: func() *route.Table { return table }, Engines: w.engine,
			Tuning: adapters.Tuning{
				FetchTime: 100 * time.Millisecond, ReloadShare: 0.1, FetchLimit: 8, MaxLoadsPerEngine: 8, CachedAdapters: 8,
				DemandHalfLife: time.Second,
			},
			FetchShare: func() int { return 8 }, ModelLoadInterval: func() time.Duration { return time.Second }, Metrics: telemetry.NewMetrics(), Log: hclog.NewNullLogger(),
		})
		w.instances[n] = &modelInstance{name: name, lease: l, holder: h}
	}
	for _, s := range []string{"elect a", "upkeep a", "place a x", "end a", "place a y", "end a"} {
		if !w.step(t, s) {
			t.Fatalf("step %q of the initial state is not possible", s)
		}
	}
	if len(w.engine.held) != slots {
		t.Fatalf("the engine holds %v in the initial state", w.engine.held)
	}
	return w
}

func (w *modelCluster) register() {
	w.fleet.Update(bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "e", StartMillis: w.engine.startMillis}, Service: "s", Zone: "z", Slots: 8})
}

func (w *modelCluster) busy(holder, adapter string) bool {
	for _, i := range w.instances {
		if i.name == holder && slices.ContainsFunc(i.running, func(c modelCall) bool { return c.adapter == adapter }) {
			return true
		}
	}
	return false
}

func modelSteps() []string {
	list := []string{"wait 2s", "wait 4s", "late", "restart"}
	for _, name := range []string{"a", "b"} {
		list = append(list, "elect "+name, "elect-lost "+name, "release "+name, "upkeep "+name, "end "+name)
		for f := range faultCount {
			list = append(list, fmt.Sprintf("place %s x %d", name, f), fmt.Sprintf("place %s z %d", name, f))
		}
	}
	return list
}

// step executes one event. It returns false if the event is not possible in the
// current state.
func (w *modelCluster) step(t *testing.T, text string) bool {
	words := strings.Fields(text)
	switch words[0] {
	case "wait":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(d)
		return true
	case "late":
		if len(w.engine.delayed) == 0 {
			return false
		}
		o := w.engine.delayed[0]
		w.engine.delayed = w.engine.delayed[1:]
		w.engine.apply(o)
		return true
	case "restart":
		w.engine.startMillis++
		w.engine.orders, w.engine.held = 0, map[string]bool{}
		w.register()
		return true
	}
	return w.stepOf(t, w.instances[strings.Index("ab", words[1])], words)
}

func (w *modelCluster) stepOf(t *testing.T, i *modelInstance, words []string) bool {
	ctx := t.Context()
	switch words[0] {
	case "elect", "elect-lost":
		if o, err := w.store.Get(ctx, "leases/z"); err == nil {
			i.lease.Observe(o)
		}
		w.loseAnswer = words[0] == "elect-lost"
		switch {
		case i.lease.Leading():
			_ = i.lease.Renew(ctx)
		case i.lease.Claimable():
			_ = i.lease.Claim(ctx)
		}
		w.loseAnswer = false
	case "release":
		if !i.lease.Leading() {
			return false
		}
		_ = i.lease.Release(ctx)
	case "upkeep":
		i.holder.upkeep(ctx)
		for len(i.holder.background) > 0 {
			_ = i.holder.execute(ctx, <-i.holder.background)
		}
	case "end":
		if len(i.running) == 0 {
			return false
		}
		i.holder.Settle([]EndedPlacement{{Ticket: i.running[0].ticket}})
		i.running = i.running[1:]
	case "place":
		if !i.lease.Leading() {
			return false
		}
		w.place(ctx, i, words)
	}
	return true
}

// place places a call and waits until it runs.
func (w *modelCluster) place(ctx context.Context, i *modelInstance, words []string) {
	if len(words) > 3 {
		w.engine.nextFault = orderFault(words[3][0] - '0')
	}
	key := bamboorail.AdapterKey{Model: "m", Adapter: words[2]}
	p, err := i.holder.Place(ctx, adapters.Request{Key: key, Service: "s", CallID: "c", Objective: time.Second})
	w.engine.nextFault = faultNone
	if err != nil {
		return
	}
	i.running = append(i.running, modelCall{p.Ticket, key.Adapter})
	time.Sleep(time.Until(p.ReadyAt))
}

// check returns the violated invariant, if any.
func (w *modelCluster) check() string {
	_, a := w.instances[0].lease.Tenure()
	_, b := w.instances[1].lease.Tenure()
	if a && b {
		return "both instances may act"
	}
	return w.engine.violation
}

// fingerprint identifies the state, including the unexported state of leases
// and planners.
func (w *modelCluster) fingerprint() uint64 {
	h := xxhash.New()
	add := func(v any) { digest(h, reflect.ValueOf(v), nil) }
	for _, i := range w.instances {
		add(i.lease)
		add(i.holder.planner)
		add(i.holder.leading)
		add(i.running)
	}
	add(w.engine)
	add(time.Now().UnixNano())
	return h.Sum64()
}

// digest hashes a value including its unexported fields. Functions, channels,
// interfaces and locks hold no relevant state. path holds the pointers that
// led to the value; a pointer among them is hashed by its position, because the
// linked list of an LRU cache is a ring.
func digest(h *xxhash.Digest, v reflect.Value, path []reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return
		}
		n := slices.IndexFunc(path, func(p reflect.Value) bool {
			return p.Type() == v.Type() && p.Pointer() == v.Pointer()
		})
		if n >= 0 {
			fmt.Fprint(h, "pointer ", n, ";")
			return
		}
		digest(h, v.Elem(), append(slices.Clip(path), v))
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			fmt.Fprint(h, v.Field(0).Uint(), ",", v.Field(1).Int(), ";")
			return
		}
		for n := range v.NumField() {
			digest(h, v.Field(n), path)
		}
	case reflect.Slice:
		fmt.Fprint(h, v.Len(), ":")
		for n := range v.Len() {
			digest(h, v.Index(n), path)
		}
	case reflect.Map:
		sums := make([]uint64, 0, v.Len())
		for it := v.MapRange(); it.Next(); {
			entry := xxhash.New()
			digest(entry, it.Key(), path)
			digest(entry, it.Value(), path)
			sums = append(sums, entry.Sum64())
		}
		slices.Sort(sums)
		fmt.Fprint(h, sums, ";")
	case reflect.Func, reflect.Chan, reflect.Interface:
	default:
		fmt.Fprint(h, v, ";")
	}
}

// replay executes a sequence and returns the fingerprint of its final state,
// the violated invariant, and whether its last step is possible.
func replay(t *testing.T, initial, path []string) (end uint64, violation string, possible bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newModelCluster(t)
		for _, s := range slices.Concat(initial, path) {
			possible = w.step(t, s)
		}
		end, violation = w.fingerprint(), w.check()
	})
	return end, violation, possible
}

// TestHoldersInAnyOrder executes every sequence of steps from every initial
// state.
func TestHoldersInAnyOrder(t *testing.T) {
	for name, initial := range initialStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			explore(t, initial)
		})
	}
}

func explore(t *testing.T, initial []string) {
	t.Helper()
	seen := map[uint64]bool{}
	frontier := [][]string{nil}
	executions := 0
	for range modelDepth {
		var next [][]string
		for _, path := range frontier {
			for _, s := range modelSteps() {
				extended := append(slices.Clone(path), s)
				end, violation, possible := replay(t, initial, extended)
				executions++
				if violation != "" {
					t.Fatalf("%s after:\n%s", violation, strings.Join(extended, "\n"))
				}
				if possible && !seen[end] {
					seen[end] = true
					next = append(next, extended)
				}
			}
		}
		frontier = next
	}
	t.Logf("%d states in %d executions of up to %d steps", len(seen), executions, modelDepth)
}
