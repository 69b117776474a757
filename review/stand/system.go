// Program review-cases plays the cases of an independent review: it starts the project's
// instances as processes, plays the platform's store, engines and clients, and checks one
// rule.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host  = "ficu95.example"
	model = "daka510000"
)

// exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// running are the processes to end, whatever happens.
var running = struct {
	sync.Mutex
	list map[*exec.Cmd]bool
}{list: map[*exec.Cmd]bool{}}

// folder is the temporary folder of the case.
var folder string

func endAll() {
	running.Lock()
	defer running.Unlock()
	for c := range running.list {
		c.Process.Signal(syscall.SIGCONT)
		c.Process.Kill()
	}
}

func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	endAll()
	if folder != "" {
		os.RemoveAll(folder)
	}
	os.Exit(cannot)
}

// system is the small deployment of a case.
type system struct {
	root, dir string
	store     *store
	zones     []string
	began     time.Time

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	arrivals  []arrival
}

type arrival struct {
	at     time.Time
	engine *engine
	id     string
	from   string
	prefix string
}

func newSystem(root, record string, zones ...string) *system {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		unable("%v", err)
	}
	folder = dir
	f, err := os.Create(record)
	if err != nil {
		unable("%v", err)
	}
	return &system{root: root, dir: dir, store: newStore(), zones: zones, began: time.Now(), record: f}
}

// note writes a line to the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *system) arrival(e *engine, r *http.Request, id string, bytes int) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), engine: e, id: id, from: r.RemoteAddr, prefix: r.Header.Get("Bamboorail-Prompt-Prefix")})
	s.mu.Unlock()
	s.note("engine %s (%s) runs %s %s bytes=%d after=%s", e.id, e.software, id, r.URL.Path, bytes, r.Header.Get("Last-Event-Id"))
}

// end ends all processes and returns the exit code of the case.
func (s *system) end(code int) int {
	endAll()
	for _, i := range s.instances {
		<-i.ended()
	}
	s.note("exit code %d", code)
	s.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
	return code
}

// instance is one process of the system.
type instance struct {
	sys                         *system
	name, zone, storeAddress    string
	ip                          string
	front, ready, peer, metrics string
	mu                          sync.Mutex
	cmd                         *exec.Cmd
	done                        chan struct{}
	starts                      int
	restart                     bool
	// restartAfter is the delay after which the platform starts a process again.
	restartAfter time.Duration
}

func (s *system) addInstance(name, zone, storeAddress string) *instance {
	i := &instance{sys: s, name: name, zone: zone, storeAddress: storeAddress, ip: loopback(len(s.instances) + 1)}
	i.front, i.ready, i.peer, i.metrics = i.ip+":8149", i.ip+":8141", i.ip+":7380", i.ip+":7395"
	s.instances = append(s.instances, i)
	return i
}

var placeholder = regexp.MustCompile(`{{[^}]*}}`)

// settings fills in the template of the deploy file as the platform does.
func (i *instance) settings() string {
	raw, err := os.ReadFile(filepath.Join(i.sys.root, "deploy", "railentry.ini"))
	if err != nil {
		unable("%v", err)
	}
	text := strings.ReplaceAll(string(raw), "{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(i.sys.zones, ","))
	text = strings.ReplaceAll(text, "{{ip}}:{{internal_ports.0}}", i.peer)
	text = strings.ReplaceAll(text, "{{ip}}:{{internal_ports.1}}", i.metrics)
	values := map[string]string{
		"node_name": i.name, "zone": i.zone, "bounds.grace_s": "8", "listen.front": i.front, "listen.ready": i.ready,
		"bounds.lease_ms": "3000", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "52", "bounds.budget_window_s": "10",
		"bounds.version_ms": "5000", "limits.memory_mb": "284", "limits.cpu_share": "0.4", "platform.address": i.storeAddress,
	}
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		v, ok := values[strings.Trim(p, "{}")]
		if !ok {
			unable("the template has an unknown placeholder %s", p)
		}
		return v
	})
}

// start starts the process with the command of the deploy file.
func (i *instance) start() {
	path := filepath.Join(i.sys.dir, i.name+".ini")
	if err := os.WriteFile(path, []byte(i.settings()), 0o600); err != nil {
		unable("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(i.sys.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("%v", err)
	}
	cmd := exec.Command(filepath.Join(i.sys.root, "target", "railentry"), "--settings", path)
	cmd.Dir, cmd.Stdout, cmd.Stderr = i.sys.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.sys.dir}
	if err := cmd.Start(); err != nil {
		unable("%v", err)
	}
	running.Lock()
	running.list[cmd] = true
	running.Unlock()
	done := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.done, i.starts = cmd, done, i.starts+1
	i.mu.Unlock()
	i.sys.note("instance %s started, pid %d", i.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		log.Close()
		running.Lock()
		delete(running.list, cmd)
		running.Unlock()
		i.sys.note("instance %s ended: %v", i.name, err)
		close(done)
		i.mu.Lock()
		again := i.restart
		i.mu.Unlock()
		if again {
			time.Sleep(i.restartAfter)
			i.start()
		}
	}()
}

func (i *instance) ended() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.restart = false
	if i.done == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	return i.done
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sys.note("instance %s gets signal %v", i.name, s)
	i.cmd.Process.Signal(s)
}

func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Pid
}

func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + i.ready + "/bamboorail/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (s *system) awaitReady(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, i := range s.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				unable("instance %s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("all instances are ready")
}

// configure writes the operator's first configuration: a model service and a plain one.
func (s *system) configure() {
	s.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route("r-stream", "/lohu930/", "streaming", 15000, 600, 1, "huvo11a", 2, true),
			route("r-draft", "/wodra17/", "streaming", 25000, 1000, 1, "huvo11a", 2, true),
			route("r-save", "/puxa403/", "non_idempotent", 2000, 300, 2, "wuno96b", 1, false),
			route("r-upload", "/puxa405/", "non_idempotent", 14000, 5000, 2, "wuno96b", 1, false),
			route("r-page", "/cufi504/", "idempotent", 2000, 300, 2, "wuno96b", 2, false),
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 129183, "kv_token_bytes": 163840, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 2, "upper_bound": 12,
				"host_mb": 140000.0, "disk_mb": 400000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models":     []any{map[string]any{"name": model, "weights_mb": 72700.0, "load_s": 0.81, "adapters": 3000, "adapter_mb": 66.0, "warmup_s": 1.3, "disk_load_s": 1.7}},
				"weights_mb": 75600.0, "adapter_slots": 21, "loads_per_s": 2.8,
			}},
			map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func route(name, prefix, kind string, timeout, aim, priority int, service string, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout, "target_latency_ms": aim, "priority": priority,
		"service": service, "max_attempts": attempts, "sticky": kind == "streaming",
	}
	if kind == "streaming" {
		r["resumable"], r["target_gap_ms"] = resumable, 250
	}
	return r
}

// modelEngine starts an engine of the model service.
func (s *system) modelEngine(id, zone, software string, pace time.Duration, length int) *engine {
	e := &engine{sys: s, id: id, service: "huvo11a", zone: zone, software: software, model: model, slots: 64, pace: pace, work: 100 * time.Millisecond, length: length, down: 3 * time.Second}
	e.start()
	s.note("engine %s (%s) registers in %s", id, software, zone)
	return e
}

// plainEngine starts a server of the plain service.
func (s *system) plainEngine(id, zone string, slots int, work time.Duration) *engine {
	e := &engine{sys: s, id: id, service: "wuno96b", zone: zone, software: "v1", slots: slots, work: work, down: 3 * time.Second}
	e.start()
	return e
}

// warmUp waits until a stream begins at each instance.
func (s *system) warmUp(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, i := range s.instances {
		for {
			ctx, cancel := context.WithCancel(context.Background())
			st := newStream(s, "/lohu930/2f", "5c1e07a2:800,"+newID()+":250", 10*time.Second, 3*time.Second)
			done := make(chan result, 1)
			go func() { done <- st.try(ctx, i.front) }()
			ok := false
			for n := 0; n < 60 && !ok; n++ {
				time.Sleep(50 * time.Millisecond)
				ok = st.lastEvent() > 0
				if len(done) > 0 {
					break
				}
			}
			cancel()
			<-done
			if ok {
				break
			}
			if time.Now().After(deadline) {
				unable("no stream begins at %s", i.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	s.note("streams begin at all instances")
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE ROOT RECORD")
		os.Exit(cannot)
	}
	cases := map[string]func(root, record string) int{
		"restarted-between-versions": restartedBetweenVersions,
		"frozen-before-versions":     frozenBeforeVersions,
		"brittle-engines":            brittleEngines,
		"queued-version":             queuedVersion,
		"large-bodies":               largeBodies,
		"restarted-beside-poison":    restartedBesidePoison,
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		unable("no case %q", os.Args[1])
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		unable("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { unable("the case takes too long") })
	os.Exit(f(os.Args[2], os.Args[3]))
}
