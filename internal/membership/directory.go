// Package membership tracks what an instance knows about its peers: which
// sessions are live, which have ended, and which targets they own in which
// state.
package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
)

// heartbeatValidity is the time for which a peer counts as live after a heartbeat.
const heartbeatValidity = 5 * time.Second

// State is the liveness of a session as far as this instance knows.
type State string

// The states of a session.
const (
	// StateLive is a session that renews its lease or answers heartbeats.
	StateLive State = "live"
	// StateLeaving is a live session that accepts no new ownership.
	StateLeaving State = "leaving"
	// StateExpired is a session whose lease was not renewed while the store was
	// available, and that does not answer heartbeats. Its process may still run.
	StateExpired State = "expired"
	// StateGone is a session whose process is known to have ended.
	StateGone State = "gone"
	// StateUnknown is a session without recent information, for example during
	// an outage of the store.
	StateUnknown State = "unknown"
)

// Target is the state of a target as announced by its owner.
type Target struct {
	Name     string
	Term     uint64
	Session  string
	Instance string
	Peer     string
	Zone     string
	State    *wire.TargetState
	At       time.Time
}

// member holds what is known about one session.
type member struct {
	session platform.Session
	// lastRenewal is the time of the last renewal seen in a listing,
	// lastHeartbeat that of the last heartbeat in either direction, and
	// lastInLedger the last time at which the ledger of the zone listed the
	// session as a holder.
	lastRenewal, lastHeartbeat, lastInLedger time.Time
	gone                                     bool
	leaving                                  bool
	revision                                 uint64
	targets                                  map[string]Target
}

// Directory holds the known sessions and the targets that they own. It is safe
// for concurrent use.
type Directory struct {
	self platform.Session

	mu         sync.Mutex
	members    map[string]*member // by session id
	ownTargets map[string]Target
	// lastListings holds the time of the last listing of each zone, and under ""
	// that of the last listing of all zones.
	lastListings map[string]time.Time
	sessions     *platform.SessionTable
	// leavingInstances holds the instances that the platform reports as leaving
	// or terminated.
	leavingInstances map[string]bamboorail.InstanceState
}

// NewDirectory returns an empty directory for the instance with the given session.
func NewDirectory(self platform.Session) *Directory {
	return &Directory{
		self:             self,
		members:          map[string]*member{},
		ownTargets:       map[string]Target{},
		sessions:         platform.NewSessionTable(),
		lastListings:     map[string]time.Time{},
		leavingInstances: map[string]bamboorail.InstanceState{},
	}
}

// Self returns the session of this process.
func (d *Directory) Self() platform.Session { return d.self }

// ApplySessions records a listing of the sessions of a zone. An empty zone
// stands for all zones.
func (d *Directory) ApplySessions(zone string, objects []bamboorail.Object, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessions.Update(zone, objects, now)
	d.lastListings[zone] = now
	for _, o := range d.sessions.Sessions() {
		if o.Session.ID == d.self.ID {
			continue
		}
		m := d.member(o.Session)
		m.session = o.Session
		m.lastRenewal = o.LastChange
		m.leaving = m.leaving || o.Session.Leaving
		d.markSuperseded(o)
	}
	d.evictStale(now)
}

// RecordLedgerHolder adds a session that the ledger of this instance's zone lists
// as a holder. If the session was not seen before, its address in the ledger is
// the only way to reach it.
func (d *Directory) RecordLedgerHolder(s platform.Session, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.ID != d.self.ID {
		d.member(s).lastInLedger = now
	}
}

// markSuperseded marks the earlier listed sessions of an instance as gone: an
// instance announces a new session only from a new process at the same address.
func (d *Directory) markSuperseded(o platform.ObservedSession) {
	for id, m := range d.members {
		sameAddress := m.session.Instance == o.Session.Instance && m.session.Peer == o.Session.Peer
		if id != o.Session.ID && sameAddress && !m.lastRenewal.IsZero() && m.lastRenewal.Before(o.LastChange) {
			m.gone = true
		}
	}
}

// memberRetention is the time for which a session is kept after its last
// renewal, heartbeat and ledger entry.
const memberRetention = 10 * time.Minute

func (d *Directory) evictStale(now time.Time) {
	for id, m := range d.members {
		if now.Sub(m.lastRenewal) > memberRetention && now.Sub(m.lastHeartbeat) > memberRetention && now.Sub(m.lastInLedger) > memberRetention {
			delete(d.members, id)
		}
	}
}

func (d *Directory) member(s platform.Session) *member {
	m, ok := d.members[s.ID]
	if !ok {
		m = &member{session: s, targets: map[string]Target{}}
		d.members[s.ID] = m
	}
	return m
}

// ApplyInstances records the platform's list of instances.
func (d *Directory) ApplyInstances(list []bamboorail.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.leavingInstances)
	for _, i := range list {
		if i.State == bamboorail.InstanceLive {
			continue
		}
		d.leavingInstances[i.ID] = i.State
		for _, m := range d.members {
			if m.session.Instance == i.ID && i.State == bamboorail.InstanceTerminated {
				m.gone = true
			}
		}
	}
}

// InstanceLeaving reports whether the platform lists an instance as leaving or
// terminated.
func (d *Directory) InstanceLeaving(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.leavingInstances[instance]
	return ok
}

// ApplyHeartbeat records the state received in a heartbeat. It reports whether
// the sender must send its full state.
func (d *Directory) ApplyHeartbeat(state *wire.InstanceState, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.members[state.GetSession()]
	m := d.member(platform.Session{
		ID: state.GetSession(), Instance: state.GetInstance(), Zone: state.GetZone(), Region: state.GetRegion(), Peer: state.GetPeer(),
	})
	m.lastHeartbeat = now
	m.gone = false
	m.leaving = state.GetLeaving()
	m.revision = max(m.revision, state.GetRevision())
	if state.GetFull() {
		clear(m.targets)
	}
	for _, t := range state.GetTargets() {
		if _, known := m.targets[t.GetTarget()]; !known {
			d.dropEarlierOwners(TargetKey{m.session.Zone, t.GetTarget()}, t.GetTerm())
		}
		m.targets[t.GetTarget()] = d.targetOf(m.session, t, now)
	}
	m.confirmTargets(state.GetOwned(), now)
	return !known && !state.GetFull()
}

// dropEarlierOwners removes the announcements of a target from earlier terms.
func (d *Directory) dropEarlierOwners(key TargetKey, term uint64) {
	for _, m := range d.members {
		if t, ok := m.targets[key.Name]; ok && m.session.Zone == key.Zone && t.Term < term {
			delete(m.targets, key.Name)
		}
	}
}

func (d *Directory) targetOf(s platform.Session, t *wire.TargetState, now time.Time) Target {
	return Target{
		Name: t.GetTarget(), Term: t.GetTerm(), Session: s.ID, Instance: s.Instance,
		Peer: s.Peer, Zone: s.Zone, State: t, At: now,
	}
}

// confirmTargets removes the targets that the peer no longer owns and marks the
// others as current: a heartbeat omits states that have not changed.
func (m *member) confirmTargets(owned []string, now time.Time) {
	for name, t := range m.targets {
		if !slices.Contains(owned, name) {
			delete(m.targets, name)
			continue
		}
		t.At = now
		m.targets[name] = t
	}
}

// RecordHeartbeatReply records that a session answered a heartbeat.
func (d *Directory) RecordHeartbeatReply(s platform.Session, revision uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.member(s)
	m.lastHeartbeat = now
	m.gone = false
	m.revision = max(m.revision, revision)
}

// MarkGone records proof that the process of a session has ended. It reports
// whether the session was not yet marked as gone.
func (d *Directory) MarkGone(session string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[session]
	if !ok || m.gone {
		return false
	}
	m.gone = true
	clear(m.targets)
	return true
}

// MarkUnresponsive withdraws the targets of a session that does not answer
// heartbeats from routing. Its process may still be running.
func (d *Directory) MarkUnresponsive(session string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m, ok := d.members[session]; ok {
		m.lastHeartbeat = time.Time{}
	}
}

// StateOf returns the state of a session.
func (d *Directory) StateOf(session string, now time.Time) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if session == d.self.ID {
		return StateLive
	}
	m, ok := d.members[session]
	if !ok {
		return StateUnknown
	}
	return d.state(m, now)
}

func (d *Directory) state(m *member, now time.Time) State {
	if m.gone {
		return StateGone
	}
	answering := now.Sub(m.lastHeartbeat) < heartbeatValidity
	listing := d.lastListing(m.session.Zone)
	renewed := !m.lastRenewal.IsZero() && listing.Sub(m.lastRenewal) < platform.SessionLease
	switch {
	case answering || (renewed && now.Sub(listing) < listingValidity):
		if m.leaving {
			return StateLeaving
		}
		return StateLive
	case renewed || m.lastRenewal.IsZero():
		return StateUnknown
	}
	return StateExpired
}

// listingValidity is the time for which a listing proves that the sessions in it
// are live. It exceeds the interval between listings of other zones.
const listingValidity = 45 * time.Second

// lastListing returns the time of the last listing that included a zone.
func (d *Directory) lastListing(zone string) time.Time {
	all, own := d.lastListings[""], d.lastListings[zone]
	if own.After(all) {
		return own
	}
	return all
}

// Member describes a session to routers and operators.
type Member struct {
	Session  platform.Session
	State    State
	Revision uint64
}

// Members returns the known sessions except that of this process, sorted by
// instance.
func (d *Directory) Members(now time.Time) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]Member, 0, len(d.members))
	for _, m := range d.members {
		list = append(list, Member{Session: m.session, State: d.state(m, now), Revision: m.revision})
	}
	slices.SortFunc(list, func(a, b Member) int {
		if c := strings.Compare(a.Session.Instance, b.Session.Instance); c != 0 {
			return c
		}
		return strings.Compare(a.Session.ID, b.Session.ID)
	})
	return list
}

// Candidates returns the sessions of this zone that may own targets, including
// that of this process.
func (d *Directory) Candidates(now time.Time) []platform.Session {
	list := []platform.Session{d.self}
	for _, m := range d.Members(now) {
		if m.State == StateLive && m.Session.Zone == d.self.Zone {
			list = append(list, m.Session)
		}
	}
	return list
}

// Reachable returns the sessions of this region that exchange heartbeats with
// this process, and its own session. It leaves out sessions that renew their
// lease in the store but do not answer heartbeats from here.
func (d *Directory) Reachable(now time.Time) []platform.Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []platform.Session{d.self}
	for _, m := range d.members {
		if m.session.Region == d.self.Region && !m.gone && !m.leaving && now.Sub(m.lastHeartbeat) < heartbeatValidity {
			list = append(list, m.session)
		}
	}
	return list
}

// Peers returns the other sessions of this region whose processes may still run.
func (d *Directory) Peers(now time.Time) []Member {
	return slices.DeleteFunc(d.Members(now), func(m Member) bool {
		return m.Session.Region != d.self.Region || m.State == StateGone
	})
}

// HasCandidate reports whether an instance of a zone may own targets.
func (d *Directory) HasCandidate(zone string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if zone == d.self.Zone {
		return true
	}
	for _, m := range d.members {
		if m.session.Zone == zone && d.state(m, now) == StateLive {
			return true
		}
	}
	return false
}

// UnresponsiveTargets returns the targets whose last known owner does not answer
// heartbeats but is not known to have ended: no instance takes over from such
// an owner before its lease expires.
func (d *Directory) UnresponsiveTargets(now time.Time) map[TargetKey]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := map[TargetKey]bool{}
	for _, m := range d.members {
		if m.gone || now.Sub(m.lastHeartbeat) <= heartbeatValidity {
			continue
		}
		for name := range m.targets {
			found[TargetKey{m.session.Zone, name}] = true
		}
	}
	return found
}

// SetOwnTargets replaces the states of the targets that this instance owns.
func (d *Directory) SetOwnTargets(states []*wire.TargetState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.ownTargets)
	for _, t := range states {
		d.ownTargets[t.GetTarget()] = d.targetOf(d.self, t, now)
	}
}

// OwnTargets returns the targets that this instance owns.
func (d *Directory) OwnTargets() map[string]Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.ownTargets)
}

// TargetKey identifies a target. The deduplicators of a service have the same
// names in each zone of a region, so the zone is part of the key.
type TargetKey struct{ Zone, Name string }

// Targets returns the latest announcement of each owned target. If several
// owners announce a target, the one with the highest term wins.
func (d *Directory) Targets(now time.Time) map[TargetKey]Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := make(map[TargetKey]Target, len(d.ownTargets))
	for name, t := range d.ownTargets {
		found[TargetKey{d.self.Zone, name}] = t
	}
	for _, m := range d.members {
		if m.gone || now.Sub(m.lastHeartbeat) > heartbeatValidity {
			continue
		}
		for name, t := range m.targets {
			key := TargetKey{m.session.Zone, name}
			if old, ok := found[key]; !ok || old.Term < t.Term {
				found[key] = t
			}
		}
	}
	return found
}
