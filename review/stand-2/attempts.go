package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["attempts"] = playAttempts }

// playAttempts plays a machine that is partitioned from all engines, and engines that break off
// part of their answers meanwhile.
func playAttempts(ctx context.Context, s *stand) (bool, error) {
	const brokenShare = 0.4
	c, err := newCuttableSite(s)
	if err != nil {
		return false, err
	}
	var grey atomic.Bool
	for _, e := range s.engines {
		if e.service == plainService {
			e.fault = func(*arrival) verdict {
				if grey.Load() && rand.Float64() < brokenShare {
					return breaksOff
				}
				return sound
			}
		}
	}
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	sound, stop := context.WithCancel(ctx)
	defer stop()
	s.toMachine(sound, &wg, c.a, 25*time.Millisecond, page)
	for _, m := range s.machines[1:] {
		s.toMachine(sound, &wg, m, 200*time.Millisecond, page)
	}
	pause(ctx, 5*time.Second)
	if s.trouble {
		c.cutLinks(s)
	}
	pause(ctx, time.Second)
	s.record("phase: engines break off a share %.2f of their answers", brokenShare)
	grey.Store(true)
	pause(ctx, 5*time.Second)
	grey.Store(false)
	s.record("phase: all answers are whole again")
	pause(ctx, 300*time.Millisecond)
	if s.trouble {
		if err := c.healLinks(s); err != nil {
			return false, err
		}
	}
	pause(ctx, 4*time.Second)
	stop()
	wg.Wait()
	return judgeAttempts(s), nil
}

// judgeAttempts checks the rule on the engines that run a request in one client attempt.
func judgeAttempts(s *stand) bool {
	const maxAttempts = 2
	s.mu.Lock()
	defer s.mu.Unlock()
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(s.out, "judge: "+format+"\n", a...) }
	engines := map[string]map[string]bool{}
	for _, a := range s.arrivals {
		if !a.ran || a.path != pagePath {
			continue
		}
		if engines[a.id] == nil {
			engines[a.id] = map[string]bool{}
		}
		engines[a.id][a.engine] = true
	}
	over := 0
	for _, x := range s.answers {
		if n := len(engines[x.id]); n > maxAttempts {
			over++
			line("request %s, sent to %s, ran on %d engines", x.id, x.machine.name, n)
		}
	}
	line("%d requests ran, in one client attempt, on more engines than max_attempts (2) of their route; the rule allows 3", over)
	return over > 3
}
