package eventstream

import (
	"testing"

	"pgregory.net/rapid"
)

// TestCountedEvents guards against keep-alive comments that count as events, which would
// hide a pause of a target.
func TestCountedEvents(t *testing.T) {
	cases := map[string]struct {
		stream   string
		expected int
	}{
		"empty":                  {"", 0},
		"two events":             {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2},
		"not complete":           {"data: a\n\ndata: b\n", 1},
		"comments":               {": a\n\n:\n\n", 0},
		"a comment in an event":  {": a\ndata: a\n\n", 1},
		"retry":                  {"retry: 100\n\nretry\n\n", 0},
		"a field with that name": {"retryx: 100\n\n", 1},
		"empty lines":            {"\n\ndata\n\n\n\n", 1},
		"carriage returns":       {"data: a\r\rdata: b\r\n\r\n", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var counter Counter
			if got := counter.Add([]byte(c.stream)); got != c.expected {
				t.Errorf("%d events, expected %d", got, c.expected)
			}
		})
	}
}

// TestCountedEventsInPieces checks that the number of events does not depend on how a stream
// is cut, and is that of the events that are compared when a stream is continued.
func TestCountedEventsInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := []byte(rapid.StringMatching(`(id|retry|retryx|[: \r\n]|\n\n|\r\n){0,30}`).Draw(t, "stream"))
		expected, got := 0, 0
		for range events(stream) {
			expected++
		}
		var counter Counter
		for rest := stream; len(rest) > 0; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			got += counter.Add(rest[:size])
			rest = rest[size:]
		}
		if got != expected {
			t.Fatalf("%q: %d events, expected %d", stream, got, expected)
		}
	})
}
