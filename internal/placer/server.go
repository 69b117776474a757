package placer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// Follower passes on what this instance read of the object store.
type Follower interface {
	Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error)
}

// Server answers other instances for the zones that this one holds.
type Server struct {
	Follower
	// own is the availability zone of this instance.
	own   string
	zones map[string]*Holder
	fleet *fleet.Fleet
}

// NewServer returns a server for the holders of all zones, the own one first.
func NewServer(zones []ZoneHolder, f *fleet.Fleet, follower Follower) *Server {
	s := &Server{Follower: follower, own: zones[0].Zone, zones: map[string]*Holder{}, fleet: f}
	for _, z := range zones {
		s.zones[z.Zone] = z.Local
	}
	return s
}

// Place finds a place for a peer's call.
func (s *Server) Place(ctx context.Context, r *wire.PlaceRequest) (*wire.PlaceReply, error) {
	h := s.zones[r.GetZone()]
	if h == nil || !h.Lease.Leading() {
		return &wire.PlaceReply{}, nil
	}
	if r.GetInstanceZone() == r.GetZone() && r.GetZone() != s.own {
		h.Lease.Asked()
	}
	h.hear(r.GetInstance())
	h.Settle(endsOf(r.GetEnded()))
	key := bamboorail.AdapterKey{Model: r.GetModel(), Adapter: r.GetAdapter()}
	releases := s.fleet.Releases(key)
	if asked := int(r.GetVersion()); asked > releases.Newest() {
		// The asking instance knows a release that this one has yet to hear of.
		releases = slices.Concat(releases, bamboorail.ReleaseHistory{{Version: asked}})
	}
	p, err := h.Place(ctx, adapters.Request{
		Key: key, Service: r.GetService(), Version: releases.Newest(), Releases: releases, Avoid: r.GetAvoid(),
		Loads: adapters.LoadRule(r.GetLoads()), Instance: r.GetInstance(), CallID: r.GetCallId(), Waited: time.Duration(r.GetWaitedMicros()) * time.Microsecond,
		Objective: time.Duration(r.GetObjectiveMicros()) * time.Microsecond, Priority: int(r.GetPriority()),
	})
	if err != nil {
		f := bamboorail.FailureOf(err)
		return &wire.PlaceReply{
			Holder: f.Kind != bamboorail.KindNotOwner, Reason: f.Error(),
			RetryAfterMicros: cmp.Or(f.RetryAfter, noPlaceRetry).Microseconds(),
		}, nil
	}
	if ctx.Err() != nil {
		// Nobody waits for the answer any more.
		h.endPlacement(p.Ticket)
	}
	return &wire.PlaceReply{
		Holder: true, Target: p.Target.ID.Name, Born: p.Target.ID.StartMillis, Address: p.Target.Address, Zone: p.Target.Zone,
		Version: int64(p.Version), ReadyInMicros: max(time.Until(p.ReadyAt), 0).Microseconds(), Ticket: p.Ticket,
	}, nil
}

// Settle takes in the ends of a peer's placements.
func (s *Server) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleReply, error) {
	h := s.zones[r.GetZone()]
	if h == nil || !h.Lease.Leading() {
		return &wire.SettleReply{}, nil
	}
	h.Settle(endsOf(r.GetEnded()))
	if r.GetReconcile() {
		h.reconcile(r.GetInstance(), r.GetOpen())
	}
	return &wire.SettleReply{Holder: true}, nil
}

func endsOf(messages []*wire.EndedPlacement) []Ended {
	list := make([]Ended, 0, len(messages))
	for _, m := range messages {
		list = append(list, Ended{Ticket: m.GetTicket(), Result: balance.Result(m.GetResult())})
	}
	return list
}
