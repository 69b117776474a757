package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// soak plays faults at random; it is a search, and no case.
func soak() int {
	adapterSlots = 8
	y := newSystem("z1", "z2", "z3")
	y.store.era = 1
	y.configure()
	k := llmKind()
	k.events, k.gap = 60, 50*time.Millisecond

	app := engineKind{service: "app", slots: 12, work: func() (time.Duration, int) {
		status := 200
		if rand.Float64() < 0.05 {
			status = 500
		}
		return time.Duration(20+rand.ExpFloat64()*40) * time.Millisecond, status
	}}
	var number atomic.Int64
	add := func(k engineKind, zone string, id string, loaded bool) {
		if id == "" {
			id = fmt.Sprintf("i-%s-%s-%d", k.service, zone, number.Add(1))
		}
		software := "v1"
		if number.Load()%3 == 0 {
			software = "v2"
		}
		y.startEngine(k, id, zone, software, loaded)
	}
	for _, z := range y.zones {
		for range 3 {
			add(k, z, "", true)
		}
		add(app, z, "", true)
	}
	for range 2 {
		for _, z := range y.zones {
			y.addNode(z, y.store.addr).start()
		}
	}
	y.awaitReady(15 * time.Second)
	go y.watchReadiness()
	time.Sleep(8 * time.Second)
	var late, lost atomic.Bool
	y.lateOrder = func() time.Duration {
		if late.Load() && rand.Float64() < 0.35 {
			return time.Duration(2+10*rand.Float64()) * time.Second
		}
		return 0
	}
	y.loseAnswer = func() bool { return lost.Load() && rand.Float64() < 0.3 }
	type sent struct {
		kind, what string
		a          answer
	}
	var mu sync.Mutex
	all := map[string]*sent{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	send := func(rate float64, kind string, q func() request) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					r := q()
					s := &sent{kind: kind, what: r.method + " " + r.path + " " + r.body}
					mu.Lock()
					all[r.id] = s
					mu.Unlock()
					a := y.send(y.pick(y.zones[rand.IntN(3)]), r)
					mu.Lock()
					s.a = a
					mu.Unlock()
				}()
			}
		}()
	}
	send(30, "un", func() request {
		id := newID()
		return request{id: id, method: "POST", host: host, path: "/un/" + id + "?q=%2f", deadline: 1500 * time.Millisecond, body: "body " + id}
	})
	send(15, "id", func() request {
		id := newID()
		return request{id: id, method: "GET", host: host, path: "/va/" + id, deadline: 1500 * time.Millisecond}
	})
	send(40, "st", func() request {
		return streamRequest("/st/", fmt.Sprintf("a%d", 1+rand.IntN(60)), fmt.Sprintf("aa%d:210,own%d:700", rand.IntN(3), counter.Add(1)), 15*time.Second)
	})
	var clients []*streamClient
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / 25 * float64(time.Second))):
			}
			c := &streamClient{y: y}
			mu.Lock()
			clients = append(clients, c)
			mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.run(y.zones[rand.IntN(3)])
			}()
		}
	}()
	frozen := map[string][]time.Time{}
	anyNode := func() *node { return y.nodes[rand.IntN(len(y.nodes))] }
	leader := func() *node {
		if x := y.holder(y.zones[rand.IntN(3)]); x != nil {
			return x
		}
		return anyNode()
	}
	faults := []func(){
		func() { leader().signal(syscall.SIGKILL) },
		func() { anyNode().signal(syscall.SIGTERM) },
		func() {
			x := leader()
			x.signal(syscall.SIGSTOP)
			time.AfterFunc(3500*time.Millisecond, func() {
				x.signal(syscall.SIGCONT)
				mu.Lock()
				frozen[x.name] = append(frozen[x.name], time.Now())
				mu.Unlock()
			})
		},
		func() {
			list := y.engineList()
			e := list[rand.IntN(len(list))]
			id := ""
			if rand.Float64() < 0.6 {
				id = e.id
			}
			y.note("engine %s crashes, and is back as %q", e.id, id)
			e.crash()
			time.AfterFunc(2*time.Second, func() { add(e.kind, e.zone, id, false) })
		},
		func() {
			list := y.engineList()
			e := list[rand.IntN(len(list))]
			e.setSilent(time.Second)
			y.note("engine %s is silent", e.id)
		},
		func() {
			late.Store(true)
			y.note("orders late")
			time.AfterFunc(5*time.Second, func() { late.Store(false) })
		},
		func() {
			lost.Store(true)
			y.note("answers lost")
			time.AfterFunc(4*time.Second, func() { lost.Store(false) })
		},
		func() {
			age := time.Duration(1+7*rand.Float64()) * time.Second
			y.note("store is restored from a copy of %s ago", age)
			y.store.setMode("silent")
			time.AfterFunc(time.Duration(rand.Float64()*float64(2*time.Second)), func() {
				y.store.restore(age)
				y.configure()
				y.store.setMode("")
			})
		},
		func() {
			x := anyNode()
			y.note("connections of %s are reset", x.name)
			mu.Lock()
			list := append([]*streamClient(nil), clients...)
			mu.Unlock()
			for _, c := range list {
				c.mu.Lock()
				hit := c.conn != nil && c.node == x.name
				c.mu.Unlock()
				if hit {
					c.reset()
				}
			}
		},
		func() {
			y.note("store is silent")
			y.store.setMode("silent")
			time.AfterFunc(4*time.Second, func() { y.store.setMode("") })
		},
		func() {
			y.note("store answers nothing")
			y.store.setMode("mute")
			time.AfterFunc(1500*time.Millisecond, func() { y.store.setMode("") })
		},
	}
	for time.Since(y.began) < 95*time.Second {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(1800*time.Millisecond)))
		faults[rand.IntN(len(faults))]()
	}
	y.store.setMode("")
	for _, x := range y.nodes {
		x.signal(syscall.SIGCONT)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	bad := []string{}
	fault := func(format string, args ...any) { bad = append(bad, fmt.Sprintf(format, args...)) }
	runs := map[string][]run{}
	y.mu.Lock()
	for _, r := range y.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	for _, f := range y.faults {
		fault("LIMIT %s", f)
	}
	y.mu.Unlock()
	statuses := map[string]int{}
	for id, list := range runs {
		s := all[id]
		if s == nil {
			continue
		}
		for _, r := range list {
			if r.what != s.what {
				fault("UNASKED %s runs as %q, sent as %q", id, r.what, s.what)
			}
		}
		once := s.kind == "un" || s.kind == "st"
		if once && len(list) > 1 {
			fault("TWICE %s %s runs %d times: %v", s.kind, id, len(list), list)
		}
		if a := s.a; once && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			fault("REFUSED %s %s has %d and ran: %v", s.kind, id, a.status, list)
		}
		if !once && len(list) > 2 {
			fault("BUDGET %s %s runs %d times", s.kind, id, len(list))
		}
	}
	for id, s := range all {
		a := s.a
		statuses[fmt.Sprintf("%s %d %t", s.kind, a.status, a.err != nil)]++
		if a.status == 200 && a.err == nil {
			switch s.kind {
			case "un", "id":
				if a.body != "answer to "+id+"\n" {
					fault("MIXED %s has %q", id, a.body)
				}
			default:
				if len(a.data) != k.events || a.lastID != fmt.Sprint(k.events) {
					fault("ORDER %s %s has %d events, last %s", s.kind, id, len(a.data), a.lastID)
				}
			}
			if !strings.Contains(a.stamp, id) {
				fault("MIXED %s has stamp %q", id, a.stamp)
			}
		}
	}
	mixed, whole := 0, 0
	for _, c := range clients {
		if len(c.held) > 1 {
			mixed++
		}
		if c.gaps > 0 {
			fault("ORDER %s has %d gaps", c.first, c.gaps)
		}
		if c.whole {
			whole++
			if c.lastID != fmt.Sprint(k.events) {
				fault("ORDER %s is whole after event %s", c.first, c.lastID)
			}
		}
	}
	fmt.Println(len(clients), "resumable streams,", whole, "whole,", mixed, "of two versions")
	last := map[string]order{}
	y.mu.Lock()
	for _, o := range y.orders {
		p, ok := last[o.engine]
		last[o.engine] = o
		thawed := false
		for _, t := range frozen[o.holder] {
			thawed = thawed || o.at.Sub(t).Abs() < 400*time.Millisecond
		}
		for _, t := range frozen[p.holder] {
			thawed = thawed || p.at.Sub(t).Abs() < 400*time.Millisecond
		}
		if ok && !thawed && p.holder != o.holder && o.at.Sub(p.at) < 3*time.Second {
			fault("ONE at %s: %s at %.3f after %s at %.3f", o.engine, o.holder, y.since(o.at), p.holder, y.since(p.at))
		}
		if ok && o.token < p.token {
			fault("ONE at %s: token %d after %d, %s after %s at %.3f", o.engine, o.token, p.token, o.holder, p.holder, y.since(o.at))
		}
	}
	orders := len(y.orders)
	for _, l := range y.lines {
		if strings.Contains(l, "process of") && strings.Contains(l, "ends: exit") {
			bad = append(bad, "EXIT "+l)
		}
	}
	y.mu.Unlock()
	for _, b := range bad {
		fmt.Println(b)
		y.note("%s", b)
	}
	fmt.Println(len(all), "requests", statuses, orders, "orders;", len(bad), "faults")
	y.finish()
	if len(bad) > 0 {
		return 1
	}
	return 0
}
