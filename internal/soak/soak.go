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
	// loaders and repeaters are the callers of a small cluster; a large one has
	// a loader for each instance, up to maxLoaders.
	loaders    = 6
	maxLoaders = 60
	repeaters  = 2
	// faultStream is the random stream of the faults; the callers have the lower
	// ones.
	faultStream = 1000
)

// Options describe a run.
type Options struct {
	// Bin is the directory of the programs, Dir the one of settings and logs.
	Bin, Dir string
	Seed     uint64
	// Instances is at least 4; they are spread over Zones.
	Instances, Zones int
	// Duration is the time in which faults begin.
	Duration time.Duration
	// Out gets a line for each fault.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed      uint64
	Processes int
	// Answers, Refusals and Failures count requests that were answered, refused,
	// and cut off; Crossings those of the last that met the close of an idle
	// connection.
	Answers, Refusals, Failures, Crossings int
	Calls                                  int
	// Takeover is the time from the kill of an owner to the next one, Served that
	// to an answer of every model at another instance of its zone.
	Takeover, Served time.Duration
	// Violations are the promises that were broken.
	Violations []string
}

// Run plays one seed. Its error means that the run itself failed.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Instances < baseInstances || o.Zones < 1 || o.Zones > o.Instances/2 {
		return Report{}, fail("run", "%d instances in %d zones: want at least %d instances, and 2 in each zone", o.Instances, o.Zones, baseInstances)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLedger()
	c, err := newCluster(ctx, o, l)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return Report{}, err
	}
	if err := c.recovered(ctx, "start"); err != nil {
		return Report{}, err
	}
	calling, hangUp := context.WithCancel(ctx)
	defer hangUp()
	callers := duty.NewGroup(calling)
	callers.Start("stalls", l.watchStalls)
	count := uint64(max(loaders, min(maxLoaders, o.Instances)))
	for n := range count {
		callers.Start("load", l.load(c.nodes, o.Seed, n))
	}
	for n := range uint64(repeaters) {
		callers.Start("repeat", l.repeat(c.nodes, o.Seed, count+n))
	}
	faults := c.schedule(rand.New(rand.NewPCG(o.Seed, faultStream)), o.Duration)
	report := func(format string, a ...any) {
		// The report of a fault is not worth the end of a run.
		_, _ = fmt.Fprintf(o.Out, format+"\n", a...)
	}
	if err := c.inject(ctx, l, faults, report); err != nil {
		l.violate("%v", err)
	}
	var takeover, served time.Duration
	if err := c.recovered(ctx, "faults"); err != nil {
		l.violate("no recovery after the faults: %v", err)
	} else if err := c.owned(ctx); err != nil {
		l.violate("no recovery after the faults: %v", err)
	} else {
		takeover, served = c.killOwner(ctx, report)
	}
	report("%s every instance leaves", time.Now().Format("15:04:05.000"))
	c.leave(ctx)
	hangUp()
	_ = callers.Wait() // the callers end with their context
	c.check(ctx)
	c.judgeLeaves()
	c.stop()
	for _, p := range c.all {
		if how := p.ends(); how != "" {
			l.violate("%s %s", p.name, how)
		}
	}
	r := l.report(o.Seed)
	r.Processes, r.Takeover, r.Served = len(c.all), takeover, served
	return r, nil
}

// recovered waits until every instance serves every model, those released
// during the run too.
func (c *cluster) recovered(ctx context.Context, after string) error {
	waiting := make([]*duty.Task, 0, len(c.nodes))
	for _, v := range c.nodes {
		waiting = append(waiting, duty.Start(ctx, v.name, func(ctx context.Context) error {
			return c.serves(ctx, v, after)
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

// serves waits until an instance serves every model.
func (c *cluster) serves(ctx context.Context, v *node, after string) error {
	client := newClient()
	for n, m := range c.ledger.active() {
		tries := 0
		err := await(ctx, v.name+" to serve "+m.name, func() bool {
			tries++
			return c.ledger.complete(ctx, client, v, m, fmt.Sprintf("%s-%s-%d-%d", after, v.name, n, tries), tokens, n%2 == 0)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// check compares what targets saw with what callers were told.
func (c *cluster) check(ctx context.Context) {
	l := c.ledger
	for n, u := range c.engineURLs {
		var evicted []json.RawMessage
		if err := getJSON(ctx, u+"/violations", &evicted); err != nil || len(evicted) > 0 {
			l.violate("engine %d evicted adapters under requests: %s (%v)", n+1, evicted, err)
		}
	}
	l.compare(c.counts(ctx, c.appURLs, "/runs"), c.counts(ctx, c.engineURLs, "/starts"))
}

// counts sums up how often targets ran each request id.
func (c *cluster) counts(ctx context.Context, urls []string, path string) map[string]int {
	sum := map[string]int{}
	for _, u := range urls {
		var counts map[string]int
		if err := getJSON(ctx, u+path, &counts); err != nil {
			c.ledger.violate("counts of a target: %v", err)
		}
		for id, n := range counts {
			sum[id] += n
		}
	}
	return sum
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
