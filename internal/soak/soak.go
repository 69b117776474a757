package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"bamboorail.example/bamboorail/internal/task"
)

const (
	// loaders and repeaters are the numbers of callers for a small cluster; a
	// large one has one loader per instance, up to maxLoaders.
	loaders    = 6
	maxLoaders = 60
	repeaters  = 2
	// faultStream is the PCG stream for drawing faults; callers use lower stream
	// numbers.
	faultStream = 1000
)

// Options configures a run.
type Options struct {
	// Bin is the directory of the binaries, Dir that of settings and logs.
	Bin, Dir string
	Seed     uint64
	// Instances is at least 4; they are spread over Zones.
	Instances, Zones int
	// Duration is the period during which faults are started.
	Duration time.Duration
	// Out receives a line for each fault.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed      uint64
	Processes int
	// Answers, Refusals and Failures count requests that were answered, refused
	// and interrupted. IdleCloseRaces counts the interrupted ones that raced with
	// the server closing an idle connection.
	Answers, Refusals, Failures, IdleCloseRaces int
	Calls                                       int
	// Takeover is the time from killing an owner until another instance owns the
	// target; Served is the time until another instance in its zone has answered
	// for every model.
	Takeover, Served time.Duration
	// Violations describes each violated guarantee.
	Violations []string
}

// Run executes the run for one seed. An error means that the run itself failed;
// violated guarantees are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Instances < baseInstances || o.Zones < 1 || o.Zones > o.Instances/2 {
		return Report{}, fail("run", "%d instances in %d zones: want at least %d instances, and 2 in each zone", o.Instances, o.Zones, baseInstances)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newRecorder()
	c, err := newCluster(ctx, o, l)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return Report{}, err
	}
	if err := c.awaitRecovery(ctx, "start"); err != nil {
		return Report{}, err
	}
	calling, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := task.NewGroup(calling)
	callers.Start("stalls", l.watchStalls)
	count := uint64(max(loaders, min(maxLoaders, o.Instances)))
	for n := range count {
		callers.Start("load", l.sendCompletions(c.nodes, o.Seed, n))
	}
	for n := range uint64(repeaters) {
		callers.Start("repeat", l.sendRepeatedCalls(c.nodes, o.Seed, count+n))
	}
	faults := c.schedule(rand.New(rand.NewPCG(o.Seed, faultStream)), o.Duration)
	report := func(format string, a ...any) {
		// A failure to write the fault log does not abort the run.
		_, _ = fmt.Fprintf(o.Out, format+"\n", a...)
	}
	if err := c.inject(ctx, l, faults, report); err != nil {
		l.addViolation("%v", err)
	}
	var takeover, served time.Duration
	if err := c.awaitRecovery(ctx, "faults"); err != nil {
		l.addViolation("cluster did not recover after fault injection: %v", err)
	} else if err := c.awaitOwners(ctx); err != nil {
		l.addViolation("cluster did not recover after fault injection: %v", err)
	} else {
		takeover, served = c.killOwner(ctx, report)
	}
	report("%s shutting down all instances", time.Now().Format("15:04:05.000"))
	c.shutDown(ctx)
	stopCallers()
	_ = callers.Wait() // callers return when their context is canceled
	c.check(ctx)
	c.checkShutdownTimes()
	c.stop()
	for _, p := range c.all {
		if how := p.unexpectedExits(); how != "" {
			l.addViolation("%s %s", p.name, how)
		}
	}
	r := l.report(o.Seed)
	r.Processes, r.Takeover, r.Served = len(c.all), takeover, served
	return r, nil
}

// awaitRecovery waits until every instance serves every model, including those
// released during the run.
func (c *cluster) awaitRecovery(ctx context.Context, after string) error {
	waiting := make([]*task.Task, 0, len(c.nodes))
	for _, v := range c.nodes {
		waiting = append(waiting, task.Start(ctx, v.name, func(ctx context.Context) error {
			return c.awaitServing(ctx, v, after)
		}))
	}
	var failure error
	for _, d := range waiting {
		if err := <-d.Done(); err != nil && failure == nil {
			failure = err
		}
	}
	return failure
}

// awaitServing waits until an instance serves every model.
func (c *cluster) awaitServing(ctx context.Context, v *node, after string) error {
	client := newClient()
	for n, m := range c.recorder.active() {
		tries := 0
		err := await(ctx, v.name+" to serve "+m.name, func() bool {
			tries++
			return c.recorder.checkCompletion(ctx, client, v, m, fmt.Sprintf("%s-%s-%d-%d", after, v.name, n, tries), tokens, n%2 == 0)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// check compares executions on targets with the outcomes returned to callers.
func (c *cluster) check(ctx context.Context) {
	l := c.recorder
	for n, u := range c.engineURLs {
		var evicted []json.RawMessage
		if err := getJSON(ctx, u+"/violations", &evicted); err != nil || len(evicted) > 0 {
			l.addViolation("engine %d evicted adapters in use by requests: %s (%v)", n+1, evicted, err)
		}
	}
	l.checkExecutions(c.counts(ctx, c.appURLs, "/runs"), c.counts(ctx, c.engineURLs, "/starts"))
}

// counts returns the number of executions of each request ID over all targets.
func (c *cluster) counts(ctx context.Context, urls []string, path string) map[string]int {
	sum := map[string]int{}
	for _, u := range urls {
		var counts map[string]int
		if err := getJSON(ctx, u+path, &counts); err != nil {
			c.recorder.addViolation("reading execution counts from a target: %v", err)
		}
		for id, n := range counts {
			sum[id] += n
		}
	}
	return sum
}

// get sends a GET request to a process and returns status and body.
func get(ctx context.Context, url string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func getJSON(ctx context.Context, url string, v any) error {
	_, data, err := get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
