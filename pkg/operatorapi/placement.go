package operatorapi

import (
	"context"
	"net/http"
	"net/url"

	"bamboorail.example/bamboorail"
)

// PlacementPath is the path of explanations of placements on the metrics listener.
const PlacementPath = "/explain-placement"

// The fields of a query for the explanation of a placement.
const (
	PlacementHost      = "host"
	PlacementRoutePath = "path"
	PlacementModel     = "model"
	PlacementTokens    = "tokens"
	PlacementPrompt    = "prompt"
	PlacementWorkspace = "workspace"
)

// Placement states where a described call would be placed, as far as the queried
// instance has the information. The call was not sent. Times are in milliseconds.
type Placement struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// ConfigurationAge is the time since the configuration was last confirmed.
	ConfigurationVersion uint64  `json:"configuration-version"`
	ConfigurationAge     float64 `json:"configuration-age-ms"`
	Route                string  `json:"route,omitempty"`
	// Service is the service of the route with the most weight, OtherServices are the others.
	Service       string           `json:"service,omitempty"`
	OtherServices []string         `json:"other-services,omitempty"`
	Priority      int              `json:"priority"`
	Workspace     *PlacementOwner  `json:"workspace,omitempty"`
	Holder        *PlacementHolder `json:"holder,omitempty"`
	// NextHolders are queried in order if the zone of the instance does not place the call.
	NextHolders []PlacementHolder  `json:"next-holders,omitempty"`
	Engines     *PlacementEngines  `json:"engines,omitempty"`
	Targets     []PlacementTarget  `json:"targets,omitempty"`
	Refusals    []PlacementRefusal `json:"refusals"`
}

// PlacementOwner is the workspace of a described call with its quota.
type PlacementOwner struct {
	Name string `json:"name"`
	// Unit, Rate and Burst are those of the quota, zero if there is none.
	Unit  string  `json:"unit,omitempty"`
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Cost is the cost of the call, Credit what the instance has at hand. A call that needs
	// more requests it from the holder of the zone.
	Cost   float64 `json:"cost"`
	Credit float64 `json:"credit"`
}

// PlacementHolder is the holder of a zone.
type PlacementHolder struct {
	Zone     string `json:"zone"`
	Instance string `json:"instance"`
	// Address is the address for other instances.
	Address string `json:"address"`
	// Self is set if the queried instance is the holder.
	Self bool `json:"self,omitempty"`
	// HomeZone is the zone in which the adapter is loaded first.
	HomeZone string `json:"home-zone,omitempty"`
}

// PlacementEngines are the engines that could run a call, in the view of the holder of
// their zone.
type PlacementEngines struct {
	// Eligible is their number. Candidates lists the chosen one and the next three.
	Eligible   int                  `json:"eligible"`
	Candidates []PlacementCandidate `json:"candidates"`
	// Obstacles states why there are none. The call would then wait if MayWait is set.
	Obstacles string `json:"obstacles,omitempty"`
	MayWait   bool   `json:"may-wait,omitempty"`
}

// PlacementCandidate is an engine that could run a call, with its cost by parts.
type PlacementCandidate struct {
	Engine     string  `json:"engine"`
	Cost       float64 `json:"cost-ms"`
	Queue      float64 `json:"queue-ms"`
	Load       float64 `json:"load-ms"`
	Rank       float64 `json:"rank-ms"`
	Backlog    float64 `json:"backlog-ms"`
	Reading    float64 `json:"reading-ms"`
	FirstEvent float64 `json:"first-event-ms"`
	Risk       float64 `json:"risk-ms"`
	KeptTokens int     `json:"kept-tokens"`
	Calls      int     `json:"calls"`
	Slots      int     `json:"slots"`
	Loads      bool    `json:"loads,omitempty"`
	Evicts     bool    `json:"evicts,omitempty"`
	Queued     bool    `json:"queued,omitempty"`
	OldVersion bool    `json:"old-version,omitempty"`
}

// PlacementTarget is a target in the view of the queried instance.
type PlacementTarget struct {
	Target   string  `json:"target"`
	Zone     string  `json:"zone"`
	Cost     float64 `json:"cost-ms"`
	InFlight int     `json:"in-flight"`
	Slots    int     `json:"slots"`
	// Shared is set if the slots are shared by all instances now.
	Shared bool `json:"shared"`
}

// PlacementRefusal is a reason for which the call would be refused.
type PlacementRefusal struct {
	// By is what refuses the call: configuration, route, workspace, quota, engines (those of the
	// zone of the instance) or targets.
	By     string          `json:"by"`
	Kind   bamboorail.Kind `json:"kind"`
	Reason string          `json:"reason"`
	// RetryAfter is 0 if a retry does not help.
	RetryAfter float64 `json:"retry-after-ms,omitempty"`
}

// ExplainPlacement queries the metrics listener of an instance, which is the base of the client,
// where a described call would be placed.
func (c *Client) ExplainPlacement(ctx context.Context, query url.Values) (Placement, error) {
	var p Placement
	err := c.do(ctx, http.MethodGet, PlacementPath+"?"+query.Encode(), nil, &p)
	return p, err
}
