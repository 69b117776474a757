package placer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace/noop"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// holders answers for the holders of zones, by address.
type holders struct {
	asked   []string
	replies map[string]*wire.PlaceReply
}

var errSilent = errors.New("no answer")

func (h *holders) Place(_ context.Context, address string, r *wire.PlaceRequest) (*wire.PlaceReply, error) {
	h.asked = append(h.asked, fmt.Sprintf("%s/%d", r.GetZone(), r.GetLoads()))
	if reply := h.replies[address]; reply != nil {
		return reply, nil
	}
	return nil, errSilent
}

func (h *holders) Settle(context.Context, string, *wire.SettleRequest) (*wire.SettleReply, error) {
	return &wire.SettleReply{Holder: true}, nil
}

// site returns a chooser in zone a of zones a, b and c, whose holders are at
// the addresses a, b and c, and an adapter that is at home in zone b.
func site(t *testing.T) (*Chooser, *holders, relay.ChooseRequest) {
	t.Helper()
	store, names := memory.NewStore(), []string{"a", "b", "c"}
	var zones []ZoneHolder
	for _, name := range names {
		key := "leases/" + name
		if _, err := store.Put(context.Background(), key, fmt.Appendf(nil, `{"holder":"x","address":%q}`, name), 0); err != nil {
			t.Fatal(err)
		}
		l := lease.New(lease.Config{Key: key, Holder: "self", Store: store, Clock: lease.BootTime, Log: hclog.NewNullLogger()})
		o, err := store.Get(context.Background(), key)
		if err != nil {
			t.Fatal(err)
		}
		l.Observe(o)
		zones = append(zones, ZoneHolder{Zone: name, Lease: l})
	}
	f := fleet.New(time.Second)
	f.MarkReleasesSynced()
	f.Update(bamboorail.TargetEntry{ID: bamboorail.TargetID{Name: "e"}, Service: "s", Zone: "c"})
	peers := &holders{replies: map[string]*wire.PlaceReply{}}
	c := NewChooser(ChooserConfig{
		Instance: "self", Zones: zones, Peers: peers, Fleet: f, Balancer: balance.New("a"),
		Tracer: noop.NewTracerProvider().Tracer(""), PollLease: func() {}, Log: hclog.NewNullLogger(),
	})
	key := bamboorail.AdapterKey{Model: "m"}
	for n := 0; key.Adapter == "" || adapters.Home(names, key) != "b"; n++ {
		key.Adapter = fmt.Sprintf("a%d", n)
	}
	now := time.Now()
	return c, peers, relay.ChooseRequest{
		Call: &bamboorail.Call{ID: "i", Key: key}, Service: bamboorail.ServiceSpec{Name: "s", Engine: true}, Received: now, StartBy: now,
	}
}

// TestZonesAreAskedInOrder: the own zone for what it holds, the adapter's
// home, then whoever has room.
func TestZonesAreAskedInOrder(t *testing.T) {
	full := &wire.PlaceReply{Holder: true, Reason: "full"}
	placed := &wire.PlaceReply{Holder: true, Target: "e", Zone: "b", Ticket: 7}
	cases := map[string]struct {
		replies map[string]*wire.PlaceReply
		asked   string
		placed  bool
	}{
		"own zone holds it":  {map[string]*wire.PlaceReply{"a": placed}, "[a/1]", true},
		"home loads it":      {map[string]*wire.PlaceReply{"a": full, "b": placed}, "[a/1 b/0]", true},
		"home is full":       {map[string]*wire.PlaceReply{"a": full, "b": full, "c": placed}, "[a/1 b/0 a/0 c/0]", true},
		"home is silent":     {map[string]*wire.PlaceReply{"a": full, "c": placed}, "[a/1 b/0 a/0 c/0]", true},
		"all are full":       {map[string]*wire.PlaceReply{"a": full, "b": full, "c": full}, "[a/1 b/0 a/0 c/0]", false},
		"nobody holds zones": {map[string]*wire.PlaceReply{"a": {}, "b": {}, "c": {}}, "[a/1 b/0 c/0]", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chooser, peers, ask := site(t)
			peers.replies = c.replies
			place, err := chooser.Choose(context.Background(), ask)
			if (err == nil) != c.placed || fmt.Sprint(peers.asked) != c.asked {
				t.Errorf("placed at %q, %v, after asking %v", place.Target.ID.Name, err, peers.asked)
			}
			if err != nil && !bamboorail.NotRun(err) {
				t.Error("a call without a place may have run")
			}
		})
	}
}

// TestALoadedAdapterIsFoundWithoutHolders: the entries of engines tell.
func TestALoadedAdapterIsFoundWithoutHolders(t *testing.T) {
	chooser, _, ask := site(t)
	entry, _ := chooser.Fleet.Target("e")
	entry.Models = map[string]map[string]int{"m": {ask.Call.Key.Adapter: 3}}
	chooser.Fleet.Update(entry)
	place, err := chooser.Choose(context.Background(), ask)
	if err != nil || place.Version != 3 || !place.Valid() {
		t.Errorf("place %+v, %v", place, err)
	}
	place.Done(balance.Unreachable, time.Second)
	chooser.observe("e", balance.Unreachable)
	if _, err := chooser.Choose(context.Background(), ask); err == nil {
		t.Error("an engine that does not answer was chosen again")
	}
}

// TestFailuresLengthenAPause: up to a limit, and an answer ends it.
func TestFailuresLengthenAPause(t *testing.T) {
	now := time.Unix(0, 0)
	s := suspect{}
	for i, want := range []time.Duration{firstPause, 2 * firstPause, 4 * firstPause, lastPause, lastPause} {
		if s = s.again(firstPause, lastPause, now); s.until.Sub(now) != want {
			t.Errorf("failure %d: pause %v, want %v", i, s.pause, want)
		}
	}
	chooser, _, _ := site(t)
	b := chooser.Zones[1]
	chooser.pause(b)
	if !chooser.isPaused(b) {
		t.Error("not paused")
	}
	chooser.answered(b)
	if chooser.isPaused(b) {
		t.Error("still paused after an answer")
	}
	chooser.pause(b)
	b.Lease.Observe(bamboorail.Object{Key: "leases/b", Version: 99, Value: []byte(`{"holder":"y","address":"new"}`)})
	if chooser.isPaused(b) {
		t.Error("a new holder is paused for the failures of the former one")
	}
}
