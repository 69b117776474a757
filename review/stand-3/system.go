package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}

type order struct {
	at             time.Time
	engine, holder string
	token          uint64
	op, adapter    string
	status         int
}

type run struct {
	at                   time.Time
	id, engine, software string
}

// system is a small deployment: a store, engines, and instances of railentry that the
// platform starts, probes and stops.
type system struct {
	dir   string
	root  string
	began time.Time
	store *store
	zones []string
	nodes []*node

	mu      sync.Mutex
	engines map[string]*engine
	orders  []order
	runs    []run
	lines   []string
	// isLate reports whether an order gets no answer and is carried out later; it may be nil.
	isLate func() bool
	// overfull counts the orders beyond the places of an engine.
	overfull atomic.Int64
}

// carryOutLate carries an order out 2 to 12 s later, once its precondition holds.
func (y *system) carryOutLate(engine, holder, op, adapter string, version int, precondition *uint64) {
	time.Sleep(2 * time.Second)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		y.mu.Lock()
		e := y.engines[engine]
		y.mu.Unlock()
		if e == nil {
			continue
		}
		e.mu.Lock()
		if precondition == nil || *precondition == e.seq {
			n := e.seq
			status := e.carryOut(op, adapter, version, precondition)
			e.mu.Unlock()
			y.note("engine %s carries out a late order of %s at number %d: %s %s: %d", engine, holder, n, op, adapter, status)
			return
		}
		e.mu.Unlock()
	}
}

func newSystem(zones ...string) *system {
	dir, err := os.MkdirTemp("", "review-3-")
	check(err)
	root, err := os.Getwd()
	check(err)
	y := &system{dir: dir, root: root, began: time.Now(), store: newStore(), zones: zones, engines: map[string]*engine{}}
	return y
}

// note writes a line of the record.
func (y *system) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(y.began).Seconds()) + fmt.Sprintf(format, args...)
	y.mu.Lock()
	y.lines = append(y.lines, line)
	y.mu.Unlock()
}

func (y *system) since(t time.Time) float64 { return t.Sub(y.began).Seconds() }

func (y *system) recordOrder(o order) {
	y.mu.Lock()
	y.orders = append(y.orders, o)
	y.mu.Unlock()
	y.note("engine %s gets an order of %s: %s %s, token %d: %d", o.engine, o.holder, o.op, o.adapter, o.token, o.status)
}

func (y *system) recordRun(r run) {
	y.mu.Lock()
	y.runs = append(y.runs, r)
	y.mu.Unlock()
	y.note("engine %s (%s) runs %s", r.engine, r.software, r.id)
}

func (y *system) engineList() []*engine {
	y.mu.Lock()
	defer y.mu.Unlock()
	list := []*engine{}
	for _, e := range y.engines {
		list = append(list, e)
	}
	return list
}

// node is a machine with one instance.
type node struct {
	y        *system
	name     string
	zone     string
	ip       string
	store    string
	settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	// off keeps the platform from starting the process again.
	off    bool
	misses int
	inUse  bool
}

var ports = struct{ front, ready, peer, metrics int }{}

// freePorts finds ports that are free at 127.0.0.1. The machines have addresses of their own; a port that
// is taken there keeps an instance from becoming ready, and the case ends with 2.
func freePorts() {
	used := func(p int) bool {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return true
		}
		l.Close()
		return false
	}
	next := func() int {
		for {
			if p := 20000 + rand.IntN(10000); !used(p) {
				return p
			}
		}
	}
	ports.front, ports.ready, ports.peer, ports.metrics = next(), next(), next(), next()
}

// addNode adds a machine. Its instance reads the store at the given address.
func (y *system) addNode(zone, store string) *node {
	n := len(y.nodes) + 1
	x := &node{y: y, name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("127.77.%d.%d", 1+rand.IntN(200), n), store: store, inUse: true}
	x.settings = filepath.Join(y.dir, x.name+".ini")
	template, err := os.ReadFile(filepath.Join(y.root, "deploy", "railentry.ini"))
	check(err)
	text := string(template)
	for from, to := range map[string]string{
		"{{node_name}}": x.name, "{{zone}}": zone, "{{bounds.grace_s}}": "8", "{{#zones}}{{@}}{{,}}{{/zones}}": strings.Join(y.zones, ","),
		"{{listen.front}}": fmt.Sprintf("%s:%d", x.ip, ports.front), "{{listen.ready}}": fmt.Sprintf("%s:%d", x.ip, ports.ready),
		"{{ip}}:{{internal_ports.0}}": fmt.Sprintf("%s:%d", x.ip, ports.peer), "{{ip}}:{{internal_ports.1}}": fmt.Sprintf("%s:%d", x.ip, ports.metrics),
		"{{bounds.lease_ms}}": "3000", "{{bounds.retry_budget_ratio}}": "0.2", "{{bounds.budget_slack}}": "54", "{{bounds.budget_window_s}}": "10",
		"{{bounds.version_ms}}": "5000", "{{limits.memory_mb}}": "284", "{{limits.cpu_share}}": "0.4", "{{platform.address}}": store,
	} {
		text = strings.ReplaceAll(text, from, to)
	}
	if strings.Contains(text, "{{") {
		check(fmt.Errorf("the template of the settings has fields that are not known here"))
	}
	check(os.WriteFile(x.settings, []byte(text), 0o600))
	y.nodes = append(y.nodes, x)
	return x
}

func (y *system) list() []*node {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]*node(nil), y.nodes...)
}

// start starts the process, and starts it again after it ends.
func (x *node) start() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.off = false
	x.startLocked()
}

func (x *node) startLocked() {
	c := exec.Command(filepath.Join(x.y.root, "target", "railentry"), "--settings", x.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + x.y.dir}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(x.y.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c.Stdout, c.Stderr = log, log
	check(c.Start())
	x.cmd = c
	x.y.note("process of %s starts", x.name)
	go func() {
		err := c.Wait()
		log.Close()
		x.y.note("process of %s ends: %v", x.name, err)
		time.Sleep(time.Second)
		x.mu.Lock()
		defer x.mu.Unlock()
		if !x.off && x.cmd == c {
			x.startLocked()
		}
	}()
}

func (x *node) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		x.y.note("%s gets signal %v", x.name, s)
		_ = x.cmd.Process.Signal(s)
	}
}

// holder returns the machine that holds the lease of a zone, as the store has it.
func (y *system) holder(zone string) *node {
	o, ok := y.store.get("order-leases", zone)
	var r struct{ Holder string }
	if !ok || json.Unmarshal(o.spec, &r) != nil {
		return nil
	}
	for _, x := range y.nodes {
		if x.name == r.Holder {
			return x
		}
	}
	return nil
}

// stop kills the process for good.
func (x *node) stop() {
	x.mu.Lock()
	x.off = true
	x.mu.Unlock()
	x.signal(syscall.SIGKILL)
}

// watchReadiness probes the machines once a second, as the platform does.
func (y *system) watchReadiness() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, x := range y.list() {
			go func() {
				resp, err := client.Get(fmt.Sprintf("http://%s:%d/bamboorail/readyz", x.ip, ports.ready))
				ok := err == nil && resp.StatusCode == 200
				if err == nil {
					resp.Body.Close()
				}
				x.mu.Lock()
				defer x.mu.Unlock()
				if ok {
					x.misses, x.inUse = 0, true
				} else if x.misses++; x.misses >= 2 {
					x.inUse = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// pick returns a machine for a new connection of a client in a zone.
func (y *system) pick(zone string) *node {
	var own, all []*node
	for _, x := range y.list() {
		x.mu.Lock()
		use := x.inUse && !x.off
		x.mu.Unlock()
		if !use {
			continue
		}
		if all = append(all, x); x.zone == zone {
			own = append(own, x)
		}
	}
	switch {
	case len(own) > 0:
		return own[rand.IntN(len(own))]
	case len(all) > 0:
		return all[rand.IntN(len(all))]
	}
	return y.list()[0]
}

// awaitReady waits until all instances report themselves ready.
func (y *system) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); ; {
		ready := 0
		for _, x := range y.nodes {
			if resp, err := client.Get(fmt.Sprintf("http://%s:%d/bamboorail/readyz", x.ip, ports.ready)); err == nil {
				if resp.Body.Close(); resp.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(y.nodes) {
			return
		}
		if time.Now().After(end) {
			y.finish()
			check(fmt.Errorf("%d of %d instances became ready", ready, len(y.nodes)))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// answer is what a client saw of one attempt.
type answer struct {
	status  int
	stamp   string
	body    string
	lastID  string
	data    []string
	err     error
	at, end time.Time
	node    string
}

type request struct {
	id, method, host, path string
	header                 map[string]string
	deadline               time.Duration
	// conn is told of the connection.
	body string
}

// send sends a request to a machine on a connection of its own.
func (y *system) send(x *node, q request) (a answer) {
	a.at, a.node = time.Now(), x.name
	defer func() { a.end = time.Now() }()
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", x.ip, ports.front), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nBamboorail-Request-Id: %s\r\nBamboorail-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, a.err = c.Write([]byte(b.String())); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("Bamboorail-Server-Stamp")
	scan := bufio.NewScanner(resp.Body)
	pending := ""
	for scan.Scan() {
		line := scan.Text()
		a.body += line + "\n"
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			pending = id
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			a.data = append(a.data, data)
		}
		if line == "" && pending != "" {
			a.lastID, pending = pending, ""
		}
	}
	a.err = scan.Err()
	return a
}

// finish ends all processes and writes the record.
func (y *system) finish() {
	for _, x := range y.nodes {
		x.stop()
	}
	time.Sleep(200 * time.Millisecond)
	y.mu.Lock()
	defer y.mu.Unlock()
	if path := os.Getenv("RECORD"); path != "" {
		check(os.WriteFile(path, []byte(strings.Join(y.lines, "\n")+"\n"), 0o600))
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(y.dir)
	} else {
		fmt.Println("logs in", y.dir)
	}
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }
