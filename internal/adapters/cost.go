package adapters

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
)

// option is an engine that could take a call, with the expected time to the
// start of the call.
type option struct {
	name string
	cost time.Duration
	load bool
	// evict is set if another adapter must make way first.
	evict bool
}

// inquiry holds what is the same for all engines of one request; each part is
// worked out when it is first needed.
type inquiry struct {
	ranks    func() map[string]int
	mayFetch func() bool
}

func (p *Planner) inquire(r Request, now time.Time) *inquiry {
	return &inquiry{
		ranks: sync.OnceValue(func() map[string]int { return p.ranks(r) }),
		mayFetch: sync.OnceValue(func() bool {
			free := p.fetchLimit() - p.fetching(now)
			return p.waiting.mayStart(r.Key, free, now)
		}),
	}
}

// best returns the cheapest option, and the one that uses the previous
// version of the adapter while the new one is not loaded. An option without a
// name is none.
func (p *Planner) best(r Request, now time.Time) (best, old option) {
	q := p.inquire(r, now)
	for _, name := range p.names() {
		e := p.engines[name]
		if !e.usable(r) || slices.Contains(r.Avoid, name) {
			continue
		}
		if o, ok := p.option(name, e, r, q, now); ok && (best.name == "" || o.cost < best.cost) {
			best = o
		}
		if o, ok := p.oldVersion(name, e, r, now); ok && (old.name == "" || o.cost < old.cost) {
			old = o
		}
	}
	return best, old
}

// oldVersion returns the option to use a version that was replaced a short
// time ago.
func (p *Planner) oldVersion(name string, e *engine, r Request, now time.Time) (option, bool) {
	held := e.adapters[r.Key]
	if r.Key.Adapter == "" || held == nil || held.leaving || held.loading || held.version >= r.Version ||
		r.Releases.OutdatedFor(held.version, now) >= p.tuning.OldVersionGrace {
		return option{}, false
	}
	return option{name: name, cost: p.queueCost(e, now)}, true
}

func (e *engine) usable(r Request) bool {
	if e.entry.Leaving || !e.known || e.entry.Service != r.Service {
		return false
	}
	_, loaded := e.models[r.Key.Model]
	return loaded
}

// option returns the cost of running the call at an engine.
func (p *Planner) option(name string, e *engine, r Request, q *inquiry, now time.Time) (option, bool) {
	o := option{name: name, cost: p.queueCost(e, now)}
	if at := e.models[r.Key.Model]; at.After(now) {
		o.cost += at.Sub(now)
	}
	if r.Key.Adapter == "" {
		return o, true
	}
	held := e.adapters[r.Key]
	if held != nil && !held.leaving && held.version >= r.Version {
		if held.readyAt.After(now) {
			o.cost += held.readyAt.Sub(now)
		}
		return o, true
	}
	return p.loadOption(o, e, r, q, now)
}

// loadOption returns the cost of loading the adapter at an engine first.
func (p *Planner) loadOption(o option, e *engine, r Request, q *inquiry, now time.Time) (option, bool) {
	held := e.adapters[r.Key]
	if held != nil && (held.leaving || held.running > 0) {
		// A replacement waits for the runs of the old version.
		return o, false
	}
	if !e.synced || e.loading(now) >= p.tuning.MaxLoadsPerEngine || !p.mayLoad(e, r, q, now) {
		return o, false
	}
	o.load = true
	o.cost += p.loadTime(e, r.Key) + time.Duration(q.ranks()[o.name])*p.tuning.RankCost
	if held == nil && len(e.adapters) >= e.slots {
		o.evict = true
		return o, e.hasVictim(p.tuning.MinIdleTime, now)
	}
	return o, true
}

// hasVictim reports whether an adapter could make way.
func (e *engine) hasVictim(keepIdle time.Duration, now time.Time) bool {
	for _, r := range e.adapters {
		if r.idle(keepIdle, now) {
			return true
		}
	}
	return false
}

// idle reports whether nothing uses an adapter or waits for it.
func (r *resident) idle(keepIdle time.Duration, now time.Time) bool {
	return r.running == 0 && !r.leaving && !r.readyAt.After(now) && now.Sub(r.lastUsed) >= keepIdle
}

// mayLoad reports whether a request may cause a load at an engine.
func (p *Planner) mayLoad(e *engine, r Request, q *inquiry, now time.Time) bool {
	switch r.Loads {
	case LoadNever:
		return false
	case LoadIfWanted:
		if _, atHand := e.atHand[r.Key]; !atHand && p.demandOf(r.Key, now) < p.tuning.ReplicaDemand {
			return false
		}
	case LoadFreely:
	}
	if _, atHand := e.atHand[r.Key]; atHand {
		return true
	}
	return q.mayFetch()
}

// Obstacles tells why no engine could take a call.
type Obstacles struct {
	// Engines run the base model; of them, InDoubt may not be ordered to load,
	// Busy load as many adapters as they may, and NoRoom hold none that could
	// make way.
	Engines, InDoubt, Busy, NoRoom int
	// Fetching of Share fetches are under way; Ahead adapters come first.
	Fetching, Share, Ahead int
}

// String returns the obstacles in one line.
func (o Obstacles) String() string {
	return fmt.Sprintf("%d engines, %d in doubt, %d busy with loads, %d without room; %d of %d fetches under way, %d adapters come first",
		o.Engines, o.InDoubt, o.Busy, o.NoRoom, o.Fetching, o.Share, o.Ahead)
}

// Obstacles returns why a call was not placed.
func (p *Planner) Obstacles(r Request, now time.Time) Obstacles {
	o := Obstacles{Fetching: p.fetching(now), Share: p.fetchLimit(), Ahead: p.waiting.ahead(r.Key, len(p.waiting.list), now)}
	for _, e := range p.engines {
		switch {
		case !e.usable(r):
			continue
		case !e.synced:
			o.InDoubt++
		case e.loading(now) >= p.tuning.MaxLoadsPerEngine:
			o.Busy++
		case len(e.adapters) >= e.slots && !e.hasVictim(p.tuning.MinIdleTime, now):
			o.NoRoom++
		}
		o.Engines++
	}
	return o
}

// fetchLimit returns the number of fetches of this zone that may be under way.
func (p *Planner) fetchLimit() int {
	return max(p.tuning.MinFetchLimit, int(p.tuning.FetchesPerEngine*float64(len(p.engines))))
}

// fetching returns the number of fetches of this zone under way.
func (p *Planner) fetching(now time.Time) int {
	n := 0
	for _, e := range p.engines {
		if !e.loadsUntil.After(now) {
			continue
		}
		for _, r := range e.adapters {
			if r.loading && r.fetch && r.readyAt.After(now) {
				n++
			}
		}
	}
	return n
}

// queueCost is the expected wait for the first token behind the calls of an
// engine: running ones slow it down, and with all slots taken it waits until
// one for each call ahead has ended.
func (p *Planner) queueCost(e *engine, now time.Time) time.Duration {
	cost := time.Duration(e.running) * p.tuning.CallCost
	if e.full() {
		cost += time.Duration(e.running-e.entry.Slots+1) * p.callTime / time.Duration(e.entry.Slots)
	}
	if crowded := e.entry.Slots * crowdedPercent / 100; e.entry.Slots > 0 && e.running >= crowded {
		cost += time.Duration(e.running-crowded+1) * crowdedFactor * p.tuning.CallCost
	}
	if now.Before(e.suspectTo) {
		cost += suspectCost
	}
	return cost
}

// full reports whether the next call waits until another one ends.
func (e *engine) full() bool { return e.entry.Slots > 0 && e.running >= e.entry.Slots }

const (
	// crowdedPercent of an engine's slots may be taken before a call costs
	// crowdedFactor times as much more, so that a busy adapter is loaded
	// elsewhere before calls wait for others to end.
	crowdedPercent = 75
	crowdedFactor  = 10
)

// suspectCost makes a suspected engine the last choice.
const suspectCost = time.Hour

// loadTime is the expected time of a load that starts now.
func (p *Planner) loadTime(e *engine, key bamboorail.AdapterKey) time.Duration {
	if _, ok := e.atHand[key]; ok {
		return p.tuning.ReloadTime
	}
	return p.fetchTime
}

// ranks returns the place of each engine in the adapter's own order of engines,
// which is the same for every holder.
func (p *Planner) ranks(r Request) map[string]int {
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, 0, len(p.engines))
	for name, e := range p.engines {
		if e.entry.Service == r.Service && !e.entry.Leaving {
			list = append(list, ranked{name, weight(name, r.Key)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	ranks := make(map[string]int, len(list))
	for i, one := range list {
		ranks[one.name] = i
	}
	return ranks
}

// Home returns the zone in which an adapter is loaded first.
func Home(zones []string, key bamboorail.AdapterKey) string {
	best, most := "", uint64(0)
	for _, zone := range zones {
		if w := weight(zone, key); best == "" || w > most {
			best, most = zone, w
		}
	}
	return best
}

func weight(engine string, key bamboorail.AdapterKey) uint64 {
	return xxhash.Sum64String(engine + "/" + key.Model + "/" + key.Adapter)
}

// victim returns the idle adapter with the least demand.
func (p *Planner) victim(e *engine, now time.Time) (bamboorail.AdapterKey, bool) {
	best, least := bamboorail.AdapterKey{}, math.Inf(1)
	for key, r := range e.adapters {
		if !r.idle(p.tuning.MinIdleTime, now) {
			continue
		}
		if d := p.demandOf(key, now); d < least || (d == least && key.Adapter < best.Adapter) {
			best, least = key, d
		}
	}
	return best, !math.IsInf(least, 1)
}
