package membership_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func session(id, instance, zone string) platform.Session {
	return platform.Session{ID: id, Instance: instance, Zone: zone, Region: "r", Peer: instance + ":1"}
}

func listing(t *testing.T, version bamboorail.StoreVersion, sessions ...platform.Session) []bamboorail.Object {
	t.Helper()
	var list []bamboorail.Object
	for _, s := range sessions {
		value, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, bamboorail.Object{Key: "sessions/" + s.Zone + "/" + s.Instance, Version: version, Value: value})
	}
	return list
}

// TestUnresponsiveSessionsAreNotReachable checks a session on the other side of a
// network partition: it still renews its lease, so it may own targets, but it is
// not reachable, so that no call waits for it.
func TestUnresponsiveSessionsAreNotReachable(t *testing.T) {
	d := membership.NewDirectory(session("self", "a1", "z"))
	other := session("other", "b1", "y")
	reachable := func(now time.Time) bool {
		return slices.ContainsFunc(d.Reachable(now), func(s platform.Session) bool { return s.ID == "other" })
	}
	d.ApplySessions("", listing(t, 1, other), start)
	if reachable(start) {
		t.Error("reachable before any heartbeat")
	}
	d.RecordHeartbeatReply(other, 1, start)
	if !reachable(start) {
		t.Error("not reachable after a heartbeat")
	}
	d.MarkUnresponsive("other")
	if reachable(start) || d.StateOf("other", start) != membership.StateLive {
		t.Errorf("unresponsive session: reachable %t, state %s", reachable(start), d.StateOf("other", start))
	}
}

func TestSessionStates(t *testing.T) {
	s := session("s1", "b1", "z")
	for name, c := range map[string]struct {
		change func(d *membership.Directory)
		now    time.Duration
		want   membership.State
	}{
		"renewed":                  {func(*membership.Directory) {}, time.Second, membership.StateLive},
		"store down, no heartbeat": {func(*membership.Directory) {}, time.Hour, membership.StateUnknown},
		"store up, not renewed":    {func(d *membership.Directory) { d.ApplySessions("z", listing(t, 1, s), start.Add(time.Minute)) }, time.Minute, membership.StateExpired},
		"connection refused":       {func(d *membership.Directory) { d.MarkGone("s1") }, time.Second, membership.StateGone},
		"replaced at its address": {func(d *membership.Directory) {
			d.ApplySessions("z", listing(t, 2, session("s2", "b1", "z")), start.Add(time.Second))
		}, time.Second, membership.StateGone},
		"instance terminated": {func(d *membership.Directory) {
			d.ApplyInstances([]bamboorail.Instance{{ID: "b1", State: bamboorail.InstanceTerminated}})
		}, time.Second, membership.StateGone},
		"instance leaving is no proof": {func(d *membership.Directory) {
			d.ApplyInstances([]bamboorail.Instance{{ID: "b1", State: bamboorail.InstanceLeaving}})
		}, time.Second, membership.StateLive},
		"unresponsive is no proof": {func(d *membership.Directory) { d.MarkUnresponsive("s1") }, time.Second, membership.StateLive},
		"leaving": {func(d *membership.Directory) {
			d.ApplyHeartbeat(&wire.InstanceState{Session: "s1", Instance: "b1", Zone: "z", Leaving: true}, start)
		}, time.Second, membership.StateLeaving},
	} {
		t.Run(name, func(t *testing.T) {
			d := membership.NewDirectory(session("self", "a1", "z"))
			d.ApplySessions("z", listing(t, 1, s), start)
			c.change(d)
			if got := d.StateOf("s1", start.Add(c.now)); got != c.want {
				t.Errorf("state %s, expected %s", got, c.want)
			}
		})
	}
}

// TestHeartbeatConfirmsOmittedTargets checks that a heartbeat, which carries
// only changed states, also refreshes the time of the omitted ones. Otherwise
// routers would count every request sent since the last change as waiting.
func TestHeartbeatConfirmsOmittedTargets(t *testing.T) {
	d := membership.NewDirectory(session("self", "a1", "z"))
	heartbeat := func(full bool, owned []string, changed ...*wire.TargetState) *wire.InstanceState {
		return &wire.InstanceState{Session: "other", Instance: "b1", Zone: "z", Region: "r", Peer: "b1:1", Full: full, Owned: owned, Targets: changed}
	}
	first := &wire.TargetState{Target: "e1", Term: 3, Running: 2}
	d.ApplyHeartbeat(heartbeat(true, []string{"e1", "e2"}, first, &wire.TargetState{Target: "e2", Term: 1}), start)
	now := start.Add(2 * time.Second)
	d.ApplyHeartbeat(heartbeat(false, []string{"e1"}), now)
	targets := d.Targets(now)
	got := targets[membership.TargetKey{Zone: "z", Name: "e1"}]
	if !got.At.Equal(now) || got.State.GetRunning() != 2 || got.Term != 3 {
		t.Errorf("announced at %v, expected %v: %+v", got.At, now, got)
	}
	if _, ok := targets[membership.TargetKey{Zone: "z", Name: "e2"}]; ok {
		t.Error("a target that is no longer owned is still listed")
	}
}
