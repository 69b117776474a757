package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"bamboorail.example/bamboorail/internal/duty"
)

const (
	loaders   = 6
	repeaters = 2
	// faultStream is the random stream of the faults; the callers have the lower
	// ones.
	faultStream = 1000
)

// Options describe a run.
type Options struct {
	// Bin is the directory of the programs, Dir the one of settings and logs.
	Bin, Dir string
	Seed     uint64
	// Duration is the time in which faults begin.
	Duration time.Duration
	// Out gets a line for each fault.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Answers, Refusals and Failures count requests that were answered, refused,
	// and cut off.
	Answers, Refusals, Failures int
	Calls                       int
	// Violations are the promises that were broken.
	Violations []string
}

// Run plays one seed. Its error means that the run itself failed.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(ctx, o.Bin, o.Dir)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return Report{}, err
	}
	l := &ledger{calls: map[string]*callFate{}}
	if err := c.recovered(ctx, l); err != nil {
		return Report{}, err
	}
	callers := duty.NewGroup(ctx)
	for n := range uint64(loaders) {
		callers.Start("load", l.load(c.nodes, o.Seed, n))
	}
	for n := range uint64(repeaters) {
		callers.Start("repeat", l.repeat(c.nodes, o.Seed, loaders+n))
	}
	faults := c.schedule(rand.New(rand.NewPCG(o.Seed, faultStream)), o.Duration)
	report := func(format string, a ...any) {
		// The report of a fault is not worth the end of a run.
		_, _ = fmt.Fprintf(o.Out, format+"\n", a...)
	}
	if err := c.inject(ctx, faults, report); err != nil {
		l.violate("%v", err)
	}
	if err := c.recovered(ctx, l); err != nil {
		l.violate("no recovery after the faults: %v", err)
	}
	cancel()
	_ = callers.Wait() // the callers end with their context
	c.check(context.WithoutCancel(ctx), l)
	return l.report(o.Seed), nil
}

// recovered waits until every instance serves every model and calls.
func (c *cluster) recovered(ctx context.Context, l *ledger) error {
	client := newClient()
	for _, v := range c.nodes {
		for n, model := range models {
			what := v.name + " to serve " + model
			err := await(ctx, what, func() bool { return l.complete(ctx, client, v, model, fmt.Sprint("recovery", n), n%2 == 0) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// check compares what targets saw with what callers were told.
func (c *cluster) check(ctx context.Context, l *ledger) {
	for _, p := range c.all {
		if how := p.ended(); how != "" {
			l.violate("%s %s", p.name, how)
		}
	}
	for n, u := range c.engineURLs {
		var evicted []json.RawMessage
		if err := getJSON(ctx, u+"/violations", &evicted); err != nil || len(evicted) > 0 {
			l.violate("engine %d evicted adapters under requests: %s (%v)", n+1, evicted, err)
		}
	}
	l.compare(c.runs(ctx, l))
}

// runs returns how often each request id ran.
func (c *cluster) runs(ctx context.Context, l *ledger) map[string]int {
	runs := map[string]int{}
	for _, u := range c.appURLs {
		var counts map[string]int
		if err := getJSON(ctx, u+"/runs", &counts); err != nil {
			l.violate("runs of an application: %v", err)
		}
		for id, n := range counts {
			runs[id] += n
		}
	}
	return runs
}

// compare compares the runs of calls with what callers were told.
func (l *ledger) compare(runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, f := range l.calls {
		switch n := runs[id]; {
		case n > 1:
			l.violations = append(l.violations, fmt.Sprintf("call %s ran %d times: %q", id, n, f.trail))
		case n == 1 && !f.answered && !f.unclear:
			l.violations = append(l.violations, fmt.Sprintf("call %s ran, and every answer says that it did not", id))
		case n == 0 && f.answered:
			l.violations = append(l.violations, fmt.Sprintf("call %s was answered and never ran", id))
		}
	}
}

// get reads a document of a process.
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

func (l *ledger) report(seed uint64) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		Seed: seed, Answers: l.answers, Refusals: l.refusals, Failures: l.failures, Calls: len(l.calls), Violations: l.violations,
	}
}
