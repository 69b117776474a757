// Package fetchlimit learns how many adapters may be fetched from the weight
// store at once. The store serves a number of concurrent fetches at full speed
// and stretches all of them in proportion beyond it; nobody announces that
// number. A Limiter takes the duration of each fetch of one zone, needs no
// clock, and shares the store with the limiters of other zones without
// messages: all see the same stretch, grow by the same steps and shrink in
// proportion, which converges to equal shares.
//
// It is designed for a start with many cold adapters and for popularity shifts,
// when every call in a queue waits for a fetch.
package fetchlimit

import (
	"time"
)

const (
	// maxStretch is the ratio to the flat time up to which a fetch counts as
	// served at full speed. It covers the steps in which a late fetch is
	// measured and the jitter of the store.
	maxStretch = 1.15
	// maxSampleStretch bounds the weight of one fetch from an unresponsive
	// engine.
	maxSampleStretch = 4
	// minRound is the minimum number of fetches on which a decision is based.
	minRound = 6
	// stretchedShare is the share of stretched fetches in a round from which the
	// store counts as the cause. One slow engine of three stays below it.
	stretchedShare = 0.5
	// saturation is the share of the limit that must have been in use for a
	// fetch to say anything about a larger limit.
	saturation = 0.75
	// startupGrowth is the growth of the limit for each fetch at full speed
	// until the store stretches fetches for the first time, if at least
	// startupSaturation of the limit was in use. The same share in use makes the
	// fetches of this zone a cause of a stretch.
	startupGrowth     = 1.0
	startupSaturation = 0.5
	// startupStretchedShare is the share of stretched fetches in a round, at
	// least minStretched, that ends the startup.
	startupStretchedShare = 0.2
	minStretched          = 3
	// flatStep bounds the growth of the flat time in one round at the lowest
	// limit. If zones took the stretch that others cause for the speed of the
	// store, all would fetch more and more.
	flatStep = 1.02
	// acceptedStretch is the stretch at which a reduction aims. A few more
	// fetches than the store serves at full speed cost no throughput, too few do.
	acceptedStretch = 1.05
	// minShrink and maxShrink bound the factor of one reduction.
	minShrink, maxShrink = 0.4, 0.95

	// searchFactor shortens the expected time with each fetch that was on time
	// until the first one is late, so that the time at full speed is known before
	// the limit grows far. onTimeFactor does so afterwards.
	searchFactor = 0.985
	// Of the excess of a late fetch, lateWeight is added, at most maxLateStep of
	// the expected time, which 25 fetches on time offset: one fetch from an
	// unresponsive engine says nothing about the others.
	onTimeFactor = 0.998
	lateWeight   = 0.5
	maxLateStep  = 0.05
	// minTimeShare bounds the expected time from below, as a share of the
	// initial one.
	minTimeShare = 0.25
)

// Fetch is an observed fetch.
type Fetch struct {
	Started time.Time
	// Took is the time until the adapter was usable. For a fetch that was on
	// time it is the expected time, an upper bound.
	Took time.Duration
	// Late is set if the fetch took longer than expected.
	Late bool
	// InFlight is the number of fetches of the zone at the start, including this
	// one. MaxInFlight is the larger number of those at the start and the end.
	InFlight, MaxInFlight int
}

// Limiter is the learned limit of one zone. It is not safe for concurrent use.
type Limiter struct {
	floor   float64
	initial time.Duration
	// limit is the limit of fetches in flight. Fetches that started before
	// settledAt ran beside more others than it allows now.
	limit     float64
	settledAt time.Time
	// flat is the time of a fetch at full speed, zero until the first round has
	// ended; expected is the time of the next one.
	flat, expected time.Duration
	// startup is set until fetches are stretched for the first time, and
	// provenInFlight is the most fetches that were served at full speed by then.
	startup        bool
	hasBeenLate    bool
	provenInFlight int
	// share is the limit after the last reduction, when other zones competed
	// for the store.
	share      float64
	flatRounds int
	round      round
}

// round counts the fetches since the last decision.
type round struct {
	fetches, stretched, unclear, saturated int
	maxInFlight                            int
	sum                                    time.Duration
}

// New returns a limiter that starts with floor fetches in flight, which every
// store serves at full speed, and never goes below that. initial is the expected
// time of the first fetches.
func New(floor int, initial time.Duration) *Limiter {
	return &Limiter{floor: float64(max(floor, 1)), limit: float64(max(floor, 1)), initial: initial, expected: initial, startup: true}
}

// SetFloor sets the number of fetches that the store is taken to serve at full
// speed, below which the limit never goes.
func (l *Limiter) SetFloor(n int) {
	l.floor = float64(max(n, 1))
	l.limit = max(l.limit, l.floor)
}

// Limit returns the number of fetches that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Expected returns the expected time of the next fetch.
func (l *Limiter) Expected() time.Duration { return l.expected }

// Flat returns the time of a fetch at full speed.
func (l *Limiter) Flat() time.Duration {
	if l.flat == 0 {
		return l.expected
	}
	return l.flat
}

// IsStretched reports whether a fetch that took so long was not served at full
// speed, as far as that is known.
func (l *Limiter) IsStretched(took time.Duration) bool {
	return l.flat > 0 && float64(took) > maxStretch*float64(l.Flat())
}

// Record learns from a fetch that was observed by now to have ended, or to be
// stretched.
func (l *Limiter) Record(f Fetch, now time.Time) {
	l.updateExpected(f)
	if f.Started.Before(l.settledAt) {
		return
	}
	l.round.add(f, l.Flat(), l.IsStretched(f.Took), float64(f.MaxInFlight) >= saturation*float64(int(l.limit)))
	if l.startup {
		l.growAtStartup(f, now)
	}
	if l.round.fetches >= max(minRound, l.round.maxInFlight) || (l.flat == 0 && l.round.fetches >= int(l.floor)) {
		l.endRound(now)
	}
}

// growAtStartup raises the limit with each fetch at full speed, and ends the
// startup at the first sign of stretched fetches: more fetches are already in
// flight than have been observed.
func (l *Limiter) growAtStartup(f Fetch, now time.Time) {
	switch {
	case l.round.stretched >= minStretched && float64(l.round.stretched) > startupStretchedShare*float64(l.round.fetches):
		l.limit = max(min(l.limit, float64(l.provenInFlight)), l.floor)
		l.settle(now)
	case !l.IsStretched(f.Took):
		l.provenInFlight = max(l.provenInFlight, f.InFlight)
		if float64(f.InFlight) >= startupSaturation*l.limit {
			l.limit += startupGrowth
		}
	}
}

// settle starts a new round after a reduction of the limit.
func (l *Limiter) settle(now time.Time) {
	l.settledAt, l.startup, l.share, l.flatRounds, l.round = now.Add(l.expected), false, l.limit, 0, round{}
}

func (l *Limiter) updateExpected(f Fetch) {
	switch {
	case f.Late:
		l.hasBeenLate = true
		excess := float64(f.Took - l.expected)
		l.expected += time.Duration(max(min(lateWeight*excess, maxLateStep*float64(l.expected)), 0))
	case l.IsStretched(l.expected):
		l.expected = time.Duration(float64(l.expected) * (1 - maxLateStep))
	default:
		factor := onTimeFactor
		if !l.hasBeenLate {
			factor = searchFactor
		}
		l.expected = max(time.Duration(float64(l.expected)*factor), time.Duration(minTimeShare*float64(l.initial)))
	}
}

func (r *round) add(f Fetch, flat time.Duration, isStretched, isSaturated bool) {
	r.fetches++
	r.sum += min(f.Took, maxSampleStretch*flat)
	r.maxInFlight = max(r.maxInFlight, f.MaxInFlight)
	if isSaturated {
		r.saturated++
	}
	switch {
	case !isStretched:
	case f.Late:
		r.stretched++
	default:
		r.unclear++
	}
}

// endRound adapts the limit to the fetches of a round.
func (l *Limiter) endRound(now time.Time) {
	r := l.round
	l.round = round{}
	// The mean is an upper bound: a fetch that was on time may have been faster.
	mean := r.sum / time.Duration(r.fetches)
	isStretched := float64(r.stretched) > stretchedShare*float64(r.fetches)
	switch {
	case l.flat == 0:
		l.flat, l.expected = mean, mean
	case 2*r.unclear > r.fetches:
		// The fetches were expected to take longer than at full speed and were
		// on time. A shorter expectation shows whether they still are.
		l.expected = (l.expected + l.flat) / 2
	case !isStretched:
		l.flat = min(l.flat, mean)
		if 2*r.saturated >= r.fetches {
			l.grow()
		} else {
			l.relax()
		}
	case l.limit <= l.floor:
		// Fewer fetches may not be faster: either this is the speed of the store,
		// or other zones have yet to shrink.
		l.flat = min(time.Duration(flatStep*float64(l.flat)), mean)
		l.expected, l.flatRounds = max(l.expected, mean), 0
	case float64(r.maxInFlight) >= startupSaturation*l.limit:
		l.shrink(r.maxInFlight, mean, now)
	default:
		// Too few fetches of this zone to be the cause.
		l.expected = max(l.expected, mean)
	}
}

// relax lowers a limit that is not used. It was raised while other zones were
// quiet, and together the zones would ask too much of the store once all are
// busy.
func (l *Limiter) relax() {
	l.flatRounds = 0
	if !l.startup {
		l.limit = max(l.limit-1, l.share)
	}
}

// shrink lowers the limit after inFlight fetches took mean.
func (l *Limiter) shrink(inFlight int, mean time.Duration, now time.Time) {
	factor := min(max(acceptedStretch*float64(l.flat)/float64(mean), minShrink), maxShrink)
	l.limit = max(min(l.limit, float64(inFlight))*factor, l.floor)
	l.expected = max(time.Duration(factor*float64(mean)), l.flat)
	l.settle(now)
}

// grow raises the limit by one more with each saturated round at full speed in
// a row: the store may allow much more than before.
func (l *Limiter) grow() {
	if !l.startup {
		l.limit += float64(1 + l.flatRounds)
		l.flatRounds++
	}
}
