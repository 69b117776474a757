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

// TestCutOffRequests: only what planned work cannot help may be cut off.
func TestCutOffRequests(t *testing.T) {
	left := after(time.Minute)
	whole := response{status: http.StatusOK, whole: true, sent: true, written: left, ended: left}
	cut := func(written, ended time.Duration, status int) response {
		return response{sent: true, status: status, written: left.Add(written), ended: left.Add(ended), err: errors.New("EOF")}
	}
	for name, c := range map[string]struct {
		life     life
		frozen   *span
		stalled  span
		response response
		violated bool
		crossed  bool
	}{
		"answered":                       {life: life{started: start, left: left}, response: whole},
		"not sent":                       {life: life{started: start}, response: response{err: errors.New("refused")}},
		"refused without an outcome":     {life: life{started: start}, response: response{status: 503, whole: true, sent: true}, violated: true},
		"cut with nothing planned":       {life: life{started: start}, response: cut(0, time.Second, 0), violated: true},
		"cut in a drain":                 {life: life{started: start, left: left}, response: cut(0, time.Second, 0), violated: true},
		"stream cut in a drain":          {life: life{started: start, left: left}, response: cut(time.Second, time.Second, 200), violated: true},
		"cut in the notice":              {life: life{started: start, left: left}, response: cut(readinessDelay/2, readinessDelay/2, 0), violated: true},
		"crossed the close":              {life: life{started: start, left: left}, response: cut(readinessDelay, readinessDelay+crossingTime, 0), crossed: true},
		"cut too late for a crossing":    {life: life{started: start, left: left}, response: cut(readinessDelay, readinessDelay+crossingTime+1, 0), violated: true},
		"noticed late by a stall":        {life: life{started: start, left: left}, stalled: span{left, left.Add(2 * time.Second)}, response: cut(time.Second, time.Second+2*crossingTime, 0), crossed: true},
		"stalled before the request":     {life: life{started: start, left: left}, stalled: span{left, left.Add(time.Second)}, response: cut(time.Second, time.Second+2*crossingTime, 0), violated: true},
		"cut at the drain timeout":       {life: life{started: start, left: left}, response: cut(time.Second, drainTimeout, 200)},
		"cut before the drain timeout":   {life: life{started: start, left: left}, response: cut(time.Second, drainTimeout-1, 200), violated: true},
		"killed":                         {life: life{started: start, killed: true}, response: cut(0, time.Second, 200)},
		"stands still":                   {life: life{started: start}, frozen: &span{from: left}, response: cut(0, time.Second, 0)},
		"stood still during the request": {life: life{started: start}, frozen: &span{left, left.Add(time.Second)}, response: cut(0, 2*time.Second, 0)},
		"stood still before":             {life: life{started: start}, frozen: &span{start, left}, response: cut(1, time.Second, 0), violated: true},
	} {
		t.Run(name, func(t *testing.T) {
			v := &node{process: &process{name: "vstup-1", lives: []*life{&c.life}}}
			l := newLedger()
			l.stalls = []span{c.stalled}
			if c.frozen != nil {
				l.disturbed[v.name] = []*span{c.frozen}
			}
			l.judge(v, &c.response, "id")
			if got := len(l.violations) > 0; got != c.violated {
				t.Errorf("violations %q", l.violations)
			}
			if c.response.crossed != c.crossed {
				t.Errorf("crossed is %t", c.response.crossed)
			}
			l.compare(nil, map[string]int{"id": 1})
			if c.crossed && len(l.violations) == 0 {
				t.Error("a request that crossed the close and ran is no violation")
			}
		})
	}
}

// TestChangesInForce: an instance that reads the platform knows a change in time.
func TestChangesInForce(t *testing.T) {
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
		"unknown at first":      {model: model{listed: start}, began: early, response: unknown},
		"unknown for too long":  {model: model{listed: start}, began: late, response: unknown, violated: true},
		"retired and unknown":   {model: model{listed: start, retired: start}, began: late, response: unknown},
		"retired a moment ago":  {model: model{retired: start}, began: early, response: served},
		"retired and served":    {model: model{retired: start}, began: late, response: served, violated: true},
		"cut from the platform": {model: model{listed: start}, began: late, response: unknown, disturbed: map[string][]*span{"vstup-1 and the platform": {{from: start}}}},
		"platform was away":     {model: model{listed: start}, began: late, response: unknown, disturbed: map[string][]*span{"platform": {{start, after(1)}}}},
		"platform is long back": {model: model{listed: start}, began: late.Add(1), response: unknown, disturbed: map[string][]*span{"platform": {{start, after(1)}}}, violated: true},
		"another is cut off":    {model: model{listed: start}, began: late, response: unknown, disturbed: map[string][]*span{"vstup-2 and the platform": {{from: start}}}, violated: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			l.disturbed = c.disturbed
			l.inForce(&node{process: &process{name: "vstup-1"}}, c.model, c.began, c.response)
			if got := len(l.violations) > 0; got != c.violated {
				t.Errorf("violations %q", l.violations)
			}
		})
	}
}

// TestEndsOfProcesses: planned signals end a process with exit status 0 only.
func TestEndsOfProcesses(t *testing.T) {
	failed := errors.New("signal: hangup")
	for name, c := range map[string]struct {
		life   life
		err    error
		broken bool
	}{
		"left":                    {life: life{left: start}},
		"left with another state": {life: life{left: start}, err: failed, broken: true},
		"ended by SIGHUP":         {err: failed, broken: true},
		"ended by itself":         {broken: true},
		"killed":                  {life: life{left: start, killed: true}, err: failed},
	} {
		t.Run(name, func(t *testing.T) {
			if how := c.life.broken(c.err); (how != "") != c.broken {
				t.Errorf("broken %q", how)
			}
		})
	}
}

// TestSchedule: a seed gives one schedule, which begins with signals that
// meet a process as it drains.
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
		t.Error("one seed gives two schedules")
	}
	if first == names(2) {
		t.Error("two seeds give one schedule")
	}
	twice := []step{{0, syscall.SIGTERM}, {200 * time.Millisecond, syscall.SIGHUP}}
	if first := names(3); !strings.Contains(first, "vstup-1 gets ["+describe(twice)) {
		t.Errorf("no signal during the drain in\n%s", first)
	}
}
