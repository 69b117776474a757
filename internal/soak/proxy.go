package soak

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"bamboorail.example/bamboorail/internal/task"
)

// linkState is the fault that a proxy applies to its connections.
type linkState int

const (
	linkOpen linkState = iota
	// linkSilent blocks both directions, linkOneWay only the responses.
	linkSilent
	linkOneWay
	// linkReset resets existing and new connections.
	linkReset
	// linkSlow delays each read by linkDelay.
	linkSlow
)

// linkDelay is well above the round trip between regions, and below the
// timeouts of all calls.
const linkDelay = 200 * time.Millisecond

// attachTime bounds the wait for a port that another run probes.
const attachTime = 2 * time.Second

// proxy forwards TCP connections to a target and injects link faults.
type proxy struct {
	listening string
	target    string

	mu       sync.Mutex
	listener net.Listener
	state    linkState
	changed  chan struct{}
	open     map[*net.TCPConn]struct{}
}

// newProxy returns a proxy that listens on a loopback address.
func newProxy(ctx context.Context, address, target string) (*proxy, error) {
	p := &proxy{listening: address, target: target, changed: make(chan struct{}), open: map[*net.TCPConn]struct{}{}}
	return p, p.attach(ctx)
}

func (p *proxy) address() string { return p.listening }

// attach starts listening, when the target starts.
func (p *proxy) attach(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	// Another run that probes for free ports may hold this one briefly.
	ctx, cancel := context.WithTimeout(ctx, attachTime)
	defer cancel()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.listening)
	for err != nil && task.Sleep(ctx, pollInterval) == nil {
		l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", p.listening)
	}
	if err != nil {
		return err
	}
	p.listener = l
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// detach closes the listener, so that connections are refused as at the port of
// a target that has exited.
func (p *proxy) detach() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// attached returns the listener, and a channel that is closed at the next
// change if there is none.
func (p *proxy) attached() (net.Listener, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener, p.changed
}

// set changes the link state.
func (p *proxy) set(s linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	close(p.changed)
	p.changed = make(chan struct{})
	if s != linkReset {
		return
	}
	for c := range p.open {
		// Sends RST instead of FIN.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// run accepts connections until ctx ends.
func (p *proxy) run(ctx context.Context) error {
	closing := task.Start(ctx, "close", func(ctx context.Context) error {
		<-ctx.Done()
		p.set(linkReset)
		p.detach()
		return ctx.Err()
	})
	defer closing.Join()
	var forwards []*task.Task
	defer func() {
		for _, f := range forwards {
			f.Join()
		}
	}()
	for ctx.Err() == nil {
		l, changed := p.attached()
		if l == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			continue
		}
		if err != nil {
			return err
		}
		forwards = append(forwards, task.Start(ctx, "forward", func(ctx context.Context) error {
			p.forward(ctx, c.(*net.TCPConn))
			return nil
		}))
	}
	return ctx.Err()
}

// forward connects a client connection to the target. It returns when either
// connection ends.
func (p *proxy) forward(ctx context.Context, in *net.TCPConn) {
	defer p.untrack(in)
	if !p.track(in) {
		return
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	defer p.untrack(out)
	if !p.track(out) {
		return
	}
	answers := task.Start(ctx, "answers", func(ctx context.Context) error {
		p.pipe(ctx, out, in, true)
		return nil
	})
	p.pipe(ctx, in, out, false)
	answers.Join()
}

func (p *proxy) track(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == linkReset {
		_ = c.SetLinger(0)
		return false
	}
	p.open[c] = struct{}{}
	return true
}

func (p *proxy) untrack(c *net.TCPConn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.Close()
}

// pipe copies one direction and closes both connections when it returns.
func (p *proxy) pipe(ctx context.Context, from, to *net.TCPConn, answers bool) {
	defer func() {
		// The other direction may already have closed them.
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.waitUntilOpen(ctx, answers) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilOpen waits until the link state allows data to be forwarded.
func (p *proxy) waitUntilOpen(ctx context.Context, answers bool) bool {
	for {
		p.mu.Lock()
		state, changed := p.state, p.changed
		p.mu.Unlock()
		switch {
		case state == linkSlow:
			return task.Sleep(ctx, linkDelay) == nil
		case state == linkSilent, state == linkOneWay && answers:
		default:
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
