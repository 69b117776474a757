package ownership_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/duty"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/ownership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
)

// idleOwner serves a target that nobody asks for.
type idleOwner struct{}

var errNoRequests = errors.New("no requests")

func (idleOwner) Dispatch(context.Context, *bamboorail.Request, bamboorail.Sink) error {
	return errNoRequests
}

func (idleOwner) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
func (idleOwner) Close(error)                       {}
func (idleOwner) Running() int                      { return 0 }
func (idleOwner) Settled() bool                     { return true }
func (idleOwner) Drained() bool                     { return true }
func (idleOwner) EarlierCleared() bool              { return true }
func (idleOwner) SetEvidence(placement.TermHistory) {}
func (idleOwner) State() *wire.TargetState          { return &wire.TargetState{} }
func (idleOwner) Preload(bamboorail.ModelRef) error { return nil }

type oneTarget struct{}

func (oneTarget) Targets() []string { return []string{"t"} }
func (oneTarget) New(string, placement.TermHistory, time.Time) (ownership.Owner, error) {
	return idleOwner{}, nil
}

var self = platform.Session{ID: "self", Instance: "i1", Zone: "z", Region: "r", Peer: "i1:1"}

func newManager(store *memory.Store) (*ownership.Manager, *membership.Directory) {
	d := membership.NewDirectory(self)
	return ownership.NewManager(ownership.Config{
		Store: store, Directory: d, Factory: oneTarget{}, OnChange: func() {}, Log: hclog.NewNullLogger(),
	}), d
}

// TestAClaimUnderWayIsGivenBackByALeave: a claim that the store carries out while
// the instance begins to leave must not hold the leave up, nor stay behind.
func TestAClaimUnderWayIsGivenBackByALeave(t *testing.T) {
	const writeTime, leaveTime = time.Second, 10 * time.Second
	cases := map[string]time.Duration{"before the claim": 0, "during the claim": writeTime / 2, "after the claim": 3 * writeTime}
	for name, after := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := memory.NewStore()
				store.SetHook(func(op, _ string) error {
					if ctx.Err() != nil {
						return ctx.Err() // the process has ended
					}
					if op == "put-object" {
						time.Sleep(writeTime)
					}
					return nil
				})
				m, _ := newManager(store)
				running := duty.Start(ctx, "manager", m.Run)
				time.Sleep(after)
				limit, release := context.WithTimeout(ctx, leaveTime)
				if err := m.Leave(limit); err != nil {
					t.Errorf("the leave did not end within %v: %v", leaveTime, err)
				}
				release()
				cancel()
				running.Join()
				time.Sleep(2 * writeTime)
				store.SetHook(nil)
				ledger := read(t, store)
				if o := ledger.Targets["t"]; o.Current.Session != "" || len(o.Earlier) > 0 {
					t.Errorf("left behind: %+v", o)
				}
			})
		})
	}
}

func read(t *testing.T, store *memory.Store) platform.Ledger {
	t.Helper()
	o, err := store.Get(context.Background(), platform.LedgerKey(self.Zone))
	if bamboorail.KindOf(err) == bamboorail.KindNotFound {
		return platform.NewLedger()
	}
	if err != nil {
		t.Fatal(err)
	}
	l, err := platform.ParseLedger(o.Value)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestAnOwnerThatNobodyMetIsAsked: all instances that knew an owner were started
// again, and its own session is not in the store any more. Only its address, as
// the ledger names it, can tell that its process is gone.
func TestAnOwnerThatNobodyMetIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.NewStore()
		l := platform.NewLedger()
		l.Targets["t"] = platform.Ownership{Current: platform.Holder{Term: 1, Session: "before", Instance: "i0", Peer: "i0:1"}}
		if _, err := platform.WriteLedger(ctx, store, self.Zone, l, 0); err != nil {
			t.Fatal(err)
		}
		m, d := newManager(store)
		running := duty.Start(ctx, "manager", m.Run)
		// Listings of sessions that lack it come and go meanwhile.
		for range 3 {
			time.Sleep(5 * time.Second)
			d.ApplySessions("", nil, time.Now())
		}
		time.Sleep(time.Second)
		peers := d.Peers(time.Now())
		if len(peers) != 1 || peers[0].Session.Peer != "i0:1" || peers[0].Session.Zone != self.Zone {
			t.Errorf("instances to be asked: %+v", peers)
		}
		if owner := read(t, store).Targets["t"].Current.Session; owner != "before" {
			t.Errorf("owner %q without proof that the former one is gone", owner)
		}
		d.MarkGone("before")
		m.TriggerPlan()
		time.Sleep(time.Second)
		if owner := read(t, store).Targets["t"].Current.Session; owner != self.ID {
			t.Errorf("owner %q after the former one is gone", owner)
		}
		cancel()
		running.Join()
	})
}
