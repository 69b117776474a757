package eventstream

import (
	"bytes"
	"iter"
)

// event is what the fields of one event show.
type event struct {
	id    string
	hasID bool
	// failure is set for an event of type error, and for one with the status line of an
	// HTTP response.
	failure bool
}

// statusLine begins an HTTP response, and no field of an event.
var statusLine = []byte("HTTP/1.")

// LastID returns the id of the last of the complete events that has one.
func LastID(data []byte) (string, bool) {
	last := event{}
	for e := range events(data) {
		if e.hasID {
			last = e
		}
	}
	return last.id, last.hasID
}

// HasEvent reports whether the complete events at the start of data are any. Comments are
// none.
func HasEvent(data []byte) bool {
	for range events(data[:Complete(data)]) {
		return true
	}
	return false
}

// events returns the events in complete ones. Comments and retry fields make no event.
func events(data []byte) iter.Seq[event] {
	return func(yield func(event) bool) {
		e, fields := event{}, 0
		for line := range lines(data) {
			switch {
			case len(line) > 0:
				fields += e.add(line)
				continue
			case fields > 0 && !yield(e):
				return
			}
			e, fields = event{}, 0
		}
	}
}

// add records a line of the event and returns the number of its fields.
func (e *event) add(line []byte) int {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "", "retry":
		return 0
	case "id":
		e.id, e.hasID = string(value), true
	case "event":
		e.failure = e.failure || string(value) == "error"
	default:
		e.failure = e.failure || bytes.HasPrefix(line, statusLine)
	}
	return 1
}

// lines returns the lines without their ends.
func lines(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			end := bytes.IndexAny(data, "\r\n")
			if end < 0 {
				yield(data)
				return
			}
			if !yield(data[:end]) {
				return
			}
			if bytes.HasPrefix(data[end:], []byte("\r\n")) {
				end++
			}
			data = data[end+1:]
		}
	}
}
