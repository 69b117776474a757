package gateway

import (
	"context"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/detour"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/origin"
)

// leaseZones returns the availability zones with their leases, the local one first.
func (g *Gateway) leaseZones() []lease.Zone {
	zones := make([]lease.Zone, 0, len(g.holders))
	for _, h := range g.holders {
		zones = append(zones, lease.Zone{Name: h.Zone, Lease: h.Lease})
	}
	return zones
}

// newOrigins returns the origins of streams that this instance records and stores.
func (g *Gateway) newOrigins() *origin.Registry {
	return origin.New(origin.Config{
		Instance: g.initial.Instance, Zones: g.leaseZones(), Peers: g.peers, Store: g.platform.Store, Kind: originKind, Fleet: g.fleet,
		Targets: g.registeredTargets, Clock: lease.BootTime, Log: g.logs.Layer("origin"),
	})
}

// registeredTargets lists the targets that the store has now.
func (g *Gateway) registeredTargets(ctx context.Context) ([]bamboorail.TargetEntry, error) {
	objects, _, err := g.platform.Store.List(ctx, g.platform.TargetKind)
	if err != nil {
		return nil, err
	}
	entries := make([]bamboorail.TargetEntry, 0, len(objects))
	for _, o := range objects {
		e, err := g.platform.Records.Target(o)
		if err != nil {
			g.log.Debug("entry of a target skipped", "key", o.Key, "error", err)
			continue
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// newDetour returns the detour of this instance.
func (g *Gateway) newDetour() *detour.Detour {
	return detour.New(detour.Config{
		Instance: g.initial.Instance, Address: g.initial.PeerAddress, Zones: g.leaseZones(), Peers: g.peers, Dialer: g.platform.Dialer,
		Targets: g.fleet.Targets, Members: g.mirror.Members, OnChange: g.reachabilityChanged, Log: g.logs.Layer("detour"),
	})
}

// reachabilityChanged acts on the loss or the return of the links to the targets.
func (g *Gateway) reachabilityChanged() {
	g.relay.CloseIdle()
	g.elector.PollNow()
}
