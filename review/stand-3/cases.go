package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const host = "cases.example"

// adapterSlots are the places for adapters of a model engine.
var adapterSlots = 17

// modelLoad is the time of a load of the model from the store.
var modelLoad = 3900 * time.Millisecond

var counter atomic.Int64

func newID() string { return fmt.Sprintf("%08x%06x", rand.Uint32(), counter.Add(1)) }

func llmKind() engineKind {
	return engineKind{
		service: "llm", slots: 64, adapterSlots: adapterSlots, model: "m0", loadTime: 1600 * time.Millisecond, adapterTime: 250 * time.Millisecond,
		first: 100 * time.Millisecond, gap: 30 * time.Millisecond, events: 20,
	}
}

// configure writes the configuration with a resumable and a plain streaming route.
func (y *system) configure() {
	c := map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "resumable", "host": host, "path_prefix": "/re/", "route_kind": "streaming", "timeout_ms": 25000, "target_latency_ms": 1000, "priority": 1, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 300},
			map[string]any{"name": "plain", "host": host, "path_prefix": "/st/", "route_kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 800, "priority": 2, "service": "llm", "max_attempts": 1, "sticky": true, "resumable": false, "target_gap_ms": 300},
			map[string]any{"name": "save", "host": host, "path_prefix": "/big/", "route_kind": "non_idempotent", "timeout_ms": 14000, "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 1},
			map[string]any{"name": "redeem", "host": host, "path_prefix": "/un/", "route_kind": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 1},
			map[string]any{"name": "validate", "host": host, "path_prefix": "/va/", "route_kind": "idempotent", "timeout_ms": 800, "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 2},
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 120687, "models": []any{map[string]any{"name": "m0", "weights_mb": 65100.0, "load_s": modelLoad.Seconds(), "adapters": 3000, "adapter_mb": 12.0, "warmup_s": 0.76, "disk_load_s": 1.6}},
				"weights_mb": 66600.0, "adapter_slots": adapterSlots, "loads_per_s": 2.1,
			}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	b, err := json.Marshal(c)
	check(err)
	y.store.put("config", "main", b, -1)
}

// traffic sends streams at a rate until stop is closed.
func (y *system) traffic(perSecond float64, stop <-chan struct{}, q func() request) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			all.Add(1)
			go func() {
				defer all.Done()
				x := y.pick(y.zones[rand.IntN(len(y.zones))])
				r := q()
				y.note("client sends %s to %s, prompt %s", r.id, x.name, r.header["Bamboorail-Prompt-Prefix"])
				a := y.send(x, r)
				y.note("client has %s: status %d, %d events, %v", r.id, a.status, len(a.data), a.err)
			}()
		}
	}()
	return &all
}

func streamRequest(path, adapter, prefix string, deadline time.Duration) request {
	model := "m0"
	if adapter != "" {
		model += "/" + adapter
	}
	return request{
		id: newID(), method: "POST", host: host, path: path + "x", deadline: deadline, body: "prompt",
		header: map[string]string{"Bamboorail-Model": model, "Bamboorail-Token-Usage": "1100,60", "Bamboorail-Prompt-Prefix": prefix},
	}
}

// poison is the case of a part of a prompt that crashes engines, while all instances are killed.
func poison() int {
	y := newSystem("z1", "z2", "z3")
	y.configure()
	number := atomic.Int64{}
	startOne := func(z string) *engine {
		return y.startEngine(llmKind(), fmt.Sprintf("i-%s-%d", z, number.Add(1)), z, "v1", number.Load() <= 9)
	}
	for _, z := range y.zones {
		for range 3 {
			startOne(z)
		}
	}
	// A crashed engine is back after some seconds, as a new incarnation without a model.
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			count := map[string]int{}
			for _, e := range y.engineList() {
				count[e.zone]++
			}
			for _, z := range y.zones {
				for n := count[z]; n < 3; n++ {
					time.AfterFunc(2*time.Second, func() { startOne(z) })
				}
			}
			if count["z1"]+count["z2"]+count["z3"] < 9 {
				time.Sleep(2200 * time.Millisecond)
			}
		}
	}()
	for range 2 {
		for _, z := range y.zones {
			y.addNode(z, y.store.addr).start()
		}
	}
	y.awaitReady(15 * time.Second)
	go y.watchReadiness()
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	all := y.traffic(20, stop, func() request {
		return streamRequest([]string{"/st/", "/re/"}[rand.IntN(2)], fmt.Sprintf("a%d", 1+rand.IntN(20)), fmt.Sprintf("aa%d:210,bb%d:140,own%d:700", rand.IntN(3), rand.IntN(50), counter.Load()), 15*time.Second)
	})
	var bad sync.Mutex
	poisonIDs := map[string]string{}
	sendPoison := func() {
		r := streamRequest("/re/", fmt.Sprintf("a%d", 1+rand.IntN(20)), fmt.Sprintf("aa%d:210,dead:140,own%d:700", rand.IntN(3), counter.Load()), 15*time.Second)
		x := y.pick(y.zones[rand.IntN(3)])
		bad.Lock()
		poisonIDs[r.id] = x.name
		bad.Unlock()
		y.note("client sends %s to %s, with the part that crashes engines", r.id, x.name)
		a := y.send(x, r)
		y.note("client has %s: status %d, %d events, %v", r.id, a.status, len(a.data), a.err)
	}
	time.Sleep(2 * time.Second)
	poisonUntil := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(3500 * time.Millisecond) {
			go sendPoison()
		}
	}
	// The instances learn of the part, mostly after four crashes.
	poisonUntil(10 * time.Second)
	time.Sleep(3 * time.Second)
	for range 2 {
		if trouble() {
			for _, x := range y.nodes {
				x.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(4500 * time.Millisecond)
		poisonUntil(18 * time.Second)
	}
	close(stop)
	all.Wait()
	broken := 0
	y.mu.Lock()
	arrivals, crashes := y.arrivals, y.crashes
	y.mu.Unlock()
	for _, a := range arrivals {
		if !strings.Contains(a.prefix, "dead:") {
			continue
		}
		bad.Lock()
		name := poisonIDs[a.id]
		bad.Unlock()
		late := len(crashes) >= 5 && a.at.After(crashes[4].Add(3*time.Second))
		for _, x := range y.list() {
			if x.name != name {
				continue
			}
			touch := x.inTouchAt(a.at)
			y.note("at %.3f request %s with the part reached engine %s from %s, in touch %t, over 3 s after the fifth crash %t", y.since(a.at), a.id, a.engine, name, touch, late)
			if touch && late {
				broken++
			}
		}
	}
	fmt.Printf("%d requests with the part reached engines later than 3 s after the fifth crash, from machines in touch; 3 may; %d crashes\n", broken, len(crashes))
	y.finish()
	if broken > 3 {
		return 1
	}
	return 0
}
