package settings

import (
	"os"
	"time"

	"bamboorail.example/bamboorail"
)

// LogLevels are the accepted log levels.
var LogLevels = []string{"trace", "debug", "info", "warn", "error", "off"}

// TLS names the files of a TLS identity. All are empty without TLS.
type TLS struct {
	Certificate string
	Key         string
	// Authorities holds the CA certificates that verify the other side, if it
	// is to be verified.
	Authorities string
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" || t.Authorities != "" }

// Log configures the log of a program.
type Log struct {
	Level string
	JSON  bool
}

// Entry is the configuration of railentry unless it runs as a gateway.
type Entry struct {
	Instance string
	Zone     string
	// Region groups availability zones whose engines serve each other's callers
	// and share a weight store.
	Region string

	CallerAddress   string
	OperatorAddress string
	MetricsAddress  string
	PeerAddress     string
	// PeerAnnounce is the address at which peers reach this instance, if it
	// differs from PeerAddress.
	PeerAnnounce string
	// Seeds are peers from which the configuration is read if the platform is
	// unavailable.
	Seeds []string

	PlatformURL         string
	OperatorTokenSHA256 string

	MaxBody      int64
	DrainTimeout time.Duration
	// ReadinessDelay is the time for which a leaving instance that reports not
	// ready still accepts requests, until the load balancer has noticed.
	ReadinessDelay     time.Duration
	MaxConcurrentLoads int
	Policy             string
	TraceCapacity      int

	CallerTLS   TLS
	OperatorTLS TLS
	MetricsTLS  TLS
	PeerTLS     TLS
	PlatformTLS TLS
	TargetTLS   TLS

	Log Log
}

const (
	defaultMaxBody        = 1 << 20
	defaultDrainTimeout   = 10 * time.Minute
	defaultReadinessDelay = 5 * time.Second
	defaultTraceCapacity  = 4096
)

// ReadEntry reads and checks the settings of railentry.
func ReadEntry(path string) (Entry, error) {
	f, err := Open(path)
	if err != nil {
		return Entry{}, err
	}
	e := Entry{
		Instance:            f.Name("instance", "name"),
		Zone:                f.Name("instance", "availability-zone"),
		CallerAddress:       f.Address("callers", "address"),
		MaxBody:             f.Size("callers", "max-body", defaultMaxBody),
		OperatorAddress:     f.Address("operators", "address"),
		OperatorTokenSHA256: f.Digest("operators", "token-sha256"),
		MetricsAddress:      f.Address("metrics", "address"),
		PeerAddress:         f.Address("peers", "address"),
		Seeds:               f.Addresses("peers", "seeds"),
		PlatformURL:         f.URL("platform", "url"),
		DrainTimeout:        f.Duration("instance", "drain-timeout", defaultDrainTimeout),
		ReadinessDelay:      f.Duration("instance", "readiness-delay", defaultReadinessDelay),
		Policy:              f.OneOf("placement", "policy", "weighted", "weighted", "naive"),
		MaxConcurrentLoads:  f.Int("placement", "loads-at-once", 1, 1),
		TraceCapacity:       f.Int("traces", "capacity", defaultTraceCapacity, 1),
		CallerTLS:           f.tls("callers"),
		OperatorTLS:         f.tls("operators"),
		MetricsTLS:          f.tls("metrics"),
		PeerTLS:             f.tls("peers"),
		PlatformTLS:         f.tls("platform"),
		TargetTLS:           f.tls("targets"),
		Log:                 f.log(),
	}
	if e.Region = f.String("instance", "region", e.Zone); e.Region != "" && !bamboorail.ValidName(e.Region) {
		f.Errorf("instance", "region", "%q is not a valid name", e.Region)
	}
	if e.PeerAnnounce = f.String("peers", "announce", ""); e.PeerAnnounce != "" {
		f.checkAddress("peers", "announce", e.PeerAnnounce)
	}
	return e, f.Check()
}

func (f *File) log() Log {
	return Log{Level: f.OneOf("log", "level", "info", LogLevels...), JSON: f.Bool("log", "json", false)}
}

// tls reads the TLS keys of a section. A certificate requires a private key.
func (f *File) tls(section string) TLS {
	t := TLS{
		Certificate: f.String(section, "tls-certificate", ""),
		Key:         f.String(section, "tls-key", ""),
		Authorities: f.String(section, "tls-authorities", ""),
	}
	if (t.Certificate == "") != (t.Key == "") {
		f.Errorf(section, "tls-certificate", "tls-certificate and tls-key must be given together")
	}
	for key, path := range map[string]string{"tls-certificate": t.Certificate, "tls-key": t.Key, "tls-authorities": t.Authorities} {
		if path == "" {
			continue
		}
		if _, err := os.Stat(path); err != nil {
			f.Errorf(section, key, "%v", err)
		}
	}
	return t
}
