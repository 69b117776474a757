package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/retry"
)

// stall is longer than the timeouts of an attempt, and shorter than callers wait.
const stall = eventTimeout + 400*time.Millisecond

// silentFor waits before s answers.
func silentFor(d time.Duration, s script) script {
	return func(c net.Conn, r *http.Request) bool {
		time.Sleep(d)
		return s(c, r)
	}
}

// pausingStream sends event 1, is silent, and sends the events 2 and 3.
func pausingStream(d time.Duration) script {
	return func(c net.Conn, r *http.Request) bool {
		stream(false, event(1))(c, r)
		time.Sleep(d)
		for n := 2; n <= 3; n++ {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event(n)), event(n))
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

// TestSilenceOfTargetCutsNoAnswer guards against attempts that are given up before another one can take their place (incident archive-silent-targets).
func TestSilenceOfTargetCutsNoAnswer(t *testing.T) {
	plain, streaming := always, resumable
	plain.Objective = 300 * time.Millisecond
	streaming.Objective = 300 * time.Millisecond
	refusal := raw("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	failure := answerStatus(http.StatusInternalServerError)
	routes := map[string]struct {
		spec bamboorail.RouteSpec
		// silent answers after a stall, other does at once.
		silent, other script
		expected      string
	}{
		"stream":                    {streaming, pausingStream(stall), stream(true, event(2), event(3)), event(1) + event(2) + event(3)},
		"stream before first event": {streaming, silentFor(stall, stream(true, event(1), event(2))), stream(true, event(1), event(2)), event(1) + event(2)},
		"plain call":                {plain, silentFor(stall, answer("whole")), answer("whole"), "whole"},
	}
	cases := map[string]struct {
		// spare is the script of the other targets, nil if there are none; other stands
		// for one that answers at once.
		spare script
		other bool
		// wait is the time until a chosen target can run the call.
		wait   time.Duration
		budget float64
		// moves is set if the other target is to answer.
		moves bool
	}{
		"no other target":      {budget: 10},
		"no budget":            {other: true},
		"other answers":        {other: true, budget: 10, moves: true},
		"other refuses":        {spare: refusal, budget: 10},
		"other refuses, once":  {spare: refusal, budget: 1},
		"other fails":          {spare: failure, budget: 10},
		"other resets":         {spare: reset(""), budget: 10},
		"other is silent too":  {spare: silentFor(4*stall, answer("late")), budget: 10},
		"other becomes ready":  {other: true, wait: 200 * time.Millisecond, budget: 10, moves: true},
		"other is ready later": {other: true, wait: stall, budget: 10},
	}
	for route, r := range routes {
		for name, c := range cases {
			t.Run(route+", "+name, func(t *testing.T) {
				t.Parallel()
				if c.other {
					c.spare = r.other
				}
				targets := []*fakeTarget{newTarget(t, "a", r.silent)}
				if c.spare != nil {
					targets = append(targets, newTarget(t, "spare", c.spare), newTarget(t, "last", c.spare))
				}
				b := newTestRelay(t, r.spec, targets...)
				b.budget = retry.NewWindowBudget(0, c.budget, 10*time.Second)
				b.chooser.spareWait = c.wait
				got := b.call(t, http.MethodPost, "/p/x", "body")
				if got.broken || got.status != http.StatusOK || got.body != r.expected {
					t.Errorf("answer %+v, expected %q", got, r.expected)
				}
				sent := 0
				for _, g := range targets[1:] {
					sent += len(g.seen())
				}
				if float64(sent) > c.budget {
					t.Errorf("%d requests reached other targets, with a budget of %.0f", sent, c.budget)
				}
				if c.moves && sent == 0 {
					t.Error("the call was not sent to another target")
				}
			})
		}
	}
}

// answerStatus sends an empty answer with a status.
func answerStatus(status int) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nId: %s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Id"))
		return true
	}
}
