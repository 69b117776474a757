package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// streamClient is a client with a resumable stream, which it takes up again after a broken
// connection.
type streamClient struct {
	y *system

	mu     sync.Mutex
	conn   *net.TCPConn
	node   string
	held   []string // the software versions of the events
	lastID string
	first  string // the id of the attempt that brought the first event
}

// reset resets the connection of the client if it is to a machine.
func (c *streamClient) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.SetLinger(0)
		_ = c.conn.Close()
	}
}

// read runs one attempt. It returns the status and Retry-After of the answer; status 0 means
// that the connection broke.
func (c *streamClient) read(r request, x *node) (int, time.Duration) {
	y := c.y
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", x.ip, ports.front), time.Second)
	if err != nil {
		return 0, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.deadline))
	c.mu.Lock()
	c.conn, c.node = conn.(*net.TCPConn), x.name
	last, first := c.lastID, c.first
	c.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nBamboorail-Request-Id: %s\r\nBamboorail-Deadline-Ms: %d\r\n", r.path, r.host, r.id, r.deadline.Milliseconds())
	for k, v := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if last != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", last, first)
		y.note("client takes up the stream of %s after event %s with %s at %s", first, last, r.id, x.name)
	} else {
		y.note("client sends %s to %s", r.id, x.name)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	if _, err := conn.Write([]byte(b.String())); err != nil {
		return 0, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return resp.StatusCode, time.Duration(after * float64(time.Second))
	}
	scan := bufio.NewScanner(resp.Body)
	id, version := "", ""
	for scan.Scan() {
		line := scan.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "data: "):
			version, _, _ = strings.Cut(line[6:], " ")
		case line == "" && id != "":
			c.mu.Lock()
			c.lastID = id
			if c.first == "" {
				c.first = r.id
			}
			if n := len(c.held); n == 0 || c.held[n-1] != version {
				c.held = append(c.held, version)
				y.note("client has event %s of %s from software %s, by %s", id, c.first, version, r.id)
			}
			c.mu.Unlock()
			id = ""
		}
	}
	if scan.Err() != nil {
		return 0, 0
	}
	return 200, 0
}

// run reads the stream to its end, and takes it up again at most three times.
func (c *streamClient) run(zone string) {
	deadline := time.Now().Add(25 * time.Second)
	prompt := fmt.Sprintf("aa%d:210,bb%d:140,own%d:700", rand.IntN(3), rand.IntN(50), counter.Add(1))
	for range 4 {
		left := time.Until(deadline)
		if left < time.Second {
			break
		}
		r := streamRequest("/re/", "", prompt, left)
		// Retries reach other machines.
		x := c.y.pick(zone)
		for tries := 0; x.name == c.node && tries < 20; tries++ {
			x = c.y.pick(zone)
		}
		status, after := c.read(r, x)
		c.y.note("client has %s: status %d (0: the connection broke), Retry-After %s", r.id, status, after)
		if status != 0 && status != 503 {
			break
		}
		time.Sleep(min(after, left/3))
	}
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
}

// origins is the case of streams whose first engine crashed before their first event: engines of
// two software versions serve side by side, and clients lose their connections.
func origins() int {
	y := newSystem("z1", "z2", "z3")
	y.configure()
	k := llmKind()
	k.first, k.gap, k.events = 900*time.Millisecond, 80*time.Millisecond, 57
	var number atomic.Int64
	startOne := func(zone, software string, loaded bool) *engine {
		return y.startEngine(k, fmt.Sprintf("i-%s-%d", zone, number.Add(1)), zone, software, loaded)
	}
	// Five engines have software v1, four v2.
	for n, software := range []string{"v1", "v2", "v2", "v1", "v1", "v2", "v1", "v1", "v2"} {
		startOne(y.zones[n/3], software, true)
	}
	for _, z := range []string{"z1", "z2", "z3", "z1", "z2", "z3", "z1"} {
		y.addNode(z, y.store.addr).start()
	}
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
	// reset resets 0.55 of the connections of two machines, 0.29 of all.
	reset := func() {
		some := map[string]bool{}
		for _, n := range rand.Perm(3)[:2] {
			some[[]*node{y.nodes[0], y.nodes[3], y.nodes[6]}[n].name] = true
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
	for time.Since(y.began) < 84*time.Second {
		if trouble() {
			for _, e := range y.engineList() {
				if e.software == "v2" && e.isLoaded() && e.zone == "z1" {
					y.note("engine %s (v2) crashes", e.id)
					e.crash()
					time.AfterFunc(4500*time.Millisecond, func() { startOne(e.zone, "v2", false) })
				}
			}
			time.Sleep(250 * time.Millisecond)
			reset()
			time.Sleep(1950 * time.Millisecond)
			reset()
			time.Sleep(1200 * time.Millisecond)
			reset()
		}
		// Streams that begin at the end may last 25 s.
		time.Sleep(min(7600*time.Millisecond, time.Until(y.began.Add(91*time.Second))))
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
