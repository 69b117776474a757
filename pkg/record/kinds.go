package record

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/url"
	"path"
	"slices"

	"bamboorail.example/bamboorail"
)

// fieldSchemas gives, for each kind, the schema version in which a field first
// appeared.
var fieldSchemas = map[Kind]map[string]int{
	KindAdapter: {"base-model": 1, "versions": 1, "targets": 1, "pools": 2},
	KindTarget: {
		"role": 1, "zone": 1, "url": 1, "dialect": 1, "base-model": 1, "slots": 1, "max-batch": 1,
		"checks-fencing": 1, "service": 1, "repeatable-methods": 1, "state": 1, "instance": 1, "pools": 2,
	},
	KindCaller: {"token-sha256": 1, "adapters": 1, "services": 1, "weight": 1, "priority": 1},
	KindRoute: {
		"host": 3, "path-prefix": 3, "services": 3, "repeat": 3, "timeout": 3, "objective": 3,
		"max-attempts": 3, "priority": 3,
	},
}

func knownField(k Kind, schema int, field string) bool {
	switch field {
	case "schema-version", "kind", "name", "requires":
		return true
	}
	since, ok := fieldSchemas[k][field]
	return ok && since <= schema
}

// VersionState is the state of one version of an adapter.
type VersionState string

// The states of an adapter version.
const (
	VersionActive  VersionState = "active"
	VersionRetired VersionState = "retired"
)

// Version declares one version of an adapter.
type Version struct {
	Name   string       `json:"name"`
	Source string       `json:"source"`
	State  VersionState `json:"state,omitempty"`
}

// Adapter declares an adapter and its versions.
type Adapter struct {
	name string
	wire adapterWire
}

type adapterWire struct {
	BaseModel string    `json:"base-model"`
	Versions  []Version `json:"versions"`
	Targets   []string  `json:"targets,omitempty"`
	Pools     []string  `json:"pools,omitempty"`
}

// Adapter decodes a record of kind adapter.
func (r Record) Adapter() (Adapter, error) {
	a := Adapter{name: r.header.Name}
	if err := r.decode(KindAdapter, &a.wire); err != nil {
		return Adapter{}, err
	}
	if a.wire.BaseModel == "" {
		return Adapter{}, invalid("read-adapter", "adapter %q has no %q", a.name, "base-model")
	}
	seen := map[string]bool{}
	for _, v := range a.wire.Versions {
		if !bamboorail.ValidName(v.Name) || seen[v.Name] {
			return Adapter{}, invalid("read-adapter", "adapter %q: version %q is invalid or repeated", a.name, v.Name)
		}
		if v.State != "" && v.State != VersionActive && v.State != VersionRetired {
			return Adapter{}, invalid("read-adapter", "adapter %q: version %q has unknown state %q", a.name, v.Name, v.State)
		}
		seen[v.Name] = true
	}
	return a, nil
}

// Name returns the name of the adapter.
func (a Adapter) Name() string { return a.name }

// BaseModel returns the base model that the adapter extends.
func (a Adapter) BaseModel() string { return a.wire.BaseModel }

// Versions returns the declared versions.
func (a Adapter) Versions() []Version { return a.wire.Versions }

// Version returns the version of the given name if it is declared and active.
func (a Adapter) Version(name string) (Version, bool) {
	for _, v := range a.wire.Versions {
		if v.Name == name && v.State != VersionRetired {
			return v, true
		}
	}
	return Version{}, false
}

// MayRunOn reports whether the adapter may be loaded on the target.
func (a Adapter) MayRunOn(t Target) bool {
	if t.Role() != RoleEngine || t.BaseModel() != a.wire.BaseModel {
		return false
	}
	if len(a.wire.Targets) > 0 && !slices.Contains(a.wire.Targets, t.Name()) {
		return false
	}
	if len(a.wire.Pools) == 0 {
		return true
	}
	return slices.ContainsFunc(a.wire.Pools, func(p string) bool { return slices.Contains(t.wire.Pools, p) })
}

// Role distinguishes model engines from applications.
type Role string

// The roles of targets.
const (
	RoleEngine      Role = "engine"
	RoleApplication Role = "application"
)

// TargetState is the state that operators declare for a target.
type TargetState string

// The declared states of a target.
const (
	TargetActive   TargetState = "active"
	TargetDraining TargetState = "draining"
)

// Dialect is the protocol of an engine.
type Dialect string

// The dialects of engines.
const (
	// DialectOpenAI is the OpenAI-compatible API with load and unload calls and
	// state in the Prometheus text format.
	DialectOpenAI Dialect = "openai"
	// DialectStatus is the protocol with a status document that may lag behind
	// the state of the engine.
	DialectStatus Dialect = "status"
)

// Target declares a model engine or an application.
type Target struct {
	name string
	wire targetWire
}

type targetWire struct {
	Role          Role        `json:"role"`
	Zone          string      `json:"zone"`
	URL           string      `json:"url"`
	Instance      string      `json:"instance,omitempty"`
	Dialect       Dialect     `json:"dialect,omitempty"`
	BaseModel     string      `json:"base-model,omitempty"`
	Slots         int         `json:"slots,omitempty"`
	MaxBatch      int         `json:"max-batch,omitempty"`
	ChecksFencing bool        `json:"checks-fencing,omitempty"`
	Service       string      `json:"service,omitempty"`
	Repeatable    []string    `json:"repeatable-methods,omitempty"`
	State         TargetState `json:"state,omitempty"`
	Pools         []string    `json:"pools,omitempty"`
}

// Target decodes a record of kind target.
func (r Record) Target() (Target, error) {
	t := Target{name: r.header.Name}
	if err := r.decode(KindTarget, &t.wire); err != nil {
		return Target{}, err
	}
	return t, t.check()
}

func (t Target) check() error {
	if err := t.checkLocation(); err != nil {
		return err
	}
	switch t.wire.Role {
	case RoleEngine:
		return t.checkEngine()
	case RoleApplication:
		return t.checkApplication()
	}
	return invalid(opReadTarget, "target %q: role %q is not engine or application", t.name, t.wire.Role)
}

const opReadTarget = "read-target"

func (t Target) checkLocation() error {
	w := t.wire
	u, err := url.Parse(w.URL)
	switch {
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		return invalid(opReadTarget, "target %q: url %q is not an http or https URL", t.name, w.URL)
	case !bamboorail.ValidName(w.Zone):
		return invalid(opReadTarget, "target %q: zone %q is not valid", t.name, w.Zone)
	case w.State != "" && w.State != TargetActive && w.State != TargetDraining:
		return invalid(opReadTarget, "target %q: state %q is not active or draining", t.name, w.State)
	}
	return nil
}

func (t Target) checkEngine() error {
	w := t.wire
	switch {
	case w.Dialect != DialectOpenAI && w.Dialect != DialectStatus:
		return invalid(opReadTarget, "target %q: dialect %q is not openai or status", t.name, w.Dialect)
	case w.BaseModel == "" || w.Slots < 1 || w.MaxBatch < 1:
		return invalid(opReadTarget, "target %q: base-model, slots and max-batch are required", t.name)
	}
	return nil
}

func (t Target) checkApplication() error {
	if !bamboorail.ValidName(t.wire.Service) {
		return invalid(opReadTarget, "target %q: service %q is not valid", t.name, t.wire.Service)
	}
	return nil
}

// Name returns the name of the target.
func (t Target) Name() string { return t.name }

// Role returns whether the target is an engine or an application.
func (t Target) Role() Role { return t.wire.Role }

// Zone returns the availability zone of the target.
func (t Target) Zone() string { return t.wire.Zone }

// URL returns the base URL of the target.
func (t Target) URL() string { return t.wire.URL }

// Instance returns the platform's name of the target's machine, or the name of the
// target if none is declared.
func (t Target) Instance() string {
	if t.wire.Instance == "" {
		return t.name
	}
	return t.wire.Instance
}

// Dialect returns the protocol of an engine.
func (t Target) Dialect() Dialect { return t.wire.Dialect }

// BaseModel returns the base model of an engine.
func (t Target) BaseModel() string { return t.wire.BaseModel }

// Slots returns the number of adapters that an engine can hold.
func (t Target) Slots() int { return t.wire.Slots }

// MaxBatch returns the number of requests that an engine runs concurrently.
func (t Target) MaxBatch() int { return t.wire.MaxBatch }

// ChecksFencing reports whether the engine rejects outdated fencing tokens.
func (t Target) ChecksFencing() bool { return t.wire.ChecksFencing }

// Service returns the service that an application implements.
func (t Target) Service() string { return t.wire.Service }

// RepeatableMethod reports whether calls with the method may be retried.
func (t Target) RepeatableMethod(method string) bool {
	return slices.Contains(t.wire.Repeatable, method)
}

// Draining reports whether operators declared that the target must not receive new
// requests.
func (t Target) Draining() bool { return t.wire.State == TargetDraining }

// Caller declares who may send requests.
type Caller struct {
	name string
	wire callerWire
}

type callerWire struct {
	TokenSHA256 string   `json:"token-sha256"`
	Adapters    []string `json:"adapters,omitempty"`
	Services    []string `json:"services,omitempty"`
	Weight      int      `json:"weight,omitempty"`
	Priority    string   `json:"priority,omitempty"`
}

// Caller decodes a record of kind caller.
func (r Record) Caller() (Caller, error) {
	c := Caller{name: r.header.Name}
	if err := r.decode(KindCaller, &c.wire); err != nil {
		return Caller{}, err
	}
	if sum, err := hex.DecodeString(c.wire.TokenSHA256); err != nil || len(sum) != sha256.Size {
		return Caller{}, invalid("read-caller", "caller %q: %q is not 64 hexadecimal digits", c.name, "token-sha256")
	}
	if c.wire.Weight < 0 {
		return Caller{}, invalid("read-caller", "caller %q: weight %d is negative", c.name, c.wire.Weight)
	}
	if p := c.wire.Priority; p != "" && p != "interactive" && p != "batch" {
		return Caller{}, invalid("read-caller", "caller %q: priority %q is not interactive or batch", c.name, p)
	}
	return c, nil
}

// Name returns the name of the caller.
func (c Caller) Name() string { return c.name }

// TokenSHA256 returns the SHA-256 digest of the caller's token, in hexadecimal.
func (c Caller) TokenSHA256() string { return c.wire.TokenSHA256 }

// HasToken reports whether token is the caller's token.
func (c Caller) HasToken(token string) bool {
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(c.wire.TokenSHA256)) == 1
}

// HashToken returns the hash under which records store a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Weight returns the caller's weight relative to other callers, at least 1.
func (c Caller) Weight() int { return max(1, c.wire.Weight) }

// Priority returns the priority class of the caller's requests.
func (c Caller) Priority() bamboorail.Priority {
	if c.wire.Priority == "batch" {
		return bamboorail.PriorityBatch
	}
	return bamboorail.PriorityInteractive
}

// MayUseAdapter reports whether the caller may use the adapter.
func (c Caller) MayUseAdapter(name string) bool { return matchAny(c.wire.Adapters, name) }

// MayUseService reports whether the caller may use the service.
func (c Caller) MayUseService(name string) bool { return matchAny(c.wire.Services, name) }

func matchAny(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(p string) bool {
		ok, err := path.Match(p, name)
		return err == nil && ok
	})
}
