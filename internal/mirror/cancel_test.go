package mirror

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

// waitingStore and waitingPeers answer only when their context ends.
type waitingStore struct{ countingStore }

func (waitingStore) Watch(ctx context.Context, _ []string, _ bamboorail.StoreVersion, _ time.Duration) (bamboorail.Events, error) {
	<-ctx.Done()
	return bamboorail.Events{}, &bamboorail.Failure{Op: "watch-objects", Kind: bamboorail.KindUnavailable, Err: ctx.Err()}
}

type waitingPeers struct{ directPeers }

func (p waitingPeers) Follow(ctx context.Context, address string, r *wire.FollowRequest) (*wire.FollowReply, error) {
	if r.GetRevision() == 0 {
		return p.directPeers.Follow(ctx, address, r)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestCanceledCallsProveNoOutage guards against a watch that this instance gives up
// itself, to list again, and that counts as a failure of the store or of the holder:
// the other kinds then count as lost, list again, and cancel the first one's watch
// (archive site, mix --seed 891930840815, DRAIN).
func TestCanceledCallsProveNoOutage(t *testing.T) {
	cases := map[string]struct{ hidden bool }{"watch of the store": {true}, "watch through the holder": {false}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			holder, follower := newPair(t)
			holder.mustList(t)
			n := follower
			n.Store = NewStore(waitingStore{countingStore{n.objects, n}}, "self", "z", n, waitingPeers{directPeers{n}}, nil, hclog.NewNullLogger())
			n.mustList(t)
			calls := n.storeCalls
			n.hidden.Store(c.hidden)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(20*time.Millisecond, cancel)
			if _, err := n.Watch(ctx, []string{"k/"}, 1, time.Minute); !errors.Is(err, context.Canceled) {
				t.Fatalf("canceled watch: %v", err)
			}
			n.hidden.Store(false)
			if err := n.storeRefusal(); err != nil {
				t.Errorf("the store counts as lost: %v", err)
			}
			n.mustList(t)
			if n.storeCalls != calls {
				t.Errorf("%d calls to the store: the holder counts as lost", n.storeCalls-calls)
			}
		})
	}
}
