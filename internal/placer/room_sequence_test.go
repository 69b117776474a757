package placer

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/adapters"
	"bamboorail.example/bamboorail/internal/balance"
)

// roomSequence drives a holder of two engines step by step. Calls end when the test says so.
type roomSequence struct {
	*roomCluster
	t *testing.T
}

func newRoomSequence(t *testing.T) *roomSequence {
	s := &roomSequence{newRoomCluster(t, 2, 0, roomFaults{}), t}
	for range 30 {
		s.maintain()
	}
	return s
}

// wait lets time pass while the lease is kept.
func (s *roomSequence) wait(d time.Duration) {
	s.t.Helper()
	const step = 500 * time.Millisecond
	for end := time.Now().Add(d); ; {
		if err := s.holder.Lease.Renew(s.t.Context()); err != nil {
			s.t.Fatal(err)
		}
		left := time.Until(end)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, step))
	}
}

// maintain runs one round of the holder's maintenance.
func (s *roomSequence) maintain() {
	s.t.Helper()
	if err := s.holder.Lease.Renew(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
	s.holder.upkeep(s.t.Context())
	time.Sleep(upkeepInterval)
	for name := range s.engines {
		s.register(name)
	}
}

// place places a call for an adapter on any engine but one.
func (s *roomSequence) place(name string, version int, avoid string) (adapters.Placement, error) {
	s.mu.Lock()
	releases := s.releases[name]
	s.mu.Unlock()
	return s.holder.Place(s.t.Context(), adapters.Request{
		Key: bamboorail.AdapterKey{Model: "m", Adapter: name}, Service: "s", Version: version, Releases: releases, Avoid: []string{avoid},
		CallID: name, Objective: time.Second,
	})
}

// serve places a call, lets its adapter load and ends it.
func (s *roomSequence) serve(name, avoid string) {
	s.t.Helper()
	p, err := s.place(name, 1, avoid)
	if err != nil {
		s.t.Fatal(err)
	}
	s.wait(time.Until(p.ReadyAt) + roomFetchTime)
	s.end(p, balance.Answered)
}

func (s *roomSequence) end(p adapters.Placement, r balance.Result) {
	s.holder.Settle([]EndedPlacement{{Ticket: p.Ticket, Result: r}})
}

// runBackground sends the orders that wait in the background queue.
func (s *roomSequence) runBackground() {
	for len(s.holder.background) > 0 {
		_ = s.holder.execute(s.t.Context(), <-s.holder.background)
	}
}

// replace loads a new version of an adapter of e1 whose old one may no longer be used.
func (s *roomSequence) replace(name string) {
	s.t.Helper()
	s.release(name, 2)
	s.wait(5 * time.Second)
	s.maintain()
	p, err := s.place(name, 2, "e0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.wait(time.Until(p.ReadyAt) + roomFetchTime)
	s.end(p, balance.Answered)
}

// reread makes the holder read the state of an engine again.
func (s *roomSequence) reread(name string) {
	s.holder.mu.Lock()
	s.engines[name].with(func(e *roomEngine) {
		s.holder.planner.Desync(bamboorail.TargetID{Name: name, StartMillis: e.start}, time.Now())
	})
	s.holder.mu.Unlock()
	s.maintain()
}

// check reports what the engines object to, and orders whose number the holder and an
// engine count differently.
func (s *roomSequence) check() {
	s.t.Helper()
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	for name, e := range s.engines {
		e.with(func(e *roomEngine) {
			if len(e.errors) > 0 {
				s.t.Errorf("%s: %s", name, strings.Join(e.errors, "; "))
			}
			number, synced := s.holder.planner.OrderNumber(bamboorail.TargetID{Name: name, StartMillis: e.start})
			if synced && number != e.orders {
				s.t.Errorf("%s has accepted %d orders, the holder counts %d", name, e.orders, number)
			}
		})
	}
}

// waitInBackground releases a version of an adapter in use on e0, whose load on e1 then
// waits in the background queue, with three other adapters on e1.
func (s *roomSequence) waitInBackground() {
	s.t.Helper()
	for _, name := range []string{"x0", "x1", "x2"} {
		s.serve(name, "e0")
	}
	s.serve("z", "e1")
	if _, err := s.place("z", 1, "e1"); err != nil {
		s.t.Fatal(err)
	}
	s.release("z", 2)
	s.decideInBackground()
}

// decideInBackground places a call that runs on the old version while the new one loads
// elsewhere.
func (s *roomSequence) decideInBackground() {
	s.t.Helper()
	if _, err := s.place("z", 2, ""); err != nil {
		s.t.Fatal(err)
	}
}

// TestWaitingOrdersKeepTheirRoom guards against engines that are ordered to load more than
// they hold because an order waited (incident archive-grown-overfull-engines).
func TestWaitingOrdersKeepTheirRoom(t *testing.T) {
	cases := map[string]func(s *roomSequence){
		"a report is read while the load waits": func(s *roomSequence) {
			s.waitInBackground()
			s.wait(2 * roomReportLag)
			s.reread("e1")
			s.serve("y", "e0")
			s.wait(time.Second)
			s.decideInBackground()
			s.runBackground()
		},
		"the load that waits is no victim": func(s *roomSequence) {
			s.waitInBackground()
			for _, name := range []string{"x0", "x1", "x2"} {
				if _, err := s.place(name, 1, "e0"); err != nil {
					s.t.Error(err)
				}
			}
			s.wait(time.Second)
			if p, err := s.place("y", 1, "e0"); err == nil {
				s.t.Errorf("y is loaded on %s, which has no room", p.Target.ID.Name)
			}
			s.runBackground()
		},
		"the first of two orders is not answered": func(s *roomSequence) {
			s.waitInBackground()
			s.runBackground()
			s.engines["e1"].with(func(e *roomEngine) { e.faults.unanswered = 1 })
			if _, err := s.place("y", 1, "e0"); err == nil {
				s.t.Error("a call was placed without an answer")
			}
			s.engines["e1"].with(func(e *roomEngine) { e.faults.unanswered = 0 })
			for range 4 {
				s.maintain()
			}
			s.serve("y", "e0")
		},
		"a new version replaces the old one": func(s *roomSequence) {
			for _, name := range []string{"x0", "x1", "x2", "x3"} {
				s.serve(name, "e0")
			}
			s.replace("x3")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRoomSequence(t)
				run(s)
				time.Sleep(time.Second)
				s.check()
			})
		})
	}
}

// TestLateOrderOfFormerStartFits guards against an order to a former start of an engine that
// is carried out by the new start, which has as many orders but less room.
func TestLateOrderOfFormerStartFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRoomSequence(t)
		e := s.engines["e1"]
		s.serve("x0", "e0")
		s.serve("x1", "e0")
		s.replace("x1")
		var late bamboorail.AdapterOrder
		e.with(func(e *roomEngine) { e.intercept = func(o bamboorail.AdapterOrder) { late = o } })
		if _, err := s.place("y", 1, "e0"); err == nil {
			t.Error("a call was placed without an answer")
		}
		e.with(func(e *roomEngine) { e.intercept = nil })
		s.crash("e1", time.Second)
		s.wait(time.Second)
		for range 20 {
			s.maintain()
		}
		placed := 0
		for _, name := range []string{"w0", "w1", "w2", "w3", "w4"} {
			if p, err := s.place(name, 1, "e0"); err == nil {
				placed++
				s.wait(time.Until(p.ReadyAt) + roomFetchTime)
				s.end(p, balance.Answered)
			}
			e.with(func(e *roomEngine) {
				if late.Orders > 0 && e.orders == late.Orders {
					_ = e.apply(late)
				}
			})
		}
		if placed < roomSlots-1 {
			t.Errorf("%d of 5 calls were placed", placed)
		}
		if late.Orders == 0 {
			t.Error("no order was late")
		}
		s.check()
	})
}

// TestBaseModelIsOrderedOnce guards against a second load of a base model that is being
// loaded, for which an engine has no room.
func TestBaseModelIsOrderedOnce(t *testing.T) {
	cases := map[string]func(s *roomSequence){
		"undisturbed": func(*roomSequence) {},
		"a call finds it missing": func(s *roomSequence) {
			p, err := s.holder.Place(s.t.Context(), adapters.Request{Key: bamboorail.AdapterKey{Model: "m"}, Service: "s", CallID: "c", Avoid: []string{"e0"}, Objective: time.Second})
			if err == nil {
				s.end(p, balance.Misdirected)
			}
		},
		"its state is read": func(s *roomSequence) {
			s.wait(roomReportLag)
			s.reread("e1")
		},
		"another holder begins": func(s *roomSequence) {
			s.holder.mu.Lock()
			s.holder.setPlanner(0)
			s.holder.mu.Unlock()
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRoomSequence(t)
				s.crash("e1", time.Second)
				time.Sleep(time.Second)
				for ordered := false; !ordered; s.engines["e1"].with(func(e *roomEngine) { ordered = e.modelLoads > 0 }) {
					s.maintain()
				}
				disturb(s)
				for range 12 {
					s.maintain()
				}
				s.engines["e1"].with(func(e *roomEngine) {
					if !e.model {
						t.Error("the base model is not loaded")
					}
				})
				if _, err := s.place("x", 1, "e0"); err != nil {
					t.Errorf("no adapter is loaded 3 s later: %v", err)
				}
				s.check()
			})
		})
	}
}

// TestConflictsWithWaitingOrderAreFew guards against orders that are sent again and again to
// an engine that accepts none until the calls of an adapter have ended.
func TestConflictsWithWaitingOrderAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConflicts = 5
		s := newRoomSequence(t)
		e := s.engines["e1"]
		for _, name := range []string{"x0", "x1", "x2", "x3"} {
			s.serve(name, "e0")
		}
		e.mu.Lock()
		for name := range e.held {
			e.running[name]++ // calls that another holder placed
		}
		e.mu.Unlock()
		for range 20 {
			if p, err := s.place("y", 1, "e0"); err == nil {
				s.end(p, balance.Misdirected)
			}
			s.maintain()
		}
		e.with(func(e *roomEngine) {
			if e.conflicts > maxConflicts {
				t.Errorf("%d orders conflicted in 5 s", e.conflicts)
			}
		})
		s.check()
	})
}

// TestUnansweredOrderDelaysNoBackgroundLoads guards against background loads that wait for an
// order to another engine.
func TestUnansweredOrderDelaysNoBackgroundLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRoomSequence(t)
		s.waitInBackground()
		s.engines["e0"].with(func(e *roomEngine) { e.faults.unanswered = 1 })
		slow := bamboorail.AdapterOrder{Target: bamboorail.TargetID{Name: "e0", StartMillis: 1}, Key: bamboorail.AdapterKey{Model: "m", Adapter: "y"}}
		waiting := <-s.holder.background
		s.holder.background <- []bamboorail.AdapterOrder{slow}
		s.holder.background <- waiting
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.holder.Run(ctx) }()
		time.Sleep(orderTimeout / 2)
		s.engines["e1"].with(func(e *roomEngine) {
			if _, ordered := e.pending["z"]; !ordered {
				t.Error("the load is not ordered while an order to another engine has no answer")
			}
		})
		cancel()
		<-done
	})
}
