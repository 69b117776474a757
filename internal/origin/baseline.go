package origin

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// baseline is the software version at which the streams of a service began whose origins
// are not stored: the origins at all other versions are.
type baseline struct {
	Software string `json:"software"`
	// Suspended is set while no version is the baseline, and all origins are stored.
	Suspended bool `json:"suspended,omitempty"`
	// Era is the era of the store in which the baseline holds: a restore loses origins.
	Era uint64 `json:"era"`
}

// baselines are the baselines by service.
type baselines map[string]baseline

type wireBaselines struct {
	Services baselines `json:"services"`
}

func (b baselines) encode() ([]byte, error) { return json.Marshal(wireBaselines{Services: b}) }

func decodeBaselines(data []byte) (baselines, error) {
	var w wireBaselines
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	return w.Services, nil
}

// baselineKey returns the key of the object with all baselines. It is no key of a segment.
func baselineKey(kind string) string { return kind + "/baselines" }

// maxBaselineAge is the time for which a baseline may be used after it was read. A holder
// suspends a baseline for longer before it sets another one.
const maxBaselineAge = 30 * time.Second

// confirmedBaseline is a baseline with the time at which it was certainly in force.
type confirmedBaseline struct {
	software  string
	suspended bool
	// era is the era of the store in which the baseline holds.
	era uint64
	at  time.Duration
}

// knownBaselines are the baselines that this instance has read, itself or through a holder.
type knownBaselines struct {
	mu        sync.Mutex
	byService map[string]confirmedBaseline
	// confirmedAt is the time of the newest confirmation.
	confirmedAt time.Duration
	confirmed   bool
}

func newKnownBaselines() *knownBaselines {
	return &knownBaselines{byService: map[string]confirmedBaseline{}}
}

// confirm records a baseline that was in force at a time.
func (k *knownBaselines) confirm(service string, b confirmedBaseline) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if old, ok := k.byService[service]; !ok || b.at > old.at {
		k.byService[service] = b
	}
	if !k.confirmed || b.at > k.confirmedAt {
		k.confirmedAt, k.confirmed = b.at, true
	}
}

func (k *knownBaselines) get(service string) (confirmedBaseline, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, ok := k.byService[service]
	return b, ok
}

// age returns the time since the newest confirmation, and false if there is none.
func (k *knownBaselines) age(now time.Duration) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now - k.confirmedAt, k.confirmed
}

func (k *knownBaselines) all() map[string]confirmedBaseline {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.byService)
}

// Baselines returns the baselines that this instance has read lately, for other instances.
func (r *Registry) Baselines() []*wire.Baseline {
	now := r.Clock()
	known := r.known.all()
	list := make([]*wire.Baseline, 0, len(known))
	for service, b := range known {
		if age := now - b.at; age < maxBaselineAge {
			list = append(list, &wire.Baseline{Service: service, Software: b.software, Suspended: b.suspended, AgeMicros: age.Microseconds(), Era: b.era})
		}
	}
	return list
}

// MergeBaselines records the baselines in a reply of another instance.
func (r *Registry) MergeBaselines(list []*wire.Baseline) {
	now := r.Clock()
	for _, m := range list {
		age := time.Duration(max(m.GetAgeMicros(), 0)) * time.Microsecond
		r.known.confirm(m.GetService(), confirmedBaseline{software: m.GetSoftware(), suspended: m.GetSuspended(), era: m.GetEra(), at: now - age})
	}
}

// mustStore reports whether a stream that begins at o must be stored: o is not certainly
// the baseline of its service, or a restore of the store has put that out of force.
func (r *Registry) mustStore(o bamboorail.StreamOrigin) bool {
	b, known := r.known.get(o.Service)
	return !known || b.suspended || b.software != o.Software || b.era != r.Store.Era() || !r.isRecent(b)
}

// isRecent reports whether a baseline may be used: no holder has set another one since.
func (r *Registry) isRecent(b confirmedBaseline) bool { return r.Clock()-b.at <= maxBaselineAge }
