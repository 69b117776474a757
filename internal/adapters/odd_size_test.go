package adapters

import (
	"testing"
	"time"
)

// TestPromptOfImpossibleSizeDoesNotBlockItsEngine guards against an engine that gets no calls
// any more because a caller stated a prompt that no engine can read.
func TestPromptOfImpossibleSizeDoesNotBlockItsEngine(t *testing.T) {
	const prompt = 1 << 40 // tokens, the most that a caller can state
	for name, memory := range map[string]int{"memory known": 100_000, "memory unknown": 0} {
		t.Run(name, func(t *testing.T) {
			p := newTestPlanner(1, 4)
			p.SetMemory(func(string) int { return memory })
			r := measuredRequest(0, 1000)
			r.Key.Adapter = ""
			odd := r
			odd.Size.Prompt = prompt
			got, ok := p.Place(odd, start)
			if !ok {
				t.Fatal("not placed")
			}
			p.End(got.Ticket)
			now := start.Add(time.Minute)
			if wait := p.engines["e0"].backlog.wait(now); wait > 0 {
				t.Errorf("the prompts of the engine are read only in %v", wait)
			}
			if cost := p.workCost(p.engines["e0"], r, 0, now); cost < 0 || cost > time.Second {
				t.Errorf("a call costs %v a minute later", cost)
			}
		})
	}
}
