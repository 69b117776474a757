package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/retry"
	"bamboorail.example/bamboorail/internal/task"
)

// parts sends the head of a stream and its parts, each after a pause. It ends the stream
// properly if complete is set.
func parts(complete bool, pauses []time.Duration, parts ...string) script {
	return func(c net.Conn, r *http.Request) bool {
		stream(false)(c, r)
		for n, p := range parts {
			time.Sleep(pauses[n])
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(p), p)
		}
		if len(pauses) > len(parts) {
			time.Sleep(pauses[len(parts)])
		}
		if complete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
		return complete
	}
}

// refusing is the script of a target that accepts no connection.
var refusing script

const (
	// brief is more than the attempt timeouts of the test routes, pause more than that
	// of an event, and long more than that of the shortest call.
	brief = 800 * time.Millisecond
	pause = 1500 * time.Millisecond
	long  = 4 * time.Second
)

// standbyCase is a call whose first target is silent for a while.
type standbyCase struct {
	spec bamboorail.RouteSpec
	// targets are the scripts of the targets, in the order in which they are chosen.
	targets  [][]script
	status   int // 200 if 0
	expected string
	// arrived are the requests that reach each target.
	arrived []int
	// taken is the part of the retry budget that is used.
	taken int
	// results are those of the reservations, in any order; not checked if nil.
	results []balance.Result
}

func standbyCases() map[string]standbyCase {
	plain, text := always, resumable
	plain.Objective, text.Objective = 300*time.Millisecond, 300*time.Millisecond
	plain3, text3 := plain, text
	plain3.MaxAttempts, text3.MaxAttempts = 3, 3
	whole := event(1) + event(2) + event(3)
	patient := text
	patient.Timeout = 2 * long
	// stalled is less than the time after which a second standby starts.
	const stalled = eventTimeout + standbyRetryDelay/2
	refusal := raw("HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: ID\r\nContent-Length: 0\r\n\r\n")
	dark := silentFor(long, answer("late"))
	silentHead := parts(false, []time.Duration{long})
	failing := silentFor(brief, answerStatus(http.StatusInternalServerError))
	one := func(list ...script) [][]script {
		var out [][]script
		for _, s := range list {
			out = append(out, []script{s})
		}
		return out
	}
	return map[string]standbyCase{
		"attempts before the head count": {
			spec: text, expected: event(1) + event(2), arrived: []int{1, 1, 0}, taken: 1,
			targets: one(silentFor(time.Second, parts(true, []time.Duration{0, pause}, event(1), event(2))), dark, dark),
		},
		"failure after a silence, another answers": {
			spec: plain, targets: one(failing, silentFor(brief*3/4, answer("whole"))), expected: "whole", arrived: []int{1, 1}, taken: 1,
		},
		"failure after a silence, another is silent": {
			spec: plain, targets: one(failing, dark), status: http.StatusInternalServerError, arrived: []int{1, 1}, taken: 1,
		},
		"replaced attempt begins late": {
			spec: text, targets: one(pausingStream(pause), silentHead), expected: whole, arrived: []int{1, 1}, taken: 1,
			results: []balance.Result{balance.Answered, balance.Abandoned},
		},
		"unreachable targets cost no budget": {
			spec: text, targets: one(pausingStream(2*pause), refusing, refusing), expected: whole, arrived: []int{1, 0, 0},
		},
		"two targets are silent": {
			spec: text3, targets: one(dark, dark, stream(true, event(1))), expected: event(1), arrived: []int{1, 1, 1}, taken: 2,
		},
		"two targets are silent, plain call": {
			spec: plain3, targets: one(dark, dark, answer("whole")), expected: "whole", arrived: []int{1, 1, 1}, taken: 2,
		},
		"breaks beside a silent one": {
			spec: text3, targets: one(parts(false, []time.Duration{0, pause}, event(1)), dark, stream(true, event(2), event(3))),
			expected: whole, arrived: []int{1, 1, 1}, taken: 2,
		},
		"superseded, then needed": {
			spec: text3, expected: whole, arrived: []int{1, 2}, taken: 2,
			targets: [][]script{{parts(false, []time.Duration{0, pause, 0}, event(1), event(2))}, {dark, stream(true, event(3))}},
		},
		"successor is silent too": {
			spec: text3, targets: one(pausingStream(long), parts(false, []time.Duration{0, long}, event(2)), stream(true, event(3))),
			expected: whole, arrived: []int{1, 1, 1}, taken: 2,
		},
		"head only, another does not fit": {
			spec: text, targets: one(parts(true, []time.Duration{pause, 0}, event(1), event(2)), answerStatus(http.StatusNotFound)),
			expected: event(1) + event(2), arrived: []int{1, 1}, taken: 1,
		},
		"head late, then silent": {
			spec: text3, targets: one(silentFor(600*time.Millisecond, parts(false, []time.Duration{long})), stream(true, event(1), event(2))),
			expected: event(1) + event(2), arrived: []int{1, 1}, taken: 1,
		},
		"refused before the head": {
			spec: text3, expected: event(1) + event(2), arrived: []int{1, 1, 1}, taken: 2,
			targets: one(silentFor(brief, parts(false, []time.Duration{0, long}, event(1))), refusal, stream(true, event(2))),
		},
		"refused in three silences, then broken": {
			spec: patient, expected: event(1) + ": x\n\n" + event(2) + event(3), arrived: []int{1, 1, 1, 1, 1}, taken: 4,
			targets: one(parts(false, []time.Duration{0, stalled, stalled, stalled}, event(1), ": x\n\n", event(2)), refusal, refusal, refusal, stream(true, event(3))),
		},
		"half an event, cut":    {spec: text, targets: one(pausingStream(pause), stream(false, "id: 2\nda")), expected: whole, arrived: []int{1, 1}, taken: 1},
		"half an event, silent": {spec: text, targets: one(pausingStream(pause), parts(false, []time.Duration{0, long}, "id: 2\nda")), expected: whole, arrived: []int{1, 1}, taken: 1},
		"comment, silent":       {spec: text, targets: one(pausingStream(pause), parts(false, []time.Duration{0, long}, ": x\n\n")), expected: whole, arrived: []int{1, 1}, taken: 1},
		"no event":              {spec: text, targets: one(pausingStream(pause), stream(true)), expected: whole, arrived: []int{1, 1}, taken: 1},
		"half an answer":        {spec: plain, targets: one(silentFor(brief, answer("whole")), raw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 10\r\n\r\nhal")), expected: "whole", arrived: []int{1, 1}, taken: 1},
		"head of an answer, silent": {spec: plain, targets: one(silentFor(brief, answer("whole")), func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\n", r.Header.Get("Id"))
			time.Sleep(long)
			return false
		}), expected: "whole", arrived: []int{1, 1}, taken: 1},
	}
}

// TestStandbyAttemptsKeepTheRules checks what callers get, which requests arrive and what is taken out of the retry budget while targets are silent.
func TestStandbyAttemptsKeepTheRules(t *testing.T) {
	const budget = 10
	for name, c := range standbyCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var targets []*fakeTarget
			for n, scripts := range c.targets {
				g := newTarget(t, string(rune('a'+n)), scripts...)
				if scripts[0] == nil {
					_ = g.listener.Close()
				}
				targets = append(targets, g)
			}
			b := newTestRelay(t, c.spec, targets...)
			b.budget = retry.NewWindowBudget(0, budget, time.Minute)
			got := b.call(t, http.MethodPost, "/p/x", "body")
			if got.broken || got.status != max(c.status, http.StatusOK) || got.body != c.expected {
				t.Errorf("answer %+v, expected %q", got, c.expected)
			}
			b.Close()
			for n, g := range targets {
				if arrived := len(g.seen()); arrived != c.arrived[n] {
					t.Errorf("%d requests reached target %s, expected %d", arrived, g.entry.ID.Name, c.arrived[n])
				}
			}
			left := 0
			for b.budget.Take(time.Now()) {
				left++
			}
			if budget-left != c.taken {
				t.Errorf("%d retries taken, expected %d", budget-left, c.taken)
			}
			results := b.chooser.releasedResults()
			slices.Sort(results)
			if c.results != nil && !slices.Equal(results, c.results) {
				t.Errorf("results %v, expected %v", results, c.results)
			}
		})
	}
}

// TestUnreachableTargetIsNotTriedAgain guards against a call that is sent to the same closed port until its attempts are used up.
func TestUnreachableTargetIsNotTriedAgain(t *testing.T) {
	for name, spec := range map[string]bamboorail.RouteSpec{"once": once, "always": always, "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			closed := newTarget(t, "a")
			_ = closed.listener.Close()
			script := answer("whole")
			if spec.Streaming {
				script = stream(true, event(1))
			}
			b := newTestRelay(t, spec, closed, newTarget(t, "b", script))
			if got := b.call(t, http.MethodPost, "/p/x", "body"); got.status != http.StatusOK || len(b.chooser.releasedResults()) != 2 {
				t.Errorf("answer %+v, results %v", got, b.chooser.releasedResults())
			}
		})
	}
}

// slowDialer delays all connections but the first.
type slowDialer struct {
	delay time.Duration

	mu    sync.Mutex
	dials int
}

func (d *slowDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	first := d.dials == 1
	d.mu.Unlock()
	if !first {
		if err := task.Sleep(ctx, d.delay); err != nil {
			return nil, err
		}
	}
	return NewDialer().DialContext(ctx, network, address)
}

// TestBothTargetsContinueAtOnce checks each event and each reservation if the silent target
// continues, or breaks off, at about the moment at which the other one is answered.
func TestBothTargetsContinueAtOnce(t *testing.T) {
	const (
		offsets = 40
		step    = 200 * time.Microsecond
	)
	// run plays a call and returns the number of requests that arrived.
	run := func(t *testing.T, dialer Dialer, first script) int {
		t.Helper()
		a, spare := newTarget(t, "a", first), newTarget(t, "spare", silentFor(25*time.Millisecond, stream(true, event(2), event(3))))
		b := newTestRelay(t, resumable, a, spare)
		if dialer != nil {
			b.handler.pool = newPool(dialer, b.handler.recordRejection)
		}
		got := b.call(t, http.MethodPost, "/p/x", "body")
		if got.broken || got.body != event(1)+event(2)+event(3) {
			t.Errorf("answer %+v", got)
		}
		b.Close()
		arrived := len(a.seen()) + len(spare.seen())
		if reserved, released := b.chooser.reservations(), len(b.chooser.releasedResults()); released != reserved || arrived > reserved {
			t.Errorf("%d of %d reservations released, %d requests arrived", released, reserved, arrived)
		}
		return arrived
	}
	t.Run("no connection to the standby yet", func(t *testing.T) {
		t.Parallel()
		if arrived := run(t, &slowDialer{delay: 10 * eventTimeout}, pausingStream(eventTimeout+30*time.Millisecond)); arrived != 1 {
			t.Errorf("%d requests arrived, expected 1", arrived)
		}
	})
	for n := range offsets {
		silent := eventTimeout + 30*time.Millisecond + time.Duration(n-offsets/2)*step
		for name, first := range map[string]script{
			"continues": pausingStream(silent), "breaks": parts(false, []time.Duration{0, silent}, event(1)),
		} {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				t.Parallel()
				run(t, nil, first)
			})
		}
	}
}

// TestCallWithStandbyEndsAtOnce checks that a call ends with its deadline and its caller,
// whatever its standby attempt waits for.
func TestCallWithStandbyEndsAtOnce(t *testing.T) {
	const (
		deadline = pause + 200*time.Millisecond
		// margin is for a busy machine.
		margin = time.Second
	)
	cases := map[string]struct {
		spare script
		wait  time.Duration
	}{
		"adapter":     {answer("late"), long},
		"head":        {silentFor(long, answer("late")), 0},
		"first event": {parts(false, []time.Duration{long}), 0},
		"next event":  {parts(false, []time.Duration{0, long}, event(2)), 0},
	}
	for name, c := range cases {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, caller leaves %t", name, leaves), func(t *testing.T) {
				t.Parallel()
				spec := resumable
				spec.Timeout = deadline
				if leaves {
					spec.Timeout = 2 * long
				}
				b := newTestRelay(t, spec, newTarget(t, "a", pausingStream(long)), newTarget(t, "spare", c.spare))
				b.chooser.spareWait = c.wait
				ctx, cancel := context.WithTimeout(t.Context(), 2*long)
				defer cancel()
				if leaves {
					time.AfterFunc(deadline, cancel)
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.URL+"/p/x", strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				req.Host = "host.example"
				req.Header.Set("Id", "id-1")
				start := time.Now()
				if resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				b.Close()
				if took := time.Since(start); took > deadline+margin {
					t.Errorf("the call ended after %s", took)
				}
				if slices.Contains(b.chooser.releasedResults(), balance.Failed) {
					t.Errorf("results %v", b.chooser.releasedResults())
				}
			})
		}
	}
}
