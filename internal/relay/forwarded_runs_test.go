package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/retry"
)

// testInstances are instances with two targets each, through which a relay forwards its calls.
type testInstances struct {
	relays  []*testRelay
	targets [][2]*fakeTarget
}

// forwardThrough adds instances whose targets have the given scripts to a relay.
func (b *testRelay) forwardThrough(t *testing.T, spec bamboorail.RouteSpec, scripts [][2][]script) testInstances {
	t.Helper()
	all := testInstances{}
	b.detour.neighbors = map[string]func(ctx context.Context, f ForwardCall) (ForwardedAnswer, error){}
	for n, s := range scripts {
		address := fmt.Sprint("instance-", n)
		first, second := newTarget(t, address+"-first", s[0]...), newTarget(t, address+"-second", s[1]...)
		first.entry.Software, second.entry.Software = "v1", "v1"
		other := newTestRelay(t, spec, first, second)
		all.relays, all.targets = append(all.relays, other), append(all.targets, [2]*fakeTarget{first, second})
		b.detour.order = append(b.detour.order, address)
		b.detour.neighbors[address] = other.through
	}
	return all
}

// arrived returns the number of requests that reached the targets of each instance.
func (i testInstances) arrived() []int {
	list := []int{}
	for _, pair := range i.targets {
		list = append(list, len(pair[0].seen())+len(pair[1].seen()))
	}
	return list
}

// TestRunsOfForwardedCallsCount guards against calls that run on more targets than their route
// permits, through several instances that each repeat them, one after the other or at the same time
// (incidents archive-attempts-through-others, coupons-attempts-beside-a-standby), and against calls
// that are not repeated although their route permits it.
func TestRunsOfForwardedCallsCount(t *testing.T) {
	repeats := func(rule bamboorail.RepeatRule, attempts int) bamboorail.RouteSpec {
		return bamboorail.RouteSpec{Repeat: rule, MaxAttempts: attempts, Streaming: rule == bamboorail.RepeatResume, Objective: 300 * time.Millisecond}
	}
	two, three := repeats(bamboorail.RepeatAlways, 2), repeats(bamboorail.RepeatAlways, 3)
	streams2, streams3 := repeats(bamboorail.RepeatResume, 2), repeats(bamboorail.RepeatResume, 3)
	part := raw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\npart")
	failure, dark := answerStatus(http.StatusInternalServerError), silentFor(long, answer("late"))
	refusal := raw("HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: ID\r\nContent-Length: 0\r\n\r\n")
	s := func(list ...script) []script { return list }
	cases := map[string]struct {
		route     bamboorail.RouteSpec
		instances [][2][]script
		arrived   []int
		whole     bool
		// spent are the instances without a retry budget.
		spent []int
	}{
		"answers break off, two attempts":    {route: two, instances: [][2][]script{{s(part), s(part)}, {s(part), s(answer("d"))}}, arrived: []int{1, 1}},
		"answers break off, three attempts":  {route: three, instances: [][2][]script{{s(part), s(answer("c"))}, {s(part), s(part)}}, arrived: []int{2, 1}, whole: true},
		"second answer is whole":             {route: two, instances: [][2][]script{{s(part), s(part)}, {s(answer("c")), s(part)}}, arrived: []int{1, 1}, whole: true},
		"one instance, second answer":        {route: two, instances: [][2][]script{{s(failure), s(answer("c"))}}, arrived: []int{2}, whole: true},
		"one instance, all fail":             {route: three, instances: [][2][]script{{s(failure, failure), s(failure, failure)}}, arrived: []int{2}},
		"failure, then silence":              {route: two, instances: [][2][]script{{s(failure), s(dark)}, {s(dark), s(dark)}, {s(answer("c")), s(answer("d"))}}, arrived: []int{1, 1, 0}, whole: true},
		"silence, then failure":              {route: two, instances: [][2][]script{{s(silentFor(brief, failure)), s(answer("c"))}, {s(silentFor(brief, failure)), s(answer("c"))}, {s(answer("c")), s(answer("d"))}}, arrived: []int{1, 1, 0}},
		"silence, then an answer":            {route: two, instances: [][2][]script{{s(dark), s(answer("c"))}, {s(answer("c")), s(answer("d"))}}, arrived: []int{1, 1}, whole: true},
		"silence, one instance":              {route: two, instances: [][2][]script{{s(silentFor(brief, answer("c"))), s(answer("d"))}}, arrived: []int{1}, whole: true},
		"refusals are repeated there":        {route: two, instances: [][2][]script{{s(refusal), s(answer("c"))}, {s(answer("d")), s(answer("d"))}}, arrived: []int{2, 0}, whole: true},
		"streams break off, two attempts":    {route: streams2, instances: [][2][]script{{s(stream(false, event(1))), s(stream(true, event(3)))}, {s(stream(false, event(2))), s(stream(true, event(3)))}}, arrived: []int{1, 1}},
		"streams break off, three attempts":  {route: streams3, instances: [][2][]script{{s(stream(false, event(1))), s(stream(true, event(3)))}, {s(stream(false, event(2))), s(stream(true, event(3)))}}, arrived: []int{2, 1}, whole: true},
		"stream goes on at the next":         {route: streams2, instances: [][2][]script{{s(stream(false, event(1))), s(dark)}, {s(stream(true, event(2))), s(dark)}}, arrived: []int{1, 1}, whole: true},
		"no budget at the second of three":   {route: two, instances: [][2][]script{{s(failure), s(dark)}, {s(answer("c")), s(answer("c"))}, {s(answer("d")), s(answer("d"))}}, spent: []int{1}, arrived: []int{1, 0, 1}, whole: true},
		"no budget at any of the others":     {route: two, instances: [][2][]script{{s(failure), s(answer("c"))}, {s(answer("d")), s(answer("d"))}}, spent: []int{0, 1}, arrived: []int{1, 0}},
		"no budget elsewhere, here there is": {route: two, instances: [][2][]script{{s(failure), s(answer("c"))}, {s(answer("d")), s(answer("d"))}}, spent: []int{1}, arrived: []int{2, 0}, whole: true},
		"first needs no budget":              {route: two, instances: [][2][]script{{s(answer("c")), s(dark)}}, spent: []int{0}, arrived: []int{1}, whole: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			direct := newTarget(t, "direct", refusal, refusal, refusal)
			b := newTestRelay(t, c.route, direct)
			instances := b.forwardThrough(t, c.route, c.instances)
			// The budget of the forwarding instance is not needed.
			b.budget.Configure(0, 0, time.Minute, time.Now())
			for _, n := range c.spent {
				instances.relays[n].budget = retry.NewWindowBudget(0, 0, time.Minute)
			}
			r := b.call(t, http.MethodPost, "/p/x", "body")
			if whole := r.status == http.StatusOK && !r.broken; whole != c.whole {
				t.Errorf("answer %+v", r)
			}
			if got := instances.arrived(); fmt.Sprint(got) != fmt.Sprint(c.arrived) {
				t.Errorf("%v requests reached the targets of the instances, expected %v", got, c.arrived)
			}
		})
	}
}
