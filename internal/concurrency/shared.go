package concurrency

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pressurePeriod is the time for which a target counts as under pressure after it
	// refused a call or had no free permit.
	pressurePeriod = 3 * time.Second
	// onsetPeriod is the time from the beginning of pressure in which refusals don't bring the
	// permits below the slots: instances without that information fill the target.
	onsetPeriod = time.Second
	// placeShare is the number of permits beyond the slots of a target, as a part of the
	// slots. The end of a call takes up to 15 ms to the holder and the next call as long to
	// the target, half of the time of a short call.
	placeShare = 0.75
	// initialHold is assumed as the time of a permit until one has ended, holdWeight is the
	// weight of a new observation.
	initialHold = 100 * time.Millisecond
	holdWeight  = 0.05
	// minFree is the least part of the rate of a target that is assumed to be left for a
	// class of calls.
	minFree = 0.005
	// A permit expires after longFactor times the usual time, but not before minLong: the
	// instance may have lost its connection to the holder.
	longFactor = 6
	minLong    = 500 * time.Millisecond
	// admitShare is the part of its longest wait that a call may be expected to wait. The
	// expectation varies by about a third with the arrivals of more urgent calls.
	admitShare = 0.6
	// shedFactor and shedMargin keep the noise of the estimate from ending waits that would
	// have been granted.
	shedFactor = 1.5
	shedMargin = 20 * time.Millisecond
	// maxWaiters bounds the calls that wait for one target.
	maxWaiters = 2048
	// minDrain and maxDrain bound the time after which a refused call may come back.
	minDrain = 100 * time.Millisecond
	maxDrain = 3 * time.Second
)

// SharedRequest is a request for a permit of a target whose slots all instances share.
type SharedRequest struct {
	Target   string
	Instance string
	// Slots is the number of calls that the target runs at once, Share the part of its
	// permits that may be granted.
	Slots int
	Share float64
	// Priority is the priority of the call, 0 the most urgent. Late calls come after the
	// others of their priority.
	Priority int
	Late     bool
	// Workspace shares the permits of its priority by Weight; 0 counts as 1.
	Workspace string
	Weight    float64
	// Wait is the time for which the call may wait, Timeout that within which it ends.
	Wait, Timeout time.Duration
}

// class returns the order in which the calls of requests are served.
func (r SharedRequest) class() int {
	if r.Late {
		return 2*r.Priority + 1
	}
	return 2 * r.Priority
}

// SharedGrant is the answer to a shared request.
type SharedGrant struct {
	// Permit is the number of the permit, 0 if there is none.
	Permit uint64
	// Waiter is the number under which the call waits, 0 if it does not.
	Waiter uint64
	// Expected is the expected wait of another such call of the same workspace.
	Expected time.Duration
	// RetryAfter is the time after which a refused call may come back, with a random part.
	RetryAfter time.Duration
	// Pressed is set while the target is under pressure.
	Pressed bool
}

type waiter struct {
	number  uint64
	request SharedRequest
	// tag is the place of the call among the workspaces of its class.
	tag   float64
	since time.Time
	until time.Time
}

// sharedTarget is what is known of the calls at one shared target.
type sharedTarget struct {
	held   int
	slots  int
	share  float64
	room   int
	roomAt time.Time
	// pressed is the last time of pressure, since the time at which it began.
	pressed  time.Time
	since    time.Time
	asked    time.Time
	hold     float64 // seconds
	waiting  []*waiter
	arrivals map[int]*meter
	fair     map[int]*fairness
}

// Shared holds the permits of the shared targets of one zone and the calls that wait for
// them. It is not safe for concurrent use.
type Shared struct {
	// tenure is the part of the numbers of permits that is the same for all, issued and
	// waiters are the last numbers within it.
	tenure  uint64
	issued  uint64
	waiters uint64
	permits map[uint64]permit
	targets map[string]*sharedTarget
	ended   []SharedGrant
}

// NewShared returns a Shared whose permits have the upper bits of a number.
func NewShared(number uint64) *Shared {
	return &Shared{tenure: number & tenureMask, permits: map[uint64]permit{}, targets: map[string]*sharedTarget{}}
}

// Acquire issues a permit, makes the call wait, or refuses it. The permits and refusals of
// waiting calls are returned by Grant.
func (s *Shared) Acquire(r SharedRequest, now time.Time) SharedGrant {
	x := s.target(r.Target)
	x.slots, x.share, x.asked = max(r.Slots, 1), r.Share, now
	if len(x.waiting) == 0 && x.held < x.capacity(now) {
		x.meter(r.class()).add(now)
		x.fairness(r.class()).advance(r)
		return s.issue(x, r, now)
	}
	x.press(now)
	w := &waiter{request: r, since: now, until: now.Add(r.Wait), tag: x.fairness(r.class()).next(r)}
	expected := x.expected(w, now)
	if float64(expected) > admitShare*float64(r.Wait) || len(x.waiting) >= maxWaiters {
		return x.refusal(r, now)
	}
	x.fairness(r.class()).record(w)
	x.meter(r.class()).add(now)
	s.waiters++
	w.number = s.waiters
	x.insert(w)
	s.shed(x, now)
	return SharedGrant{Waiter: w.number, Expected: expected, Pressed: true}
}

func (s *Shared) issue(x *sharedTarget, r SharedRequest, now time.Time) SharedGrant {
	x.held++
	number := s.nextNumber(r.Target)
	s.permits[number] = permit{target: r.Target, instance: r.Instance, issued: now, expires: now.Add(min(r.Timeout+endMargin, x.longHold()))}
	if x.held >= x.capacity(now) {
		x.press(now)
	}
	return SharedGrant{Permit: number, Expected: x.another(r, now), Pressed: x.isPressed(now)}
}

// refusal returns the answer to a call that may not wait.
func (x *sharedTarget) refusal(r SharedRequest, now time.Time) SharedGrant {
	drain := min(max(x.wait(r.class(), x.ahead(r.class()), now), minDrain), maxDrain)
	return SharedGrant{Expected: x.another(r, now), RetryAfter: drain + rand.N(drain), Pressed: x.isPressed(now)}
}

// Grant issues the permits that are free to the waiting calls, and ends the waits that are
// over. Each result has the number of a waiter, and a permit unless the call is refused.
func (s *Shared) Grant(now time.Time) []SharedGrant {
	s.Expire(now)
	for _, x := range s.targets {
		for len(x.waiting) > 0 {
			w := x.waiting[0]
			if now.After(w.until) {
				s.refuse(x, w, now)
				continue
			}
			if x.held >= x.capacity(now) {
				break
			}
			x.waiting = x.waiting[1:]
			x.fairness(w.request.class()).serve(w)
			g := s.issue(x, w.request, now)
			g.Waiter = w.number
			s.ended = append(s.ended, g)
		}
	}
	list := s.ended
	s.ended = nil
	return list
}

// Cancel ends the wait of a call. It returns its last answer.
func (s *Shared) Cancel(target string, number uint64, now time.Time) SharedGrant {
	x := s.target(target)
	for _, w := range x.waiting {
		if w.number == number {
			x.withdraw(w)
			return x.refusal(w.request, now)
		}
	}
	return SharedGrant{RetryAfter: minDrain + rand.N(minDrain)}
}

// shed refuses the waiting calls that others have overtaken so often that they would wait
// in vain.
func (s *Shared) shed(x *sharedTarget, now time.Time) {
	kept := 0
	for _, w := range slices.Clone(x.waiting) {
		left := w.until.Sub(now)
		if x.wait(w.request.class(), kept, now) > time.Duration(shedFactor*float64(left))+shedMargin {
			s.refuse(x, w, now)
			continue
		}
		kept++
	}
}

func (s *Shared) refuse(x *sharedTarget, w *waiter, now time.Time) {
	x.withdraw(w)
	g := x.refusal(w.request, now)
	g.Waiter = w.number
	s.ended = append(s.ended, g)
}

// Release ends a permit. It returns false if there is none with the number.
func (s *Shared) Release(number uint64, e End, now time.Time) bool {
	p, ok := s.permits[number]
	if !ok {
		return false
	}
	if e == GivenUp {
		p.expires, p.unmeasured = now.Add(unclearEnd), true
		s.permits[number] = p
		return true
	}
	s.remove(number, p)
	x := s.target(p.target)
	if e == Refused {
		x.press(now)
		floor := 1
		if now.Sub(x.since) < onsetPeriod {
			floor = x.slots
		}
		x.room, x.roomAt = max(min(x.capacity(now), x.held), floor), now
		return true
	}
	if e == Unused {
		return true
	}
	x.observe(p, now)
	return true
}

func (s *Shared) remove(number uint64, p permit) {
	delete(s.permits, number)
	s.target(p.target).held--
}

// Reconcile ends the permits of an instance that are not among those that it holds.
func (s *Shared) Reconcile(instance string, held []uint64, now time.Time) {
	for number, p := range s.permits {
		if p.instance == instance && now.Sub(p.issued) > reportMargin && !slices.Contains(held, number) {
			s.remove(number, p)
		}
	}
}

// Expire ends the permits whose calls must have ended.
func (s *Shared) Expire(now time.Time) {
	for number, p := range s.permits {
		if !now.After(p.expires) {
			continue
		}
		s.remove(number, p)
		s.target(p.target).observe(p, now)
	}
}

// Retain removes the targets that keep rejects. The calls that wait for them are refused.
func (s *Shared) Retain(keep func(name string) bool, now time.Time) {
	for number, p := range s.permits {
		if !keep(p.target) {
			s.remove(number, p)
		}
	}
	for name, x := range s.targets {
		if keep(name) && now.Sub(x.asked) < idlePeriod || x.held > 0 {
			continue
		}
		for len(x.waiting) > 0 {
			s.refuse(x, x.waiting[0], now)
		}
		delete(s.targets, name)
	}
}

// idlePeriod is the time without a request after which a target is removed.
const idlePeriod = 30 * time.Second

// Pressed returns the names of the targets that are under pressure, in order.
func (s *Shared) Pressed(now time.Time) []string {
	var names []string
	for name, x := range s.targets {
		if x.isPressed(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Waiting returns the number of calls that wait, Held that of the permits.
func (s *Shared) Waiting() int {
	n := 0
	for _, x := range s.targets {
		n += len(x.waiting)
	}
	return n
}

// Held returns the number of permits.
func (s *Shared) Held() int { return len(s.permits) }

func (s *Shared) target(name string) *sharedTarget {
	x := s.targets[name]
	if x == nil {
		x = &sharedTarget{hold: initialHold.Seconds(), slots: 1, share: 1, arrivals: map[int]*meter{}, fair: map[int]*fairness{}}
		s.targets[name] = x
	}
	return x
}
