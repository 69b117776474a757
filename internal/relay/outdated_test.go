package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
)

// TestCallIsWithdrawnBeforeItsVersionExpires guards against calls that begin in the queue of a target on
// an expired adapter version (incident archive-queued-version).
func TestCallIsWithdrawnBeforeItsVersionExpires(t *testing.T) {
	const wait = 100 * time.Millisecond
	// late answers after the call should have begun.
	late := func(then script) script {
		return func(c net.Conn, r *http.Request) bool {
			time.Sleep(3 * wait)
			return then(c, r)
		}
	}
	whole := stream(true, event(1), event(2))
	never := resumable
	never.Repeat = bamboorail.RepeatNever
	at := func(d time.Duration) func() func(time.Time) time.Time {
		return func() func(time.Time) time.Time {
			by := time.Now().Add(d)
			return func(time.Time) time.Time { return by }
		}
	}
	cases := map[string]struct {
		route   bamboorail.RouteSpec
		first   script
		beginBy func() func(now time.Time) time.Time
		status  int
		// repeated is set if the second target must get the call.
		repeated bool
	}{
		"no newer version":     {route: resumable, first: late(whole), beginBy: func() func(time.Time) time.Time { return func(now time.Time) time.Time { return now.Add(wait) } }, status: http.StatusOK},
		"begun in time":        {route: resumable, first: whole, beginBy: at(wait), status: http.StatusOK},
		"waits for too long":   {route: resumable, first: late(whole), beginBy: at(wait), status: http.StatusOK, repeated: true},
		"expired before":       {route: resumable, first: late(whole), beginBy: at(-wait), status: http.StatusOK, repeated: true},
		"must not be repeated": {route: never, first: late(whole), beginBy: at(wait), status: http.StatusBadGateway},
		"released while it waits": {route: resumable, first: late(whole), status: http.StatusOK, repeated: true, beginBy: func() func(time.Time) time.Time {
			var asked atomic.Int64
			return func(now time.Time) time.Time {
				if asked.Add(1) == 1 {
					return now.Add(wait)
				}
				return now
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first, second := newTarget(t, "first", c.first), newTarget(t, "second", whole)
			b := newTestRelay(t, c.route, first, second)
			b.chooser.beginBy = c.beginBy()
			r := b.call(t, http.MethodPost, "/p/x", "body")
			if r.status != c.status || r.broken {
				t.Errorf("answer %+v", r)
			}
			if repeated := len(second.seen()) > 0; repeated != c.repeated {
				t.Errorf("repeated at the second target: %t", repeated)
			}
		})
	}
}
