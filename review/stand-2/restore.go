package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["restore"] = playRestore }

// takeUp is a stream that broke off at a client and that the client took up again.
type takeUp struct {
	broken, resumed *answer
}

// streamCall sends a resumable stream, and takes it up once more at another machine of the zone if
// it breaks off after an event.
func (s *stand) streamCall(ctx context.Context, r request, taken func(takeUp)) {
	m := s.pick(s.zones[rand.IntN(len(s.zones))])
	begun := time.Now()
	a := s.attempt(ctx, m, r)
	if a.complete || a.events == 0 {
		return
	}
	r.header = cloneHeader(r.header)
	r.header["Last-Event-Id"], r.header["Resumes"] = a.lastID, a.id
	r.deadline -= time.Since(begun)
	var b *answer
	for range 2 { // the first try, and one after a refusal
		b = s.attempt(ctx, s.other(m), r)
		if b.status != 503 {
			break
		}
		pause(ctx, b.retryAfter)
	}
	taken(takeUp{a, b})
}

func cloneHeader(h map[string]string) map[string]string {
	out := map[string]string{}
	for name, value := range h {
		out[name] = value
	}
	return out
}

// other returns another machine of the zone of m.
func (s *stand) other(m *machine) *machine {
	for _, o := range s.machines {
		if o != m && o.zone == m.zone {
			return o
		}
	}
	return m
}

// playRestore plays engines of two software versions, a store that comes back from a copy, and the
// kill of the machine that last wrote to the store for a zone, once the store has been stable for
// contact_ms. Without the trouble the store is not restored.
func playRestore(ctx context.Context, s *stand) (bool, error) {
	const (
		copyAge  = 9 * time.Second
		downTime = 500 * time.Millisecond
	)
	smallSite(s)
	for n, e := range s.engines {
		if e.model {
			e.gap, e.software = 100*time.Millisecond, fmt.Sprintf("v%d", 1+(n/3)%2)
		}
	}
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var list []takeUp
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; traffic.Err() == nil; n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := draft(soundParts(), n)
				r.header["Bamboorail-Token-Usage"] = "1460,260"
				s.streamCall(context.WithoutCancel(traffic), r, func(t takeUp) {
					mu.Lock()
					defer mu.Unlock()
					list = append(list, t)
				})
			}()
			pause(traffic, time.Duration(rand.ExpFloat64()/18*float64(time.Second)))
		}
	}()
	pause(ctx, 8*time.Second)
	old := s.store.copy()
	s.record("phase: a copy of the store is taken")
	pause(ctx, copyAge)
	if s.trouble {
		s.record("phase: the store is away for a moment")
		s.store.setDown(true)
		pause(ctx, downTime)
		s.store.restore(old, []string{"config", "servers", "versions"})
		s.store.setDown(false)
		s.record("phase: the store is back from the copy")
	}
	stable := time.Now()
	pause(ctx, contact+100*time.Millisecond)
	m := s.holderOf(s.zones[1])
	if m == nil {
		return false, fmt.Errorf("zone %s has no holder", s.zones[1])
	}
	s.record("phase: %s is killed", m.name)
	m.kill()
	killed := time.Now()
	pause(ctx, 1500*time.Millisecond)
	if err := m.start(); err != nil {
		return false, err
	}
	pause(ctx, 4*time.Second)
	stop()
	wg.Wait()
	return judgeTakeUps(s, list, stable, killed), nil
}

// judgeTakeUps checks the rules on streams that clients take up: of 12 or more at machines in touch,
// the share that goes on is under half of the share of new streams that begin; and more than two
// streams hold events from two software versions.
func judgeTakeUps(s *stand, list []takeUp, stable, killed time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(s.out, "judge: "+format+"\n", a...) }
	taken, on, mixed := 0, 0, 0
	for _, t := range list {
		if t.resumed.sent.Sub(stable) < contact || !t.resumed.machine.inTouchAt(t.resumed.sent, contact) {
			continue
		}
		taken++
		goesOn := t.resumed.events > 0 || t.resumed.complete
		if goesOn {
			on++
		}
		all := append(append([]string{}, t.broken.software...), t.resumed.software...)
		for _, v := range all {
			if v != all[0] {
				mixed++
				break
			}
		}
		line("stream %s of %v, %.1f s old, taken up as %s at %s: status %d, %d events", t.broken.id, t.broken.software, killed.Sub(t.broken.sent).Seconds(),
			t.resumed.id, t.resumed.machine.name, t.resumed.status, t.resumed.events)
	}
	begun, fresh := 0, 0
	for _, a := range s.answers {
		if a.class != "warning-draft" || a.firstEvent > 1 || a.sent.Before(killed) || !a.machine.inTouchAt(a.sent, contact) {
			continue
		}
		if s.resumes[a.id] {
			continue
		}
		fresh++
		if a.events > 0 {
			begun++
		}
	}
	shareOn, shareNew := share(on, taken), share(begun, fresh)
	line("%d of %d streams that clients took up went on (%.2f), %d of %d new ones began (%.2f); %d streams hold events of two software versions", on, taken,
		shareOn, begun, fresh, shareNew, mixed)
	return taken >= 12 && shareOn < shareNew/2 || mixed > 2
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
