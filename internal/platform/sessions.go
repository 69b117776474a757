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
	// RenewInterval is the time between two renewals of a session.
	RenewInterval = 5 * time.Second
	// SessionLease is the time after which an observer that saw no renewal
	// considers a session expired. It decides only when somebody else starts.
	SessionLease = 3 * RenewInterval
)

// Session announces one run of an instance.
type Session struct {
	// ID is unique for each run of the process.
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	// Peer is the address for other instances, Caller that for callers.
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	// Leaving is set while the instance shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// Renewal counts the renewals.
	Renewal uint64 `json:"renewal"`
}

func sessionKey(zone, instance string) string { return sessionPrefix + zone + "/" + instance }

// SessionRenewer announces and renews the session of this process.
type SessionRenewer struct {
	store bamboorail.ObjectStore

	mu        sync.Mutex
	session   Session
	version   uint64
	withdrawn bool
}

// NewSessionRenewer returns a keeper that has not yet announced s.
func NewSessionRenewer(store bamboorail.ObjectStore, s Session) *SessionRenewer {
	return &SessionRenewer{store: store, session: s}
}

// Renew writes the session. The first call replaces what an earlier run of
// the instance left. After Withdraw it does nothing.
func (k *SessionRenewer) Renew(ctx context.Context, leaving bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.withdrawn {
		return nil
	}
	k.session.Renewal++
	k.session.Leaving = leaving
	value, err := json.Marshal(k.session)
	if err != nil {
		return fail("renew-session", bamboorail.KindInternal, err)
	}
	key := sessionKey(k.session.Zone, k.session.Instance)
	version, err := k.store.Put(ctx, key, value, k.version)
	if err == nil {
		k.version = version
		return nil
	}
	// Read the current version: a lost answer or an earlier run moved it.
	o, readErr := k.store.Get(ctx, key)
	switch {
	case readErr == nil:
		k.version = o.Version
	case bamboorail.KindOf(readErr) == bamboorail.KindNotFound:
		k.version = 0
	}
	return err
}

// Withdraw removes the session at the end of a graceful shutdown.
func (k *SessionRenewer) Withdraw(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.withdrawn = true
	return k.store.Delete(ctx, sessionKey(k.session.Zone, k.session.Instance), k.version)
}

// ObservedSession is a session with the local time at which it was last seen to
// change.
type ObservedSession struct {
	Session    Session
	Version    uint64
	LastChange time.Time
}

// SessionTable is a process's view of the sessions in the store.
type SessionTable struct {
	seen map[string]ObservedSession // by zone/instance
}

// NewSessionTable returns an empty table.
func NewSessionTable() *SessionTable { return &SessionTable{seen: map[string]ObservedSession{}} }

// Update replaces the sessions of a zone by a listing read at now. An empty
// zone stands for all zones.
func (t *SessionTable) Update(zone string, objects []bamboorail.Object, now time.Time) {
	present := map[string]bool{}
	for _, o := range objects {
		key := strings.TrimPrefix(o.Key, sessionPrefix)
		var s Session
		if err := json.Unmarshal(o.Value, &s); err != nil {
			continue
		}
		present[key] = true
		if old, ok := t.seen[key]; !ok || old.Version != o.Version {
			t.seen[key] = ObservedSession{Session: s, Version: o.Version, LastChange: now}
		}
	}
	for key, o := range t.seen {
		if !present[key] && (zone == "" || o.Session.Zone == zone) {
			delete(t.seen, key)
		}
	}
}

// Sessions returns the sessions of the last listings.
func (t *SessionTable) Sessions() []ObservedSession {
	list := make([]ObservedSession, 0, len(t.seen))
	for _, o := range t.seen {
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
