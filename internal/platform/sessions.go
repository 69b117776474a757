package platform

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	sessionPrefix = "sessions/"
	// RenewInterval is the interval between renewals of a session.
	RenewInterval = 5 * time.Second
	// SessionLease is the time without a renewal after which observers consider
	// a session expired. It only determines when another session may take over.
	SessionLease = 3 * RenewInterval
)

// Session describes one run of an instance.
type Session struct {
	// ID is unique for each start of the process.
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	// Peer is the address for other instances, Caller the one for callers.
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	// Leaving is set while the instance shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// Renewal is incremented by each renewal.
	Renewal uint64 `json:"renewal"`
}

func sessionKey(zone, instance string) string { return sessionPrefix + zone + "/" + instance }

// SessionRenewer creates and renews the session of this process.
type SessionRenewer struct {
	store bamboorail.ObjectStore

	mu        sync.Mutex
	session   Session
	version   bamboorail.StoreVersion
	withdrawn bool
}

// NewSessionRenewer returns a renewer that has not yet written s.
func NewSessionRenewer(store bamboorail.ObjectStore, s Session) *SessionRenewer {
	return &SessionRenewer{store: store, session: s}
}

// Renew writes the session. The first call replaces the session of an earlier run
// of the instance. After Withdraw it does nothing.
func (r *SessionRenewer) Renew(ctx context.Context, leaving bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withdrawn {
		return nil
	}
	r.session.Renewal++
	r.session.Leaving = leaving
	value, err := json.Marshal(r.session)
	if err != nil {
		return fail("renew-session", bamboorail.KindInternal, err)
	}
	key := sessionKey(r.session.Zone, r.session.Instance)
	version, err := r.store.Put(ctx, key, value, r.version)
	if err == nil {
		r.version = version
		return nil
	}
	// Read the current version. It differs after a lost response and if an
	// earlier run of the instance left a session.
	o, readErr := r.store.Get(ctx, key)
	switch {
	case readErr == nil:
		r.version = o.Version
	case bamboorail.KindOf(readErr) == bamboorail.KindNotFound:
		r.version = 0
	}
	return err
}

// Withdraw deletes the session at the end of a graceful shutdown.
func (r *SessionRenewer) Withdraw(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = true
	return r.store.Delete(ctx, sessionKey(r.session.Zone, r.session.Instance), r.version)
}

// ObservedSession is a session with the local time at which its last change was
// observed.
type ObservedSession struct {
	Session    Session
	Version    bamboorail.StoreVersion
	LastChange time.Time
}

// SessionTable is the local view of the sessions in the store.
type SessionTable struct {
	sessions map[string]ObservedSession // by zone/instance
}

// NewSessionTable returns an empty table.
func NewSessionTable() *SessionTable { return &SessionTable{sessions: map[string]ObservedSession{}} }

// Update replaces the sessions of a zone, or of all zones if it is empty, with a
// list read at now.
func (t *SessionTable) Update(zone string, objects []bamboorail.Object, now time.Time) {
	present := map[string]bool{}
	for _, o := range objects {
		key := strings.TrimPrefix(o.Key, sessionPrefix)
		var s Session
		if err := json.Unmarshal(o.Value, &s); err != nil {
			continue
		}
		present[key] = true
		if old, ok := t.sessions[key]; !ok || old.Version != o.Version {
			t.sessions[key] = ObservedSession{Session: s, Version: o.Version, LastChange: now}
		}
	}
	for key, o := range t.sessions {
		if !present[key] && (zone == "" || o.Session.Zone == zone) {
			delete(t.sessions, key)
		}
	}
}

// Sessions returns the sessions as of the last updates.
func (t *SessionTable) Sessions() []ObservedSession {
	list := make([]ObservedSession, 0, len(t.sessions))
	for _, o := range t.sessions {
		list = append(list, o)
	}
	return list
}

// ListSessions reads the sessions of a zone, or of all zones if it is empty.
func ListSessions(ctx context.Context, store bamboorail.ObjectStore, zone string) ([]bamboorail.Object, error) {
	prefix := sessionPrefix
	if zone != "" {
		prefix += zone + "/"
	}
	objects, _, err := store.List(ctx, prefix)
	return objects, err
}
