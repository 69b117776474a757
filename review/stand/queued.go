package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// queuedVersion: a new version of an adapter is named while its engine is full. What is sent
// there on the version before waits in the queue of the engine, and begins too late.
func queuedVersion(root, record string) int {
	const (
		places  = 21
		slots   = 64
		pace    = 120 * time.Millisecond
		length  = 86
		wait    = 4 * time.Second // four times the objective
		version = 5 * time.Second // version_ms
	)
	s := newSystem(root, record, "sala-a", "sala-b")
	s.configure()
	address := s.store.serve(func(_ string, o object) object { return o })
	newest := func(adapter string) int {
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		if _, ok := s.store.kinds["versions"][model+"."+adapter]; ok {
			return 2
		}
		return 1
	}
	var engines []*engine
	for n := range 2 {
		e := &engine{sys: s, id: fmt.Sprintf("i-model-%d", n), service: "huvo11a", zone: s.zones[0], software: "v1", model: model, slots: slots, pace: pace, work: 100 * time.Millisecond, length: length}
		e.adapters = newAdapterStore(e, places, newest)
		e.start()
		engines = append(engines, e)
	}
	for n := range 3 {
		s.addInstance(fmt.Sprintf("frontend-%s-%d", s.zones[n%2], n/2+1), s.zones[n%2], address).start()
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(6 * time.Second)
	s.warmUp(25 * time.Second)
	var done sync.WaitGroup
	leave, leaveAll := context.WithCancel(context.Background())
	ask := func(adapter string, n int) *stream {
		st := newStream(s, "/wodra17/2f", "5c1e07a2:800,91bd3f06:410,"+newID()+":250", 25*time.Second, wait)
		st.adapter = adapter
		if adapter != "a1" {
			st.events = 2 * length
		}
		done.Go(func() {
			for try := 0; try < 8 && st.lastEvent() == 0 && leave.Err() == nil; try++ {
				r := st.try(leave, s.instances[n%len(s.instances)].front)
				if r.status != 503 {
					s.note("request %s for %s: status %d, %d events, %v", r.id, adapter, r.status, r.events, r.err)
					return
				}
				time.Sleep(max(r.retryAfter, 100*time.Millisecond))
			}
		})
		return st
	}
	// Every place for adapters is taken by an adapter in use: first that of interest.
	home := func() *engine {
		for _, e := range engines {
			held, _ := e.adapters.list()
			if strings.Contains(strings.Join(held, " "), "a1@") {
				return e
			}
		}
		return nil
	}
	first := ask("a1", 0)
	for n := 0; first.lastEvent() < length; n++ {
		if n == 200 {
			ask("a1", 1) // the adapter stays in use
		}
		if n > 400 {
			unable("no stream on adapter a1 is served")
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	var others []*stream
	for n := 2; n <= 2*places; n++ {
		others = append(others, ask(fmt.Sprintf("a%d", n), n))
	}
	for n := 0; ; n++ {
		began := 0
		for _, st := range others {
			if st.lastEvent() > 0 {
				began++
			}
		}
		if began == len(others) {
			break
		}
		if n > 120 {
			for n, st := range others {
				if st.lastEvent() == 0 {
					s.note("a%d is not in use", n+2)
				}
			}
			unable("only %d of %d adapters are in use", began, len(others))
		}
		time.Sleep(50 * time.Millisecond)
	}
	e := home()
	running, _ := e.adapters.load()
	burst := slots - running
	if !trouble() {
		burst = 0
	}
	s.note("engine %s holds a1 and runs %d requests; %d more come at once", e.id, running, burst)
	start := time.Now()
	for n := range burst {
		ask("a1", n)
	}
	time.Sleep(time.Second)
	running, waiting := e.adapters.load()
	s.note("engine %s runs %d requests, %d wait", e.id, running, waiting)
	// The streams that came at once end length events after their begin, and the requests
	// that wait for their slots begin then.
	begun := start
	e.adapters.mu.Lock()
	for _, b := range e.adapters.begins {
		if b.at.After(start) {
			begun = b.at
			break
		}
	}
	e.adapters.mu.Unlock()
	named := begun.Add(e.work + length*pace - version - 160*time.Millisecond)
	time.Sleep(time.Until(named))
	s.store.put("versions", model+".a1", map[string]any{"model": model, "adapter": "a1", "version": 2})
	named = time.Now()
	s.note("version 2 of a1 is named and acknowledged")
	time.Sleep(1350 * time.Millisecond)
	for n := range 6 {
		ask("a1", n)
	}
	time.Sleep(time.Until(named.Add(8 * time.Second)))
	leaveAll()
	done.Wait()
	late := 0
	for _, engine := range engines {
		engine.adapters.mu.Lock()
		for _, b := range engine.adapters.begins {
			if b.adapter == "a1" && b.version == 1 && b.at.After(named.Add(version)) {
				late++
				s.note("request %s begins on a1@1 %.3f s after version 2 was acknowledged", b.id, b.at.Sub(named).Seconds())
			}
		}
		if engine.adapters.crashed {
			s.note("engine %s was ordered to load more than it holds", engine.id)
		}
		engine.adapters.mu.Unlock()
	}
	s.note("VERSION: %d requests began on the older version later than version_ms after the newer one (one breaks the rule)", late)
	fmt.Printf("%d requests began on the older version too late\n", late)
	if late > 0 {
		return s.end(broken)
	}
	return s.end(held)
}
