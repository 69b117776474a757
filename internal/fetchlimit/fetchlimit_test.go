package fetchlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// store is a weight store that serves limit fetches at full speed and
// stretches all of them in proportion beyond it.
type store struct {
	limit  func(at time.Duration) int
	flat   time.Duration
	jitter float64
	random *rand.Rand
}

// zone fetches as many adapters as its limit allows.
type zone struct {
	limiter *Limiter
	// fixed is the limit of a zone that knows the store, 0 for one that learns.
	fixed   int
	fetches []*fetch
	// inFlight is the number of fetches that count as in flight.
	inFlight int
	// engines is the number of engines, of which the first slow ones take ten
	// times as long.
	engines, slow int
	next          int
	// demand replaces the demand of all zones if it is set.
	demand demand
}

type fetch struct {
	started, ready time.Duration
	// work is the remaining work in time at full speed.
	work     time.Duration
	inFlight int
	late     bool
}

// demand returns the share of the limit that a zone has calls for.
type demand func(at time.Duration) float64

func (z *zone) limit() int {
	if z.fixed > 0 {
		return z.fixed
	}
	return z.limiter.Limit()
}

func (z *zone) expected(s *store) time.Duration {
	if z.fixed > 0 {
		return s.flat + s.flat/10
	}
	return z.limiter.Expected()
}

// result is the outcome of a simulation.
type result struct {
	// ended counts the fetches that ended after a warm-up.
	ended int
	// longestStretch is the longest time for which the store took more than
	// twice the flat time.
	longestStretch time.Duration
}

// simulate runs zones against a store in steps. A fetch that is not complete
// when its call arrives is extended by a share of its age, as the planner does.
// Fetches that end before warmUp after the start or the middle are not counted.
func simulate(s *store, zones []*zone, d demand, warmUp, length time.Duration) result {
	const (
		step          = 5 * time.Millisecond
		confirmDelay  = 150 * time.Millisecond
		extension     = 0.15
		slowFactor    = 10
		maxLoadFactor = 4
	)
	type observation struct {
		at   time.Duration
		zone *zone
		f    Fetch
	}
	var r result
	var observed []observation
	stretchedSince := time.Duration(-1)
	for at := time.Duration(0); at < length; at += step {
		active := 0
		for _, z := range zones {
			for _, f := range z.fetches {
				if f.work > 0 {
					active++
				}
			}
		}
		speed := min(1, float64(s.limit(at))/float64(max(active, 1)))
		switch {
		case speed >= 0.5:
			stretchedSince = -1
		case stretchedSince < 0:
			stretchedSince = at
		default:
			r.longestStretch = max(r.longestStretch, at-stretchedSince)
		}
		for _, z := range zones {
			kept, before := z.fetches[:0], z.inFlight
			for _, f := range z.fetches {
				f.work -= time.Duration(speed * float64(step))
				switch {
				case at < f.ready:
				case f.work <= 0 || at-f.started > maxLoadFactor*z.expected(s):
					if at%(length/2) >= warmUp {
						r.ended++
					}
					observed = append(observed, observation{at + confirmDelay, z, Fetch{
						Started: start.Add(f.started), Took: f.ready - f.started, Late: f.late, InFlight: f.inFlight, MaxInFlight: max(f.inFlight, before),
					}})
					continue
				default:
					f.late = true
					f.ready = at + max(30*time.Millisecond, time.Duration(extension*float64(at-f.started)))
				}
				kept = append(kept, f)
			}
			z.fetches = kept
			wanted := d
			if z.demand != nil {
				wanted = z.demand
			}
			inFlight := 0
			for _, f := range z.fetches {
				if f.ready > at {
					inFlight++
				}
			}
			for want := int(wanted(at) * float64(z.limit())); inFlight < min(want, z.limit()); {
				inFlight++
				work := time.Duration(float64(s.flat) * (1 + s.jitter*(2*s.random.Float64()-1)))
				if z.next = (z.next + 1) % max(z.engines, 1); z.next < z.slow {
					work *= slowFactor
				}
				z.fetches = append(z.fetches, &fetch{started: at, ready: at + z.expected(s), work: work, inFlight: inFlight})
			}
			z.inFlight = inFlight
		}
		for len(observed) > 0 && observed[0].at <= at {
			if l := observed[0].zone.limiter; l != nil {
				l.Record(observed[0].f, start.Add(at))
			}
			observed = observed[1:]
		}
	}
	return r
}

func saturated(time.Duration) float64 { return 1 }

func constant(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// newStore returns a store of limit fetches and learning zones.
func newStore(limit, zones int) (*store, []*zone) {
	var list []*zone
	for range zones {
		list = append(list, &zone{engines: 12, limiter: New(testFloor, testInitial)})
	}
	return &store{limit: constant(limit), flat: testInitial, random: rand.New(rand.NewPCG(1, 1))}, list
}

const (
	testFloor   = 3
	testInitial = 250 * time.Millisecond
	testWarmUp  = 3 * time.Second
	testLength  = 20 * time.Second
)

// TestSlowEngineDoesNotLowerLimit checks that fetches to an unresponsive engine
// are not taken for a busy store.
func TestSlowEngineDoesNotLowerLimit(t *testing.T) {
	const limit, zones = 60, 3
	s, list := newStore(limit, zones)
	for _, z := range list {
		z.slow = 2
	}
	simulate(s, list, saturated, testWarmUp, testLength)
	for n, z := range list {
		if got := z.limiter.Limit(); got < limit/zones/2 {
			t.Errorf("zone %d has a limit of %d beside two slow engines of twelve, want at least half of %d", n, got, limit/zones)
		}
	}
}

// TestOneSlowFetchDoesNotMoveExpectedTime guards against an unresponsive engine
// that lengthens the expected time of the fetches of all others.
func TestOneSlowFetchDoesNotMoveExpectedTime(t *testing.T) {
	l := New(testFloor, testInitial)
	for n := range 20 {
		at := start.Add(time.Duration(n) * testInitial)
		l.Record(Fetch{Started: at, Took: l.Expected(), InFlight: 1, MaxInFlight: 1}, at.Add(testInitial))
	}
	before := l.Expected()
	at := start.Add(time.Minute)
	l.Record(Fetch{Started: at, Took: 40 * testInitial, Late: true, InFlight: 1, MaxInFlight: 1}, at.Add(40*testInitial))
	if got := l.Expected(); got < before || float64(got) > (1+maxLateStep)*float64(before) {
		t.Errorf("expected %v after one fetch of %v, %v before", got, 40*testInitial, before)
	}
}

// TestUnusedLimitDoesNotGrow checks that fetches that run alone say nothing
// about how many the store serves at once.
func TestUnusedLimitDoesNotGrow(t *testing.T) {
	s, list := newStore(8, 1)
	before := 0
	simulate(s, list, func(at time.Duration) float64 {
		if at < testLength/2+2*time.Second {
			// Fetches of the time before are observed within two seconds.
			before = list[0].limiter.Limit()
		}
		if at < testLength/2 {
			return 1
		}
		return 0.4
	}, testWarmUp, testLength)
	if got := list[0].limiter.Limit(); got > before {
		t.Errorf("the limit grew from %d to %d while less than half of it was used", before, got)
	}
}

// TestNewHolderGetsItsShare checks that a zone whose limit is learned anew, as
// after a takeover, gets a fair share beside zones that use the whole store.
func TestNewHolderGetsItsShare(t *testing.T) {
	const limit, zones = 60, 3
	s, list := newStore(limit, zones)
	replaced := false
	simulate(s, list, func(at time.Duration) float64 {
		if at >= testLength/2 && !replaced {
			list[0].limiter, replaced = New(testFloor, testInitial), true
		}
		return 1
	}, testWarmUp, testLength)
	if got := list[0].limiter.Limit(); got < limit/zones/2 {
		t.Errorf("the new holder has a limit of %d, want at least half of %d", got, limit/zones)
	}
}

// TestLimitIsLearned checks the throughput of zones that learn the limit of a
// store against zones that know it.
func TestLimitIsLearned(t *testing.T) {
	const (
		zones  = 3
		warmUp = testWarmUp
		length = testLength
		// minShare and maxStretched are the aims of the estimator.
		minShare     = 0.9
		maxStretched = 3 * time.Second
	)
	change := func(before, after int) func(time.Duration) int {
		return func(at time.Duration) int {
			if at < length/2 {
				return before
			}
			return after
		}
	}
	for name, s := range map[string]store{
		"8":               {limit: constant(8), flat: 250 * time.Millisecond},
		"16":              {limit: constant(16), flat: 250 * time.Millisecond},
		"32":              {limit: constant(32), flat: 250 * time.Millisecond},
		"64":              {limit: constant(64), flat: 288 * time.Millisecond},
		"64, slow":        {limit: constant(64), flat: 600 * time.Millisecond},
		"64, fast":        {limit: constant(64), flat: 100 * time.Millisecond},
		"16 with jitter":  {limit: constant(16), flat: 288 * time.Millisecond, jitter: 0.15},
		"64 with jitter":  {limit: constant(64), flat: 288 * time.Millisecond, jitter: 0.15},
		"grows midway":    {limit: change(16, 64), flat: 288 * time.Millisecond},
		"shrinks midway":  {limit: change(64, 16), flat: 288 * time.Millisecond},
		"shrinks a fifth": {limit: change(64, 52), flat: 288 * time.Millisecond},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprintf("%s %d", name, seed), func(t *testing.T) {
				run := func(fixed int) result {
					var list []*zone
					for range zones {
						z := &zone{engines: 47, fixed: fixed}
						if fixed == 0 {
							z.limiter = New(testFloor, testInitial)
						}
						list = append(list, z)
					}
					c := s
					c.random = rand.New(rand.NewPCG(seed, 1))
					return simulate(&c, list, saturated, warmUp, length)
				}
				known := max(s.limit(0), s.limit(length-1))
				// Zones that know the limit share it rounded down or up.
				best, got := max(run(known/zones).ended, run((known+zones-1)/zones).ended), run(0)
				t.Logf("%d fetches, %d with a known limit, stretched for %v", got.ended, best, got.longestStretch)
				if float64(got.ended) < minShare*float64(best) {
					t.Errorf("%d fetches, want at least %v of %d", got.ended, minShare, best)
				}
				if got.longestStretch > maxStretched {
					t.Errorf("fetches took more than twice their time for %v, want at most %v", got.longestStretch, maxStretched)
				}
			})
		}
	}
}

// TestShortPeaksDoNotRaiseLimit guards against zones that raise their limits in
// turn, each with a short peak while the others are quiet, and together ask far
// more of the store than it serves once all of them are busy.
func TestShortPeaksDoNotRaiseLimit(t *testing.T) {
	const (
		limit, zones = 32, 5
		// peak is the time for which a zone in turn has much to fetch, period
		// the time after which it has again.
		peak, period = 300 * time.Millisecond, 5 * time.Second
	)
	s, list := newStore(limit, zones)
	// The zones are busy together first and settle at their shares.
	busy := 4 * time.Second
	for n, z := range list {
		z.demand = func(at time.Duration) float64 {
			if at < busy || at%period-time.Duration(n)*period/zones > 0 && at%period-time.Duration(n)*period/zones < peak {
				return 1
			}
			return 0.3
		}
	}
	simulate(s, list, saturated, testWarmUp, 6*testLength)
	total := 0
	for _, z := range list {
		total += z.limiter.Limit()
	}
	if total > 2*limit {
		t.Errorf("the limits add up to %d, want at most twice the %d of the store", total, limit)
	}
}

// TestStretchByOthersIsNotTheSpeedOfTheStore guards against zones at their lowest
// limits that take the stretch that others cause for the speed of the store, and
// then raise their limits in turn (large archive, scale-1: three times what the store
// serves).
func TestStretchByOthersIsNotTheSpeedOfTheStore(t *testing.T) {
	l, at := New(testFloor, testInitial), start
	round := func(took time.Duration) {
		for range minRound {
			at = at.Add(took)
			late := took > l.Expected()
			l.Record(Fetch{Started: at, Took: max(took, l.Expected()), Late: late, InFlight: testFloor, MaxInFlight: testFloor}, at.Add(took))
		}
	}
	round(testInitial)
	flat := l.Flat()
	for range 3 {
		l.limit, l.startup = l.floor, false
		round(2 * testInitial)
	}
	if got := l.Flat(); float64(got) > flatStep*flatStep*flatStep*float64(flat) {
		t.Errorf("after three stretched rounds the flat time is %v, was %v", got, flat)
	}
	for range 120 {
		round(2 * testInitial)
	}
	if l.IsStretched(2 * testInitial) {
		t.Errorf("the store has been slow for long, but the flat time is %v", l.Flat())
	}
}

// TestZonesTogetherKeepToTheStore checks that the limits of zones that are all
// saturated stretch fetches by no more than a half on average.
func TestZonesTogetherKeepToTheStore(t *testing.T) {
	const (
		limit, zones, floor = 32, 5, 6
		// maxTotal is the sum of limits that stretches fetches by a half.
		maxTotal = limit * 3 / 2
	)
	for _, initial := range []time.Duration{200, 250, 300} {
		for _, seed := range []uint64{1, 2, 3} {
			t.Run(fmt.Sprint(initial, " ", seed), func(t *testing.T) {
				s := &store{limit: constant(limit), flat: testInitial, jitter: 0.1, random: rand.New(rand.NewPCG(seed, 1))}
				var list []*zone
				for range zones {
					list = append(list, &zone{engines: 23, limiter: New(floor, initial*time.Millisecond)})
				}
				sum, samples := 0, 0
				simulate(s, list, func(at time.Duration) float64 {
					total := 0
					for _, z := range list {
						total += z.limiter.Limit()
					}
					if at > testLength/2 {
						sum, samples = sum+total, samples+1
					}
					return 1
				}, testWarmUp, testLength)
				t.Logf("the limits add up to %d on average", sum/samples)
				if sum > maxTotal*samples {
					t.Errorf("the limits add up to %d on average, want at most %d", sum/samples, maxTotal)
				}
			})
		}
	}
}
