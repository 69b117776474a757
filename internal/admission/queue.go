// Package admission decides in which order the waiting requests of a target
// are served and which requests are refused. It does no I/O.
package admission

import (
	"slices"
	"strings"
	"time"

	"bamboorail.example/bamboorail"
)

// QueuedRequest is one waiting request.
type QueuedRequest struct {
	work     *bamboorail.Request
	enqueued time.Time
	granted  chan Grant
}

// Grant is the decision on an item: a handle to run on, or an error.
type Grant struct {
	Handle bamboorail.Handle
	// LoadWait is the time for which the request waited for its adapter.
	LoadWait time.Duration
	Err      error
}

// NewQueuedRequest returns an item for a request that arrived at now.
func NewQueuedRequest(w *bamboorail.Request, now time.Time) *QueuedRequest {
	return &QueuedRequest{work: w, enqueued: now, granted: make(chan Grant, 1)}
}

// Request returns the request.
func (i *QueuedRequest) Request() *bamboorail.Request { return i.work }

// Enqueued returns the time of arrival.
func (i *QueuedRequest) Enqueued() time.Time { return i.enqueued }

// Granted returns the channel that carries the decision once.
func (i *QueuedRequest) Granted() <-chan Grant { return i.granted }

// Decide delivers the decision. It must be called once.
func (i *QueuedRequest) Decide(g Grant) { i.granted <- g }

// Queue orders requests by priority class, then fairly between callers by
// weighted cost in tokens, then by arrival.
type Queue struct {
	shares map[string]*share
	size   int
	// cost holds the estimated tokens of the waiting requests by priority.
	cost [2]int
	// clock is the virtual time: the share position of the caller that was
	// served last. A caller that returns after idling starts there.
	clock float64
	// perModel counts the waiting requests of each model.
	perModel map[bamboorail.ModelRef]*Waiting
}

// share is the state of one caller.
type share struct {
	caller string
	weight float64
	// position grows by cost/weight with each served request.
	position float64
	items    [2][]*QueuedRequest // by priority
}

// Waiting summarizes the waiting requests of one model.
type Waiting struct {
	Count  int
	Weight int
	Cost   int
	// arrivals is the sum of arrival times in seconds after epoch, by weight.
	arrivals float64
}

// epoch keeps sums of arrival times small enough to be exact.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Age returns the weighted seconds that the requests have waited until now.
func (w *Waiting) Age(now time.Time) float64 {
	return now.Sub(epoch).Seconds()*float64(w.Weight) - w.arrivals
}

// MeanAge returns the mean time that the requests have waited until now.
func (w *Waiting) MeanAge(now time.Time) time.Duration {
	return time.Duration(w.Age(now) / float64(max(1, w.Weight)) * float64(time.Second))
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{shares: map[string]*share{}, perModel: map[bamboorail.ModelRef]*Waiting{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// CostBefore returns the estimated tokens of the waiting requests that are
// served before or among those of a priority class.
func (q *Queue) CostBefore(p bamboorail.Priority) int {
	cost := 0
	for class := p; int(class) < len(q.cost); class++ {
		cost += q.cost[class]
	}
	return cost
}

// Models returns the waiting requests by model. The caller must not change it.
func (q *Queue) Models() map[bamboorail.ModelRef]*Waiting { return q.perModel }

// Push adds a request.
func (q *Queue) Push(i *QueuedRequest) {
	s, ok := q.shares[i.work.Caller]
	if !ok {
		s = &share{caller: i.work.Caller}
		q.shares[i.work.Caller] = s
	}
	if s.empty() {
		s.position = max(s.position, q.clock)
	}
	s.weight = float64(max(1, i.work.Weight))
	p := i.work.Priority
	s.items[p] = append(s.items[p], i)
	q.count(i, 1)
}

func (s *share) empty() bool { return len(s.items[0])+len(s.items[1]) == 0 }

func (q *Queue) count(i *QueuedRequest, sign int) {
	q.size += sign
	q.cost[i.work.Priority] += sign * i.work.Tokens
	w, ok := q.perModel[i.work.Model]
	if !ok {
		w = &Waiting{}
		q.perModel[i.work.Model] = w
	}
	weight := max(1, i.work.Weight)
	w.Count += sign
	w.Weight += sign * weight
	w.Cost += sign * i.work.Tokens
	w.arrivals += float64(sign*weight) * i.enqueued.Sub(epoch).Seconds()
	if w.Count == 0 {
		delete(q.perModel, i.work.Model)
	}
}

// Pop removes and returns the next request whose model may run, or nil.
func (q *Queue) Pop(mayRun func(bamboorail.ModelRef) bool) *QueuedRequest {
	for _, p := range []bamboorail.Priority{bamboorail.PriorityInteractive, bamboorail.PriorityBatch} {
		var best *share
		var at int
		for _, s := range q.shares {
			if best != nil && !s.before(best) {
				continue
			}
			if n := slices.IndexFunc(s.items[p], func(i *QueuedRequest) bool { return mayRun(i.work.Model) }); n >= 0 {
				best, at = s, n
			}
		}
		if best != nil {
			return q.take(best, p, at)
		}
	}
	return nil
}

// before orders shares by position and then by name, so that the order of
// service does not depend on the order of a map.
func (s *share) before(o *share) bool {
	if s.position != o.position {
		return s.position < o.position
	}
	return strings.Compare(s.caller, o.caller) < 0
}

func (q *Queue) take(s *share, p bamboorail.Priority, at int) *QueuedRequest {
	i := s.items[p][at]
	s.items[p] = slices.Delete(s.items[p], at, at+1)
	q.count(i, -1)
	q.clock = max(q.clock, s.position)
	s.position += float64(i.work.Tokens) / s.weight
	return i
}

// Settle corrects the share of a caller by the difference between the tokens
// that a request used and its estimate.
func (q *Queue) Settle(w *bamboorail.Request, used int) {
	if s, ok := q.shares[w.Caller]; ok {
		s.position += float64(used-w.Tokens) / s.weight
	}
}

// Remove takes a request out of the queue. It reports whether it was there.
func (q *Queue) Remove(item *QueuedRequest) bool {
	s, ok := q.shares[item.work.Caller]
	if !ok {
		return false
	}
	p := item.work.Priority
	n := slices.Index(s.items[p], item)
	if n < 0 {
		return false
	}
	s.items[p] = slices.Delete(s.items[p], n, n+1)
	q.count(item, -1)
	return true
}

// TakeIf removes and returns the requests for which f holds, in the order of
// their arrival.
func (q *Queue) TakeIf(f func(*QueuedRequest) bool) []*QueuedRequest {
	var taken []*QueuedRequest
	for _, s := range q.shares {
		for p := range s.items {
			s.items[p] = slices.DeleteFunc(s.items[p], func(i *QueuedRequest) bool {
				if !f(i) {
					return false
				}
				taken = append(taken, i)
				q.count(i, -1)
				return true
			})
		}
	}
	slices.SortFunc(taken, func(a, b *QueuedRequest) int {
		if c := a.enqueued.Compare(b.enqueued); c != 0 {
			return c
		}
		return strings.Compare(a.work.RequestID, b.work.RequestID)
	})
	return taken
}

// idleShares is the number of idle callers whose position is remembered.
const idleShares = 1024

// Compact forgets callers that have no waiting requests and no debt.
func (q *Queue) Compact() {
	if len(q.shares) <= idleShares {
		return
	}
	for name, s := range q.shares {
		if s.empty() && s.position <= q.clock {
			delete(q.shares, name)
		}
	}
}

// Items returns the waiting requests in no particular order.
func (q *Queue) Items() []*QueuedRequest {
	items := make([]*QueuedRequest, 0, q.size)
	for _, s := range q.shares {
		for _, list := range s.items {
			items = append(items, list...)
		}
	}
	return items
}
