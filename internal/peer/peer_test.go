package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/task"
)

// handler serves peers from its fields.
type handler struct {
	chunks  []string
	err     error
	permits chan struct{}
	silent  atomic.Bool
}

func (h *handler) Serve(_ context.Context, _ *bamboorail.Request, s bamboorail.Sink) error {
	if err := s.Begin(bamboorail.ResponseHead{Status: 200, Target: "t", QueueWait: time.Second}); err != nil {
		return err
	}
	for _, c := range h.chunks {
		if err := s.Write([]byte(c)); err != nil {
			return err
		}
	}
	return h.err
}

func (h *handler) Heartbeat(s *wire.InstanceState) *wire.HeartbeatReply {
	return &wire.HeartbeatReply{Session: "me", Revision: s.GetRevision()}
}

func (h *handler) AcquirePermit(ctx context.Context, _ bamboorail.PermitRequest) (bamboorail.Permit, error) {
	select {
	case h.permits <- struct{}{}:
		return h, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (h *handler) Reachable(string) bool                     { return !h.silent.Load() }
func (h *handler) Release()                                  { <-h.permits }
func (h *handler) Preload(string, bamboorail.ModelRef) error { return h.err }
func (h *handler) Snapshot(uint64) ([]byte, error)           { return make([]byte, 3<<20), nil }
func (h *handler) ZoneState() *wire.ZoneStateReply           { return &wire.ZoneStateReply{} }
func (h *handler) Spans(*wire.SpansRequest) *wire.SpansReply { return &wire.SpansReply{} }

func serve(t testing.TB, h peer.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := task.Start(ctx, "serve", func(ctx context.Context) error { return peer.Serve(ctx, l, h, logflags.Discard().Layer("peer")) })
	t.Cleanup(func() { cancel(); d.Join() })
	return l.Addr().String()
}

type sink struct {
	head bamboorail.ResponseHead
	text string
}

func (s *sink) Begin(h bamboorail.ResponseHead) error { s.head = h; return nil }

func (s *sink) Write(p []byte) error { s.text += string(p); return nil }

func newRequest() *bamboorail.Request {
	return &bamboorail.Request{RequestID: "r", Target: "t", Deadline: time.Now().Add(time.Minute), Body: []byte("{}")}
}

func TestDispatchResponsesAndFailures(t *testing.T) {
	c := peer.NewClient(nil)
	s := &sink{}
	if err := c.Dispatch(t.Context(), serve(t, &handler{chunks: []string{"a", "b"}}), newRequest(), s); err != nil || s.text != "ab" || s.head.QueueWait != time.Second {
		t.Errorf("error %v, text %q, head %+v", err, s.text, s.head)
	}
	failure := &peer.Error{Failure: bamboorail.Failure{
		Op: "o", Kind: bamboorail.KindOverloaded, Outcome: bamboorail.OutcomeNotRun, RetryAfter: 3 * time.Second, Err: errors.New("full"),
	}}
	err := c.Dispatch(t.Context(), serve(t, &handler{err: failure}), newRequest(), &sink{})
	f := bamboorail.FailureOf(err)
	if f.Kind != bamboorail.KindOverloaded || !bamboorail.NotRun(err) || f.RetryAfter != 3*time.Second || f.Err.Error() != "full" {
		t.Errorf("failure %+v", f)
	}
}

func TestOnlyRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := l.Addr().String()
	_ = l.Close()
	err = peer.NewClient(nil).Dispatch(t.Context(), refused, newRequest(), &sink{})
	if !bamboorail.NotRun(err) || !peer.ConnectionRefused(err) {
		t.Errorf("refused: %v", err)
	}
	for name, respond := range map[string]func(net.Conn){
		"closed at once":     func(net.Conn) {},
		"closed after bytes": func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 20)) },
		"garbage":            func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					respond(conn)
					_ = conn.Close()
				}
			}()
			err = peer.NewClient(nil).Dispatch(t.Context(), l.Addr().String(), newRequest(), &sink{})
			if err == nil || bamboorail.NotRun(err) || peer.ConnectionRefused(err) {
				t.Errorf("error %v is classified as not run", err)
			}
		})
	}
}

func TestPermitHeldForStreamLifetime(t *testing.T) {
	h := &handler{permits: make(chan struct{}, 1)}
	address := serve(t, h)
	c := peer.NewClient(nil)
	first, err := c.AcquirePermit(t.Context(), address, bamboorail.PermitRequest{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.AcquirePermit(ctx, address, bamboorail.PermitRequest{}); err == nil {
		t.Error("two permits at the same time")
	}
	first.Release()
	second, err := c.AcquirePermit(t.Context(), address, bamboorail.PermitRequest{})
	if err != nil {
		t.Fatal(err)
	}
	second.Release()
}

// TestPermitReclaimedFromUnresponsivePeer checks that the permit of a hung peer,
// whose connection stays open, is reclaimed.
func TestPermitReclaimedFromUnresponsivePeer(t *testing.T) {
	h := &handler{permits: make(chan struct{}, 1)}
	address := serve(t, h)
	c := peer.NewClient(nil)
	if _, err := c.AcquirePermit(t.Context(), address, bamboorail.PermitRequest{Session: "frozen"}); err != nil {
		t.Fatal(err)
	}
	h.silent.Store(true)
	second, err := c.AcquirePermit(t.Context(), address, bamboorail.PermitRequest{Session: "other"})
	if err != nil {
		t.Fatal(err)
	}
	second.Release()
}

func TestSnapshotInParts(t *testing.T) {
	data, err := peer.NewClient(nil).Snapshot(t.Context(), serve(t, &handler{}), 0)
	if err != nil || len(data) != 3<<20 {
		t.Errorf("%d bytes, error %v", len(data), err)
	}
}

// FuzzPeerListener sends arbitrary bytes to the peer listener, which must keep
// serving valid peers.
func FuzzPeerListener(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x03, 0x01, 0x01, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{0})
	address := serve(f, &handler{})
	c := peer.NewClient(nil)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(data)
		_ = conn.Close()
		if _, err := c.Heartbeat(t.Context(), address, &wire.InstanceState{Revision: 7}); err != nil {
			t.Error(err)
		}
	})
}
