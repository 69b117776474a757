package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryLimit = 284 << 20
	largeBody   = 4_194_000
)

// resident returns the resident memory of the process.
func (x *node) resident() int64 {
	x.mu.Lock()
	pid := 0
	if x.cmd != nil && x.cmd.Process != nil {
		pid = x.cmd.Process.Pid
	}
	x.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb int64
			_, _ = fmt.Sscan(text, &kb)
			return kb << 10
		}
	}
	return 0
}

// bodies is the case of large bodies that machines without a path to the engines forward.
func bodies() int {
	y := newSystem("z1", "z2", "z3")
	y.configure()
	var lost atomic.Int64
	app := engineKind{service: "app", slots: 6, queue: 24, work: func() (time.Duration, int) {
		return time.Duration(30+rand.ExpFloat64()*30) * time.Millisecond, 200
	}}
	v := newView()
	for n, z := range y.zones {
		v.addEngine(y.startEngine(app, fmt.Sprintf("i-app-%s-%d", z, n), z, "v1", true).address())
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
	y.awaitReady(15 * time.Second)
	go y.watchReadiness()
	time.Sleep(5 * time.Second)
	// The platform kills a process that exceeds its memory.
	var peakMu sync.Mutex
	peak, killed := map[string]int64{}, map[string]bool{}
	stopped := false
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			for _, x := range y.nodes {
				m := x.resident()
				peakMu.Lock()
				if stopped {
					peakMu.Unlock()
					return
				}
				peak[x.name] = max(peak[x.name], m)
				if m > memoryLimit {
					killed[x.name] = true
					y.note("%s takes %d MiB and is killed by the platform", x.name, m>>20)
					x.signal(syscall.SIGKILL)
				}
				peakMu.Unlock()
			}
		}
	}()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	isStopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	// Small requests on kept connections.
	for _, x := range y.nodes {
		for range 30 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for !isStopped() {
					n := y.keptCalls(x, isStopped)
					// What a partitioned machine loses may be due to the partition.
					if x.zone != "z3" {
						lost.Add(n)
					}
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
	}
	var statusMu sync.Mutex
	statuses := map[string]int{}
	large := func(x *node, until time.Time, pace time.Duration) {
		defer wg.Done()
		for time.Now().Before(until) {
			status := y.sendLarge(x, pace)
			statusMu.Lock()
			statuses[fmt.Sprintf("%s %d", x.zone, status)]++
			statusMu.Unlock()
			if status != 200 {
				time.Sleep(500 * time.Millisecond)
			}
		}
	}
	time.Sleep(2 * time.Second)
	rounds := 0
	for ; rounds < 5 && time.Since(y.began) < 80*time.Second; rounds++ {
		peakMu.Lock()
		done := len(killed) > 0
		peakMu.Unlock()
		if done {
			break
		}
		if trouble() && os.Getenv("ONLY") != "burst" {
			y.note("the machines of z3 are partitioned from all engines")
			for _, k := range v.engines {
				k.cut()
			}
		}
		time.Sleep(1500 * time.Millisecond)
		clients := 24
		if trouble() {
			clients = 57
		}
		until := time.Now().Add(4500 * time.Millisecond)
		for _, x := range y.nodes {
			for range clients {
				wg.Add(1)
				// All clients of a machine together take 0.8 of its link of 1,000 Mbit/s.
				go large(x, until, time.Duration(clients)*time.Second*largeBody/100_000_000)
			}
		}
		time.Sleep(5500 * time.Millisecond)
		if trouble() && os.Getenv("ONLY") != "burst" {
			for _, k := range v.engines {
				k.heal()
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wg.Wait()
	peakMu.Lock()
	stopped = true
	for name, m := range peak {
		y.note("%s took %d MiB at most", name, m>>20)
		fmt.Printf("%s %d MiB; ", name, m>>20)
	}
	fmt.Println()
	fmt.Printf("%d bursts, killed %v, %d requests on kept connections that an engine ran ended without an answer, 3 may; %v\n", rounds, killed, lost.Load(), statuses)
	peakMu.Unlock()
	y.finish()
	if lost.Load() > 3 {
		return 1
	}
	return 0
}

// keptCalls sends small requests on one connection, and returns how many an engine ran whose
// connection the machine closed without an answer.
func (y *system) keptCalls(x *node, stopped func() bool) int64 {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", x.ip, ports.front), time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for !stopped() {
		time.Sleep(time.Duration(150+rand.IntN(300)) * time.Millisecond)
		id := newID()
		_ = c.SetDeadline(time.Now().Add(14 * time.Second))
		y.note("client sends %s to %s", id, x.name)
		fmt.Fprintf(c, "POST /big/%s HTTP/1.1\r\nHost: %s\r\nBamboorail-Request-Id: %s\r\nBamboorail-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\nok", id, host, id)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			y.note("client has %s: %v", id, err)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return 0
			}
			time.Sleep(300 * time.Millisecond)
			y.mu.Lock()
			ran := slices.ContainsFunc(y.runs, func(r run) bool { return r.id == id })
			y.mu.Unlock()
			if ran {
				y.note("%s ran, and %s closed its connection without an answer", id, x.name)
				return 1
			}
			return 0
		}
		y.note("client has %s: status %d", id, resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.Close {
			return 0
		}
	}
	return 0
}

// sendLarge sends a request with a large body in chunks at a pace, and returns the status.
func (y *system) sendLarge(x *node, pace time.Duration) int {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", x.ip, ports.front), time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(14 * time.Second))
	id := newID()
	y.note("client sends %s to %s, with %d bytes", id, x.name, largeBody)
	fmt.Fprintf(c, "POST /big/%s HTTP/1.1\r\nHost: %s\r\nBamboorail-Request-Id: %s\r\nBamboorail-Deadline-Ms: 14000\r\nTransfer-Encoding: chunked\r\n\r\n", id, host, id)
	const parts = 12
	part := bytes.Repeat([]byte("x"), largeBody/parts)
	answered := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			y.note("client has %s: %v", id, err)
			answered <- 0
			return
		}
		y.note("client has %s: status %d", id, resp.StatusCode)
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	for range parts {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
			return <-answered
		}
		select {
		case status := <-answered:
			return status
		case <-time.After(pace / parts):
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return <-answered
}
