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
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/ownership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const ownedTarget = "stroj"

// virtualOwner serves every request at once.
type virtualOwner struct{}

func (virtualOwner) Dispatch(context.Context, *bamboorail.Request, bamboorail.Sink) error { return nil }
func (virtualOwner) Run(ctx context.Context) error                                        { <-ctx.Done(); return ctx.Err() }
func (virtualOwner) Close(error)                                                          {}
func (virtualOwner) Running() int                                                         { return 0 }
func (virtualOwner) Settled() bool                                                        { return true }
func (virtualOwner) Drained() bool                                                        { return true }
func (virtualOwner) EarlierCleared() bool                                                 { return true }
func (virtualOwner) SetEvidence(placement.TermHistory)                                    {}
func (virtualOwner) State() *wire.TargetState                                             { return &wire.TargetState{MaxBatch: 8} }
func (virtualOwner) Preload(bamboorail.ModelRef) error                                    { return nil }

type virtualFactory struct{}

func (virtualFactory) Targets() []string { return []string{ownedTarget} }
func (virtualFactory) New(string, placement.TermHistory, time.Time) (ownership.Owner, error) {
	return virtualOwner{}, nil
}

// virtualPeer is another instance, in virtual time.
type virtualPeer struct {
	session platform.Session
	silent  bool

	mu     sync.Mutex
	killed bool
}

func (p *virtualPeer) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

func (p *virtualPeer) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

const (
	virtualLatency = 50 * time.Millisecond
	// silence is the time after which a heartbeat to a silent peer fails.
	silence = 2 * time.Second
)

type virtualPeers map[string]*virtualPeer

var errRefused = &Error{bamboorail.Failure{Op: "dial", Kind: bamboorail.KindUnavailable, Outcome: bamboorail.OutcomeNotRun, Err: syscall.ECONNREFUSED}}

func (v virtualPeers) Dispatch(_ context.Context, address string, _ *bamboorail.Request, _ bamboorail.Sink) error {
	if v[address].isKilled() {
		return errRefused
	}
	return nil
}

func (v virtualPeers) Heartbeat(ctx context.Context, address string, _ *wire.InstanceState) (*wire.HeartbeatReply, error) {
	p := v[address]
	switch {
	case p.isKilled():
		return nil, errRefused
	case p.silent:
		if err := duty.Sleep(ctx, silence); err != nil {
			return nil, err
		}
		return nil, context.DeadlineExceeded
	}
	if err := duty.Sleep(ctx, virtualLatency); err != nil {
		return nil, err
	}
	if p.isKilled() {
		return nil, io.EOF
	}
	return &wire.HeartbeatReply{Session: p.session.ID}, nil
}

// takeoverBed is an instance beside the owner of a target in its zone and a
// silent instance in another one.
type takeoverBed struct {
	instance *Instance
	store    *memory.Store
	owner    *virtualPeer
}

func virtualSession(name, zone string) platform.Session {
	return platform.Session{ID: "session-" + name, Instance: name, Zone: zone, Region: "r", Peer: name}
}

func (b *takeoverBed) heard(s platform.Session, targets ...*wire.TargetState) {
	state := &wire.InstanceState{Session: s.ID, Instance: s.Instance, Zone: s.Zone, Region: s.Region, Peer: s.Peer, Full: true, Targets: targets}
	for _, t := range targets {
		state.Owned = append(state.Owned, t.GetTarget())
	}
	b.instance.directory.ApplyHeartbeat(state, time.Now())
}

func newTakeoverBed(ctx context.Context, t *testing.T) *takeoverBed {
	t.Helper()
	b := &takeoverBed{store: memory.NewStore(), owner: &virtualPeer{session: virtualSession("a2", "z")}}
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
	silent := &virtualPeer{session: virtualSession("b1", "y"), silent: true}
	i := &Instance{
		settings: settings.Entry{Instance: "a1", Zone: "z", Region: "r"}, logs: logflags.Discard(), store: b.store,
		metrics: telemetry.NewMetrics(), tracer: noop.NewTracerProvider().Tracer(""),
	}
	i.log = i.logs.Layer("service")
	i.config = newConfiguration(i)
	i.assemble(virtualSession("a1", "z"), virtualFactory{}, virtualPeers{"a2": b.owner, "b1": silent})
	b.instance = i
	i.config.refresh(ctx)
	b.heard(silent.session)
	return b
}

// announce sends the heartbeats of the owner while it lives.
func (b *takeoverBed) announce(ctx context.Context) error {
	return duty.Every(ctx, time.Second, func(context.Context) {
		if !b.owner.isKilled() {
			b.heard(b.owner.session, &wire.TargetState{Target: ownedTarget, Term: 1, MaxBatch: 8})
		}
	})
}

// taken waits until the instance announces the target as its own.
func (b *takeoverBed) taken() {
	for _, owned := b.instance.directory.OwnTargets()[ownedTarget]; !owned; _, owned = b.instance.directory.OwnTargets()[ownedTarget] {
		time.Sleep(time.Millisecond)
	}
}

func (b *takeoverBed) request(ctx context.Context) error {
	return b.instance.router.Dispatch(ctx, &bamboorail.Request{
		RequestID: "r", Model: bamboorail.NewModelRef("stitky", "v1"), Tokens: 4, Repeatable: true,
		Weight: 1, Priority: bamboorail.PriorityInteractive, Deadline: time.Now().Add(time.Minute),
	}, nil)
}

// hangClaims leaves claims in the ledger without an answer.
func (b *takeoverBed) hangClaims() {
	b.store.SetHook(func(op, key string) error {
		if op == "put-object" && strings.HasPrefix(key, "ledger/") {
			time.Sleep(platform.CallTimeout)
			return errors.New("the store does not answer")
		}
		return nil
	})
}

// TestTakeoverAfterAKillKeepsItsBounds kills the owner of a target at many
// moments between two heartbeats, beside an instance that does not answer. A
// request must not be refused while the next owner takes over, must not wait for
// a heartbeat if its own connection was refused, and the next owner must be
// announced within the bound on which the wait of requests rests.
func TestTakeoverAfterAKillKeepsItsBounds(t *testing.T) {
	const phase = 50 * time.Millisecond
	noticed := membership.TakeoverTime(2) - platform.CallTimeout
	for name, c := range map[string]struct {
		hang, request bool
		most          time.Duration
	}{
		"a request finds it":                        {request: true, most: membership.HeartbeatInterval(2) / 2},
		"heartbeats find it":                        {most: noticed},
		"a request finds it, the claim hangs":       {request: true, hang: true, most: platform.CallTimeout + membership.HeartbeatInterval(2)},
		"heartbeats find it, the claim is not sure": {hang: true, most: membership.TakeoverTime(2)},
	} {
		t.Run(name, func(t *testing.T) {
			for after := time.Duration(0); after < 2*membership.HeartbeatInterval(2); after += phase {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					b := newTakeoverBed(ctx, t)
					duties := []*duty.Task{
						duty.Start(ctx, "announce", b.announce), duty.Start(ctx, "heartbeats", b.instance.beats.run),
						duty.Start(ctx, "ownership", b.instance.manager.Run),
					}
					defer func() {
						cancel()
						for _, d := range duties {
							d.Join()
						}
					}()
					// By then the silent instance counts as such.
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
						b.taken()
					}
					if took := time.Since(start); took > c.most {
						t.Errorf("killed %s after a heartbeat: the next owner serves after %s, bound %s", after, took, c.most)
					}
				})
			}
		})
	}
}
