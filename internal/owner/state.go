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

// Settled reports whether no unload order is under way.
func (e *Engine) Settled() bool {
	settled, ok := ask(e, func(time.Time) bool { return e.table.Settled() })
	return ok && settled
}

// Drained reports whether no request runs, or may run, that this owner sent.
func (e *Engine) Drained() bool {
	drained, ok := ask(e, func(time.Time) bool { return e.table.Drained() })
	return ok && drained
}

// EarlierCleared reports whether nothing of an owner that is gone is left.
func (e *Engine) EarlierCleared() bool {
	cleared, _ := ask(e, func(time.Time) bool { return e.table.EarlierCleared() })
	return cleared
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

// Run waits until the ownership ends; a keeper has no duties of its own.
func (k *Deduplicator) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Settled reports true: a keeper sends no orders.
func (k *Deduplicator) Settled() bool { return true }

// Drained reports whether no call runs.
func (k *Deduplicator) Drained() bool { return k.Running() == 0 }

// EarlierCleared reports true: a keeper relies only on the end of earlier
// terms.
func (k *Deduplicator) EarlierCleared() bool { return true }

// State describes the keeper to peers.
func (k *Deduplicator) State() *wire.TargetState {
	return &wire.TargetState{Running: int32(k.Running())}
}

// Preload refuses: applications hold no adapters.
func (k *Deduplicator) Preload(bamboorail.ModelRef) error {
	return notRun("preload", bamboorail.KindBadRequest, 0, errNoAdapters)
}
