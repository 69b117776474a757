package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/placer"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

var (
	errNoRoute = errors.New("no route matches the host and path")
	errNoKey   = errors.New("the route is not public and the call has no workspace")
)

// serveExplainPlacement answers where a described call would be placed. It changes nothing.
func (g *Gateway) serveExplainPlacement(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	p, err := g.explainPlacement(r.URL.RawQuery, time.Now())
	var answer any = p
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		answer = operatorapi.ErrorResponse{Kind: bamboorail.KindBadRequest, Message: err.Error()}
	}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		g.log.Debug("failed to write explanation of placement", "error", err)
	}
}

// explainPlacement returns where a described call would be placed. Errors are faults of the
// description.
func (g *Gateway) explainPlacement(query string, now time.Time) (operatorapi.Placement, error) {
	p := operatorapi.Placement{Instance: g.initial.Instance, Zone: g.initial.Zone, Refusals: []operatorapi.PlacementRefusal{}}
	q, err := parsePlacementQuery(query)
	if err != nil {
		return p, err
	}
	table := g.table.Load()
	if table == nil {
		p.Refusals = append(p.Refusals, refusal("configuration", bamboorail.KindUnavailable, errNoConfiguration, 0))
		return p, nil
	}
	p.ConfigurationVersion = table.Version()
	if g.configuration != nil {
		p.ConfigurationAge = milliseconds(g.configuration.SinceLastAnswer())
	}
	workspace, known := table.Workspace(q.workspace)
	if q.workspace != "" && !known {
		return p, faultOf(operatorapi.PlacementWorkspace, "names no workspace of configuration %d", table.Version())
	}
	spec, ok := table.Match(q.host, q.path)
	if !ok {
		p.Refusals = append(p.Refusals, refusal("route", bamboorail.KindNotFound, errNoRoute, 0))
		return p, nil
	}
	p.Route = spec.Name
	if known && workspace.HasPriority {
		spec.Priority = workspace.Priority
	}
	p.Priority = spec.Priority
	if !known && table.HasWorkspaces() && !spec.Public {
		p.Refusals = append(p.Refusals, refusal("workspace", bamboorail.KindUnauthenticated, errNoKey, 0))
	}
	if known {
		g.explainCredit(&p, workspace, spec, q.call.Size)
	}
	if service, ok := mainService(&p, table, spec); ok {
		g.explainTarget(&p, relay.ChooseRequest{Call: q.call, Route: spec, Service: service, Received: now, StartBy: relay.StartBy(spec, now)})
	}
	return p, nil
}

// mainService sets the services of a route, and returns the one with the most weight.
func mainService(p *operatorapi.Placement, table *route.Table, spec bamboorail.RouteSpec) (bamboorail.ServiceSpec, bool) {
	best := 0
	for n, s := range spec.Shares {
		if s.Weight > spec.Shares[best].Weight {
			best = n
		}
	}
	for n, s := range spec.Shares {
		if n == best {
			p.Service = s.Service
		} else if s.Weight > 0 {
			p.OtherServices = append(p.OtherServices, s.Service)
		}
	}
	// A service that is not declared has a name, and targets that are no engines.
	service, _ := table.Service(p.Service)
	service.Name = p.Service
	return service, p.Service != ""
}

// explainCredit adds what a call of a workspace would be admitted with.
func (g *Gateway) explainCredit(p *operatorapi.Placement, w bamboorail.Workspace, spec bamboorail.RouteSpec, size bamboorail.CallSize) {
	p.Workspace = &operatorapi.PlacementOwner{Name: w.Name}
	if !w.Quota.IsLimited() {
		return
	}
	p.Workspace.Unit, p.Workspace.Rate, p.Workspace.Burst = string(w.Quota.Unit), w.Quota.Rate, w.Quota.Burst
	x := g.credit.Explain(w, w.Quota.Cost(size), relay.CreditWait(spec))
	p.Workspace.Cost, p.Workspace.Credit = x.Cost, x.Credit
	p.Refusals = appendRefusal(p.Refusals, "quota", x.Err)
}

// explainTarget adds the targets that could run a call.
func (g *Gateway) explainTarget(p *operatorapi.Placement, a relay.ChooseRequest) {
	if !a.Service.Engine || a.Call.Key.Model == "" {
		x := g.chooser.ExplainPlain(a)
		p.Targets, p.Refusals = placementTargets(x.Targets), appendRefusal(p.Refusals, "targets", x.Err)
		return
	}
	x := g.chooser.ExplainEngine(a)
	p.Holder = &operatorapi.PlacementHolder{Zone: x.Zone, Instance: x.Holder, Address: x.Address, Self: x.IsHolder, HomeZone: x.Home}
	for _, n := range x.Next {
		p.NextHolders = append(p.NextHolders, operatorapi.PlacementHolder{Zone: n.Zone, Instance: n.Holder, Address: n.Address})
	}
	if !x.IsHolder {
		p.Targets = placementTargets(x.Known)
		return
	}
	p.Engines = &operatorapi.PlacementEngines{Eligible: x.Plan.Eligible, Candidates: []operatorapi.PlacementCandidate{}, MayWait: x.Plan.MayWait}
	for _, c := range x.Plan.Candidates {
		p.Engines.Candidates = append(p.Engines.Candidates, placementCandidate(c))
	}
	if len(x.Plan.Candidates) == 0 {
		p.Engines.Obstacles = x.Plan.Obstacles.String()
		p.Refusals = append(p.Refusals, refusal("engines", bamboorail.KindOverloaded, errors.New("in zone "+x.Zone+": "+p.Engines.Obstacles), x.Plan.RetryAfter))
	}
}

func placementCandidate(c adapters.Candidate) operatorapi.PlacementCandidate {
	return operatorapi.PlacementCandidate{
		Engine: c.Target.ID.Name, Cost: milliseconds(c.Cost.Total()), Queue: milliseconds(c.Cost.Queue), Load: milliseconds(c.Cost.Load),
		Rank: milliseconds(c.Cost.Rank), Backlog: milliseconds(c.Cost.Backlog), Reading: milliseconds(c.Cost.Reading),
		FirstEvent: milliseconds(c.Cost.FirstEvent), Risk: milliseconds(c.Cost.Risk), KeptTokens: c.KeptTokens, Calls: c.Calls,
		Slots: c.Target.Slots, Loads: c.Loads, Evicts: c.Evicts, Queued: c.Queued, OldVersion: c.OldVersion,
	}
}

func placementTargets(list []placer.ExplainedTarget) []operatorapi.PlacementTarget {
	targets := make([]operatorapi.PlacementTarget, 0, len(list))
	for _, x := range list {
		targets = append(targets, operatorapi.PlacementTarget{
			Target: x.Target.ID.Name, Zone: x.Target.Zone, Cost: milliseconds(x.Cost), InFlight: x.InFlight, Slots: x.Target.Slots, Shared: x.Shared,
		})
	}
	return targets
}

func appendRefusal(list []operatorapi.PlacementRefusal, by string, err error) []operatorapi.PlacementRefusal {
	if err == nil {
		return list
	}
	f := bamboorail.FailureOf(err)
	return append(list, refusal(by, f.Kind, f.Err, f.RetryAfter))
}

func refusal(by string, kind bamboorail.Kind, reason error, after time.Duration) operatorapi.PlacementRefusal {
	return operatorapi.PlacementRefusal{By: by, Kind: kind, Reason: reason.Error(), RetryAfter: milliseconds(after)}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
