package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/membership"
	"bamboorail.example/bamboorail/internal/peer"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/internal/task"
)

// peerHandler serves peer calls. A response has as many chunks as the request
// has tokens.
type peerHandler struct{ peer.Handler }

func (peerHandler) Heartbeat(s *wire.InstanceState) *wire.HeartbeatReply {
	return &wire.HeartbeatReply{Session: "00000000-0000-0000-0000-000000000000", Instance: "vstup-a1", Revision: s.GetRevision()}
}

func (peerHandler) Serve(_ context.Context, w *bamboorail.Request, s bamboorail.Sink) error {
	if err := s.Begin(bamboorail.ResponseHead{Status: 200}); err != nil {
		return err
	}
	chunk := []byte(`{"id":"sala-a.00000000-0000-0000-0000-000000000000","object":"text_completion","model":"suhrn@v1","choices":[{"index":0,"text":" t12345","finish_reason":null}]}`)
	for range w.Tokens {
		if err := s.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startPeerServer starts a peer server on a loopback port. It returns the
// address and a function that stops the server.
func startPeerServer(bytes *atomic.Int64) (string, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := task.Start(ctx, "serve", func(ctx context.Context) error {
		return peer.Serve(ctx, countingListener{l, bytes}, peerHandler{}, logflags.Discard().Layer("peer"))
	})
	return l.Addr().String(), func() { cancel(); d.Join() }, nil
}

// heartbeatMessage returns a heartbeat that reports the given number of changed
// targets, each with eight adapters.
func heartbeatMessage(changed int) *wire.InstanceState {
	s := &wire.InstanceState{
		Session: "00000000-0000-0000-0000-000000000000", Instance: "vstup-a1", Zone: "sala-a", Region: "kosice",
		Peer: "192.0.2.11:7102", Revision: 1 << 20,
	}
	for n := range 5 {
		name := fmt.Sprintf("jazykovy-stroj-%d", n)
		s.Owned = append(s.Owned, name)
		if n >= changed {
			continue
		}
		t := &wire.TargetState{Target: name, Term: 1 << 40, Slots: 8, MaxBatch: 16, Running: 9, Queued: 2, WaitMicros: 1, LoadMicros: 1e6}
		for k := range 8 {
			t.Loaded = append(t.Loaded, &wire.SlotState{Model: fmt.Sprintf("adapter-%d@v1", k), Ready: true, Running: 2, Handle: fmt.Sprintf("adapter-%d@v1#4972661456.%d", k, k)})
		}
		s.Targets = append(s.Targets, t)
	}
	return s
}

// measureHeartbeats measures one round of heartbeats to a number of peers: CPU
// time of both sides, and bytes on the wire including framing.
func measureHeartbeats() ([]series, error) {
	const rounds = 300
	processor := series{name: "heartbeat round, both sides, by peers", unit: "us"}
	traffic := series{name: "heartbeat round, bytes, by peers", unit: "B"}
	for _, peers := range []int{2, 7, 14, 28, 56} {
		spent, bytes, err := measureHeartbeatRounds(peers, rounds)
		if err != nil {
			return nil, err
		}
		processor.samples = append(processor.samples, sample{float64(peers), float64(spent.Microseconds()) / rounds})
		traffic.samples = append(traffic.samples, sample{float64(peers), float64(bytes) / rounds})
	}
	size := series{name: "heartbeat message, bytes, by changed targets", unit: "B"}
	for _, changed := range []int{0, 1, 2, 5} {
		size.samples = append(size.samples, sample{float64(changed), float64(proto.Size(heartbeatMessage(changed)))})
	}
	return []series{processor, traffic, size}, nil
}

// measureHeartbeatRounds measures rounds of heartbeats over connections that are
// already open. It returns the CPU time and the bytes on the wire.
func measureHeartbeatRounds(peers, rounds int) (time.Duration, int64, error) {
	var bytes atomic.Int64
	addresses := make([]string, peers)
	for n := range addresses {
		address, stop, err := startPeerServer(&bytes)
		if err != nil {
			return 0, 0, err
		}
		defer stop()
		addresses[n] = address
	}
	c := peer.NewClient(nil)
	message := heartbeatMessage(1)
	round := func() error {
		for _, a := range addresses {
			if _, err := c.Heartbeat(context.Background(), a, message); err != nil {
				return err
			}
		}
		return nil
	}
	if err := round(); err != nil {
		return 0, 0, err
	}
	bytes.Store(0)
	before := processCPUTime()
	for range rounds {
		if err := round(); err != nil {
			return 0, 0, err
		}
	}
	return processCPUTime() - before, bytes.Load(), nil
}

// measureSessions measures one session listing: bytes and CPU time.
func measureSessions() ([]series, error) {
	const rounds = 50
	traffic := series{name: "session listing, bytes, by sessions", unit: "B"}
	processor := series{name: "session listing, processor, by sessions", unit: "us"}
	for _, count := range []int{28, 56, 120, 240, 420} {
		store := memory.NewStore()
		for n := range count {
			k := platform.NewSessionRenewer(store, platform.Session{
				ID: fmt.Sprintf("00000000-0000-0000-0000-%012d", n), Instance: fmt.Sprintf("vstup-%d", n), Zone: "sala-a", Region: "kosice",
				Peer: "192.0.2.11:7102", Caller: "192.0.2.11:7101",
			})
			if err := k.Renew(context.Background(), false); err != nil {
				return nil, err
			}
		}
		objects, revision, err := store.List(context.Background(), "sessions/")
		if err != nil {
			return nil, err
		}
		body, err := json.Marshal(bamboorail.Events{Revision: revision, Objects: objects})
		if err != nil {
			return nil, err
		}
		d := membership.NewDirectory(platform.Session{ID: "self"})
		before := processCPUTime()
		for range rounds {
			var events bamboorail.Events
			if err := json.Unmarshal(body, &events); err != nil {
				return nil, err
			}
			d.ApplySessions("", events.Objects, time.Now())
		}
		processor.samples = append(processor.samples, sample{float64(count), float64((processCPUTime() - before).Microseconds()) / rounds})
		traffic.samples = append(traffic.samples, sample{float64(count), float64(len(body))})
	}
	return []series{traffic, processor}, nil
}

const batchSize = 1000

// measureConfiguration measures a configuration reader with a number of
// adapters: memory, CPU time of the first read, and CPU time and bytes of one
// change.
func measureConfiguration() ([]series, error) {
	memoryUse := series{name: "configuration in memory, by adapters", unit: "B"}
	first := series{name: "first read, processor, by adapters", unit: "us"}
	change := series{name: "one change, processor, by adapters", unit: "us"}
	traffic := series{name: "one change, bytes read, by adapters", unit: "B"}
	for _, adapters := range []int{3000, 10000, 40000, 85000} {
		store := memory.NewStore()
		if err := declareAdapters(store, adapters); err != nil {
			return nil, err
		}
		before := liveHeapBytes()
		start := processCPUTime()
		r := platform.NewReader(store, func(*platform.View, []error) {})
		if err := r.Refresh(context.Background()); err != nil {
			return nil, err
		}
		first.samples = append(first.samples, sample{float64(adapters), float64((processCPUTime() - start).Microseconds())})
		memoryUse.samples = append(memoryUse.samples, sample{float64(adapters), liveHeapBytes() - before})
		if err := commitAdapters(store, "change", adapters/2, 1); err != nil {
			return nil, err
		}
		bytes, err := bytesPerChange(store)
		if err != nil {
			return nil, err
		}
		start = processCPUTime()
		if err := r.Refresh(context.Background()); err != nil {
			return nil, err
		}
		change.samples = append(change.samples, sample{float64(adapters), float64((processCPUTime() - start).Microseconds())})
		traffic.samples = append(traffic.samples, sample{float64(adapters), float64(bytes)})
		runtime.KeepAlive(r)
	}
	return []series{memoryUse, first, change, traffic}, nil
}

func declareAdapters(store bamboorail.ObjectStore, adapters int) error {
	for from := 0; from < adapters; from += batchSize {
		if err := commitAdapters(store, fmt.Sprintf("declare-%d", from), from, min(batchSize, adapters-from)); err != nil {
			return err
		}
	}
	return nil
}

func commitAdapters(store bamboorail.ObjectStore, id string, from, count int) error {
	head, _, err := platform.ReadHead(context.Background(), store)
	if err != nil {
		return err
	}
	c := platform.Change{ID: id, Base: head.Revision}
	for n := range count {
		c.Apply = append(c.Apply, json.RawMessage(fmt.Sprintf(
			`{"schema-version":1,"kind":"adapter","name":"adapter-%06d","base-model":"zaklad","versions":[{"name":"v1","source":"weights/adapter-%06d/v1"},{"name":"v2","source":"weights/adapter-%06d/v2"}]}`,
			from+n, from+n, from+n)))
	}
	_, err = platform.NewWriter(store).Commit(context.Background(), c)
	return err
}

// bytesPerChange returns the bytes that a reader fetches for one change: the
// head and one shard.
func bytesPerChange(store bamboorail.ObjectStore) (int64, error) {
	head, err := store.Get(context.Background(), platform.HeadKey)
	if err != nil {
		return 0, err
	}
	shards, _, err := store.List(context.Background(), "config/shard/7/")
	if err != nil || len(shards) == 0 {
		return 0, fmt.Errorf("shard 7 not found: %w", err)
	}
	return int64(len(head.Value) + len(shards[0].Value)), nil
}

type countingSink struct{ chunks int }

func (c *countingSink) Begin(bamboorail.ResponseHead) error { return nil }

func (c *countingSink) Write([]byte) error { c.chunks++; return nil }

// measureHop measures the hop between two instances: CPU time of both sides by
// the number of relayed tokens.
func measureHop() ([]series, error) {
	processor := series{name: "hop between instances, both sides, by tokens", unit: "us"}
	var bytes atomic.Int64
	address, stop, err := startPeerServer(&bytes)
	if err != nil {
		return nil, err
	}
	defer stop()
	c := peer.NewClient(nil)
	for _, count := range []int{10000, 20000, 40000, 80000, 160000} {
		w := &bamboorail.Request{RequestID: "r", Target: "t", Tokens: count, Deadline: time.Now().Add(time.Minute)}
		before := processCPUTime()
		s := &countingSink{}
		if err := c.Dispatch(context.Background(), address, w, s); err != nil {
			return nil, err
		}
		processor.samples = append(processor.samples, sample{float64(count), float64((processCPUTime() - before).Microseconds())})
	}
	return []series{processor}, nil
}
