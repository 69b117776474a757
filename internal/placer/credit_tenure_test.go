package placer

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/quota"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// TestTwoHoldersDoNotCreateCreditTogether guards against credit beyond the limit while a holder
// that lost the store and its successor both serve instances of their zone.
func TestTwoHoldersDoNotCreateCreditTogether(t *testing.T) {
	const rate, members = 900.0, 10
	store, clock, start := memory.NewStore(), time.Second, time.Now()
	newHolder := func(name string, contacts func(within time.Duration) int) *zoneCredit {
		l := lease.New(lease.Config{
			Key: "leases/a", Holder: name, Address: name, Store: store, Clock: func() time.Duration { return clock }, Log: hclog.NewNullLogger(),
			Timing: lease.Timing{RenewInterval: time.Second, Term: 3 * time.Second, Gap: 3 * time.Second},
		})
		return &zoneCredit{
			zone: ZoneHolder{Zone: "a", Lease: l}, own: true, zones: 1, contacts: contacts, metrics: telemetry.NewMetrics(), log: hclog.NewNullLogger(),
			quota: func(string) (bamboorail.Quota, bool) {
				return bamboorail.Quota{Unit: bamboorail.QuotaTokens, Rate: rate, Burst: rate}, true
			},
		}
	}
	granted := func(z *zoneCredit) float64 {
		grants, _, acting := z.grant([]quota.Need{{Workspace: "w", Amount: 1e6, Minimum: 1}}, start.Add(clock))
		if !acting {
			return 0
		}
		return grants[0].Amount
	}
	// The instances of the zone turned to the successor 2 s before the second request.
	moved := time.Duration(0)
	old := newHolder("i0", func(within time.Duration) int {
		if moved > 0 && clock-moved > within {
			return 1
		}
		return members
	})
	successor := newHolder("i1", func(time.Duration) int { return members })
	if err := old.zone.Lease.Claim(context.Background()); err != nil {
		t.Fatal(err)
	}
	granted(old)
	clock += 2 * time.Second
	if granted(old) == 0 {
		t.Fatal("a holder whose tenure is confirmed grants nothing")
	}
	clock += 5 * time.Second
	if granted(old) == 0 {
		t.Error("a holder without the store grants nothing while its zone reads through it")
	}
	o, err := store.Get(context.Background(), "leases/a")
	if err != nil {
		t.Fatal(err)
	}
	successor.zone.Lease.Observe(o)
	clock += 4 * time.Second
	if err := successor.zone.Lease.Claim(context.Background()); err != nil {
		t.Fatal(err)
	}
	moved = clock
	if x := granted(successor); x > 0 {
		t.Errorf("the successor grants %.0f at once", x)
	}
	clock += 2 * time.Second
	if x := granted(old); x > 0 {
		t.Errorf("the holder before grants %.0f after its zone has turned to the successor", x)
	}
	if x := granted(successor); x > 0 {
		t.Errorf("the successor grants %.0f while the holder before it may still do", x)
	}
	clock += 2 * time.Second
	if granted(successor) == 0 {
		t.Error("the successor grants nothing")
	}
}
