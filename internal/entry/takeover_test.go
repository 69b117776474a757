package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

// refusingPeers simulates peers whose processes were killed: every connection is
// refused.
type refusingPeers struct{}

func (refusingPeers) Dispatch(context.Context, string, *bamboorail.Request, bamboorail.Sink) error {
	return notRun("dispatch", bamboorail.KindUnavailable, time.Second, fmt.Errorf("dial: %w", syscall.ECONNREFUSED))
}

// constantOwner answers every request with the same result.
type constantOwner struct{ result error }

func (o constantOwner) Dispatch(context.Context, *bamboorail.Request, bamboorail.Sink) error {
	return o.result
}

// takeover simulates an instance that takes over the target of a killed instance.
type takeover struct {
	directory *membership.Directory
	router    *Router
	owns      bool
	result    error
}

// Dispatcher returns the owner of the target after the takeover.
func (o *takeover) Dispatcher(string) (bamboorail.Dispatcher, bool) {
	return constantOwner{o.result}, o.owns
}

func (o *takeover) applyHeartbeat(targets ...*wire.TargetState) {
	state := &wire.InstanceState{Session: "killed", Instance: "a2", Zone: "z", Region: "r", Peer: "a2:1", Full: true, Targets: targets}
	for _, t := range targets {
		state.Owned = append(state.Owned, t.GetTarget())
	}
	o.directory.ApplyHeartbeat(state, time.Now())
}

func newTakeover(t *testing.T, target string) *takeover {
	t.Helper()
	o := &takeover{directory: membership.NewDirectory(platform.Session{ID: "self", Instance: "a1", Zone: "z", Region: "r"})}
	store := memory.NewStore()
	change := platform.Change{ID: "c", Apply: []json.RawMessage{
		json.RawMessage(`{"schema-version":1,"kind":"adapter","name":"stitky","base-model":"b","versions":[{"name":"v1"}]}`),
		json.RawMessage(target),
	}}
	if _, err := platform.NewWriter(store).Commit(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	reader := platform.NewReader(store, func(*platform.View, []error) {})
	if err := reader.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	o.router = NewRouter(Config{
		Directory: o.directory, View: reader.Current, Owners: o, Peers: refusingPeers{}, OnPeerRefused: func(platform.Session) {},
		Tracer: noop.NewTracerProvider().Tracer(""),
	})
	return o
}

func (o *takeover) request(ctx context.Context, attempts int) error {
	return o.router.Dispatch(ctx, &bamboorail.Request{
		RequestID: "r", Model: bamboorail.NewModelRef("stitky", "v1"), Tokens: 4, Repeatable: true, MaxAttempts: attempts,
		Weight: 1, Priority: bamboorail.PriorityInteractive, Deadline: time.Now().Add(time.Minute),
	}, nil)
}

func (o *takeover) call(ctx context.Context) error {
	return o.router.Dispatch(ctx, &bamboorail.Request{RequestID: "r", Service: "citaren", Deadline: time.Now().Add(time.Minute)}, nil)
}

const (
	engineRecord   = `{"schema-version":1,"kind":"target","name":"e","role":"engine","zone":"z","url":"http://x","dialect":"openai","base-model":"b","slots":2,"max-batch":8}`
	drainingRecord = `{"schema-version":1,"kind":"target","name":"e","role":"engine","zone":"z","url":"http://x","dialect":"openai","base-model":"b","state":"draining","slots":2,"max-batch":8}`
	serviceRecord  = `{"schema-version":1,"kind":"target","name":"c","role":"application","zone":"z","url":"http://x","service":"citaren"}`
)

// TestRequestWaitsForTakeover checks that a request which arrives just after the
// owner of the only engine was killed waits until the next owner is announced,
// for each duration that a takeover may have.
func TestRequestWaitsForTakeover(t *testing.T) {
	// These are the times of the demo system: a heartbeat loses its connection,
	// the next one is refused, and the one after it announces the new owner.
	const detection, announcement = 2200 * time.Millisecond, 1100 * time.Millisecond
	for name, c := range map[string]struct {
		detected, announced time.Duration
		attempts            int
	}{
		"within one heartbeat":         {detection / 2, detection / 2, 0},
		"one heartbeat later":          {detection / 2, detection/2 + announcement, 0},
		"each stage at its maximum":    {detection, detection + announcement, 0},
		"the claim is not answered":    {detection, membership.TakeoverTime(1), 0},
		"the route allows one attempt": {detection / 2, detection / 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newTakeover(t, engineRecord)
				o.applyHeartbeat(&wire.TargetState{Target: "e", Term: 1, MaxBatch: batch})
				takeoverTask := task.Start(t.Context(), "take over", func(ctx context.Context) error {
					if err := task.Sleep(ctx, c.detected); err != nil {
						return err
					}
					o.directory.MarkGone("killed")
					if err := task.Sleep(ctx, c.announced-c.detected); err != nil {
						return err
					}
					o.owns = true
					o.directory.SetOwnTargets([]*wire.TargetState{{Target: "e", Term: 2, MaxBatch: batch}}, time.Now())
					return nil
				})
				start := time.Now()
				if err := o.request(t.Context(), c.attempts); err != nil {
					t.Errorf("refused after %s, although the next owner was to be announced after %s: %v", time.Since(start), c.announced, err)
				}
				takeoverTask.Join()
			})
		})
	}
}

// TestRequestDoesNotWaitWithoutTakeover checks that a request which no target can
// serve fails after the usual attempts if no takeover is pending.
func TestRequestDoesNotWaitWithoutTakeover(t *testing.T) {
	const attemptsTime = maxAttempts * maxBackoff / 2
	model := func(o *takeover, ctx context.Context) error { return o.request(ctx, 0) }
	for name, c := range map[string]struct {
		record  string
		prepare func(o *takeover)
		send    func(*takeover, context.Context) error
	}{
		"the engine is draining": {drainingRecord, func(*takeover) {}, model},
		"the owner is unresponsive": {engineRecord, func(o *takeover) {
			o.applyHeartbeat(&wire.TargetState{Target: "e", Term: 1, MaxBatch: batch})
			o.directory.MarkUnresponsive("killed")
		}, model},
		"the zone has no instance left": {otherZoneRecord, func(o *takeover) {
			o.directory.ApplyHeartbeat(&wire.InstanceState{
				Session: "far", Instance: "y1", Zone: "y", Region: "r", Peer: "y1:1", Full: true, Owned: []string{"e"},
				Targets: []*wire.TargetState{{Target: "e", Term: 1, MaxBatch: batch}},
			}, time.Now())
			o.directory.MarkGone("far")
		}, model},
		"the deduplicator has no target to call": {serviceRecord, func(o *takeover) {
			o.owns, o.result = true, notRun("choose-target", bamboorail.KindNoTarget, time.Second, errors.New("none"))
		}, (*takeover).call},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newTakeover(t, c.record)
				c.prepare(o)
				start := time.Now()
				err := c.send(o, t.Context())
				if bamboorail.KindOf(err) != bamboorail.KindNoTarget || !bamboorail.NotRun(err) {
					t.Errorf("answered %v", err)
				}
				if took := time.Since(start); took > attemptsTime {
					t.Errorf("refused after %s, expected at most %s", took, attemptsTime)
				}
			})
		})
	}
}

// otherZoneRecord declares an engine in a zone that has no live instance.
const otherZoneRecord = `{"schema-version":1,"kind":"target","name":"e","role":"engine","zone":"y","url":"http://x",` +
	`"dialect":"openai","base-model":"b","slots":2,"max-batch":8}`

// TestRequestWaitsForTakeoverFromSuccessor checks that an owner which became
// unresponsive long ago and was replaced no longer counts as the owner when its
// successor is killed. Otherwise requests would not wait for the next takeover.
func TestRequestWaitsForTakeoverFromSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTakeover(t, engineRecord)
		o.applyHeartbeat(&wire.TargetState{Target: "e", Term: 1, MaxBatch: batch})
		o.directory.MarkUnresponsive("killed")
		time.Sleep(30 * time.Second)
		o.directory.ApplyHeartbeat(&wire.InstanceState{
			Session: "successor", Instance: "a3", Zone: "z", Region: "r", Peer: "a3:1", Full: true, Owned: []string{"e"},
			Targets: []*wire.TargetState{{Target: "e", Term: 2, MaxBatch: batch}},
		}, time.Now())
		o.directory.MarkGone("successor")
		key := membership.TargetKey{Zone: "z", Name: "e"}
		if o.directory.UnresponsiveTargets(time.Now())[key] {
			t.Error("the target still counts as owned by its first owner")
		}
		start := time.Now()
		// No instance takes over in this test, so the request waits for the
		// longest takeover.
		if err := o.request(t.Context(), 0); !bamboorail.NotRun(err) {
			t.Errorf("answered %v", err)
		}
		if took := time.Since(start); took < membership.TakeoverTime(1) {
			t.Errorf("refused after %s, expected at least the takeover time of %s", took, membership.TakeoverTime(1))
		}
	})
}
