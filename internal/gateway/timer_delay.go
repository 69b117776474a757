package gateway

import (
	"context"
	"time"

	"bamboorail.example/bamboorail/internal/task"
)

const (
	// timerCheckInterval is the time between measurements of timer delay.
	timerCheckInterval = 250 * time.Millisecond
	// timerDelayWarning is the delay from which a warning is logged. A caller
	// that disconnects must have freed its engine 500 ms later (page RULES),
	// including the network round trip.
	timerDelayWarning = 200 * time.Millisecond
)

// measureTimerDelay measures how late the timers of this instance fire, which
// is the time for which work waits for the processor, or for which the process was paused.
func (g *Gateway) measureTimerDelay(ctx context.Context) error {
	for {
		before := time.Now()
		if err := task.Sleep(ctx, timerCheckInterval); err != nil {
			return err
		}
		late := time.Since(before) - timerCheckInterval
		g.metrics.RecordTimerDelay(late)
		for _, z := range g.holders {
			z.Local.RecordPause(late)
		}
		if late >= timerDelayWarning {
			g.log.Warn("timer fired late", "late-ms", late.Milliseconds())
		}
	}
}
