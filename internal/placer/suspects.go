package placer

import (
	"slices"
	"time"

	"bamboorail.example/bamboorail/internal/balance"
	"bamboorail.example/bamboorail/internal/relay"
)

// backoff is the backoff state of an engine or a holder that did not answer.
type backoff struct {
	until    time.Time
	duration time.Duration
}

// next returns the backoff after one more failure, with twice the previous
// duration, bounded by first and last.
func (b backoff) next(first, last time.Duration, now time.Time) backoff {
	duration := max(first, min(2*b.duration, last))
	return backoff{until: now.Add(duration), duration: duration}
}

const (
	// minSuspectPeriod doubles with each failure up to maxSuspectPeriod.
	minSuspectPeriod = time.Second
	maxSuspectPeriod = 4 * time.Second
)

// recordResult updates the suspects with the result of a call to an engine.
func (c *Chooser) recordResult(name string, r balance.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r {
	case balance.Unreachable, balance.Dropped:
		// Calls that fail together count as one failure.
		if now := time.Now(); now.After(c.suspects[name].until) {
			c.suspects[name] = c.suspects[name].next(minSuspectPeriod, maxSuspectPeriod, now)
		}
	case balance.Answered, balance.Refused, balance.Misdirected:
		delete(c.suspects, name)
	case balance.Failed, balance.CutShort, balance.Abandoned:
	}
}

// enginesToAvoid returns the engines that a call should not be sent to: those
// that the request excludes, those that want no requests, and the suspects.
func (c *Chooser) enginesToAvoid(a relay.ChooseRequest) []string {
	now := time.Now()
	closed := c.Advisories.Closed(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.suspects) == 0 && len(closed) == 0 {
		return a.Avoid
	}
	names := slices.Concat(a.Avoid, closed)
	for name, s := range c.suspects {
		switch {
		case now.Before(s.until):
			names = append(names, name)
		case now.Sub(s.until) > suspectRetention:
			delete(c.suspects, name)
		}
	}
	return names
}

// suspectRetention is the time after the end of a suspicion from which an
// earlier failure no longer lengthens the next one.
const suspectRetention = 10 * time.Second
