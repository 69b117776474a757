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
	"bamboorail.example/bamboorail/internal/httpport"
)

const (
	// dialTimeout bounds a connection attempt. A handshake takes 1 ms plus a
	// network latency of some milliseconds; a lost packet would be
	// retransmitted only after a second.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes idle connections to targets that announce no
	// keep-alive timeout.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from an announced timeout, so that an idle
	// connection is closed before its target closes it.
	idleMargin = 700 * time.Millisecond
	// sendTimeout ends a connection whose data the peer does not acknowledge.
	sendTimeout = 2 * time.Second
	// probeInterval and probeCount detect dead connections within 3 s, the time
	// after which a machine counts as reachable again (bound contact_ms).
	probeInterval = time.Second
	probeCount    = 2
	// idlePerTarget limits the idle connections to one target, since all
	// instances share the connections that a target accepts.
	idlePerTarget = 32
	// idleLimitGrowth is the factor by which the limit of idle connections must grow to be
	// applied, since that closes those that are open.
	idleLimitGrowth = 2
)

// NewDialer returns a dialer whose connections fail within seconds if the peer
// stops responding.
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

// pool keeps separate connections for each incarnation of a target.
type pool struct {
	dialer Dialer
	// reject is called for the rejected answers of targets; it may be nil.
	reject func(id bamboorail.TargetID, r httpport.Rejection)
	// idleLimit returns the number of idle connections that this instance may keep to a
	// target of a service.
	idleLimit func(service string) int

	mu      sync.Mutex
	targets map[bamboorail.TargetID]*connections
}

// connections holds the transports to one target.
type connections struct {
	target  bamboorail.TargetID
	address string
	reused  *httpport.Transport
	single  *httpport.Transport
	idle    time.Duration
	// limit is the number of idle connections that are kept.
	limit int
}

// newPool returns a pool that keeps idlePerTarget connections to each target.
func newPool(d Dialer, reject func(id bamboorail.TargetID, r httpport.Rejection)) *pool {
	return &pool{
		dialer: d, reject: reject, idleLimit: func(string) int { return idlePerTarget }, targets: map[bamboorail.TargetID]*connections{},
	}
}

// transport returns the transport for a call. A call that must not be repeated
// gets a new connection: the peer may close a reused one while the call is in
// transit, or still send the answer to an earlier call on it.
func (p *pool) transport(t bamboorail.TargetEntry, single bool) *httpport.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := min(max(p.idleLimit(t.Service), 1), idlePerTarget)
	c := p.targets[t.ID]
	if c == nil || c.address != t.Address {
		c = &connections{target: t.ID, address: t.Address, idle: idleTimeout, limit: limit}
		c.reused, c.single = p.newTransport(c, false), p.newTransport(c, true)
		p.targets[t.ID] = c
	}
	if limit < c.limit || limit > idleLimitGrowth*c.limit {
		c.limit = limit
		p.replace(c)
	}
	if single {
		return c.single
	}
	return c.reused
}

func (p *pool) newTransport(c *connections, single bool) *httpport.Transport {
	var observe func(httpport.Rejection)
	if id := c.target; p.reject != nil {
		observe = func(r httpport.Rejection) { p.reject(id, r) }
	}
	return httpport.NewTransport(&http.Transport{
		DialContext: trackedDial(p.dialer), DisableCompression: true, DisableKeepAlives: single,
		MaxIdleConnsPerHost: c.limit, IdleConnTimeout: c.idle, MaxResponseHeaderBytes: httpport.MaxResponseHeaderBytes,
	}, observe)
}

// limitIdle shortens the idle timeout of a target's connections to the one that
// the target announces.
func (p *pool) limitIdle(id bamboorail.TargetID, keepAlive string) {
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
	c.idle = idle
	p.replace(c)
}

// replace closes the idle connections to a target, and those in use once they become
// idle. The caller holds the lock.
func (p *pool) replace(c *connections) {
	old := c.reused
	c.reused = p.newTransport(c, false)
	old.CloseIdleConnections()
}

// discard keeps further calls from the connections of a transport.
func (p *pool) discard(id bamboorail.TargetID, used *httpport.Transport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.targets[id]; c != nil && used == c.reused {
		p.replace(c)
	}
}

// announcedIdle returns the timeout in a Keep-Alive header field, less a
// margin.
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

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.targets {
		c.reused.CloseIdleConnections()
	}
}

// retain closes the connections of targets for which live returns false.
func (p *pool) retain(live func(bamboorail.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.targets {
		if !live(id) {
			c.reused.CloseIdleConnections()
			delete(p.targets, id)
		}
	}
}
