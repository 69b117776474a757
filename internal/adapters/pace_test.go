package adapters

import (
	"math"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// measuredRequest returns a request for a call that is placed by its work.
func measuredRequest(adapter, prompt int) Request {
	r := testRequest(adapter)
	r.Size, r.MaxGap = bamboorail.CallSize{Prompt: prompt, Output: 100}, 300*time.Millisecond
	return r
}

// runCalls places calls, 50 ms apart, and reports what engines of the given speeds take.
func runCalls(t *testing.T, p *Planner, speeds []float64, calls int, now time.Time) time.Time {
	t.Helper()
	const read, event = 60 * time.Microsecond, 36 * time.Millisecond // a prompt token, an event, at speed 1
	for n := range calls {
		now = now.Add(50 * time.Millisecond)
		r := measuredRequest(0, 1000)
		r.Key.Adapter = ""
		for other := range speeds {
			if other != n%len(speeds) {
				r.Avoid = append(r.Avoid, engineID(other).Name)
			}
		}
		got, ok := p.Place(r, now)
		if !ok {
			t.Fatal("not placed")
		}
		speed := speeds[n%len(speeds)]
		slower := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
		p.RecordTiming(got.Ticket, Timing{FirstEvent: slower(1000*read + event), Event: slower(event)}, now.Add(time.Second))
		p.End(got.Ticket)
	}
	return now
}

// TestPaceIsLearned guards against engines that are loaded alike although their speeds differ,
// against a new engine that counts as the fastest or slowest one, and against an engine that is
// never tried again.
func TestPaceIsLearned(t *testing.T) {
	const tolerance = 0.1
	speeds := []float64{0.6, 1, 1.6}
	cases := map[string]struct {
		then     func(t *testing.T, p *Planner, now time.Time) time.Time
		expected []float64
	}{
		"three speeds": {func(_ *testing.T, _ *Planner, now time.Time) time.Time { return now }, speeds},
		"an engine becomes slow": {func(t *testing.T, p *Planner, now time.Time) time.Time {
			return runCalls(t, p, []float64{0.6, 1, 0.64}, 60, now)
		}, []float64{0.6, 1, 0.64}},
		"an engine starts again": {func(_ *testing.T, p *Planner, now time.Time) time.Time {
			entries := []bamboorail.TargetEntry{p.engines["e0"].entry, p.engines["e1"].entry, p.engines["e2"].entry}
			entries[0].ID.StartMillis++
			p.SetEngines(entries, func(string) int { return 4 }, now)
			return now
		}, []float64{1, 1, 1.6}},
		"no calls for long": {func(_ *testing.T, _ *Planner, now time.Time) time.Time { return now.Add(20 * paceHalfLife) }, []float64{1, 1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(len(speeds), 4)
			now := c.then(t, p, runCalls(t, p, speeds, 60, start)).Add(paceInterval)
			p.refreshPaces(now)
			for n, speed := range c.expected {
				pace := p.engines[engineID(n).Name].pace
				for what, got := range map[string]float64{"reading": 60e3 / pace.read.value, "events": 36e6 / pace.event.value} {
					if math.Abs(got/speed-1) > tolerance {
						t.Errorf("engine %d has a speed of %.2f in %s, expected %.2f", n, got, what, speed)
					}
				}
			}
		})
	}
}

// TestTimingsThatMeanNothingAreIgnored guards against a report that makes an engine useless.
func TestTimingsThatMeanNothingAreIgnored(t *testing.T) {
	cases := map[string]Timing{
		"unknown":   {},
		"negative":  {FirstEvent: -time.Second, Event: -time.Second, LongestGap: -time.Second},
		"very long": {FirstEvent: math.MaxInt64, Event: math.MaxInt64, LongestGap: math.MaxInt64},
		"very fast": {FirstEvent: 1, Event: 1, LongestGap: 1},
	}
	for name, timing := range cases {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(2, 4)
			now := runCalls(t, p, []float64{1, 1}, 20, start)
			p.RecordTiming(1e6, timing, now)
			got, ok := p.Place(measuredRequest(1, 1000), now)
			if !ok {
				t.Fatal("not placed")
			}
			p.RecordTiming(got.Ticket, timing, now)
			p.refreshPaces(now.Add(paceInterval))
			for name, e := range p.engines {
				if r := 60e3 / e.pace.read.value; r < 0.6 || r > 1.6 {
					t.Errorf("%s has a speed of %.2f after one report", name, r)
				}
			}
		})
	}
}

// TestPromptsAreReadOneAfterTheOther guards against a prompt that counts before its adapter is
// loaded, or for longer than it is read.
func TestPromptsAreReadOneAfterTheOther(t *testing.T) {
	const ms = time.Millisecond
	at := start.Add
	cases := map[string]struct {
		add      func(b *backlog)
		at, wait time.Duration
	}{
		"nothing":             {func(*backlog) {}, 0, 0},
		"two prompts":         {func(b *backlog) { b.add(at(0), 30*ms, at(0)); b.add(at(0), 20*ms, at(0)) }, 10 * ms, 40 * ms},
		"read":                {func(b *backlog) { b.add(at(0), 30*ms, at(0)) }, 40 * ms, 0},
		"before a load ends":  {func(b *backlog) { b.add(at(300*ms), 30*ms, at(0)) }, 100 * ms, 0},
		"after a load ended":  {func(b *backlog) { b.add(at(300*ms), 30*ms, at(0)) }, 310 * ms, 20 * ms},
		"a load between":      {func(b *backlog) { b.add(at(300*ms), 30*ms, at(0)); b.add(at(100*ms), 30*ms, at(100*ms)) }, 110 * ms, 20 * ms},
		"kept after the load": {func(b *backlog) { b.add(at(300*ms), 30*ms, at(0)); b.add(at(310*ms), 30*ms, at(310*ms)) }, 310 * ms, 50 * ms},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := &backlog{}
			c.add(b)
			if got := b.wait(at(c.at)); got != c.wait {
				t.Errorf("wait %v, expected %v", got, c.wait)
			}
		})
	}
}

// TestWorkOfEnginesIsShown guards against figures for operators that differ from those that
// decide.
func TestWorkOfEnginesIsShown(t *testing.T) {
	p := newTestPlanner(2, 4)
	now := runCalls(t, p, []float64{1, 1}, 60, start).Add(time.Second)
	got, _ := p.Place(measuredRequest(1, 2000), now)
	p.RecordTiming(got.Ticket, Timing{LongestGap: time.Second}, now)
	for _, w := range p.Work(now) {
		placed := w.Name == got.Target.ID.Name
		if w.ReadRate < 15 || w.ReadRate > 18 || w.Event < 34*time.Millisecond || w.Event > 38*time.Millisecond {
			t.Errorf("%+v", w)
		}
		if placed != (w.Running == 1) || placed != (w.Tokens == 2100) || placed != (w.GapRisk > 0) || !placed && w.Backlog > 0 {
			t.Errorf("call placed there %t: %+v", placed, w)
		}
	}
}
