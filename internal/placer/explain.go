package placer

import (
	"cmp"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/relay"
)

// Explain returns how the holder would place a call now, and false if this instance is not the
// holder of the zone. It changes nothing.
func (h *Holder) Explain(r adapters.Request) (adapters.Explanation, bool) {
	if !h.Lease.Leading() {
		return adapters.Explanation{}, false
	}
	if h.Lease.WaitToAct() > 0 {
		r.Loads = adapters.LoadNever
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.planner.Explain(r, time.Now())
	if len(x.Candidates) == 0 {
		x.RetryAfter = max(x.RetryAfter, noCapacityRetry)
	}
	return x, true
}

// ExplainedTarget is a target in the view of this instance.
type ExplainedTarget struct {
	Target bamboorail.TargetEntry
	// Cost is the cost by which the balancer compares targets.
	Cost time.Duration
	// InFlight is the number of calls that this instance has there.
	InFlight int
	// Shared is set if the slots are shared by all instances now.
	Shared bool
}

// ExplainedHolder is a zone with the name and peer address of its holder, empty if there is none.
type ExplainedHolder struct{ Zone, Holder, Address string }

func explainHolder(z ZoneHolder) ExplainedHolder {
	x := ExplainedHolder{Zone: z.Zone}
	x.Holder, x.Address = z.Lease.Holder()
	return x
}

// EngineExplanation states how a call for a model would be placed.
type EngineExplanation struct {
	// ExplainedHolder is that of the zone of this instance.
	ExplainedHolder
	// Home is the zone in which the adapter is loaded first, empty without an adapter.
	Home string
	// IsHolder is set if this instance is the holder; Plan is known only then.
	IsHolder bool
	Plan     adapters.Explanation
	// Next are the holders that are queried after this one, in order.
	Next []ExplainedHolder
	// Known lists the engines that hold the model and adapter by their own entries, in the
	// order in which this instance would use them without a holder.
	Known []ExplainedTarget
}

// ExplainEngine returns how a call for a model would be placed in the zone of this instance.
func (c *Chooser) ExplainEngine(a relay.ChooseRequest) EngineExplanation {
	z, now := c.Zones[0], time.Now()
	x := EngineExplanation{ExplainedHolder: explainHolder(z)}
	queries := c.holderQueries(a.Call.Key)
	for _, q := range queries[1:] {
		x.Next = append(x.Next, explainHolder(q.zone))
	}
	if a.Call.Key.Adapter != "" {
		names := make([]string, 0, len(c.Zones))
		for _, z := range c.Zones {
			names = append(names, z.Zone)
		}
		x.Home = adapters.HomeZone(names, a.Call.Key)
	}
	a.Avoid = c.explainedAvoid(a, now)
	if z.Local != nil {
		releases := c.Fleet.Releases(a.Call.Key)
		r := adapters.Request{
			Key: a.Call.Key, Service: a.Service.Name, Version: releases.Newest(), Releases: releases, Avoid: a.Avoid, Loads: queries[0].policy,
			CallID: a.Call.ID, Objective: a.Route.Objective, Priority: a.Route.Priority, StartBy: a.StartBy,
		}
		addWork(&r, a)
		if x.Plan, x.IsHolder = z.Local.Explain(r); x.IsHolder {
			return x
		}
	}
	x.Known = c.explainTargets(a, c.holdingEngines(a, now), now)
	return x
}

// explainedAvoid returns the engines that calls are not sent to, and keeps the list of suspects.
func (c *Chooser) explainedAvoid(a relay.ChooseRequest, now time.Time) []string {
	names := slices.Concat(a.Avoid, c.Advisories.Closed(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.suspects {
		if now.Before(s.until) {
			names = append(names, name)
		}
	}
	return names
}

// holdingEngines returns the engines that hold the model and adapter of a call by their own
// entries.
func (c *Chooser) holdingEngines(a relay.ChooseRequest, now time.Time) []bamboorail.TargetEntry {
	key, releases := a.Call.Key, c.Fleet.Releases(a.Call.Key)
	return slices.DeleteFunc(c.openTargets(a.Service.Name, now), func(e bamboorail.TargetEntry) bool {
		held, loaded := e.Models[key.Model]
		version, present := held[key.Adapter]
		return !loaded || key.Adapter != "" && (!present || releases.OutdatedFor(version, now) > oldVersionGrace)
	})
}

// PlainExplanation states how a call of a plain service would be sent.
type PlainExplanation struct {
	// Targets are in the order of their costs.
	Targets []ExplainedTarget
	// Err is the error that would refuse the call, nil if there is none.
	Err error
}

// ExplainPlain returns how a call of a plain service would be sent. Where the slots of the
// targets are shared, their holders decide.
func (c *Chooser) ExplainPlain(a relay.ChooseRequest) PlainExplanation {
	const op = "choose-target"
	now := time.Now()
	x := PlainExplanation{Targets: c.explainTargets(a, c.openTargets(a.Service.Name, now), now)}
	if x.Err = c.checkQuiet(a.Service.Name, now); x.Err == nil && len(x.Targets) == 0 {
		x.Err = failRetry(op, bamboorail.KindNoTarget, noEngineRetry, errNoTarget)
	}
	return x
}

// explainTargets returns targets in the order of the balancer's costs.
func (c *Chooser) explainTargets(a relay.ChooseRequest, targets []bamboorail.TargetEntry, now time.Time) []ExplainedTarget {
	c.mu.Lock()
	pressed := !a.Service.Engine && now.Before(c.pressed[a.Service.Name])
	c.mu.Unlock()
	pressed = pressed && c.ShareTargets()
	list := make([]ExplainedTarget, 0, len(targets))
	for _, t := range targets {
		x := ExplainedTarget{Target: t}
		x.Cost, x.InFlight = c.Balancer.Explain(t, a.Avoid, now)
		_, limited := c.Advisories.Limit(t.ID)
		x.Shared = pressed && !limited && !c.Limits.IsBrittle(t.ID)
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y ExplainedTarget) int {
		return cmp.Or(cmp.Compare(x.Cost, y.Cost), cmp.Compare(x.Target.ID.Name, y.Target.ID.Name))
	})
	return list
}

// CreditExplanation states what a call would be admitted with.
type CreditExplanation struct {
	// Credit is the credit of the workspace at this instance, Cost that of the call.
	Credit, Cost float64
	// Err is the error that would refuse the call, nil if there is none: a call without
	// enough credit requests it from the holder of the zone.
	Err error
}

// Explain returns what a call of a workspace with a limited quota would be admitted with. Retry
// times are given without their random part. It spends nothing.
func (c *Credit) Explain(w bamboorail.Workspace, cost float64, wait time.Duration) CreditExplanation {
	const op = "admit-call"
	x := CreditExplanation{Cost: cost}
	c.mu.Lock()
	var denied time.Duration
	x.Credit, denied = c.wallet.Peek(w.Name, cost, time.Now())
	c.mu.Unlock()
	switch {
	case cost > w.Quota.Rate+w.Quota.Burst:
		x.Err = failRetry(op, bamboorail.KindQuotaExceeded, hopelessRetry, errCostTooHigh)
	case x.Credit < cost && denied > 0 && denied >= wait:
		x.Err = failRetry(op, bamboorail.KindQuotaExceeded, denied, errQuotaExceeded)
	}
	return x
}
