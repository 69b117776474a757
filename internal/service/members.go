package service

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	listInterval = 5 * time.Second
	// listAllEvery is the period, in listings, at which the sessions of all
	// zones are listed instead of those of this zone.
	listAllEvery = 6
)

// renewSession renews the session of this process at regular intervals.
func (i *Instance) renewSession(ctx context.Context) error {
	return task.Every(ctx, platform.RenewInterval, func(ctx context.Context) {
		if err := i.sessions.Renew(ctx, i.leaving.Load()); err != nil {
			i.log.Debug("failed to renew session", "error", err)
		}
	})
}

// listSessions reads the sessions and the platform's list of instances at regular
// intervals.
func (i *Instance) listSessions(ctx context.Context) error {
	n := 0
	return task.Every(ctx, listInterval, func(ctx context.Context) {
		zone := i.settings.Zone
		if n%listAllEvery == 0 || i.hasUncoveredZone() {
			zone = ""
		}
		n++
		objects, err := platform.ListSessions(ctx, i.store, zone)
		if err != nil {
			i.log.Debug("failed to list sessions", "error", err)
			return
		}
		i.directory.ApplySessions(zone, objects, time.Now())
		if list, err := i.store.Instances(ctx); err == nil {
			i.directory.ApplyInstances(list)
		}
	})
}

// hasUncoveredZone reports whether a zone with targets has no known live instance.
func (i *Instance) hasUncoveredZone() bool {
	covered := map[string]bool{i.settings.Zone: true}
	for _, m := range i.directory.Members(time.Now()) {
		covered[m.Session.Zone] = covered[m.Session.Zone] || m.State == membership.StateLive
	}
	return slices.ContainsFunc(i.config.View().Targets(), func(t record.Target) bool { return !covered[t.Zone()] })
}

// markPeerGone records proof that the process of a session has ended.
func (i *Instance) markPeerGone(s platform.Session) {
	if i.directory.MarkGone(s.ID) {
		i.log.Warn("peer process has ended", "instance", s.Instance, "session", s.ID)
		i.manager.TriggerPlan()
	}
}

// heartbeatSender sends the state of this instance to the peers of its region.
type heartbeatSender struct {
	instance *Instance
	peers    heartbeatClient
	triggers chan struct{}
	// results receives the results of the heartbeats in flight. At most one is in
	// flight per session or seed.
	results  chan heartbeatResult
	inFlight map[receiverKey]bool
	// sent holds the target states last acknowledged by each peer session.
	sent map[string]map[string]*wire.TargetState
	next map[string]time.Time
	// misses counts the consecutive heartbeats that a session did not answer.
	misses map[string]int
}

// heartbeatClient sends heartbeats to peers.
type heartbeatClient interface {
	Heartbeat(ctx context.Context, address string, state *wire.InstanceState) (*wire.HeartbeatReply, error)
}

// receiverKey identifies the receiver of a heartbeat. A seed has only an address.
type receiverKey struct{ session, address string }

func receiverKeyOf(s platform.Session) receiverKey { return receiverKey{s.ID, s.Peer} }

// heartbeatResult is the result of a heartbeat and the states that it carried.
type heartbeatResult struct {
	to     platform.Session
	states []*wire.TargetState
	err    error
}

// maxMisses is the number of consecutive missed heartbeats after which a peer
// counts as unresponsive: requests are routed elsewhere, but the peer keeps its
// ownership.
const maxMisses = 2

func newHeartbeatSender(i *Instance, p heartbeatClient) *heartbeatSender {
	return &heartbeatSender{
		instance: i, peers: p, triggers: make(chan struct{}, 1), results: make(chan heartbeatResult), inFlight: map[receiverKey]bool{},
		sent: map[string]map[string]*wire.TargetState{}, next: map[string]time.Time{}, misses: map[string]int{},
	}
}

// sendNow triggers a heartbeat to every peer without waiting for the interval.
func (h *heartbeatSender) sendNow() {
	select {
	case h.triggers <- struct{}{}:
	default:
	}
}

func (h *heartbeatSender) run(ctx context.Context) error {
	t := time.NewTicker(membership.HeartbeatTick)
	defer t.Stop()
	defer h.drain()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-h.results:
			h.handleResult(r)
		case <-t.C:
			h.sendAll(ctx, h.due(time.Now()))
		case <-h.triggers:
			clear(h.next)
			h.updateOwnTargets()
			h.sendAll(ctx, h.due(time.Now()))
		}
	}
}

// drain waits for the heartbeats in flight, which end with their context.
func (h *heartbeatSender) drain() {
	for len(h.inFlight) > 0 {
		delete(h.inFlight, receiverKeyOf((<-h.results).to))
	}
}

// updateOwnTargets copies the states of the owned targets into the directory.
func (h *heartbeatSender) updateOwnTargets() []*wire.TargetState {
	states := h.instance.manager.States()
	h.instance.directory.SetOwnTargets(states, time.Now())
	return states
}

// sendAll sends the heartbeats that are due. Each one runs in its own goroutine,
// so that an unresponsive peer does not delay the others.
func (h *heartbeatSender) sendAll(ctx context.Context, due []platform.Session) {
	if len(due) == 0 {
		return
	}
	states := h.updateOwnTargets()
	for _, s := range due {
		if h.inFlight[receiverKeyOf(s)] {
			continue
		}
		message := h.message(s.ID, states)
		h.inFlight[receiverKeyOf(s)] = true
		go func() { h.results <- heartbeatResult{s, states, h.send(ctx, s, message)} }()
	}
}

// handleResult processes the result of a heartbeat.
func (h *heartbeatSender) handleResult(r heartbeatResult) {
	delete(h.inFlight, receiverKeyOf(r.to))
	h.countMisses(r.to, r.err)
	if r.err != nil {
		delete(h.sent, r.to.ID)
		return
	}
	h.sent[r.to.ID] = byName(r.states)
}

// countMisses counts missed heartbeats and marks a session that missed too many
// as unresponsive.
func (h *heartbeatSender) countMisses(s platform.Session, err error) {
	if err == nil || errors.Is(err, errFullStateRequested) {
		delete(h.misses, s.ID)
		return
	}
	h.misses[s.ID]++
	if h.misses[s.ID] == maxMisses {
		h.instance.log.Warn("peer does not answer heartbeats", "instance", s.Instance, "session", s.ID)
		h.instance.directory.MarkUnresponsive(s.ID)
	}
	if h.misses[s.ID] >= maxMisses {
		h.instance.router.CancelInFlight(s.Peer)
	}
}

func byName(states []*wire.TargetState) map[string]*wire.TargetState {
	m := make(map[string]*wire.TargetState, len(states))
	for _, s := range states {
		m[s.GetTarget()] = s
	}
	return m
}

// due returns the peers of the region whose heartbeat is due. Without known
// peers it returns the seeds.
func (h *heartbeatSender) due(now time.Time) []platform.Session {
	var due []platform.Session
	region := h.instance.directory.Peers(now)
	interval := membership.HeartbeatInterval(len(region))
	for _, m := range region {
		if now.Before(h.next[m.Session.ID]) || h.inFlight[receiverKeyOf(m.Session)] {
			continue
		}
		h.next[m.Session.ID] = now.Add(interval)
		due = append(due, m.Session)
	}
	if len(region) == 0 && !now.Before(h.next[""]) {
		// Without peers in the region, the states of the owned targets must still
		// be updated at each interval, and the seeds may know other instances.
		h.next[""] = now.Add(interval)
		h.updateOwnTargets()
		for _, address := range h.instance.settings.Seeds {
			due = append(due, platform.Session{Peer: address})
		}
	}
	return due
}

// message returns the heartbeat for a peer. It contains the states that changed
// since the last heartbeat that the peer answered.
func (h *heartbeatSender) message(session string, states []*wire.TargetState) *wire.InstanceState {
	self := h.instance.directory.Self()
	m := &wire.InstanceState{
		Session: self.ID, Instance: self.Instance, Zone: self.Zone, Region: self.Region, Peer: self.Peer,
		Revision: h.instance.config.View().Revision(), Leaving: h.instance.leaving.Load(),
	}
	before, known := h.sent[session]
	m.Full = !known
	for _, s := range states {
		m.Owned = append(m.Owned, s.GetTarget())
		if old, ok := before[s.GetTarget()]; !ok || !proto.Equal(old, s) {
			m.Targets = append(m.Targets, s)
		}
	}
	return m
}

// send sends one heartbeat and updates the directory from the reply. A refused
// connection or the reply of another session proves that the process of the
// session has ended.
func (h *heartbeatSender) send(ctx context.Context, s platform.Session, m *wire.InstanceState) error {
	reply, err := h.peers.Heartbeat(ctx, s.Peer, m)
	if err != nil {
		if peer.ConnectionRefused(err) && s.ID != "" {
			h.instance.markPeerGone(s)
		}
		return err
	}
	if s.ID == "" {
		// The reply identifies the session of a seed, which becomes a known
		// member.
		s = platform.Session{ID: reply.GetSession(), Instance: reply.GetInstance(), Zone: reply.GetZone(), Region: reply.GetRegion(), Peer: s.Peer}
	}
	if reply.GetSession() != s.ID {
		h.instance.markPeerGone(s)
		return nil
	}
	h.instance.directory.RecordHeartbeatReply(s, reply.GetRevision(), time.Now())
	if reply.GetRevision() > h.instance.config.View().Revision() {
		h.instance.config.requestRefresh()
	}
	if reply.GetWantFull() {
		return errFullStateRequested
	}
	return nil
}
