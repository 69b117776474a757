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

// The model: two instances with real leases, holders and planners in front of
// one engine and one store. A step is one event; orders can be lost, or carried
// out without an answer, or carried out later. Every sequence of modelDepth
// steps is played, in a bubble with a clock of its own, unless it leads to a
// state that another one of that length reached.
const modelDepth = 4

var modelTiming = lease.Timing{RenewInterval: time.Second, Term: 3 * time.Second, Gap: 3 * time.Second}

// fate is what happens to the first order of a step.
type fate int

const (
	fateAnswered fate = iota
	fateAnswerLost
	fateLate
	fates
)

// modelEngine is an engine that compares the number of its orders.
type modelEngine struct {
	born   int64
	orders uint64
	held   map[string]bool
	next   fate
	late   []bamboorail.AdapterOrder

	// sender sent the last order at sent.
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
		e.violate("%s orders %s after %s did", o.Holder, time.Since(e.sent), e.sender)
	}
	e.sender, e.sent = o.Holder, time.Now()
	// An engine keeps an adapter until its runs have ended, but nobody should ask.
	if o.Unload && e.busy(o.Holder, o.Key.Adapter) {
		e.violate("%s unloads %s under a call that it placed", o.Holder, o.Key.Adapter)
	}
	next := e.next
	e.next = fateAnswered
	if next == fateLate {
		e.late = append(e.late, o)
		<-ctx.Done()
		return 0, errNoAnswer
	}
	result := e.apply(o)
	if next == fateAnswerLost {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	return result, nil
}

// apply carries an order out if it was decided on the engine's state.
func (e *modelEngine) apply(o bamboorail.AdapterOrder) bamboorail.OrderResult {
	if o.Orders != e.orders || o.Target.StartMillis != e.born {
		return bamboorail.OrderConflict
	}
	e.orders++
	e.accepted++
	if o.Unload {
		if !e.held[o.Key.Adapter] {
			e.violate("%s unloads %s, which is not there", o.Holder, o.Key.Adapter)
		}
		delete(e.held, o.Key.Adapter)
		return bamboorail.OrderDone
	}
	e.held[o.Key.Adapter] = true
	if len(e.held) > slots {
		e.violate("%s loads %s as number %d", o.Holder, o.Key.Adapter, len(e.held))
	}
	return bamboorail.OrderAccepted
}

func (e *modelEngine) violate(format string, a ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, a...)
	}
}

func (e *modelEngine) State(_ context.Context, id bamboorail.TargetID, _ string) (bamboorail.EngineState, error) {
	if id.StartMillis != e.born {
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
	// running are the calls that it placed, oldest first.
	running []modelCall
}

type modelCall struct {
	ticket  uint64
	adapter string
}

type modelWorld struct {
	store     *memory.Store
	engine    *modelEngine
	fleet     *fleet.Fleet
	instances [2]*modelInstance
	// loseAnswer has the next write of the store take effect without an answer.
	loseAnswer bool
}

// beginnings are the states from which sequences start: an engine that is full
// and led by a; the same when b may claim the lease; and when b has claimed it
// while an order of a is still under way.
var beginnings = map[string][]string{
	"a leads":          {},
	"b may claim":      {"elect b", "wait 4s"},
	"b has claimed":    {"place a z 2", "elect b", "wait 4s", "elect b", "wait 2s", "upkeep b"},
	"b leads":          {"place a x 0", "elect b", "wait 4s", "elect b", "wait 4s", "upkeep b", "place b z 0"},
	"a has released":   {"place a z 2", "release a", "elect b", "upkeep b"},
	"a renews in vain": {"elect-lost a", "elect b", "wait 2s", "elect a"},
}

func newModelWorld(t *testing.T) *modelWorld {
	w := &modelWorld{store: memory.NewStore(), engine: &modelEngine{born: 1, held: map[string]bool{}}, fleet: fleet.New(time.Second)}
	w.store.SetHook(func(op, _ string) error {
		if op == "put-object" && w.loseAnswer {
			return memory.ErrLostAnswer
		}
		return nil
	})
	w.engine.busy = w.busy
	w.enter()
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
				FetchTime: 100 * time.Millisecond, ReloadTime: 10 * time.Millisecond, MinFetchLimit: 8, MaxLoadsPerEngine: 8, CachedAdapters: 8,
				DemandHalfLife: time.Second,
			},
			FetchShare: func() int { return 8 }, ModelLoadInterval: func() time.Duration { return time.Second }, Metrics: telemetry.NewMetrics(), Log: hclog.NewNullLogger(),
		})
		w.instances[n] = &modelInstance{name: name, lease: l, holder: h}
	}
	for _, s := range []string{"elect a", "upkeep a", "place a x", "end a", "place a y", "end a"} {
		if !w.step(t, s) {
			t.Fatalf("step %q of the beginning does nothing", s)
		}
	}
	if len(w.engine.held) != slots {
		t.Fatalf("the engine holds %v at the beginning", w.engine.held)
	}
	return w
}

func (w *modelWorld) enter() {
	w.fleet.Update(bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "e", StartMillis: w.engine.born}, Service: "s", Zone: "z", Slots: 8})
}

func (w *modelWorld) busy(holder, adapter string) bool {
	for _, i := range w.instances {
		if i.name == holder && slices.ContainsFunc(i.running, func(c modelCall) bool { return c.adapter == adapter }) {
			return true
		}
	}
	return false
}

// modelSteps lists every step.
func modelSteps() []string {
	list := []string{"wait 2s", "wait 4s", "late", "restart"}
	for _, name := range []string{"a", "b"} {
		list = append(list, "elect "+name, "elect-lost "+name, "release "+name, "upkeep "+name, "end "+name)
		for f := range fates {
			list = append(list, fmt.Sprintf("place %s x %d", name, f), fmt.Sprintf("place %s z %d", name, f))
		}
	}
	return list
}

// step makes one event happen. It returns false if it cannot happen now.
func (w *modelWorld) step(t *testing.T, text string) bool {
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
		if len(w.engine.late) == 0 {
			return false
		}
		o := w.engine.late[0]
		w.engine.late = w.engine.late[1:]
		w.engine.apply(o)
		return true
	case "restart":
		w.engine.born++
		w.engine.orders, w.engine.held = 0, map[string]bool{}
		w.enter()
		return true
	}
	return w.stepOf(t, w.instances[strings.Index("ab", words[1])], words)
}

func (w *modelWorld) stepOf(t *testing.T, i *modelInstance, words []string) bool {
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
		i.holder.Settle([]Ended{{Ticket: i.running[0].ticket}})
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
func (w *modelWorld) place(ctx context.Context, i *modelInstance, words []string) {
	if len(words) > 3 {
		w.engine.next = fate(words[3][0] - '0')
	}
	key := bamboorail.AdapterKey{Model: "m", Adapter: words[2]}
	p, err := i.holder.Place(ctx, adapters.Request{Key: key, Service: "s", CallID: "c", Objective: time.Second})
	w.engine.next = fateAnswered
	if err != nil {
		return
	}
	i.running = append(i.running, modelCall{p.Ticket, key.Adapter})
	time.Sleep(time.Until(p.ReadyAt))
}

// check reports the rule that is broken.
func (w *modelWorld) check() string {
	_, a := w.instances[0].lease.Tenure()
	_, b := w.instances[1].lease.Tenure()
	if a && b {
		return "both instances may act"
	}
	return w.engine.violation
}

// fingerprint identifies the state, the private one of leases and planners
// included.
func (w *modelWorld) fingerprint() uint64 {
	h := xxhash.New()
	add := func(v any) { digest(h, reflect.ValueOf(v)) }
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

// digest writes a value with its unexported fields. Functions, channels,
// interfaces and locks have no state that counts.
func digest(h *xxhash.Digest, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			digest(h, v.Elem())
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			fmt.Fprint(h, v.Field(0).Uint(), ",", v.Field(1).Int(), ";")
			return
		}
		for n := range v.NumField() {
			digest(h, v.Field(n))
		}
	case reflect.Slice:
		fmt.Fprint(h, v.Len(), ":")
		for n := range v.Len() {
			digest(h, v.Index(n))
		}
	case reflect.Map:
		sums := make([]uint64, 0, v.Len())
		for it := v.MapRange(); it.Next(); {
			entry := xxhash.New()
			digest(entry, it.Key())
			digest(entry, it.Value())
			sums = append(sums, entry.Sum64())
		}
		slices.Sort(sums)
		fmt.Fprint(h, sums, ";")
	case reflect.Func, reflect.Chan, reflect.Interface:
	default:
		fmt.Fprint(h, v, ";")
	}
}

// play plays a sequence and returns the fingerprint of its end, the broken
// rule, and whether its last step can happen.
func play(t *testing.T, beginning, path []string) (end uint64, broken string, possible bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newModelWorld(t)
		for _, s := range slices.Concat(beginning, path) {
			possible = w.step(t, s)
		}
		end, broken = w.fingerprint(), w.check()
	})
	return end, broken, possible
}

// TestHoldersInAnyOrder plays every sequence of steps from every beginning.
func TestHoldersInAnyOrder(t *testing.T) {
	for name, beginning := range beginnings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			explore(t, beginning)
		})
	}
}

func explore(t *testing.T, beginning []string) {
	t.Helper()
	seen := map[uint64]bool{}
	frontier := [][]string{nil}
	played := 0
	for range modelDepth {
		var next [][]string
		for _, path := range frontier {
			for _, s := range modelSteps() {
				extended := append(slices.Clone(path), s)
				end, broken, possible := play(t, beginning, extended)
				played++
				if broken != "" {
					t.Fatalf("%s after:\n%s", broken, strings.Join(extended, "\n"))
				}
				if possible && !seen[end] {
					seen[end] = true
					next = append(next, extended)
				}
			}
		}
		frontier = next
	}
	t.Logf("%d states in %d executions of up to %d steps", len(seen), played, modelDepth)
}
