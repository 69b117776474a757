package soak

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

const (
	// takeoverTimeout is the time within which the targets of a killed instance get
	// another owner (docs/OPERATING.md).
	takeoverTimeout = 2 * time.Second
	// ownerTimeout is the time within which every target has an owner once no fault is
	// active: the longest lease expires, then a takeover follows
	// (docs/OPERATING.md, "an instance is frozen").
	ownerTimeout = 15*time.Second + takeoverTimeout
	// heartbeatSpacing is the heartbeat interval added by each peer in a region
	// (docs/CAPACITY.md). In a region of many instances the interval exceeds the
	// second that takeoverTimeout assumes.
	heartbeatSpacing = 75 * time.Millisecond
	// settleTime lets a restarted instance acquire its share of targets before
	// the owner is killed.
	settleTime = time.Second
)

// takeoverLimit returns the documented takeover limit for this cluster.
func (c *cluster) takeoverLimit() time.Duration {
	peers := c.instances * min(zonesPerRegion, c.zones) / c.zones
	return takeoverTimeout + max(0, time.Duration(peers)*heartbeatSpacing-time.Second)
}

// awaitOwners waits until every engine has an owner.
func (c *cluster) awaitOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for n, e := range c.engines {
		v := c.nodes[n%c.zones] // an instance in the zone of the engine
		if err := await(ctx, e.name+" to have an owner", func() bool { return c.ownerOf(ctx, v, e.name) != "" }); err != nil {
			return err
		}
	}
	return nil
}

// killOwner kills an owner while no other fault is active. It returns the time
// until another instance in its zone owns its engine, and the time until that
// instance serves every model.
func (c *cluster) killOwner(ctx context.Context, report func(format string, a ...any)) (takeover, served time.Duration) {
	if err := task.Sleep(ctx, settleTime); err != nil {
		return 0, 0
	}
	target := c.engines[0].name
	owner := c.ownerOf(ctx, c.nodes[0], target)
	var victim, successor *node
	for n, v := range c.nodes {
		switch {
		case v.name == owner:
			victim = v
		case c.zoneOf(n) == c.zoneOf(0):
			successor = v
		}
	}
	if victim == nil || successor == nil {
		c.recorder.addViolation("%s: after recovery no instance is its owner (reported %q), or its zone has no second instance", target, owner)
		return 0, 0
	}
	// The log is read because the operator API shows a new owner only at its next
	// heartbeat, up to a second late.
	line := "target owned: target=" + target + " "
	before := map[*node]int{}
	for _, v := range c.nodes {
		before[v] = v.countLogLines(line)
	}
	killed := time.Now()
	report("%s killing %s, the owner of %s", killed.Format("15:04:05.000"), owner, target)
	if !victim.stop(victim.current(), syscall.SIGKILL, killLimit) {
		c.recorder.addViolation("%s did not exit within %s of SIGKILL", owner, killLimit)
	}
	serving := task.Start(ctx, "serving", func(ctx context.Context) error {
		err := c.awaitServing(ctx, successor, "takeover")
		served = time.Since(killed)
		return err
	})
	err := await(ctx, target+" to have another owner", func() bool {
		return slices.ContainsFunc(c.nodes, func(v *node) bool { return v != victim && v.countLogLines(line) > before[v] })
	})
	takeover = time.Since(killed)
	if limit := c.takeoverLimit(); err != nil || takeover > limit {
		c.recorder.addViolation("%s: no takeover within %s of killing %s: took %s (%v)", target, limit, owner, takeover, err)
	}
	if err := <-serving.Done(); err != nil {
		c.recorder.addViolation("%s does not serve all models after %s was killed: %v", successor.name, owner, err)
	}
	if err := victim.start(ctx); err != nil {
		c.recorder.addViolation("restarting %s: %v", owner, err)
	} else if err := c.awaitRecovery(ctx, "kill"); err != nil {
		c.recorder.addViolation("cluster did not recover after an owner was killed: %v", err)
	}
	return takeover, served
}

// ownerOf returns the owner of a target as reported by an instance.
func (c *cluster) ownerOf(ctx context.Context, v *node, target string) string {
	list, err := operatorapi.NewClient("http://"+v.operators, operatorToken, http.DefaultTransport).Targets(ctx)
	if err != nil {
		return ""
	}
	for _, t := range list {
		if t.Name == target {
			return t.Owner
		}
	}
	return ""
}

// countLogLines counts the occurrences of a string in the log of a process.
func (p *process) countLogLines(part string) int {
	data, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return 0 // no log file yet
	}
	return bytes.Count(data, []byte(part))
}
