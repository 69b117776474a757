package placer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/advisory"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// Follower serves the objects that this instance has read from the object
// store.
type Follower interface {
	Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error)
}

// OriginRecorder stores where the streams of other instances began.
type OriginRecorder interface {
	// Baselines returns the software versions at which streams without a stored origin
	// began.
	Baselines() []*wire.Baseline
	RecordOrigins(ctx context.Context, r *wire.RecordOriginsRequest) (*wire.RecordOriginsReply, error)
}

// Forwarder runs calls of instances that reach no target.
type Forwarder interface {
	Forward(r *wire.ForwardRequest, stream wire.DRPCPlacer_ForwardStream) error
	Neighbors(ctx context.Context, r *wire.NeighborsRequest) (*wire.NeighborsReply, error)
}

// Server answers requests of other instances for the zones whose lease this
// instance holds.
type Server struct {
	Follower
	OriginRecorder
	Forwarder
	// localZone is the availability zone of this instance.
	localZone  string
	zones      map[string]*Holder
	fleet      *fleet.Fleet
	quarantine *Quarantine
	limits     *Limits
	// credit is nil if this instance keeps no quotas.
	credit *Credit
}

// NewServer returns a server for the holders of all zones. The local zone comes
// first.
func NewServer(zones []ZoneHolder, f *fleet.Fleet, follower Follower, o OriginRecorder, w Forwarder, q *Quarantine, l *Limits) *Server {
	s := &Server{Follower: follower, OriginRecorder: o, Forwarder: w, localZone: zones[0].Zone, zones: map[string]*Holder{}, fleet: f, quarantine: q, limits: l}
	for _, z := range zones {
		s.zones[z.Zone] = z.Local
	}
	return s
}

// Place places a call of another instance.
func (s *Server) Place(ctx context.Context, r *wire.PlaceRequest) (*wire.PlaceReply, error) {
	reply := s.place(ctx, r)
	reply.Blocks = s.quarantine.blockMessages()
	return reply, nil
}

func (s *Server) place(ctx context.Context, r *wire.PlaceRequest) *wire.PlaceReply {
	h := s.zones[r.GetZone()]
	if h == nil || !h.Lease.Leading() {
		return &wire.PlaceReply{}
	}
	if r.GetInstanceZone() == r.GetZone() && r.GetZone() != s.localZone {
		h.Lease.RecordZoneRequest()
	}
	h.recordContact(r.GetInstance())
	h.Settle(endedFromWire(r.GetEnded()))
	key := bamboorail.AdapterKey{Model: r.GetModel(), Adapter: r.GetAdapter()}
	releases := s.fleet.Releases(key)
	if requested := int(r.GetVersion()); requested > releases.Newest() {
		// The requesting instance knows a release that this instance has not
		// learned of yet.
		releases = slices.Concat(releases, bamboorail.ReleaseHistory{{Version: requested}})
	}
	var startBy time.Time
	if remaining := r.GetRemainingMicros(); remaining != 0 {
		startBy = time.Now().Add(time.Duration(remaining) * time.Microsecond)
	}
	request := adapters.Request{
		Key: key, Service: r.GetService(), Software: r.GetSoftware(), Version: releases.Newest(), Releases: releases, Avoid: r.GetAvoid(),
		Loads: adapters.LoadPolicy(r.GetLoads()), Instance: r.GetInstance(), CallID: r.GetCallId(), Waited: time.Duration(r.GetWaitedMicros()) * time.Microsecond,
		Objective: time.Duration(r.GetObjectiveMicros()) * time.Microsecond, Priority: int(r.GetPriority()), StartBy: startBy,
	}
	addWorkFromWire(&request, r)
	p, err := h.Place(ctx, request)
	if err != nil {
		f := bamboorail.FailureOf(err)
		return &wire.PlaceReply{
			Holder: f.Kind != bamboorail.KindNotOwner, Reason: f.Error(),
			RetryAfterMicros: cmp.Or(f.RetryAfter, noCapacityRetry).Microseconds(),
		}
	}
	if ctx.Err() != nil {
		// The requesting instance no longer waits for the answer.
		h.endPlacement(p.Ticket)
	}
	return &wire.PlaceReply{
		Holder: true, Target: p.Target.ID.Name, Born: p.Target.ID.StartMillis, Address: p.Target.Address, Zone: p.Target.Zone,
		Version: int64(p.Version), ReadyInMicros: max(time.Until(p.ReadyAt), 0).Microseconds(), Ticket: p.Ticket,
	}
}

// Settle records the ended placements of another instance and, if requested,
// reconciles its open ones.
func (s *Server) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleReply, error) {
	s.quarantine.merge(r.GetBroken())
	s.quarantine.learn(r.GetInstance(), r.GetBlocks())
	s.limits.merge(advisory.Requests, r.GetLimits(), r.GetInstance())
	s.limits.merge(advisory.Refusals, r.GetRefusalLimits(), r.GetInstance())
	blocks := s.quarantine.blockMessages()
	h := s.zones[r.GetZone()]
	if h == nil || !h.Lease.Leading() {
		return &wire.SettleReply{Blocks: blocks}, nil
	}
	h.Settle(endedFromWire(r.GetEnded()))
	if r.GetReconcile() {
		h.reconcile(r.GetInstance(), r.GetOpen())
	}
	return &wire.SettleReply{Holder: true, Blocks: blocks}, nil
}

func endedFromWire(messages []*wire.EndedPlacement) []EndedPlacement {
	list := make([]EndedPlacement, 0, len(messages))
	for _, m := range messages {
		list = append(list, EndedPlacement{
			Ticket: m.GetTicket(), Result: balance.Result(m.GetResult()), Leaving: m.GetLeaving(), Timing: timingFromWire(m),
		})
	}
	return list
}
