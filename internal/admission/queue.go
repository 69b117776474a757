// Package admission decides in which order the waiting requests of a target are
// served and which requests are refused. It performs no I/O.
package admission

import (
	"slices"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
)

// QueuedRequest is a request that waits for a decision.
type QueuedRequest struct {
	request  *bamboorail.Request
	enqueued time.Time
	decided  chan Decision
}

// Decision is the outcome for a queued request: a handle to run on, or an
// error.
type Decision struct {
	Handle bamboorail.Handle
	// LoadWait is the time for which the request waited for the load of its
	// adapter.
	LoadWait time.Duration
	Err      error
}

// NewQueuedRequest returns a queue entry for a request that arrived at now.
func NewQueuedRequest(r *bamboorail.Request, now time.Time) *QueuedRequest {
	return &QueuedRequest{request: r, enqueued: now, decided: make(chan Decision, 1)}
}

// Request returns the request.
func (i *QueuedRequest) Request() *bamboorail.Request { return i.request }

// Enqueued returns the arrival time.
func (i *QueuedRequest) Enqueued() time.Time { return i.enqueued }

// Decided returns a channel that delivers the decision once.
func (i *QueuedRequest) Decided() <-chan Decision { return i.decided }

// Decide delivers the decision. It must be called exactly once.
func (i *QueuedRequest) Decide(g Decision) { i.decided <- g }

// Queue orders requests by priority class, then by weighted fair queuing
// between callers with costs in tokens, then by arrival.
type Queue struct {
	callers map[string]*callerQueue
	size    int
	// cost is the estimated number of tokens of the waiting requests by
	// priority.
	cost [2]int
	// virtualTime is the virtual time of the caller that was served last. A
	// caller that becomes active after being idle starts there.
	virtualTime float64
	// backlogs holds the totals of the waiting requests of each model.
	backlogs map[bamboorail.ModelRef]*Backlog
}

// callerQueue is the state of one caller.
type callerQueue struct {
	caller string
	weight float64
	// virtualTime grows by cost/weight with each request served.
	virtualTime float64
	requests    [2][]*QueuedRequest // by priority
}

// Backlog holds the totals of the waiting requests of one model.
type Backlog struct {
	Count  int
	Weight int
	Cost   int
	// arrivals is the weighted sum of the arrival times in seconds since epoch.
	arrivals float64
}

// epoch keeps the sums of arrival times small enough for exact floating-point
// arithmetic.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Age returns the weighted sum of the seconds that the requests have waited
// until now.
func (b *Backlog) Age(now time.Time) float64 {
	return now.Sub(epoch).Seconds()*float64(b.Weight) - b.arrivals
}

// MeanAge returns the weighted mean of the time that the requests have waited
// until now.
func (b *Backlog) MeanAge(now time.Time) time.Duration {
	return time.Duration(b.Age(now) / float64(max(1, b.Weight)) * float64(time.Second))
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{callers: map[string]*callerQueue{}, backlogs: map[bamboorail.ModelRef]*Backlog{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// CostBefore returns the estimated number of tokens of the waiting requests in
// a priority class and in those served before it.
func (q *Queue) CostBefore(p bamboorail.Priority) int {
	cost := 0
	for class := p; int(class) < len(q.cost); class++ {
		cost += q.cost[class]
	}
	return cost
}

// Backlogs returns the backlog of each model. The result must not be modified.
func (q *Queue) Backlogs() map[bamboorail.ModelRef]*Backlog { return q.backlogs }

// Push adds a request to the queue.
func (q *Queue) Push(i *QueuedRequest) {
	s, ok := q.callers[i.request.Caller]
	if !ok {
		s = &callerQueue{caller: i.request.Caller}
		q.callers[i.request.Caller] = s
	}
	if s.empty() {
		s.virtualTime = max(s.virtualTime, q.virtualTime)
	}
	s.weight = float64(max(1, i.request.Weight))
	p := i.request.Priority
	s.requests[p] = append(s.requests[p], i)
	q.updateCounts(i, 1)
}

func (c *callerQueue) empty() bool { return len(c.requests[0])+len(c.requests[1]) == 0 }

func (q *Queue) updateCounts(i *QueuedRequest, sign int) {
	q.size += sign
	q.cost[i.request.Priority] += sign * i.request.Tokens
	b, ok := q.backlogs[i.request.Model]
	if !ok {
		b = &Backlog{}
		q.backlogs[i.request.Model] = b
	}
	weight := max(1, i.request.Weight)
	b.Count += sign
	b.Weight += sign * weight
	b.Cost += sign * i.request.Tokens
	b.arrivals += float64(sign*weight) * i.enqueued.Sub(epoch).Seconds()
	if b.Count == 0 {
		delete(q.backlogs, i.request.Model)
	}
}

// Pop removes and returns the next request whose model may run, or nil.
func (q *Queue) Pop(mayRun func(bamboorail.ModelRef) bool) *QueuedRequest {
	for _, p := range []bamboorail.Priority{bamboorail.PriorityInteractive, bamboorail.PriorityBatch} {
		var best *callerQueue
		var at int
		for _, s := range q.callers {
			if best != nil && !s.before(best) {
				continue
			}
			if n := slices.IndexFunc(s.requests[p], func(i *QueuedRequest) bool { return mayRun(i.request.Model) }); n >= 0 {
				best, at = s, n
			}
		}
		if best != nil {
			return q.take(best, p, at)
		}
	}
	return nil
}

// before orders callers by virtual time and then by name, so that the order of
// service does not depend on map iteration.
func (c *callerQueue) before(o *callerQueue) bool {
	if c.virtualTime != o.virtualTime {
		return c.virtualTime < o.virtualTime
	}
	return strings.Compare(c.caller, o.caller) < 0
}

func (q *Queue) take(c *callerQueue, p bamboorail.Priority, at int) *QueuedRequest {
	i := c.requests[p][at]
	c.requests[p] = slices.Delete(c.requests[p], at, at+1)
	q.updateCounts(i, -1)
	q.virtualTime = max(q.virtualTime, c.virtualTime)
	c.virtualTime += float64(i.request.Tokens) / c.weight
	return i
}

// AdjustCost corrects the virtual time of a caller by the difference between
// the tokens that a request used and its estimate.
func (q *Queue) AdjustCost(r *bamboorail.Request, used int) {
	if s, ok := q.callers[r.Caller]; ok {
		s.virtualTime += float64(used-r.Tokens) / s.weight
	}
}

// Remove removes a request from the queue and reports whether it was there.
func (q *Queue) Remove(i *QueuedRequest) bool {
	s, ok := q.callers[i.request.Caller]
	if !ok {
		return false
	}
	p := i.request.Priority
	n := slices.Index(s.requests[p], i)
	if n < 0 {
		return false
	}
	s.requests[p] = slices.Delete(s.requests[p], n, n+1)
	q.updateCounts(i, -1)
	return true
}

// TakeIf removes and returns the requests that satisfy f, in order of arrival.
func (q *Queue) TakeIf(f func(*QueuedRequest) bool) []*QueuedRequest {
	var taken []*QueuedRequest
	for _, s := range q.callers {
		for p := range s.requests {
			s.requests[p] = slices.DeleteFunc(s.requests[p], func(i *QueuedRequest) bool {
				if !f(i) {
					return false
				}
				taken = append(taken, i)
				q.updateCounts(i, -1)
				return true
			})
		}
	}
	slices.SortFunc(taken, func(a, b *QueuedRequest) int {
		if c := a.enqueued.Compare(b.enqueued); c != 0 {
			return c
		}
		return strings.Compare(a.request.RequestID, b.request.RequestID)
	})
	return taken
}

// maxIdleCallers is the number of callers up to which idle callers are
// retained.
const maxIdleCallers = 1024

// Compact drops idle callers whose virtual time is not ahead of that of the
// queue.
func (q *Queue) Compact() {
	if len(q.callers) <= maxIdleCallers {
		return
	}
	for name, s := range q.callers {
		if s.empty() && s.virtualTime <= q.virtualTime {
			delete(q.callers, name)
		}
	}
}

// Requests returns the waiting requests in no particular order.
func (q *Queue) Requests() []*QueuedRequest {
	items := make([]*QueuedRequest, 0, q.size)
	for _, s := range q.callers {
		for _, list := range s.requests {
			items = append(items, list...)
		}
	}
	return items
}
