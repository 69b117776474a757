package eventstream

import (
	"fmt"
	"testing"
)

func ExampleComplete() {
	data := []byte("id: 1\ndata: a\n\nid: 2\nda")
	fmt.Printf("%q\n", data[:Complete(data)])
	// Output: "id: 1\ndata: a\n\n"
}

func TestIsEventStream(t *testing.T) {
	cases := map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "application/json": false, "": false, ";": false,
	}
	for contentType, want := range cases {
		if got := IsEventStream(contentType); got != want {
			t.Errorf("%q: %t, want %t", contentType, got, want)
		}
	}
}

// TestBoundariesInPiecesOfAnySize checks both views of a boundary at each length
// of a stream, however it is cut into pieces.
func TestBoundariesInPiecesOfAnySize(t *testing.T) {
	cases := map[string]struct {
		stream string
		ends   []int
	}{
		"line feeds":       {"id: 1\n\ndata: b\n\n", []int{7, 16}},
		"carriage returns": {"a\r\rb\r\r", []int{3, 6}},
		"both":             {"a\r\n\r\nb\r\n\r\n", []int{5, 10}},
		"mixed":            {"a\n\r\nb\r\n\n", []int{4, 8}},
		"empty line more":  {"a\n\n\nb\n\n", []int{3, 4, 7}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(c.stream); size++ {
				var tracker Tracker
				for start := 0; start < len(c.stream); start += size {
					end := min(start+size, len(c.stream))
					_, _ = tracker.Write([]byte(c.stream[start:end]))
					last := 0
					for _, e := range c.ends {
						if e <= end {
							last = e
						}
					}
					if got := Complete([]byte(c.stream[:end])); got != last {
						t.Errorf("%q: complete events end at %d, want %d", c.stream[:end], got, last)
					}
					if got := tracker.InsideEvent(); got != (last != end) {
						t.Errorf("%q in pieces of %d: inside an event %t", c.stream[:end], size, got)
					}
				}
			}
		})
	}
}
