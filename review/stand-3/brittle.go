package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// brittle searches for falls of brittle engines under a crowd, beside random faults.
func brittle() int {
	y := newSystem("z1", "z2", "z3")
	y.configure()
	app := engineKind{service: "app", slots: 6, queue: 2, brittle: 2, work: func() (time.Duration, int) {
		return time.Duration(30+rand.ExpFloat64()*30) * time.Millisecond, 200
	}}
	var number atomic.Int64
	add := func(zone string) {
		y.startEngine(app, fmt.Sprintf("i-app-%s-%d", zone, number.Add(1)), zone, "v1", true)
	}
	for _, z := range y.zones {
		add(z)
	}
	y.onFall = func(e *engine) { time.AfterFunc(3*time.Second, func() { add(e.zone) }) }
	for range 2 {
		for _, z := range y.zones {
			y.addNode(z, y.store.addr).start()
		}
	}
	y.awaitReady(15 * time.Second)
	go y.watchReadiness()
	time.Sleep(8 * time.Second)
	var rate atomic.Int64
	rate.Store(150)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sentBy sync.Map
	y.sender = func(id string) *node {
		if x, ok := sentBy.Load(id); ok {
			return x.(*node)
		}
		return nil
	}
	statuses := map[int]int{}
	var mu sync.Mutex
	for range 5 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / (float64(rate.Load()) / 5) * float64(time.Second))):
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := newID()
					x := y.pick(y.zones[rand.IntN(3)])
					sentBy.Store(id, x)
					path, method := "/un/", "POST"
					if rand.Float64() < 0.4 {
						path, method = "/va/", "GET"
					}
					a := y.send(x, request{id: id, method: method, host: host, path: path + id, deadline: 1500 * time.Millisecond})
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
				}()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	for time.Since(y.began) < 95*time.Second && trouble() {
		rate.Store(int64(150 * (1 + 0.7*float64(rand.IntN(3)))))
		time.Sleep(time.Duration(1500+rand.IntN(2500)) * time.Millisecond)
		x := y.nodes[rand.IntN(6)]
		if rand.IntN(2) == 0 {
			if l := y.holder(y.zones[rand.IntN(3)]); l != nil {
				x = l
			}
		}
		switch rand.IntN(5) {
		case 0:
			x.signal(syscall.SIGKILL)
		case 1:
			x.signal(syscall.SIGTERM)
		case 2:
			x.signal(syscall.SIGSTOP)
			time.AfterFunc(3*time.Second, func() { x.signal(syscall.SIGCONT); x.touched(time.Now()) })
			x.touched(time.Now().Add(3 * time.Second))
		case 3:
			y.note("store silent")
			y.store.setMode("silent")
			time.AfterFunc(4*time.Second, func() { y.store.setMode("") })
		case 4:
			list := y.engineList()
			e := list[rand.IntN(len(list))]
			if e.setSilent(time.Second) {
				y.note("engine %s silent", e.id)
			}
		}
	}
	close(stop)
	wg.Wait()
	fmt.Println(statuses, "falls, mostly by machines in touch:", y.falls.Load(), "others:", y.otherFalls.Load())
	y.finish()
	if y.falls.Load() > 2 {
		return 1
	}
	return 0
}
