package service

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/telemetry"
)

var errFullStateRequested = errors.New("the peer requested the full state")

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func notOwner(target string) error {
	return &Error{bamboorail.Failure{
		Op: "find-owner", Kind: bamboorail.KindNotOwner, Outcome: bamboorail.OutcomeNotRun, RetryAfter: time.Second,
		Err: fmt.Errorf("this instance does not own target %q", target),
	}}
}

// owners looks up the owners in this process and traces the requests to them.
type owners struct{ instance *Instance }

// Dispatcher returns the owner of a target.
func (o *owners) Dispatcher(target string) (bamboorail.Dispatcher, bool) {
	d, ok := o.instance.manager.Owner(target)
	if !ok {
		return nil, false
	}
	return &tracedOwner{next: d, tracer: o.instance.tracer}, true
}

// tracedOwner records a span for each request to an owner.
type tracedOwner struct {
	next   bamboorail.Dispatcher
	tracer trace.Tracer
}

// Dispatch runs a request within a span.
func (t *tracedOwner) Dispatch(ctx context.Context, req *bamboorail.Request, s bamboorail.Sink) error {
	ctx, span := t.tracer.Start(ctx, "owner "+req.Target, trace.WithAttributes(telemetry.RequestIDKey.String(req.RequestID)))
	defer span.End()
	return t.next.Dispatch(ctx, req, &tracedSink{Sink: s, span: span})
}

// tracedSink adds attributes from the head of a response to the span.
type tracedSink struct {
	bamboorail.Sink
	span trace.Span
}

func (t *tracedSink) Begin(h bamboorail.ResponseHead) error {
	t.span.SetAttributes(attribute.String("target", h.Target),
		attribute.String("queue-wait", h.QueueWait.String()), attribute.String("load-wait", h.LoadWait.String()))
	return t.Sink.Begin(h)
}

// peerHandler serves the requests of peers.
type peerHandler struct{ instance *Instance }

var _ peer.Handler = (*peerHandler)(nil)

// Serve runs a request of a peer on a target owned by this instance. It routes a
// request without a target, which was forwarded from another zone.
func (p *peerHandler) Serve(ctx context.Context, req *bamboorail.Request, s bamboorail.Sink) error {
	if req.Target == "" {
		return p.instance.router.Dispatch(ctx, req, s)
	}
	d, ok := (&owners{p.instance}).Dispatcher(req.Target)
	if !ok || (req.Zone != "" && req.Zone != p.instance.settings.Zone) {
		return notOwner(req.Target)
	}
	return d.Dispatch(ctx, req, s)
}

// Heartbeat records the state of a peer and returns that of this instance.
func (p *peerHandler) Heartbeat(state *wire.InstanceState) *wire.HeartbeatReply {
	i := p.instance
	full := i.directory.ApplyHeartbeat(state, time.Now())
	if state.GetRevision() > i.config.View().Revision() {
		i.config.requestRefresh()
	}
	self := i.directory.Self()
	return &wire.HeartbeatReply{
		Session: self.ID, Instance: self.Instance, Zone: self.Zone, Region: self.Region,
		Revision: i.config.View().Revision(), WantFull: full,
	}
}

// AcquirePermit waits for a permit from the permit holder in this process.
func (p *peerHandler) AcquirePermit(ctx context.Context, r bamboorail.PermitRequest) (bamboorail.Permit, error) {
	return p.instance.holder.AcquirePermit(ctx, r)
}

// Reachable reports whether a session exchanges heartbeats with this instance.
func (p *peerHandler) Reachable(session string) bool {
	reachable := p.instance.directory.Reachable(time.Now())
	return slices.ContainsFunc(reachable, func(s platform.Session) bool { return s.ID == session })
}

// Preload makes a target owned by this instance load a model.
func (p *peerHandler) Preload(target string, m bamboorail.ModelRef) error {
	o, ok := p.instance.manager.Owner(target)
	if !ok {
		return notOwner(target)
	}
	return o.Preload(m)
}

// Snapshot returns the active configuration if it is newer than a revision.
func (p *peerHandler) Snapshot(newerThan uint64) ([]byte, error) {
	v := p.instance.config.View()
	if v.Revision() <= newerThan {
		return nil, nil
	}
	return v.Snapshot()
}

// ZoneState returns the instances of this zone and the targets that they own.
func (p *peerHandler) ZoneState() *wire.ZoneStateReply {
	i := p.instance
	now := time.Now()
	self := i.directory.Self()
	states := map[string]*wire.InstanceState{self.ID: {
		Session: self.ID, Instance: self.Instance, Zone: self.Zone, Peer: self.Peer,
		Revision: i.config.View().Revision(), Leaving: i.leaving.Load(),
	}}
	for _, m := range i.directory.Members(now) {
		if m.Session.Zone == self.Zone && (m.State == membership.StateLive || m.State == membership.StateLeaving) {
			states[m.Session.ID] = &wire.InstanceState{
				Session: m.Session.ID, Instance: m.Session.Instance, Zone: m.Session.Zone, Peer: m.Session.Peer,
				Revision: m.Revision, Leaving: m.State == membership.StateLeaving,
			}
		}
	}
	for _, t := range i.directory.Targets(now) {
		if s, ok := states[t.Session]; ok {
			s.Targets = append(s.Targets, t.State)
		}
	}
	return &wire.ZoneStateReply{Instances: slices.Collect(maps.Values(states))}
}

// Spans returns the recorded spans of a trace or request.
func (p *peerHandler) Spans(r *wire.SpansRequest) *wire.SpansReply {
	reply := &wire.SpansReply{}
	for _, s := range p.instance.spans.Find(r.GetTraceId(), r.GetRequestId()) {
		m := &wire.Span{
			TraceId: s.TraceID, SpanId: s.SpanID, ParentId: s.ParentID, Name: s.Name, Instance: s.Instance,
			StartUnixMicros: s.Start.UnixMicro(), DurationMicros: s.Duration.Microseconds(),
		}
		for k, v := range s.Fields {
			m.Fields = append(m.Fields, &wire.SpanField{Key: k, Value: v})
		}
		reply.Spans = append(reply.Spans, m)
	}
	return reply
}

// permits acquires permits from the permit holder of the region.
type permits struct{ instance *Instance }

// AcquirePermit waits for a permit. If the permit holder cannot be reached, this
// process issues the permit itself: more loads than the limit may then run at
// the same time, which slows them down but is safe.
func (p *permits) AcquirePermit(ctx context.Context, r bamboorail.PermitRequest) (bamboorail.Permit, error) {
	i := p.instance
	r.Session = i.directory.Self().ID
	holder := permitHolder(i.directory.Reachable(time.Now()), i.settings.Region)
	if holder.ID == i.directory.Self().ID {
		return i.holder.AcquirePermit(ctx, r)
	}
	permit, err := i.peers.AcquirePermit(ctx, holder.Peer, r)
	if err != nil && bamboorail.NotRun(err) {
		return i.holder.AcquirePermit(ctx, r)
	}
	return permit, err
}

// permitHolder selects the permit holder of a region by rendezvous hashing.
func permitHolder(candidates []platform.Session, region string) platform.Session {
	weight := func(s platform.Session) uint64 { return xxhash.Sum64String("permits/" + region + "\x00" + s.ID) }
	return slices.MaxFunc(candidates, func(a, b platform.Session) int {
		if weight(a) < weight(b) {
			return -1
		}
		return 1
	})
}

// snapshotSources lists the peers that may have a newer configuration: those that
// announced a newer revision and, if this instance has none yet, the configured
// seeds.
func (i *Instance) snapshotSources(revision uint64) []string {
	var addresses []string
	for _, m := range i.directory.Members(time.Now()) {
		if m.Revision > revision && m.State != membership.StateGone {
			addresses = append(addresses, m.Session.Peer)
		}
	}
	if revision == 0 {
		addresses = append(addresses, i.settings.Seeds...)
	}
	return addresses
}
