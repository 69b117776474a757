package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// TestInterruptedRequests: only requests that maintenance cannot spare, such as
// those that race with the close of an idle connection, may be interrupted.
func TestInterruptedRequests(t *testing.T) {
	sigterm := after(time.Minute)
	completed := response{status: http.StatusOK, complete: true, sent: true, written: sigterm, ended: sigterm}
	interrupted := func(written, ended time.Duration, status int) response {
		return response{sent: true, status: status, written: sigterm.Add(written), ended: sigterm.Add(ended), err: errors.New("EOF")}
	}
	for name, c := range map[string]struct {
		incarnation incarnation
		frozen      *span
		stalled     span
		response    response
		violated    bool
		raced       bool
	}{
		"answered":                                    {incarnation: incarnation{started: start, sigtermAt: sigterm}, response: completed},
		"not sent":                                    {incarnation: incarnation{started: start}, response: response{err: errors.New("refused")}},
		"refused without an outcome":                  {incarnation: incarnation{started: start}, response: response{status: 503, complete: true, sent: true}, violated: true},
		"interrupted without maintenance":             {incarnation: incarnation{started: start}, response: interrupted(0, time.Second, 0), violated: true},
		"interrupted while draining":                  {incarnation: incarnation{started: start, sigtermAt: sigterm}, response: interrupted(0, time.Second, 0), violated: true},
		"stream interrupted while draining":           {incarnation: incarnation{started: start, sigtermAt: sigterm}, response: interrupted(time.Second, time.Second, 200), violated: true},
		"interrupted in the readiness delay":          {incarnation: incarnation{started: start, sigtermAt: sigterm}, response: interrupted(readinessDelay/2, readinessDelay/2, 0), violated: true},
		"raced with the idle close":                   {incarnation: incarnation{started: start, sigtermAt: sigterm}, response: interrupted(readinessDelay, readinessDelay+idleCloseRaceWindow, 0), raced: true},
		"interrupted too late for an idle close race": {incarnation: incarnation{started: start, sigtermAt: sigterm}, response: interrupted(readinessDelay, readinessDelay+idleCloseRaceWindow+1, 0), violated: true},
		"close seen late because of a stall":          {incarnation: incarnation{started: start, sigtermAt: sigterm}, stalled: span{sigterm, sigterm.Add(2 * time.Second)}, response: interrupted(time.Second, time.Second+2*idleCloseRaceWindow, 0), raced: true},
		"stalled before the request":                  {incarnation: incarnation{started: start, sigtermAt: sigterm}, stalled: span{sigterm, sigterm.Add(time.Second)}, response: interrupted(time.Second, time.Second+2*idleCloseRaceWindow, 0), violated: true},
		"interrupted at the drain timeout":            {incarnation: incarnation{started: start, sigtermAt: sigterm}, response: interrupted(time.Second, drainTimeout, 200)},
		"interrupted before the drain timeout":        {incarnation: incarnation{started: start, sigtermAt: sigterm}, response: interrupted(time.Second, drainTimeout-1, 200), violated: true},
		"killed":                                      {incarnation: incarnation{started: start, killed: true}, response: interrupted(0, time.Second, 200)},
		"stopped":                                     {incarnation: incarnation{started: start}, frozen: &span{from: sigterm}, response: interrupted(0, time.Second, 0)},
		"stopped during the request":                  {incarnation: incarnation{started: start}, frozen: &span{sigterm, sigterm.Add(time.Second)}, response: interrupted(0, 2*time.Second, 0)},
		"stopped before the request":                  {incarnation: incarnation{started: start}, frozen: &span{start, sigterm}, response: interrupted(1, time.Second, 0), violated: true},
	} {
		t.Run(name, func(t *testing.T) {
			v := &node{process: &process{name: "vstup-1", incarnations: []*incarnation{&c.incarnation}}}
			l := newRecorder()
			l.stalls = []span{c.stalled}
			if c.frozen != nil {
				l.disturbed[v.name] = []*span{c.frozen}
			}
			l.recordResponse(v, &c.response, "id")
			if got := len(l.violations) > 0; got != c.violated {
				t.Errorf("violations %q", l.violations)
			}
			if c.response.racedIdleClose != c.raced {
				t.Errorf("raced is %t", c.response.racedIdleClose)
			}
			l.checkExecutions(nil, map[string]int{"id": 1})
			if c.raced && len(l.violations) == 0 {
				t.Error("no violation for a request that raced with the idle close and ran")
			}
		})
	}
}

// TestConfigurationTime: an instance with access to the platform applies a change
// within configurationTime.
func TestConfigurationTime(t *testing.T) {
	late, early := start.Add(configurationTime+1), start.Add(configurationTime)
	unknown := response{status: http.StatusNotFound, body: `{"error":{"kind":"unknown-version"}}`}
	served := response{status: http.StatusOK}
	for name, c := range map[string]struct {
		model     model
		began     time.Time
		disturbed map[string][]*span
		response  response
		violated  bool
	}{
		"unknown at first":                 {model: model{listed: start}, began: early, response: unknown},
		"unknown for too long":             {model: model{listed: start}, began: late, response: unknown, violated: true},
		"retired and unknown":              {model: model{listed: start, retired: start}, began: late, response: unknown},
		"retired a moment ago":             {model: model{retired: start}, began: early, response: served},
		"retired and served":               {model: model{retired: start}, began: late, response: served, violated: true},
		"disconnected from the platform":   {model: model{listed: start}, began: late, response: unknown, disturbed: map[string][]*span{"vstup-1 and the platform": {{from: start}}}},
		"platform was unavailable":         {model: model{listed: start}, began: late, response: unknown, disturbed: map[string][]*span{"platform": {{start, after(1)}}}},
		"platform available for too long":  {model: model{listed: start}, began: late.Add(1), response: unknown, disturbed: map[string][]*span{"platform": {{start, after(1)}}}, violated: true},
		"another instance is disconnected": {model: model{listed: start}, began: late, response: unknown, disturbed: map[string][]*span{"vstup-2 and the platform": {{from: start}}}, violated: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newRecorder()
			l.disturbed = c.disturbed
			l.checkConfiguration(&node{process: &process{name: "vstup-1"}}, c.model, c.began, c.response)
			if got := len(l.violations) > 0; got != c.violated {
				t.Errorf("violations %q", l.violations)
			}
		})
	}
}

// TestProcessExits: a process must exit only after SIGTERM or SIGKILL, and
// with status 0 if it received only maintenance signals.
func TestProcessExits(t *testing.T) {
	failed := errors.New("signal: hangup")
	for name, c := range map[string]struct {
		incarnation incarnation
		err         error
		broken      bool
	}{
		"SIGTERM":                      {incarnation: incarnation{sigtermAt: start}},
		"SIGTERM, nonzero exit status": {incarnation: incarnation{sigtermAt: start}, err: failed, broken: true},
		"exited on SIGHUP":             {err: failed, broken: true},
		"exited without a signal":      {broken: true},
		"killed":                       {incarnation: incarnation{sigtermAt: start, killed: true}, err: failed},
	} {
		t.Run(name, func(t *testing.T) {
			if how := c.incarnation.unexpectedExit(c.err); (how != "") != c.broken {
				t.Errorf("broken %q", how)
			}
		})
	}
}

// TestSchedule: the same seed gives the same schedule, which begins with
// signals to a process that is draining.
func TestSchedule(t *testing.T) {
	c := &cluster{platform: &process{name: "platform"}, toTargets: []*proxy{nil}, records: []string{""}}
	for n := range baseInstances {
		c.nodes = append(c.nodes, &node{process: &process{name: fmt.Sprint("vstup-", n+1)}})
		c.engines = append(c.engines, &process{name: fmt.Sprint("stroj-", n+1)})
	}
	names := func(seed uint64) string {
		var b strings.Builder
		for _, f := range c.schedule(rand.New(rand.NewPCG(seed, faultStream)), 10*time.Second) {
			fmt.Fprintln(&b, f.at, f.name, f.lasts)
		}
		return b.String()
	}
	first, again := names(1), names(1)
	if first != again {
		t.Error("same seed gave different schedules")
	}
	if first == names(2) {
		t.Error("different seeds gave the same schedule")
	}
	twice := []step{{0, syscall.SIGTERM}, {200 * time.Millisecond, syscall.SIGHUP}}
	if first := names(3); !strings.Contains(first, "vstup-1 receives ["+describe(twice)) {
		t.Errorf("no signal during the drain in\n%s", first)
	}
}
