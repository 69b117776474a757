// Package ratelimit decides when a target that limits the rate of its requests gets
// the next one. The holder of a zone decides for the zone's targets and all instances.
// The package is not safe for concurrent use and takes the time as an argument.
package ratelimit

import (
	"maps"
	"math/rand/v2"
	"time"

	"bamboorail.example/bamboorail"
)

const (
	// MinRate is the lowest rate, in requests a second, that is applied: without any
	// request there would be no answer that ends the limit.
	MinRate = 0.1
	// maxRate bounds what a target may name, in requests a second.
	maxRate = 1e6
	// burstTime is the capacity of a token bucket, as time at the full rate.
	burstTime = 250 * time.Millisecond
)

// Rates states the limits in force.
type Rates interface {
	HasLimits() bool
	// Limit returns the requests a second that a target takes from all instances
	// together, and false if it has no limit.
	Limit(id bamboorail.TargetID) (float64, bool)
}

// Table counts and grants the requests to the targets of one zone.
type Table struct {
	rates    Rates
	limiters map[bamboorail.TargetID]*limiter
	// sent counts the requests to each target, with or without a limit: a new limit
	// applies to a span that began before it was named.
	sent map[bamboorail.TargetID]*Window
}

// limiter is a token bucket with a bound on the requests in Span.
type limiter struct {
	tokens  float64
	updated time.Time
	// ungranted counts the requests that each instance sent without a grant, denied
	// those that were denied.
	ungranted map[string]*Window
	denied    Window
}

// NewTable returns an empty table.
func NewTable(r Rates) *Table {
	return &Table{rates: r, limiters: map[bamboorail.TargetID]*limiter{}, sent: map[bamboorail.TargetID]*Window{}}
}

// Reset empties the token buckets for a new term of the holder, since its predecessor
// may have granted requests just before.
func (t *Table) Reset() { clear(t.limiters) }

// Retain forgets the targets for which live returns false.
func (t *Table) Retain(live func(bamboorail.TargetID) bool) {
	maps.DeleteFunc(t.sent, func(id bamboorail.TargetID, _ *Window) bool { return !live(id) })
	maps.DeleteFunc(t.limiters, func(id bamboorail.TargetID, _ *limiter) bool { return !live(id) })
}

// HasLimits reports whether any target has a limit.
func (t *Table) HasLimits() bool { return t.rates.HasLimits() }

// Rate returns the requests a second that a target takes, and false if it has no
// limit.
func (t *Table) Rate(id bamboorail.TargetID) (float64, bool) {
	rate, limited := t.rates.Limit(id)
	if !limited {
		return 0, false
	}
	return min(max(rate, MinRate), maxRate), true
}

// Record counts a request to a target.
func (t *Table) Record(id bamboorail.TargetID, now time.Time) {
	w := t.sent[id]
	if w == nil {
		w = &Window{}
		t.sent[id] = w
	}
	w.Add(1, now)
	if rate, limited := t.Rate(id); limited {
		t.limiter(id, rate, now).tokens--
	}
}

// RecordUngranted sets the counts of the requests that an instance sent to a target
// without a grant, by age as returned by Window.Counts.
func (t *Table) RecordUngranted(id bamboorail.TargetID, instance string, counts []int32, now time.Time) {
	rate, limited := t.Rate(id)
	if !limited {
		return
	}
	l := t.limiter(id, rate, now)
	if len(counts) == 0 {
		delete(l.ungranted, instance)
		return
	}
	l.ungranted[instance] = windowOf(counts, now)
}

// Wait returns the time until a target may get its next request, 0 if it may now.
func (t *Table) Wait(id bamboorail.TargetID, now time.Time) time.Duration {
	rate, limited := t.Rate(id)
	if !limited {
		return 0
	}
	l := t.limiter(id, rate, now)
	wait := time.Duration(0)
	if l.tokens < 1 {
		wait = time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	if t.count(id, l, now) >= maxCount(rate) {
		wait = max(wait, bucketSpan)
	}
	return wait
}

// Grant is the result of Acquire.
type Grant struct {
	Granted bool
	// Again is the time after which a denied request may be granted, RetryAfter the
	// delay to suggest to its caller.
	Again, RetryAfter time.Duration
}

// Acquire grants a request to a target, and counts it, or denies it.
func (t *Table) Acquire(id bamboorail.TargetID, now time.Time) Grant {
	wait := t.Wait(id, now)
	if wait == 0 {
		t.Record(id, now)
		return Grant{Granted: true}
	}
	rate, _ := t.Rate(id)
	l := t.limiter(id, rate, now)
	l.denied.Add(1, now)
	// The callers that were denied within a second are expected to retry first.
	backlog := float64(l.denied.Count(now)) / Span.Seconds()
	after := wait + time.Duration(backlog/rate*float64(time.Second))
	return Grant{Again: wait, RetryAfter: after + rand.N(after/retrySpread+1)}
}

// retrySpread is the divisor of a retry time that gives its random part.
const retrySpread = 4

// burst returns the capacity of a token bucket.
func burst(rate float64) float64 { return max(1, rate*burstTime.Seconds()) }

// maxCount returns the bound on the requests in a window.
func maxCount(rate float64) int {
	return int(rate*(Span+bucketSpan).Seconds()+burst(rate)) + 1
}

// limiter returns the limiter of a target, with the tokens up to a time.
func (t *Table) limiter(id bamboorail.TargetID, rate float64, now time.Time) *limiter {
	l := t.limiters[id]
	if l == nil {
		l = &limiter{updated: now, ungranted: map[string]*Window{}}
		t.limiters[id] = l
	}
	if now.After(l.updated) {
		l.tokens = min(l.tokens+rate*now.Sub(l.updated).Seconds(), burst(rate))
		l.updated = now
	}
	return l
}

// count returns the requests to a target in the last Span.
func (t *Table) count(id bamboorail.TargetID, l *limiter, now time.Time) int {
	n := 0
	if w := t.sent[id]; w != nil {
		n = w.Count(now)
	}
	for instance, w := range l.ungranted {
		sent := w.Count(now)
		if sent == 0 {
			delete(l.ungranted, instance)
		}
		n += sent
	}
	return n
}
