package logflags

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringLines is the number of lines that wait for the output.
	ringLines = 4096
	// linesPerSecond and lineBurst bound the volume under load; a node of the
	// design size serves some 40 calls a second, a line each.
	linesPerSecond = 400
	lineBurst      = 2000
	// dropNotice is the least time between notices of dropped lines.
	dropNotice = time.Second
)

// Ring is a log output that never blocks. Lines beyond its capacity or rate
// are dropped and counted.
type Ring struct {
	lines   chan []byte
	dropped atomic.Uint64

	mu     sync.Mutex
	tokens float64
	filled time.Time
	now    func() time.Time
}

// NewRing returns a ring whose lines Run writes.
func NewRing() *Ring {
	return &Ring{lines: make(chan []byte, ringLines), tokens: lineBurst, filled: time.Now(), now: time.Now}
}

// Write takes in a line. It always reports success.
func (r *Ring) Write(line []byte) (int, error) {
	if !r.admit() {
		r.dropped.Add(1)
		return len(line), nil
	}
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

func (r *Ring) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.tokens = min(lineBurst, r.tokens+now.Sub(r.filled).Seconds()*linesPerSecond)
	r.filled = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Run writes the lines to w until ctx ends, and then those that wait. A line
// that w does not take is dropped and counted: its reader may come back.
func (r *Ring) Run(ctx context.Context, w io.Writer) error {
	notice := time.NewTicker(dropNotice)
	defer notice.Stop()
	for {
		select {
		case line := <-r.lines:
			r.put(w, line)
		case <-notice.C:
			r.report(w)
		case <-ctx.Done():
			r.flush(w)
			return nil
		}
	}
}

func (r *Ring) flush(w io.Writer) {
	for {
		select {
		case line := <-r.lines:
			r.put(w, line)
		default:
			r.report(w)
			return
		}
	}
}

func (r *Ring) put(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		r.dropped.Add(1)
	}
}

// report writes the number of lines dropped since the last report.
func (r *Ring) report(w io.Writer) {
	n := r.dropped.Swap(0)
	if n == 0 {
		return
	}
	if _, err := fmt.Fprintf(w, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n); err != nil {
		r.dropped.Add(n)
	}
}
