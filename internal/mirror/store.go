package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

const (
	// peerWait is the time for which a peer waits for changes, replySlack the
	// time for its answer: together well below the 2 s in which a change must be
	// in force (bounds config_apply_ms, drain_ms).
	peerWait   = 700 * time.Millisecond
	replySlack = 400 * time.Millisecond
	// peerPause is the time for which a peer that failed is not asked.
	peerPause = 2 * time.Second
	// storePause is the mean time for which followers leave a busy store to the
	// holder; with the pause of an informer it stays below the 2 s in which a
	// change must be in force (bound config_apply_ms).
	storePause = 500 * time.Millisecond
	// followerExpiry is the time after its last question in which a follower
	// counts as an instance of the zone.
	followerExpiry = 5 * time.Second
)

// Peers passes on what other instances read.
type Peers interface {
	Follow(ctx context.Context, address string, r *wire.FollowRequest) (*wire.FollowReply, error)
}

// Holder tells who holds the zone of this instance.
type Holder interface {
	// Leading reports whether this instance does.
	Leading() bool
	// Holder returns the name and address of the holder, or empty texts.
	Holder() (name, address string)
}

// Store is an object store whose lists and watches go through the holder of
// the zone. All other calls go to the store.
type Store struct {
	bamboorail.ObjectStore
	instance string
	zone     string
	holder   Holder
	peers    Peers
	log      hclog.Logger
	cache    *cache

	mu     sync.Mutex
	paused time.Time
	// refusal is what a busy store answered; it is not asked until refusedUntil.
	refusal      error
	refusedUntil time.Time
	// followers are the instances that asked, and when; instances is the number
	// that the holder told.
	followers map[string]time.Time
	instances int
}

// NewStore returns a store by which an instance reads through the holder of
// its zone. A nil digest has all changes passed on at once.
func NewStore(store bamboorail.ObjectStore, instance, zone string, h Holder, p Peers, d Digest, log hclog.Logger) *Store {
	return &Store{
		ObjectStore: store, instance: instance, zone: zone, holder: h, peers: p, log: log, cache: newCache(d),
		followers: map[string]time.Time{},
	}
}

// ZoneSize returns the number of instances of the zone, this one included,
// or 0 if it is not known.
func (s *Store) ZoneSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Leading() {
		return s.countFollowers(time.Now()) + 1
	}
	return s.instances
}

// countFollowers forgets followers that are gone. The caller holds the lock.
func (s *Store) countFollowers(now time.Time) int {
	for name, at := range s.followers {
		if now.Sub(at) > followerExpiry {
			delete(s.followers, name)
		}
	}
	return len(s.followers)
}

// address returns whom to ask, or an empty text if this instance has to ask
// the store itself.
func (s *Store) address() string {
	if s.holder.Leading() {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.paused) {
		return ""
	}
	_, address := s.holder.Holder()
	return address
}

// turnedAway has the holder asked again at once, and the store only later.
func (s *Store) turnedAway(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = time.Time{}
	if !s.holder.Leading() {
		s.refusal, s.refusedUntil = err, time.Now().Add(storePause/2+rand.N(storePause))
	}
}

// busy returns the refusal of a store that is left to the holder for a while.
// The holder is asked again at the next try.
func (s *Store) busy() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Leading() || time.Now().After(s.refusedUntil) {
		return nil
	}
	s.paused = time.Time{}
	return s.refusal
}

func (s *Store) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = time.Now().Add(peerPause)
}

// List returns the objects of a kind.
func (s *Store) List(ctx context.Context, prefix string) ([]bamboorail.Object, uint64, error) {
	if reply, ok := s.ask(ctx, prefix, 0, 0); ok {
		return objectsOf(reply), reply.GetRevision(), nil
	}
	if err := s.busy(); err != nil {
		return nil, 0, err
	}
	objects, revision, err := s.ObjectStore.List(ctx, prefix)
	switch {
	case err == nil:
		s.cache.list(kindOf(prefix), objects, revision)
	case bamboorail.KindOf(err) == bamboorail.KindOverloaded:
		// So many read that the store turns some away, as after a restart of
		// all; the holder may have its list by now.
		s.turnedAway(err)
	}
	return objects, revision, err
}

// Watch waits for changes of one kind after revision.
func (s *Store) Watch(ctx context.Context, prefixes []string, revision uint64, wait time.Duration) (bamboorail.Events, error) {
	if reply, ok := s.ask(ctx, prefixes[0], revision, min(wait, peerWait)); ok {
		return bamboorail.Events{
			Revision: reply.GetRevision(), Objects: objectsOf(reply), Reset: reply.GetGap(), FromPeer: true,
		}, nil
	}
	events, err := s.ObjectStore.Watch(ctx, prefixes, revision, wait)
	if err == nil && !s.cache.apply(kindOf(prefixes[0]), revision, events) && s.holder.Leading() {
		// What a new holder passes on must be complete.
		s.log.Info("holder lists again what it followed", "kind", kindOf(prefixes[0]), "revision", revision)
		events.Reset = true
	}
	return events, err
}

// ask asks the holder of the zone. It returns false if the store must be
// asked.
func (s *Store) ask(ctx context.Context, prefix string, revision uint64, wait time.Duration) (*wire.FollowReply, bool) {
	address := s.address()
	if address == "" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait+replySlack)
	defer cancel()
	reply, err := s.peers.Follow(ctx, address, &wire.FollowRequest{
		Instance: s.instance, Zone: s.zone, Kind: kindOf(prefix), Revision: revision, WaitMicros: wait.Microseconds(),
	})
	switch {
	case err != nil:
		s.log.Info("holder passes nothing on", "kind", kindOf(prefix), "address", address, "error", err)
	case !reply.GetFresh():
		s.log.Debug("holder is not fresh", "kind", kindOf(prefix), "address", address)
	default:
		s.mu.Lock()
		s.instances = int(reply.GetInstances())
		s.mu.Unlock()
		return reply, true
	}
	s.pause()
	return nil, false
}

func objectsOf(reply *wire.FollowReply) []bamboorail.Object {
	objects := make([]bamboorail.Object, 0, len(reply.GetObjects()))
	for _, o := range reply.GetObjects() {
		objects = append(objects, bamboorail.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	return objects
}

// Follow answers a peer from what this instance read.
func (s *Store) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	if r.GetZone() != s.zone || !s.holder.Leading() {
		return &wire.FollowReply{}, nil
	}
	now := time.Now()
	s.mu.Lock()
	s.followers[r.GetInstance()] = now
	instances := s.countFollowers(now) + 1
	s.mu.Unlock()
	a := s.cache.follow(ctx, r.GetKind(), r.GetRevision(), min(time.Duration(r.GetWaitMicros())*time.Microsecond, peerWait))
	reply := &wire.FollowReply{Fresh: a.fresh, Revision: a.events.Revision, Gap: a.events.Reset, Instances: int32(instances)}
	for _, o := range append(a.objects, a.events.Objects...) {
		reply.Objects = append(reply.Objects, &wire.FollowedObject{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return reply, nil
}
