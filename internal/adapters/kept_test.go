package adapters

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboorail.example/bamboorail"
)

// promptOf returns a prompt with parts of 100 tokens, named by the letters of ids.
func promptOf(ids string) []bamboorail.PromptPart {
	var parts []bamboorail.PromptPart
	for _, id := range ids {
		parts = append(parts, bamboorail.PromptPart{ID: string(id), Tokens: 100})
	}
	return parts
}

// TestKeptTokens guards against estimates that count what an engine has evicted, keeps for
// another adapter, or keeps without the parts before it.
func TestKeptTokens(t *testing.T) {
	type sent struct {
		after           time.Duration
		adapter, prompt string
	}
	const roomy = 10000
	cases := map[string]struct {
		capacity int
		sent     []sent
		asked    sent
		expected int
	}{
		"nothing sent":                 {roomy, nil, sent{0, "a", "xyz"}, 0},
		"the same prompt, but its end": {roomy, []sent{{0, "a", "xyz"}}, sent{0, "a", "xyz"}, 200},
		"another end":                  {roomy, []sent{{0, "a", "xyz"}}, sent{0, "a", "xyw"}, 200},
		"the first part alone":         {roomy, []sent{{0, "a", "xyz"}}, sent{0, "a", "xvz"}, 100},
		"another adapter":              {roomy, []sent{{0, "a", "xyz"}}, sent{0, "b", "xyz"}, 0},
		"another order":                {roomy, []sent{{0, "a", "xyz"}}, sent{0, "a", "yxz"}, 0},
		"not at the beginning":         {roomy, []sent{{0, "a", "xyz"}}, sent{0, "a", "vyz"}, 0},
		"the end of another call":      {roomy, []sent{{0, "a", "xy"}}, sent{0, "a", "xyz"}, 100},
		"one part":                     {roomy, []sent{{0, "a", "x"}}, sent{0, "a", "x"}, 0},
		"no parts":                     {roomy, []sent{{0, "a", ""}}, sent{0, "a", ""}, 0},
		"just believed":                {roomy, []sent{{0, "a", "xyz"}}, sent{maxKeptAge, "a", "xyz"}, 200},
		"too old":                      {roomy, []sent{{0, "a", "xyz"}}, sent{maxKeptAge + 1, "a", "xyz"}, 0},
		"used again":                   {roomy, []sent{{0, "a", "xyz"}, {maxKeptAge, "a", "xyw"}}, sent{maxKeptAge + 1, "a", "xyz"}, 200},
		"asked for is not used":        {roomy, []sent{{0, "a", "xyz"}, {maxKeptAge, "a", "xv"}}, sent{maxKeptAge + 1, "a", "xyz"}, 100},
		"no capacity":                  {0, []sent{{0, "a", "xyz"}}, sent{0, "a", "xyz"}, 0},
		"end does not fit":             {150, []sent{{0, "a", "xyz"}}, sent{0, "a", "xyz"}, 100},
		"evicted by another":           {200, []sent{{0, "a", "xyz"}, {1, "b", "xyz"}}, sent{1, "a", "xyz"}, 0},
		"the other of two":             {200, []sent{{0, "a", "xyz"}, {1, "b", "xyz"}}, sent{1, "b", "xyz"}, 200},
		"shared part is used more":     {200, []sent{{0, "a", "xyz"}, {1, "a", "xwz"}}, sent{1, "a", "xyz"}, 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k := newKeptPrompts()
			for _, s := range c.sent {
				k.record(bamboorail.AdapterKey{Model: "m", Adapter: s.adapter}, promptOf(s.prompt), c.capacity, start.Add(s.after))
			}
			key := bamboorail.AdapterKey{Model: "m", Adapter: c.asked.adapter}
			for range 2 { // asking changes nothing
				if got := k.tokens(key, promptOf(c.asked.prompt), start.Add(c.asked.after)); got != c.expected {
					t.Errorf("%d tokens, expected %d", got, c.expected)
				}
			}
		})
	}
}

// TestKeptCapacityShrinks guards against an estimate that outlives the memory of an engine
// that needs it for running calls.
func TestKeptCapacityShrinks(t *testing.T) {
	k, key := newKeptPrompts(), bamboorail.AdapterKey{Model: "m", Adapter: "a"}
	k.record(key, promptOf("xyz"), 1000, start)
	k.record(key, nil, 100, start)
	if got := k.tokens(key, promptOf("xyz"), start); got != 100 {
		t.Errorf("%d tokens, expected 100", got)
	}
}

// TestKeptMemoryIsBounded guards against an estimate that grows with the number of prompts:
// a holder keeps one for each engine of its zone, in the memory of a small instance.
func TestKeptMemoryIsBounded(t *testing.T) {
	k := newKeptPrompts()
	for n := range 10 * maxKeptParts {
		id := fmt.Sprint(n)
		k.record(bamboorail.AdapterKey{Model: "m", Adapter: "a"}, []bamboorail.PromptPart{{ID: id}, {ID: "own"}}, 1<<30, start)
	}
	if k.parts.Len() > maxKeptParts {
		t.Errorf("%d parts, at most %d expected", k.parts.Len(), maxKeptParts)
	}
}

// TestKeptProperties checks sequences of calls against a list of all prompts that were sent:
// only a beginning of one of them counts, the tokens never exceed the parts of the prompt or
// the capacity, and parts that are kept no longer are not counted in the total.
func TestKeptProperties(t *testing.T) {
	ids := rapid.StringMatching(`[x-z]{0,5}`)
	rapid.Check(t, func(t *rapid.T) {
		k, now := newKeptPrompts(), start
		type beginning struct{ adapter, ids string }
		sentAt := map[beginning]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
			adapter, prompt, capacity := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "adapter"), ids.Draw(t, "prompt"), 100*rapid.IntRange(0, 12).Draw(t, "capacity")
			k.record(bamboorail.AdapterKey{Model: "m", Adapter: adapter}, promptOf(prompt), capacity, now)
			for n := 1; n < len(prompt); n++ {
				sentAt[beginning{adapter, prompt[:n]}] = now
			}
			sum := 0
			for _, p := range k.parts.Values() {
				sum += p.tokens
			}
			if sum != k.total || k.total > capacity || k.parts.Len() > maxKeptParts {
				t.Fatalf("%d tokens in %d parts, counted as %d, of a capacity of %d", sum, k.parts.Len(), k.total, capacity)
			}
			asked := ids.Draw(t, "asked")
			got := k.tokens(bamboorail.AdapterKey{Model: "m", Adapter: adapter}, promptOf(asked), now)
			if got%100 != 0 || got > 100*max(len(asked)-1, 0) || got > capacity {
				t.Fatalf("%d tokens of %q with a capacity of %d", got, asked, capacity)
			}
			for n := 1; n <= got/100; n++ {
				if at, ok := sentAt[beginning{adapter, asked[:n]}]; !ok || now.Sub(at) > maxKeptAge {
					t.Fatalf("%d tokens of %q, but %q was not sent", got, asked, asked[:n])
				}
			}
		}
	})
}
