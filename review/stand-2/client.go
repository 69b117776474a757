package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is what a client sends.
type request struct {
	method, host, path string
	header             map[string]string
	body               string
	deadline           time.Duration
	stream             bool
	// repeatable is set if the client may repeat it after any failure.
	repeatable bool
	retries    int
	class      string
}

// answer is what a client attempt saw.
type answer struct {
	id, class, path string
	machine         *machine
	sent            time.Time
	first           time.Time
	ended           time.Time
	status          int
	retryAfter      time.Duration
	events          int
	firstEvent      int
	lastID          string
	// engines and software of the events, in order and without repetitions.
	engines, software []string
	// leaving is set if the answer says that its engine leaves.
	leaving  bool
	complete bool
	err      error
	body     string
}

func (s *stand) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids++
	return fmt.Sprintf("%08x%08x", s.ids, rand.Uint32())
}

// attempt sends a request to a machine once.
func (s *stand) attempt(ctx context.Context, m *machine, r request) *answer {
	return s.attemptWith(ctx, m, r, s.newID())
}

func (s *stand) attemptWith(ctx context.Context, m *machine, r request, id string) *answer {
	a := &answer{id: id, class: r.class, path: r.path, machine: m, sent: time.Now()}
	s.record("client id=%s class=%s to=%s path=%s model=%s prompt=%s after=%s", a.id, r.class, m.name, r.path, r.header["Bamboorail-Model"],
		r.header["Bamboorail-Prompt-Prefix"], r.header["Last-Event-Id"])
	if r.header["Resumes"] != "" {
		s.mu.Lock()
		s.resumes[id] = true
		s.mu.Unlock()
	}
	s.send(ctx, m, r, a)
	a.ended = time.Now()
	s.record("answer id=%s class=%s from=%s status=%d events=%d complete=%t took=%.3f retry-after=%.2f error=%v", a.id, r.class, m.name, a.status, a.events,
		a.complete, a.ended.Sub(a.sent).Seconds(), a.retryAfter.Seconds(), a.err)
	s.mu.Lock()
	s.answers = append(s.answers, a)
	s.mu.Unlock()
	return a
}

func (s *stand) send(ctx context.Context, m *machine, r request, a *answer) {
	ctx, cancel := context.WithTimeout(ctx, r.deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.front+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return
	}
	req.GetBody = nil
	req.Host = r.host
	req.Header.Set("Bamboorail-Request-Id", a.id)
	req.Header.Set("Bamboorail-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	for name, value := range r.header {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status, a.first = resp.StatusCode, time.Now()
	a.leaving = resp.Header.Get("Server-Leaving") == "1"
	if f, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(f * float64(time.Second))
	}
	if !r.stream || a.status != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		a.err, a.body = err, string(data)
		a.complete = err == nil && a.status == http.StatusOK && resp.Header.Get("Bamboorail-Server-Stamp") != ""
		return
	}
	scanner := bufio.NewScanner(resp.Body)
	last, id := "", ""
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "data: "):
			last = strings.TrimPrefix(line, "data: ")
		case line == "" && id != "":
			a.events++
			a.lastID = id
			if a.events == 1 {
				a.first = time.Now()
				a.firstEvent, _ = strconv.Atoi(id)
			}
			if f := strings.Fields(last); len(f) >= 2 {
				a.software, a.engines = appendNew(a.software, f[0]), appendNew(a.engines, f[1])
			}
		}
	}
	a.err = scanner.Err()
	a.complete = a.err == nil && strings.HasSuffix(last, " end")
}

func appendNew(list []string, v string) []string {
	if len(list) > 0 && list[len(list)-1] == v {
		return list
	}
	return append(list, v)
}

// pick returns a machine of a zone as the platform's balancer does; an empty zone is any.
func (s *stand) pick(zone string) *machine {
	var all, ready []*machine
	for _, m := range s.machines {
		if zone != "" && m.zone != zone {
			continue
		}
		all = append(all, m)
		if m.isInRotation() {
			ready = append(ready, m)
		}
	}
	if 2*len(ready) < len(all) || len(ready) == 0 {
		ready = all
	}
	return ready[rand.IntN(len(ready))]
}

// call sends a request as a client does, with its retries on new connections.
func (s *stand) call(ctx context.Context, m *machine, r request) *answer {
	begun := time.Now()
	deadline := r.deadline
	for tries := 0; ; tries++ {
		r.deadline = deadline - time.Since(begun)
		a := s.attempt(ctx, m, r)
		left := deadline - time.Since(begun)
		if a.complete || tries >= r.retries || left < 100*time.Millisecond || ctx.Err() != nil {
			return a
		}
		promise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421 || a.err != nil && a.status == 0 && isRefused(a.err)
		final := a.status == 400 || a.status == 401 || a.status == 404 || a.status == 413 || a.status == 431
		if final || !promise && !r.repeatable || r.stream && a.events > 0 {
			return a
		}
		wait := a.retryAfter
		if wait > left/3 {
			return a // the client waits no longer than a third of the time left
		}
		pause(ctx, wait)
		m = s.pick(m.zone)
	}
}

func isRefused(err error) bool { return strings.Contains(err.Error(), "connection refused") }
