package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const gatewaySettings = `[instance]
name = node-1
availability-zone = z-a
drain-timeout = 8s

[gateway]
zones = z-a,z-b
callers = 10.0.0.1:8149
readiness = 10.0.0.1:8141
peers = 10.0.0.1:7380
metrics = 10.0.0.1:7381
lease-gap = 3000ms
retry-ratio = 0.2
retry-slack = 52
retry-window = 10s
release-timeout = 5000ms
max-memory = 284MiB
processor-share = 0.4

[platform]
url = http://10.0.0.9:8142

[log]
level = info
json = yes
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "railentry.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReadGateway(t *testing.T) {
	path := writeSettings(t, gatewaySettings)
	if is, err := IsGateway(path); !is || err != nil {
		t.Fatalf("gateway %t, %v", is, err)
	}
	g, err := ReadGateway(path)
	if err != nil {
		t.Fatal(err)
	}
	if g.ShareTargets {
		t.Error("targets are shared by default")
	}
	if g.Zone != "z-a" || len(g.Zones) != 2 || g.RetrySlack != 52 || g.LeaseGap != 3*time.Second || g.MaxMemory != 284<<20 || g.ProcessorShare != 0.4 || g.AdapterLoads != 0 {
		t.Errorf("settings %+v", g)
	}
}

func TestGatewayErrors(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"own zone is missing":  {"zones = z-a,z-b", "zones = z-b", "the zone \"z-a\" of the instance is missing"},
		"no adapter loads":     {"retry-ratio = 0.2", "adapter-loads = 0", "is not a whole number of at least 1"},
		"zone is not a name":   {"zones = z-a,z-b", "zones = z-a,/", "is not a valid name"},
		"ratio is negative":    {"retry-ratio = 0.2", "retry-ratio = -1", "is not a number of at least 0"},
		"ratio is text":        {"retry-ratio = 0.2", "retry-ratio = few", "is not a number of at least 0"},
		"no callers' address":  {"callers = 10.0.0.1:8149\n", "", "callers: is required"},
		"address is a name":    {"callers = 10.0.0.1", "callers = host", "is not an address"},
		"unknown key":          {"retry-ratio", "retry-rate", "unknown key"},
		"duration has no unit": {"lease-gap = 3000ms", "lease-gap = 3000", "is not a duration"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ReadGateway(writeSettings(t, strings.Replace(gatewaySettings, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestShareTargetsIsRead guards against a setting that has no effect.
func TestShareTargetsIsRead(t *testing.T) {
	g, err := ReadGateway(writeSettings(t, strings.Replace(gatewaySettings, "max-memory", "share-targets = yes\nmax-memory", 1)))
	if err != nil || !g.ShareTargets {
		t.Errorf("share-targets %t, %v", g.ShareTargets, err)
	}
}
