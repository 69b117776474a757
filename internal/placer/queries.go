package placer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/relay"
)

// holderQuery is a query to the holder of one zone.
type holderQuery struct {
	zone   ZoneHolder
	policy adapters.LoadPolicy
}

// holderQueries returns the queries for an adapter in order: the local zone if
// it holds the adapter or has enough demand for it, the adapter's home zone,
// then the other zones. A single home zone for each adapter limits the fetches
// from the weight store.
func (c *Chooser) holderQueries(key bamboorail.AdapterKey) []holderQuery {
	list := make([]holderQuery, 0, len(c.Zones)+1)
	if key.Adapter != "" {
		names := make([]string, 0, len(c.Zones))
		for _, z := range c.Zones {
			names = append(names, z.Zone)
		}
		if home := slices.Index(names, adapters.HomeZone(names, key)); home > 0 {
			list = append(list, holderQuery{c.Zones[0], adapters.LoadIfDemanded}, holderQuery{c.Zones[home], adapters.LoadAny})
		}
	}
	for _, z := range c.Zones {
		if len(list) > 1 && z.Zone == list[1].zone.Zone {
			continue
		}
		list = append(list, holderQuery{z, adapters.LoadAny})
	}
	return list
}

// preferOverload returns the failure that tells most about when to retry: the
// first one that reports overload, or else the last one.
func preferOverload(first, second error) error {
	if first == nil || bamboorail.KindOf(first) != bamboorail.KindOverloaded {
		return second
	}
	return first
}

// holderKey identifies the holder of a zone by its address, so that a new
// holder does not inherit the backoff of the previous one.
func holderKey(z ZoneHolder) string {
	_, address := z.Lease.Holder()
	return z.Zone + "@" + address
}

func (c *Chooser) inBackoff(z ZoneHolder) bool {
	key := holderKey(z)
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.holderBackoffs[key].until)
}

// isSkipped reports whether a holder that did not answer is not asked to admit a call. For a
// permit, that time does not grow: instances that skip a holder send calls beside those that it
// permits.
func (c *Chooser) isSkipped(z ZoneHolder, permit bool) bool {
	if !permit {
		return c.inBackoff(z)
	}
	key := holderKey(z)
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.holderBackoffs[key]
	return time.Now().Before(b.until.Add(min(minHolderBackoff-b.duration, 0)))
}

// backOff skips a holder for a while.
func (c *Chooser) backOff(z ZoneHolder) {
	key := holderKey(z)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holderBackoffs[key] = c.holderBackoffs[key].next(minHolderBackoff, maxHolderBackoff, time.Now())
}

// clearBackoff resets the failures of a holder.
func (c *Chooser) clearBackoff(z ZoneHolder) {
	key := holderKey(z)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holderBackoffs, key)
}

// askHolder queries the holder of a zone.
func (c *Chooser) askHolder(ctx context.Context, z ZoneHolder, a relay.ChooseRequest, loads adapters.LoadPolicy) (relay.Reservation, error) {
	releases := c.Fleet.Releases(a.Call.Key)
	newest := releases.Newest()
	if z.Local != nil && z.Lease.Leading() {
		c.recordContact(z.Zone)
		request := adapters.Request{
			Key: a.Call.Key, Service: a.Service.Name, Software: a.Software, Version: newest, Releases: releases, Avoid: a.Avoid,
			Loads: loads, CallID: a.Call.ID, Waited: time.Since(a.Received), Objective: a.Route.Objective, Priority: a.Route.Priority,
			StartBy: a.StartBy,
		}
		addWork(&request, a)
		p, err := z.Local.Place(ctx, request)
		if err != nil {
			return relay.Reservation{}, unplaced(err)
		}
		return c.reservation(z.Zone, a, p), nil
	}
	_, address := z.Lease.Holder()
	if address == "" {
		return relay.Reservation{}, failRetry("ask-holder", bamboorail.KindUnavailable, noEngineRetry, errNoHolder)
	}
	return c.askPeer(ctx, z, address, a, newest, loads)
}

// unplaced returns the failure of a call that this instance, as the holder, did not
// place. Whatever failed, such as an order, the call was not sent.
func unplaced(err error) error {
	f := bamboorail.FailureOf(err)
	if f.Outcome == bamboorail.OutcomeNotRun {
		return err
	}
	return failRetry("ask-holder", bamboorail.KindOverloaded, cmp.Or(f.RetryAfter, noCapacityRetry), err)
}

// callID returns the id of a call for a message, which can contain valid UTF-8 only.
func callID(id string) string {
	if utf8.ValidString(id) {
		return id
	}
	return strconv.QuoteToASCII(id)
}

func (c *Chooser) askPeer(
	ctx context.Context, z ZoneHolder, address string, a relay.ChooseRequest, newest int, loads adapters.LoadPolicy,
) (relay.Reservation, error) {
	const op = "ask-holder"
	queryCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	queryCtx, span := c.Tracer.Start(queryCtx, "holder "+z.Zone, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	ended := c.takeEnded(z.Zone)
	message := &wire.PlaceRequest{
		Zone: z.Zone, Instance: c.Instance, Service: a.Service.Name, Model: a.Call.Key.Model, Adapter: a.Call.Key.Adapter,
		Version: int64(newest), Avoid: a.Avoid, Ended: endedMessages(ended), Loads: int32(loads),
		CallId: callID(a.Call.ID), WaitedMicros: time.Since(a.Received).Microseconds(), ObjectiveMicros: a.Route.Objective.Microseconds(),
		Priority: int32(a.Route.Priority), InstanceZone: c.Zones[0].Zone, RemainingMicros: time.Until(a.StartBy).Microseconds(),
		Software: a.Software,
	}
	addWorkMessage(message, a)
	reply, err := c.Peers.Place(queryCtx, address, message)
	received := time.Now()
	if err == nil {
		c.learnBlocks(z.Zone, reply.GetBlocks())
	}
	switch {
	case err != nil && ctx.Err() != nil:
		c.requeueEnded(z.Zone, ended)
		return relay.Reservation{}, fail(op, bamboorail.KindCancelled, err)
	case err != nil:
		c.requeueEnded(z.Zone, ended)
		c.backOff(z)
		c.Log.Warn("holder does not answer", "zone", z.Zone, "address", address, "id", a.Call.ID, "error", err)
		return relay.Reservation{}, failRetry(op, bamboorail.KindUnavailable, noEngineRetry, err)
	case !reply.GetHolder():
		c.clearBackoff(z)
		c.backOff(z)
		if z.Zone == c.Zones[0].Zone {
			c.PollLease()
		}
		return relay.Reservation{}, failRetry(op, bamboorail.KindNotOwner, noEngineRetry, errNotHolder)
	case reply.GetTarget() == "":
		c.clearBackoff(z)
		c.recordContact(z.Zone)
		after := time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond
		return relay.Reservation{}, failRetry(op, bamboorail.KindOverloaded, after, errors.New(reply.GetReason()))
	}
	c.clearBackoff(z)
	c.recordContact(z.Zone)
	c.addOpen(z.Zone, reply.GetTicket(), received)
	target := bamboorail.TargetEntry{
		ID: bamboorail.TargetID{Name: reply.GetTarget(), StartMillis: reply.GetBorn()}, Service: a.Service.Name,
		Address: reply.GetAddress(), Zone: reply.GetZone(),
	}
	if known, ok := c.Fleet.Target(target.ID.Name); ok && known.ID == target.ID {
		target.Software = known.Software
	}
	ready := received.Add(time.Duration(reply.GetReadyInMicros()) * time.Microsecond)
	return c.reservation(z.Zone, a, adapters.Placement{Target: target, Version: int(reply.GetVersion()), ReadyAt: ready, Ticket: reply.GetTicket()}), nil
}
