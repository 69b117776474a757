package record

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	opReadRoute = "read-route"
	// routeSchema is the schema version that introduced routes.
	routeSchema = 3
	// maxRoutePriority is the least urgent priority of a route. 0 is the most urgent.
	maxRoutePriority = 9
	// maxRouteTimeout is the longest deadline that callers may request.
	maxRouteTimeout = 10 * time.Minute
	// maxRouteAttempts is the number of attempts after which any request fails.
	maxRouteAttempts = 6

	defaultRouteTimeout = time.Minute
)

// reservedPaths are the path prefixes of the caller API, which routes must not use.
var reservedPaths = []string{"/v1/", "/healthz", "/readyz"}

// IsReservedPath reports whether a path belongs to the caller API.
func IsReservedPath(path string) bool {
	return slices.ContainsFunc(reservedPaths, func(p string) bool { return strings.HasPrefix(path, p) })
}

// Duration is a duration in the syntax of time.ParseDuration, such as "1500ms".
type Duration time.Duration

// UnmarshalJSON decodes a duration. It accepts only strings in that syntax.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s is not a duration such as \"1500ms\"", data)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1500ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Route declares the services for the requests with a host and path prefix.
type Route struct {
	name string
	wire routeWire
}

type routeWire struct {
	Host        string         `json:"host"`
	Prefix      string         `json:"path-prefix"`
	Services    []routeService `json:"services"`
	Repeat      string         `json:"repeat"`
	Timeout     Duration       `json:"timeout,omitempty"`
	Objective   Duration       `json:"objective,omitempty"`
	MaxAttempts int            `json:"max-attempts,omitempty"`
	Priority    int            `json:"priority,omitempty"`
}

type routeService struct {
	Service string `json:"service"`
	Weight  *int   `json:"weight,omitempty"`
}

// weight returns the weight of the service, 1 if none is declared.
func (s routeService) weight() int {
	if s.Weight == nil {
		return 1
	}
	return *s.Weight
}

// Route decodes a record of kind route.
func (r Record) Route() (Route, error) {
	t := Route{name: r.header.Name}
	if err := r.decode(KindRoute, &t.wire); err != nil {
		return Route{}, err
	}
	if r.header.Schema < routeSchema {
		return Route{}, invalid(opReadRoute, "route %q: field %q must be at least %d", t.name, "schema-version", routeSchema)
	}
	if err := t.checkMatch(); err != nil {
		return Route{}, err
	}
	if err := t.checkServices(); err != nil {
		return Route{}, err
	}
	return t, t.checkLimits()
}

func (t Route) checkMatch() error {
	w := t.wire
	switch {
	case w.Host == "" || strings.ContainsAny(w.Host, "/ \t"):
		return invalid(opReadRoute, "route %q: host %q is not a host name", t.name, w.Host)
	case !strings.HasPrefix(w.Prefix, "/"):
		return invalid(opReadRoute, "route %q: path-prefix %q does not begin with /", t.name, w.Prefix)
	case IsReservedPath(w.Prefix):
		return invalid(opReadRoute, "route %q: path-prefix %q is reserved for the caller API (%s)", t.name, w.Prefix, strings.Join(reservedPaths, ", "))
	}
	return nil
}

func (t Route) checkServices() error {
	total := 0
	seen := map[string]bool{}
	for _, s := range t.wire.Services {
		if !bamboorail.ValidName(s.Service) || seen[s.Service] {
			return invalid(opReadRoute, "route %q: service %q is invalid or repeated", t.name, s.Service)
		}
		if s.weight() < 0 {
			return invalid(opReadRoute, "route %q: weight %d of service %q is negative", t.name, s.weight(), s.Service)
		}
		seen[s.Service] = true
		total += s.weight()
	}
	if total == 0 {
		return invalid(opReadRoute, "route %q: field %q needs a service with a weight above 0", t.name, "services")
	}
	return nil
}

func (t Route) checkLimits() error {
	w := t.wire
	switch {
	case w.Repeat != string(bamboorail.RepeatNever) && w.Repeat != string(bamboorail.RepeatAlways):
		return invalid(opReadRoute, "route %q: repeat %q is not never or always", t.name, w.Repeat)
	case w.Timeout < 0 || time.Duration(w.Timeout) > maxRouteTimeout:
		return invalid(opReadRoute, "route %q: timeout %s is not between 0 and %s", t.name, time.Duration(w.Timeout), maxRouteTimeout)
	case w.Objective < 0:
		return invalid(opReadRoute, "route %q: objective %s is negative", t.name, time.Duration(w.Objective))
	case w.MaxAttempts < 0 || w.MaxAttempts > maxRouteAttempts:
		return invalid(opReadRoute, "route %q: max-attempts %d is not between 1 and %d", t.name, w.MaxAttempts, maxRouteAttempts)
	case w.Priority < 0 || w.Priority > maxRoutePriority:
		return invalid(opReadRoute, "route %q: priority %d is not between 0 and %d", t.name, w.Priority, maxRoutePriority)
	}
	return nil
}

// Name returns the name of the route.
func (t Route) Name() string { return t.name }

// Spec returns the specification of the route. The default timeout is one minute,
// and the default number of attempts is 6.
func (t Route) Spec() bamboorail.RouteSpec {
	w := t.wire
	spec := bamboorail.RouteSpec{
		Name: t.name, Host: w.Host, Prefix: w.Prefix, Repeat: bamboorail.RepeatRule(w.Repeat),
		Timeout: time.Duration(w.Timeout), Objective: time.Duration(w.Objective),
		MaxAttempts: w.MaxAttempts, Priority: w.Priority,
	}
	if spec.Timeout == 0 {
		spec.Timeout = defaultRouteTimeout
	}
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = maxRouteAttempts
	}
	for _, s := range w.Services {
		spec.Shares = append(spec.Shares, bamboorail.ServiceShare{Service: s.Service, Weight: s.weight()})
	}
	return spec
}
