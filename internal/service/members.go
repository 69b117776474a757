package service

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	listInterval = 5 * time.Second
	// listAllEvery is the number of listings of the own zone for one of all
	// zones.
	listAllEvery = 6
)

// keepSession renews the session of this process.
func (i *Instance) keepSession(ctx context.Context) error {
	return duty.Every(ctx, platform.RenewInterval, func(ctx context.Context) {
		if err := i.sessions.Renew(ctx, i.leaving.Load()); err != nil {
			i.log.Debug("session not renewed", "error", err)
		}
	})
}

// listSessions reads the sessions and the platform's list of instances.
func (i *Instance) listSessions(ctx context.Context) error {
	n := 0
	return duty.Every(ctx, listInterval, func(ctx context.Context) {
		zone := i.settings.Zone
		if n%listAllEvery == 0 || i.missesZone() {
			zone = ""
		}
		n++
		objects, err := platform.ListSessions(ctx, i.store, zone)
		if err != nil {
			i.log.Debug("sessions not listed", "error", err)
			return
		}
		i.directory.ApplySessions(zone, objects, time.Now())
		if list, err := i.store.Instances(ctx); err == nil {
			i.directory.ApplyInstances(list)
		}
	})
}

// missesZone reports whether a zone with targets has no known live instance.
func (i *Instance) missesZone() bool {
	reachable := map[string]bool{i.settings.Zone: true}
	for _, m := range i.directory.Members(time.Now()) {
		reachable[m.Session.Zone] = reachable[m.Session.Zone] || m.State == membership.StateLive
	}
	return slices.ContainsFunc(i.config.View().Targets(), func(t record.Target) bool { return !reachable[t.Zone()] })
}

// peerGone takes in the proof that the process of a session is gone.
func (i *Instance) peerGone(s platform.Session) {
	if i.directory.MarkGone(s.ID) {
		i.log.Warn("peer is gone", "instance", s.Instance, "session", s.ID)
		i.manager.TriggerPlan()
	}
}

// heartbeats sends the state of this instance to the peers of its region.
type heartbeats struct {
	instance *Instance
	peers    beatPeers
	kicks    chan struct{}
	// results carry the ends of the heartbeats under way, of which there is at
	// most one to a session or seed.
	results  chan beatResult
	underway map[beatKey]bool
	// sent holds, for each peer session, the targets as last sent to it.
	sent map[string]map[string]*wire.TargetState
	next map[string]time.Time
	// misses counts the heartbeats in a row that a session did not answer.
	misses map[string]int
}

// beatPeers sends heartbeats.
type beatPeers interface {
	Heartbeat(ctx context.Context, address string, state *wire.InstanceState) (*wire.HeartbeatReply, error)
}

// beatKey names the receiver of a heartbeat. A seed has only an address.
type beatKey struct{ session, address string }

func beatKeyOf(s platform.Session) beatKey { return beatKey{s.ID, s.Peer} }

// beatResult is the end of a heartbeat that carried some states.
type beatResult struct {
	to     platform.Session
	states []*wire.TargetState
	err    error
}

// silentMisses is the number of missed heartbeats after which a peer counts as
// silent: requests go elsewhere, but its ownership stands.
const silentMisses = 2

func newHeartbeats(i *Instance, p beatPeers) *heartbeats {
	return &heartbeats{
		instance: i, peers: p, kicks: make(chan struct{}, 1), results: make(chan beatResult), underway: map[beatKey]bool{},
		sent: map[string]map[string]*wire.TargetState{}, next: map[string]time.Time{}, misses: map[string]int{},
	}
}

// now asks for a heartbeat to every peer at once.
func (b *heartbeats) now() {
	select {
	case b.kicks <- struct{}{}:
	default:
	}
}

func (b *heartbeats) run(ctx context.Context) error {
	t := time.NewTicker(membership.HeartbeatTick)
	defer t.Stop()
	defer b.drain()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-b.results:
			b.ended(r)
		case <-t.C:
			b.beat(ctx, b.due(time.Now()))
		case <-b.kicks:
			clear(b.next)
			b.setOwn()
			b.beat(ctx, b.due(time.Now()))
		}
	}
}

// drain waits for the heartbeats under way, which end with their context.
func (b *heartbeats) drain() {
	for len(b.underway) > 0 {
		delete(b.underway, beatKeyOf((<-b.results).to))
	}
}

// setOwn takes the states of the own targets into the directory.
func (b *heartbeats) setOwn() []*wire.TargetState {
	states := b.instance.manager.States()
	b.instance.directory.SetOwnTargets(states, time.Now())
	return states
}

// beat sends the heartbeats that are due, each in a goroutine of its own, so
// that a silent peer delays no other.
func (b *heartbeats) beat(ctx context.Context, due []platform.Session) {
	if len(due) == 0 {
		return
	}
	states := b.setOwn()
	for _, s := range due {
		if b.underway[beatKeyOf(s)] {
			continue
		}
		message := b.message(s.ID, states)
		b.underway[beatKeyOf(s)] = true
		go func() { b.results <- beatResult{s, states, b.send(ctx, s, message)} }()
	}
}

// ended draws the conclusions from the end of a heartbeat.
func (b *heartbeats) ended(r beatResult) {
	delete(b.underway, beatKeyOf(r.to))
	b.count(r.to, r.err)
	if r.err != nil {
		delete(b.sent, r.to.ID)
		return
	}
	b.sent[r.to.ID] = byName(r.states)
}

// count counts missed heartbeats and draws the conclusion from too many.
func (b *heartbeats) count(s platform.Session, err error) {
	if err == nil || errors.Is(err, errWantFull) {
		delete(b.misses, s.ID)
		return
	}
	b.misses[s.ID]++
	if b.misses[s.ID] == silentMisses {
		b.instance.log.Warn("peer is silent", "instance", s.Instance, "session", s.ID)
		b.instance.directory.MarkUnresponsive(s.ID)
	}
	if b.misses[s.ID] >= silentMisses {
		b.instance.router.CancelInFlight(s.Peer)
	}
}

func byName(states []*wire.TargetState) map[string]*wire.TargetState {
	m := make(map[string]*wire.TargetState, len(states))
	for _, s := range states {
		m[s.GetTarget()] = s
	}
	return m
}

// due returns the peers of the region whose heartbeat is due.
func (b *heartbeats) due(now time.Time) []platform.Session {
	var due []platform.Session
	region := b.instance.directory.Peers(now)
	interval := membership.HeartbeatInterval(len(region))
	for _, m := range region {
		if now.Before(b.next[m.Session.ID]) || b.underway[beatKeyOf(m.Session)] {
			continue
		}
		b.next[m.Session.ID] = now.Add(interval)
		due = append(due, m.Session)
	}
	if len(region) == 0 && !now.Before(b.next[""]) {
		// Alone in the region: the own states still need their round, and the
		// seeds may know others.
		b.next[""] = now.Add(interval)
		b.setOwn()
		for _, address := range b.instance.settings.Seeds {
			due = append(due, platform.Session{Peer: address})
		}
	}
	return due
}

// message returns the state for a peer: targets that changed since the last
// heartbeat that it answered.
func (b *heartbeats) message(session string, states []*wire.TargetState) *wire.InstanceState {
	self := b.instance.directory.Self()
	m := &wire.InstanceState{
		Session: self.ID, Instance: self.Instance, Zone: self.Zone, Region: self.Region, Peer: self.Peer,
		Revision: b.instance.config.View().Revision(), Leaving: b.instance.leaving.Load(),
	}
	before, known := b.sent[session]
	m.Full = !known
	for _, s := range states {
		m.Owned = append(m.Owned, s.GetTarget())
		if old, ok := before[s.GetTarget()]; !ok || !proto.Equal(old, s) {
			m.Targets = append(m.Targets, s)
		}
	}
	return m
}

// send sends one heartbeat and draws conclusions from its result.
func (b *heartbeats) send(ctx context.Context, s platform.Session, m *wire.InstanceState) error {
	reply, err := b.peers.Heartbeat(ctx, s.Peer, m)
	if err != nil {
		if peer.ConnectionRefused(err) && s.ID != "" {
			b.instance.peerGone(s)
		}
		return err
	}
	if s.ID == "" {
		// A seed: from now on it is a known member.
		s = platform.Session{ID: reply.GetSession(), Instance: reply.GetInstance(), Zone: reply.GetZone(), Region: reply.GetRegion(), Peer: s.Peer}
	}
	if reply.GetSession() != s.ID {
		b.instance.peerGone(s)
		return nil
	}
	b.instance.directory.RecordHeartbeatReply(s, reply.GetRevision(), time.Now())
	if reply.GetRevision() > b.instance.config.View().Revision() {
		b.instance.config.kick()
	}
	if reply.GetWantFull() {
		return errWantFull
	}
	return nil
}
