package adapters

import (
	"math"
	"slices"
	"time"
)

// Timing is what the caller of an engine measured of one call. Values of 0 are unknown.
type Timing struct {
	// FirstEvent is the time from the sending of the call to its first event.
	FirstEvent time.Duration
	// Event is the mean time between two events, LongestGap the longest.
	Event, LongestGap time.Duration
}

const (
	// initialReadTime and initialEventTime are assumed until calls were measured: 20 prompt
	// tokens a millisecond, and events of four steps of 10 ms.
	initialReadTime  = 50 * time.Microsecond
	initialEventTime = 40 * time.Millisecond
	// paceWeight is the weight of a new observation. Calls last 1 to 2 s, in which an engine
	// ends 4 to 8, so that a lasting change of its pace counts after about 2 s.
	paceWeight = 0.2
	// maxPaceChange bounds what one call shows: engines differ by 2.7 times, and slow down
	// to 1 / 2.5 for fractions of a second.
	maxPaceChange = 4
	// paceHalfLife is the time without observations in which the pace of an engine comes
	// half of the way back to that of its peers, so that an engine that was slow is tried
	// again.
	paceHalfLife = 30 * time.Second
	// paceInterval is the time between two updates of the paces that are used.
	paceInterval = 100 * time.Millisecond
	// gapRiskHalfLife is the half-life of the share of late streams: that of one stream.
	gapRiskHalfLife = 2 * time.Second
)

// pace is the learned pace of an engine.
type pace struct {
	// read is the time to read a prompt token, event the time between two events.
	read, event estimate
	// gapRisk is the recent share of the streams that were late because of a gap.
	gapRisk   float64
	gapRiskAt time.Time
}

// estimate is a moving geometric mean of durations. The ratios of engines matter, and a few
// long times must not outweigh many usual ones.
type estimate struct {
	// log is the logarithm of the mean in nanoseconds.
	log   float64
	count int
	at    time.Time
	// value is the mean in nanoseconds that is used until the next update, median the
	// logarithm of that of the peers at the last one.
	value, median float64
}

// decayed returns the logarithm of the mean, which comes back to that of the peers while
// there are no observations.
func (s *estimate) decayed(now time.Time) float64 {
	return s.median + (s.log-s.median)*math.Exp2(-now.Sub(s.at).Seconds()/paceHalfLife.Seconds())
}

// observe includes a duration in nanoseconds; share scales its weight.
func (s *estimate) observe(value, share float64, now time.Time) {
	if s.count == 0 {
		s.log = math.Log(s.value)
	} else {
		s.log = s.decayed(now)
	}
	s.count++
	weight := max(paceWeight, 1/float64(s.count+1)) * share
	change := max(min(math.Log(value)-s.log, math.Log(maxPaceChange)), -math.Log(maxPaceChange))
	s.log += weight * change
	s.at = now
}

// refreshPaces updates the paces that are used, at most once in paceInterval: an engine
// without observations has the median of its peers.
func (p *Planner) refreshPaces(now time.Time) {
	if now.Sub(p.pacesAt) < paceInterval {
		return
	}
	p.pacesAt = now
	p.refreshEstimates(func(e *engine) *estimate { return &e.pace.read }, initialReadTime, now)
	p.refreshEstimates(func(e *engine) *estimate { return &e.pace.event }, initialEventTime, now)
	p.refreshEvictionCosts(now)
}

func (p *Planner) refreshEstimates(of func(e *engine) *estimate, initial time.Duration, now time.Time) {
	var known []float64
	for _, e := range p.engines {
		if s := of(e); s.count > 0 {
			known = append(known, s.log)
		}
	}
	median := math.Log(float64(initial))
	if len(known) > 0 {
		slices.Sort(known)
		median = known[len(known)/2]
	}
	for _, e := range p.engines {
		s, log := of(e), median
		s.median = median
		if s.count > 0 {
			log = s.decayed(now)
		}
		s.value = math.Exp(log)
	}
}

// RecordTiming updates the pace of an engine from a call whose placement has not ended.
func (p *Planner) RecordTiming(number uint64, t Timing, now time.Time) {
	k, ok := p.tickets[number]
	e := p.engine(k.id)
	if !ok || e == nil {
		return
	}
	p.refreshPaces(now)
	if t.Event > 0 {
		e.pace.event.observe(float64(t.Event), 1, now)
	}
	if w := k.work; t.FirstEvent > 0 && w.read > 0 && !k.queued {
		// What the steps take is not known exactly, so that calls with little to read
		// say little about the time of reading.
		read, event := float64(w.read), e.pace.event.value
		observed := max(float64(t.FirstEvent)-event, read/maxPaceChange)
		e.pace.read.observe(w.tokenTime*observed/read, read/(read+event), now)
	}
	if t.LongestGap > 0 && k.work.maxGap > 0 {
		late := 0.0
		if t.LongestGap > k.work.maxGap {
			late = 1
		}
		e.pace.gapRisk, e.pace.gapRiskAt = e.gapRisk(now)+paceWeight*(late-e.gapRisk(now)), now
	}
}

// gapRisk returns the recent share of the engine's streams that were late because of a gap.
func (e *engine) gapRisk(now time.Time) float64 {
	if e.pace.gapRisk == 0 {
		return 0
	}
	return e.pace.gapRisk * math.Exp2(-now.Sub(e.pace.gapRiskAt).Seconds()/gapRiskHalfLife.Seconds())
}

// EngineWork is what the planner assumes about the work of an engine.
type EngineWork struct {
	Name string
	// ReadRate is the number of prompt tokens that are read in a millisecond, Event the time
	// between two events.
	ReadRate float64
	Event    time.Duration
	// Backlog is the time to read the prompts that were sent. Running calls take Tokens of
	// the memory.
	Backlog         time.Duration
	Running, Tokens int
	// GapRisk is the recent share of the streams that were late because of a gap.
	GapRisk float64
}

// Work returns the work of the engines, by name.
func (p *Planner) Work(now time.Time) []EngineWork {
	p.refreshPaces(now)
	list := make([]EngineWork, 0, len(p.engines))
	for _, name := range p.engineNames() {
		e := p.engines[name]
		list = append(list, EngineWork{
			Name: name, ReadRate: float64(time.Millisecond) / e.pace.read.value, Event: time.Duration(e.pace.event.value),
			Backlog: e.backlog.wait(now), Running: e.calls(), Tokens: e.tokens, GapRisk: e.gapRisk(now),
		})
	}
	return list
}
