package main

import (
	"context"
	"slices"
	"sync"
	"time"
)

func init() {
	scenarios["herd"] = playHerd
	scenarios["pair"] = playPair
}

func deadlyDraft(n int) request {
	r := draft(deadlyParts(n), 0x100000+n)
	r.class = "deadly"
	return r
}

func startSite(ctx context.Context, s *stand) error {
	smallSite(s)
	for _, e := range s.engines {
		if e.model {
			e.fault = deadlyFault
		}
	}
	return s.begin(ctx)
}

// spread sends deadly requests one after the other, to one machine after the other.
func spread(ctx context.Context, s *stand, wg *sync.WaitGroup, from, count int, every time.Duration, make func(n int) request) {
	for n := from; n < from+count; n++ {
		m := s.machines[n%len(s.machines)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.call(context.WithoutCancel(ctx), m, make(n))
		}()
		pause(ctx, every)
	}
}

// playHerd plays a part that crashes engines, a kill of the holders of all zones at the same moment
// after the system has learned of the part, and the part again.
func playHerd(ctx context.Context, s *stand) (bool, error) {
	if err := startSite(ctx, s); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	sound, stop := context.WithCancel(ctx)
	defer stop()
	s.traffic(sound, &wg, 12, func(n int) request { return summary(soundParts(), n) })
	s.traffic(sound, &wg, 6, func(n int) request { return draft(soundParts(), n) })
	pause(ctx, 6*time.Second)
	s.record("phase: the part comes")
	spread(ctx, s, &wg, 0, 16, 700*time.Millisecond, deadlyDraft)
	pause(ctx, 3*time.Second)
	if s.trouble {
		var holders []*machine
		for _, zone := range s.zones {
			if m := s.holderOf(zone); m != nil && !slices.Contains(holders, m) {
				holders = append(holders, m)
			}
		}
		s.record("phase: %d of %d processes are killed at the same moment, and start again", len(holders), len(s.machines))
		for _, m := range holders {
			m.kill()
		}
		pause(ctx, 2*time.Second)
		for _, m := range holders {
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	pause(ctx, 8*time.Second)
	s.record("phase: the part comes again")
	spread(ctx, s, &wg, 16, 16, 700*time.Millisecond, deadlyDraft)
	pause(ctx, 3*time.Second)
	stop()
	wg.Wait()
	return judgeDeadly(s), nil
}

// playPair plays two requests with the part that come at the same moment, and one more some
// seconds later. Without the trouble the three come one after the other.
func playPair(ctx context.Context, s *stand) (bool, error) {
	if err := startSite(ctx, s); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	sound, stop := context.WithCancel(ctx)
	defer stop()
	s.traffic(sound, &wg, 12, func(n int) request { return summary(soundParts(), n) })
	s.traffic(sound, &wg, 6, func(n int) request { return draft(soundParts(), n) })
	pause(ctx, 8*time.Second)
	if s.trouble {
		s.record("phase: two requests with the part come at the same moment")
		spread(ctx, s, &wg, 0, 2, 0, deadlyBase)
		pause(ctx, 5*time.Second)
	} else {
		s.record("phase: two requests with the part come one after the other")
		spread(ctx, s, &wg, 0, 2, 2500*time.Millisecond, deadlyBase)
	}
	s.record("phase: one more request with the part comes")
	spread(ctx, s, &wg, 2, 1, 0, deadlyBase)
	pause(ctx, 5*time.Second)
	stop()
	wg.Wait()
	return judgeDeadly(s), nil
}

// deadlyBase returns a request with the part for the base model, which all engines hold.
func deadlyBase(n int) request {
	r := deadlyDraft(n)
	r.header["Bamboorail-Model"] = baseModel
	return r
}
