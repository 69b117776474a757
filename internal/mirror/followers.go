package mirror

import (
	"context"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// followerState is what is known of another instance of the zone that reads through this one.
type followerState struct {
	lastRequest time.Time
	address     string
	// unreachable is set while it does not reach the targets.
	unreachable bool
}

// SetReachability sets what this instance reports of itself to its holder. It must be called
// before the store is used.
func (s *Store) SetReachability(address string, unreachable func() bool) {
	s.address, s.unreachable = address, unreachable
}

// maxMembers bounds the addresses in one list of members.
const maxMembers = 16

// Members returns the addresses of instances of the zone that read through this one
// and reach the targets.
func (s *Store) Members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countFollowers(time.Now())
	var list []string
	for _, f := range s.followers {
		if !f.unreachable && f.address != "" && len(list) < maxMembers {
			list = append(list, f.address)
		}
	}
	return list
}

// ZoneSize returns the number of instances of the zone, including this one, or 0
// if it is unknown.
func (s *Store) ZoneSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Leading() {
		return s.countFollowers(time.Now()) + 1
	}
	return s.instances
}

// Contacts returns the number of instances of the zone, including this one, that read
// through this one within a time.
func (s *Store) Contacts(within time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := time.Now(), 1
	for _, f := range s.followers {
		if now.Sub(f.lastRequest) <= within {
			n++
		}
	}
	return n
}

// countFollowers removes expired followers and returns the number of the others.
// The caller holds the lock.
func (s *Store) countFollowers(now time.Time) int {
	for name, f := range s.followers {
		if now.Sub(f.lastRequest) > followerExpiry {
			delete(s.followers, name)
		}
	}
	return len(s.followers)
}

// Follow replies to a peer from the cache of this instance. The holder of the zone also
// serves the instances of another zone whose lease it holds.
func (s *Store) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error) {
	if !s.holder.Leading() {
		return &wire.FollowReply{}, nil
	}
	s.observeEra(r.GetRevision())
	now := time.Now()
	s.mu.Lock()
	if from := r.GetInstanceZone(); from == "" || from == s.zone {
		s.followers[r.GetInstance()] = followerState{lastRequest: now, address: r.GetAddress(), unreachable: r.GetTargetsUnreachable()}
	}
	instances := 0
	if r.GetZone() == s.zone {
		instances = s.countFollowers(now) + 1
	}
	s.mu.Unlock()
	a := s.cache.follow(ctx, r.GetKind(), bamboorail.StoreVersion(r.GetRevision()), min(time.Duration(r.GetWaitMicros())*time.Microsecond, followWait))
	reply := &wire.FollowReply{Fresh: a.fresh, Revision: uint64(a.events.Revision), Gap: a.events.Reset, Instances: int32(instances)}
	if a.fresh {
		a.objects = s.withHeld(r.GetKind(), a.objects)
	}
	for _, o := range append(a.objects, a.events.Objects...) {
		reply.Objects = append(reply.Objects, &wire.FollowedObject{Key: o.Key, Version: uint64(o.Version), Value: o.Value, Deleted: o.Deleted})
	}
	return reply, nil
}
