package gateway

import (
	"bamboorail.example/bamboorail/internal/detour"
)

// newDetour returns the detour of this instance.
func (g *Gateway) newDetour() *detour.Detour {
	zones := make([]detour.Zone, 0, len(g.holders))
	for _, h := range g.holders {
		zones = append(zones, detour.Zone{Name: h.Zone, Lease: h.Lease})
	}
	return detour.New(detour.Config{
		Instance: g.initial.Instance, Address: g.initial.PeerAddress, Zones: zones, Peers: g.peers, Dialer: g.platform.Dialer,
		Targets: g.fleet.Targets, Members: g.mirror.Members, OnChange: g.reachabilityChanged, Log: g.logs.Layer("detour"),
	})
}

// reachabilityChanged acts on the loss or the return of the links to the targets.
func (g *Gateway) reachabilityChanged() {
	g.relay.CloseIdle()
	g.elector.PollNow()
}
