package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
