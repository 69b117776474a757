package detour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/relay"
	"bamboorail.example/bamboorail/internal/task"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

var (
	errNoHead      = errors.New("the answer begins without a head")
	errNoEnd       = errors.New("the answer has no end")
	errInvalidText = errors.New("the call contains text that is not valid UTF-8")
	errUnreachable = errors.New("the instance reaches no target either")
	errLeaving     = errors.New("the instance leaves before the deadline of the call")
)

// Forward runs a call at the instance at address.
func (d *Detour) Forward(ctx context.Context, address string, c relay.ForwardCall) (relay.ForwardedAnswer, error) {
	message := requestMessage(c)
	if !isValid(message) {
		return relay.ForwardedAnswer{}, relay.NeighborFailed(&Error{bamboorail.Failure{
			Op: "forward-call", Kind: bamboorail.KindBadRequest, Outcome: bamboorail.OutcomeNotRun, Err: errInvalidText,
		}})
	}
	callCtx, cancel := context.WithCancel(ctx)
	stream, err := d.Peers.Forward(callCtx, address, message)
	if err != nil {
		cancel()
		return relay.ForwardedAnswer{}, d.pathFailed(ctx, address, err)
	}
	body := &answerBody{stream: stream, cancel: cancel}
	event, err := stream.Recv()
	head := event.GetHead()
	header := peer.DecodeHeader(head.GetHeader())
	switch {
	case event == nil:
		err = d.pathFailed(ctx, address, err)
	case err == nil && head == nil:
		err = d.pathFailed(ctx, address, errNoHead)
	case err == nil:
		if bad := httpport.CheckHead(int(head.GetStatus()), header); bad != nil {
			err = d.pathFailed(ctx, address, bad)
		}
	}
	body.record(event)
	if err != nil {
		return relay.ForwardedAnswer{Report: body.reported}, errors.Join(err, body.Close())
	}
	return relay.ForwardedAnswer{
		Response: &http.Response{
			Status: http.StatusText(int(head.GetStatus())), StatusCode: int(head.GetStatus()), Header: header, Body: body,
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: -1, TransferEncoding: []string{"chunked"},
		},
		Target:        bamboorail.TargetID{Name: head.GetTarget(), StartMillis: head.GetBorn()},
		Origin:        bamboorail.StreamOrigin{Service: head.GetService(), Software: head.GetSoftware()},
		Configuration: head.GetConfiguration(), Report: body.reported,
	}, nil
}

// pathFailed returns the failure of the way to another instance, which is not used for
// a while.
func (d *Detour) pathFailed(ctx context.Context, address string, err error) error {
	if ctx.Err() == nil {
		d.avoid(address)
		d.Log.Info("instance does not run forwarded calls", "address", address, "error", err)
	}
	return relay.NeighborFailed(err)
}

// answerBody is the body of the answer to a forwarded call.
type answerBody struct {
	stream *peer.ForwardStream
	cancel context.CancelFunc
	rest   []byte
	err    error

	mu     sync.Mutex
	report relay.ForwardReport
}

// record keeps what an event says of the attempts of the other instance.
func (b *answerBody) record(e *wire.ForwardEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e != nil && e.Runs != nil {
		b.report.Runs, b.report.Known = max(b.report.Runs, int(e.GetRuns())), true
	}
	b.report.Avoid = append(b.report.Avoid, e.GetAvoid()...)
}

// reported returns what the other instance has reported of its attempts.
func (b *answerBody) reported() relay.ForwardReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report
}

// Read returns the next part of the answer. An answer that broke off ends with an error.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		event, err := b.stream.Recv()
		b.record(event)
		switch {
		case errors.Is(err, io.EOF):
			b.err = errNoEnd // io.EOF would mean that the answer is complete
		case err != nil:
			b.err = err
		case event.GetEnd() != nil:
			b.err = io.EOF
		default:
			b.rest = event.GetChunk()
		}
	}
	if len(b.rest) == 0 {
		return 0, b.err
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the call at the other instance if it still runs.
func (b *answerBody) Close() error {
	b.cancel()
	if err := b.stream.Close(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func requestMessage(c relay.ForwardCall) *wire.ForwardRequest {
	return &wire.ForwardRequest{
		Instance: c.Instance, Method: c.Method, Uri: c.URI, Host: c.Host, Header: peer.EncodeHeader(c.Header), Body: c.Body, Workspace: c.Workspace,
		RemainingMicros: c.Remaining.Microseconds(), StartMicros: c.StartWithin.Microseconds(), Service: c.Service, Software: c.Software,
		Runs: int32(c.Runs), MaxRuns: int32(c.MaxRuns), Avoid: c.Avoid, Configuration: c.Configuration,
	}
}

// isValid reports whether a message can be encoded: its text must be valid UTF-8.
func isValid(m *wire.ForwardRequest) bool {
	texts := append([]string{m.GetMethod(), m.GetUri(), m.GetHost()}, m.GetAvoid()...)
	for _, f := range m.GetHeader() {
		texts = append(append(texts, f.GetName()), f.GetValues()...)
	}
	return !slices.ContainsFunc(texts, func(text string) bool { return !utf8.ValidString(text) })
}

// Runner runs forwarded calls.
type Runner interface {
	ServeForwarded(ctx context.Context, c relay.ForwardCall, to relay.ForwardWriter) (relay.ForwardReport, error)
}

// Server runs the calls that other instances forward.
type Server struct {
	detour *Detour
	runner Runner
	// closed is set once no more calls are accepted, running counts those accepted. ends
	// is the time by which they must have ended, nil until this instance leaves.
	closed  atomic.Bool
	running atomic.Int64
	ends    atomic.Pointer[time.Time]
}

// NewServer returns a server that runs calls with a runner.
func NewServer(d *Detour, r Runner) *Server { return &Server{detour: d, runner: r} }

// Leave accepts from now on only calls that end by a time.
func (s *Server) Leave(ends time.Time) { s.ends.Store(&ends) }

// check returns an error if a call that may last for the given time is not accepted.
func (s *Server) check(remaining time.Duration) error {
	ends := s.ends.Load()
	switch {
	case s.closed.Load(), ends != nil && time.Now().Add(remaining).After(*ends):
		return errLeaving
	case s.detour.IsPartitioned():
		return errUnreachable
	}
	return nil
}

// drainInterval is the interval at which the end of the running calls is awaited.
const drainInterval = 20 * time.Millisecond

// Drain accepts no more calls and waits for those that run, or for the end of ctx, whose
// error it returns.
func (s *Server) Drain(ctx context.Context) error {
	s.closed.Store(true)
	for s.running.Load() > 0 {
		if err := task.Sleep(ctx, drainInterval); err != nil {
			return err
		}
	}
	return nil
}

// Forward runs a call of another instance.
func (s *Server) Forward(m *wire.ForwardRequest, stream wire.DRPCPlacer_ForwardStream) error {
	s.running.Add(1)
	defer s.running.Add(-1)
	if err := s.check(microseconds(m.GetRemainingMicros())); err != nil {
		return stream.Send(peer.EncodeEnd(&Error{bamboorail.Failure{
			Op: "forward-call", Kind: bamboorail.KindNoTarget, Outcome: bamboorail.OutcomeNotRun, RetryAfter: avoidTime, Err: err,
		}}))
	}
	report, err := s.runner.ServeForwarded(stream.Context(), relay.ForwardCall{
		Instance: m.GetInstance(), Method: m.GetMethod(), URI: m.GetUri(), Host: m.GetHost(), Header: peer.DecodeHeader(m.GetHeader()), Body: m.GetBody(),
		Workspace: m.GetWorkspace(),
		Remaining: microseconds(m.GetRemainingMicros()), StartWithin: microseconds(m.GetStartMicros()),
		Service: m.GetService(), Software: m.GetSoftware(), Runs: int(m.GetRuns()),
		MaxRuns: int(m.GetMaxRuns()), Avoid: m.GetAvoid(), Configuration: m.GetConfiguration(),
	}, &streamWriter{stream})
	end := peer.EncodeEnd(err)
	end.Runs, end.Avoid = proto.Int32(int32(report.Runs)), report.Avoid
	if err := stream.Send(end); err != nil {
		return fmt.Errorf("send end of forwarded call: %w", err)
	}
	return nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// streamWriter sends an answer to the instance that forwarded the call.
type streamWriter struct{ stream wire.DRPCPlacer_ForwardStream }

// Begin sends the head of the answer.
func (w *streamWriter) Begin(h relay.ForwardedHead) error {
	return w.stream.Send(&wire.ForwardEvent{Runs: proto.Int32(int32(h.Runs)), Head: &wire.ForwardHead{
		Status: int32(h.Status), Header: peer.EncodeHeader(h.Header), Target: h.Target.Name, Born: h.Target.StartMillis,
		Service: h.Origin.Service, Software: h.Origin.Software, Configuration: h.Configuration,
	}})
}

// Write sends a part of the answer.
func (w *streamWriter) Write(chunk []byte) error {
	return w.stream.Send(&wire.ForwardEvent{Chunk: chunk})
}

// Neighbors returns the instances of the local zone that reach the targets, with this
// one.
func (s *Server) Neighbors(_ context.Context, m *wire.NeighborsRequest) (*wire.NeighborsReply, error) {
	d := s.detour
	if m.GetZone() != d.Zones[0].Name || !d.Zones[0].Lease.Leading() {
		reply := &wire.NeighborsReply{}
		if !d.IsPartitioned() {
			reply.Addresses = []string{d.Address}
		}
		return reply, nil
	}
	addresses := d.Members()
	if !d.IsPartitioned() {
		addresses = append(addresses, d.Address)
	}
	return &wire.NeighborsReply{Holder: true, Addresses: addresses}, nil
}
