package origin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/lease"
)

const (
	// announceSenders is the number of batches of announcements that an instance sends at
	// the same time.
	announceSenders = 3
	// awaitTimeout bounds a message whose reply is sent after a write to the store,
	// announceTimeout all tries to store an announcement.
	awaitTimeout    = 500 * time.Millisecond
	announceTimeout = 1200 * time.Millisecond
	// holderPause is the time for which a holder that stored nothing gets no
	// announcements.
	holderPause = 2 * time.Second
	// baselinePause is the time for which streams begin at the baseline only after an
	// origin could not be stored.
	baselinePause = time.Second
)

// closedChannel is the channel of announcements that are not stored.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

var (
	errNoHolder    = errors.New("no holder of a zone has stored them")
	errCorrections = errors.New("too many other origins were announced")
)

// announcement is an origin that is being stored.
type announcement struct {
	call   string
	origin bamboorail.StreamOrigin
	// correction is the number of announcements of other origins before. Those of the
	// instance that serves the caller follow those of instances that ran the call for it.
	correction int
	at         time.Time
	// era is the era of the store before the announcement was stored.
	era uint64
	// done is closed after err has been set.
	done chan struct{}
	err  error
}

// announcer queues announcements for the senders.
type announcer struct {
	wake chan struct{}
	// era returns the era of the store.
	era func() uint64

	mu     sync.Mutex
	byCall map[string]*announcement
	queue  []*announcement
	// pausedHolders are the times, by zone, until which a holder gets no announcements;
	// failedAt is the time of the last failure to store one.
	pausedHolders map[string]time.Time
	failedAt      time.Time
}

func newAnnouncer(era func() uint64) *announcer {
	return &announcer{wake: make(chan struct{}, 1), era: era, byCall: map[string]*announcement{}, pausedHolders: map[string]time.Time{}}
}

// announce queues the first announcement of a call whose stream has not begun.
func (a *announcer) announce(call string, o bamboorail.StreamOrigin, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byCall[call] == nil {
		a.add(&announcement{call: call, origin: o, at: now})
	}
}

// begin records that the stream of a call begins at o without an announcement. It returns false
// if another origin was announced.
func (a *announcer) begin(call string, o bamboorail.StreamOrigin, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.byCall[call]; old != nil {
		return old.origin == o
	}
	a.byCall[call] = &announcement{call: call, origin: o, at: now, done: closedChannel}
	return true
}

// confirm returns the announcement of a call whose stream begins at o, and queues it unless
// it exists. It corrects an announcement of another origin, and all those of other instances
// if settles is set. It returns nil if there were too many.
func (a *announcer) confirm(call string, o bamboorail.StreamOrigin, settles bool, now time.Time) *announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, last := &announcement{call: call, origin: o, at: now}, maxCorrections
	if settles {
		n.correction, last = firstSettled, lastSettled
	}
	switch old := a.byCall[call]; {
	case old == nil, old.correction < n.correction:
	case old.origin != o && old.correction >= last:
		return nil
	case old.origin != o:
		n.correction = old.correction + 1
	case old.hasFailed():
		n.correction = old.correction
	default:
		return old
	}
	return a.add(n)
}

// add queues an announcement. The caller holds the lock.
func (a *announcer) add(n *announcement) *announcement {
	n.done, n.era = make(chan struct{}), a.era()
	a.byCall[n.call] = n
	a.queue = append(a.queue, n)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return n
}

func (n *announcement) id() streamID { return newCorrectionID(n.call, n.correction) }

func (n *announcement) hasFailed() bool {
	select {
	case <-n.done:
		return n.err != nil
	default:
		return false
	}
}

// of returns the announcement of a call, or nil.
func (a *announcer) of(call string) *announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byCall[call]
}

func (a *announcer) take() []*announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.queue
	a.queue = nil
	return list
}

// finish records the result of announcements.
func (a *announcer) finish(list []*announcement, err error, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.failedAt = now
	}
	for _, n := range list {
		n.err = err
		close(n.done)
	}
}

// hasFailedWithin reports whether an announcement has failed within a time.
func (a *announcer) hasFailedWithin(d time.Duration, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.failedAt.IsZero() && now.Sub(a.failedAt) < d
}

func (a *announcer) isPaused(zone string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.pausedHolders[zone])
}

func (a *announcer) pause(zone string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pausedHolders[zone] = until
}

// expire removes the announcements of calls that have ended.
func (a *announcer) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for call, n := range a.byCall {
		if now.Sub(n.at) > bamboorail.StreamLifetime {
			delete(a.byCall, call)
		}
	}
}

// isHarmless reports whether a stream may begin at o without a stored origin. It is then
// resumed at the baseline or refused, which is right if o is the baseline as far as this
// instance can determine, or while the baseline has no targets.
func (r *Registry) isHarmless(o bamboorail.StreamOrigin, corrects bool) bool {
	b, known := r.known.get(o.Service)
	alone := len(r.Fleet.Software(o.Service)) == 1
	switch {
	case !known || b.suspended:
		return alone
	case b.software == o.Software:
		return alone || corrects || r.isRecent(b)
	}
	return !r.hasTargets(o.Service, b.software)
}

func (r *Registry) hasTargets(service, software string) bool {
	return slices.ContainsFunc(r.Fleet.Service(service), func(e bamboorail.TargetEntry) bool { return e.Software == software })
}

// Permitted returns the baseline of a service while no other origins can be stored.
func (r *Registry) Permitted(service string) string {
	if !r.announcer.hasFailedWithin(baselinePause, time.Now()) {
		return ""
	}
	b, known := r.known.get(service)
	if !known || b.suspended || !r.hasTargets(service, b.software) {
		return ""
	}
	return b.software
}

// Announce starts to store that the stream of a call may begin at o.
func (r *Registry) Announce(call string, o bamboorail.StreamOrigin) {
	if call != "" && r.mustStore(o) {
		r.announcer.announce(call, o, time.Now())
	}
}

// Record records where the stream of a call begins. Unless that is the baseline of the
// service, it returns once the origin is stored.
func (r *Registry) Record(ctx context.Context, call string, o bamboorail.StreamOrigin) error {
	if call == "" || !r.mustStore(o) && r.announcer.begin(call, o, time.Now()) {
		r.Cache(call, o)
		return nil
	}
	announced := r.announcer.of(call)
	return r.store(ctx, r.announcer.confirm(call, o, false, time.Now()), announced != nil && announced.origin != o)
}

// Settle records where the stream of a call begins that other instances ran for this one.
func (r *Registry) Settle(ctx context.Context, call string, o bamboorail.StreamOrigin, recorded bool) error {
	if call == "" || recorded && r.announcer.begin(call, o, time.Now()) {
		r.Cache(call, o)
		return nil
	}
	r.Log.Info("origin of stream differs from what may be stored", "call", call, "service", o.Service, "software", o.Software)
	return r.store(ctx, r.announcer.confirm(call, o, true, time.Now()), true)
}

// store waits until the origin of a stream that begins is stored. corrects is set if another
// origin may be stored.
func (r *Registry) store(ctx context.Context, n *announcement, corrects bool) error {
	if n == nil {
		return notStored(errCorrections)
	}
	var err error
	select {
	case <-n.done:
		err = n.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	switch {
	case err == nil:
		r.table.recordBegun(n.id(), n.origin, n.era, time.Now())
	case r.isHarmless(n.origin, corrects):
		r.table.record(n.id(), n.origin, time.Now())
	default:
		return notStored(err)
	}
	return nil
}

// runAnnounce stores announcements until ctx ends.
func (r *Registry) runAnnounce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			r.announcer.finish(r.announcer.take(), ctx.Err(), time.Now())
			return ctx.Err()
		case <-r.announcer.wake:
		}
		list := r.announcer.take()
		if len(list) == 0 {
			continue
		}
		b := batch{}
		for _, n := range list {
			b[n.origin] = append(b[n.origin], n.id())
		}
		err := r.storeNow(ctx, b)
		if err != nil {
			r.Log.Warn("announced origins of streams not stored", "streams", len(list), "error", err)
		}
		r.announcer.finish(list, err, time.Now())
	}
}

// storeNow stores origins through the first holder that does, or else writes them itself.
func (r *Registry) storeNow(ctx context.Context, b batch) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for _, z := range r.Zones {
		if r.announcer.isPaused(z.Name, time.Now()) {
			continue
		}
		err := r.storeThrough(ctx, z, b)
		if err == nil {
			return nil
		}
		r.announcer.pause(z.Name, time.Now().Add(holderPause))
		r.Log.Info("announced origins of streams not stored by holder", "zone", z.Name, "error", err)
	}
	return r.storeIn(ctx, r.Zones[0].Name, b)
}

// storeThrough stores origins through the holder of a zone.
func (r *Registry) storeThrough(ctx context.Context, z lease.Zone, b batch) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	if z.Lease.Leading() {
		return r.storeIn(ctx, z.Name, b)
	}
	_, address := z.Lease.Holder()
	if address == "" {
		return errNoHolder
	}
	reply, err := r.Peers.RecordOrigins(ctx, address, r.request(z, b, true))
	r.Store.ObserveEra(reply.GetEra())
	switch {
	case err != nil:
		return err
	case !reply.GetHolder():
		return errNoHolder
	}
	return nil
}

// storeIn writes origins to the journal of a zone.
func (r *Registry) storeIn(ctx context.Context, zone string, b batch) error {
	written := r.journals[zone].addAwaited(b)
	select {
	case r.urgent <- struct{}{}:
	default:
	}
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
