package settings

import (
	"slices"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
)

// Gateway is the configuration of railentry on a platform that keeps routes
// and targets itself.
type Gateway struct {
	Instance string
	Zone     string
	// Zones are all availability zones, the own one included.
	Zones []string

	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	MetricsAddress   string

	PlatformURL string

	DrainTimeout time.Duration
	// LeaseGap is the least time between orders of two holders of a zone.
	LeaseGap time.Duration
	// ReleaseTimeout is the time in which a new adapter version is in use.
	ReleaseTimeout time.Duration
	// RetryRatio, RetrySlack and RetryWindow are the retry budget of all
	// instances together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// AdapterLoads is the number of adapters that the weight store brings at
	// full speed at once, over all engines.
	AdapterLoads int
	// MaxMemory is the limit of the process in bytes.
	MaxMemory int64
	// ProcessorShare is the part of a core that the instance may use.
	ProcessorShare float64

	Log Log
}

// Defaults of the gateway's optional settings.
const (
	defaultGatewayDrain   = 8 * time.Second
	defaultLeaseGap       = 3 * time.Second
	defaultReleaseTimeout = 5 * time.Second
	defaultRetryWindow    = 10 * time.Second
	defaultRetryRatio     = 0.2
	defaultRetrySlack     = 50
	defaultAdapterLoads   = 8
	defaultGatewayMemory  = 256 << 20
	defaultProcessorShare = 1
)

// IsGateway reports whether a settings file configures a gateway.
func IsGateway(path string) (bool, error) {
	f, err := Open(path)
	if err != nil {
		return false, err
	}
	return slices.Contains(f.Sections("gateway"), "gateway"), nil
}

// ReadGateway reads and checks the settings of a gateway.
func ReadGateway(path string) (Gateway, error) {
	f, err := Open(path)
	if err != nil {
		return Gateway{}, err
	}
	const section = "gateway"
	g := Gateway{
		Instance:         f.Name("instance", "name"),
		Zone:             f.Name("instance", "availability-zone"),
		DrainTimeout:     f.Duration("instance", "drain-timeout", defaultGatewayDrain),
		CallerAddress:    f.Address(section, "callers"),
		ReadinessAddress: f.Address(section, "readiness"),
		PeerAddress:      f.Address(section, "peers"),
		MetricsAddress:   f.Address(section, "metrics"),
		LeaseGap:         f.Duration(section, "lease-gap", defaultLeaseGap),
		ReleaseTimeout:   f.Duration(section, "release-timeout", defaultReleaseTimeout),
		RetryRatio:       f.Float(section, "retry-ratio", defaultRetryRatio),
		RetrySlack:       f.Float(section, "retry-slack", defaultRetrySlack),
		RetryWindow:      f.Duration(section, "retry-window", defaultRetryWindow),
		AdapterLoads:     f.Int(section, "adapter-loads", defaultAdapterLoads, 1),
		MaxMemory:        f.Size(section, "max-memory", defaultGatewayMemory),
		ProcessorShare:   f.Float(section, "processor-share", defaultProcessorShare),
		PlatformURL:      f.URL("platform", "url"),
		Log:              f.log(),
	}
	for zone := range strings.SplitSeq(f.Required(section, "zones"), ",") {
		zone = strings.TrimSpace(zone)
		if !bamboorail.ValidName(zone) {
			f.Faultf(section, "zones", "%q is not a valid name", zone)
		}
		g.Zones = append(g.Zones, zone)
	}
	if !slices.Contains(g.Zones, g.Zone) {
		f.Faultf(section, "zones", "the zone %q of the instance is missing", g.Zone)
	}
	return g, f.Check()
}
