package peer

import (
	"context"
	"fmt"
	"net"

	"github.com/hashicorp/go-hclog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bamboorail.example/bamboorail/internal/peer/wire"
)

// PlacerHandler places calls for other instances.
type PlacerHandler interface {
	Place(ctx context.Context, r *wire.PlaceRequest) (*wire.PlaceReply, error)
	Settle(ctx context.Context, r *wire.SettleRequest) (*wire.SettleReply, error)
	Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowReply, error)
	Acquire(ctx context.Context, r *wire.AcquireRequest) (*wire.AcquireReply, error)
	RecordOrigins(ctx context.Context, r *wire.RecordOriginsRequest) (*wire.RecordOriginsReply, error)
}

// ServePlacer serves the placer protocol on the listener until ctx ends.
func ServePlacer(ctx context.Context, l net.Listener, h PlacerHandler, log hclog.Logger) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPlacer(mux, h); err != nil {
		return fmt.Errorf("register placer service: %w", err)
	}
	s := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { log.Debug("peer connection ended", "error", err) },
	})
	err := s.Serve(ctx, l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Place requests a placement from the instance at address. The call is limited by
// ctx only.
func (c *Client) Place(ctx context.Context, address string, r *wire.PlaceRequest) (*wire.PlaceReply, error) {
	reply, err := wire.NewDRPCPlacerClient(c.pool.Get(ctx, address, c.dial)).Place(ctx, r)
	if err != nil {
		return nil, callError("place-call", err)
	}
	return reply, nil
}

// Settle reports ended placements to the instance at address.
func (c *Client) Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error) {
	reply, err := wire.NewDRPCPlacerClient(c.pool.Get(ctx, address, c.dial)).Settle(ctx, r)
	if err != nil {
		return nil, callError("settle-placements", err)
	}
	return reply, nil
}

// Follow reads objects of the store through the instance at address.
func (c *Client) Follow(ctx context.Context, address string, r *wire.FollowRequest) (*wire.FollowReply, error) {
	reply, err := wire.NewDRPCPlacerClient(c.pool.Get(ctx, address, c.dial)).Follow(ctx, r)
	if err != nil {
		return nil, callError("follow-store", err)
	}
	return reply, nil
}

// Acquire asks the instance at address for a request to a target with a limit.
func (c *Client) Acquire(ctx context.Context, address string, r *wire.AcquireRequest) (*wire.AcquireReply, error) {
	reply, err := wire.NewDRPCPlacerClient(c.pool.Get(ctx, address, c.dial)).Acquire(ctx, r)
	if err != nil {
		return nil, callError("acquire-request", err)
	}
	return reply, nil
}

// RecordOrigins sends origins of streams to the instance at address.
func (c *Client) RecordOrigins(ctx context.Context, address string, r *wire.RecordOriginsRequest) (*wire.RecordOriginsReply, error) {
	reply, err := wire.NewDRPCPlacerClient(c.pool.Get(ctx, address, c.dial)).RecordOrigins(ctx, r)
	if err != nil {
		return nil, callError("record-origins", err)
	}
	return reply, nil
}
