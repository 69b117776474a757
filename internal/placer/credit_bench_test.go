package placer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// BenchmarkCreditMessage measures a request for credit between two processes' ends, both of
// which run here, over the loopback interface.
func BenchmarkCreditMessage(b *testing.B) {
	t := &testing.T{}
	s := newCreditSim(t, 3, manyCallers(1), 1)
	i := s.instances[0]
	if err := i.zones[0].Lease.Claim(b.Context()); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- peer.ServePlacer(ctx, l, i.server, hclog.NewNullLogger()) }()
	client := peer.NewClient(nil)
	r := &wire.CreditRequest{Zone: "a", Instance: "i1", Needs: []*wire.CreditNeed{{Workspace: "w0", Amount: 1500, Minimum: 1500}}}
	for b.Loop() {
		reply, err := client.Credit(ctx, l.Addr().String(), r)
		if err != nil || !reply.GetHolder() {
			b.Fatal(reply, err)
		}
	}
	cancel()
	<-done
}

// BenchmarkAdmit measures a call whose credit the instance has.
func BenchmarkAdmit(b *testing.B) {
	s := newCreditSim(&testing.T{}, 3, manyCallers(1), 1)
	c, w := s.instances[0].credit, manyCallers(1)[0].Workspace
	c.wallet.Add(w.Name, 1e15, time.Now().Add(time.Hour), time.Now())
	for b.Loop() {
		if _, err := c.Admit(b.Context(), w, 1500, 0); err != nil {
			b.Fatal(err)
		}
	}
}
