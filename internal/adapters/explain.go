package adapters

import (
	"slices"
	"time"

	"bamboorail.example/bamboorail"
)

// MaxCandidates is the number of engines that an explanation lists at most: the chosen one and
// the next three.
const MaxCandidates = 4

// CostParts are the parts of the cost of a call at an engine.
type CostParts struct {
	// Queue is the cost of the calls that run or wait there, of memory and of suspicion.
	Queue time.Duration
	// Load is the cost of the load of the adapter or model, Rank that of the rank in the
	// adapter's order of engines.
	Load, Rank time.Duration
	// Backlog is the time to read the prompts ahead, Reading that to read what the engine
	// does not keep of this one, FirstEvent that from then to the first event.
	Backlog, Reading, FirstEvent time.Duration
	// Risk is the cost of the streams that may become late: this one, and by a gap those
	// that run there.
	Risk time.Duration
}

// Total returns the sum of the parts, by which engines are compared.
func (c CostParts) Total() time.Duration {
	return c.Queue + c.Load + c.Rank + c.Backlog + c.Reading + c.FirstEvent + c.Risk
}

// Candidate is an engine that could run a call.
type Candidate struct {
	Target bamboorail.TargetEntry
	Cost   CostParts
	// Calls is the number of calls that run or wait there.
	Calls int
	// KeptTokens is the number of prompt tokens that the engine probably still keeps.
	KeptTokens int
	// Loads is set if the adapter would be loaded first, Evicts if another one would be
	// evicted for it, Queued if the call would wait for another one to end.
	Loads, Evicts, Queued bool
	// OldVersion is set if the call would run on the previous version of the adapter, which
	// is chosen before cheaper engines while these load the new one.
	OldVersion bool
}

// Explanation states how a call would be placed.
type Explanation struct {
	// Candidates lists at most MaxCandidates engines. The first one is chosen.
	Candidates []Candidate
	// Eligible is the number of engines that could run the call.
	Eligible int
	// Obstacles, MayWait and RetryAfter are set if no engine could. MayWait reports whether
	// the call would wait for one, RetryAfter is the expected time until one is free.
	Obstacles  Obstacles
	MayWait    bool
	RetryAfter time.Duration
}

// Explain returns how Place would place a call now. It changes nothing: no demand is recorded,
// no load started, and later decisions are the same.
func (p *Planner) Explain(r Request, now time.Time) Explanation {
	defer p.preserve(r, now)()
	if p.mayFetch(r, now) {
		p.waiting.add(r, p.fetchTime(), now)
	}
	q := p.newRequestContext(r, now)
	list, old, eligible := p.pricedOptions(r, q, now)
	if old.name != "" && p.usesOldVersion(list, old, r, now) {
		list = slices.Insert(list, 0, old)
		list, eligible = list[:min(len(list), MaxCandidates)], max(eligible, 1)
	}
	x := Explanation{Eligible: eligible}
	if len(list) == 0 {
		x.Obstacles = p.Obstacles(r, now)
		x.MayWait = r.Loads == LoadAny && p.canEnqueue(r, now)
		x.RetryAfter = max(p.ExpectedWait(r, now), p.DrainTime())
	}
	for _, o := range list {
		x.Candidates = append(x.Candidates, p.candidate(o, r, q, now))
	}
	return x
}

// pricedOption is an option with its total cost, which includes that of its work.
type pricedOption struct {
	option
	total      time.Duration
	oldVersion bool
}

// pricedOptions returns the cheapest options, the cheapest one that uses the previous version of
// the adapter, without a name if there is none, and the number of engines that could run the
// call.
func (p *Planner) pricedOptions(r Request, q *requestContext, now time.Time) (list []pricedOption, old pricedOption, eligible int) {
	if r.isMeasured() {
		p.refreshPaces(now)
	}
	for _, name := range p.engineNames() {
		e := p.engines[name]
		if !p.isEligible(name, e, r, now) {
			continue
		}
		if o, ok := p.option(name, e, r, q, now); ok {
			eligible++
			list = p.insertOption(list, o, r, now)
		}
		if o, ok := p.oldVersion(name, e, r, now); ok {
			if total := p.cheaper(option{}, o, r, now).cost; old.name == "" || total < old.total {
				old = pricedOption{option: o, total: total, oldVersion: true}
			}
		}
	}
	return list, old, eligible
}

// insertOption inserts an option into a list of the cheapest ones. Of options with the same cost
// the first one goes first.
func (p *Planner) insertOption(list []pricedOption, o option, r Request, now time.Time) []pricedOption {
	if len(list) == MaxCandidates && o.cost >= list[len(list)-1].total {
		return list
	}
	x, at := pricedOption{option: o, total: p.cheaper(option{}, o, r, now).cost}, len(list)
	for at > 0 && list[at-1].total > x.total {
		at--
	}
	list = slices.Insert(list, at, x)
	return list[:min(len(list), MaxCandidates)]
}

// candidate returns the parts of the cost of an option.
func (p *Planner) candidate(o pricedOption, r Request, q *requestContext, now time.Time) Candidate {
	e := p.engines[o.name]
	c := Candidate{
		Target: e.entry, Calls: e.calls(), KeptTokens: e.kept.tokens(r.Key, r.Prompt, now), Loads: o.load, Evicts: o.evict, Queued: p.mustWait(e, r),
		OldVersion: o.oldVersion,
	}
	c.Cost.Queue = p.queueCost(e, r, now)
	if o.load {
		c.Cost.Rank = p.placeCost(e, r, q.ranks()[o.name]) - p.placeCost(e, r, 0)
	}
	c.Cost.Load = o.cost - c.Cost.Queue - c.Cost.Rank
	if r.isMeasured() {
		c.Cost.Backlog, c.Cost.Reading = e.backlog.wait(now.Add(o.wait)), p.readTime(e, r, now)
		c.Cost.FirstEvent = time.Duration(e.pace.event.value)
		c.Cost.Risk = o.total - o.cost - c.Cost.Backlog - c.Cost.Reading - c.Cost.FirstEvent
	}
	return c
}

// usesOldVersion reports whether the previous version of the adapter is used, as place decides
// it. The list is sorted by cost.
func (p *Planner) usesOldVersion(list []pricedOption, old pricedOption, r Request, now time.Time) bool {
	if len(list) == 0 {
		return true
	}
	best := list[0]
	if best.load {
		// On the same engine, the new version replaces the old one in place.
		return best.name != old.name
	}
	return p.engines[best.name].adapters[r.Key].readyAt.After(now)
}

// preserve returns a function that restores what a decision about a call changes apart from
// the placement: the wait queue, the paces in use and the costs of evictions.
func (p *Planner) preserve(r Request, now time.Time) func() {
	waiting := p.waiting
	p.waiting = waiting.snapshot(r.Key, now)
	if !r.isMeasured() || now.Sub(p.pacesAt) < paceInterval {
		return func() { p.waiting = waiting }
	}
	type values struct {
		engine       *engine
		read, event  float64
		evictionCost time.Duration
	}
	saved, pacesAt, evictionCostsAt := make([]values, 0, len(p.engines)), p.pacesAt, p.evictionCostsAt
	for _, e := range p.engines {
		saved = append(saved, values{e, e.pace.read.value, e.pace.event.value, e.evictionCost})
	}
	return func() {
		p.waiting, p.pacesAt, p.evictionCostsAt = waiting, pacesAt, evictionCostsAt
		for _, v := range saved {
			v.engine.pace.read.value, v.engine.pace.event.value, v.engine.evictionCost = v.read, v.event, v.evictionCost
		}
	}
}

// snapshot returns a copy that gives the same answers about one adapter at one time, and to
// which calls for that adapter may be added. Groups that such calls do not change are shared: the
// lock of the holder is held meanwhile.
func (w *waitQueue) snapshot(key bamboorail.AdapterKey, now time.Time) *waitQueue {
	s := *w
	s.groups, s.list = map[bamboorail.AdapterKey]*group{}, make([]*group, 0, len(w.list)+1)
	for _, g := range w.list {
		switch {
		case g.key == key:
		case g.nextChange.IsZero() || !now.After(g.nextChange):
			s.list = append(s.list, g)
		default:
			s.list = append(s.list, g.clone())
		}
	}
	// The group of the adapter is the last one, so that its removal moves no shared group.
	if g := w.groups[key]; g != nil {
		g = g.clone()
		g.index = len(s.list)
		s.groups[key] = g
		s.list = append(s.list, g)
	}
	return &s
}

func (g *group) clone() *group {
	c := *g
	c.calls = make(map[callRef]*waitingCall, len(g.calls))
	for ref, x := range g.calls {
		call := *x
		c.calls[ref] = &call
	}
	return &c
}
