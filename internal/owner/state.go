package owner

import (
	"context"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placement"
)

// Running returns the number of requests running on the engine.
func (e *Engine) Running() int {
	n, _ := queryLoop(e, func(time.Time) int { return e.table.Running() })
	return n
}

// Settled reports whether no unload order is in flight.
func (e *Engine) Settled() bool {
	settled, ok := queryLoop(e, func(time.Time) bool { return e.table.Settled() })
	return ok && settled
}

// Drained reports whether no request of this owner is, or may be, running.
func (e *Engine) Drained() bool {
	drained, ok := queryLoop(e, func(time.Time) bool { return e.table.Drained() })
	return ok && drained
}

// EarlierCleared reports whether nothing is left of owners that are gone.
func (e *Engine) EarlierCleared() bool {
	cleared, _ := queryLoop(e, func(time.Time) bool { return e.table.EarlierCleared() })
	return cleared
}

// State returns the announced state of the engine.
func (e *Engine) State() *wire.TargetState {
	s, _ := e.Summary()
	return targetState(s)
}

func targetState(s placement.Summary) *wire.TargetState {
	t := &wire.TargetState{
		Slots: int32(s.Limits.Slots), MaxBatch: int32(s.Limits.MaxBatch), Running: int32(s.Running), Queued: int32(s.Queued),
		WaitMicros: s.Wait.Microseconds(), LoadMicros: s.LoadTime.Microseconds(), Cold: s.Cold, Unreachable: s.Unreachable,
		Leaving: s.Leaving, TokenMicros: s.TokenTime.Microseconds(),
	}
	t.VictimValue = s.VictimValue
	for _, m := range s.Awaited {
		t.Awaited = append(t.Awaited, m.String())
	}
	for _, l := range s.Slots {
		t.Loaded = append(t.Loaded, &wire.SlotState{
			Model: l.Model.String(), Ready: l.Ready, Loading: l.Loading, Running: int32(l.Running), Handle: string(l.Handle),
		})
	}
	return t
}

// Run waits until the ownership ends. A Deduplicator has no tasks of its own.
func (d *Deduplicator) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Settled reports true, since a Deduplicator sends no orders.
func (d *Deduplicator) Settled() bool { return true }

// Drained reports whether no call is running.
func (d *Deduplicator) Drained() bool { return d.Running() == 0 }

// EarlierCleared reports true, since a Deduplicator relies only on the end of
// earlier terms.
func (d *Deduplicator) EarlierCleared() bool { return true }

// State returns the announced state of the shard.
func (d *Deduplicator) State() *wire.TargetState {
	return &wire.TargetState{Running: int32(d.Running())}
}

// Preload fails, since applications have no adapters.
func (d *Deduplicator) Preload(bamboorail.ModelRef) error {
	return notRun("preload", bamboorail.KindBadRequest, 0, errNoAdapters)
}
