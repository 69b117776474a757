package placer

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// TestChooserKeepsSoftwareVersion checks that a call gets a target with the software
// version that it needs, on each way on which targets are chosen, and is refused at
// once if there is none.
func TestChooserKeepsSoftwareVersion(t *testing.T) {
	placed := map[string]*wire.PlaceReply{"b": {Holder: true, Target: "e1", Zone: "b", Ticket: 7}}
	cases := map[string]struct {
		software string
		engine   bool
		replies  map[string]*wire.PlaceReply
		queries  string
		target   string
	}{
		"plain service":               {"v1", false, nil, "[]", "e1"},
		"plain service, other":        {"v2", false, nil, "[]", "e2"},
		"plain service, none":         {"v3", false, nil, "[]", ""},
		"holder of its zone":          {"v1", true, placed, "[b/0]", "e1"},
		"no holder answers":           {"v2", true, nil, "[c/0]", "e2"},
		"no engine has it":            {"v3", true, placed, "[]", ""},
		"any version asks all":        {"", true, placed, "[a/1 b/0]", "e1"},
		"engine leaves, no other one": {"v4", true, placed, "[]", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chooser, peers, request := newTestChooser(t)
			key := request.Call.Key
			held := map[string]map[string]int{key.Model: {key.Adapter: 0}}
			chooser.Fleet.Remove("e", request.Received)
			for n, zone := range []string{"b", "c"} {
				chooser.Fleet.Update(bamboorail.TargetEntry{
					ID: bamboorail.TargetID{Name: fmt.Sprintf("e%d", n+1)}, Service: "s", Zone: zone, Software: fmt.Sprintf("v%d", n+1), Models: held,
				})
			}
			chooser.Fleet.Update(bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "e4"}, Service: "s", Zone: "a", Software: "v4", Leaving: true})
			peers.replies = c.replies
			request.Software, request.Service.Engine = c.software, c.engine
			got, err := chooser.Choose(context.Background(), request)
			if got.Target.ID.Name != c.target || (err == nil) != (c.target != "") || fmt.Sprint(peers.queries) != c.queries {
				t.Errorf("placed at %q, %v, after asking %v", got.Target.ID.Name, err, peers.queries)
			}
			if err != nil && (!errors.Is(err, errNoSoftware) || bamboorail.FailureOf(err).RetryAfter == 0) {
				t.Errorf("error %v", err)
			}
			if c.software != "" && got.Target.Software != "" && got.Target.Software != c.software {
				t.Errorf("software %s", got.Target.Software)
			}
		})
	}
}
