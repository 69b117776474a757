// Package route selects the route of a request by host and path prefix, and the
// service of a route by weight. Tables are immutable.
package route

import (
	"net"
	"slices"
	"strings"

	"bamboorail.example/bamboorail"
)

// Table holds the routes of one version of the configuration.
type Table struct {
	version  uint64
	byHost   map[string][]bamboorail.RouteSpec // longest prefix first
	services map[string]bamboorail.ServiceSpec
	limits   bamboorail.ListenerLimits
	// workspaces are nil if calls need no key.
	workspaces map[string]bamboorail.Workspace
	keys       map[bamboorail.KeyDigest]string
}

// NewTable builds the table of a configuration.
func NewTable(c bamboorail.Configuration) *Table {
	t := &Table{
		version: c.Version, limits: c.Limits,
		byHost:   map[string][]bamboorail.RouteSpec{},
		services: map[string]bamboorail.ServiceSpec{},
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b bamboorail.RouteSpec) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	if !c.HasWorkspaces {
		return t
	}
	t.workspaces, t.keys = map[string]bamboorail.Workspace{}, map[bamboorail.KeyDigest]string{}
	for _, w := range c.Workspaces {
		t.workspaces[w.Name] = w
		for _, k := range w.Keys {
			t.keys[k] = w.Name
		}
	}
	return t
}

// HasWorkspaces reports whether calls need the key of a workspace.
func (t *Table) HasWorkspaces() bool { return t.workspaces != nil }

// Workspaces returns the workspaces by name.
func (t *Table) Workspaces() map[string]bamboorail.Workspace { return t.workspaces }

// Workspace returns the workspace with a name.
func (t *Table) Workspace(name string) (bamboorail.Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// Authenticate returns the workspace of a credential. The lookup compares digests, whose
// timing discloses nothing about the key.
func (t *Table) Authenticate(c bamboorail.Credential) (bamboorail.Workspace, bool) {
	if c.IsEmpty() {
		return bamboorail.Workspace{}, false
	}
	name, ok := t.keys[c.Digest()]
	return t.workspaces[name], ok
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for the callers' listener.
func (t *Table) Limits() bamboorail.ListenerLimits { return t.limits }

// Service returns a declared service.
func (t *Table) Service(name string) (bamboorail.ServiceSpec, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the declared services.
func (t *Table) Services() map[string]bamboorail.ServiceSpec { return t.services }

// Match returns the route with the longest matching path prefix for a host,
// which may include a port.
func (t *Table) Match(host, path string) (bamboorail.RouteSpec, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return bamboorail.RouteSpec{}, false
}

// PickService selects a service by weight with a random number in [0, 1).
func PickService(r bamboorail.RouteSpec, random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	point := int(random * float64(total))
	for _, s := range r.Shares {
		point -= max(s.Weight, 0)
		if point < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
