// Package membership keeps what an instance knows of the others: who lives,
// who is gone, and which targets they own in which state.
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

// contactLease is the time for which a heartbeat vouches for a peer.
const contactLease = 5 * time.Second

// State is what is known of a session.
type State string

// The states of a session.
const (
	// StateLive is a session that renews its lease or answers heartbeats.
	StateLive State = "live"
	// StateLeaving is a live session that takes no new ownership.
	StateLeaving State = "leaving"
	// StateExpired is a session whose lease was not renewed while the store
	// was up, and that does not answer. It may still run.
	StateExpired State = "expired"
	// StateGone is a session whose process is known to be gone.
	StateGone State = "gone"
	// StateUnknown is a session about which nothing recent is known, as in an
	// outage of the store.
	StateUnknown State = "unknown"
)

// Target is the state of a target as its owner announced it.
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

// member is what is known of one session.
type member struct {
	session platform.Session
	// listed is the last time at which a listing showed a renewal, contact
	// that of the last heartbeat in either direction, named that at which the
	// ledger of the zone named the session.
	listed, contact, named time.Time
	gone                   bool
	leaving                bool
	revision               uint64
	targets                map[string]Target
}

// Directory is safe for use by several goroutines.
type Directory struct {
	self platform.Session

	mu      sync.Mutex
	members map[string]*member // by session id
	own     map[string]Target
	// listings holds the time of the last listing of each zone.
	listings map[string]time.Time
	sessions *platform.SessionTable
	// leavingMachines lists machines that the platform reports as leaving or
	// terminated.
	leavingMachines map[string]bamboorail.InstanceState
}

// NewDirectory returns the directory of an instance.
func NewDirectory(self platform.Session) *Directory {
	return &Directory{
		self:            self,
		members:         map[string]*member{},
		own:             map[string]Target{},
		sessions:        platform.NewSessionTable(),
		listings:        map[string]time.Time{},
		leavingMachines: map[string]bamboorail.InstanceState{},
	}
}

// Self returns the session of this process.
func (d *Directory) Self() platform.Session { return d.self }

// ApplySessions takes in a listing of the sessions of a zone.
func (d *Directory) ApplySessions(zone string, objects []bamboorail.Object, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessions.Update(zone, objects, now)
	d.listings[zone] = now
	for _, o := range d.sessions.Sessions() {
		if o.Session.ID == d.self.ID {
			continue
		}
		m := d.member(o.Session)
		m.session = o.Session
		m.listed = o.LastChange
		m.leaving = m.leaving || o.Session.Leaving
		d.supersede(o)
	}
	d.forget(now)
}

// RecordLedgerHolder takes in a session that the ledger of the own zone names as a holder.
// One that was never met can only be asked at its address.
func (d *Directory) RecordLedgerHolder(s platform.Session, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.ID != d.self.ID {
		d.member(s).named = now
	}
}

// supersede marks the earlier listed sessions of an instance as gone: it
// announces a new session only from a new process at the same address.
func (d *Directory) supersede(o platform.ObservedSession) {
	for id, m := range d.members {
		sameAddress := m.session.Instance == o.Session.Instance && m.session.Peer == o.Session.Peer
		if id != o.Session.ID && sameAddress && !m.listed.IsZero() && m.listed.Before(o.LastChange) {
			m.gone = true
		}
	}
}

// memberMemory is the time for which a gone session is remembered.
const memberMemory = 10 * time.Minute

func (d *Directory) forget(now time.Time) {
	for id, m := range d.members {
		if now.Sub(m.listed) > memberMemory && now.Sub(m.contact) > memberMemory && now.Sub(m.named) > memberMemory {
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

// ApplyInstances takes in the platform's list of instances.
func (d *Directory) ApplyInstances(list []bamboorail.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.leavingMachines)
	for _, i := range list {
		if i.State == bamboorail.InstanceLive {
			continue
		}
		d.leavingMachines[i.ID] = i.State
		for _, m := range d.members {
			if m.session.Instance == i.ID && i.State == bamboorail.InstanceTerminated {
				m.gone = true
			}
		}
	}
}

// MachineLeaving reports whether the platform lists a machine as leaving or
// terminated.
func (d *Directory) MachineLeaving(machine string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.leavingMachines[machine]
	return ok
}

// Heard takes in the state that a peer sent. It reports whether the full
// state is needed.
func (d *Directory) Heard(state *wire.InstanceState, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.members[state.GetSession()]
	m := d.member(platform.Session{
		ID: state.GetSession(), Instance: state.GetInstance(), Zone: state.GetZone(), Region: state.GetRegion(), Peer: state.GetPeer(),
	})
	m.contact = now
	m.gone = false
	m.leaving = state.GetLeaving()
	m.revision = max(m.revision, state.GetRevision())
	if state.GetFull() {
		clear(m.targets)
	}
	for _, t := range state.GetTargets() {
		if _, known := m.targets[t.GetTarget()]; !known {
			d.supersedeTarget(TargetKey{m.session.Zone, t.GetTarget()}, t.GetTerm())
		}
		m.targets[t.GetTarget()] = d.targetOf(m.session, t, now)
	}
	m.confirm(state.GetOwned(), now)
	return !known && !state.GetFull()
}

// supersedeTarget forgets the owners of a target's earlier terms.
func (d *Directory) supersedeTarget(key TargetKey, term uint64) {
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

// confirm drops the targets that the peer no longer owns. The states of the
// others, if left out, have not changed.
func (m *member) confirm(owned []string, now time.Time) {
	for name, t := range m.targets {
		if !slices.Contains(owned, name) {
			delete(m.targets, name)
			continue
		}
		t.At = now
		m.targets[name] = t
	}
}

// Answered records that a session answered a heartbeat.
func (d *Directory) Answered(s platform.Session, revision uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.member(s)
	m.contact = now
	m.gone = false
	m.revision = max(m.revision, revision)
}

// MarkGone records proof that the process of a session is gone. It reports
// whether that is new.
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

// MarkSilent withdraws the targets of a session that does not answer from
// routing. It proves nothing about its process.
func (d *Directory) MarkSilent(session string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m, ok := d.members[session]; ok {
		m.contact = time.Time{}
	}
}

// StateOf returns what is known of a session.
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
	contact := now.Sub(m.contact) < contactLease
	listing := d.lastListing(m.session.Zone)
	renewed := !m.listed.IsZero() && listing.Sub(m.listed) < platform.SessionLease
	switch {
	case contact || (renewed && now.Sub(listing) < listingLease):
		if m.leaving {
			return StateLeaving
		}
		return StateLive
	case renewed || m.listed.IsZero():
		return StateUnknown
	}
	return StateExpired
}

// listingLease is the time for which a listing vouches for the sessions that
// it shows; it exceeds the time between listings of other zones.
const listingLease = 45 * time.Second

// lastListing returns the time of the last listing that covered a zone.
func (d *Directory) lastListing(zone string) time.Time {
	all, own := d.listings[""], d.listings[zone]
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

// Members returns the known sessions other than the own one, by instance.
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

// Candidates returns the sessions of the own zone that may own targets,
// including the own one.
func (d *Directory) Candidates(now time.Time) []platform.Session {
	list := []platform.Session{d.self}
	for _, m := range d.Members(now) {
		if m.State == StateLive && m.Session.Zone == d.self.Zone {
			list = append(list, m.Session)
		}
	}
	return list
}

// Reachable returns the sessions of the own region that exchange heartbeats
// with this one, including the own one. A session that others see renewed in
// the store, but that does not answer here, is not among them.
func (d *Directory) Reachable(now time.Time) []platform.Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []platform.Session{d.self}
	for _, m := range d.members {
		if m.session.Region == d.self.Region && !m.gone && !m.leaving && now.Sub(m.contact) < contactLease {
			list = append(list, m.session)
		}
	}
	return list
}

// Peers returns the sessions of the own region whose processes may live, other
// than the own one.
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

// SilentTargets returns the targets whose last known owner does not answer
// without being gone: nobody takes over from it before its lease ends.
func (d *Directory) SilentTargets(now time.Time) map[TargetKey]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := map[TargetKey]bool{}
	for _, m := range d.members {
		if m.gone || now.Sub(m.contact) <= contactLease {
			continue
		}
		for name := range m.targets {
			found[TargetKey{m.session.Zone, name}] = true
		}
	}
	return found
}

// SetOwn replaces the states of the targets that this instance owns.
func (d *Directory) SetOwn(states []*wire.TargetState, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.own)
	for _, t := range states {
		d.own[t.GetTarget()] = d.targetOf(d.self, t, now)
	}
}

// Own returns the targets that this instance owns.
func (d *Directory) Own() map[string]Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.own)
}

// TargetKey identifies a target. Zones of a region own keepers of the same
// names, which must not be taken for each other.
type TargetKey struct{ Zone, Name string }

// Targets returns the newest announcement of each owned target. Of several
// owners, the one of the latest term counts.
func (d *Directory) Targets(now time.Time) map[TargetKey]Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := make(map[TargetKey]Target, len(d.own))
	for name, t := range d.own {
		found[TargetKey{d.self.Zone, name}] = t
	}
	for _, m := range d.members {
		if m.gone || now.Sub(m.contact) > contactLease {
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
