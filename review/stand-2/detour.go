package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["stale"] = playStale }

// linkOffset is that of the addresses by which the first machine reaches engines.
const linkOffset = 80

// cuttableSite is the small deployment with one machine in the first zone, whose links to the
// engines can be cut, and two in each of the others. Each machine has its own way to the store.
type cuttableSite struct {
	fronts map[*machine]*storeFront
	links  []*link
	a      *machine
}

func newCuttableSite(s *stand) (*cuttableSite, error) {
	c := &cuttableSite{fronts: map[*machine]*storeFront{}}
	for n, zone := range []string{s.zones[0], s.zones[1], s.zones[1], s.zones[2], s.zones[2]} {
		offset := 0
		if n == 0 {
			offset = linkOffset
		}
		f, address, err := s.addFront(n, offset)
		if err != nil {
			return nil, err
		}
		m := s.addMachine(zone, address)
		c.fronts[m] = f
	}
	c.a = s.machines[0]
	for n := range 3 {
		s.addEngine(plainEngine(n, s.zones[n], plainService))
	}
	for n := range 3 {
		s.addEngine(plainEngine(n, s.zones[n], "citaren-b"))
	}
	for n := range 3 {
		s.addEngine(engineConfig{
			name: fmt.Sprintf("m%02d", n), service: modelService, zone: s.zones[n%3], software: "v1", model: true, slots: 64, adapterSlots: 21,
			loadTime: 810 * time.Millisecond, prefill: 80 * time.Millisecond, gap: 21 * time.Millisecond, pieces: 40,
		})
	}
	for n, e := range s.engines {
		l := &link{from: fmt.Sprintf("%s:%d", s.ip(30+n+linkOffset), s.port), to: e.address}
		if err := l.open(); err != nil {
			return nil, err
		}
		c.links = append(c.links, l)
	}
	s.store.put("config", "main", configuration(7, nil))
	return c, nil
}

func (c *cuttableSite) cutLinks(s *stand) {
	s.record("phase: %s is partitioned from all engines", c.a.name)
	for _, l := range c.links {
		l.cut()
	}
}

func (c *cuttableSite) healLinks(s *stand) error {
	s.record("phase: %s reaches the engines again", c.a.name)
	for _, l := range c.links {
		if err := l.open(); err != nil {
			return err
		}
	}
	return nil
}

func page(n int) request {
	return request{method: "GET", host: host, path: pagePath, class: "chapter-page", deadline: pageDeadline, repeatable: true, header: map[string]string{}}
}

// holderOf returns the machine that holds the lease of a zone.
func (s *stand) holderOf(zone string) *machine {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, o := range s.store.objects["order-leases"] {
		if o.Metadata.Name != zone {
			continue
		}
		for _, m := range s.machines {
			if containsName(string(o.Spec), m.name) {
				return m
			}
		}
	}
	return nil
}

func (s *stand) toMachine(ctx context.Context, wg *sync.WaitGroup, m *machine, every time.Duration, r func(n int) request) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ctx.Err() == nil; n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.attempt(context.WithoutCancel(ctx), m, r(n))
			}()
			pause(ctx, every)
		}
	}()
}

// playStale plays a machine that is partitioned from all engines, and a holder of another zone
// that is cut off from the store, when the configuration moves a route to another service.
func playStale(ctx context.Context, s *stand) (bool, error) {
	c, err := newCuttableSite(s)
	if err != nil {
		return false, err
	}
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	sound, stop := context.WithCancel(ctx)
	defer stop()
	s.toMachine(sound, &wg, c.a, 60*time.Millisecond, page)
	for _, m := range s.machines[1:] {
		s.toMachine(sound, &wg, m, 300*time.Millisecond, page)
	}
	pause(ctx, 5*time.Second)
	holder := s.holderOf(s.zones[1])
	if holder == nil {
		return false, fmt.Errorf("zone %s has no holder", s.zones[1])
	}
	if s.trouble {
		c.cutLinks(s)
		pause(ctx, 1500*time.Millisecond)
		s.record("phase: %s is cut off from the store", holder.name)
		c.fronts[holder].cut()
		pause(ctx, 300*time.Millisecond)
	}
	s.record("phase: version 8 moves the route to citaren-b")
	s.store.put("config", "main", configuration(8, func(routes []map[string]any) []map[string]any {
		for _, r := range routes {
			if r["name"] == "r-page" {
				r["service"] = "citaren-b"
			}
		}
		return routes
	}))
	acknowledged := time.Now()
	s.record("phase: version 8 is acknowledged")
	pause(ctx, 5500*time.Millisecond)
	if s.trouble {
		s.record("phase: %s reaches the store again", holder.name)
		c.fronts[holder].heal()
		if err := c.healLinks(s); err != nil {
			return false, err
		}
	}
	pause(ctx, 4*time.Second)
	stop()
	wg.Wait()
	return judgeConfig(s, c.a, acknowledged), nil
}

// judgeConfig checks the rules on configurations for the requests that clients sent to a machine.
func judgeConfig(s *stand, a *machine, acknowledged time.Time) bool {
	const apply, rollback = 2 * time.Second, 250 * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(s.out, "judge: "+format+"\n", a...) }
	sent := map[string]*answer{}
	for _, x := range s.answers {
		sent[x.id] = x
	}
	var effect time.Time
	for _, r := range s.arrivals {
		x := sent[r.id]
		if x == nil || x.machine != a || !r.ran || r.at.Before(acknowledged) || !isOf(r.engine, "citaren-b") {
			continue
		}
		if effect.IsZero() || r.at.Before(effect) {
			effect = r.at
		}
	}
	late, back, all := 0, 0, 0
	for _, r := range s.arrivals {
		x := sent[r.id]
		if x == nil || x.machine != a || !r.ran {
			continue
		}
		if x.sent.After(acknowledged) {
			all++
		}
		if !isOf(r.engine, plainService) {
			continue
		}
		if x.sent.Sub(acknowledged) > apply {
			late++
			line("request %s, sent to %s %.2f s after the acknowledgement, ran at %s", r.id, a.name, x.sent.Sub(acknowledged).Seconds(), r.engine)
		}
		if !effect.IsZero() && x.sent.Sub(effect) > rollback {
			back++
		}
	}
	line("of %d requests sent to %s after the acknowledgement, %d sent later than config_apply_ms ran at the old service; %d ran there that were sent later than rollback_slack_ms after an engine saw the effect of the version",
		all, a.name, late, back)
	return late > 0 || back > 0
}

func isOf(engine, service string) bool {
	return len(engine) == len(service)+2 && engine[:len(service)+1] == service+"-"
}
