package relay

import (
	"time"

	"bamboorail.example/bamboorail"
)

// StartBy returns the latest time at which a call of a route that states no deadline may be sent
// to a target.
func StartBy(r bamboorail.RouteSpec, received time.Time) time.Time {
	x := exchange{route: r, received: received, deadline: received.Add(callTimeout(0, r.Timeout))}
	return x.startDeadline()
}

// CreditWait returns the longest time for which a call of a route waits for credit.
func CreditWait(r bamboorail.RouteSpec) time.Duration {
	if r.Objective > 0 {
		return r.Objective / creditWaitDivisor
	}
	return defaultCreditWait
}
