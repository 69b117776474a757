package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"bamboorail.example/bamboorail"
)

// upstream is the holder of a zone.
type upstream struct {
	zone   string
	holder Holder
}

// AddFallback adds the holder of another zone. It must be called before the
// store is used.
func (s *Store) AddFallback(zone string, h Holder) {
	s.others = append(s.others, upstream{zone, h})
}

// source is an instance to read from.
type source struct{ zone, address string }

// pausedSource is an instance that gets no requests for a kind, or for any if the kind is empty.
type pausedSource struct{ address, kind string }

// sources returns the holders to read a kind from in order, or none if this instance must
// call the store directly: the holder of the zone, and one of another zone in
// case the former is down or has lost the store.
func (s *Store) sources(kind string) []source {
	if s.holder.Leading() {
		return nil
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []source
	for n, u := range append([]upstream{{s.zone, s.holder}}, s.others...) {
		_, address := u.holder.Holder()
		if address == "" || now.Before(s.retryAt[pausedSource{address, ""}]) || now.Before(s.retryAt[pausedSource{address, kind}]) {
			continue
		}
		if list = append(list, source{u.zone, address}); n > 0 {
			break
		}
	}
	return list
}

// deferToHolder allows the next call to the holder immediately, and the next call
// to a store that is overloaded or unavailable only after a delay. A store rejects
// calls when many instances read at once, for example after all were restarted;
// the holder may have the requested data by now. A call that this instance canceled
// itself says nothing about the store. The delay counts from the time at which the call
// was sent: a call that ends with its timeout does not show the state of the store at its end.
func (s *Store) deferToHolder(ctx context.Context, sent time.Time, err error) {
	kind := bamboorail.KindOf(err)
	if ctx.Err() != nil || s.holder.Leading() || (kind != bamboorail.KindOverloaded && kind != bamboorail.KindUnavailable) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.retryAt)
	delay := storeRetryDelay
	if kind == bamboorail.KindUnavailable && time.Since(s.staleReplyAt) < peerRetryDelay {
		delay = outageRetryDelay
	}
	pause := time.Until(sent.Add(delay/2 + rand.N(delay)))
	if pause <= 0 {
		return
	}
	s.refusal, s.storeRetryAt = err, time.Now().Add(pause)
	s.log.Info("calls to the store paused", "for", pause.String(), "error", err)
}

// storeRefusal returns the last error of the store while calls to it are delayed. The next attempt goes to the holder again.
func (s *Store) storeRefusal() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Leading() || time.Now().After(s.storeRetryAt) {
		return nil
	}
	clear(s.retryAt)
	return s.refusal
}

func (s *Store) isOverdue(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overdue[kind]
}

func (s *Store) setOverdue(kind string, overdue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overdue[kind] = overdue
}

func (s *Store) pause(p pausedSource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAt[p] = time.Now().Add(peerRetryDelay)
}
