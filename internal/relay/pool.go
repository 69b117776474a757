package relay

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bamboorail.example/bamboorail"
)

const (
	// dialTimeout bounds a connection attempt; a handshake takes 1 ms and some
	// milliseconds of way. A lost packet would be repeated after a second.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes idle connections to targets that announce no timeout.
	idleTimeout = 4 * time.Second
	// idleMargin closes an idle connection before its target does.
	idleMargin = 700 * time.Millisecond
	// sendTimeout ends a connection whose data the peer does not acknowledge.
	sendTimeout = 2 * time.Second
	// probeInterval and probeCount find silent connections within 3 s, the
	// time after which a machine counts as in contact again (bound contact_ms).
	probeInterval = time.Second
	probeCount    = 2
	// idlePerTarget bounds the idle connections to one target, whose
	// connections all instances share.
	idlePerTarget = 32
)

// NewDialer returns a dialer whose connections end within seconds when the
// peer falls silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

// pool keeps one set of connections for each start of a target.
type pool struct {
	dialer *net.Dialer

	mu      sync.Mutex
	targets map[bamboorail.TargetID]*connections
}

// connections are the transports of one target.
type connections struct {
	address string
	kept    *http.Transport
	single  *http.Transport
	idle    time.Duration
}

func newPool(d *net.Dialer) *pool {
	return &pool{dialer: d, targets: map[bamboorail.TargetID]*connections{}}
}

// transport returns the transport for a call. A call that must not be
// repeated gets a connection of its own: a kept connection may be closed by
// its peer while the call is on its way, and may carry an answer left over
// from an earlier call.
func (p *pool) transport(t bamboorail.TargetEntry, single bool) http.RoundTripper {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.targets[t.ID]
	if c == nil || c.address != t.Address {
		c = &connections{address: t.Address, idle: idleTimeout, kept: p.newTransport(idleTimeout), single: p.newTransport(idleTimeout)}
		c.single.DisableKeepAlives = true
		p.targets[t.ID] = c
	}
	if single {
		return c.single
	}
	return c.kept
}

func (p *pool) newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: p.dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: idlePerTarget, IdleConnTimeout: idle,
	}
}

// learn shortens the idle time of a target's connections to what it announces.
func (p *pool) learn(id bamboorail.TargetID, keepAlive string) {
	idle, ok := announcedIdle(keepAlive)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.targets[id]
	if c == nil || idle >= c.idle {
		return
	}
	old := c.kept
	c.kept, c.idle = p.newTransport(idle), idle
	old.CloseIdleConnections()
}

// announcedIdle reads the timeout of a Keep-Alive field, less a margin.
func announcedIdle(keepAlive string) (time.Duration, bool) {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, time.Millisecond), true
	}
	return 0, false
}

// retain closes the connections of targets that are gone.
func (p *pool) retain(live func(bamboorail.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.targets {
		if !live(id) {
			c.kept.CloseIdleConnections()
			delete(p.targets, id)
		}
	}
}
