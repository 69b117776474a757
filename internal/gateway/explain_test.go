package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/placer"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

// explainedKey is a key of the workspaces in these tests, which no explanation may contain.
const explainedKey = "key-of-w1"

// idleEngine is an engine that holds the base model and accepts all orders.
type idleEngine struct{}

func (idleEngine) Order(context.Context, bamboorail.AdapterOrder) (bamboorail.OrderResult, error) {
	return bamboorail.OrderAccepted, nil
}

func (idleEngine) State(context.Context, bamboorail.TargetID, string) (bamboorail.EngineState, error) {
	return bamboorail.EngineState{Models: map[string]map[string]int{"m": {}}}, nil
}

// newExplainedGateway returns an instance of zone a with five engines and two plain targets. It
// is the holder of the zone if leading is set, otherwise another instance is.
func newExplainedGateway(t *testing.T, leading bool) *Gateway {
	t.Helper()
	g := newTestGateway()
	g.initial = settings.Gateway{Instance: "i1", Zone: "a"}
	g.balancer, g.advisories = balance.New("a"), advisory.New()
	g.limits = placer.NewLimits(g.advisories, g.fleet, g.metrics, g.log)
	table := route.NewTable(bamboorail.Configuration{
		Version: 7, HasWorkspaces: true,
		Services: []bamboorail.ServiceSpec{
			{Name: "e", Engine: true, AdapterSlots: 4, Models: []bamboorail.ModelSpec{{Name: "m"}}}, {Name: "p"}, {Name: "none"},
		},
		Routes: []bamboorail.RouteSpec{
			{Name: "chat", Host: "h", Prefix: "/chat", Shares: []bamboorail.ServiceShare{{Service: "p", Weight: 1}, {Service: "e", Weight: 9}}, Streaming: true,
				Objective: time.Second, Timeout: 5 * time.Second, MaxEventGap: 300 * time.Millisecond, Priority: 4},
			{Name: "plain", Host: "h", Prefix: "/plain", Shares: []bamboorail.ServiceShare{{Service: "p", Weight: 1}}, Public: true},
			{Name: "empty", Host: "h", Prefix: "/empty", Shares: []bamboorail.ServiceShare{{Service: "none", Weight: 1}}, Public: true},
		},
		Workspaces: []bamboorail.Workspace{
			{Name: "w1", Keys: []bamboorail.KeyDigest{bamboorail.DigestKey(explainedKey)}, Priority: 2, HasPriority: true,
				Quota: bamboorail.Quota{Unit: bamboorail.QuotaTokens, Rate: 900, Burst: 100}},
		},
	})
	g.table.Store(table)
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5"} {
		g.fleet.Update(bamboorail.TargetEntry{
			ID: bamboorail.TargetID{Name: name}, Service: "e", Zone: "a", Slots: 8, Models: map[string]map[string]int{"m": {"x": 1}},
		})
	}
	for _, name := range []string{"p1", "p2"} {
		g.fleet.Update(bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: name}, Service: "p", Zone: "a", Slots: 6})
	}
	store := memory.NewStore()
	l := lease.New(lease.Config{
		Key: "leases/a", Holder: "i1", Address: "10.0.0.1:1", Store: store, Clock: lease.BootTime, Log: hclog.NewNullLogger(),
		Timing: lease.Timing{RenewInterval: time.Second, Term: time.Hour},
	})
	z := placer.ZoneHolder{Zone: "a", Lease: l}
	z.Local = placer.NewHolder(placer.HolderConfig{
		Zone: "a", Instance: "i1", Lease: l, Fleet: g.fleet, Table: g.table.Load, Engines: idleEngine{},
		Tuning: adapters.Tuning{
			FetchTime: 250 * time.Millisecond, ReloadShare: 1, FetchLimit: 8, MaxLoadsPerEngine: 8, CachedAdapters: 8, DemandHalfLife: time.Second,
			CallCost: 3 * time.Millisecond, CallTime: time.Second, RankCost: 15 * time.Millisecond,
		},
		FetchShare: func() int { return 8 }, ModelLoadInterval: func() time.Duration { return time.Second }, Metrics: g.metrics, Log: g.log,
	})
	g.holders = []placer.ZoneHolder{z}
	if leading {
		if err := l.Claim(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		running := task.Start(ctx, "placer", z.Local.Run)
		t.Cleanup(func() { cancel(); running.Join() })
	} else {
		put(t, store, "leases/a", `{"holder":"i2","address":"10.0.0.2:1"}`, 0)
		o, err := store.Get(t.Context(), "leases/a")
		if err != nil {
			t.Fatal(err)
		}
		l.Observe(o)
	}
	g.chooser = placer.NewChooser(placer.ChooserConfig{
		Instance: "i1", Zones: g.holders, Fleet: g.fleet, Balancer: g.balancer, PollLease: func() {}, Log: g.log, Advisories: g.advisories, Limits: g.limits,
		Instances: func() int { return 1 }, ShareTargets: func() bool { return true }, Metrics: g.metrics,
	})
	g.credit = placer.NewCredit(placer.CreditConfig{
		Instance: "i1", Zones: g.holders, Table: g.table.Load, Instances: func() int { return 1 }, Contacts: func(time.Duration) int { return 1 }, Metrics: g.metrics, Log: g.log,
	})
	return g
}

// askPlacement sends a query to the handler.
func askPlacement(t *testing.T, g *Gateway, query string) (int, operatorapi.Placement, string) {
	t.Helper()
	w := httptest.NewRecorder()
	g.serveExplainPlacement(w, httptest.NewRequest(http.MethodGet, operatorapi.PlacementPath+"?"+query, nil))
	var p operatorapi.Placement
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatalf("%v: %s", err, w.Body)
		}
	}
	if strings.Contains(w.Body.String(), explainedKey) || strings.Contains(w.Body.String(), "sha256") {
		t.Errorf("explanation contains a key: %s", w.Body)
	}
	return w.Code, p, w.Body.String()
}

// awaitPlan asks until the holder has read the state of all engines.
func awaitPlan(t *testing.T, g *Gateway, query string) operatorapi.Placement {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		_, p, body := askPlacement(t, g, query)
		if p.Engines != nil && p.Engines.Eligible == 5 {
			return p
		}
		if time.Now().After(end) {
			t.Fatalf("engines are not known to the holder: %s", body)
		}
	}
}

const chatQuery = "host=h&path=/chat/1&model=m/x&tokens=500,100&prompt=s:400,own:100&workspace=w1"

// TestExplanationAtHolder guards against explanations that lack what decides about a call.
func TestExplanationAtHolder(t *testing.T) {
	g := newExplainedGateway(t, true)
	p := awaitPlan(t, g, chatQuery)
	if p.ConfigurationVersion != 7 || p.Route != "chat" || p.Service != "e" || len(p.OtherServices) != 1 || p.Priority != 2 || len(p.Refusals) != 0 {
		t.Errorf("explained %+v", p)
	}
	if p.Workspace == nil || p.Workspace.Name != "w1" || p.Workspace.Cost != 600 || p.Workspace.Rate != 900 {
		t.Errorf("workspace %+v", p.Workspace)
	}
	if p.Holder == nil || !p.Holder.Self || p.Holder.Instance != "i1" || p.Holder.HomeZone != "a" {
		t.Errorf("holder %+v", p.Holder)
	}
	if len(p.Engines.Candidates) != adapters.MaxCandidates {
		t.Fatalf("engines %+v", p.Engines)
	}
	first := p.Engines.Candidates[0]
	if first.Cost <= 0 || first.Reading <= 0 || first.FirstEvent <= 0 || !first.Loads || first.Load <= 0 {
		t.Errorf("first candidate %+v", first)
	}
	placed, err := g.holders[0].Local.Place(t.Context(), adapters.Request{
		Key: bamboorail.AdapterKey{Model: "m", Adapter: "x"}, Service: "e", CallID: "c", Objective: time.Second,
	})
	if err != nil || placed.Target.ID.Name != first.Engine {
		t.Errorf("placed at %s, %v, explained %s", placed.Target.ID.Name, err, first.Engine)
	}
}

// TestExplanationElsewhere guards against instances that answer for a holder that they are not.
func TestExplanationElsewhere(t *testing.T) {
	_, p, body := askPlacement(t, newExplainedGateway(t, false), chatQuery)
	if p.Engines != nil || p.Holder == nil || p.Holder.Self || p.Holder.Instance != "i2" || p.Holder.Address != "10.0.0.2:1" || len(p.Targets) != 5 {
		t.Errorf("explained %s", body)
	}
}

// TestExplanationOfRefusals guards against refusals that are not foreseen, or lack a retry time.
func TestExplanationOfRefusals(t *testing.T) {
	cases := map[string]struct {
		query, by string
		kind      bamboorail.Kind
		retries   bool
	}{
		"no route":                    {"host=h&path=/other", "route", bamboorail.KindNotFound, false},
		"no workspace":                {"host=h&path=/chat", "workspace", bamboorail.KindUnauthenticated, false},
		"more than the quota permits": {"host=h&path=/plain&workspace=w1&tokens=5000,1", "quota", bamboorail.KindQuotaExceeded, true},
		"no target":                   {"host=h&path=/empty", "targets", bamboorail.KindNoTarget, true},
		"no engine with the model":    {"host=h&path=/chat&model=other&workspace=w1", "engines", bamboorail.KindOverloaded, true},
		"public route":                {"host=h&path=/plain", "", "", false},
	}
	g := newExplainedGateway(t, true)
	awaitPlan(t, g, chatQuery)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, p, body := askPlacement(t, g, c.query)
			if code != http.StatusOK {
				t.Fatalf("status %d: %s", code, body)
			}
			if c.by == "" {
				if len(p.Refusals) != 0 || len(p.Targets) != 2 {
					t.Errorf("explained %s", body)
				}
				return
			}
			if len(p.Refusals) != 1 || p.Refusals[0].By != c.by || p.Refusals[0].Kind != c.kind || (p.Refusals[0].RetryAfter > 0) != c.retries {
				t.Errorf("explained %s", body)
			}
		})
	}
	g.table.Store(nil)
	if _, p, body := askPlacement(t, g, chatQuery); len(p.Refusals) != 1 || p.Refusals[0].By != "configuration" {
		t.Errorf("without a configuration: %s", body)
	}
}

// TestExplanationOfInvalidCall guards against descriptions that are misread or crash the
// instance. The answer names the field at fault.
func TestExplanationOfInvalidCall(t *testing.T) {
	parts := url.QueryEscape(strings.Repeat("a:1,", maxExplainedParts) + "a:1")
	cases := map[string]struct{ query, field string }{
		"nothing":                {"", "host"},
		"no host":                {"path=/chat", "host"},
		"no path":                {"host=h", "path"},
		"relative path":          {"host=h&path=chat", "path"},
		"adapter without model":  {"host=h&path=/chat&model=/x", "model"},
		"empty adapter":          {"host=h&path=/chat&model=m/", "model"},
		"one number of tokens":   {"host=h&path=/chat&tokens=5", "tokens"},
		"negative tokens":        {"host=h&path=/chat&tokens=-5,1", "tokens"},
		"too many tokens":        {"host=h&path=/chat&tokens=5,99999999999999999999", "tokens"},
		"three numbers":          {"host=h&path=/chat&tokens=5,1,1", "tokens"},
		"part without tokens":    {"host=h&path=/chat&prompt=a", "prompt"},
		"part without name":      {"host=h&path=/chat&prompt=:5", "prompt"},
		"part with text":         {"host=h&path=/chat&prompt=a:b", "prompt"},
		"too many parts":         {"host=h&path=/chat&prompt=" + parts, "prompt"},
		"unknown workspace":      {"host=h&path=/chat&workspace=nobody", "workspace"},
		"key as workspace":       {"host=h&path=/chat&workspace=" + explainedKey, "workspace"},
		"unknown field":          {"host=h&path=/chat&tokns=5,1", `"tokns"`},
		"key instead of a name":  {"host=h&path=/chat&api_key=" + "other", `"api_key"`},
		"repeated field":         {"host=h&path=/chat&host=i", "host"},
		"malformed query":        {"host=%zz", "query"},
		"semicolon in the query": {"host=h;path=/chat", "query"},
	}
	g := newExplainedGateway(t, false)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, _, body := askPlacement(t, g, c.query)
			var e operatorapi.ErrorResponse
			if err := json.Unmarshal([]byte(body), &e); err != nil || code != http.StatusBadRequest || !strings.HasPrefix(e.Message, "field "+c.field+": ") {
				t.Errorf("status %d: %s", code, body)
			}
		})
	}
}
