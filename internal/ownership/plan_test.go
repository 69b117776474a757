package ownership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/ownership"
	"bamboorail.example/bamboorail/internal/platform"
)

func always(string, uint64) bool { return true }
func never(string, uint64) bool  { return false }

// zone is a set of sessions that share one ledger.
type zone struct {
	ledger   platform.Ledger
	targets  []string
	states   map[string]membership.State
	sessions []platform.Session
}

func newZone(sessions, targets int) *zone {
	z := &zone{ledger: platform.NewLedger(), states: map[string]membership.State{}}
	for n := range sessions {
		s := platform.Session{ID: fmt.Sprint("s", n), Instance: fmt.Sprint("i", n)}
		z.sessions = append(z.sessions, s)
		z.states[s.ID] = membership.StateLive
	}
	for n := range targets {
		z.targets = append(z.targets, fmt.Sprint("t", n))
	}
	return z
}

func (z *zone) view(s platform.Session) ownership.View {
	candidates := slices.DeleteFunc(slices.Clone(z.sessions), func(c platform.Session) bool { return z.states[c.ID] != membership.StateLive })
	return ownership.View{
		Self: s, Targets: z.targets, Ledger: z.ledger, Candidates: candidates,
		StateOf: func(id string) membership.State { return z.states[id] },
		Settled: always, Drained: always, EarlierCleared: func(string) bool { return true }, Closed: never,
		Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

// round makes one plan for every live session.
func (z *zone) round() {
	for _, s := range z.sessions {
		if z.states[s.ID] == membership.StateLive {
			z.ledger, _ = ownership.Plan(z.view(s))
		}
	}
}

func (z *zone) owners() map[string]string {
	owners := map[string]string{}
	for t, o := range z.ledger.Targets {
		owners[t] = o.Current.Session
	}
	return owners
}

func TestTargetsKeepTheirOwnersWhenAnInstanceJoins(t *testing.T) {
	z := newZone(6, 30)
	z.round()
	first := z.owners()
	if len(first) != 30 {
		t.Fatalf("%d targets owned", len(first))
	}
	z.sessions = append(z.sessions, platform.Session{ID: "new"})
	z.states["new"] = membership.StateLive
	z.round()
	for target, owner := range z.owners() {
		if first[target] != owner {
			t.Errorf("%s moved from %s to %s because an instance joined", target, first[target], owner)
		}
	}
}

func TestOwnersAreReplacedOnlyWithCause(t *testing.T) {
	for name, c := range map[string]struct {
		state       membership.State
		provisional bool
		replaced    bool
		recorded    platform.HolderState
	}{
		"live":                             {state: membership.StateLive},
		"leaving":                          {state: membership.StateLeaving},
		"unknown":                          {state: membership.StateUnknown},
		"gone":                             {state: membership.StateGone, replaced: true, recorded: platform.HolderGone},
		"gone, store unavailable":          {state: membership.StateGone, provisional: true, replaced: true, recorded: platform.HolderGone},
		"lease expired":                    {state: membership.StateExpired, replaced: true},
		"lease expired, store unavailable": {state: membership.StateExpired, provisional: true},
		"nothing known, store unavailable": {state: membership.StateUnknown, provisional: true},
		"unreachable but not proven":       {state: membership.StateUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZone(2, 8)
			z.round()
			before := z.ledger.Clone()
			z.states["s0"] = c.state
			v := z.view(z.sessions[1])
			v.Provisional = c.provisional
			v.EarlierCleared = func(string) bool { return false }
			v.Candidates = []platform.Session{z.sessions[1]}
			next, _ := ownership.Plan(v)
			for target, o := range before.Targets {
				if o.Current.Session != "s0" {
					continue
				}
				n := next.Targets[target]
				if (n.Current.Session == "s1") != c.replaced {
					t.Errorf("%s has owner %s", target, n.Current.Session)
				}
				if !c.replaced {
					continue
				}
				if n.Current.Term <= o.Current.Term || len(n.Earlier) != 1 || n.Earlier[0].State != c.recorded {
					t.Errorf("%s: term %d after %d, earlier %+v", target, n.Current.Term, o.Current.Term, n.Earlier)
				}
			}
		})
	}
}

func TestReleaseIsConfirmedInSteps(t *testing.T) {
	z := newZone(1, 1)
	z.round()
	term := z.ledger.Targets["t0"].Current.Term
	settled, drained := false, false
	v := z.view(z.sessions[0])
	v.Leaving = true
	v.Closed = func(_ string, n uint64) bool { return n == term }
	v.Settled = func(string, uint64) bool { return settled }
	v.Drained = func(string, uint64) bool { return drained }
	plan := func() platform.Ownership {
		v.Ledger, _ = ownership.Plan(v)
		return v.Ledger.Targets["t0"]
	}
	if o := plan(); o.Current.Session != "" || len(o.Earlier) != 1 || o.Earlier[0].State != "" {
		t.Errorf("closed with an order in flight: %+v", o)
	}
	settled = true
	if o := plan(); len(o.Earlier) != 1 || o.Earlier[0].State != platform.HolderReleased {
		t.Errorf("settled: %+v", o)
	}
	drained = true
	if o := plan(); len(o.Earlier) != 0 {
		t.Errorf("drained: %+v", o)
	}
}

func TestMovesRestoreBalance(t *testing.T) {
	z := newZone(1, 40)
	z.round()
	z.sessions = append(z.sessions, platform.Session{ID: "s1", Instance: "i1"})
	z.states["s1"] = membership.StateLive
	moves := 0
	for ; ; moves++ {
		target, ok := ownership.TargetToMove(z.view(z.sessions[0]))
		if !ok {
			break
		}
		term := z.ledger.Targets[target].Current.Term
		v := z.view(z.sessions[0])
		v.Closed = func(name string, n uint64) bool { return name == target && n == term }
		z.ledger, _ = ownership.Plan(v)
		z.round()
		if got := z.owners()[target]; got != "s1" {
			t.Fatalf("%s moved to %q", target, got)
		}
	}
	if moves == 0 || moves > 20 {
		t.Errorf("%d moves of 40 targets to a second instance", moves)
	}
}
