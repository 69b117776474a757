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
	// ringCapacity is the maximum number of lines queued for the output.
	ringCapacity = 4096
	// linesPerSecond and lineBurst limit the log volume under load. An instance
	// of the design size serves about 40 calls/s and logs one line per call.
	linesPerSecond = 400
	lineBurst      = 2000
	// dropReportInterval is the interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter is a log output whose Write never blocks. Lines that exceed its capacity or
// rate limit are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	now        func() time.Time
}

// NewAsyncWriter returns an empty ring. Run writes its lines to an output.
func NewAsyncWriter() *AsyncWriter {
	return &AsyncWriter{lines: make(chan []byte, ringCapacity), tokens: lineBurst, lastRefill: time.Now(), now: time.Now}
}

// Write queues a copy of the line. It reports success also for a dropped line.
func (r *AsyncWriter) Write(line []byte) (int, error) {
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

func (r *AsyncWriter) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.tokens = min(lineBurst, r.tokens+now.Sub(r.lastRefill).Seconds()*linesPerSecond)
	r.lastRefill = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Run writes lines to w until ctx ends, and then flushes the queued lines. A line
// that w fails to write is dropped and counted, and Run continues, because the
// output may recover.
func (r *AsyncWriter) Run(ctx context.Context, w io.Writer) error {
	notice := time.NewTicker(dropReportInterval)
	defer notice.Stop()
	for {
		select {
		case line := <-r.lines:
			r.writeLine(w, line)
		case <-notice.C:
			r.reportDropped(w)
		case <-ctx.Done():
			r.flush(w)
			return nil
		}
	}
}

func (r *AsyncWriter) flush(w io.Writer) {
	for {
		select {
		case line := <-r.lines:
			r.writeLine(w, line)
		default:
			r.reportDropped(w)
			return
		}
	}
}

func (r *AsyncWriter) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		r.dropped.Add(1)
	}
}

// reportDropped writes the number of lines dropped since the last report.
func (r *AsyncWriter) reportDropped(w io.Writer) {
	n := r.dropped.Swap(0)
	if n == 0 {
		return
	}
	if _, err := fmt.Fprintf(w, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n); err != nil {
		r.dropped.Add(n)
	}
}
