package origin

import (
	"context"
	"slices"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/lease"
	"bamboorail.example/bamboorail/internal/peer/wire"
	"bamboorail.example/bamboorail/internal/task"
)

const (
	// shareInterval is the interval between messages to a holder, and between writes
	// of a holder.
	shareInterval = 300 * time.Millisecond
	// shareTimeout bounds a message to a holder.
	shareTimeout = 300 * time.Millisecond
	// urgentInterval is the interval between writes while calls wait for them.
	urgentInterval = 200 * time.Millisecond
	// lastWriteTimeout bounds the write of an instance that stops.
	lastWriteTimeout = 150 * time.Millisecond
)

// Run shares the origins that this instance records, and stores those that others
// send to it as a holder, until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	tasks := task.NewGroup(ctx)
	tasks.Start("share", func(ctx context.Context) error { return task.Every(ctx, shareInterval, r.share) })
	tasks.Start("restore", func(ctx context.Context) error { return task.Every(ctx, shareInterval, r.storeLost) })
	tasks.Start("store", r.runFlush)
	tasks.Start("baselines", func(ctx context.Context) error {
		return task.Every(ctx, keepInterval, func(ctx context.Context) { r.keeper.keep(ctx, r.isLeading()) })
	})
	for range announceSenders {
		tasks.Start("announce", r.runAnnounce)
	}
	err := tasks.Wait()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWriteTimeout)
	defer cancel()
	r.flush(last)
	return err
}

// isLeading reports whether this instance holds a zone.
func (r *Registry) isLeading() bool {
	return slices.ContainsFunc(r.Zones, func(z lease.Zone) bool { return z.Lease.Leading() })
}

// runFlush writes the queued origins at intervals, which are shorter while calls wait.
func (r *Registry) runFlush(ctx context.Context) error {
	for {
		started := time.Now()
		r.flush(ctx)
		next := time.NewTimer(shareInterval)
		select {
		case <-ctx.Done():
		case <-next.C:
		case <-r.urgent:
			_ = task.Sleep(ctx, time.Until(started.Add(urgentInterval)))
		}
		next.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// share sends the origins of streams at services with several software versions to
// the first holder that takes them.
func (r *Registry) share(ctx context.Context) {
	now := time.Now()
	r.table.expire(now)
	r.announcer.expire(now)
	b := r.table.unsharedBatch(r.mixedServices())
	if len(b) == 0 {
		return
	}
	for _, z := range r.Zones {
		if r.send(ctx, z, b) {
			r.table.markShared(b)
			return
		}
	}
}

// mixedServices returns a function that reports whether a service has several software
// versions now.
func (r *Registry) mixedServices() func(service string) bool {
	mixed := map[string]bool{}
	return func(service string) bool {
		several, known := mixed[service]
		if !known {
			several = len(r.Fleet.Software(service)) > 1
			mixed[service] = several
		}
		return several
	}
}

// send sends origins to the holder of a zone, and reports whether it took them.
func (r *Registry) send(ctx context.Context, z lease.Zone, b batch) bool {
	if z.Lease.Leading() {
		r.journals[z.Name].add(b)
		return true
	}
	_, address := z.Lease.Holder()
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	reply, err := r.Peers.RecordOrigins(ctx, address, r.request(z, b, false))
	r.Store.ObserveEra(reply.GetEra())
	if err != nil {
		r.Log.Debug("origins of streams not sent", "zone", z.Name, "streams", b.size(), "error", err)
		return false
	}
	return reply.GetHolder()
}

// RecordOrigins stores the origins that another instance recorded.
func (r *Registry) RecordOrigins(ctx context.Context, m *wire.RecordOriginsRequest) (*wire.RecordOriginsReply, error) {
	r.Store.ObserveEra(m.GetEra())
	for _, z := range r.Zones {
		if z.Name != m.GetZone() || !z.Lease.Leading() {
			continue
		}
		b := fromMessages(m.GetOrigins())
		if m.GetAwait() {
			if err := r.storeReceived(ctx, z.Name, b); err != nil {
				return nil, notStored(err)
			}
		} else {
			r.table.merge(b, false, time.Now())
			r.journals[z.Name].add(b)
		}
		return &wire.RecordOriginsReply{Holder: true, Stored: m.GetAwait(), Era: r.Store.Era()}, nil
	}
	return &wire.RecordOriginsReply{Era: r.Store.Era()}, nil
}

func (r *Registry) flush(ctx context.Context) {
	for _, z := range r.Zones {
		r.journals[z.Name].flush(ctx, z.Lease.Leading())
	}
}

// request returns a message to the holder of a zone.
func (r *Registry) request(z lease.Zone, b batch, await bool) *wire.RecordOriginsRequest {
	return &wire.RecordOriginsRequest{Zone: z.Name, Instance: r.Instance, Origins: messages(b), Await: await, Era: r.Store.Era()}
}

func messages(b batch) []*wire.StreamOrigins {
	list := make([]*wire.StreamOrigins, 0, len(b))
	for o, streams := range b {
		m := &wire.StreamOrigins{Service: o.Service, Software: o.Software, Streams: make([]uint64, 0, len(streams))}
		for _, id := range streams {
			m.Streams = append(m.Streams, uint64(id))
		}
		list = append(list, m)
	}
	return list
}

func fromMessages(list []*wire.StreamOrigins) batch {
	b := batch{}
	for _, m := range list {
		o := bamboorail.StreamOrigin{Service: m.GetService(), Software: m.GetSoftware()}
		for _, id := range m.GetStreams() {
			b[o] = append(b[o], streamID(id))
		}
	}
	return b
}
