package placer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// playBrittle plays a load and returns what happened from the time at which falls count.
func playBrittle(t *testing.T, l brittleLoad, seed uint64) brittleResult {
	t.Helper()
	var result brittleResult
	synctest.Test(t, func(t *testing.T) {
		const (
			// contact is the time after which brittle targets let fewer calls wait.
			contact = 3 * time.Second
			calm    = 2 * time.Second
			crowd   = 4 * time.Second
		)
		ctx, cancel := context.WithCancel(context.Background())
		s := newBrittleSim(ctx, t, l, seed)
		time.Sleep(time.Second)
		var calls sync.WaitGroup
		s.offer(ctx, &calls, l.load, calm)
		for _, x := range s.targets {
			x.mu.Lock()
			x.brittle = l.bears >= 0
			x.mu.Unlock()
		}
		s.offer(ctx, &calls, l.load, contact)
		for _, x := range s.targets {
			x.mu.Lock()
			x.queue = simQueue
			x.mu.Unlock()
		}
		s.mu.Lock()
		s.counts = true
		s.mu.Unlock()
		s.offer(ctx, &calls, l.load, calm)
		if l.fall {
			s.targets[0].mu.Lock()
			if !s.targets[0].down {
				s.targets[0].crash()
			}
			s.targets[0].mu.Unlock()
		}
		if l.loses {
			s.instances[0].end()
		}
		s.offer(ctx, &calls, max(l.burst, l.load), crowd)
		if l.loses {
			s.lead(ctx, brittleZones[0], s.instances[len(brittleZones)])
		}
		s.offer(ctx, &calls, l.load, 2*calm+simDown)
		s.mu.Lock()
		s.counts = false
		result = s.result
		s.mu.Unlock()
		calls.Wait()
		time.Sleep(simDown + simEntryLag + time.Second) // targets that are down are back
		cancel()
		for _, i := range s.instances {
			for _, d := range i.tasks {
				d.Join()
			}
		}
	})
	return result
}

// The loads of the tests, at random moments.
var (
	plainLoad  = brittleLoad{targets: 3, work: 30 * time.Millisecond, load: 0.65}
	engineLoad = brittleLoad{targets: 12, work: 1400 * time.Millisecond, load: 0.65, engine: true}
)

// with returns a load that f has changed.
func (l brittleLoad) with(f func(l *brittleLoad)) brittleLoad {
	f(&l)
	return l
}

// check plays a load with targets that bear each number of refusals a second.
func (l brittleLoad) check(t *testing.T, refusals ...int) {
	t.Helper()
	// minServed is the part of the calls that targets serve if they are not brittle.
	const minServed = 0.9
	l.bears = -1
	sound := playBrittle(t, l, 1)
	for _, l.bears = range refusals {
		got := playBrittle(t, l, 1)
		t.Logf("%d instances, %d refusals a second: %+v, sound %+v", l.instances, l.bears, got, sound)
		if got.falls > 2+l.targets/10 {
			t.Errorf("%d instances, %d refusals a second: %d falls of %d targets", l.instances, l.bears, got.falls, l.targets)
		}
		if float64(got.served) < minServed*float64(sound.served) {
			t.Errorf("%d instances, %d refusals a second: %d calls served, %d by sound targets", l.instances, l.bears, got.served, sound.served)
		}
	}
}

// TestBrittleTargetsStayUpBehindManyInstances guards against targets that fall over again and
// again under the refusals of many instances (incident archive-grown-brittle-targets).
func TestBrittleTargetsStayUpBehindManyInstances(t *testing.T) {
	cases := map[string]brittleLoad{
		"plain":                plainLoad,
		"plain, crowd":         plainLoad.with(func(l *brittleLoad) { l.burst = 1.3 }),
		"plain, one crashes":   plainLoad.with(func(l *brittleLoad) { l.load, l.fall = 0.4, true }),
		"plain, no holder":     plainLoad.with(func(l *brittleLoad) { l.load, l.leaderless = 0.2, true }),
		"plain, holder ends":   plainLoad.with(func(l *brittleLoad) { l.load, l.loses = 0.4, true }),
		"engines":              engineLoad,
		"engines, crowd":       engineLoad.with(func(l *brittleLoad) { l.burst = 1.3 }),
		"engines, one crashes": engineLoad.with(func(l *brittleLoad) { l.fall = true }),
		"engines, no holder":   engineLoad.with(func(l *brittleLoad) { l.load, l.leaderless = 0.2, true }),
		"engines, holder ends": engineLoad.with(func(l *brittleLoad) { l.loses = true }),
		"engines, ends, crowd": engineLoad.with(func(l *brittleLoad) { l.loses, l.burst = true, 1.3 }),
	}
	// all are the numbers of instances with the refusals that the targets bear; few are
	// enough for the other cases.
	all, few := map[int][]int{6: {1, 2, 5}, 24: {1, 2, 5}, 60: {1, 2, 5}}, map[int][]int{6: {5}, 24: {2}, 60: {1}}
	for name, l := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sizes := few
			if l.burst > 0 && !l.loses {
				sizes = all
			}
			for instances, refusals := range sizes {
				l.instances = instances
				l.check(t, refusals...)
			}
		})
	}
}

// TestBrittleTargetsOfLargeFleetAreServedWithoutHolder guards against calls that are refused
// although brittle targets have room, while no zone has a holder.
func TestBrittleTargetsOfLargeFleetAreServedWithoutHolder(t *testing.T) {
	for name, l := range map[string]brittleLoad{"plain": plainLoad, "engines": engineLoad} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l.instances, l.load, l.leaderless = 195, 0.2, true
			l.check(t, 1, 5)
		})
	}
}
