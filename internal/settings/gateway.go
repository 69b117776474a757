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
	// Zones lists all availability zones, including Zone.
	Zones []string

	CallerAddress    string
	ReadinessAddress string
	PeerAddress      string
	MetricsAddress   string

	PlatformURL string

	DrainTimeout time.Duration
	// LeaseGap is the minimum time between the orders of successive holders of a
	// zone.
	LeaseGap time.Duration
	// ReleaseTimeout is the time within which a new adapter version must be in
	// use.
	ReleaseTimeout time.Duration
	// RetryRatio, RetrySlack and RetryWindow define the retry budget shared by
	// all instances.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// AdapterLoads is the number of concurrent adapter loads, over all engines,
	// that the weight store serves at full speed; 0 leaves it to the instances
	// to learn the number.
	AdapterLoads int
	// ShareTargets is set if the slots of plain targets under pressure are shared by all
	// instances although the configuration has no workspaces.
	ShareTargets bool
	// MaxMemory is the memory limit of the process in bytes.
	MaxMemory int64
	// ProcessorShare is the fraction of a CPU core available to the instance.
	ProcessorShare float64

	Log Log
}

// Default values of the gateway's optional settings.
const (
	defaultGatewayDrain   = 8 * time.Second
	defaultLeaseGap       = 3 * time.Second
	defaultReleaseTimeout = 5 * time.Second
	defaultRetryWindow    = 10 * time.Second
	defaultRetryRatio     = 0.2
	defaultRetrySlack     = 50
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
		AdapterLoads:     f.Int(section, "adapter-loads", 0, 1),
		ShareTargets:     f.Bool(section, "share-targets", false),
		MaxMemory:        f.Size(section, "max-memory", defaultGatewayMemory),
		ProcessorShare:   f.Float(section, "processor-share", defaultProcessorShare),
		PlatformURL:      f.URL("platform", "url"),
		Log:              f.log(),
	}
	for zone := range strings.SplitSeq(f.Required(section, "zones"), ",") {
		zone = strings.TrimSpace(zone)
		if !bamboorail.ValidName(zone) {
			f.Errorf(section, "zones", "%q is not a valid name", zone)
		}
		g.Zones = append(g.Zones, zone)
	}
	if !slices.Contains(g.Zones, g.Zone) {
		f.Errorf(section, "zones", "the zone %q of the instance is missing", g.Zone)
	}
	return g, f.Check()
}
