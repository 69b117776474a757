package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// forwarded is the case of streams that wait for their first event when their zone is partitioned from
// all engines, and that begin through another zone then: engines of two software versions serve side by
// side, and clients lose their connections.
func forwarded() int {
	y := newSystem("z1", "z2", "z3")
	y.configure()
	k := llmKind()
	k.first, k.gap, k.events = 900*time.Millisecond, 80*time.Millisecond, 57
	v := newView()
	// Five engines have software v1, four v2.
	for n, software := range []string{"v1", "v2", "v2", "v1", "v1", "v2", "v1", "v1", "v2"} {
		v.addEngine(y.startEngine(k, fmt.Sprintf("i-%s-%d", y.zones[n/3], n), y.zones[n/3], software, true).address())
	}
	for _, z := range []string{"z1", "z2", "z1", "z2"} {
		x := y.addNode(z, y.store.addr)
		v.addPeer(fmt.Sprintf("%s:%d", x.ip, ports.peer))
		x.start()
	}
	l := listenLike(y.store.addr)
	go v.proxy(l, y.store.addr)
	for range 3 {
		y.addNode("z3", l.Addr().String()).start()
	}
	zone := y.nodes[4:]
	y.awaitReady(15 * time.Second)
	go y.watchReadiness()
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	var clients []*streamClient
	var all sync.WaitGroup
	stop := make(chan struct{})
	all.Add(1)
	go func() {
		defer all.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / 60 * float64(time.Second))):
			}
			c := &streamClient{y: y}
			mu.Lock()
			clients = append(clients, c)
			mu.Unlock()
			all.Add(1)
			go func() {
				defer all.Done()
				c.run(y.zones[rand.IntN(3)])
			}()
		}
	}()
	// reset resets 0.55 of the connections of two machines of the zone, 0.29 of all.
	reset := func() {
		some := map[string]bool{}
		for _, n := range rand.Perm(3)[:2] {
			some[zone[n].name] = true
		}
		y.note("connections of %v are reset", some)
		mu.Lock()
		list := append([]*streamClient(nil), clients...)
		mu.Unlock()
		for _, c := range list {
			c.mu.Lock()
			hit := c.conn != nil && some[c.node]
			c.mu.Unlock()
			if hit && rand.Float64() < 0.55 {
				c.reset()
			}
		}
	}
	time.Sleep(8 * time.Second)
	for time.Since(y.began) < 80*time.Second {
		if trouble() {
			y.note("the machines of z3 are partitioned from all engines")
			for _, k := range v.engines {
				k.cut()
			}
			if os.Getenv("ONLY") == "partition" {
				time.Sleep(4 * time.Second)
			} else {
				for range 3 {
					time.Sleep(1300 * time.Millisecond)
					reset()
				}
				time.Sleep(100 * time.Millisecond)
			}
			for _, k := range v.engines {
				k.heal()
			}
			y.note("the partition heals")
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	all.Wait()
	broken := 0
	for _, c := range clients {
		if len(c.held) > 1 {
			broken++
			y.note("the stream of %s holds events of %v", c.first, c.held)
			fmt.Printf("the stream of %s holds events of %v\n", c.first, c.held)
		}
	}
	fmt.Printf("%d streams, %d with events of two software versions, 2 may\n", len(clients), broken)
	y.finish()
	if broken > 2 {
		return 1
	}
	return 0
}
