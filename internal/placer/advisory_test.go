package placer

import (
	"context"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// TestLeavingEngineIsToldToItsHolder guards against an engine that only the
// instances know to leave which it told.
func TestLeavingEngineIsToldToItsHolder(t *testing.T) {
	c, holders, request := newTestChooser(t)
	for _, zone := range []string{"a", "b", "c"} {
		holders.replies[zone] = &wire.PlaceReply{Holder: true, Target: "e", Ticket: 7}
	}
	reservation, err := c.Choose(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	c.Advisories.Observe(reservation.Target.ID, bamboorail.Advisory{Leaving: true}, time.Now())
	if reservation.Valid() {
		t.Error("a placed call is sent to an engine that leaves")
	}
	reservation.Done(balance.Abandoned, 0)
	told := 0
	for _, list := range c.ended {
		for _, m := range endedFromWire(endedMessages(list)) {
			if m.Leaving {
				told++
			}
		}
	}
	if told != 1 {
		t.Errorf("the holder is told %d times", told)
	}
	if avoid := c.enginesToAvoid(request); len(avoid) != 1 || avoid[0] != "e" {
		t.Errorf("engines to avoid %q", avoid)
	}
}

// TestPausedTargetsRefuseAtOnce checks that a call is refused with the time until the
// first target returns if all of them want a pause, and served by the others before.
func TestPausedTargetsRefuseAtOnce(t *testing.T) {
	c, _, _ := newTestChooser(t)
	now := time.Now()
	ids := []bamboorail.TargetID{{Name: "p1"}, {Name: "p2"}}
	for _, id := range ids {
		c.Fleet.Update(bamboorail.TargetEntry{ID: id, Service: "plain", Slots: 1})
	}
	for n, id := range ids {
		if err := c.checkQuiet("plain", now); err != nil {
			t.Fatalf("%d of %d targets paused: %v", n, len(ids), err)
		}
		if open := c.openTargets("plain", now); len(open) != len(ids)-n {
			t.Errorf("%d targets are open with %d paused", len(open), n)
		}
		c.Advisories.Observe(id, bamboorail.Advisory{QuietFor: time.Duration(4-n) * time.Second}, now)
	}
	f := bamboorail.FailureOf(c.checkQuiet("plain", now))
	if f.Kind != bamboorail.KindOverloaded || f.Outcome != bamboorail.OutcomeNotRun || f.RetryAfter < 3*time.Second || f.RetryAfter > 5*time.Second {
		t.Errorf("failure %+v", f)
	}
}

// TestFailedOrderOfOwnHolderIsNotRun guards against a call that was never sent and is
// answered as one that may have run, since the order of its adapter failed.
func TestFailedOrderOfOwnHolderIsNotRun(t *testing.T) {
	c, _, request := newTestChooser(t)
	b := newTestHolder(t)
	b.upkeep(t.Context())
	c.Zones = []ZoneHolder{{Zone: "z", Local: b.Holder, Lease: b.Lease}}
	b.engine.failure = &bamboorail.Failure{Op: "send-order", Kind: bamboorail.KindUnavailable, Err: errNoAnswer}
	request.Service, request.StartBy = bamboorail.ServiceSpec{Name: "s", Engine: true}, time.Now()
	request.Call.Key = bamboorail.AdapterKey{Model: "m", Adapter: "a"}
	_, err := c.Choose(t.Context(), request)
	f := bamboorail.FailureOf(err)
	if b.engine.sent != 1 || f.Outcome != bamboorail.OutcomeNotRun || f.Kind != bamboorail.KindOverloaded || f.RetryAfter <= 0 {
		t.Errorf("failure %+v after %d orders", f, b.engine.sent)
	}
}
