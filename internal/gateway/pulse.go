package gateway

import (
	"context"
	"time"

	"bamboorail.example/bamboorail/internal/duty"
)

const (
	// pulseInterval is the time between measurements of late timers.
	pulseInterval = 250 * time.Millisecond
	// noticedLate is logged: a caller that leaves must have freed its engine
	// 500 ms later (page RULES), with the way there and back.
	noticedLate = 200 * time.Millisecond
)

// pulse measures how late timers of this instance fire, which is the time for
// which work waits for the processor.
func (g *Gateway) pulse(ctx context.Context) error {
	for {
		before := time.Now()
		if err := duty.Sleep(ctx, pulseInterval); err != nil {
			return err
		}
		late := time.Since(before) - pulseInterval
		g.metrics.Late(late)
		if late >= noticedLate {
			g.log.Warn("timers are late", "late-ms", late.Milliseconds())
		}
	}
}
