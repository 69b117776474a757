package adapters

import (
	"math"
	"time"
)

// callWork is the work of a call as it was modeled when the call was placed.
type callWork struct {
	// tokens is the memory that the call takes.
	tokens int
	// read is the time from the sending of the call to the end of the reading of its
	// prompt, by tokenTime in nanoseconds; 0 if it is unknown.
	read      time.Duration
	tokenTime float64
	maxGap    time.Duration
}

const (
	// lateCost is the cost of a stream that is certainly late: about a fetch. With more, adapters
	// are loaded on so many engines that other adapters lack fetches.
	lateCost = 300 * time.Millisecond
	// riskFrom is the share of a limit from which its violation becomes possible: engines
	// slow down to 1 / 2.5 of their pace at times.
	riskFrom = 0.4
	// fetchPrice is the cost of a fetch beyond its time, in times of a fetch: it delays the
	// fetches of other adapters, and occupies a slot.
	fetchPrice = 2
	// rankScale is the cost of a doubling of the rank in an adapter's order of engines, so
	// that the order decides between engines of about the same cost.
	rankScale = 15 * time.Millisecond
	// maxReadTime bounds the time to read one prompt. Callers may state sizes that no engine
	// can read; the calls of a route that states no time-out end after it.
	maxReadTime = 30 * time.Second
	// evictionInterval is the time between two updates of the costs of evictions, which take
	// a sixth of the time of all decisions if they are made every 100 ms.
	evictionInterval = 500 * time.Millisecond
)

// isMeasured reports whether a call is placed by its work.
func (r Request) isMeasured() bool { return r.MaxGap > 0 && r.Size.Prompt > 0 }

// risk returns how much a limit is in danger: 0 below riskFrom, 1 at the limit, and more
// beyond it, so that a worse violation costs more.
func risk(expected, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	share := float64(expected) / float64(limit)
	return max(share-riskFrom, 0) / (1 - riskFrom)
}

// backlog is the reading of prompts at an engine, in a queue that is modeled at the learned
// pace.
type backlog struct {
	// until is the time at which all prompts that were sent are read.
	until time.Time
	// later are the prompts of calls that wait for their adapter.
	later []laterPrompt
}

type laterPrompt struct {
	at   time.Time
	read time.Duration
}

// add adds a prompt that is sent at the given time.
func (b *backlog) add(at time.Time, read time.Duration, now time.Time) {
	kept := b.later[:0]
	for _, l := range b.later {
		if l.at.After(now) {
			kept = append(kept, l)
		} else {
			b.until = latest(b.until, l.at).Add(l.read)
		}
	}
	b.later = kept
	if at.After(now) {
		b.later = append(b.later, laterPrompt{at, read})
		return
	}
	b.until = latest(b.until, at).Add(read)
}

// wait returns the time that the prompts ahead of one that is sent at the given time take.
func (b *backlog) wait(at time.Time) time.Duration {
	until := b.until
	for _, l := range b.later {
		if !l.at.After(at) {
			until = latest(until, l.at).Add(l.read)
		}
	}
	return max(until.Sub(at), 0)
}

// readTime returns the time in which an engine reads what it does not keep of a prompt.
func (p *Planner) readTime(e *engine, r Request, now time.Time) time.Duration {
	tokens := r.Size.Prompt
	if limit := p.memory(e.entry.Service); limit > 0 {
		tokens = min(tokens, limit)
	}
	if held := e.adapters[r.Key]; len(r.Prompt) > 0 && (r.Key.Adapter == "" || held != nil) {
		tokens = max(tokens-e.kept.tokens(r.Key, r.Prompt, now), 1)
	}
	return time.Duration(min(float64(tokens)*e.pace.read.value, float64(maxReadTime)))
}

// workCost returns the cost of the work of a call at an engine, beyond the wait before it is
// sent: the expected time to its first event, and the risk that it and the streams of the
// engine are late. Prompts are read between the steps of all streams, so that each of
// them has a gap of the time that the backlog takes.
func (p *Planner) workCost(e *engine, r Request, wait time.Duration, now time.Time) time.Duration {
	read := e.backlog.wait(now.Add(wait)) + p.readTime(e, r, now)
	event := time.Duration(e.pace.event.value)
	late := risk(wait+read+event+r.Waited, r.Objective) + e.gapRisk(now)
	late += float64(e.calls()) * risk(read+event, r.MaxGap)
	return read + event + time.Duration(late*float64(lateCost))
}

// placedCost returns the cost of a call at an engine that holds its adapter.
func (p *Planner) placedCost(e *engine, r Request, now time.Time) time.Duration {
	cost := p.queueCost(e, r, now)
	if r.isMeasured() {
		cost += p.workCost(e, r, p.queueWait(e, r), now)
	}
	return cost
}

// placeCost returns the cost of loading an adapter on this engine and not on another one, by
// the rank of the engine in the adapter's order.
func (p *Planner) placeCost(e *engine, r Request, rank int) time.Duration {
	if !r.isMeasured() {
		return time.Duration(rank) * p.tuning.RankCost
	}
	cost := time.Duration(math.Log2(float64(1+rank)) * float64(rankScale))
	if _, cached := e.cached[r.Key]; !cached {
		cost += time.Duration(fetchPrice * float64(p.fetchTime()))
	}
	return cost
}

// refreshEvictionCosts updates the costs of an eviction, which rise with the demand for the
// adapter that would be evicted: if it is requested again soon, it has to be loaded again.
func (p *Planner) refreshEvictionCosts(now time.Time) {
	if now.Sub(p.evictionCostsAt) < evictionInterval {
		return
	}
	p.evictionCostsAt = now
	for _, e := range p.engines {
		p.refreshEvictionCost(e, now)
	}
}

func (p *Planner) refreshEvictionCost(e *engine, now time.Time) {
	e.evictionCost = 0
	if p.freeSlots(e, now) > 0 {
		return
	}
	if key, ok := p.victim(e, now); ok {
		e.evictionCost = time.Duration(min(p.demandOf(key, now), 1) * fetchPrice * float64(p.fetchTime()))
	}
}

// recordWork records the work of a call that is sent to an engine at the given time.
func (p *Planner) recordWork(e *engine, r Request, sent, now time.Time) callWork {
	w := callWork{tokens: r.Size.Tokens(), maxGap: r.MaxGap}
	e.tokens += w.tokens
	if r.Size.Prompt > 0 {
		p.refreshPaces(now)
		read := p.readTime(e, r, now)
		w.read, w.tokenTime = e.backlog.wait(sent)+read, e.pace.read.value
		e.backlog.add(sent, read, now)
		if len(r.Prompt) > 0 {
			e.kept.record(r.Key, r.Prompt, p.memory(e.entry.Service), now)
		}
	}
	return w
}
