package owner

import (
	"context"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placement"
)

// Running returns the number of requests that run on the engine.
func (e *Engine) Running() int {
	n, _ := ask(e, func(time.Time) int { return e.table.Running() })
	return n
}

// EarlierIdle reports whether the engine showed that nothing of earlier terms
// runs on it.
func (e *Engine) EarlierIdle() bool {
	idle, _ := ask(e, func(time.Time) bool { return e.table.EarlierIdle() })
	return idle
}

// State describes the engine to peers.
func (e *Engine) State() *wire.TargetState {
	s, _ := e.Summary()
	return targetState(s)
}

func targetState(s placement.Summary) *wire.TargetState {
	t := &wire.TargetState{
		Slots: int32(s.Limits.Slots), MaxBatch: int32(s.Limits.MaxBatch), Running: int32(s.Running), Queued: int32(s.Queued),
		WaitMicros: s.Wait.Microseconds(), LoadMicros: s.LoadTime.Microseconds(), Cold: s.Cold, Unreachable: s.Unreachable,
	}
	for _, l := range s.Slots {
		t.Loaded = append(t.Loaded, &wire.SlotState{
			Model: l.Model.String(), Ready: l.Ready, Running: int32(l.Running), Handle: string(l.Handle),
		})
	}
	return t
}

// Run waits until the ownership ends; a keeper has no duties of its own.
func (k *Keeper) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// EarlierIdle reports true: a keeper relies only on the end of earlier terms.
func (k *Keeper) EarlierIdle() bool { return true }

// State describes the keeper to peers.
func (k *Keeper) State() *wire.TargetState {
	return &wire.TargetState{Running: int32(k.Running())}
}

// Preload refuses: applications hold no adapters.
func (k *Keeper) Preload(bamboorail.ModelRef) error {
	return notRun("preload", bamboorail.KindBadRequest, 0, errNoAdapters)
}
