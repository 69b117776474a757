// Package origin records at which software version each stream began, so that only
// targets of that version continue it. One version of each service is its baseline, which is
// in the object store. The origin of a stream that begins at another version is stored
// before its first event is forwarded, so that a stream without a stored origin began at the
// baseline, whatever instances have ended since. Instances send origins to the holder of a
// zone, which writes them.
package origin

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/fleet"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// unknownRetry is the delay to suggest to the caller of a stream that cannot be
// continued now.
const unknownRetry = time.Second

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

var (
	errNotRecorded = errors.New("targets of several software versions serve, and none is recorded for the stream")
	errNoTargets   = errors.New("no targets of the service are known")
	errNotRead     = errors.New("the software versions of the service cannot be confirmed")
	errNotStored   = errors.New("the origin of the stream cannot be stored")
)

func unknown(cause error) error {
	return &Error{bamboorail.Failure{
		Op: "find-origin", Kind: bamboorail.KindUnknownOrigin, Outcome: bamboorail.OutcomeNotRun, RetryAfter: unknownRetry, Err: cause,
	}}
}

func notStored(cause error) error {
	return &Error{bamboorail.Failure{
		Op: "record-origin", Kind: bamboorail.KindUnavailable, Outcome: bamboorail.OutcomeMayHaveRun, Err: errors.Join(errNotStored, cause),
	}}
}

// Peers sends origins to other instances.
type Peers interface {
	RecordOrigins(ctx context.Context, address string, r *wire.RecordOriginsRequest) (*wire.RecordOriginsReply, error)
}

// Config configures a registry.
type Config struct {
	Instance string
	// Zones are the availability zones with their leases, the local zone first.
	Zones []lease.Zone
	Peers Peers
	Store bamboorail.RestorableStore
	// Kind is the kind of the objects in the store.
	Kind string
	// Targets lists the targets that are registered in the store.
	Targets func(ctx context.Context) ([]bamboorail.TargetEntry, error)
	Fleet   *fleet.Fleet
	// Clock returns the time since the machine started.
	Clock func() time.Duration
	Log   hclog.Logger
}

// Registry holds the origins of streams in one instance.
type Registry struct {
	Config
	table     *table
	reader    *reader
	journals  map[string]*journal
	known     *knownBaselines
	keeper    *keeper
	announcer *announcer
	// urgent receives when origins are queued that calls wait for.
	urgent chan struct{}
}

var _ bamboorail.StreamOrigins = (*Registry)(nil)

// New returns an empty registry.
func New(c Config) *Registry {
	r := &Registry{
		Config: c, table: newTable(), reader: newReader(c), journals: map[string]*journal{}, known: newKnownBaselines(),
		announcer: newAnnouncer(c.Store.Era), urgent: make(chan struct{}, 1),
	}
	r.keeper = newKeeper(c, r.known)
	for _, z := range c.Zones {
		j := newJournal(c.Kind, z.Name, c.Store, c.Log)
		j.onList = func(b batch, era uint64) { r.table.recordStored(b, era, time.Now()) }
		r.journals[z.Name] = j
	}
	return r
}

// Cache records an origin that other instances need only while several versions serve.
func (r *Registry) Cache(call string, o bamboorail.StreamOrigin) {
	r.table.record(newStreamID(call), o, time.Now())
}

// Find returns where the stream of a call began. It reads the store unless the stream is known
// to have begun there: an instance that has read an announcement does not have its correction,
// which is stored before the first event is forwarded. A stream whose origin is not stored began at the baseline of its
// service. Without a baseline, it has the only version that the service had within the
// lifetime of a stream, if there is no other. The store must confirm that: the view of an
// instance that is cut off or was paused may lack the newest version.
func (r *Registry) Find(ctx context.Context, call, service string) (bamboorail.StreamOrigin, error) {
	arrived := time.Now()
	known, ok := r.table.find(call)
	if ok && known.begun {
		return known.origin, nil
	}
	if versions := r.Fleet.Software(service); call == "" && len(versions) > 1 {
		return bamboorail.StreamOrigin{}, unknown(errNotRecorded)
	}
	stored := r.reader.readSince(ctx, arrived)
	if stored.err != nil {
		if ok && known.isReliable() {
			r.Log.Info("origin of stream not confirmed by the store", "call", call, "service", known.origin.Service,
				"software", known.origin.Software, "error", stored.err)
			return known.origin, nil
		}
		return bamboorail.StreamOrigin{}, unknown(errors.Join(errNotRead, stored.err))
	}
	r.table.merge(stored.streams, true, time.Now())
	if o, ok := r.table.findBegun(call); ok {
		r.Log.Info("origin of stream found", "call", call, "service", o.Service, "software", o.Software, "known-before", known.origin.Software)
		return o, nil
	}
	if b, ok := stored.baseline(service); ok && call != "" {
		r.Log.Info("no origin of the stream is stored, it began at the baseline", "call", call, "service", service, "software", b.Software)
		return bamboorail.StreamOrigin{Service: service, Software: b.Software}, nil
	}
	return r.onlyOrigin(service, stored)
}

// onlyOrigin returns the only origin that an unknown stream of a service can have.
func (r *Registry) onlyOrigin(service string, stored result) (bamboorail.StreamOrigin, error) {
	versions := r.Fleet.Software(service)
	add := func(o bamboorail.StreamOrigin) {
		if o.Service == service && !slices.Contains(versions, o.Software) {
			versions = append(versions, o.Software)
		}
	}
	if b, ok := stored.baseline(service); ok {
		add(bamboorail.StreamOrigin{Service: service, Software: b.Software})
	}
	for o := range stored.streams {
		add(o)
	}
	for o := range stored.software {
		add(o)
	}
	switch len(versions) {
	case 0:
		return bamboorail.StreamOrigin{}, unknown(errNoTargets)
	case 1:
		return bamboorail.StreamOrigin{Service: service, Software: versions[0]}, nil
	}
	return bamboorail.StreamOrigin{}, unknown(errNotRecorded)
}
