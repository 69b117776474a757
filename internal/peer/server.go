// Package peer implements the protocol between instances over drpc: dispatch of
// requests to the owner of a target, heartbeats, load permits and snapshots.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/propagation"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

const (
	// maxMessageBytes limits the size of a message from a peer.
	maxMessageBytes = 5 << 20
	// idleTimeout is the time without incoming data after which a connection is
	// closed.
	idleTimeout       = 2 * time.Minute
	snapshotPartBytes = 1 << 20
)

// Handler handles the calls of peers.
type Handler interface {
	// Serve runs a request from a peer.
	Serve(ctx context.Context, r *bamboorail.Request, s bamboorail.Sink) error
	// Heartbeat processes the state of a peer.
	Heartbeat(state *wire.InstanceState) *wire.HeartbeatReply
	// AcquirePermit waits for a load permit of this zone.
	AcquirePermit(ctx context.Context, r bamboorail.PermitRequest) (bamboorail.Permit, error)
	// Reachable reports whether a session responds to heartbeats.
	Reachable(session string) bool
	// Preload requests a load on an owned target.
	Preload(target string, m bamboorail.ModelRef) error
	// Snapshot returns the configuration if it is newer than a revision.
	Snapshot(newerThan uint64) ([]byte, error)
	// ZoneState returns this instance's view of its zone.
	ZoneState() *wire.ZoneStateReply
	// Spans returns recorded spans.
	Spans(r *wire.SpansRequest) *wire.SpansReply
}

// Serve serves peers on the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, h Handler, log hclog.Logger) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &server{handler: h}); err != nil {
		return fmt.Errorf("register peer service: %w", err)
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

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: idleTimeout,
	}
}

// server adapts a Handler to the generated interface.
type server struct {
	wire.DRPCPeerUnimplementedServer
	handler Handler
}

// withTrace returns ctx with the trace context received from the peer.
func withTrace(ctx context.Context) context.Context {
	pairs, ok := drpcmetadata.Get(ctx)
	if !ok {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(pairs))
}

// Dispatch runs a request and streams the response.
func (s *server) Dispatch(r *wire.DispatchRequest, stream wire.DRPCPeer_DispatchStream) error {
	request := decodeRequest(r, time.Now())
	ctx, cancel := context.WithDeadline(withTrace(stream.Context()), request.Deadline)
	defer cancel()
	sink := &streamSink{id: request.RequestID, stream: stream}
	err := s.handler.Serve(ctx, request, sink)
	return stream.Send(&wire.DispatchEvent{RequestId: request.RequestID, End: encodeEnd(err)})
}

// streamSink sends a response to the peer.
type streamSink struct {
	id     string
	stream wire.DRPCPeer_DispatchStream
}

func (s *streamSink) Begin(h bamboorail.ResponseHead) error {
	return s.stream.Send(&wire.DispatchEvent{RequestId: s.id, Head: encodeHead(h)})
}

func (s *streamSink) Write(chunk []byte) error {
	return s.stream.Send(&wire.DispatchEvent{RequestId: s.id, Chunks: [][]byte{chunk}})
}

// Heartbeat passes the state of a peer to the handler.
func (s *server) Heartbeat(_ context.Context, state *wire.InstanceState) (*wire.HeartbeatReply, error) {
	return s.handler.Heartbeat(state), nil
}

// AcquirePermit holds a permit until the peer closes the stream.
func (s *server) AcquirePermit(r *wire.PermitRequest, stream wire.DRPCPeer_AcquirePermitStream) error {
	request := bamboorail.PermitRequest{Target: r.GetTarget(), Urgency: r.GetUrgency(), Session: r.GetSession()}
	permit, err := s.handler.AcquirePermit(stream.Context(), request)
	if err != nil {
		return err
	}
	defer permit.Release()
	if err := stream.Send(&wire.PermitGranted{}); err != nil {
		return err
	}
	return s.holdPermit(stream.Context(), r.GetSession())
}

// permitCheckInterval is the interval at which the holder of a permit is checked.
const permitCheckInterval = time.Second

var errPermitLost = errors.New("the holder of the permit does not respond to heartbeats")

// holdPermit returns when the peer closes the stream or no longer responds to
// heartbeats: a hung peer must not keep all others from loading.
func (s *server) holdPermit(ctx context.Context, session string) error {
	t := time.NewTicker(permitCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if !s.handler.Reachable(session) {
				return errPermitLost
			}
		}
	}
}

// Preload passes a load request to the handler.
func (s *server) Preload(_ context.Context, r *wire.PreloadRequest) (*wire.PreloadReply, error) {
	err := s.handler.Preload(r.GetTarget(), bamboorail.NewModelRef(r.GetAdapter(), r.GetVersion()))
	return &wire.PreloadReply{End: encodeEnd(err)}, nil
}

// Snapshot sends the configuration in parts.
func (s *server) Snapshot(r *wire.SnapshotRequest, stream wire.DRPCPeer_SnapshotStream) error {
	data, err := s.handler.Snapshot(r.GetNewerThan())
	if err != nil {
		return err
	}
	for len(data) > 0 {
		n := min(len(data), snapshotPartBytes)
		if err := stream.Send(&wire.SnapshotPart{Data: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// Spans returns recorded spans.
func (s *server) Spans(_ context.Context, r *wire.SpansRequest) (*wire.SpansReply, error) {
	return s.handler.Spans(r), nil
}

// ZoneState returns this instance's view of its zone.
func (s *server) ZoneState(context.Context, *wire.ZoneStateRequest) (*wire.ZoneStateReply, error) {
	return s.handler.ZoneState(), nil
}
