package cmds_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	railctl "bamboorail.example/bamboorail/cmd/railctl/cmds"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

// TestPlacementOutput guards against text that leaves out what decides about a call, and against
// flags that are not passed on.
func TestPlacementOutput(t *testing.T) {
	base := operatorapi.Placement{Instance: "i1", Zone: "a", ConfigurationVersion: 7, ConfigurationAge: 41.5, Route: "chat", Service: "e", Priority: 2}
	holder, other, plain, refused := base, base, base, base
	holder.Workspace = &operatorapi.PlacementOwner{Name: "w1", Unit: "tokens", Rate: 119491, Burst: 100, Cost: 600, Credit: 850.5}
	holder.Holder = &operatorapi.PlacementHolder{Zone: "a", Instance: "i1", Self: true, HomeZone: "b"}
	holder.NextHolders = []operatorapi.PlacementHolder{{Zone: "b", Instance: "i9", Address: "10.0.0.9:1"}}
	holder.Engines = &operatorapi.PlacementEngines{Eligible: 9, Candidates: []operatorapi.PlacementCandidate{
		{Engine: "e4", Cost: 320.25, Queue: 3, Load: 250, Reading: 20, FirstEvent: 40, Risk: 7.25, KeptTokens: 400, Calls: 1, Slots: 16, Loads: true, Evicts: true},
	}}
	other.Holder = &operatorapi.PlacementHolder{Zone: "a", Instance: "i2", Address: "10.0.0.2:1"}
	other.Targets = []operatorapi.PlacementTarget{{Target: "e1", Zone: "a", Cost: 60, Slots: 16}}
	plain.Targets = []operatorapi.PlacementTarget{{Target: "p1", Zone: "a", Cost: 61.5, InFlight: 3, Slots: 6, Shared: true}}
	refused.Refusals = []operatorapi.PlacementRefusal{{By: "quota", Kind: "quota-exceeded", Reason: "too much", RetryAfter: 250}}
	cases := map[string]struct {
		answer operatorapi.Placement
		want   []string
	}{
		"holder": {holder, []string{
			"configuration 7, confirmed 41.5 ms ago", "route chat, service e, priority 2", "quota 119491 tokens/s and 100 burst, credit here 850.5, cost 600",
			"this instance is the holder of zone a", "home zone of the adapter: b", "asked next: b (i9, 10.0.0.9:1)", "9 engines could run",
			"e4      320.25   3      250   0     0        20       40           7.25  400   1/16   loads,evicts", "nothing known here would refuse",
		}},
		"another instance": {other, []string{"holder of zone a is i2 (peer address 10.0.0.2:1), ask it", "e1      a     60       0          16     -"}},
		"plain service":    {plain, []string{"p1      a     61.5     3          6      yes"}},
		"refused":          {refused, []string{"refused by quota: too much (quota-exceeded), retry after 250 ms"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			query := ""
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				query = r.URL.Path + "?" + r.URL.Query().Encode()
				_ = json.NewEncoder(w).Encode(c.answer)
			}))
			defer server.Close()
			args := []string{
				"railctl", "explain-placement", "--instance", strings.TrimPrefix(server.URL, "http://"), "--host", "h", "--path", "/chat", "--model", "m/x",
				"--tokens", "500,100", "--prompt", "s:400,own:100", "--workspace", "w1",
			}
			var text, asJSON, stderr bytes.Buffer
			if code := railctl.Main(args, &text, &stderr); code != 0 {
				t.Fatalf("exit code %d: %s", code, stderr.String())
			}
			for _, want := range c.want {
				if !strings.Contains(text.String(), want) {
					t.Errorf("output lacks %q:\n%s", want, text.String())
				}
			}
			if want := "/explain-placement?host=h&model=m%2Fx&path=%2Fchat&prompt=s%3A400%2Cown%3A100&tokens=500%2C100&workspace=w1"; query != want {
				t.Errorf("query %s, expected %s", query, want)
			}
			var got operatorapi.Placement
			if code := railctl.Main(append(args, "--json"), &asJSON, &stderr); code != 0 || json.Unmarshal(asJSON.Bytes(), &got) != nil || got.Route != "chat" {
				t.Errorf("exit code %d: %s", code, asJSON.String())
			}
		})
	}
}

// TestPlacementOfInvalidCall guards against faults of a description that are not told apart from
// instances that do not answer.
func TestPlacementOfInvalidCall(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(operatorapi.ErrorResponse{Kind: "bad-request", Message: "field tokens: wrong"})
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	cases := map[string]struct {
		args []string
		code int
		text string
	}{
		"refused by the instance": {[]string{"--instance", address, "--host", "h", "--path", "/p", "--tokens", "x"}, 2, "field tokens: wrong"},
		"no host":                 {[]string{"--instance", address, "--path", "/p"}, 2, "needs --host"},
		"no address":              {[]string{"--instance", "node-1", "--host", "h", "--path", "/p"}, 2, "IP:PORT"},
		"an argument":             {[]string{"--instance", address, "--host", "h", "--path", "/p", "x"}, 2, "no arguments"},
		"no answer":               {[]string{"--instance", "127.0.0.1:1", "--host", "h", "--path", "/p"}, 5, "127.0.0.1:1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := railctl.Main(append([]string{"railctl", "explain-placement"}, c.args...), &stdout, &stderr)
			if code != c.code || !strings.Contains(stderr.String(), c.text) {
				t.Errorf("exit code %d, expected %d with %q: %s", code, c.code, c.text, stderr.String())
			}
		})
	}
}
