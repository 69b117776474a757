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
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// refusingPeers stand for processes that were killed.
type refusingPeers struct{}

func (refusingPeers) Dispatch(context.Context, string, *bamboorail.Request, bamboorail.Sink) error {
	return notRun("dispatch", bamboorail.KindUnavailable, time.Second, fmt.Errorf("dial: %w", syscall.ECONNREFUSED))
}

// constantOwner answers every request with the same result.
type constantOwner struct{ result error }

func (o constantOwner) Dispatch(context.Context, *bamboorail.Request, bamboorail.Sink) error {
	return o.result
}

// takeover is an instance that takes over the target of one that was killed.
type takeover struct {
	directory *membership.Directory
	router    *Router
	owns      bool
	result    error
}

// Dispatcher returns the owner of a target that was taken over.
func (o *takeover) Dispatcher(string) (bamboorail.Dispatcher, bool) {
	return constantOwner{o.result}, o.owns
}

func (o *takeover) heard(targets ...*wire.TargetState) {
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
		Directory: o.directory, View: reader.Current, Owners: o, Peers: refusingPeers{}, Gone: func(platform.Session) {},
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

// TestRequestOutlastsTheTakeoverOfItsTarget: the owner of the only engine was
// killed just before. The request waits until the next owner is announced, for
// each time that the takeover may need.
func TestRequestOutlastsTheTakeoverOfItsTarget(t *testing.T) {
	// As in the demo: a heartbeat breaks off, the next is refused, and the one
	// after it announces the new owner.
	const notice, announce = 2200 * time.Millisecond, 1100 * time.Millisecond
	for name, c := range map[string]struct {
		notice, announced time.Duration
		attempts          int
	}{
		"as quick as one heartbeat":    {notice / 2, notice / 2, 0},
		"a heartbeat later":            {notice / 2, notice/2 + announce, 0},
		"each stage as slow as it is":  {notice, notice + announce, 0},
		"the claim is not answered":    {notice, membership.TakeoverTime(1), 0},
		"the route allows one attempt": {notice / 2, notice / 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newTakeover(t, engineRecord)
				o.heard(&wire.TargetState{Target: "e", Term: 1, MaxBatch: batch})
				taking := duty.Start(t.Context(), "take over", func(ctx context.Context) error {
					if err := duty.Sleep(ctx, c.notice); err != nil {
						return err
					}
					o.directory.MarkGone("killed")
					if err := duty.Sleep(ctx, c.announced-c.notice); err != nil {
						return err
					}
					o.owns = true
					o.directory.SetOwnTargets([]*wire.TargetState{{Target: "e", Term: 2, MaxBatch: batch}}, time.Now())
					return nil
				})
				start := time.Now()
				if err := o.request(t.Context(), c.attempts); err != nil {
					t.Errorf("refused after %s, the next owner was announced after %s: %v", time.Since(start), c.announced, err)
				}
				taking.Join()
			})
		})
	}
}

// TestRequestDoesNotWaitWithoutATakeover: nothing serves the request, and no
// takeover is under way. It ends with its usual tries.
func TestRequestDoesNotWaitWithoutATakeover(t *testing.T) {
	const tries = maxAttempts * maxBackoff / 2
	model := func(o *takeover, ctx context.Context) error { return o.request(ctx, 0) }
	for name, c := range map[string]struct {
		record  string
		prepare func(o *takeover)
		send    func(*takeover, context.Context) error
	}{
		"operators drain the engine": {drainingRecord, func(*takeover) {}, model},
		"the owner is silent": {engineRecord, func(o *takeover) {
			o.heard(&wire.TargetState{Target: "e", Term: 1, MaxBatch: batch})
			o.directory.MarkUnresponsive("killed")
		}, model},
		"no instance of the zone is left": {farRecord, func(o *takeover) {
			o.directory.ApplyHeartbeat(&wire.InstanceState{
				Session: "far", Instance: "y1", Zone: "y", Region: "r", Peer: "y1:1", Full: true, Owned: []string{"e"},
				Targets: []*wire.TargetState{{Target: "e", Term: 1, MaxBatch: batch}},
			}, time.Now())
			o.directory.MarkGone("far")
		}, model},
		"the keeper has no target to call": {serviceRecord, func(o *takeover) {
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
				if took := time.Since(start); took > tries {
					t.Errorf("refused after %s, expected within %s", took, tries)
				}
			})
		})
	}
}

// farRecord is an engine of a zone without an instance.
const farRecord = `{"schema-version":1,"kind":"target","name":"e","role":"engine","zone":"y","url":"http://x",` +
	`"dialect":"openai","base-model":"b","slots":2,"max-batch":8}`

// TestRequestOutlastsTheTakeoverFromASuccessor: an owner that fell silent long
// ago, and was succeeded, does not stand for the target any more when its
// successor is killed.
func TestRequestOutlastsTheTakeoverFromASuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTakeover(t, engineRecord)
		o.heard(&wire.TargetState{Target: "e", Term: 1, MaxBatch: batch})
		o.directory.MarkUnresponsive("killed")
		time.Sleep(30 * time.Second)
		o.directory.ApplyHeartbeat(&wire.InstanceState{
			Session: "successor", Instance: "a3", Zone: "z", Region: "r", Peer: "a3:1", Full: true, Owned: []string{"e"},
			Targets: []*wire.TargetState{{Target: "e", Term: 2, MaxBatch: batch}},
		}, time.Now())
		o.directory.MarkGone("successor")
		key := membership.TargetKey{Zone: "z", Name: "e"}
		if o.directory.UnresponsiveTargets(time.Now())[key] {
			t.Error("the target counts as held by its first owner")
		}
		start := time.Now()
		// Nobody takes over in this test: the wait is that for a takeover.
		if err := o.request(t.Context(), 0); !bamboorail.NotRun(err) {
			t.Errorf("answered %v", err)
		}
		if took := time.Since(start); took < membership.TakeoverTime(1) {
			t.Errorf("refused after %s, a takeover may take %s", took, membership.TakeoverTime(1))
		}
	})
}
