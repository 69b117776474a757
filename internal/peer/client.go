package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/peer/wire"
)

const (
	dialTimeout    = time.Second
	controlTimeout = 2 * time.Second
	poolExpiry     = time.Minute
	poolCapacity   = 4096
	poolPerPeer    = 512
)

// Client calls peers. It pools idle connections; each call uses one connection.
type Client struct {
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	tls    *tls.Config
	dialer net.Dialer
}

// NewClient returns a client. With a nil configuration connections do not use
// TLS.
func NewClient(config *tls.Config) *Client {
	return &Client{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: poolExpiry, Capacity: poolCapacity, KeyCapacity: poolPerPeer,
		}),
		tls:    config,
		dialer: net.Dialer{Timeout: dialTimeout},
	}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

func (c *Client) peer(ctx context.Context, address string) wire.DRPCPeerClient {
	return wire.NewDRPCPeerClient(c.pool.Get(ctx, address, c.dial))
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &dialError{err: err}
	}
	var tr drpc.Transport = conn
	if c.tls != nil {
		secure := tls.Client(conn, c.tlsConfigFor(address))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, &dialError{err: err}
		}
		tr = secure
	}
	return drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) tlsConfigFor(address string) *tls.Config {
	config := c.tls.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return config
}

// Dispatch runs a request on a peer and writes the response to s.
func (c *Client) Dispatch(ctx context.Context, address string, r *bamboorail.Request, s bamboorail.Sink) error {
	const op = "dispatch-to-peer"
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	ctx, cancel := context.WithCancel(drpcmetadata.AddPairs(ctx, carrier))
	defer cancel()
	conn := c.pool.Get(ctx, address, c.dial)
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCPeerClient(conn).Dispatch(ctx, encodeRequest(r, time.Now()))
	if err != nil {
		return callError(op, err)
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return callError(op, err)
		}
		if event.GetRequestId() != r.RequestID {
			return requestIDMismatch(event.GetRequestId(), r.RequestID)
		}
		if err := deliver(event, s); err != nil {
			return callError(op, err)
		}
		if event.GetEnd() != nil {
			return decodeEnd(event.GetEnd())
		}
	}
}

func deliver(e *wire.DispatchEvent, s bamboorail.Sink) error {
	if e.GetHead() != nil {
		if err := s.Begin(decodeHead(e.GetHead())); err != nil {
			return err
		}
	}
	for _, chunk := range e.GetChunks() {
		if err := s.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// Heartbeat sends the state of this instance.
func (c *Client) Heartbeat(ctx context.Context, address string, state *wire.InstanceState) (*wire.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, err := c.peer(ctx, address).Heartbeat(ctx, state)
	if err != nil {
		return nil, callError("send-heartbeat", err)
	}
	return reply, nil
}

// streamPermit is a permit that is held as long as its stream is open.
type streamPermit struct{ cancel context.CancelFunc }

func (p *streamPermit) Release() { p.cancel() }

// AcquirePermit waits for a load permit from a peer. The end of ctx ends the wait,
// but does not release a granted permit.
func (c *Client) AcquirePermit(ctx context.Context, address string, r bamboorail.PermitRequest) (bamboorail.Permit, error) {
	const op = "acquire-permit"
	held, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	stream, err := c.peer(held, address).AcquirePermit(held, &wire.PermitRequest{Target: r.Target, Urgency: r.Urgency, Session: r.Session})
	if err == nil {
		_, err = stream.Recv()
	}
	if err != nil || !stop() {
		cancel()
		if err == nil {
			err = ctx.Err()
		}
		return nil, callError(op, err)
	}
	return &streamPermit{cancel: cancel}, nil
}

// Preload asks the owner of a target to load a model.
func (c *Client) Preload(ctx context.Context, address, target string, m bamboorail.ModelRef) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, err := c.peer(ctx, address).Preload(ctx, &wire.PreloadRequest{Target: target, Adapter: m.Adapter(), Version: m.Version()})
	if err != nil {
		return callError("preload", err)
	}
	return decodeEnd(reply.GetEnd())
}

// Snapshot reads the configuration of a peer, or returns nil if it is not newer
// than a revision.
func (c *Client) Snapshot(ctx context.Context, address string, newerThan uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	stream, err := c.peer(ctx, address).Snapshot(ctx, &wire.SnapshotRequest{NewerThan: newerThan})
	if err != nil {
		return nil, callError("read-snapshot", err)
	}
	var data []byte
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, callError("read-snapshot", err)
		}
		if len(data)+len(part.GetData()) > maxSnapshotBytes {
			return nil, callError("read-snapshot", errSnapshotTooLarge)
		}
		data = append(data, part.GetData()...)
	}
}

const (
	snapshotTimeout  = 30 * time.Second
	maxSnapshotBytes = 256 << 20
)

var errSnapshotTooLarge = errors.New("snapshot exceeds 256 MiB")

// Spans reads recorded spans of a peer.
func (c *Client) Spans(ctx context.Context, address string, r *wire.SpansRequest) (*wire.SpansReply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, err := c.peer(ctx, address).Spans(ctx, r)
	if err != nil {
		return nil, callError("read-spans", err)
	}
	return reply, nil
}

// ZoneState reads a peer's view of its zone.
func (c *Client) ZoneState(ctx context.Context, address string) (*wire.ZoneStateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, err := c.peer(ctx, address).ZoneState(ctx, &wire.ZoneStateRequest{})
	if err != nil {
		return nil, callError("read-zone-state", err)
	}
	return reply, nil
}
