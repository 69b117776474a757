package service

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/operator"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/telemetry"
	"bamboorail.example/bamboorail/pkg/operatorapi"
	"bamboorail.example/bamboorail/pkg/record"
)

// operatorSource implements the operator API on the state of this instance.
type operatorSource struct{ instance *Instance }

var _ operator.Source = (*operatorSource)(nil)

// View returns the active configuration.
func (o *operatorSource) View() *platform.View { return o.instance.config.View() }

// ConfigurationChanged triggers a read of the latest revision.
func (o *operatorSource) ConfigurationChanged() { o.instance.config.requestRefresh() }

func (o *operatorSource) SetLogLevel(level string) error { return o.instance.logs.SetLevel(level) }

// zoneStates collects the states of the instances of all zones: those of this
// zone from this process, those of each other zone from one instance there.
func (o *operatorSource) zoneStates(ctx context.Context) []*wire.InstanceState {
	i := o.instance
	states := (&peerHandler{i}).ZoneState().GetInstances()
	asked := map[string]bool{i.settings.Zone: true}
	for _, m := range i.directory.Members(time.Now()) {
		if asked[m.Session.Zone] || m.State != membership.StateLive {
			continue
		}
		if reply, err := i.peers.ZoneState(ctx, m.Session.Peer); err == nil {
			asked[m.Session.Zone] = true
			states = append(states, reply.GetInstances()...)
		}
	}
	return states
}

// Targets lists the declared targets with the states announced by their owners.
func (o *operatorSource) Targets(ctx context.Context) []operatorapi.Target {
	states := o.zoneStates(ctx)
	targets := o.View().Targets()
	list := make([]operatorapi.Target, 0, len(targets))
	for _, t := range targets {
		row := operatorapi.Target{
			Name: t.Name(), Zone: t.Zone(), Role: string(t.Role()), State: string(record.TargetActive),
			Slots: t.Slots(), MaxBatch: t.MaxBatch(), Adapters: []string{},
		}
		if o.instance.refusal(t) != nil {
			row.State = string(record.TargetDraining)
		}
		for _, s := range states {
			mergeState(&row, s)
		}
		list = append(list, row)
	}
	return list
}

// mergeState copies the state of a target announced by an instance to its row.
// An announcement of an earlier term is ignored.
func mergeState(row *operatorapi.Target, s *wire.InstanceState) {
	for _, t := range s.GetTargets() {
		if t.GetTarget() != row.Name || t.GetTerm() < row.Term {
			continue
		}
		if t.GetLeaving() {
			row.State = string(membership.StateLeaving)
		}
		row.Owner, row.Term = s.GetInstance(), t.GetTerm()
		row.Running, row.Queued = int(t.GetRunning()), int(t.GetQueued())
		row.Adapters = row.Adapters[:0]
		for _, l := range t.GetLoaded() {
			name := l.GetModel()
			switch {
			case l.GetLoading():
				name += " (loading)"
			case !l.GetReady():
				name += " (held)"
			}
			row.Adapters = append(row.Adapters, name)
		}
	}
}

// Instances lists the known instances with their active configuration revision.
func (o *operatorSource) Instances(ctx context.Context) []operatorapi.Instance {
	list := []operatorapi.Instance{}
	listed := map[string]bool{}
	for _, s := range o.zoneStates(ctx) {
		state := membership.StateLive
		if s.GetLeaving() {
			state = membership.StateLeaving
		}
		listed[s.GetSession()] = true
		list = append(list, operatorapi.Instance{
			Name: s.GetInstance(), Zone: s.GetZone(), Session: s.GetSession(), Peer: s.GetPeer(),
			State: string(state), Revision: s.GetRevision(), Owned: len(s.GetTargets()),
		})
	}
	for _, m := range o.instance.directory.Members(time.Now()) {
		if !listed[m.Session.ID] {
			list = append(list, operatorapi.Instance{
				Name: m.Session.Instance, Zone: m.Session.Zone, Session: m.Session.ID, Peer: m.Session.Peer,
				State: string(m.State), Revision: m.Revision,
			})
		}
	}
	slices.SortFunc(list, func(a, b operatorapi.Instance) int { return strings.Compare(a.Name+a.Session, b.Name+b.Session) })
	return list
}

// Trace collects the spans of a request from all instances.
func (o *operatorSource) Trace(ctx context.Context, requestID string) operatorapi.Trace {
	i := o.instance
	t := operatorapi.Trace{RequestID: requestID}
	request := &wire.SpansRequest{RequestId: requestID}
	replies := []*wire.SpansReply{(&peerHandler{i}).Spans(request)}
	for _, m := range i.directory.Members(time.Now()) {
		if m.State == membership.StateGone || m.State == membership.StateExpired {
			continue
		}
		if reply, err := i.peers.Spans(ctx, m.Session.Peer, request); err == nil {
			replies = append(replies, reply)
		}
	}
	var spans []telemetry.Span
	for _, r := range replies {
		for _, s := range r.GetSpans() {
			spans = append(spans, spanOf(s))
		}
	}
	telemetry.SortSpans(spans)
	for _, s := range spans {
		t.TraceID = s.TraceID
		t.Spans = append(t.Spans, operatorapi.Span(s))
	}
	return t
}

func spanOf(s *wire.Span) telemetry.Span {
	span := telemetry.Span{
		TraceID: s.GetTraceId(), SpanID: s.GetSpanId(), ParentID: s.GetParentId(), Name: s.GetName(), Instance: s.GetInstance(),
		Start: time.UnixMicro(s.GetStartUnixMicros()), Duration: time.Duration(s.GetDurationMicros()) * time.Microsecond,
		Fields: map[string]string{},
	}
	for _, f := range s.GetFields() {
		span.Fields[f.GetKey()] = f.GetValue()
	}
	return span
}

// Load asks the owner of a target to load a model.
func (o *operatorSource) Load(ctx context.Context, m bamboorail.ModelRef, target string) error {
	const op = "load-model"
	t, ok := o.View().Target(target)
	if !ok {
		return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindUnknownTarget, Err: fmt.Errorf("target %q is not declared", target)}}
	}
	a, ok := o.View().Adapter(m.Adapter())
	if _, active := a.Version(m.Version()); !ok || !active || !a.MayRunOn(t) {
		return &Error{bamboorail.Failure{
			Op: op, Kind: bamboorail.KindUnknownAdapter, Err: fmt.Errorf("model %s is not declared for target %q", m, target),
		}}
	}
	if local, ok := o.instance.manager.Owner(target); ok {
		return local.Preload(m)
	}
	announced, ok := o.instance.directory.Targets(time.Now())[membership.TargetKey{Zone: t.Zone(), Name: target}]
	if !ok {
		return notOwner(target)
	}
	return o.instance.peers.Preload(ctx, announced.Peer, target, m)
}
