package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/owner"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/task"
)

// idleEngine has free capacity and accepts every order.
type idleEngine struct{}

func (idleEngine) Report(context.Context) (bamboorail.EngineReport, error) {
	return bamboorail.EngineReport{BaseModel: "b", Slots: 2}, nil
}
func (idleEngine) Barrier(context.Context, string, uint64) error                        { return nil }
func (idleEngine) Load(context.Context, bamboorail.LoadOrder) error                     { return nil }
func (idleEngine) Unload(context.Context, bamboorail.UnloadOrder) error                 { return nil }
func (idleEngine) Run(context.Context, bamboorail.EngineRequest, bamboorail.Sink) error { return nil }

// latePermits grants a permit only some time after the context of the request has
// ended.
type latePermits struct{}

func (latePermits) AcquirePermit(ctx context.Context, _ bamboorail.PermitRequest) (bamboorail.Permit, error) {
	<-ctx.Done()
	time.Sleep(time.Second)
	return latePermit{}, nil
}

type latePermit struct{}

func (latePermit) Release() {}

type anyCatalog struct{}

func (anyCatalog) Source(bamboorail.ModelRef) (string, bool) { return "weights", true }

type noObserver struct{}

func (noObserver) LoadEnded(string, time.Duration, error)          {}
func (noObserver) Evicted(string)                                  {}
func (noObserver) Dispatched(string, time.Duration, time.Duration) {}
func (noObserver) Batch(string, int, int)                          {}

// The ownership ends while the load task is about to query the decision loop,
// which has already stopped. If the query blocked, the wait for the end of the
// ownership would block the whole instance.
func TestOwnershipEndsWhileTaskQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := owner.NewEngine(owner.EngineConfig{
			Target: "e", Limits: placement.Limits{Slots: 2, MaxBatch: 8}, Settings: placement.DefaultSettings(), Policy: placement.Weighted{},
			TermHistory: placement.TermHistory{Term: 1}, Client: idleEngine{}, Permits: latePermits{}, Catalog: anyCatalog{},
			Log: logflags.Discard().Layer("owner"), Observer: noObserver{},
		})
		ctx, cancel := context.WithCancel(t.Context())
		run := task.Start(ctx, "owner", e.Run)
		time.Sleep(2 * time.Second) // the engine has reported
		waiting := task.Start(t.Context(), "request", func(ctx context.Context) error {
			return e.Dispatch(ctx, &bamboorail.Request{
				RequestID: "r", Model: bamboorail.NewModelRef("stitky", "v1"), Tokens: 4, Weight: 1,
				Priority: bamboorail.PriorityInteractive, Deadline: time.Now().Add(time.Minute),
			}, nullSink{})
		})
		time.Sleep(time.Second) // the load task is waiting for a permit
		cancel()
		if err := <-waiting.Done(); bamboorail.KindOf(err) != bamboorail.KindNotOwner || !bamboorail.NotRun(err) {
			t.Errorf("the waiting request was answered %v", err)
		}
		run.Join()
	})
}
