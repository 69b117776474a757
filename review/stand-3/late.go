package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// late is the case of orders that are carried out late, at a later start of their engine, after
// the process that sent them has ended.
func late() int {
	adapterSlots, modelLoad = 21, 810*time.Millisecond
	y := newSystem("z1", "z2", "z3")
	y.configure()
	k := llmKind()
	k.loadTime = modelLoad
	for _, z := range y.zones {
		for n := range 3 {
			y.startEngine(k, fmt.Sprintf("i-%s-%d", z, n), z, "v1", true)
		}
	}
	for range 2 {
		for _, z := range y.zones {
			y.addNode(z, y.store.addr).start()
		}
	}
	y.awaitReady(15 * time.Second)
	go y.watchReadiness()
	time.Sleep(6 * time.Second)
	var lateOn atomic.Bool
	y.isLate = func() bool { return lateOn.Load() && rand.Float64() < 0.35 }
	stop := make(chan struct{})
	all := y.traffic(70, stop, func() request {
		u := rand.Float64()
		return streamRequest("/st/", fmt.Sprintf("a%d", 1+int(float64(14*adapterSlots)*u*u)), fmt.Sprintf("aa%d:210,own%d:700", rand.IntN(3), counter.Add(1)), 15*time.Second)
	})
	// A round strikes the youngest engines of the zone: the others have numbers that a new start
	// does not reach while orders are late.
	for range 3 {
		if y.overfull.Load() > 0 {
			break
		}
		time.Sleep(time.Second)
		if trouble() {
			lateOn.Store(true)
		}
		time.Sleep(5500 * time.Millisecond)
		lateOn.Store(false)
		if trouble() {
			const zone = "z1"
			for _, e := range y.youngest(zone, 2) {
				if os.Getenv("ONLY") == "kill" {
					break
				}
				y.note("engine %s crashes at number %d, and starts again under its id", e.id, e.number())
				e.crash()
				time.AfterFunc(2*time.Second, func() { y.startEngine(k, e.id, e.zone, "v1", false) })
			}
			if x := y.holder(zone); x != nil && os.Getenv("ONLY") != "crash" {
				x.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(4 * time.Second)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	all.Wait()
	fmt.Printf("%d orders, %d beyond the places of their engine; none may\n", len(y.orders), y.overfull.Load())
	y.finish()
	if y.overfull.Load() > 0 {
		return 1
	}
	return 0
}

// number returns the number of orders that the engine has carried out.
func (e *engine) number() uint64 { e.mu.Lock(); defer e.mu.Unlock(); return e.seq }

// youngest returns the engines of a zone that have carried out the fewest orders.
func (y *system) youngest(zone string, count int) []*engine {
	list := slices.DeleteFunc(y.engineList(), func(e *engine) bool { return e.zone != zone })
	slices.SortFunc(list, func(a, b *engine) int { return cmp.Compare(a.number(), b.number()) })
	return list[:min(count, len(list))]
}
