package service

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/ownership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const ownedTarget = "stroj"

// fakeOwner answers every request immediately.
type fakeOwner struct{}

func (fakeOwner) Dispatch(context.Context, *bamboorail.Request, bamboorail.Sink) error { return nil }
func (fakeOwner) Run(ctx context.Context) error                                        { <-ctx.Done(); return ctx.Err() }
func (fakeOwner) Close(error)                                                          {}
func (fakeOwner) Running() int                                                         { return 0 }
func (fakeOwner) Settled() bool                                                        { return true }
func (fakeOwner) Drained() bool                                                        { return true }
func (fakeOwner) EarlierCleared() bool                                                 { return true }
func (fakeOwner) SetTermHistory(placement.TermHistory)                                 {}
func (fakeOwner) State() *wire.TargetState                                             { return &wire.TargetState{MaxBatch: 8} }
func (fakeOwner) Preload(bamboorail.ModelRef) error                                    { return nil }

type fakeFactory struct{}

func (fakeFactory) Targets() []string { return []string{ownedTarget} }
func (fakeFactory) New(string, placement.TermHistory, time.Time) (ownership.Owner, error) {
	return fakeOwner{}, nil
}

// fakePeer simulates another instance on the fake clock of synctest.
type fakePeer struct {
	session      platform.Session
	unresponsive bool

	mu     sync.Mutex
	killed bool
}

func (p *fakePeer) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

func (p *fakePeer) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

const (
	heartbeatLatency = 50 * time.Millisecond
	// unresponsiveTimeout is the time after which a heartbeat to an unresponsive
	// peer fails.
	unresponsiveTimeout = 2 * time.Second
)

type fakePeers map[string]*fakePeer

var errRefused = &Error{bamboorail.Failure{Op: "dial", Kind: bamboorail.KindUnavailable, Outcome: bamboorail.OutcomeNotRun, Err: syscall.ECONNREFUSED}}

func (v fakePeers) Dispatch(_ context.Context, address string, _ *bamboorail.Request, _ bamboorail.Sink) error {
	if v[address].isKilled() {
		return errRefused
	}
	return nil
}

func (v fakePeers) Heartbeat(ctx context.Context, address string, _ *wire.InstanceState) (*wire.HeartbeatReply, error) {
	p := v[address]
	switch {
	case p.isKilled():
		return nil, errRefused
	case p.unresponsive:
		if err := task.Sleep(ctx, unresponsiveTimeout); err != nil {
			return nil, err
		}
		return nil, context.DeadlineExceeded
	}
	if err := task.Sleep(ctx, heartbeatLatency); err != nil {
		return nil, err
	}
	if p.isKilled() {
		return nil, io.EOF
	}
	return &wire.HeartbeatReply{Session: p.session.ID}, nil
}

// takeoverTestbed is an instance whose peers are the owner of a target in the same
// zone and an unresponsive instance in another zone.
type takeoverTestbed struct {
	instance *Instance
	store    *memory.Store
	owner    *fakePeer
}

func testSession(name, zone string) platform.Session {
	return platform.Session{ID: "session-" + name, Instance: name, Zone: zone, Region: "r", Peer: name}
}

func (b *takeoverTestbed) applyHeartbeat(s platform.Session, targets ...*wire.TargetState) {
	state := &wire.InstanceState{Session: s.ID, Instance: s.Instance, Zone: s.Zone, Region: s.Region, Peer: s.Peer, Full: true, Targets: targets}
	for _, t := range targets {
		state.Owned = append(state.Owned, t.GetTarget())
	}
	b.instance.directory.ApplyHeartbeat(state, time.Now())
}

func newTakeoverTestbed(ctx context.Context, t *testing.T) *takeoverTestbed {
	t.Helper()
	b := &takeoverTestbed{store: memory.NewStore(), owner: &fakePeer{session: testSession("a2", "z")}}
	change := platform.Change{ID: "c", Apply: []json.RawMessage{
		json.RawMessage(`{"schema-version":1,"kind":"adapter","name":"stitky","base-model":"b","versions":[{"name":"v1"}]}`),
		json.RawMessage(`{"schema-version":1,"kind":"target","name":"stroj","role":"engine","zone":"z","url":"http://x","dialect":"openai","base-model":"b","slots":2,"max-batch":8}`),
	}}
	if _, err := platform.NewWriter(b.store).Commit(ctx, change); err != nil {
		t.Fatal(err)
	}
	ledger := platform.NewLedger()
	ledger.Targets[ownedTarget] = platform.Ownership{Current: platform.Holder{Term: 1, Session: b.owner.session.ID, Instance: "a2", Peer: "a2"}}
	if _, err := platform.WriteLedger(ctx, b.store, "z", ledger, 0); err != nil {
		t.Fatal(err)
	}
	unresponsive := &fakePeer{session: testSession("b1", "y"), unresponsive: true}
	i := &Instance{
		settings: settings.Entry{Instance: "a1", Zone: "z", Region: "r"}, logs: logflags.Discard(), store: b.store,
		metrics: telemetry.NewMetrics(), tracer: noop.NewTracerProvider().Tracer(""),
	}
	i.log = i.logs.Layer("service")
	i.config = newConfiguration(i)
	i.assemble(testSession("a1", "z"), fakeFactory{}, fakePeers{"a2": b.owner, "b1": unresponsive})
	b.instance = i
	i.config.refresh(ctx)
	b.applyHeartbeat(unresponsive.session)
	return b
}

// announce delivers the heartbeats of the owner until it is killed.
func (b *takeoverTestbed) announce(ctx context.Context) error {
	return task.Every(ctx, time.Second, func(context.Context) {
		if !b.owner.isKilled() {
			b.applyHeartbeat(b.owner.session, &wire.TargetState{Target: ownedTarget, Term: 1, MaxBatch: 8})
		}
	})
}

// awaitTakeover waits until the instance announces the target as its own.
func (b *takeoverTestbed) awaitTakeover() {
	for _, owned := b.instance.directory.OwnTargets()[ownedTarget]; !owned; _, owned = b.instance.directory.OwnTargets()[ownedTarget] {
		time.Sleep(time.Millisecond)
	}
}

func (b *takeoverTestbed) request(ctx context.Context) error {
	return b.instance.router.Dispatch(ctx, &bamboorail.Request{
		RequestID: "r", Model: bamboorail.NewModelRef("stitky", "v1"), Tokens: 4, Repeatable: true,
		Weight: 1, Priority: bamboorail.PriorityInteractive, Deadline: time.Now().Add(time.Minute),
	}, nil)
}

// hangClaims makes writes to the ledger time out.
func (b *takeoverTestbed) hangClaims() {
	b.store.SetHook(func(op, key string) error {
		if op == "put-object" && strings.HasPrefix(key, "ledger/") {
			time.Sleep(platform.CallTimeout)
			return errors.New("the store does not answer")
		}
		return nil
	})
}

// TestTakeoverAfterKillIsBounded kills the owner of a target at different
// times between two heartbeats, with another peer that is unresponsive. A request
// must not be refused while the next owner takes over, and must not wait for a
// heartbeat if its own connection was refused. The next owner must be announced
// within membership.TakeoverTime, on which the waiting time of requests is based.
func TestTakeoverAfterKillIsBounded(t *testing.T) {
	const step = 50 * time.Millisecond
	detection := membership.TakeoverTime(2) - platform.CallTimeout
	for name, c := range map[string]struct {
		hang, request bool
		bound         time.Duration
	}{
		"detected by a request":                   {request: true, bound: membership.HeartbeatInterval(2) / 2},
		"detected by heartbeats":                  {bound: detection},
		"detected by a request, claim times out":  {request: true, hang: true, bound: platform.CallTimeout + membership.HeartbeatInterval(2)},
		"detected by heartbeats, claim times out": {hang: true, bound: membership.TakeoverTime(2)},
	} {
		t.Run(name, func(t *testing.T) {
			for after := time.Duration(0); after < 2*membership.HeartbeatInterval(2); after += step {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					b := newTakeoverTestbed(ctx, t)
					tasks := []*task.Task{
						task.Start(ctx, "announce", b.announce), task.Start(ctx, "heartbeats", b.instance.heartbeats.run),
						task.Start(ctx, "ownership", b.instance.manager.Run),
					}
					defer func() {
						cancel()
						for _, d := range tasks {
							d.Join()
						}
					}()
					// The second peer is marked as unresponsive within 5 s.
					time.Sleep(5*time.Second + after + time.Millisecond)
					if c.hang {
						b.hangClaims()
					}
					b.owner.kill()
					start := time.Now()
					if c.request {
						if err := b.request(ctx); err != nil {
							t.Errorf("killed %s after a heartbeat: refused after %s: %v", after, time.Since(start), err)
						}
					} else {
						b.awaitTakeover()
					}
					if took := time.Since(start); took > c.bound {
						t.Errorf("killed %s after a heartbeat: the next owner serves after %s, bound %s", after, took, c.bound)
					}
				})
			}
		})
	}
}
