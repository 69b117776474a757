package placer

import (
	"fmt"
	"slices"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/relay"
)

// hasSoftware reports whether a target has the software version that a call needs.
func hasSoftware(e bamboorail.TargetEntry, a relay.ChooseRequest) bool {
	return a.Software == "" || e.Software == a.Software
}

// hasSoftware reports whether a zone has a target with the software version that a
// call needs.
func (c *Chooser) hasSoftware(a relay.ChooseRequest, zone string) bool {
	if a.Software == "" {
		return true
	}
	return slices.ContainsFunc(c.Fleet.Service(a.Service.Name), func(e bamboorail.TargetEntry) bool {
		return e.Zone == zone && hasSoftware(e, a)
	})
}

// checkSoftware returns an error if no target has the software version that a call
// needs.
func (c *Chooser) checkSoftware(a relay.ChooseRequest) error {
	if a.Software == "" {
		return nil
	}
	if slices.ContainsFunc(c.Fleet.Service(a.Service.Name), func(e bamboorail.TargetEntry) bool { return hasSoftware(e, a) }) {
		return nil
	}
	return failRetry("choose-target", bamboorail.KindNoTarget, noEngineRetry, fmt.Errorf("%w: %s", errNoSoftware, a.Software))
}
