package relay

import (
	"sync"
	"time"
)

// withdrawOutdated ends the leg if the target has not answered by the time by which it must
// begin to run the call. The returned function ends the supervision.
func (l *leg) withdrawOutdated() (stop func()) {
	if l.reservation.BeginBy == nil {
		return func() {}
	}
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		now := time.Now()
		by := l.reservation.BeginBy(now)
		if !now.Before(by) {
			l.x.h.Log.Info("call withdrawn from target", "id", l.x.call.ID, "target", l.target.ID.Name, "version", l.reservation.Version, "error", errOutdated)
			l.cancel(errOutdated)
			return
		}
		timer.Reset(by.Sub(now))
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(max(time.Until(l.reservation.BeginBy(time.Now())), 0), check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}
