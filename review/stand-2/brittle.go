package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["brittle"] = playBrittle }

// maxRejections is what brittle engines name in Server-Brittle.
const maxRejections = 2

// rejection is a request that a brittle engine turned away for want of room.
type rejection struct {
	at time.Time
	id string
}

// fall is a fall of a brittle engine, with what it rejected in the second before.
type fall struct {
	at       time.Time
	engine   string
	rejected []rejection
}

// brittleness makes engines brittle: one that turns more than maxRejections requests away in a
// second falls over.
type brittleness struct {
	mu       sync.Mutex
	from     time.Time
	rejected map[string][]rejection
	falls    []fall
}

// reject records a rejection and reports whether the engine falls.
func (b *brittleness) reject(engine, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.from) {
		return false
	}
	recent := []rejection{{now, id}}
	for _, r := range b.rejected[engine] {
		if now.Sub(r.at) < time.Second {
			recent = append(recent, r)
		}
	}
	b.rejected[engine] = recent
	if len(recent) <= maxRejections {
		return false
	}
	b.falls = append(b.falls, fall{now, engine, recent})
	delete(b.rejected, engine)
	return true
}

// playBrittle plays brittle engines under load and the freeze of the holder of one zone after the
// other.
func playBrittle(ctx context.Context, s *stand) (bool, error) {
	const (
		freezes    = 9
		freezeTime = 4 * time.Second
		quietTime  = 5 * time.Second
		perSecond  = 130
	)
	smallSite(s)
	b := &brittleness{rejected: map[string][]rejection{}}
	for _, e := range s.engines {
		if e.service != plainService {
			continue
		}
		e.work, e.header = 200*time.Millisecond, map[string]string{"Server-Brittle": strconv.Itoa(maxRejections)}
		e.rejected = func(id string) {
			if b.reject(e.name, id) {
				s.record("engine %s falls over", e.name)
				go e.crash(s.crashTime)
			}
		}
	}
	b.from = time.Now().Add(time.Hour)
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	s.traffic(traffic, &wg, perSecond, func(n int) request { r := page(n); r.retries = 1; return r })
	s.traffic(traffic, &wg, 10, func(n int) request { return summary(soundParts(), n) })
	pause(ctx, contact)
	b.mu.Lock()
	b.from = time.Now()
	b.mu.Unlock()
	pause(ctx, 5*time.Second)
	for n := range freezes {
		m := s.holderOf(s.zones[n%len(s.zones)])
		if m == nil || !s.trouble {
			pause(ctx, freezeTime+quietTime)
			continue
		}
		s.record("phase: %s freezes", m.name)
		m.signal(syscall.SIGSTOP)
		m.touch()
		pause(ctx, freezeTime)
		m.signal(syscall.SIGCONT)
		m.touch()
		s.record("phase: %s wakes", m.name)
		pause(ctx, quietTime)
	}
	stop()
	wg.Wait()
	return judgeBrittle(s, b), nil
}

// judgeBrittle checks the rule on falls of brittle engines, of which three serve.
func judgeBrittle(s *stand, b *brittleness) bool {
	const allowed = 2 + 0.1*3
	s.mu.Lock()
	defer s.mu.Unlock()
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(s.out, "judge: "+format+"\n", a...) }
	sent := map[string]*answer{}
	for _, a := range s.answers {
		sent[a.id] = a
	}
	count := 0
	for _, f := range b.falls {
		inTouch := 0
		for _, r := range f.rejected {
			if x := sent[r.id]; x != nil && x.machine.inTouchAt(r.at, contact) {
				inTouch++
			}
		}
		line("%s fell at %.3f; %d of %d requests that it rejected in the second before came from machines in touch", f.engine, f.at.Sub(s.begun).Seconds(),
			inTouch, len(f.rejected))
		if 2*inTouch > len(f.rejected) {
			count++
		}
	}
	line("%d falls count, the rule allows %.1f", count, allowed)
	return float64(count) > allowed
}
