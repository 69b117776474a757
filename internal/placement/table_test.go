package placement

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/admission"
)

func loadedTable(t *testing.T, slots int, models ...string) *Table {
	t.Helper()
	table := NewTable(Limits{Slots: slots, MaxBatch: 4}, DefaultSettings(), Weighted{}, TermHistory{Term: 1})
	table.Observe(modelNow, bamboorail.EngineReport{Incarnation: "i", BaseModel: "b"})
	for _, m := range models {
		if err := table.Preload(modelNow, ref(m)); err != nil {
			t.Fatal(err)
		}
		p, ok := table.BeginLoad(modelNow)
		if !ok {
			t.Fatalf("no load of %s", m)
		}
		table.Loaded(modelNow, p.Handle, nil)
	}
	return table
}

func item(model, caller string, now time.Time) *admission.QueuedRequest {
	return admission.NewQueuedRequest(&bamboorail.Request{
		RequestID: model + caller, Model: ref(model), Caller: caller, Weight: 1, Tokens: 10, Deadline: now.Add(time.Hour),
	}, now)
}

// An unload order without an answer may still take effect, so its handle must
// not serve requests until it is gone.
func TestUnclearUnloadKeepsTheHandleOutOfUse(t *testing.T) {
	table := loadedTable(t, 1, "x")
	if err := table.Enqueue(modelNow, item("y", "c", modelNow)); err != nil {
		t.Fatal(err)
	}
	p, _ := table.BeginLoad(modelNow)
	table.Unloaded(p.Victim, errors.New("no answer"))
	table.Loaded(modelNow, p.Handle, Aborted(errors.New("no answer")))
	if err := table.Enqueue(modelNow, item("x", "c", modelNow)); err != nil {
		t.Fatal(err)
	}
	if d, ok := table.NextDispatch(modelNow); ok {
		t.Fatalf("dispatched to %s, which may be unloaded at any time", d.Handle)
	}
	if retired := table.Retire(func(bamboorail.ModelRef) bool { return true }); len(retired) != 1 || retired[0] != p.Victim {
		t.Errorf("unload not repeated: %v", retired)
	}
}

// A load whose answer was lost must not occupy its slot forever.
func TestLostLoadIsFoundAndUnloaded(t *testing.T) {
	table := loadedTable(t, 1)
	if err := table.Enqueue(modelNow, item("y", "c", modelNow)); err != nil {
		t.Fatal(err)
	}
	p, _ := table.BeginLoad(modelNow)
	table.Loaded(modelNow, p.Handle, errors.New("no answer"))
	if free := table.FreeSlots(); free != 0 {
		t.Errorf("%d free slots although the load may have taken one", free)
	}
	if retired := table.Retire(func(bamboorail.ModelRef) bool { return true }); len(retired) != 1 {
		t.Fatalf("handle of the lost load not unloaded: %v", retired)
	}
	table.Unloaded(p.Handle, nil)
	if free := table.FreeSlots(); free != 1 {
		t.Errorf("%d free slots after the unload", free)
	}
	// The delayed load arrives: a report made after the unload shows a handle of
	// this term that the table does not know.
	n, _ := table.PendingBarrier()
	table.Observe(modelNow, bamboorail.EngineReport{
		Incarnation: "i", BaseModel: "b", LastOrder: BarrierID(1, n),
		Handles: []bamboorail.HandleState{{Handle: p.Handle, Model: ref("y")}},
	})
	if retired := table.Retire(func(bamboorail.ModelRef) bool { return true }); len(retired) != 1 {
		t.Errorf("stray handle not unloaded: %v", retired)
	}
}

// Routers would send requests to an engine that is announced as loading, but an
// earlier owner that still holds the adapter, and may be suspended, can block
// it there.
func TestHeldHandlesAreNotAnnouncedAsLoading(t *testing.T) {
	table := NewTable(Limits{Slots: 1, MaxBatch: 4}, DefaultSettings(), Weighted{}, TermHistory{
		Term: 2, Earlier: []EarlierTerm{{Term: 1, State: TermOpen}},
	})
	table.Observe(modelNow, bamboorail.EngineReport{
		Incarnation: "i", BaseModel: "b", Handles: []bamboorail.HandleState{{Handle: NewHandle(ref("x"), 1, 1), Model: ref("x")}},
	})
	s := table.Summary(modelNow)
	if len(s.Slots) != 1 || s.Slots[0].Ready || s.Slots[0].Loading {
		t.Errorf("slots %+v", s.Slots)
	}
}

// The report that shows a restart may arrive after the engine refused a lost
// handle and loaded the adapter again.
func TestLateRestartReportKeepsServingHandles(t *testing.T) {
	table := loadedTable(t, 1, "x")
	table.StaleHandle(NewHandle(ref("x"), 1, 1))
	if err := table.Enqueue(modelNow, item("x", "c", modelNow)); err != nil {
		t.Fatal(err)
	}
	p, _ := table.BeginLoad(modelNow)
	table.Loaded(modelNow, p.Handle, nil)
	if _, ok := table.NextDispatch(modelNow); !ok {
		t.Fatal("no request dispatched")
	}
	for range 2 {
		n, _ := table.PendingBarrier()
		table.Observe(modelNow, bamboorail.EngineReport{
			Incarnation: "after the restart", BaseModel: "b", LastOrder: BarrierID(1, n),
			Handles: []bamboorail.HandleState{{Handle: p.Handle, Model: ref("x"), Running: 1}},
		})
		if retired := table.Retire(func(bamboorail.ModelRef) bool { return true }); len(retired) > 0 {
			t.Fatalf("unloads %v, which runs a request", retired)
		}
	}
}

func TestRepeatedLoadFailuresRefuseWaitingRequests(t *testing.T) {
	table := loadedTable(t, 1)
	if err := table.Enqueue(modelNow, item("y", "c", modelNow)); err != nil {
		t.Fatal(err)
	}
	now := modelNow
	failure := &Error{bamboorail.Failure{Kind: bamboorail.KindTargetFailed, Outcome: bamboorail.OutcomeMayHaveRun}}
	for n := range maxLoadFailures {
		p, ok := table.BeginLoad(now)
		if !ok {
			t.Fatalf("no load attempt %d", n)
		}
		refused := table.Loaded(now, p.Handle, failure)
		if want := n == maxLoadFailures-1; (len(refused) == 1) != want {
			t.Errorf("attempt %d refused %d requests", n, len(refused))
		}
		now = now.Add(maxLoadBackoff)
	}
	if f := bamboorail.FailureOf(table.LoadFailure(modelNow, ref("y"))); f.Outcome != bamboorail.OutcomeNotRun || f.RetryAfter <= 0 {
		t.Errorf("refusal %+v", f)
	}
}

// Requests of lower priority are served later and must not count towards the
// expected wait.
func TestDeepBatchQueueDoesNotRefuseInteractiveRequests(t *testing.T) {
	table := loadedTable(t, 1, "x")
	for n := range 2000 {
		i := admission.NewQueuedRequest(&bamboorail.Request{
			Model: ref("x"), Caller: fmt.Sprint(n % 3), Weight: 1, Tokens: 300, Deadline: modelNow.Add(100 * time.Hour),
		}, modelNow)
		if err := table.Enqueue(modelNow, i); err != nil {
			t.Fatal(err)
		}
	}
	work := &bamboorail.Request{
		Model: ref("x"), Caller: "till", Weight: 1, Tokens: 300, Priority: bamboorail.PriorityInteractive, Deadline: modelNow.Add(time.Minute),
	}
	if err := table.Enqueue(modelNow, admission.NewQueuedRequest(work, modelNow)); err != nil {
		t.Errorf("refused: %v", err)
	}
	if d, _ := table.NextDispatch(modelNow); d.Request == nil || d.Request.Request() != work {
		t.Error("the interactive request is not next")
	}
}

func TestFairnessBetweenCallers(t *testing.T) {
	table := loadedTable(t, 1, "x")
	for n := range 40 {
		caller := "greedy"
		if n%4 == 0 {
			caller = "modest"
		}
		if err := table.Enqueue(modelNow, item("x", caller, modelNow.Add(time.Duration(n)))); err != nil {
			t.Fatal(err)
		}
	}
	served := map[string]int{}
	for range 20 {
		d, ok := table.NextDispatch(modelNow)
		if !ok {
			t.Fatal("no request to dispatch")
		}
		served[d.Request.Request().Caller]++
		table.Finished(modelNow, d.Request.Request(), d.Handle, 10, true)
	}
	if served["modest"] != 10 {
		t.Errorf("served %v, expected 10 of modest", served)
	}
}

// TestMain fixes the seed of the random operations, so that all runs have the
// same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Random operations under both policies must never exceed the slots or evict an
// adapter that serves requests, and must grant or refuse every request exactly
// once.
func TestPoliciesObeyTheSameRules(t *testing.T) {
	for name, policy := range map[string]Policy{"weighted": Weighted{}, "naive": Naive{}} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { runOperations(rt, policy) })
		})
	}
}

// granted is a running request.
type granted struct {
	work   *bamboorail.Request
	handle bamboorail.Handle
}

func runOperations(t *rapid.T, policy Policy) {
	const slots, batch = 2, 3
	table := NewTable(Limits{Slots: slots, MaxBatch: batch}, DefaultSettings(), policy, TermHistory{Term: 1})
	table.Observe(modelNow, bamboorail.EngineReport{Incarnation: "i", BaseModel: "b"})
	now, ids, restarts := modelNow, 0, 0
	var running []granted
	var loading []LoadPlan
	waiting := map[*admission.QueuedRequest]bool{}
	held := map[bamboorail.Handle]bamboorail.ModelRef{}
	lost := map[bamboorail.Handle]bool{} // in restarts
	markDecided := func(i *admission.QueuedRequest) {
		if !waiting[i] {
			t.Fatalf("request %s decided twice", i.Request().RequestID)
		}
		delete(waiting, i)
	}
	t.Repeat(map[string]func(*rapid.T){
		"enqueue": func(t *rapid.T) {
			ids++
			i := item(fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "model")), fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "caller")), now)
			if table.Enqueue(now, i) == nil {
				waiting[i] = true
			}
		},
		"dispatch": func(t *rapid.T) {
			d, ok := table.NextDispatch(now)
			if !ok {
				return
			}
			markDecided(d.Request)
			model, ok := held[d.Handle]
			if !ok && lost[d.Handle] {
				// The engine refuses a handle that it lost in a restart.
				table.StaleHandle(d.Handle)
				table.Finished(now, d.Request.Request(), d.Handle, 0, true)
				return
			}
			if model != d.Request.Request().Model {
				t.Fatalf("request for %s sent to %s", d.Request.Request().Model, d.Handle)
			}
			if running = append(running, granted{d.Request.Request(), d.Handle}); len(running) > batch {
				t.Fatalf("%d requests run", len(running))
			}
		},
		"finish": func(t *rapid.T) {
			if len(running) == 0 {
				return
			}
			n := rapid.IntRange(0, len(running)-1).Draw(t, "run")
			table.Finished(now, running[n].work, running[n].handle, 10, true)
			running = append(running[:n], running[n+1:]...)
		},
		"load": func(t *rapid.T) {
			p, ok := table.BeginLoad(now)
			if !ok {
				return
			}
			for _, r := range running {
				if r.handle == p.Victim {
					t.Fatalf("evicted %s while it runs a request", p.Victim)
				}
			}
			if p.Victim != "" {
				table.Unloaded(p.Victim, nil)
				delete(held, p.Victim)
			}
			loading = append(loading, p)
			if len(held)+len(loading) > slots {
				t.Fatalf("%d adapters in %d slots", len(held)+len(loading), slots)
			}
		},
		"loaded": func(t *rapid.T) {
			if len(loading) == 0 {
				return
			}
			p := loading[0]
			loading = loading[1:]
			var err error
			if rapid.Bool().Draw(t, "fails") {
				err = &Error{bamboorail.Failure{Kind: bamboorail.KindTargetFailed, Outcome: bamboorail.OutcomeMayHaveRun}}
			} else {
				held[p.Handle] = p.Model
			}
			for _, i := range table.Loaded(now, p.Handle, err) {
				markDecided(i)
			}
		},
		"time passes": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			for _, i := range table.Expired(now) {
				markDecided(i)
			}
		},
		"restart": func(*rapid.T) {
			restarts++
			table.Observe(now, bamboorail.EngineReport{Incarnation: fmt.Sprint("restart ", restarts), BaseModel: "b"})
			for h := range held {
				lost[h] = true
			}
			clear(held)
			// A restart ends the running requests and the loads in progress.
			for _, r := range running {
				table.Finished(now, r.work, r.handle, 0, true)
			}
			running = nil
			for _, p := range loading {
				for _, i := range table.Loaded(now, p.Handle, Aborted(errors.New("restart"))) {
					markDecided(i)
				}
			}
			loading = nil
		},
		"": func(t *rapid.T) {
			if table.Queued() != len(waiting) || table.Running() != len(running) {
				t.Fatalf("table has %d waiting and %d running, expected %d and %d", table.Queued(), table.Running(), len(waiting), len(running))
			}
		},
	})
}

// The owner of term 2 sent requests to a handle of term 1, which has drained,
// and has since released the engine. The owner of term 3 must not unload the
// handle while these requests run.
func TestHandlesOfDrainedTermsServeLaterTerms(t *testing.T) {
	first := NewHandle(ref("x"), 1, 1)
	if !(TermHistory{Term: 2}).MayDispatch(first, true) {
		t.Fatal("the owner of term 2 does not use the handle")
	}
	cases := map[string]struct {
		second         TermState
		idle, unloaded bool
	}{
		"open":                        {TermOpen, true, false},
		"released":                    {TermReleased, true, false},
		"gone, not verified":          {TermGone, false, false},
		"gone, idle":                  {TermGone, true, true},
		"released and gone, verified": {TermReleasedGone, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := TermHistory{Term: 3, Earlier: []EarlierTerm{{Term: 2, State: c.second}}}
			if got := e.MayUnload(first, c.idle); got != c.unloaded {
				t.Errorf("may unload: %t, want %t", got, c.unloaded)
			}
			if own := NewHandle(ref("x"), 3, 1); !e.MayUnload(own, false) {
				t.Error("a handle of the own term may not be unloaded")
			}
		})
	}
}

// A handle of a drained term may still run requests that the owner of a later
// term sent before it terminated.
func TestHandlesUsedByAnOwnerThatIsGoneAreVerified(t *testing.T) {
	first := NewHandle(ref("x"), 1, 1)
	for name, state := range map[string]TermState{"gone": TermGone, "released and gone": TermReleasedGone} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Limits{Slots: 1, MaxBatch: 4}, DefaultSettings(), Weighted{}, TermHistory{
				Term: 3, Earlier: []EarlierTerm{{Term: 2, State: state}},
			})
			report := bamboorail.EngineReport{Incarnation: "i", BaseModel: "b"}
			if n, ok := table.PendingBarrier(); ok {
				report.LastOrder = BarrierID(3, n)
			}
			for _, running := range []int{3, 0} {
				report.Handles = []bamboorail.HandleState{{Handle: first, Model: ref("x"), Running: running}}
				table.Observe(modelNow, report)
				if got := table.EarlierCleared(); got != (running == 0) {
					t.Errorf("with %d requests running, cleared: %t", running, got)
				}
			}
		})
	}
}

// The next owner uses the handles of an owner that released its target. The
// former owner must not unload them even if a version is retired or a model is
// preloaded in the meantime. Only an unload that failed before the release is
// sent again.
func TestClosedOwnerSendsNoNewUnloads(t *testing.T) {
	cases := map[string]struct {
		prepare func(t *testing.T, table *Table, h bamboorail.Handle)
		retired int
	}{
		"a version is retired": {func(*testing.T, *Table, bamboorail.Handle) {}, 0},
		"a model is preloaded": {func(t *testing.T, table *Table, _ bamboorail.Handle) {
			if err := table.Preload(modelNow, ref("y")); err != nil {
				t.Fatal(err)
			}
		}, 0},
		"an unload failed before": {func(t *testing.T, table *Table, h bamboorail.Handle) {
			none := func(bamboorail.ModelRef) bool { return false }
			if got := table.Retire(none); len(got) != 1 {
				t.Fatalf("unloads %v", got)
			}
			table.Unloaded(h, errors.New("no answer"))
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Limits{Slots: 1, MaxBatch: 4}, DefaultSettings(), Weighted{}, TermHistory{Term: 1})
			table.Observe(modelNow, bamboorail.EngineReport{Incarnation: "i", BaseModel: "b"})
			if err := table.Preload(modelNow, ref("x")); err != nil {
				t.Fatal(err)
			}
			p, ok := table.BeginLoad(modelNow)
			if !ok {
				t.Fatal("no load")
			}
			table.Loaded(modelNow, p.Handle, nil)
			later := modelNow.Add(time.Hour)
			c.prepare(t, table, p.Handle)
			table.Close(errors.New("moved"))
			if got, ok := table.BeginLoad(later); ok {
				t.Errorf("loads %s in place of %q", got.Handle, got.Victim)
			}
			if got := table.Retire(func(bamboorail.ModelRef) bool { return false }); len(got) != c.retired {
				t.Errorf("unloads %v, want %d", got, c.retired)
			}
		})
	}
}
