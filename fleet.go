package bamboorail

import (
	"net/http"
	"time"
)

// RepeatRule states what a route permits after an unclear failure.
type RepeatRule string

// The rules of repetition.
const (
	// RepeatNever is for requests that run at most once.
	RepeatNever RepeatRule = "never"
	// RepeatAlways is for idempotent requests.
	RepeatAlways RepeatRule = "always"
	// RepeatResume is for streams that continue after their last event.
	RepeatResume RepeatRule = "resume"
)

// ServiceShare is one side of a weighted split of a route.
type ServiceShare struct {
	Service string
	Weight  int
}

// RouteSpec declares which service serves the requests of a host and path.
type RouteSpec struct {
	Name   string
	Host   string
	Prefix string
	// Shares lists the services of the route; their weights are relative.
	Shares []ServiceShare
	Repeat RepeatRule
	// Streaming marks answers that are forwarded event by event.
	Streaming bool
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time in which an answer, or its first event, is on time.
	Objective time.Duration
	// MaxAttempts bounds the targets that may run one request.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
}

// ModelSpec declares a base model of a service.
type ModelSpec struct {
	Name string
	// LoadTime is the time of a load from the weight store.
	LoadTime time.Duration
}

// ServiceSpec declares a group of equal targets.
type ServiceSpec struct {
	Name string
	// Engine is set for services that run models.
	Engine bool
	// AdapterSlots bounds the adapters of an engine, loads in progress included.
	AdapterSlots int
	// LoadsPerSecond is the rate of the weight store for base models.
	LoadsPerSecond float64
	Models         []ModelSpec
}

// ListenerLimits bounds what callers may send.
type ListenerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of what operators declare.
type Configuration struct {
	Version  uint64
	Routes   []RouteSpec
	Services []ServiceSpec
	Limits   ListenerLimits
}

// AdapterKey names an adapter of a base model. An empty adapter stands for
// the base model itself.
type AdapterKey struct {
	Model   string
	Adapter string
}

// TargetID names one start of a target: an engine that restarts under its
// old name has a new Born.
type TargetID struct {
	Name string
	// StartMillis is the start of the target in Unix milliseconds, 0 if not known.
	StartMillis int64
}

// TargetEntry is what a target reports of itself.
type TargetEntry struct {
	ID      TargetID
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// HeartbeatSeq counts the heartbeats since the start of the target.
	HeartbeatSeq uint64
	// Models maps loaded base models to the versions of their adapters.
	Models map[string]map[string]int
}

// AdapterRelease announces the newest version of an adapter.
type AdapterRelease struct {
	Key     AdapterKey
	Version int
}

// DatedRelease is a released version of an adapter and the time at which the
// release was learned, zero if it may be long ago.
type DatedRelease struct {
	Version   int
	LearnedAt time.Time
}

// ReleaseHistory holds the releases of one adapter, the oldest first. It is
// never changed in place.
type ReleaseHistory []DatedRelease

// Newest returns the newest version, 0 if none was released.
func (h ReleaseHistory) Newest() int {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Version
}

// OutdatedFor returns the time for which a version has been replaced, 0 for the
// newest one. Each newer release counts from its own time: a later one does not
// renew what an earlier one replaced.
func (h ReleaseHistory) OutdatedFor(version int, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, r := range h {
		if r.Version > version {
			longest = max(longest, now.Sub(r.LearnedAt))
		}
	}
	return longest
}

// RecordDecoder translates the objects that operators and targets write.
type RecordDecoder interface {
	Configuration(o Object) (Configuration, error)
	Target(o Object) (TargetEntry, error)
	Release(o Object) (AdapterRelease, error)
}

// Call is a request of a caller that is passed through unchanged.
type Call struct {
	ID string
	// Timeout is the time that the caller waits, 0 if it does not say.
	Timeout time.Duration
	// Key is empty for calls that name no model.
	Key AdapterKey
	// LastEvent is the event after which the caller resumes a stream.
	LastEvent string
	// Header holds the fields that are passed on to the target.
	Header http.Header
}

// Attempt describes one attempt to run a call at a target.
type Attempt struct {
	Target TargetID
	// Remaining is the time in which an answer is still useful.
	Remaining time.Duration
	// AdapterVersion is the version that the target must have, or 0.
	AdapterVersion int
	// LastEvent resumes a stream after this event, unless empty.
	LastEvent string
	// Priority ranks the call among those of the target; 0 is the most urgent.
	Priority int
}

// ResponseClass classifies the head of a target's answer.
type ResponseClass int

// The verdicts on an answer.
const (
	// ResponseValid is the answer of the target to this call.
	ResponseValid ResponseClass = iota
	// ResponseNotRun means that the target refused the call without running it.
	ResponseNotRun
	// ResponseMisdirected means that the target is another one, or lacks the
	// adapter or its version; it did not run the call.
	ResponseMisdirected
	// ResponseInvalid means that the bytes are not an answer to this call.
	ResponseInvalid
)

// Ingress is the dialect between callers and an instance.
type Ingress interface {
	// Decode reads what routing needs and the fields to pass on.
	Decode(r *http.Request) (Call, error)
	// SetErrorHeaders sets the fields of an answer that the product gives itself. A
	// caller may come back after retryAfter, unless it is 0.
	SetErrorHeaders(h http.Header, c *Call, retryAfter time.Duration)
	// ReadyPath is the path at which readiness is asked for.
	ReadyPath() string
}

// Egress is the dialect between an instance and the targets that run calls.
type Egress interface {
	// Encode sets the fields of a request to a target.
	Encode(r *http.Request, c *Call, s Attempt)
	// Classify classifies the head of an answer.
	Classify(r *http.Response, c *Call) ResponseClass
}
