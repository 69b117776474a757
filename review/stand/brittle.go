package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// brittleEngines: the engines of a service say that they are brittle, and many users come at
// once. The engines must not fall over.
func brittleEngines(root, record string) int {
	const (
		count   = 4
		slots   = 16
		bears   = 5  // Server-Brittle
		usual   = 40 // clients
		contact = 3 * time.Second
		length  = 50
		crowd   = 4500 * time.Millisecond // the longest burst with this x
		pace    = 40 * time.Millisecond
	)
	s := newSystem(root, record, "sala-a", "sala-b")
	s.configure()
	address := s.store.serve(func(_ string, o object) object { return o })
	var engines []*engine
	for n := range count {
		e := &engine{
			sys: s, id: fmt.Sprintf("i-model-%d", n), service: "huvo11a", zone: s.zones[n%2], software: "v1", model: model, slots: slots, pace: pace,
			work: 100 * time.Millisecond, length: length, down: 3 * time.Second,
		}
		e.adapters = newAdapterStore(e, 21, func(string) int { return 1 })
		e.adapters.mostWaiting = 3 * slots
		e.start()
		engines = append(engines, e)
	}
	for n := range 4 {
		s.addInstance(fmt.Sprintf("frontend-%s-%d", s.zones[n%2], n/2+1), s.zones[n%2], address).start()
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(6 * time.Second)
	s.warmUp(25 * time.Second)
	stop := make(chan struct{})
	var done sync.WaitGroup
	var whole, refused, cut atomic.Int64
	client := func(n int, end <-chan struct{}) {
		for {
			st := newStream(s, "/wodra17/2f", "5c1e07a2:800,91bd3f06:410,"+newID()+":250", 15*time.Second, 4*time.Second)
			for range 2 { // the client asks once more, not before the time that it is told
				r := st.try(context.Background(), s.instances[n%len(s.instances)].front)
				if r.status == 200 && r.err == nil {
					whole.Add(1)
				} else if r.status == 200 {
					cut.Add(1)
				}
				if r.status != 503 {
					break
				}
				refused.Add(1)
				time.Sleep(r.retryAfter)
			}
			select {
			case <-end:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}
	for n := range usual {
		done.Go(func() { client(n, stop) })
	}
	time.Sleep(3 * time.Second)
	for _, e := range engines {
		e.adapters.setBrittle(bears)
	}
	s.note("the engines say that they are brittle: Server-Brittle = %d", bears)
	time.Sleep(contact + 500*time.Millisecond)
	for _, e := range engines {
		e.adapters.setMostWaiting(2)
	}
	s.note("the engines let two requests wait")
	time.Sleep(3 * time.Second)
	if trouble() {
		s.note("many users come at once")
		over := make(chan struct{})
		time.AfterFunc(crowd, func() {
			s.note("they are gone again")
			close(over)
		})
		for n := range usual * 7 / 5 { // burst, x = 2.4
			done.Go(func() {
				time.Sleep(time.Duration(n) * 15 * time.Millisecond) // within a second
				client(n, over)
			})
		}
	}
	time.Sleep(15 * time.Second)
	close(stop)
	done.Wait()
	falls := 0
	for _, e := range engines {
		falls += e.adapters.fallen()
	}
	s.note("%d streams whole, %d refused, %d broken off", whole.Load(), refused.Load(), cut.Load())
	s.note("LIMIT: the %d engines fell over %d times (more than 2 + a tenth of their number break the rule)", count, falls)
	fmt.Printf("%d falls; %d streams whole, %d refused, %d broken off\n", falls, whole.Load(), refused.Load(), cut.Load())
	if float64(falls) > 2+float64(count)/10 {
		return s.end(broken)
	}
	return s.end(held)
}
