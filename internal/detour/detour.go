// Package detour forwards calls through other instances while this one is partitioned
// from all targets. It finds that out from the connections that calls open, and from
// probes of other targets once one has failed.
package detour

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// probeInterval is the interval between two rounds of probes, probeTimeout bounds
	// one. A round connects to probeCount targets, of which localProbes are in the local
	// zone, which a partition between zones does not affect; it sends no requests.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	probeCount    = 4
	localProbes   = 2
	// neighborInterval is the interval at which a partitioned instance lists its
	// neighbors, neighborTimeout bounds a list request.
	neighborInterval = time.Second
	neighborTimeout  = 300 * time.Millisecond
	// avoidTime is the time for which an instance that did not answer is not used.
	avoidTime = time.Second
	// resignDelay is the time after which a partitioned instance leaves its leases to
	// others. A process that stood still for a moment finds its links again before.
	resignDelay = time.Second
)

// Peers calls other instances.
type Peers interface {
	Forward(ctx context.Context, address string, r *wire.ForwardRequest) (*peer.ForwardStream, error)
	Neighbors(ctx context.Context, address string, r *wire.NeighborsRequest) (*wire.NeighborsReply, error)
}

// Config configures a detour.
type Config struct {
	Instance string
	// Address is the address of this instance for others.
	Address string
	// Zones are the availability zones with their leases, the local zone first.
	Zones  []lease.Zone
	Peers  Peers
	Dialer relay.Dialer
	// Targets returns all known targets.
	Targets func() []bamboorail.TargetEntry
	// Members returns the instances of the local zone that reach the targets, if this
	// instance holds the zone.
	Members func() []string
	// OnChange is called when this instance loses or finds the targets.
	OnChange func()
	Log      hclog.Logger
}

// Detour tracks the links of an instance to the targets and forwards its calls.
type Detour struct {
	Config
	links *links
	wake  chan struct{}

	mu sync.Mutex
	// neighbors are the instances of all zones that reach the targets.
	neighbors   []string
	neighborsAt time.Time
	avoided     map[string]time.Time
}

var (
	_ relay.Detour = (*Detour)(nil)
	_ relay.Dialer = (*Detour)(nil)
)

// New returns a detour whose targets count as reachable.
func New(c Config) *Detour {
	return &Detour{Config: c, links: newLinks(), wake: make(chan struct{}, 1), avoided: map[string]time.Time{}}
}

// DialContext connects to a target and records whether that is possible.
func (d *Detour) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	c, err := d.Dialer.DialContext(ctx, network, address)
	switch {
	case err == nil:
		d.recordConnected()
	case ctx.Err() == nil:
		d.links.recordFailure(address, began)
		d.wakeUp()
	}
	return c, err
}

func (d *Detour) recordConnected() {
	if d.links.partitionedFor(time.Now()) > 0 {
		d.Log.Info("targets reachable again")
		defer d.OnChange()
	}
	d.links.recordConnected(time.Now())
}

// RecordSilence records that a target did not answer, on whatever connection.
func (d *Detour) RecordSilence() {
	d.links.recordFailure("", time.Now())
	d.wakeUp()
}

func (d *Detour) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// IsPartitioned reports whether this instance reaches no target.
func (d *Detour) IsPartitioned() bool { return d.links.partitionedFor(time.Now()) > 0 }

// ShouldResign reports whether this instance should release its leases because others
// reach the targets.
func (d *Detour) ShouldResign() bool {
	if d.links.partitionedFor(time.Now()) < resignDelay {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.neighbors) > 0
}

// Run probes targets while they may be unreachable, until ctx ends.
func (d *Detour) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
		}
		resigned := false
		for d.links.isSuspected() && ctx.Err() == nil {
			d.probe(ctx)
			if d.IsPartitioned() {
				d.findNeighbors(ctx)
			}
			if d.ShouldResign() && !resigned {
				resigned = true
				d.OnChange()
			}
			if err := task.Sleep(ctx, probeInterval); err != nil {
				return err
			}
		}
	}
}

// probeTargets returns the targets of a round of probes.
func (d *Detour) probeTargets(targets []bamboorail.TargetEntry) []bamboorail.TargetEntry {
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	var list, rest []bamboorail.TargetEntry
	for _, t := range targets {
		if t.Zone == d.Zones[0].Name && len(list) < localProbes {
			list = append(list, t)
		} else {
			rest = append(rest, t)
		}
	}
	return append(list, rest[:min(len(rest), probeCount-len(list))]...)
}

// probe connects to some targets and decides.
func (d *Detour) probe(ctx context.Context) {
	targets := d.Targets()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+probeInterval)
	defer cancel()
	probes := make([]*task.Task, 0, probeCount)
	for _, t := range d.probeTargets(targets) {
		probes = append(probes, task.Start(ctx, "probe "+t.ID.Name, func(ctx context.Context) error {
			c, err := d.DialContext(ctx, "tcp", t.Address)
			if err != nil {
				return err
			}
			return c.Close()
		}))
	}
	for _, p := range probes {
		p.Join()
	}
	if d.links.isSuspected() && d.links.decide(len(targets), time.Now()) {
		d.Log.Warn("no target reachable, calls are forwarded", "targets", len(targets))
		d.findNeighbors(ctx)
		d.OnChange()
	}
}

// findNeighbors lists the instances that reach the targets, by the holders of all zones.
func (d *Detour) findNeighbors(ctx context.Context) {
	d.mu.Lock()
	recent := time.Since(d.neighborsAt) < neighborInterval
	d.mu.Unlock()
	if recent {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), neighborTimeout)
	defer cancel()
	found := make([][]string, len(d.Zones))
	questions := make([]*task.Task, 0, len(d.Zones))
	for n, z := range d.Zones {
		questions = append(questions, task.Start(ctx, "neighbors "+z.Name, func(ctx context.Context) error {
			found[n] = d.neighborsOf(ctx, z)
			return nil
		}))
	}
	for _, q := range questions {
		q.Join()
	}
	var list []string
	for _, addresses := range found {
		list = append(list, addresses...)
	}
	list = slices.DeleteFunc(list, func(address string) bool { return address == d.Address })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.neighbors, d.neighborsAt = list, time.Now()
}

// neighborsOf returns the instances of a zone that reach the targets.
func (d *Detour) neighborsOf(ctx context.Context, z lease.Zone) []string {
	if z.Name == d.Zones[0].Name && z.Lease.Leading() {
		return d.Members()
	}
	_, address := z.Lease.Holder()
	if address == "" || address == d.Address {
		return nil
	}
	reply, err := d.Peers.Neighbors(ctx, address, &wire.NeighborsRequest{Zone: z.Name, Instance: d.Instance})
	if err != nil {
		d.Log.Debug("holder names no instances", "zone", z.Name, "error", err)
		return nil
	}
	return reply.GetAddresses()
}

// Next returns an instance to forward a call to. Those of all zones share the calls, as
// few may be left in the local one.
func (d *Detour) Next(tried []string) (string, bool) {
	now := time.Now()
	if d.links.partitionedFor(now) == 0 {
		return "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := make([]string, 0, len(d.neighbors))
	for _, address := range d.neighbors {
		if now.After(d.avoided[address]) && !slices.Contains(tried, address) {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		return "", false
	}
	return usable[rand.IntN(len(usable))], true
}

// avoid does not use an instance for a while.
func (d *Detour) avoid(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for other, until := range d.avoided {
		if now.After(until) {
			delete(d.avoided, other)
		}
	}
	d.avoided[address] = now.Add(avoidTime)
}
