package placer

import (
	"slices"
	"time"

	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/relay"
)

// suspect is an engine or holder that did not answer.
type suspect struct {
	until time.Time
	pause time.Duration
}

// again returns the suspicion after one more failure, which lasts twice as
// long as the one before.
func (s suspect) again(first, last time.Duration, now time.Time) suspect {
	pause := max(first, min(2*s.pause, last))
	return suspect{until: now.Add(pause), pause: pause}
}

const (
	// firstSuspicion doubles with each failure up to lastSuspicion.
	firstSuspicion = time.Second
	lastSuspicion  = 4 * time.Second
)

// observe takes in how a call at an engine ended.
func (c *Chooser) observe(name string, r balance.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r {
	case balance.Unreachable:
		c.suspects[name] = c.suspects[name].again(firstSuspicion, lastSuspicion, time.Now())
	case balance.Answered, balance.Refused, balance.Misdirected:
		delete(c.suspects, name)
	case balance.Failed, balance.Abandoned:
	}
}

// avoid returns the engines that a call should not be sent to.
func (c *Chooser) avoid(a relay.ChooseRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.suspects) == 0 {
		return a.Avoid
	}
	now := time.Now()
	names := slices.Clone(a.Avoid)
	for name, s := range c.suspects {
		switch {
		case now.Before(s.until):
			names = append(names, name)
		case now.Sub(s.until) > forgetSuspect:
			delete(c.suspects, name)
		}
	}
	return names
}

// forgetSuspect is the time after which a failure no longer lengthens the
// next suspicion.
const forgetSuspect = 10 * time.Second
