package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// follow tries a stream until it is whole, as a client does: a few times, each time on a
// new connection and at another machine, and not before the time that it was told.
func follow(s *system, st *stream, fronts []string, tries int, pause time.Duration) []result {
	var results []result
	end := time.Now().Add(st.deadline)
	for n := 0; n < tries && time.Now().Before(end); n++ {
		front := fronts[n%len(fronts)]
		before := st.lastEvent()
		r := st.try(context.Background(), front)
		s.note("client attempt %s at %s after event %d: status %d, %d events, %v", r.id, front, before, r.status, r.events, r.err)
		results = append(results, r)
		if r.status == 200 && r.err == nil {
			return results
		}
		time.Sleep(max(pause, r.retryAfter))
	}
	return results
}

// restartedBetweenVersions: all processes are killed while the engines of a service are
// replaced by engines with another software version. The streams that the clients take up
// again must not go on at the other version.
func restartedBetweenVersions(root, record string) int {
	s := newSystem(root, record, "sala-a", "sala-b")
	s.configure()
	address := s.store.serve(func(_ string, o object) object { return o })
	const pace, length = 120 * time.Millisecond, 86
	old := []*engine{s.modelEngine("i-old-a", "sala-a", "v1", pace, length), s.modelEngine("i-old-b", "sala-b", "v1", pace, length)}
	for _, i := range []*instance{s.addInstance("frontend-sala-a-1", "sala-a", address), s.addInstance("frontend-sala-a-2", "sala-a", address), s.addInstance("frontend-sala-b-1", "sala-b", address)} {
		i.restart, i.restartAfter = true, 2*time.Second
		i.start()
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(6 * time.Second)
	s.warmUp(25 * time.Second)
	var streams []*stream
	var done sync.WaitGroup
	for n := range 15 {
		st := newStream(s, "/lohu930/2f", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%s:250", newID()), 15*time.Second, 2400*time.Millisecond)
		streams = append(streams, st)
		var fronts []string
		for k := range s.instances {
			fronts = append(fronts, s.instances[(n+k)%len(s.instances)].front)
		}
		done.Go(func() { follow(s, st, fronts, 3, 3*time.Second) })
	}
	began := 0
	for range 60 {
		time.Sleep(50 * time.Millisecond)
		began = 0
		for _, st := range streams {
			if st.lastEvent() >= 5 {
				began++
			}
		}
		if began == len(streams) {
			break
		}
	}
	s.note("%d of %d streams have begun", began, len(streams))
	if began < 12 {
		unable("only %d streams have begun", began)
	}
	if trouble() {
		for _, i := range s.instances {
			i.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(100 * time.Millisecond)
	// The engines of the service are replaced one after the other: the new one first.
	for n, e := range old {
		s.modelEngine("i-new-"+e.zone, e.zone, "v2", pace, length)
		time.Sleep(100 * time.Millisecond)
		e.withdraw(2200 * time.Millisecond)
		if n+1 < len(old) {
			time.Sleep(900 * time.Millisecond)
		}
	}
	done.Wait()
	mixed := 0
	for _, st := range streams {
		if st.software() > 1 {
			mixed++
		}
		s.note("stream %s: last event %d, whole %v, software versions %d", st.first, st.last, st.whole, st.software())
	}
	s.note("ORDER: %d streams hold events of two software versions (more than 2 break the rule)", mixed)
	fmt.Printf("%d of %d streams hold events of two software versions\n", mixed, len(streams))
	if mixed > 2 {
		return s.end(broken)
	}
	return s.end(held)
}

// frozenBeforeVersions: a machine freezes, and then the first engine with another software
// version registers. The streams of the machine began before; clients take them up again at
// other machines, while all engines that began them still serve.
func frozenBeforeVersions(root, record string) int {
	s := newSystem(root, record, "sala-a", "sala-b")
	s.configure()
	address := s.store.serve(func(_ string, o object) object { return o })
	const pace, length = 120 * time.Millisecond, 86
	s.modelEngine("i-old-a", "sala-a", "v1", pace, length)
	s.modelEngine("i-old-b", "sala-b", "v1", pace, length)
	s.modelEngine("i-old-c", "sala-b", "v1", pace, length)
	frozen := s.addInstance("frontend-sala-a-1", "sala-a", address)
	others := []*instance{s.addInstance("frontend-sala-a-2", "sala-a", address), s.addInstance("frontend-sala-b-1", "sala-b", address)}
	for _, i := range s.instances {
		i.start()
	}
	s.awaitReady(20 * time.Second)
	time.Sleep(6 * time.Second)
	s.warmUp(25 * time.Second)
	const gap = 2400 * time.Millisecond
	newOne := func() *stream {
		return newStream(s, "/lohu930/2f", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%s:250", newID()), 15*time.Second, gap)
	}
	var streams []*stream
	var done sync.WaitGroup
	leave, leaveNow := context.WithCancel(context.Background())
	for range 16 {
		st := newOne()
		streams = append(streams, st)
		done.Go(func() {
			r := st.try(leave, frozen.front)
			s.note("client attempt %s at %s: status %d, %d events, %v", r.id, frozen.name, r.status, r.events, r.err)
		})
	}
	for n := 0; ; n++ {
		began := 0
		for _, st := range streams {
			if st.lastEvent() >= 5 {
				began++
			}
		}
		if began == len(streams) {
			break
		}
		if n > 100 {
			unable("only %d streams have begun", began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	at := time.Now()
	if trouble() {
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(5*time.Second, func() { frozen.signal(syscall.SIGCONT) })
	}
	time.Sleep(500 * time.Millisecond)
	s.modelEngine("i-new-a", "sala-a", "v2", pace, length)
	// Without a freeze, the clients leave when those of the frozen machine do.
	time.AfterFunc(time.Until(at.Add(gap)), leaveNow)
	done.Wait()
	leaveNow()
	s.note("the clients have left %s", frozen.name)
	before := make([]int, len(streams))
	var results sync.Map
	for n, st := range streams {
		before[n] = st.lastEvent()
		done.Go(func() {
			front := []string{others[n%2].front, others[(n+1)%2].front}
			results.Store(n, follow(s, st, front, 3, 100*time.Millisecond))
		})
	}
	var fresh []*stream
	for n := range 16 {
		st := newOne()
		fresh = append(fresh, st)
		done.Go(func() {
			r := st.try(context.Background(), others[n%2].front)
			s.note("new stream %s: status %d, %d events, %v", r.id, r.status, r.events, r.err)
		})
	}
	done.Wait()
	on, begun := 0, 0
	for n, st := range streams {
		if st.lastEvent() > before[n] {
			on++
		}
		if st.software() > 1 {
			s.note("stream %s holds events of two software versions", st.first)
		}
	}
	for _, st := range fresh {
		if st.lastEvent() > 0 {
			begun++
		}
	}
	s.note("LOST: %d of %d streams that were taken up again went on, %d of %d new streams began (under half of that share breaks the rule)", on, len(streams), begun, len(fresh))
	fmt.Printf("%d of %d streams went on, %d of %d new streams began\n", on, len(streams), begun, len(fresh))
	if begun < 8 {
		unable("only %d new streams began", begun)
	}
	if 2*on*len(fresh) < begun*len(streams) {
		return s.end(broken)
	}
	return s.end(held)
}
