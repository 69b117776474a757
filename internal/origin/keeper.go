package origin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/fleet"
)

const (
	// keepInterval is the interval between two decisions on the baselines.
	keepInterval = time.Second
	// holderReadInterval and instanceReadInterval are the ages at which a holder, and
	// another instance that has received none from a holder, read the baselines.
	holderReadInterval   = 10 * time.Second
	instanceReadInterval = 15 * time.Second
	// firstReadDelay gives an instance that starts the time to receive the baselines from a
	// holder, which saves a call to the store.
	firstReadDelay = 2500 * time.Millisecond
	// suspendTime is the time for which a baseline stays suspended: the lifetime of the
	// streams that instances with an old view may still begin without storing their origins.
	suspendTime = bamboorail.StreamLifetime + maxBaselineAge
)

// keeper reads the baselines, and changes them while the instance holds a zone. It is used
// by one goroutine.
type keeper struct {
	store  bamboorail.ObjectStore
	kind   string
	fleet  *fleet.Fleet
	known  *knownBaselines
	clock  func() time.Duration
	log    hclog.Logger
	start  time.Duration
	isRead bool
	// stored is the object in the store as of readAt, version its version, 0 if there is
	// none.
	stored  baselines
	version bamboorail.StoreVersion
	readAt  time.Duration
	// conditions hold, by service, why its baseline is to change and since when.
	conditions map[string]condition
}

// condition is a reason to change a baseline once it has lasted for a time.
type condition struct {
	name string
	// era is the era of the store; the condition begins anew with the next one.
	era   uint64
	since time.Duration
}

const (
	conditionRestored  = "restored"
	conditionSuspended = "suspended"
)

func newKeeper(c Config, known *knownBaselines) *keeper {
	return &keeper{
		store: c.Store, kind: c.Kind, fleet: c.Fleet, known: known, clock: c.Clock, log: c.Log, start: c.Clock(),
		conditions: map[string]condition{},
	}
}

// keep reads the baselines if what is known of them is old, and, as a holder, changes them.
func (k *keeper) keep(ctx context.Context, leading bool) {
	now := k.clock()
	if !leading {
		k.isRead = false
		if age, known := k.known.age(now); known && age < instanceReadInterval || !known && now-k.start < firstReadDelay {
			return
		}
		k.read(ctx)
		return
	}
	if (!k.isRead || now-k.readAt >= holderReadInterval) && !k.read(ctx) {
		return
	}
	if next, changed := k.next(k.clock()); changed {
		k.write(ctx, next)
	}
}

// read reads the baselines, and reports whether the store answered.
func (k *keeper) read(ctx context.Context) bool {
	sent := k.clock()
	o, err := k.store.Get(ctx, baselineKey(k.kind))
	switch {
	case bamboorail.KindOf(err) == bamboorail.KindNotFound:
		o = bamboorail.Object{}
	case err != nil:
		k.isRead = false
		k.log.Debug("baselines of streams not read", "error", err)
		return false
	}
	stored := baselines{}
	if o.Version != 0 {
		if stored, err = decodeBaselines(o.Value); err != nil {
			k.log.Warn("failed to decode the baselines of streams", "key", o.Key, "error", err)
			stored = baselines{}
		}
	}
	k.accept(stored, o.Version, sent)
	return true
}

// accept records what the store has.
func (k *keeper) accept(stored baselines, version bamboorail.StoreVersion, at time.Duration) {
	k.stored, k.version, k.readAt, k.isRead = stored, version, at, true
	for service, b := range stored {
		k.known.confirm(service, confirmedBaseline{software: b.Software, suspended: b.Suspended, era: b.Era, at: at})
	}
}

// next returns the baselines that should be in force, and whether they differ from the
// stored ones.
func (k *keeper) next(now time.Duration) (baselines, bool) {
	next, era := maps.Clone(k.stored), k.version.Era()
	if next == nil {
		next = baselines{}
	}
	for service, counts := range k.registered() {
		b, ok := next[service]
		switch {
		case !ok:
			b = baseline{Software: mostFrequent(counts), Era: era}
			// A restore that lost a known baseline also lost origins.
			_, b.Suspended = k.known.get(service)
		case b.Era != era:
			if k.lasts(service, condition{name: conditionRestored, era: era, since: now}, bamboorail.StreamLifetime) {
				b.Era = era
			}
		case b.Suspended:
			if k.lasts(service, condition{name: conditionSuspended, era: era, since: now}, suspendTime) {
				b = baseline{Software: mostFrequent(counts), Era: era}
			}
		default:
			delete(k.conditions, service)
			// The fleet keeps versions for the lifetime of a stream after the last target.
			b.Suspended = now-k.start >= bamboorail.StreamLifetime && !slices.Contains(k.fleet.Software(service), b.Software)
		}
		next[service] = b
	}
	return next, !maps.Equal(next, k.stored)
}

// lasts reports whether a condition of a service that holds now has lasted for a time.
func (k *keeper) lasts(service string, c condition, d time.Duration) bool {
	first := k.conditions[service]
	if first.name != c.name || first.era != c.era {
		first = c
		k.conditions[service] = c
	}
	return c.since-first.since >= d
}

// registered counts the targets of each service by software version.
func (k *keeper) registered() map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, e := range k.fleet.Targets() {
		if counts[e.Service] == nil {
			counts[e.Service] = map[string]int{}
		}
		counts[e.Service][e.Software]++
	}
	return counts
}

// mostFrequent returns the version with the most targets, the first one of several.
func mostFrequent(counts map[string]int) string {
	return slices.MaxFunc(slices.Collect(maps.Keys(counts)), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(b, a))
	})
}

// write stores baselines. After a failure they are read again, since the write may have
// taken effect, or another holder may have written.
func (k *keeper) write(ctx context.Context, next baselines) {
	value, err := next.encode()
	if err != nil {
		k.log.Error("failed to encode the baselines of streams", "error", err)
		return
	}
	sent := k.clock()
	version, err := k.store.Put(ctx, baselineKey(k.kind), value, k.version)
	if err != nil {
		k.isRead = false
		k.log.Debug("baselines of streams not stored", "error", err)
		return
	}
	for service, b := range next {
		if k.stored[service] != b {
			k.log.Info("baseline of streams set", "service", service, "software", b.Software, "suspended", b.Suspended, "era", b.Era)
		}
	}
	created := k.version == 0
	k.accept(next, version, sent)
	if era := version.Era(); created && era != 0 {
		// Nothing was stored before, so that the era was not known.
		next = maps.Clone(next)
		for service, b := range next {
			b.Era = era
			next[service] = b
		}
		k.write(ctx, next)
	}
}
