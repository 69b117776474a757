package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	operatorToken = "soak-operator"
	callerToken   = "soak-caller"
	serviceName   = "citaren"
	// These constants determine the size of a cluster.
	instancesPerEngine = 2
	minEngines         = 3
	zonesPerRegion     = 2
	portsPerProcess    = 6
	// pollInterval is the interval at which await checks its condition.
	pollInterval = 5 * time.Millisecond
	portTries    = 100
	// firstPort and lastPort are below the range of ephemeral ports.
	firstPort, lastPort = 12000, 32000
	// drainTimeout bounds the shutdown of an instance. It exceeds the duration of an
	// undisturbed shutdown: the readiness delay, the requests of the owners, the
	// record of the release (2 s) and the last requests of callers.
	drainTimeout = readinessDelay + 2*requestDeadline + 4*time.Second
	// readinessDelay is the time for which a terminating instance reports not ready
	// before it closes idle connections.
	readinessDelay = 300 * time.Millisecond
	// startLimit bounds the startup of the whole system on a busy machine.
	startLimit = time.Minute
)

// models are the models that callers request. There are more of them than
// engines have slots (two).
var models = []string{"suhrn@v1", "suhrn@v2", "varovania@v1", "stitky@v1"}

// node is an instance with the addresses that its clients use.
type node struct {
	*process
	callers, operators string
	// toPlatform and toPeers are the fault-injecting proxies of its links.
	toPlatform, toPeers *proxy
}

// cluster is the system under test: instances in zones in front of engines, and
// one application in each zone.
type cluster struct {
	dir, bin         string
	instances, zones int
	recorder         *recorder
	changes          changes
	proxies          *task.Group
	ports            []string
	reserved         net.Listener

	platform, weights *process
	nodes             []*node
	engines           []*process
	engineURLs        []string
	appURLs           []string
	// toTargets are the fault-injecting proxies to engines and applications.
	toTargets []*proxy
	// records are the declarations of the engines, with a format verb for the state.
	records []string
	all     []*process
}

// newCluster writes the settings and starts every process. A non-nil
// cluster returned with an error may have processes to stop.
func newCluster(ctx context.Context, o Options, l *recorder) (*cluster, error) {
	c := &cluster{
		dir: o.Dir, bin: o.Bin, instances: o.Instances, zones: o.Zones, recorder: l, proxies: task.NewGroup(ctx),
	}
	if err := c.reservePorts(ctx); err != nil {
		return nil, err
	}
	if err := c.startStandIns(ctx); err != nil {
		return c, err
	}
	if err := c.startNodes(ctx); err != nil {
		return c, err
	}
	return c, c.declare(ctx)
}

// reservePorts finds a block of free loopback ports below the ephemeral range,
// since a restarted process must be able to bind the same port again. The first
// port of the block stays bound, so that a concurrent run does not use the block.
func (c *cluster) reservePorts(ctx context.Context) error {
	portCount := portsPerProcess * (c.instances + c.engineCount() + c.zones + 2)
	for range portTries {
		first := firstPort + portCount*rand.IntN((lastPort-firstPort)/portCount)
		if c.reserveBlock(ctx, first, portCount) {
			return nil
		}
	}
	return fail("reserve-ports", "no block of %d free ports between %d and %d", portCount, firstPort, lastPort)
}

func (c *cluster) reserveBlock(ctx context.Context, first, count int) bool {
	var held []net.Listener
	release := func() {
		for _, l := range held {
			_ = l.Close()
		}
	}
	c.ports = nil
	for n := range count {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(first+n))
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			release()
			return false
		}
		held = append(held, l)
		c.ports = append(c.ports, address)
	}
	c.reserved, held, c.ports = held[0], held[1:], c.ports[1:]
	release()
	return true
}

func (c *cluster) port() string {
	p := c.ports[0]
	c.ports = c.ports[1:]
	return p
}

// proxy starts a proxy to a target.
func (c *cluster) proxy(ctx context.Context, name, target string) (*proxy, error) {
	p, err := newProxy(ctx, c.port(), target)
	if err != nil {
		return nil, err
	}
	c.proxies.Start("proxy "+name, p.run)
	return p, nil
}

// launch writes a settings file and starts a program with it.
func (c *cluster) launch(ctx context.Context, name, program string, args []string, settings string) (*process, error) {
	path := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, binary: filepath.Join(c.bin, program), args: append(args, "--settings", path), dir: c.dir}
	c.all = append(c.all, p)
	return p, p.start(ctx)
}

func (c *cluster) startStandIns(ctx context.Context) error {
	weights := c.port()
	var err error
	settings := fmt.Sprintf("[weight-store]\naddress = %s\nload-time = 100ms\n", weights)
	c.weights, err = c.launch(ctx, "weight-store", "railstand", []string{"weight-store"}, settings)
	if err != nil {
		return err
	}
	for n := range c.engineCount() {
		name, address := fmt.Sprintf("stroj-%d", n+1), c.port()
		e, err := c.launch(ctx, name, "railstand", []string{"engine"}, fmt.Sprintf(
			"[engine]\naddress = %s\nname = %s\ndialect = %s\nbase-model = zaklad\nslots = 2\nmax-batch = 8\n"+
				"step = 5ms\nprefill = 10ms\ncold-start = 300ms\nweight-store = http://%s\n",
			address, name, dialectOf(n), weights))
		if err != nil {
			return err
		}
		c.engines, c.engineURLs = append(c.engines, e), append(c.engineURLs, "http://"+address)
	}
	for n := range c.zones {
		name, address := fmt.Sprintf("citaren-%d", n+1), c.port()
		settings := fmt.Sprintf("[application]\naddress = %s\nname = %s\nrun-time = 5ms\n", address, name)
		if _, err := c.launch(ctx, name, "railstand", []string{"application"}, settings); err != nil {
			return err
		}
		c.appURLs = append(c.appURLs, "http://"+address)
	}
	for _, u := range append(append([]string(nil), c.engineURLs...), c.appURLs...) {
		if err := await(ctx, "a stand-in to listen", func() bool { return listens(ctx, u[len("http://"):]) }); err != nil {
			return err
		}
	}
	return nil
}

func listens(ctx context.Context, address string) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// dialectOf returns "status" for one engine in minEngines, "openai" otherwise.
func dialectOf(n int) string {
	if n%minEngines == 1 {
		return "status"
	}
	return "openai"
}

// engineCount returns the number of engines, at least one per zone.
func (c *cluster) engineCount() int { return max(minEngines, c.instances/instancesPerEngine, c.zones) }

func (c *cluster) zoneOf(n int) string { return fmt.Sprintf("sala-%d", n%c.zones+1) }

func (c *cluster) regionOf(n int) string { return fmt.Sprintf("kosice-%d", n%c.zones/zonesPerRegion+1) }

func (c *cluster) startNodes(ctx context.Context) error {
	address := c.port()
	settings := fmt.Sprintf("[platform]\naddress = %s\nwrites-per-second = 300\ninstance-lag = 2s\n", address)
	for n := range c.instances {
		settings += fmt.Sprintf("\n[instance vstup-%d]\navailability-zone = %s\n", n+1, c.zoneOf(n))
	}
	var err error
	if c.platform, err = c.launch(ctx, "platform", "railstand", []string{"platform"}, settings); err != nil {
		return err
	}
	if err := await(ctx, "the platform to listen", func() bool { return listens(ctx, address) }); err != nil {
		return err
	}
	for n := range c.instances {
		if err := c.startNode(ctx, n, address); err != nil {
			return err
		}
	}
	for _, v := range c.nodes {
		if err := await(ctx, v.name+" to be ready", func() bool { return v.ready(ctx) }); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startNode(ctx context.Context, n int, platformAddress string) error {
	v := &node{callers: c.port(), operators: c.port()}
	peers, name := c.port(), fmt.Sprintf("vstup-%d", n+1)
	var err error
	if v.toPlatform, err = c.proxy(ctx, name+" to the platform", platformAddress); err != nil {
		return err
	}
	if v.toPeers, err = c.proxy(ctx, "peers to "+name, peers); err != nil {
		return err
	}
	v.process, err = c.launch(ctx, name, "railentry", nil, fmt.Sprintf(
		"[instance]\nname = %s\navailability-zone = %s\nregion = %s\nreadiness-delay = %s\ndrain-timeout = %s\n\n"+
			"[callers]\naddress = %s\n\n[peers]\naddress = %s\nannounce = %s\n\n[operators]\naddress = %s\ntoken-sha256 = %s\n\n"+
			"[metrics]\naddress = %s\n\n[platform]\nurl = http://%s\n\n[log]\nlevel = info\n",
		name, c.zoneOf(n), c.regionOf(n), readinessDelay, drainTimeout, v.callers, peers, v.toPeers.address(),
		v.operators, record.HashToken(operatorToken), c.port(), v.toPlatform.address()))
	if err != nil {
		return err
	}
	// While the process is down, the proxy refuses connections from peers like a
	// closed port.
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onStart, v.onExit = v.toPeers.attach, v.toPeers.detach
	c.nodes = append(c.nodes, v)
	return nil
}

func (v *node) ready(ctx context.Context) bool {
	status, _, err := get(ctx, "http://"+v.callers+"/readyz")
	return err == nil && status == http.StatusOK
}

// declare commits the records of callers, adapters and targets.
func (c *cluster) declare(ctx context.Context) error {
	var list []string
	add := func(format string, a ...any) { list = append(list, fmt.Sprintf(format, a...)) }
	add(`{"schema-version":1,"kind":"caller","name":"soak","token-sha256":%q,"adapters":["*"],"services":["*"]}`, record.HashToken(callerToken))
	for _, name := range adapters {
		add(`{"schema-version":1,"kind":"adapter","name":%q,"base-model":"zaklad","versions":[{"name":"v1"},{"name":"v2"}]}`, name)
	}
	for n, e := range c.engines {
		p, err := c.proxy(ctx, e.name, c.engineURLs[n][len("http://"):])
		if err != nil {
			return err
		}
		c.toTargets = append(c.toTargets, p)
		c.records = append(c.records, fmt.Sprintf(`{"schema-version":1,"kind":"target","name":%q,"role":"engine","zone":%q,"url":"http://%s","dialect":%q,`+
			`"base-model":"zaklad","slots":2,"max-batch":8,"checks-fencing":%t,"state":%%q}`, e.name, c.zoneOf(n), p.address(), dialectOf(n), n%minEngines != 1))
		add(c.records[n], "active")
	}
	for n, u := range c.appURLs {
		p, err := c.proxy(ctx, "citaren", u[len("http://"):])
		if err != nil {
			return err
		}
		c.toTargets = append(c.toTargets, p)
		add(`{"schema-version":1,"kind":"target","name":"citaren-%d","role":"application","zone":%q,"url":"http://%s","service":%q,"max-batch":32}`,
			n+1, c.zoneOf(n), p.address(), serviceName)
	}
	return c.commit(ctx, "soak", list...)
}

// shutDown sends SIGTERM to all instances at once while callers keep sending
// requests, and waits until they have exited.
func (c *cluster) shutDown(ctx context.Context) {
	leaving := make([]*task.Task, 0, len(c.nodes))
	for _, v := range c.nodes {
		leaving = append(leaving, task.Start(ctx, v.name, func(context.Context) error {
			if !v.stop(v.current(), syscall.SIGTERM, endLimit) {
				c.recorder.addViolation("%s did not exit within %s of SIGTERM at the end of the run", v.name, endLimit)
			}
			return nil
		}))
	}
	for _, d := range leaving {
		d.Join()
	}
}

// checkShutdownTimes reports instances that used the whole drain timeout to shut
// down although they received only maintenance signals and no fault was active.
func (c *cluster) checkShutdownTimes() {
	for _, v := range c.nodes {
		v.mu.Lock()
		for _, l := range v.incarnations {
			planned := !l.killed && !l.paused && !l.sigtermAt.IsZero() && !l.ended.IsZero()
			if planned && l.ended.Sub(l.sigtermAt) >= drainTimeout && c.recorder.undisturbed(l.sigtermAt, l.ended) {
				c.recorder.addViolation("%s took %s to shut down, received %s", v.name, l.ended.Sub(l.sigtermAt), l.signals)
			}
		}
		v.mu.Unlock()
	}
}

// stop terminates every process that is still running.
func (c *cluster) stop() {
	for _, p := range c.all {
		l := p.current()
		// A stopped process handles SIGTERM only after SIGCONT. The process may
		// already have exited.
		_ = p.signal(l, syscall.SIGCONT)
		_ = p.signal(l, syscall.SIGTERM)
	}
	for _, p := range c.all {
		p.waitFor(p.current(), endLimit)
	}
	// The listener never accepted connections, so the error does not matter.
	_ = c.reserved.Close()
}

// await polls until a condition holds, for at most startLimit.
func await(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for !condition() {
		if err := task.Sleep(ctx, pollInterval); err != nil {
			return fail("await", "waiting for %s: %w", what, err)
		}
	}
	return nil
}
