package logflags

import (
	"bytes"
	"context"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestRingBoundsItsVolume(t *testing.T) {
	cases := map[string]struct {
		lines, kept int
	}{
		"few lines":  {10, 10},
		"many lines": {lineBurst + 500, lineBurst},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewRing()
			stopped := time.Unix(0, 0)
			r.filled, r.now = stopped, func() time.Time { return stopped }
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
				t.Errorf("%d lines, want %d", n, c.kept)
			}
			if dropped := strings.Contains(out.String(), "lines dropped"); dropped != (c.kept < c.lines) {
				t.Errorf("drops reported: %t", dropped)
			}
		})
	}
}

// TestRingNeverBlocks: without a reader, lines are dropped.
func TestRingNeverBlocks(t *testing.T) {
	r := NewRing()
	r.tokens = 3 * ringLines
	for range 3 * ringLines {
		if _, err := r.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if r.dropped.Load() == 0 {
		t.Error("nothing was dropped")
	}
}

// brokenOutput fails until it is mended.
type brokenOutput struct {
	bytes.Buffer
	mended bool
}

func (b *brokenOutput) Write(p []byte) (int, error) {
	if !b.mended {
		return 0, syscall.EPIPE
	}
	return b.Buffer.Write(p)
}

// TestRingOutlivesItsOutput: lines that the output does not take are counted,
// and those after them are written.
func TestRingOutlivesItsOutput(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, out := NewRing(), &brokenOutput{}
	for _, line := range []string{"lost\n", "kept\n"} {
		if _, err := r.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if err := r.Run(ctx, out); err != nil {
			t.Error(err)
		}
		out.mended = true
	}
	if text := out.String(); !strings.HasPrefix(text, "kept\n") || !strings.Contains(text, `"count":1}`) {
		t.Errorf("output %q", text)
	}
}
