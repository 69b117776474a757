package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["leaving"] = playLeaving }

// playLeaving plays an engine that leaves while the store is down, so that only its answers say so,
// and a machine that is partitioned from all engines at that time. The engines of the plain
// service are in one zone.
func playLeaving(ctx context.Context, s *stand) (bool, error) {
	c, err := newCuttableSite(s)
	if err != nil {
		return false, err
	}
	for _, e := range s.engines[:3] {
		e.zone = s.zones[0]
	}
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	sound, stop := context.WithCancel(ctx)
	defer stop()
	s.toMachine(sound, &wg, c.a, 12*time.Millisecond, page)
	for _, m := range s.machines[1:] {
		s.toMachine(sound, &wg, m, time.Second, page)
	}
	pause(ctx, 5*time.Second)
	e := s.engines[1]
	if s.trouble {
		c.cutLinks(s)
	}
	pause(ctx, 1500*time.Millisecond)
	s.store.setDown(true)
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	s.record("phase: the store is down; %s leaves, and says so in its answers", e.name)
	pause(ctx, 4*time.Second)
	if s.trouble {
		if err := c.healLinks(s); err != nil {
			return false, err
		}
	}
	healed := time.Now()
	pause(ctx, 2*time.Second)
	s.store.setDown(false)
	e.announce()
	s.record("phase: the store is back")
	pause(ctx, 3*time.Second)
	stop()
	wg.Wait()
	return judgeLeaving(s, e, c.a, healed), nil
}

// judgeLeaving checks the rule on answers with Server-Leaving for what a machine sent after its links
// had healed: before, other machines sent its requests on.
func judgeLeaving(s *stand, e *engine, m *machine, healed time.Time) bool {
	const drain = 2 * time.Second
	s.mu.Lock()
	defer s.mu.Unlock()
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(s.out, "judge: "+format+"\n", a...) }
	sent := map[string]*answer{}
	var told time.Time
	for _, x := range s.answers {
		sent[x.id] = x
		if x.machine == m && x.leaving && (told.IsZero() || x.ended.Before(told)) {
			told = x.ended
		}
	}
	broken := 0
	for _, r := range s.arrivals {
		x := sent[r.id]
		if x == nil || x.machine != m || r.engine != e.name || r.status == 421 || told.IsZero() || x.sent.Before(healed) {
			continue
		}
		if late := x.sent.Sub(told); late > drain {
			broken++
			line("request %s, sent to %s %.2f s after it had passed on an answer with Server-Leaving, reached %s", r.id, m.name, late.Seconds(), e.name)
		}
	}
	line("%d requests reached %s from %s later than drain_ms after it had passed on an answer with Server-Leaving", broken, e.name, m.name)
	return broken > 0
}
