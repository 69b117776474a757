// Package fetchlimit learns how many adapters may be fetched from the weight
// store at once. The store serves a number of concurrent fetches at full speed
// and stretches all of them in proportion beyond it; nobody announces that
// number. A Limiter takes the duration of each fetch of one zone, needs no
// clock, and shares the store with the limiters of other zones without
// messages: all see the same stretch, grow by the same steps and shrink in
// proportion, which converges to equal shares. It stays below the stretch where it
// can: a fetch that is late costs the calls that wait for it more than a later one.
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
	// backoffFactor lowers the limit once fetches are stretched. A fetch that takes
	// longer than expected costs the calls that wait for it a refusal each, so the
	// limit stays below what the store serves, and is raised again only after
	// minHold, which doubles with each reduction up to maxHold.
	backoffFactor = 0.8
	minHold       = 5 * time.Second
	maxHold       = 40 * time.Second

	// onTimeFactor shortens the expected time with each fetch that was on time.
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
	provenInFlight int
	// share is the limit after the last reduction, when other zones competed
	// for the store.
	share float64
	// holdUntil is the time from which the limit may grow after its last
	// reduction, which began a hold.
	holdUntil time.Time
	hold      time.Duration
	round     round
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
		l.shrink(l.provenInFlight, now)
	case !l.IsStretched(f.Took):
		l.provenInFlight = max(l.provenInFlight, f.InFlight)
		if float64(f.InFlight) >= startupSaturation*l.limit {
			l.limit += startupGrowth
		}
	}
}

// settle starts a new round after a reduction of the limit.
func (l *Limiter) settle(now time.Time) {
	l.hold = min(max(2*l.hold, minHold), maxHold)
	l.settledAt, l.holdUntil = now.Add(l.expected), now.Add(l.hold)
	l.startup, l.share, l.round = false, l.limit, round{}
}

// updateExpected follows most fetches from above: a call that comes before its
// adapter is refused, which costs it and its engine more than a short wait.
func (l *Limiter) updateExpected(f Fetch) {
	if !f.Late {
		l.expected = max(time.Duration(float64(l.expected)*onTimeFactor), time.Duration(minTimeShare*float64(l.initial)))
		return
	}
	excess := float64(f.Took - l.expected)
	l.expected += time.Duration(max(min(lateWeight*excess, maxLateStep*float64(l.expected)), 0))
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
		l.flat = mean
	case 2*r.unclear > r.fetches:
		// The fetches were expected to be stretched and were on time: the expected
		// time is still going down.
	case !isStretched:
		l.flat = min(l.flat, mean)
		if 2*r.saturated >= r.fetches {
			l.grow(now)
		} else {
			l.relax()
		}
	case l.limit <= l.floor:
		// Fewer fetches may not be faster: either this is the speed of the store,
		// or other zones have yet to shrink.
		l.flat = min(time.Duration(flatStep*float64(l.flat)), mean)
	case float64(r.maxInFlight) >= startupSaturation*l.limit:
		l.shrink(r.maxInFlight, now)
	default:
		// Too few fetches of this zone to be the cause.
	}
}

// relax lowers a limit that is not used. It was raised while other zones were
// quiet, and together the zones would ask too much of the store once all are
// busy.
func (l *Limiter) relax() {
	if !l.startup {
		l.limit = max(l.limit-1, l.share)
	}
}

// shrink lowers the limit after inFlight fetches were stretched.
func (l *Limiter) shrink(inFlight int, now time.Time) {
	l.limit = max(min(l.limit, float64(inFlight))*backoffFactor, l.floor)
	l.settle(now)
}

// grow raises the limit after a round of fetches that used it and ran at full
// speed.
func (l *Limiter) grow(now time.Time) {
	if !l.startup && !now.Before(l.holdUntil) {
		l.limit++
	}
}
