package placer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/quota"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/internal/telemetry"
)

const (
	// sizeInterval is the time for which the counted size of a zone is used.
	sizeInterval = 250 * time.Millisecond
	// contactWindow is the time within which each instance of a zone that takes this one for
	// the holder reads through it: watches last up to a second.
	contactWindow = 1500 * time.Millisecond
	// takeoverDelay is the time from the beginning of a tenure, after that of another
	// instance lapsed, during which no credit is created. An instance that lost the store creates credit until most instances of
	// its zone have turned to its successor, whose lease they read within 2.25 s, and
	// contactWindow is over.
	takeoverDelay = 3 * time.Second
	// maxCreditNeeds bounds the workspaces of one request.
	maxCreditNeeds = 4096
)

// zoneCredit holds the buckets of a zone while this instance is its holder.
type zoneCredit struct {
	zone ZoneHolder
	// own is set for the zone of this instance.
	own   bool
	zones int
	quota quota.Lookup
	// contacts is that of CreditConfig.
	contacts func(within time.Duration) int
	metrics  *telemetry.Metrics
	log      hclog.Logger

	mu      sync.Mutex
	buckets *quota.Buckets
	// token is the fencing token of the tenure of the buckets.
	token uint64
	// members is the number of instances that were in contact with this holder while its
	// tenure was confirmed, countedAt the time at which reachable were counted.
	members, reachable int
	countedAt          time.Time
}

// acting reports whether this instance may create credit of the zone, and prepares the buckets
// of its tenure. The caller holds the lock.
//
// A zone that is cut off from the store goes on with its share, so an instance of another
// zone that claims the lease meanwhile must not create the same credit. Within the zone, a
// holder whose tenure lapsed goes on only while more than half of the instances of the zone
// took it for the holder lately: they would follow a successor.
func (z *zoneCredit) acting(now time.Time) bool {
	if !z.own || z.zone.Lease == nil || !z.zone.Lease.Leading() {
		return false
	}
	token, confirmed := z.zone.Lease.Confirmed()
	if now.Sub(z.countedAt) >= sizeInterval {
		z.reachable, z.countedAt = z.contacts(contactWindow), now
		if confirmed {
			z.members = z.reachable
		}
	}
	if !confirmed && 2*z.reachable <= z.members {
		return false
	}
	if z.buckets == nil || z.token != token {
		begin := now
		if z.zone.Lease.IsTakenOver() {
			begin = now.Add(takeoverDelay)
		}
		z.buckets, z.token = quota.NewBuckets(z.zones, z.quota, begin), token
		z.log.Info("quota credit of the zone begins", "zone", z.zone.Zone, "fencing", token)
	}
	return true
}

// begin prepares the buckets of a new tenure.
func (z *zoneCredit) begin(now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.acting(now)
}

// grant moves credit to an instance. It returns false if this instance has none to give.
func (z *zoneCredit) grant(needs []quota.Need, now time.Time) (grants []quota.Grant, short, acting bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.acting(now) {
		return nil, false, false
	}
	grants = make([]quota.Grant, 0, len(needs))
	for _, n := range needs {
		g := z.buckets.Grant(n, now)
		z.metrics.CreditMoved(n.Workspace, telemetry.CreditGranted, g.Amount)
		if g.Retry > 0 {
			z.metrics.CreditMoved(n.Workspace, telemetry.CreditDenied, n.Amount-g.Amount)
		}
		grants, short = append(grants, g), short || g.Short
	}
	return grants, short, true
}

// give moves credit to the holder of another zone.
func (z *zoneCredit) give(needs []quota.Need, now time.Time) ([]quota.Grant, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.acting(now) {
		return nil, false
	}
	grants := make([]quota.Grant, 0, len(needs))
	for _, n := range needs {
		given := z.buckets.Give(n.Workspace, n.Amount, now)
		z.metrics.CreditMoved(n.Workspace, telemetry.CreditGiven, given)
		grants = append(grants, quota.Grant{Amount: given})
	}
	return grants, true
}

// wanted returns the credit to be requested from the holders of other zones.
func (z *zoneCredit) wanted(now time.Time) []quota.Need {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.buckets == nil || !z.acting(now) {
		return nil
	}
	return z.buckets.Wanted(now)
}

// receive adds credit of another zone that was requested at a time.
func (z *zoneCredit) receive(needs []quota.Need, grants []quota.Grant, sent, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for n, g := range grants {
		z.buckets.Receive(needs[n].Workspace, g.Amount, sent.Add(quota.CreditExpiry), now)
		z.metrics.CreditMoved(needs[n].Workspace, telemetry.CreditReceived, g.Amount)
	}
}

// answered records the end of a round of requests.
func (z *zoneCredit) answered(workspace string, given float64, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.buckets.Answered(workspace, given, now)
}

func (z *zoneCredit) retain() {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.buckets != nil {
		z.buckets.Retain()
	}
}

// runTransfers requests credit of other zones while the buckets of this zone fall short.
func (c *Credit) runTransfers(ctx context.Context) error {
	own := c.holders[c.Zones[0].Zone]
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.transfer:
		}
		for {
			needs := own.wanted(time.Now())
			if len(needs) == 0 {
				break
			}
			c.transferRound(ctx, own, needs)
			if err := task.Sleep(ctx, quota.TransferInterval); err != nil {
				return err
			}
		}
	}
}

// transferRound requests credit from the other zones, one after the other.
func (c *Credit) transferRound(ctx context.Context, own *zoneCredit, needs []quota.Need) {
	given := make([]float64, len(needs))
	for _, z := range c.Zones[1:] {
		open, index := make([]quota.Need, 0, len(needs)), make([]int, 0, len(needs))
		for n, need := range needs {
			if need.Amount -= given[n]; need.Amount > 0 {
				open, index = append(open, need), append(index, n)
			}
		}
		if len(open) == 0 {
			break
		}
		sent := time.Now()
		grants, answered := c.ask(ctx, z, open, true)
		if !answered {
			continue
		}
		own.receive(open, grants, sent, time.Now())
		for n, g := range grants {
			given[index[n]] += g.Amount
		}
	}
	now := time.Now()
	for n, need := range needs {
		own.answered(need.Workspace, given[n], now)
	}
}

// ask sends a request for credit to the holder of a zone, for this instance or for its own zone. It
// returns false without an answer. The answers to requests that were given up are dropped.
func (c *Credit) ask(ctx context.Context, z ZoneHolder, needs []quota.Need, transfer bool) ([]quota.Grant, bool) {
	if grants, ok := c.serve(z.Zone, needs, transfer); ok {
		return grants, true
	}
	if z.Lease.Leading() {
		return nil, false
	}
	_, address := z.Lease.Holder()
	key, now := z.Zone+"@"+address, time.Now()
	c.mu.Lock()
	skip := address == "" || now.Before(c.backoffs[key].until)
	c.mu.Unlock()
	if skip {
		return nil, false
	}
	callCtx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()
	reply, err := c.Peers.Credit(callCtx, address, &wire.CreditRequest{Zone: z.Zone, Instance: c.Instance, Transfer: transfer, Needs: needMessages(needs)})
	now = time.Now()
	if err != nil || callCtx.Err() != nil || !reply.GetHolder() || len(reply.GetGrants()) != len(needs) {
		if ctx.Err() == nil {
			c.mu.Lock()
			c.backoffs[key] = c.backoffs[key].next(minCreditBackoff, maxHolderBackoff, now)
			c.mu.Unlock()
			c.Log.Info("holder gives no credit", "zone", z.Zone, "address", address, "transfer", transfer, "holder", reply.GetHolder(), "error", errorText(err))
		}
		return nil, false
	}
	c.mu.Lock()
	delete(c.backoffs, key)
	c.mu.Unlock()
	grants := make([]quota.Grant, 0, len(needs))
	for n, g := range reply.GetGrants() {
		grants = append(grants, quota.Grant{Amount: max(min(g.GetAmount(), needs[n].Amount), 0), Retry: time.Duration(g.GetRetryAfterMicros()) * time.Microsecond})
	}
	return grants, true
}

// serve answers a request for credit as the holder of a zone.
func (c *Credit) serve(zone string, needs []quota.Need, transfer bool) ([]quota.Grant, bool) {
	h := c.holders[zone]
	if h == nil {
		return nil, false
	}
	if transfer {
		return h.give(needs, time.Now())
	}
	grants, short, acting := h.grant(needs, time.Now())
	if short {
		signal(c.transfer)
	}
	return grants, acting
}

// SetCredit makes the server answer requests for credit.
func (s *Server) SetCredit(c *Credit) { s.credit = c }

// Credit moves credit of a zone that this instance holds.
func (s *Server) Credit(_ context.Context, r *wire.CreditRequest) (*wire.CreditReply, error) {
	if s.credit == nil || len(r.GetNeeds()) > maxCreditNeeds {
		return &wire.CreditReply{}, nil
	}
	needs := make([]quota.Need, 0, len(r.GetNeeds()))
	for _, n := range r.GetNeeds() {
		needs = append(needs, quota.Need{Workspace: n.GetWorkspace(), Instance: r.GetInstance(), Amount: n.GetAmount(), Minimum: n.GetMinimum()})
	}
	grants, ok := s.credit.serve(r.GetZone(), needs, r.GetTransfer())
	if !ok {
		return &wire.CreditReply{}, nil
	}
	reply := &wire.CreditReply{Holder: true, Grants: make([]*wire.CreditGrant, 0, len(grants))}
	for _, g := range grants {
		// The index identifies the workspace.
		reply.Grants = append(reply.Grants, &wire.CreditGrant{Amount: g.Amount, RetryAfterMicros: g.Retry.Microseconds()})
	}
	return reply, nil
}

func needMessages(needs []quota.Need) []*wire.CreditNeed {
	list := make([]*wire.CreditNeed, 0, len(needs))
	for _, n := range needs {
		list = append(list, &wire.CreditNeed{Workspace: n.Workspace, Amount: n.Amount, Minimum: n.Minimum})
	}
	return list
}
