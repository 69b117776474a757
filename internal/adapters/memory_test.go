package adapters

import (
	"testing"
	"time"
)

// TestMemoryOfEnginesIsNotExceeded guards against calls that wait or are preempted at an engine
// although another one has room, and against a call that is refused for its size.
func TestMemoryOfEnginesIsNotExceeded(t *testing.T) {
	const memory, size = 1000, 300 // tokens, 3 calls an engine
	cases := map[string]struct {
		memory, size, calls int
		maxTokens           int
		full                bool
	}{
		"room":                    {memory, size, 6, 900, false},
		"one call too many":       {memory, size, 7, 1200, true},
		"memory unknown":          {0, size, 7, 1200, false},
		"size unknown":            {memory, 0, 7, 0, false},
		"a call above the memory": {memory, 2000, 2, 2000, true},
	}
	for name, c := range cases {
		for kind, gap := range map[string]time.Duration{"by calls": 0, "by work": time.Second} {
			t.Run(name+" "+kind, func(t *testing.T) {
				p := newTestPlanner(2, 8)
				p.SetMemory(func(string) int { return c.memory })
				r := measuredRequest(1, 0)
				r.Key.Adapter, r.MaxGap = "", gap
				r.Size.Prompt, r.Size.Output = c.size/2, c.size-c.size/2
				for n := range c.calls {
					if _, ok := p.Place(r, start); !ok {
						t.Fatalf("call %d is not placed", n)
					}
				}
				for name, e := range p.engines {
					if e.tokens > c.maxTokens {
						t.Errorf("%d tokens at %s, expected at most %d", e.tokens, name, c.maxTokens)
					}
					if got := p.mustWait(e, r); c.full && !got {
						t.Errorf("%s has room for another call", name)
					}
				}
				for ticket := range uint64(c.calls) {
					p.End(ticket + 1)
				}
				for name, e := range p.engines {
					if e.tokens != 0 {
						t.Errorf("%d tokens at %s after the last call", e.tokens, name)
					}
				}
			})
		}
	}
}
