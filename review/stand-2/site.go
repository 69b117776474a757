package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The routes of the small deployment (sheet of Annex B).
const (
	host           = "ficu95.example"
	modelService   = "jazykovy-stroj"
	plainService   = "citaren"
	summaryPath    = "/lohu930/2f"
	draftPath      = "/pufi791/2f"
	pagePath       = "/cufi504/fi50/2f"
	bookmarkPath   = "/puxa403/2f"
	draftDeadline  = 15 * time.Second
	pageDeadline   = 1500 * time.Millisecond
	draftTokens    = "1460,100"
	firstParts     = 3
	secondParts    = 60
	adaptersInPlay = 24
)

// configuration returns a version of the configuration.
func configuration(version int, edit func(routes []map[string]any) []map[string]any) map[string]any {
	routes := []map[string]any{
		{"name": "r-draft", "host": host, "path_prefix": "/pufi791/", "route_kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1,
			"service": modelService, "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 250},
		{"name": "r-summary", "host": host, "path_prefix": "/lohu930/", "route_kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 800, "priority": 2,
			"service": modelService, "max_attempts": 1, "sticky": true, "resumable": false, "target_gap_ms": 250},
		{"name": "r-page", "host": host, "path_prefix": "/cufi504/", "route_kind": "idempotent", "timeout_ms": 800, "target_latency_ms": 300, "priority": 2,
			"service": plainService, "max_attempts": 2},
		{"name": "r-bookmark", "host": host, "path_prefix": "/puxa403/", "route_kind": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 300,
			"priority": 2, "service": plainService, "max_attempts": 1},
	}
	if edit != nil {
		routes = edit(routes)
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": modelService, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 129183, "kv_token_bytes": 163840, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 2,
				"models":     []map[string]any{{"name": baseModel, "weights_mb": 72700.0, "load_s": 0.81, "adapters": 3000, "adapter_mb": 66.0, "disk_load_s": 1.7}},
				"weights_mb": 75600.0, "adapter_slots": 21, "loads_per_s": 2.8,
			}},
			{"name": plainService, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
			{"name": "citaren-b", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// smallSite sets up the small deployment: two machines in each of three zones, 12 model engines
// and 3 engines of the plain service.
func smallSite(s *stand) {
	for range 2 {
		for _, zone := range s.zones {
			s.addMachine(zone, s.storeAddress())
		}
	}
	for n := range 12 {
		s.addEngine(engineConfig{
			name: fmt.Sprintf("m%02d", n), service: modelService, zone: s.zones[n%3], software: "v1", model: true, slots: 64, adapterSlots: 21,
			loadTime: 810 * time.Millisecond, prefill: 80 * time.Millisecond, gap: 21 * time.Millisecond, pieces: 40,
		})
	}
	for n := range 3 {
		s.addEngine(plainEngine(n, s.zones[n], plainService))
	}
	s.store.put("config", "main", configuration(7, nil))
}

func plainEngine(n int, zone, service string) engineConfig {
	return engineConfig{name: fmt.Sprintf("%s-%d", service, n), service: service, zone: zone, software: "v1", slots: 6, work: 60 * time.Millisecond}
}

// draft returns a request of warning-draft, whose streams may be resumed.
func draft(parts string, own int) request {
	return request{
		method: "POST", host: host, path: draftPath, stream: true, repeatable: true, retries: 1, class: "warning-draft", deadline: draftDeadline,
		body: fmt.Sprintf("draft %d", own),
		header: map[string]string{
			"Bamboorail-Model": adapter(), "Bamboorail-Token-Usage": draftTokens, "Bamboorail-Prompt-Prefix": fmt.Sprintf("%s,%x:1110", parts, 0x9000000+own),
		},
	}
}

// summary returns a request of reader-summary, which runs at most once.
func summary(parts string, own int) request {
	r := draft(parts, own)
	r.path, r.class, r.repeatable, r.body = summaryPath, "reader-summary", false, fmt.Sprintf("summary %d", own)
	return r
}

func adapter() string { return fmt.Sprintf("%s/a%d", baseModel, 1+rand.IntN(adaptersInPlay)) }

func firstPart(n int) string { return fmt.Sprintf("5c1e0%03x:210", n%firstParts) }

func soundParts() string {
	return fmt.Sprintf("%s,91bd3%03x:140", firstPart(rand.IntN(firstParts)), rand.IntN(secondParts))
}

// traffic sends sound requests at a rate until ctx ends.
func (s *stand) traffic(ctx context.Context, wg *sync.WaitGroup, perSecond float64, next func(n int) request) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ctx.Err() == nil; n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.call(context.WithoutCancel(ctx), s.pick(s.zones[rand.IntN(len(s.zones))]), next(n))
			}()
			pause(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second)))
		}
	}()
}

// deadlyPart is the part of a prompt that crashes each engine that begins to write an answer.
const deadlyPart = "dead0001"

func deadlyFault(a *arrival) verdict {
	for _, p := range a.parts {
		if p == deadlyPart {
			return crashes
		}
	}
	return sound
}

// deadlyParts are the parts of a deadly prompt but the last one.
func deadlyParts(n int) string { return fmt.Sprintf("%s,%s:140", firstPart(n), deadlyPart) }

// judgeDeadly checks the rule on parts that crash engines: more than three requests with
// such a part reach engines, sent by machines in touch later than contact_ms after the fifth crash.
func judgeDeadly(s *stand) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	machineOf := map[string]*machine{}
	for _, a := range s.answers {
		machineOf[a.id] = a.machine
	}
	crashed, reached, cut := 0, 0, 0
	var fifth time.Time
	line := func(format string, a ...any) {
		_, _ = fmt.Fprintf(s.out, "judge: "+format+"\n", a...)
	}
	for _, a := range s.arrivals { // in the order of their ends
		if !a.crashed {
			continue
		}
		if crashed++; crashed == 5 {
			fifth = a.crashedAt
		}
	}
	for _, a := range s.arrivals {
		if deadlyFault(&a) != crashes || fifth.IsZero() || a.at.Sub(fifth) <= contact {
			continue
		}
		m := machineOf[a.id]
		if m == nil || !m.inTouchAt(a.at, contact) {
			line("arrival of %s at %.3f does not count, its machine is not in touch", a.id, a.at.Sub(s.begun).Seconds())
			continue
		}
		reached++
		line("request %s with the part reached %s at %.3f, %.1f s after the fifth crash", a.id, a.engine, a.at.Sub(s.begun).Seconds(), a.at.Sub(fifth).Seconds())
	}
	for _, a := range s.answers {
		if a.class != "deadly" && a.status == 200 && a.events > 0 && !a.complete {
			cut++
		}
	}
	line("%d crashes, the fifth at %.3f; %d requests with the part reached engines later than contact_ms after it (the rule allows 3); %d sound streams were cut",
		crashed, fifth.Sub(s.begun).Seconds(), reached, cut)
	return reached > 3
}

func containsName(text, name string) bool { return strings.Contains(text, `"`+name+`"`) }
