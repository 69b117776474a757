package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["bodies"] = playBodies }

const (
	memoryMB  = 284
	bodyBytes = 4_194_000
)

// pacedReader sends a body at a limited rate, so that all callers together stay below 0.8 of the
// machine's link of 1,000 Mbit/s.
type pacedReader struct {
	r    io.Reader
	rate int // bytes a second
}

// Read returns the next bytes once they are due.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b[:min(len(b), 32<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(p.rate))
	return n, err
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// window is the most that counts of what a connection has received and the process has not read;
// the platform's links have small windows.
const window = 64 << 10

// unreadMB returns what the connections of an address have received that is not read yet.
func unreadMB(address string) int {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var a, b, c, d, port, sum int
	if _, err := fmt.Sscanf(address, "%d.%d.%d.%d:%d", &a, &b, &c, &d, &port); err != nil {
		return 0
	}
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", d, c, b, a, port)
	for line := range strings.SplitSeq(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) < 5 || f[1] != local || f[3] == "0A" { // 0A is a listener
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		if n, err := strconv.ParseInt(unread, 16, 64); err == nil {
			sum += int(min(n, window))
		}
	}
	return sum >> 20
}

// limitMemory kills the process of a machine that exceeds its memory, as the platform does, and
// returns the function that ends the supervision and tells the peak.
func (m *machine) limitMemory(ctx context.Context) (peak func() int, killed func() bool) {
	var mu sync.Mutex
	most, dead := 0, false
	go func() {
		for ctx.Err() == nil {
			m.mu.Lock()
			pid, running := m.process.Process.Pid, m.running
			m.mu.Unlock()
			if running {
				mb := residentMB(pid) + unreadMB(m.front)
				mu.Lock()
				most = max(most, mb)
				if mb > memoryMB && !dead {
					dead = true
					m.stand.record("platform: %s holds %d MiB of %d and is killed", m.name, mb, memoryMB)
					m.kill()
				}
				mu.Unlock()
			}
			pause(ctx, 5*time.Millisecond)
		}
	}()
	return func() int { mu.Lock(); defer mu.Unlock(); return most }, func() bool { mu.Lock(); defer mu.Unlock(); return dead }
}

// playBodies plays bursts of large bodies in chunks at a machine that is partitioned from all engines,
// beside ordinary requests on kept connections, until the process is killed. Without the trouble
// nothing is cut, and as many callers send them as usual.
func playBodies(ctx context.Context, s *stand) (bool, error) {
	const (
		bursts    = 5
		burstTime = 4500 * time.Millisecond
		quietTime = 4 * time.Second
		timeout   = 14 * time.Second
		linkBytes = 95_000_000 // a second, of 125 million
		usual     = 24
		burstOf   = 57
		ordinary  = 120
	)
	c, err := newCuttableSite(s)
	if err != nil {
		return false, err
	}
	s.store.put("config", "main", configuration(8, func(routes []map[string]any) []map[string]any {
		for _, r := range routes {
			if r["name"] == "r-bookmark" {
				r["timeout_ms"] = timeout.Milliseconds()
			}
		}
		return routes
	}))
	for _, e := range s.engines {
		if e.service == plainService {
			e.work = 300 * time.Millisecond
		}
	}
	if err := s.begin(ctx); err != nil {
		return false, err
	}
	m := s.machines[0]
	watched, unwatch := context.WithCancel(ctx)
	defer unwatch()
	peak, killed := m.limitMemory(watched)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	statuses := map[int]int{}
	caller := func(ctx context.Context, large, rate int, gap time.Duration) {
		defer wg.Done()
		transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
		defer transport.CloseIdleConnections()
		for n := 0; ctx.Err() == nil; n++ {
			size := 100 // the connection is kept from the first request on
			if n > 0 {
				size = large
			}
			id := s.newID()
			err := s.saveBookmark(transport, m, id, size, rate, timeout, func(status int) {
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			}, func(after time.Duration) { pause(ctx, after) })
			if err != nil {
				mu.Lock()
				lost = append(lost, id)
				mu.Unlock()
				return
			}
			pause(ctx, gap)
		}
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	for range ordinary {
		wg.Add(1)
		go caller(traffic, 100, linkBytes, 300*time.Millisecond)
	}
	pause(ctx, 2*time.Second)
	callers := usual
	if s.trouble {
		callers = burstOf
	}
	for range bursts {
		if killed() {
			break
		}
		if s.trouble {
			c.cutLinks(s)
			pause(ctx, 1500*time.Millisecond)
		}
		s.record("phase: %d callers send bodies of %d bytes in chunks to %s", callers, bodyBytes, m.name)
		burst, stopBurst := context.WithTimeout(ctx, burstTime)
		for range callers {
			wg.Add(1)
			go caller(burst, bodyBytes, linkBytes/callers, 0)
		}
		<-burst.Done()
		stopBurst()
		pause(ctx, time.Second)
		if s.trouble {
			if err := c.healLinks(s); err != nil {
				return false, err
			}
		}
		pause(ctx, quietTime)
	}
	stop()
	wg.Wait()
	unwatch()
	s.mu.Lock()
	defer s.mu.Unlock()
	passed, count := map[string]bool{}, 0
	for _, a := range s.arrivals {
		passed[a.id] = passed[a.id] || a.ran
	}
	for _, id := range lost {
		if passed[id] {
			count++
		}
	}
	_, _ = fmt.Fprintf(s.out, "judge: %s: peak %d MiB of %d, killed %t; %d requests on kept connections were passed on to engines and ended without an answer (the rule allows 3), %d others; statuses %v\n",
		m.name, peak(), memoryMB, killed(), count, len(lost)-count, statuses)
	return killed() && count > 3, nil
}

// saveBookmark sends a request of bookmark-save, in chunks if it is large.
func (s *stand) saveBookmark(t *http.Transport, m *machine, id string, size, rate int, timeout time.Duration, answered func(int), wait func(time.Duration)) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.front+bookmarkPath, &pacedReader{io.LimitReader(zeros{}, int64(size)), rate})
	if err != nil {
		return err
	}
	if req.Host = host; size < smallBytes {
		req.ContentLength = int64(size)
	}
	req.Header.Set("Bamboorail-Request-Id", id)
	req.Header.Set("Bamboorail-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	s.record("client id=%s to=%s bytes=%d", id, m.name, size)
	resp, err := t.RoundTrip(req)
	if err != nil {
		s.record("answer id=%s error=%v", id, err)
		return err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		s.record("answer id=%s error=%v", id, err)
		return err
	}
	s.record("answer id=%s status=%d", id, resp.StatusCode)
	answered(resp.StatusCode)
	if resp.StatusCode == http.StatusServiceUnavailable {
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		wait(time.Duration(after * float64(time.Second)))
	}
	return nil
}

// smallBytes is the size below which a body is sent with its length.
const smallBytes = 1000

// zeros is an endless body.
type zeros struct{}

// Read fills b with a letter.
func (zeros) Read(b []byte) (int, error) {
	for n := range b {
		b[n] = 'x'
	}
	return len(b), nil
}
