package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
)

// brittleTarget is a target that falls over if it has to turn too many calls away.
type brittleTarget struct {
	sim   *brittleSim
	entry bamboorail.TargetEntry

	mu       sync.Mutex
	brittle  bool
	queue    int
	held     int
	slots    chan struct{}
	refusals []time.Time
	down     bool
	// crashed is closed when the target falls over.
	crashed chan struct{}
	orders  uint64
}

// fall ends all calls at the target, which is back after simDown. The caller holds the lock.
func (x *brittleTarget) fall() {
	x.sim.count(func(r *brittleResult) { r.falls++ })
	x.crash()
}

func (x *brittleTarget) crash() {
	x.down, x.refusals = true, nil
	close(x.crashed)
	go func() {
		time.Sleep(simDown)
		x.mu.Lock()
		x.down, x.held, x.orders = false, 0, 0
		x.slots, x.crashed = make(chan struct{}, simSlots), make(chan struct{})
		x.entry.ID.StartMillis++
		entry := x.entry
		x.mu.Unlock()
		time.Sleep(simEntryLag)
		for _, i := range x.sim.instances {
			i.chooser.Fleet.Update(entry)
		}
	}()
}

// serve runs one call and returns its result and what the answer says of the target. The
// slot is free while the answer is on its way.
func (x *brittleTarget) serve(ctx context.Context) (balance.Result, bamboorail.Advisory) {
	r, a := x.run(ctx)
	if r == balance.Answered || r == balance.Refused {
		time.Sleep(x.sim.load.delay())
	}
	return r, a
}

func (x *brittleTarget) run(ctx context.Context) (balance.Result, bamboorail.Advisory) {
	time.Sleep(x.sim.load.delay())
	x.mu.Lock()
	a := bamboorail.Advisory{Brittle: x.brittle, MaxRefusals: float64(x.sim.load.bears)}
	if x.down {
		x.mu.Unlock()
		return balance.Unreachable, bamboorail.Advisory{Partial: true}
	}
	if x.held >= simSlots+x.queue {
		now := time.Now()
		x.sim.count(func(r *brittleResult) { r.refusedByTarget++ })
		for x.refusals = append(x.refusals, now); now.Sub(x.refusals[0]) > time.Second; {
			x.refusals = x.refusals[1:]
		}
		if x.brittle && len(x.refusals) > x.sim.load.bears {
			x.fall()
		}
		x.mu.Unlock()
		return balance.Refused, a
	}
	x.held++
	slots, crashed := x.slots, x.crashed
	x.mu.Unlock()
	left := func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.crashed == crashed {
			x.held--
		}
	}
	work := time.NewTimer(time.Hour)
	defer work.Stop()
	defer left()
	select {
	case slots <- struct{}{}:
		work.Reset(x.sim.load.duration())
	case <-crashed:
		return balance.Dropped, bamboorail.Advisory{Partial: true}
	case <-ctx.Done():
		return balance.Abandoned, bamboorail.Advisory{Partial: true}
	}
	defer func() { <-slots }()
	select {
	case <-work.C:
		return balance.Answered, a
	case <-crashed:
		return balance.Dropped, bamboorail.Advisory{Partial: true}
	case <-ctx.Done():
		return balance.Abandoned, bamboorail.Advisory{Partial: true}
	}
}

// simEngines takes the orders for the targets. All of them hold the model.
type simEngines struct{ sim *brittleSim }

func (simEngines) Order(context.Context, bamboorail.AdapterOrder) (bamboorail.OrderResult, error) {
	return 0, errLost
}

func (e simEngines) State(_ context.Context, id bamboorail.TargetID, _ string) (bamboorail.EngineState, error) {
	time.Sleep(2 * simLatency)
	e.sim.mu.Lock()
	targets := slices.Clone(e.sim.targets)
	e.sim.mu.Unlock()
	for _, x := range targets {
		x.mu.Lock()
		held, down := x.held, x.down || x.entry.ID != id
		x.mu.Unlock()
		if x.entry.ID.Name == id.Name {
			if down {
				return bamboorail.EngineState{}, errHolderDown
			}
			return bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}, Active: min(held, simSlots), Queued: max(held-simSlots, 0)}, nil
		}
	}
	return bamboorail.EngineState{}, errHolderDown
}
