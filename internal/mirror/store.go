package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

const (
	// followWait is the time for which a peer waits for changes, replyGrace the
	// additional time for the reply. Together they are well below the 2 s within
	// which a change must take effect (limits config_apply_ms, drain_ms).
	followWait = 700 * time.Millisecond
	replyGrace = 400 * time.Millisecond
	// peerRetryDelay is the time for which a holder is not asked after a failure.
	peerRetryDelay = 2 * time.Second
	// storeRetryDelay is the mean time for which followers do not call an
	// overloaded store. Together with the backoff of an informer it stays below
	// the 2 s within which a change must take effect (limit config_apply_ms).
	storeRetryDelay = 500 * time.Millisecond
	// outageRetryDelay is the mean time for which followers do not call a store
	// that their holders have lost too. The holders find it again sooner.
	outageRetryDelay = 1500 * time.Millisecond
	// followerExpiry is the time since its last request for which a follower
	// counts as an instance of the zone.
	followerExpiry = 5 * time.Second
)

// ProbeTimeout is the time that all holders together have to answer requests for what may
// be late already.
const ProbeTimeout = 250 * time.Millisecond

// Peers sends follow requests to other instances.
type Peers interface {
	Follow(ctx context.Context, address string, r *wire.FollowRequest) (*wire.FollowReply, error)
}

// Holder reports which instance holds the zone of this instance.
type Holder interface {
	// Leading reports whether this instance is the holder.
	Leading() bool
	// Holder returns the name and address of the holder, or empty strings.
	Holder() (name, address string)
}

// Store is an object store whose lists and watches go through the holder of the
// zone. All other calls go directly to the store.
type Store struct {
	bamboorail.ObjectStore
	instance string
	zone     string
	holder   Holder
	// others are the holders of other zones, which are asked if that of this
	// zone has no fresh data.
	others []upstream
	peers  Peers
	log    hclog.Logger
	cache  *cache
	// leases are read through the holder too. startupEnd is the time until which
	// this instance waits for a holder.
	leases     Leases
	startupEnd time.Time
	// address is the address of this instance for others; unreachable reports whether
	// it does not reach the targets.
	address     string
	unreachable func() bool
	// onReply is called with each reply of a holder and its zone.
	onReply func(zone string, r *wire.FollowReply)

	mu sync.Mutex
	// retryAt are the times until which a holder gets no requests: for any kind after a
	// timeout, for one kind after a reply without fresh data.
	retryAt map[pausedSource]time.Time
	// refusal is the error of an overloaded or unavailable store, which is not
	// called again until storeRetryAt, for whatever kind. staleReplyAt is the
	// time of the last reply of a holder without fresh data.
	refusal                    error
	storeRetryAt, staleReplyAt time.Time
	// overdue are the kinds whose last call to the store failed. They are read without
	// waiting for a change, and all holders together have ProbeTimeout to answer.
	overdue map[string]bool
	// watchLatency is the time by which the last watch without changes was late.
	watchLatency time.Duration
	// followers maps the following instances to the time of their last request.
	// instances is the number of instances reported by the holder.
	followers map[string]followerState
	instances int
}

// NewStore returns a store through which an instance reads by way of the holder
// of its zone. With a nil digest all changes are forwarded immediately.
func NewStore(store bamboorail.ObjectStore, instance, zone string, h Holder, p Peers, d Digest, log hclog.Logger) *Store {
	return &Store{
		ObjectStore: store, instance: instance, zone: zone, holder: h, peers: p, log: log, cache: newCache(d),
		followers: map[string]followerState{}, retryAt: map[pausedSource]time.Time{}, overdue: map[string]bool{}, unreachable: func() bool { return false },
		onReply: func(string, *wire.FollowReply) {},
	}
}

// SetOnReply sets the function that is called with each reply of a holder and its zone.
// It must be set before the store is used.
func (s *Store) SetOnReply(f func(zone string, r *wire.FollowReply)) { s.onReply = f }

// SetMaxAge sets the time for which what this instance has read of a kind is served to others. It must be called
// before the store is used.
func (s *Store) SetMaxAge(kind string, d time.Duration) { s.cache.setMaxAge(kind, d) }

// List returns the objects of a kind.
func (s *Store) List(ctx context.Context, prefix string) ([]bamboorail.Object, bamboorail.StoreVersion, error) {
	for {
		if reply, ok := s.followHolder(ctx, prefix, 0, 0); ok {
			return objectsOf(reply), bamboorail.StoreVersion(reply.GetRevision()), nil
		}
		if !s.awaitHolder(ctx) {
			break
		}
	}
	if err := s.storeRefusal(); err != nil {
		return nil, 0, err
	}
	sent := time.Now()
	objects, revision, err := s.ObjectStore.List(ctx, prefix)
	s.setOverdue(kindOf(prefix), err != nil)
	if err != nil {
		s.deferToHolder(ctx, sent, err)
		return nil, 0, err
	}
	s.cache.replace(kindOf(prefix), objects, revision, sent)
	return objects, revision, nil
}

// Watch waits for changes of one kind after revision.
func (s *Store) Watch(ctx context.Context, prefixes []string, revision bamboorail.StoreVersion, wait time.Duration) (bamboorail.Events, error) {
	if reply, ok := s.followHolder(ctx, prefixes[0], revision, min(wait, followWait)); ok {
		return bamboorail.Events{
			Revision: bamboorail.StoreVersion(reply.GetRevision()), Objects: objectsOf(reply), Reset: reply.GetGap(), FromPeer: true,
		}, nil
	}
	if err := s.storeRefusal(); err != nil {
		return bamboorail.Events{}, err
	}
	sent := time.Now()
	events, err := s.ObjectStore.Watch(ctx, prefixes, revision, wait)
	s.setOverdue(kindOf(prefixes[0]), err != nil)
	if err != nil {
		s.deferToHolder(ctx, sent, err)
		return bamboorail.Events{}, err
	}
	if !s.cache.apply(kindOf(prefixes[0]), revision, events, s.stateTime(sent, wait, events)) && s.holder.Leading() {
		// The cache of a new holder must be complete before it serves peers.
		s.log.Info("new holder lists kind again, cache is incomplete", "kind", kindOf(prefixes[0]), "revision", revision)
		events.Reset = true
	}
	return events, nil
}

// stateTime returns the time as of which an answer to a watch shows the store. The store
// ends a watch after the requested wait; the rest of its duration is latency, which the next
// answers with changes are assumed to have too.
func (s *Store) stateTime(sent time.Time, wait time.Duration, e bamboorail.Events) time.Time {
	now := time.Now()
	waited := sent.Add(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(e.Objects) == 0 {
		s.watchLatency = max(now.Sub(waited), 0)
	}
	at := now.Add(-s.watchLatency)
	if at.After(waited) {
		at = waited
	}
	if at.Before(sent) {
		at = sent
	}
	return at
}

// followHolder sends a follow request to the holder of the zone, or else to that
// of another zone, but for a full list: those of many instances would fill the
// links between zones. It returns false if the store must be called instead.
func (s *Store) followHolder(ctx context.Context, prefix string, revision bamboorail.StoreVersion, wait time.Duration) (*wire.FollowReply, bool) {
	if s.isOverdue(kindOf(prefix)) {
		wait = 0
	}
	var probing time.Time
	for _, from := range s.sources(kindOf(prefix)) {
		grace := replyGrace
		switch {
		case revision == 0 && from.zone != s.zone:
			return nil, false
		case revision > 0 && wait == 0 && probing.IsZero():
			probing, grace = time.Now(), ProbeTimeout
		case revision > 0 && wait == 0:
			grace = ProbeTimeout - time.Since(probing)
		}
		if grace <= 0 {
			return nil, false
		}
		reply, err := s.request(ctx, from, prefix, revision, wait, grace)
		// Changes that this holder did not pass on must not wait for the next one too.
		wait = 0
		if err != nil {
			continue
		}
		if !reply.GetFresh() {
			s.pause(pausedSource{from.address, kindOf(prefix)})
			continue
		}
		s.setOverdue(kindOf(prefix), false)
		if n := reply.GetInstances(); n > 0 && from.zone == s.zone {
			s.mu.Lock()
			s.instances = int(n)
			s.mu.Unlock()
		}
		return reply, true
	}
	return nil, false
}

// request sends a follow request to a holder, which may reply within grace after wait. A holder
// that times out gets no requests for a while.
func (s *Store) request(ctx context.Context, from source, prefix string, after bamboorail.StoreVersion, wait, grace time.Duration) (*wire.FollowReply, error) {
	askCtx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	reply, err := s.peers.Follow(askCtx, from.address, &wire.FollowRequest{
		Instance: s.instance, InstanceZone: s.zone, Zone: from.zone, Kind: kindOf(prefix), Revision: uint64(after), WaitMicros: wait.Microseconds(),
		Address: s.address, TargetsUnreachable: s.unreachable(),
	})
	if err != nil && ctx.Err() != nil {
		return nil, err // canceled by this instance
	}
	if err != nil {
		s.log.Info("follow request to holder failed", "kind", kindOf(prefix), "zone", from.zone, "address", from.address, "error", err)
		s.pause(pausedSource{address: from.address})
		return nil, err
	}
	s.observeEra(reply.GetRevision())
	s.onReply(from.zone, reply)
	if !reply.GetFresh() {
		s.mu.Lock()
		s.staleReplyAt = time.Now()
		s.mu.Unlock()
		s.log.Info("holder has no fresh data", "kind", kindOf(prefix), "zone", from.zone, "address", from.address)
	}
	return reply, nil
}

// eraObserver is implemented by stores that can be told of a restore.
type eraObserver interface{ ObserveEra(era uint64) }

// observeEra tells the store of the era in a peer's version.
func (s *Store) observeEra(version uint64) {
	if o, ok := s.ObjectStore.(eraObserver); ok && version > 0 {
		o.ObserveEra(bamboorail.StoreVersion(version).Era())
	}
}

func objectsOf(reply *wire.FollowReply) []bamboorail.Object {
	objects := make([]bamboorail.Object, 0, len(reply.GetObjects()))
	for _, o := range reply.GetObjects() {
		objects = append(objects, bamboorail.Object{Key: o.GetKey(), Version: bamboorail.StoreVersion(o.GetVersion()), Value: o.GetValue(), Deleted: o.GetDeleted()})
	}
	return objects
}
