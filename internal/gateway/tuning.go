package gateway

import (
	"math"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
)

const (
	// initialFetchTime and initialCallTime are estimates until the first
	// fetches and calls have been observed. A fetch time that is too long costs
	// the first calls less than refusals by engines that are not ready.
	initialFetchTime = 270 * time.Millisecond
	initialCallTime  = 1400 * time.Millisecond
	// reloadShare is the time of a load of a recently held adapter as a share of
	// the time of a fetch: a tenth (page PROTOCOL), and the way to the engine.
	reloadShare = 0.12
	// minAdapterLoads is the number of concurrent fetches, over all zones, that
	// any weight store is taken to serve at full speed.
	minAdapterLoads = 8
	// minFetchesPerEngine makes a large fleet start with more: a fraction of the
	// adapters that its engines may have in transit.
	minFetchesPerEngine = 0.33
	// maxLoadsPerEngine is the number of adapters in transit to one engine (page
	// PROTOCOL).
	maxLoadsPerEngine = 4
	// replicaDemand is the decayed number of calls from which an adapter is
	// worth a second fetch, into a zone that is not its home.
	replicaDemand = 8
	// callCost is the delay that a running call adds to the first token of the
	// next one, and rankCost the preference for engines that are more likely to
	// have held the adapter.
	callCost = 3 * time.Millisecond
	rankCost = 15 * time.Millisecond
	// minIdleTime protects an adapter between two calls from eviction.
	minIdleTime = 50 * time.Millisecond
	// cachedAdapters bounds the remembered adapters of an engine. An adapter
	// that the engine has dropped is forgotten at its first late load.
	cachedAdapters = 126
	// suspectPeriod is the time for which an engine that failed gets no calls
	// while others can take them.
	suspectPeriod = time.Second
	// demandHalfLife is short enough for the popularity shifts of a day.
	demandHalfLife = 20 * time.Second
	// oldVersionPercent is the part of the release timeout, within which a new
	// adapter version must be in use, during which the previous version may
	// still be chosen. The rest is left because a call may wait in an engine's
	// queue.
	oldVersionPercent = 30
	// beginPercent is the part after which a call that has not begun is withdrawn from
	// an engine. The release may have been learned up to two seconds late.
	beginPercent = 50
	// holderCPUShare is the part of a core above which more processor time does
	// not make an instance a better lease holder (page SYSTEM: the instances of
	// the small sites).
	holderCPUShare = 0.4
	// maxClaimDelay gives larger instances, which poll the leases every 0.75 to
	// 2.25 s, the time to find a free lease first.
	maxClaimDelay = 2 * time.Second
)

// tuning returns the cost parameters of the planner.
func (g *Gateway) tuning() adapters.Tuning {
	zones := len(g.initial.Zones)
	return adapters.Tuning{
		FetchTime: initialFetchTime, ReloadShare: reloadShare, MinFetchLimit: (minAdapterLoads + zones - 1) / zones,
		MinFetchesPerEngine: minFetchesPerEngine, ReplicaDemand: replicaDemand,
		MaxLoadsPerEngine: maxLoadsPerEngine, CallCost: callCost, CallTime: initialCallTime, RankCost: rankCost, MinIdleTime: minIdleTime,
		CachedAdapters: cachedAdapters, OldVersionGrace: g.initial.ReleaseTimeout * oldVersionPercent / 100, SuspectPeriod: suspectPeriod,
		DemandHalfLife: demandHalfLife,
	}
}

// fetchShare returns the share of this zone in the concurrent downloads from
// the weight store that the settings permit, or 0 if the settings leave it to
// the planners to learn the number. Only zones whose holder is alive get a
// share, as the others download nothing.
func (g *Gateway) fetchShare() int {
	if g.initial.AdapterLoads == 0 {
		return 0
	}
	alive := 0
	for _, z := range g.holders {
		if z.Lease.Alive() {
			alive++
		}
	}
	alive = max(alive, 1)
	return (g.initial.AdapterLoads + alive - 1) / alive
}

// modelLoadInterval returns the interval between base model loads in one zone,
// which divides the rate limit of the weight store evenly among the zones.
func (g *Gateway) modelLoadInterval() time.Duration {
	rate := 1.0
	if t := g.table.Load(); t != nil {
		for _, s := range t.Services() {
			if s.Engine && s.LoadsPerSecond > 0 {
				rate = s.LoadsPerSecond
			}
		}
	}
	return time.Duration(float64(len(g.initial.Zones)) / rate * float64(time.Second))
}

// claimDelay returns the time for which an instance leaves a free lease to
// instances with more processor time.
func claimDelay(share float64) time.Duration {
	return time.Duration(max(1-share/holderCPUShare, 0) * float64(maxClaimDelay))
}

// heldLeases returns the leases that this instance holds.
func (g *Gateway) heldLeases() []bamboorail.Object {
	var held []bamboorail.Object
	for _, z := range g.holders {
		if o, ok := z.Lease.Held(); ok {
			held = append(held, o)
		}
	}
	return held
}

// shareTargets reports whether the slots of plain targets under pressure are shared by all
// instances.
func (g *Gateway) shareTargets() bool {
	if g.current.Load().ShareTargets {
		return true
	}
	t := g.table.Load()
	return t != nil && t.HasWorkspaces()
}

const (
	// idleShare is the part of the connections that a target accepts which all instances
	// together keep idle. The others are for calls, those that run once among them, which
	// get new connections.
	idleShare = 0.5
	// unlimitedIdle is the limit for targets that state no number of connections.
	unlimitedIdle = math.MaxInt
)

// idleLimit returns the number of idle connections that this instance may keep to a target
// of a service: its share of those that the target accepts.
func (g *Gateway) idleLimit(service string) int {
	t := g.table.Load()
	if t == nil {
		return unlimitedIdle
	}
	s, ok := t.Service(service)
	if !ok || s.MaxConnections == 0 {
		return unlimitedIdle
	}
	return max(int(idleShare*float64(s.MaxConnections))/max(g.instances(), 1), 1)
}
