package retry

import (
	"testing"
	"time"
)

// TestWindowBoundsRetries checks that no window holds more retries than the
// fraction of its requests and the constant allow.
func TestWindowBoundsRetries(t *testing.T) {
	cases := map[string]struct {
		requests int
		want     int
	}{
		"no requests":   {0, 3},
		"some requests": {50, 13},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := NewWindowBudget(0.2, 3, 10*time.Second)
			now := w.start.Add(time.Second)
			for range c.requests {
				w.RecordRequest(now)
			}
			taken := 0
			for range 100 {
				if w.Take(now) {
					taken++
				}
			}
			if taken != c.want {
				t.Errorf("%d retries, want %d", taken, c.want)
			}
			if w.Return(now); !w.Take(now) || w.Take(now) {
				t.Error("one retry that was taken back is not available once")
			}
			if w.Available(now.Add(9 * time.Second)) {
				t.Error("a retry is available before the window has passed")
			}
			if !w.Available(now.Add(11 * time.Second)) {
				t.Error("no retry is available after the window has passed")
			}
		})
	}
}
