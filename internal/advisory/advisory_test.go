package advisory

import (
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	target = bamboorail.TargetID{Name: "e", StartMillis: 5}
)

func leaves() bamboorail.Advisory { return bamboorail.Advisory{Leaving: true} }

func quiet(d time.Duration) bamboorail.Advisory { return bamboorail.Advisory{QuietFor: d} }

// step is an event at a time after the start.
type step struct {
	after  time.Duration
	answer *bamboorail.Advisory
	begin  bool
}

func answered(after time.Duration, a bamboorail.Advisory) step { return step{after: after, answer: &a} }

// TestWhatMayBeSent checks the reason for which a target gets no request at a time
// after its answers.
func TestWhatMayBeSent(t *testing.T) {
	cases := map[string]struct {
		steps []step
		at    time.Duration
		want  Reason
	}{
		"nothing said":                 {nil, 0, ReasonNone},
		"leaves":                       {[]step{answered(0, leaves())}, time.Hour, ReasonLeaving},
		"leaves, later silent":         {[]step{answered(0, leaves()), answered(time.Second, bamboorail.Advisory{})}, time.Minute, ReasonLeaving},
		"quiet":                        {[]step{answered(0, quiet(2*time.Second))}, 1999 * time.Millisecond, ReasonQuiet},
		"quiet for less":               {[]step{answered(0, quiet(9*time.Second)), answered(time.Second, quiet(time.Second))}, 8 * time.Second, ReasonQuiet},
		"quiet for more":               {[]step{answered(0, quiet(time.Second)), answered(500*time.Millisecond, quiet(9*time.Second))}, 9 * time.Second, ReasonQuiet},
		"answer to an earlier call":    {[]step{answered(0, quiet(2*time.Second)), answered(time.Second, bamboorail.Advisory{})}, 1900 * time.Millisecond, ReasonQuiet},
		"quiet is over":                {[]step{answered(0, quiet(2*time.Second))}, 2500 * time.Millisecond, ReasonNone},
		"absurdly long":                {[]step{answered(0, quiet(1000*time.Hour))}, maxQuiet + maxReturnSpread, ReasonNone},
		"trial":                        {[]step{answered(0, quiet(time.Second)), {after: 2 * time.Second, begin: true}}, 3 * time.Second, ReasonTrial},
		"trial lost":                   {[]step{answered(0, quiet(time.Second)), {after: 2 * time.Second, begin: true}}, 2*time.Second + trialTimeout, ReasonNone},
		"trial taken":                  {[]step{answered(0, quiet(time.Second)), {after: 2 * time.Second, begin: true}, answered(2100*time.Millisecond, bamboorail.Advisory{})}, 2200 * time.Millisecond, ReasonNone},
		"trial refused":                {[]step{answered(0, quiet(time.Second)), {after: 2 * time.Second, begin: true}, answered(2100*time.Millisecond, quiet(time.Second))}, 3 * time.Second, ReasonQuiet},
		"request without quiet before": {[]step{{after: 0, begin: true}}, time.Second, ReasonNone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := New()
			for _, s := range c.steps {
				if s.answer != nil {
					r.Observe(target, *s.answer, start.Add(s.after))
				}
				if s.begin {
					r.Acquire(target, start.Add(s.after))
				}
			}
			if got, _ := r.Check(target, start.Add(c.at)); got != c.want {
				t.Errorf("reason %q, want %q", got, c.want)
			}
			if closed := len(r.Closed(start.Add(c.at))) > 0; closed != (c.want != ReasonNone) {
				t.Errorf("closed %t", closed)
			}
			if got, _ := r.Check(bamboorail.TargetID{Name: "e", StartMillis: 6}, start.Add(c.at)); got != ReasonNone {
				t.Errorf("reason %q for the next start of the target", got)
			}
		})
	}
}

// TestInstancesReturnOneAfterTheOther checks that the end of a quiet time differs
// from instance to instance.
func TestInstancesReturnOneAfterTheOther(t *testing.T) {
	const quietTime, instances = 4 * time.Second, 64
	ends := map[time.Time]bool{}
	for range instances {
		r := New()
		r.Observe(target, quiet(quietTime), start)
		_, until := r.Check(target, start)
		if d := until.Sub(start); d < quietTime || d > quietTime+maxReturnSpread {
			t.Fatalf("quiet for %s", d)
		}
		ends[until] = true
	}
	if len(ends) < instances/2 {
		t.Errorf("%d instances return at %d times", instances, len(ends))
	}
}

// TestNewReasonsAreReportedOnce checks what is logged.
func TestNewReasonsAreReportedOnce(t *testing.T) {
	r := New()
	both := bamboorail.Advisory{Leaving: true, QuietFor: time.Second}
	if got := r.Observe(target, both, start); len(got) != 2 {
		t.Errorf("reasons %q", got)
	}
	if got := r.Observe(target, both, start.Add(time.Millisecond)); len(got) != 0 {
		t.Errorf("reasons %q again", got)
	}
	if got := r.Observe(target, both, start.Add(time.Minute)); len(got) != 1 || got[0] != ReasonQuiet {
		t.Errorf("reasons %q after a minute", got)
	}
}

// TestTargetsAreForgotten guards against a registry that grows with every target.
func TestTargetsAreForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		live  bool
		after time.Duration
		kept  bool
	}{"live": {true, 2 * retention, true}, "gone": {false, retention, true}, "long gone": {false, 2 * retention, false}} {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Observe(target, leaves(), start)
			r.Expire(func(bamboorail.TargetID) bool { return c.live }, start.Add(c.after))
			if kept := r.IsLeaving(target); kept != c.kept {
				t.Errorf("kept: %t, want %t", kept, c.kept)
			}
		})
	}
}

// TestLimitsOfAnswers checks which limit holds after a series of answers.
func TestLimitsOfAnswers(t *testing.T) {
	named := func(rate float64) bamboorail.Advisory { return bamboorail.Advisory{Limited: true, Limit: rate} }
	cases := map[string]struct {
		answers []bamboorail.Advisory
		rate    float64
		limited bool
		changes int
	}{
		"none":                         {[]bamboorail.Advisory{{}}, 0, false, 0},
		"one":                          {[]bamboorail.Advisory{named(3)}, 3, true, 1},
		"the same again":               {[]bamboorail.Advisory{named(3), named(3)}, 3, true, 1},
		"a higher one":                 {[]bamboorail.Advisory{named(3), named(5)}, 5, true, 2},
		"none any more":                {[]bamboorail.Advisory{named(3), {}}, 0, false, 2},
		"an answer that was not read":  {[]bamboorail.Advisory{named(3), {Partial: true}}, 3, true, 1},
		"one beside what was not read": {[]bamboorail.Advisory{named(3), {Partial: true, Limited: true, Limit: 2}}, 2, true, 2},
		"zero":                         {[]bamboorail.Advisory{named(0)}, 0, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, now, changes := New(), time.Now(), 0
			id := bamboorail.TargetID{Name: "e", StartMillis: 1}
			for n, a := range c.answers {
				if _, changed := r.ObserveLimit(Requests, id, "s", a, now.Add(time.Duration(n)*time.Second)); changed {
					changes++
				}
			}
			rate, limited := r.Limit(id)
			if rate != c.rate || limited != c.limited || changes != c.changes || r.HasLimits() != c.limited {
				t.Errorf("limit %v, %t after %d changes", rate, limited, changes)
			}
			if _, limited := r.Limit(bamboorail.TargetID{Name: "e", StartMillis: 2}); limited {
				t.Error("the next start of the target has the limit")
			}
			r.Expire(func(bamboorail.TargetID) bool { return false }, now.Add(2*retention))
			if r.HasLimits() {
				t.Error("a target that is not live any more has a limit")
			}
		})
	}
}
