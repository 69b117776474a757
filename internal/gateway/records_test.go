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

// records decodes objects whose value is the key of a fixture.
type records struct{}

var errUnreadable = errors.New("unreadable")

func (records) Configuration(o bamboorail.Object) (bamboorail.Configuration, error) {
	if len(o.Value) == 0 {
		return bamboorail.Configuration{}, errUnreadable
	}
	return bamboorail.Configuration{Version: uint64(o.Value[0] - '0')}, nil
}

func (records) Target(o bamboorail.Object) (bamboorail.TargetEntry, error) {
	if len(o.Value) == 0 {
		return bamboorail.TargetEntry{}, errUnreadable
	}
	return bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: o.Key[len("targets/"):]}, Service: "s", Leaving: o.Value[0] == 'l'}, nil
}

func (records) Release(o bamboorail.Object) (bamboorail.AdapterRelease, error) {
	if len(o.Value) == 0 {
		return bamboorail.AdapterRelease{}, errUnreadable
	}
	return bamboorail.AdapterRelease{Key: adapter, Version: int(o.Value[0] - '0')}, nil
}

var adapter = bamboorail.AdapterKey{Model: "m", Adapter: "a"}

func bare() *Gateway {
	return &Gateway{
		adapter: Platform{Records: records{}, ConfigurationKey: "config/main", TargetKind: "targets"},
		fleet:   fleet.New(returnGrace), metrics: telemetry.NewMetrics(), log: hclog.NewNullLogger(),
	}
}

func object(key, value string) bamboorail.Object {
	return bamboorail.Object{Key: key, Value: []byte(value)}
}

// TestReleasesOfUnknownAgeAreInForce: what was released before the instance
// started may be long ago. Found by archive trouble-2 --seed 552791062478
// (VERSION): a restarted instance used old versions for seconds.
func TestReleasesOfUnknownAgeAreInForce(t *testing.T) {
	cases := map[string]struct {
		take  func(h *releaseHandler)
		known bool
	}{
		"listed":  {func(h *releaseHandler) { h.Replace([]bamboorail.Object{object("r/a", "2")}, false) }, false},
		"watched": {func(h *releaseHandler) { h.Update(object("r/a", "2")) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := bare()
			c.take(&releaseHandler{g})
			releases := g.fleet.Releases(adapter)
			if len(releases) != 1 || releases.Newest() != 2 || releases[0].LearnedAt.IsZero() == c.known {
				t.Errorf("releases %v", releases)
			}
			if old := releases.OutdatedFor(1, time.Now()) > time.Minute; old == c.known {
				t.Errorf("releases %v", releases)
			}
		})
	}
}

// TestReleasesAreKnownOnceListed: a change that is heard says nothing of the
// other adapters.
func TestReleasesAreKnownOnceListed(t *testing.T) {
	g := bare()
	h := &releaseHandler{g}
	h.Update(object("r/a", "2"))
	if g.fleet.HasSyncedReleases() {
		t.Error("known after one change")
	}
	h.Replace(nil, false)
	if !g.fleet.HasSyncedReleases() {
		t.Error("not known after a list, which was empty")
	}
}

func TestConfigurationsNeverGoBack(t *testing.T) {
	g := bare()
	h := &configurationHandler{g}
	for _, value := range []string{"3", "2", "", "5", "4"} {
		h.Update(object("config/main", value))
	}
	h.Update(object("config/other", "9"))
	if v := g.table.Load().Version(); v != 5 {
		t.Errorf("version %d in force", v)
	}
}

// TestUnreadableEntriesNameNoTarget: the others hold.
func TestUnreadableEntriesNameNoTarget(t *testing.T) {
	g := bare()
	h := &targetHandler{g}
	h.Replace([]bamboorail.Object{object("targets/a", "r"), object("targets/b", ""), object("targets/c", "l")}, false)
	if list := g.fleet.Service("s"); len(list) != 1 || list[0].ID.Name != "a" {
		t.Fatalf("targets %+v", list)
	}
	h.Update(object("targets/a", ""))
	if _, ok := g.fleet.Target("a"); ok {
		t.Error("a target whose entry became unreadable is still used")
	}
}

func TestReadiness(t *testing.T) {
	g := bare()
	if err := g.Ready(); !errors.Is(err, errNoConfiguration) {
		t.Errorf("before a configuration: %v", err)
	}
	(&configurationHandler{g}).Update(object("config/main", "1"))
	if err := g.Ready(); err != nil {
		t.Errorf("with a configuration: %v", err)
	}
	g.leaving.Store(true)
	if err := g.Ready(); !errors.Is(err, errLeaving) {
		t.Errorf("while leaving: %v", err)
	}
}
