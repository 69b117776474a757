package peer

import (
	"context"
	"errors"
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
	Forward(r *wire.ForwardRequest, stream wire.DRPCPlacer_ForwardStream) error
	Neighbors(ctx context.Context, r *wire.NeighborsRequest) (*wire.NeighborsReply, error)
	Credit(ctx context.Context, r *wire.CreditRequest) (*wire.CreditReply, error)
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

// Neighbors lists the instances of a zone by the holder at address.
func (c *Client) Neighbors(ctx context.Context, address string, r *wire.NeighborsRequest) (*wire.NeighborsReply, error) {
	reply, err := wire.NewDRPCPlacerClient(c.pool.Get(ctx, address, c.dial)).Neighbors(ctx, r)
	if err != nil {
		return nil, callError("list-neighbors", err)
	}
	return reply, nil
}

// Credit requests quota credit of workspaces from the instance at address.
func (c *Client) Credit(ctx context.Context, address string, r *wire.CreditRequest) (*wire.CreditReply, error) {
	reply, err := wire.NewDRPCPlacerClient(c.pool.Get(ctx, address, c.dial)).Credit(ctx, r)
	if err != nil {
		return nil, callError("move-credit", err)
	}
	return reply, nil
}

// ForwardStream is the answer to a forwarded call.
type ForwardStream struct {
	stream wire.DRPCPlacer_ForwardClient
	close  func() error
}

// Forward sends a call to the instance at address. The answer ends with ctx, and must be
// closed.
func (c *Client) Forward(ctx context.Context, address string, r *wire.ForwardRequest) (*ForwardStream, error) {
	conn := c.pool.Get(ctx, address, c.dial)
	stream, err := wire.NewDRPCPlacerClient(conn).Forward(ctx, r)
	if err != nil {
		return nil, errors.Join(callError("forward-call", err), conn.Close())
	}
	return &ForwardStream{stream: stream, close: conn.Close}, nil
}

// Recv returns the next part of the answer, or the failure with which it ended.
func (s *ForwardStream) Recv() (*wire.ForwardEvent, error) {
	event, err := s.stream.Recv()
	if err != nil {
		return nil, callError("forward-call", err)
	}
	if end := event.GetEnd(); end != nil {
		return event, decodeEnd(end)
	}
	return event, nil
}

// Close releases the connection.
func (s *ForwardStream) Close() error { return errors.Join(s.stream.Close(), s.close()) }

// EncodeEnd returns the last event of an answer.
func EncodeEnd(err error) *wire.ForwardEvent { return &wire.ForwardEvent{End: encodeEnd(err)} }
