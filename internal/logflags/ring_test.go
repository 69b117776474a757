package logflags

import (
	"bytes"
	"context"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestRingLimitsVolume(t *testing.T) {
	cases := map[string]struct {
		lines, kept int
	}{
		"few lines":  {10, 10},
		"many lines": {lineBurst + 500, lineBurst},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewAsyncWriter()
			stopped := time.Unix(0, 0)
			r.lastRefill, r.now = stopped, func() time.Time { return stopped }
			for range c.lines {
				if _, err := r.Write([]byte("line\n")); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var out bytes.Buffer
			if err := r.Run(ctx, &out); err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(out.String(), "line\n"); n != c.kept {
				t.Errorf("got %d lines, want %d", n, c.kept)
			}
			if dropped := strings.Contains(out.String(), "lines dropped"); dropped != (c.kept < c.lines) {
				t.Errorf("dropped lines reported: %t", dropped)
			}
		})
	}
}

// TestRingNeverBlocks checks that Write drops lines while Run is not active.
func TestRingNeverBlocks(t *testing.T) {
	r := NewAsyncWriter()
	r.tokens = 3 * ringCapacity
	for range 3 * ringCapacity {
		if _, err := r.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if r.dropped.Load() == 0 {
		t.Error("no line was dropped from a full ring")
	}
}

// failingWriter returns EPIPE until recovered is set.
type failingWriter struct {
	bytes.Buffer
	recovered bool
}

func (b *failingWriter) Write(p []byte) (int, error) {
	if !b.recovered {
		return 0, syscall.EPIPE
	}
	return b.Buffer.Write(p)
}

// TestRingSurvivesWriteErrors checks that a line is counted as dropped when
// the output fails, and that later lines are written.
func TestRingSurvivesWriteErrors(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, out := NewAsyncWriter(), &failingWriter{}
	for _, line := range []string{"lost\n", "kept\n"} {
		if _, err := r.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if err := r.Run(ctx, out); err != nil {
			t.Error(err)
		}
		out.recovered = true
	}
	if text := out.String(); !strings.HasPrefix(text, "kept\n") || !strings.Contains(text, `"count":1}`) {
		t.Errorf("unexpected output %q", text)
	}
}
