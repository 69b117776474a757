package logflags

import (
	"bytes"
	"context"
	"strings"
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
