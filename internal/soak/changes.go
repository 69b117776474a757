package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bamboorail.example/bamboorail/pkg/operatorapi"
)

// changeTimeout bounds one attempt to commit a change; the next attempt goes to
// another instance.
const changeTimeout = 3 * time.Second

// adapters are declared with versions v1 and v2; releases add further versions.
var adapters = []string{"suhrn", "varovania", "stitky"}

// changes counts the configuration changes made by the faults of a run.
type changes struct {
	mu sync.Mutex
	// releaseLocks serializes the releases of each adapter, since its record lists all
	// versions.
	releaseLocks [3]sync.Mutex
	releases     [3]int
	drains       int
}

// count increments a counter and returns its new value.
func (c *changes) count(counter *int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
	return *counter
}

// commit sends a change to one instance after another until it is accepted. All
// attempts have the same ID, since a response may be lost.
func (c *cluster) commit(ctx context.Context, id string, records ...string) error {
	change := operatorapi.Change{ID: id}
	for _, r := range records {
		change.Apply = append(change.Apply, json.RawMessage(r))
	}
	var last error
	try := func(v *node) error {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		client := operatorapi.NewClient("http://"+v.operators, operatorToken, http.DefaultTransport)
		list, err := client.Records(ctx, "", "")
		if err != nil {
			return err
		}
		change.Base = list.Revision
		_, err = client.Commit(ctx, change)
		return err
	}
	n := len(id) // start with a different instance for each change
	err := await(ctx, "change "+id+" to be accepted", func() bool {
		n++
		last = try(c.nodes[n%len(c.nodes)])
		return last == nil
	})
	if err != nil {
		return fail("commit", "%w: %w", err, last)
	}
	return nil
}

// release adds a new version of an adapter and retires the previous release.
func (c *cluster) release(adapter int) fault {
	return fault{
		name: "release of " + adapters[adapter], lasts: time.Millisecond,
		do: func(ctx context.Context) error {
			c.changes.releaseLocks[adapter].Lock()
			defer c.changes.releaseLocks[adapter].Unlock()
			n, name, retired := c.changes.count(&c.changes.releases[adapter]), adapters[adapter], ""
			if n > 1 {
				retired = fmt.Sprintf(`,{"name":"r%d","state":"retired"}`, n-1)
			}
			err := c.commit(ctx, fmt.Sprintf("release-%s-%d", name, n), fmt.Sprintf(
				`{"schema-version":1,"kind":"adapter","name":%q,"base-model":"zaklad","versions":[{"name":"v1"},{"name":"v2"}%s,{"name":"r%d"}]}`,
				name, retired, n))
			if err == nil {
				c.recorder.recordRelease(fmt.Sprintf("%s@r%d", name, n), fmt.Sprintf("%s@r%d", name, n-1))
			}
			return err
		},
	}
}

// drainTarget sets a target to draining until the fault is undone.
func (c *cluster) drainTarget(n int) fault {
	declare := func(ctx context.Context, state string) error {
		id := fmt.Sprintf("target-%d-%s-%d", n, state, c.changes.count(&c.changes.drains))
		return c.commit(ctx, id, fmt.Sprintf(c.records[n], state))
	}
	return fault{
		name: fmt.Sprintf("operators drain target %d", n+1),
		do:   func(ctx context.Context) error { return declare(ctx, "draining") },
		undo: func(ctx context.Context) error { return declare(ctx, "active") },
	}
}
