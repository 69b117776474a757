package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// testRecords decodes objects whose value is a single digit, the version, or
// the letter l for a leaving target. An empty value is an error.
type testRecords struct{}

var errInvalidValue = errors.New("invalid value")

func (testRecords) Configuration(o bamboorail.Object) (bamboorail.Configuration, error) {
	if len(o.Value) == 0 {
		return bamboorail.Configuration{}, errInvalidValue
	}
	return bamboorail.Configuration{Version: uint64(o.Value[0] - '0')}, nil
}

func (testRecords) Target(o bamboorail.Object) (bamboorail.TargetEntry, error) {
	if len(o.Value) == 0 {
		return bamboorail.TargetEntry{}, errInvalidValue
	}
	return bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: o.Key[len("targets/"):]}, Service: "s", Leaving: o.Value[0] == 'l'}, nil
}

func (testRecords) Release(o bamboorail.Object) (bamboorail.AdapterRelease, error) {
	if len(o.Value) == 0 {
		return bamboorail.AdapterRelease{}, errInvalidValue
	}
	return bamboorail.AdapterRelease{Key: testAdapter, Version: int(o.Value[0] - '0')}, nil
}

var testAdapter = bamboorail.AdapterKey{Model: "m", Adapter: "a"}

func newTestGateway() *Gateway {
	return &Gateway{
		platform: Platform{Records: testRecords{}, ConfigurationKey: "config/main", TargetKind: "targets"},
		fleet:    fleet.New(registrationGrace), metrics: telemetry.NewMetrics(), log: hclog.NewNullLogger(),
	}
}

func object(key, value string) bamboorail.Object {
	return bamboorail.Object{Key: key, Value: []byte(value)}
}

// TestListedReleasesReplaceOldVersions checks that a release from before the
// start of the instance counts as old, since its age is not known. Otherwise a
// restarted instance uses old versions for seconds (archive site, trouble-2
// --seed 552791062478, VERSION).
func TestListedReleasesReplaceOldVersions(t *testing.T) {
	cases := map[string]struct {
		take  func(h *releaseHandler)
		known bool
	}{
		"listed":  {func(h *releaseHandler) { h.Replace([]bamboorail.Object{object("r/a", "2")}, false) }, false},
		"watched": {func(h *releaseHandler) { h.Update(object("r/a", "2")) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway()
			c.take(&releaseHandler{g})
			releases := g.fleet.Releases(testAdapter)
			if len(releases) != 1 || releases.Newest() != 2 || releases[0].LearnedAt.IsZero() == c.known {
				t.Errorf("releases %v", releases)
			}
			if old := releases.OutdatedFor(1, time.Now()) > time.Minute; old == c.known {
				t.Errorf("releases %v", releases)
			}
		})
	}
}

// TestReleasesAreKnownOnlyAfterList checks that a single change does not make
// the releases of the other adapters known.
func TestReleasesAreKnownOnlyAfterList(t *testing.T) {
	g := newTestGateway()
	h := &releaseHandler{g}
	h.Update(object("r/a", "2"))
	if g.fleet.HasSyncedReleases() {
		t.Error("releases known after one change")
	}
	h.Replace(nil, false)
	if !g.fleet.HasSyncedReleases() {
		t.Error("releases not known after an empty list")
	}
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	g := newTestGateway()
	h := &configurationHandler{g}
	for _, value := range []string{"3", "2", "", "5", "4"} {
		h.Update(object("config/main", value))
	}
	h.Update(object("config/other", "9"))
	if v := g.table.Load().Version(); v != 5 {
		t.Errorf("version %d is current, want 5", v)
	}
}

// TestInvalidTargetEntriesAreDropped checks that an entry that cannot be
// decoded removes its target and no other.
func TestInvalidTargetEntriesAreDropped(t *testing.T) {
	g := newTestGateway()
	h := &targetHandler{g}
	h.Replace([]bamboorail.Object{object("targets/a", "r"), object("targets/b", ""), object("targets/c", "l")}, false)
	if list := g.fleet.Service("s"); len(list) != 1 || list[0].ID.Name != "a" {
		t.Fatalf("targets %+v", list)
	}
	h.Update(object("targets/a", ""))
	if _, ok := g.fleet.Target("a"); ok {
		t.Error("target with an invalid entry is still in use")
	}
}

func TestReadiness(t *testing.T) {
	g := newTestGateway()
	if err := g.Ready(); !errors.Is(err, errNoConfiguration) {
		t.Errorf("before a configuration: %v", err)
	}
	(&configurationHandler{g}).Update(object("config/main", "1"))
	if err := g.Ready(); err != nil {
		t.Errorf("with a configuration: %v", err)
	}
	g.shuttingDown.Store(true)
	if err := g.Ready(); !errors.Is(err, errShuttingDown) {
		t.Errorf("during shutdown: %v", err)
	}
}
