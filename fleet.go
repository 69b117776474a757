package bamboorail

import (
	"net/http"
	"time"
)

// RepeatRule states whether a route permits retries after a failure with an
// unknown outcome.
type RepeatRule string

// The retry rules.
const (
	// RepeatNever is for requests that must run at most once.
	RepeatNever RepeatRule = "never"
	// RepeatAlways is for idempotent requests.
	RepeatAlways RepeatRule = "always"
	// RepeatResume is for streams that can be resumed after the last event.
	RepeatResume RepeatRule = "resume"
)

// ServiceShare is one service of a weighted traffic split.
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
	// Streaming marks responses that are forwarded event by event.
	Streaming bool
	// Timeout is the maximum time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first
	// event of a stream.
	Objective time.Duration
	// MaxAttempts limits the number of targets that may run one request.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Public marks routes that need no key.
	Public bool
	// MaxEventGap is the longest pause between the events of a stream that is on time, 0
	// for no limit.
	MaxEventGap time.Duration
}

// ModelSpec declares a base model of a service.
type ModelSpec struct {
	Name string
	// LoadTime is the duration of a load from the weight store.
	LoadTime time.Duration
}

// ServiceSpec declares a group of interchangeable targets.
type ServiceSpec struct {
	Name string
	// Engine is set for services that run models.
	Engine bool
	// AdapterSlots limits the adapters of an engine, including loads in
	// progress.
	AdapterSlots int
	// LoadsPerSecond is the rate at which the weight store serves base models.
	LoadsPerSecond float64
	Models         []ModelSpec
	// MaxConnections is the number of connections that a target accepts from all
	// instances together, 0 if unknown.
	MaxConnections int
	// MemoryTokens is the number of tokens that fit into the memory of an engine, 0 if
	// unknown.
	MemoryTokens int
}

// ListenerLimits limits the requests of callers.
type ListenerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Routes   []RouteSpec
	Services []ServiceSpec
	Limits   ListenerLimits
	// HasWorkspaces is set if calls need the key of a workspace, unless their route is
	// public. Workspaces are those whose keys are accepted.
	HasWorkspaces bool
	Workspaces    []Workspace
	// Warnings describe the parts of the configuration that were left out because they
	// are invalid.
	Warnings []string
}

// AdapterKey names an adapter of a base model. An empty adapter stands for
// the base model itself.
type AdapterKey struct {
	Model   string
	Adapter string
}

// TargetID identifies one incarnation of a target: an engine that restarts under
// the same name has a new StartMillis.
type TargetID struct {
	Name string
	// StartMillis is the start time of the target in Unix milliseconds, 0 if
	// unknown.
	StartMillis int64
}

// TargetEntry is the state that a target publishes in the store.
type TargetEntry struct {
	ID      TargetID
	Service string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// Software is the version of the target's software. What different versions
	// generate does not fit together in one stream.
	Software string
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

// DatedRelease is a released adapter version with the time at which the release
// was observed, zero if it may have been long ago.
type DatedRelease struct {
	Version   int
	LearnedAt time.Time
}

// ReleaseHistory holds the releases of one adapter, oldest first. It is never
// modified in place.
type ReleaseHistory []DatedRelease

// Newest returns the newest version, 0 if none was released.
func (h ReleaseHistory) Newest() int {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Version
}

// OutdatedFor returns the time since a version was superseded, 0 for the
// newest one. It is measured from the earliest newer release, so a further release
// does not extend the use of a version that was superseded before.
func (h ReleaseHistory) OutdatedFor(version int, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, r := range h {
		if r.Version > version {
			longest = max(longest, now.Sub(r.LearnedAt))
		}
	}
	return longest
}

// SupersededAt returns the time at which a newer version than the given one was learned of,
// zero if it may have been long ago, and false if there is none.
func (h ReleaseHistory) SupersededAt(version int) (time.Time, bool) {
	var first time.Time
	found := false
	for _, r := range h {
		if r.Version > version && (!found || r.LearnedAt.Before(first)) {
			first, found = r.LearnedAt, true
		}
	}
	return first, found
}

// RecordDecoder decodes the objects that operators and targets write.
type RecordDecoder interface {
	Configuration(o Object) (Configuration, error)
	Target(o Object) (TargetEntry, error)
	Release(o Object) (AdapterRelease, error)
}

// CallSize is the size of a call in tokens.
type CallSize struct {
	Prompt, Output int
}

// Tokens returns the sum of prompt and output tokens.
func (s CallSize) Tokens() int { return s.Prompt + s.Output }

// PromptPart is a part of a prompt. Calls with the same parts in the same order share
// what an engine keeps of them.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is a caller's request that is forwarded unchanged.
type Call struct {
	ID string
	// Timeout is the time that the caller waits, 0 if it does not say.
	Timeout time.Duration
	// Key is empty for calls without a model.
	Key AdapterKey
	// LastEvent is the id of the event after which the caller resumes a stream.
	LastEvent string
	// Resumes is the id of the call that brought the first event of the resumed
	// stream, empty if the caller does not say.
	Resumes string
	// PromptSegments are the ids of the parts of the prompt that the call may share
	// with others, in order.
	PromptSegments []string
	// Prompt lists all parts of the prompt with their sizes, in order. The last one is
	// not shared.
	Prompt []PromptPart
	// Size is the size of the call in tokens, zero if the caller does not say.
	Size CallSize
	// Credential is the key that the caller presented. It is cleared once the call has a
	// workspace.
	Credential Credential
	// Workspace is the name of the workspace that the call belongs to, empty if the
	// configuration has none or the route is public.
	Workspace string
	// Authenticated is set if the workspace of the call, or its absence, was determined by
	// an instance. Targets then get it in place of the key.
	Authenticated bool
	// Fingerprint is the same for calls that repeat one another: those of one caller
	// with the same host, path and body. Call ids differ.
	Fingerprint string
	// Header holds the header fields that are forwarded to the target.
	Header http.Header
}

// Attempt describes one attempt to run a call on a target.
type Attempt struct {
	Target TargetID
	// Remaining is the time left until the deadline of the call.
	Remaining time.Duration
	// AdapterVersion is the adapter version that the target must have, or 0.
	AdapterVersion int
	// LastEvent is the id of the event after which the stream resumes, or empty.
	LastEvent string
	// Priority is the priority of the call at the target; 0 is the most urgent.
	Priority int
}

// Advisory is what a target says of itself in an answer.
type Advisory struct {
	// Leaving is set if the target leaves and wants no new calls.
	Leaving bool
	// QuietFor is the time for which the target wants no requests of this instance,
	// 0 if it does not say.
	QuietFor time.Duration
	// Limited is set if the target accepts at most Limit requests a second from all
	// instances together.
	Limited bool
	Limit   float64
	// Brittle is set if the target fails once it has to turn more than MaxRefusals
	// requests away in a second because it is full.
	Brittle     bool
	MaxRefusals float64
	// Partial is set if a part of the answer could not be decoded. It does not end an
	// earlier limit then.
	Partial bool
}

// ResponseClass classifies a response of a target by its status and header.
type ResponseClass int

// The response classes.
const (
	// ResponseValid means that the target executed this call and responded.
	ResponseValid ResponseClass = iota
	// ResponseNotRun means that the target rejected the call without running it.
	ResponseNotRun
	// ResponseMisdirected means that the request reached another target, or one
	// without the adapter or its version. The call was not run.
	ResponseMisdirected
	// ResponseInvalid means that the response does not belong to this call.
	ResponseInvalid
)

// Ingress is the protocol between callers and an instance.
type Ingress interface {
	// Decode decodes the fields that routing needs and those to forward.
	Decode(r *http.Request) (Call, error)
	// SetErrorHeaders sets the header of a response that the instance generates
	// itself. The caller may retry after retryAfter, unless it is 0.
	SetErrorHeaders(h http.Header, c *Call, retryAfter time.Duration)
	// RemoveCredential removes the caller's credential, and what it says of its workspace,
	// from the fields to forward.
	RemoveCredential(h http.Header)
	// ReadyPath returns the path of the readiness probe.
	ReadyPath() string
}

// Egress is the protocol between an instance and the targets that run calls.
type Egress interface {
	// Encode sets the header fields of a request to a target.
	Encode(r *http.Request, c *Call, s Attempt)
	// SetLastEvent sets the event after which a stream resumes in the header of a call.
	SetLastEvent(h http.Header, id string)
	// Classify classifies the status and header of a response. Whether a rejection
	// belongs to the call follows from ResponseID.
	Classify(r *http.Response, c *Call) ResponseClass
	// ResponseID returns the id of the call that a response names, empty if it names
	// none.
	ResponseID(r *http.Response) string
	// Advisory returns what the target says of itself. A value that cannot be
	// decoded is an error and counts as not said.
	Advisory(r *http.Response) (Advisory, error)
}
