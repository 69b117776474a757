package ownership_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/ownership"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/placement"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

// idleOwner serves a target without requests.
type idleOwner struct{}

var errNoRequests = errors.New("no requests")

func (idleOwner) Dispatch(context.Context, *bamboorail.Request, bamboorail.Sink) error {
	return errNoRequests
}

func (idleOwner) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
func (idleOwner) Close(error)                          {}
func (idleOwner) Running() int                         { return 0 }
func (idleOwner) Settled() bool                        { return true }
func (idleOwner) Drained() bool                        { return true }
func (idleOwner) EarlierCleared() bool                 { return true }
func (idleOwner) SetTermHistory(placement.TermHistory) {}
func (idleOwner) State() *wire.TargetState             { return &wire.TargetState{} }
func (idleOwner) Preload(bamboorail.ModelRef) error    { return nil }

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

// A claim that the store completes while the instance starts to leave must
// neither delay the leave nor remain in the ledger.
func TestClaimInProgressIsReleasedOnLeave(t *testing.T) {
	const writeTime, leaveTime = time.Second, 10 * time.Second
	cases := map[string]time.Duration{"before the claim": 0, "during the claim": writeTime / 2, "after the claim": 3 * writeTime}
	for name, after := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := memory.NewStore()
				store.SetHook(func(op, _ string) error {
					if ctx.Err() != nil {
						return ctx.Err() // the process has terminated
					}
					if op == "put-object" {
						time.Sleep(writeTime)
					}
					return nil
				})
				m, _ := newManager(store)
				running := task.Start(ctx, "manager", m.Run)
				time.Sleep(after)
				leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTime)
				if err := m.Leave(leaveCtx); err != nil {
					t.Errorf("leave did not complete within %v: %v", leaveTime, err)
				}
				cancelLeave()
				cancel()
				running.Join()
				time.Sleep(2 * writeTime)
				store.SetHook(nil)
				ledger := read(t, store)
				if o := ledger.Targets["t"]; o.Current.Session != "" || len(o.Earlier) > 0 {
					t.Errorf("entry after the leave: %+v", o)
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

// All instances that knew an owner have restarted, and the session of the owner
// is no longer in the store. Only a probe of the address in the ledger can show
// that its process is gone.
func TestUnknownOwnerIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.NewStore()
		l := platform.NewLedger()
		l.Targets["t"] = platform.Ownership{Current: platform.Holder{Term: 1, Session: "before", Instance: "i0", Peer: "i0:1"}}
		if _, err := platform.WriteLedger(ctx, store, self.Zone, l, 0); err != nil {
			t.Fatal(err)
		}
		m, d := newManager(store)
		running := task.Start(ctx, "manager", m.Run)
		// Meanwhile, listings of sessions arrive that do not contain the owner.
		for range 3 {
			time.Sleep(5 * time.Second)
			d.ApplySessions("", nil, time.Now())
		}
		time.Sleep(time.Second)
		peers := d.Peers(time.Now())
		if len(peers) != 1 || peers[0].Session.Peer != "i0:1" || peers[0].Session.Zone != self.Zone {
			t.Errorf("peers to probe: %+v", peers)
		}
		if owner := read(t, store).Targets["t"].Current.Session; owner != "before" {
			t.Errorf("owner %q although the former owner is not proven to be gone", owner)
		}
		d.MarkGone("before")
		m.TriggerPlan()
		time.Sleep(time.Second)
		if owner := read(t, store).Targets["t"].Current.Session; owner != self.ID {
			t.Errorf("owner %q after the former owner is gone", owner)
		}
		cancel()
		running.Join()
	})
}
