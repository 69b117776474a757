package gateway

import (
	"bamboorail.example/bamboorail/internal/origin"
	"bamboorail.example/bamboorail/internal/placer"
)

// originZones returns the zones of the holders for the registry of stream origins.
func originZones(holders []placer.ZoneHolder) []origin.Zone {
	zones := make([]origin.Zone, 0, len(holders))
	for _, h := range holders {
		zones = append(zones, origin.Zone{Name: h.Zone, Lease: h.Lease})
	}
	return zones
}
