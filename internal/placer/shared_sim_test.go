package placer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/relay"
)

const (
	sharedObjective = 300 * time.Millisecond
	sharedWork      = 60 * time.Millisecond
	sharedTimeout   = 1500 * time.Millisecond
	// sharedQueue is the number of calls that a target lets wait.
	sharedQueue = 24
	// sharedKinds is the number of kinds of calls, each with its priority.
	sharedKinds = 3
)

// sharedResult counts what callers and targets saw while counts is set.
type sharedResult struct {
	// calls, served and onTime are by kind.
	calls, served, onTime [sharedKinds]int
	// small is the calls of the small workspace, smallServed those that were served.
	small, smallServed int
	// sent and refusedByTarget count the attempts; slow are the refusals that callers got
	// after more than an eighth of the objective.
	sent, refusedByTarget, refused, slow int
}

type sharedSim struct {
	*brittleSim
	mu     sync.Mutex
	counts bool
	result sharedResult
}

func (s *sharedSim) count(f func(r *sharedResult)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts {
		f(&s.result)
	}
}

// call makes one call as the relay does.
func (s *sharedSim) call(ctx context.Context, i *brittleInstance, id string, kind int, small bool) {
	ctx, cancel := context.WithTimeout(ctx, sharedTimeout)
	defer cancel()
	received := time.Now()
	call := &bamboorail.Call{ID: id, Workspace: "large"}
	if small {
		call.Workspace = "small"
	}
	request := relay.ChooseRequest{
		Call: call, Service: bamboorail.ServiceSpec{Name: "s"}, Received: received, StartBy: received.Add(sharedTimeout),
		Route: bamboorail.RouteSpec{Objective: sharedObjective, Timeout: sharedTimeout, Priority: kind},
	}
	s.count(func(r *sharedResult) {
		r.calls[kind]++
		if small {
			r.small++
		}
	})
	for range simTries {
		place, err := i.chooser.Choose(ctx, request)
		if err != nil {
			break
		}
		if !place.Valid() {
			place.Done(balance.Abandoned, 0)
			request.Avoid = append(request.Avoid, place.Target.ID.Name)
			continue
		}
		sent, result := time.Now(), balance.Unreachable
		if x := s.target(place.Target.ID.Name); !s.isCut(i.zones[0].Zone, x.entry.Zone) {
			s.count(func(r *sharedResult) { r.sent++ })
			result, _ = x.serve(ctx)
		}
		now := time.Now()
		place.Done(result, now.Sub(sent))
		switch result {
		case balance.Answered:
			s.count(func(r *sharedResult) {
				r.served[kind]++
				if small {
					r.smallServed++
				}
				if now.Sub(received) <= sharedObjective {
					r.onTime[kind]++
				}
			})
			return
		case balance.Refused:
			s.count(func(r *sharedResult) { r.refusedByTarget++ })
		case balance.Dropped, balance.Abandoned:
			return
		}
		request.Avoid = append(request.Avoid, place.Target.ID.Name)
	}
	s.count(func(r *sharedResult) {
		if r.refused++; time.Since(received) > sharedObjective/8 {
			r.slow++
		}
	})
}

// offer makes calls of all kinds at random moments, to random instances, for a while.
func (s *sharedSim) offer(ctx context.Context, calls *sync.WaitGroup, load float64, d time.Duration) {
	rate := load * float64(s.load.targets*simSlots) / s.load.work.Seconds()
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		i := s.instances[s.random.IntN(len(s.instances))]
		kind, small := s.random.IntN(sharedKinds), s.random.Float64() < 0.2
		if i.ended.Load() {
			continue
		}
		calls.Go(func() { s.call(ctx, i, fmt.Sprintf("c%d-%d", time.Since(s.start), n), kind, small) })
	}
}

// sharedCase is what happens during a load.
type sharedCase struct {
	load float64
	// cut is the number of zones that are cut off, loses makes a holder end, replaces makes
	// a new target take the place of one.
	cut             int
	loses, replaces bool
}

func playShared(t *testing.T, c sharedCase, seed uint64) (result sharedResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const (
			warm, before, after = 3 * time.Second, 5 * time.Second, 20 * time.Second
			// leaderless is the time for which the zone of a holder that ended has none.
			leaderless = 5 * time.Second
		)
		ctx, cancel := context.WithCancel(context.Background())
		l := brittleLoad{instances: 89, targets: 3, work: sharedWork, bears: -1, share: true, latency: 6 * time.Millisecond, spread: 0.5}
		s := &sharedSim{brittleSim: newBrittleSim(ctx, t, l, seed)}
		first := s.targets[0].entry
		replacement := first
		replacement.ID.Name = "replacement"
		s.brittleSim.mu.Lock()
		s.targets = append(s.targets, &brittleTarget{sim: s.brittleSim, slots: make(chan struct{}, simSlots), crashed: make(chan struct{}), entry: replacement})
		s.brittleSim.mu.Unlock()
		for _, x := range s.targets {
			x.queue = sharedQueue
		}
		time.Sleep(time.Second)
		var calls sync.WaitGroup
		s.offer(ctx, &calls, 0.5, warm)
		s.setCounts(true)
		s.offer(ctx, &calls, c.load, before)
		s.brittleSim.mu.Lock()
		s.cut = map[string]bool{}
		for _, z := range brittleZones[:c.cut] {
			s.cut[z] = true
		}
		s.brittleSim.mu.Unlock()
		if c.loses {
			s.instances[0].end()
		}
		if c.replaces {
			first.Leaving = true
			for _, i := range s.instances {
				i.chooser.Fleet.Update(first)
				i.chooser.Fleet.Update(replacement)
			}
		}
		s.offer(ctx, &calls, c.load, leaderless)
		if c.loses {
			s.lead(ctx, brittleZones[0], s.instances[len(brittleZones)])
		}
		s.offer(ctx, &calls, c.load, after)
		s.setCounts(false)
		result = s.result
		calls.Wait()
		cancel()
		for _, i := range s.instances {
			for _, d := range i.tasks {
				d.Join()
			}
		}
	})
	return result
}

func (s *sharedSim) setCounts(counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = counts
}

// TestSharedTargetsServeTheirCapacity guards against targets of a plain service that refuse
// most calls of many instances while slots idle and urgent calls are refused.
func TestSharedTargetsServeTheirCapacity(t *testing.T) {
	const (
		maxRefused = 0.02 // of the calls that were sent
		minServed  = 0.95 // of the capacity
		minOnTime  = 0.9  // of the served calls
		maxSlow    = 0.1  // of the refusals of the instances
		seconds    = 30
	)
	cases := map[string]sharedCase{
		"all zones":       {load: 2},
		"one zone cut":    {load: 2, cut: 1},
		"two zones cut":   {load: 2, cut: 2},
		"holder ends":     {load: 2, loses: true},
		"target replaced": {load: 2, replaces: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playShared(t, c, 1)
			capacity := 3 * simSlots / sharedWork.Seconds() * seconds
			served := float64(r.served[0] + r.served[1] + r.served[2])
			refused, onTime := float64(r.refusedByTarget)/float64(r.sent), float64(r.onTime[0]+r.onTime[1]+r.onTime[2])/served
			t.Logf("served %.3f of the capacity, %.3f of them on time, %.4f refused by targets, %+v", served/capacity, onTime, refused, r)
			if refused > maxRefused || served < minServed*capacity || onTime < minOnTime || float64(r.slow) > maxSlow*float64(r.refused) {
				t.Error("the capacity is not used as it should be")
			}
			for kind := range sharedKinds - 1 {
				if r.served[kind]*r.calls[kind+1] < r.served[kind+1]*r.calls[kind] {
					t.Errorf("kind %d is served less often than less urgent calls", kind)
				}
			}
			if share := float64(r.smallServed) / float64(r.small); share < served/float64(r.calls[0]+r.calls[1]+r.calls[2]) {
				t.Errorf("the small workspace gets %.2f of its calls served, less than all", share)
			}
		})
	}
}
