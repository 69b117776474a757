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

	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

const (
	// takeoverTime is the time in which the targets of a killed instance have
	// another owner (docs/OPERATING.md).
	takeoverTime = 2 * time.Second
	// ownedTime is the time in which every target has an owner once nothing is
	// disturbed: after that of the longest lease a takeover follows
	// (docs/OPERATING.md, "an instance is frozen").
	ownedTime = 15*time.Second + takeoverTime
	// beatSpace is the time between heartbeats that each peer of a region adds
	// (docs/CAPACITY.md); in a region of many instances it exceeds the second
	// that takeoverTime counts on.
	beatSpace = 75 * time.Millisecond
	// settleTime lets an owner that restarted get its share before the kill.
	settleTime = time.Second
)

// takeoverLimit returns the time that the pages give for a takeover here.
func (c *cluster) takeoverLimit() time.Duration {
	peers := c.instances * min(zonesPerRegion, c.zones) / c.zones
	return takeoverTime + max(0, time.Duration(peers)*beatSpace-time.Second)
}

// owned waits until every engine has an owner.
func (c *cluster) owned(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ownedTime)
	defer cancel()
	for n, e := range c.engines {
		v := c.nodes[n%c.zones] // an instance of the zone of the engine
		if err := await(ctx, e.name+" to have an owner", func() bool { return c.ownerOf(ctx, v, e.name) != "" }); err != nil {
			return err
		}
	}
	return nil
}

// killOwner kills an owner while nothing else is disturbed. It returns the time
// until another instance of its zone owns its engine, and until that instance
// serves every model.
func (c *cluster) killOwner(ctx context.Context, report func(format string, a ...any)) (takeover, served time.Duration) {
	if err := duty.Sleep(ctx, settleTime); err != nil {
		return 0, 0
	}
	target := c.engines[0].name
	owner := c.ownerOf(ctx, c.nodes[0], target)
	var victim, witness *node
	for n, v := range c.nodes {
		switch {
		case v.name == owner:
			victim = v
		case c.zoneOf(n) == c.zoneOf(0):
			witness = v
		}
	}
	if victim == nil || witness == nil {
		c.ledger.violate("%s has no owner after the recovery, but %q", target, owner)
		return 0, 0
	}
	// Operators see an owner at its next heartbeat, up to a second late.
	line := "target owned: target=" + target + " "
	before := map[*node]int{}
	for _, v := range c.nodes {
		before[v] = v.logged(line)
	}
	killed := time.Now()
	report("%s %s, the owner of %s, is killed", killed.Format("15:04:05.000"), owner, target)
	if !victim.stop(victim.current(), syscall.SIGKILL, killLimit) {
		c.ledger.violate("%s did not end within %s of its kill", owner, killLimit)
	}
	serving := duty.Start(ctx, "serving", func(ctx context.Context) error {
		err := c.serves(ctx, witness, "takeover")
		served = time.Since(killed)
		return err
	})
	err := await(ctx, target+" to have another owner", func() bool {
		return slices.ContainsFunc(c.nodes, func(v *node) bool { return v != victim && v.logged(line) > before[v] })
	})
	takeover = time.Since(killed)
	if limit := c.takeoverLimit(); err != nil || takeover > limit {
		c.ledger.violate("%s has no owner within %s of the kill of %s, but after %s (%v)", target, limit, owner, takeover, err)
	}
	if err := <-serving.Done(); err != nil {
		c.ledger.violate("%s does not serve after the kill of %s: %v", witness.name, owner, err)
	}
	if err := victim.start(ctx); err != nil {
		c.ledger.violate("%s did not start again: %v", owner, err)
	} else if err := c.recovered(ctx, "kill"); err != nil {
		c.ledger.violate("no recovery after the kill of an owner: %v", err)
	}
	return takeover, served
}

// ownerOf returns the owner of a target as an instance knows it.
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

// logged counts the lines of a process that have a part in common.
func (p *process) logged(part string) int {
	data, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return 0 // nothing was logged yet
	}
	return bytes.Count(data, []byte(part))
}
