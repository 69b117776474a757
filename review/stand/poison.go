package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// restartedBesidePoison: a part of prompts crashes engines and is blocked. Then all
// processes are killed once, and such requests still come.
func restartedBesidePoison(root, record string) int {
	const (
		part    = "dead0001"
		contact = 3 * time.Second
		pause   = 2500 * time.Millisecond
	)
	s := newSystem(root, record, "sala-a", "sala-b")
	s.configure()
	address := s.store.serve(func(_ string, o object) object { return o })
	for n := range 6 {
		e := s.modelEngine(fmt.Sprintf("i-model-%d", n), s.zones[n%2], "v1", 60*time.Millisecond, 30)
		e.poison = part
	}
	for n := range 3 {
		i := s.addInstance(fmt.Sprintf("frontend-%s-%d", s.zones[n%2], n/2+1), s.zones[n%2], address)
		i.restart, i.restartAfter = true, time.Second
		i.start()
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(6 * time.Second)
	s.warmUp(25 * time.Second)
	stop := make(chan struct{})
	var done sync.WaitGroup
	var whole, cut atomic.Int64
	for n := range 12 {
		// Sound requests share their caller and their other parts.
		done.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				st := newStream(s, "/lohu930/2f", "5c1e07a2:800,91bd3f06:410,"+newID()+":250", 10*time.Second, 2400*time.Millisecond)
				r := st.try(context.Background(), s.instances[n%3].front)
				switch {
				case r.status == 200 && r.err == nil:
					whole.Add(1)
				case r.status == 200:
					cut.Add(1)
				}
			}
		})
	}
	// pair sends two requests with the part, each at another machine, and returns the
	// number of times that they reached engines.
	pair := func() int {
		before := time.Now()
		var both sync.WaitGroup
		for n := range 2 {
			both.Go(func() {
				st := newStream(s, "/lohu930/2f", "5c1e07a2:800,"+part+":410,"+newID()+":250", 4*time.Second, 2400*time.Millisecond)
				r := st.try(context.Background(), s.instances[n].front)
				s.note("request %s with the part: status %d, %v", r.id, r.status, r.err)
			})
		}
		both.Wait()
		time.Sleep(pause)
		reached := 0
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, a := range s.arrivals {
			if a.at.After(before) && strings.Contains(a.prefix, part) {
				reached++
			}
		}
		return reached
	}
	time.Sleep(3 * time.Second)
	crashes, blocked := 0, false
	var fifth time.Time
	for n := 0; n < 12 && !blocked; n++ {
		reached := pair()
		if crashes += reached; crashes >= 5 && fifth.IsZero() {
			fifth = time.Now()
		}
		blocked = reached == 0
		if blocked && crashes < 5 {
			// Fewer than five crashes: the rule has not begun to hold.
			s.note("blocked after %d crashes", crashes)
			fifth = time.Now()
		}
	}
	s.note("%d crashes, blocked %v", crashes, blocked)
	if !blocked {
		unable("the part is not blocked before the disruption, after %d crashes", crashes)
	}
	if trouble() {
		for _, i := range s.instances {
			i.signal(syscall.SIGKILL)
		}
		time.Sleep(1200 * time.Millisecond)
	}
	s.awaitReady(10 * time.Second)
	time.Sleep(contact + time.Second)
	s.note("all machines are in touch")
	cutBefore := cut.Load()
	later := 0
	for range 4 {
		later += pair()
	}
	close(stop)
	done.Wait()
	s.note("%d crashes before; %d sound streams whole, %d broken off since the restart", crashes, whole.Load(), cut.Load()-cutBefore)
	s.note("BUDGET: %d requests with the part reached engines later than contact_ms after the fifth crash (more than 3 break the rule)", later)
	fmt.Printf("%d crashes before the kill, %d requests with the part reached engines after it\n", crashes, later)
	if later > 3 {
		return s.end(broken)
	}
	return s.end(held)
}
