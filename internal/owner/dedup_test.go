package owner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/owner"
	"bamboorail.example/bamboorail/internal/placement"
)

// fakeApplication counts the calls that it receives.
type fakeApplication struct {
	mu    sync.Mutex
	calls map[string]int
	err   error
}

func (f *fakeApplication) Call(_ context.Context, w *bamboorail.Request, s bamboorail.Sink) error {
	f.mu.Lock()
	f.calls[w.RequestID]++
	f.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if f.err != nil {
		return f.err
	}
	return s.Begin(bamboorail.ResponseHead{Status: 200})
}

type nullSink struct{}

func (nullSink) Begin(bamboorail.ResponseHead) error { return nil }
func (nullSink) Write([]byte) error                  { return nil }

func newDeduplicator(history placement.TermHistory, began time.Time, app bamboorail.Application) *owner.Deduplicator {
	d := owner.NewDeduplicator("service/kasa/0", history, began, logflags.Discard().Layer("keeper"))
	d.SetBackends([]owner.Backend{{Name: "kasa-1", Limit: 4, Application: app}})
	return d
}

func TestDeduplicatorChecksRequestIDAge(t *testing.T) {
	for name, c := range map[string]struct {
		issued  time.Duration // relative to the start of the term
		now     time.Duration
		open    bool
		outcome bamboorail.Outcome
		runs    int
	}{
		"fresh":                          {issued: 10 * time.Second, now: 10 * time.Second, runs: 1},
		"issued before the term":         {issued: -time.Second, now: 10 * time.Second, outcome: bamboorail.OutcomeMayHaveRun},
		"issued within the clock skew":   {issued: time.Second, now: 10 * time.Second, outcome: bamboorail.OutcomeMayHaveRun},
		"issued just after the skew":     {issued: 2 * time.Second, now: 10 * time.Second, runs: 1},
		"too old":                        {issued: 5 * time.Second, now: 11 * time.Minute, outcome: bamboorail.OutcomeMayHaveRun},
		"from the future":                {issued: 15 * time.Second, now: 10 * time.Second, outcome: bamboorail.OutcomeNotRun},
		"an earlier owner may still run": {issued: 10 * time.Second, now: 10 * time.Second, open: true, outcome: bamboorail.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				e := placement.TermHistory{Term: 2}
				if c.open {
					e.Earlier = []placement.EarlierTerm{{Term: 1, State: placement.TermOpen}}
				}
				app := &fakeApplication{calls: map[string]int{}}
				d := newDeduplicator(e, began, app)
				time.Sleep(c.now)
				w := &bamboorail.Request{RequestID: "z.1", IssuedAt: began.Add(c.issued), Weight: 1}
				err := d.Dispatch(t.Context(), w, nullSink{})
				if (err == nil) != (c.outcome == "") || (err != nil && bamboorail.FailureOf(err).Outcome != c.outcome) {
					t.Errorf("error %v, expected outcome %q", err, c.outcome)
				}
				if app.calls["z.1"] != c.runs {
					t.Errorf("ran %d times, expected %d", app.calls["z.1"], c.runs)
				}
				if err := d.Dispatch(t.Context(), w, nullSink{}); err == nil {
					t.Error("the repeat ran")
				}
			})
		})
	}
}

func TestDeduplicatorRunsConcurrentRepeatsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		app := &fakeApplication{calls: map[string]int{}}
		d := newDeduplicator(placement.TermHistory{Term: 1}, time.Now(), app)
		time.Sleep(5 * time.Second)
		w := &bamboorail.Request{RequestID: "z.1", IssuedAt: time.Now(), Weight: 1}
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() { _ = d.Dispatch(t.Context(), w, nullSink{}) })
		}
		group.Wait()
		if app.calls["z.1"] != 1 {
			t.Errorf("ran %d times", app.calls["z.1"])
		}
	})
}

func TestDeduplicatorForgetsOnlyCallsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		outcome bamboorail.Outcome
		calls   int
	}{
		"not run":      {bamboorail.OutcomeNotRun, 2},
		"may have run": {bamboorail.OutcomeMayHaveRun, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				app := &fakeApplication{calls: map[string]int{}}
				app.err = &owner.Error{Failure: bamboorail.Failure{Kind: bamboorail.KindTargetFailed, Outcome: c.outcome}}
				d := newDeduplicator(placement.TermHistory{Term: 1}, time.Now(), app)
				time.Sleep(5 * time.Second)
				w := &bamboorail.Request{RequestID: "z.1", IssuedAt: time.Now(), Weight: 1}
				for range 2 {
					_ = d.Dispatch(t.Context(), w, nullSink{})
				}
				if app.calls["z.1"] != c.calls {
					t.Errorf("%d calls, expected %d", app.calls["z.1"], c.calls)
				}
			})
		})
	}
}
