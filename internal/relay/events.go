package relay

import (
	"bytes"
	"errors"

	"bamboorail.example/bamboorail/internal/eventstream"
)

// maxEventBytes limits one event of a stream; the largest that users send have
// some hundred bytes.
const maxEventBytes = 256 << 10

var errEventTooLarge = errors.New("an event of the stream exceeds 256 KiB")

// eventBuffer splits a stream into complete events and records the id of the
// last one that it returned.
type eventBuffer struct {
	pending []byte
	lastID  string
}

// add appends data and returns the events that are complete; the result is
// valid until the next call.
func (b *eventBuffer) add(data []byte) ([]byte, error) {
	b.pending = append(b.pending, data...)
	end := eventstream.Complete(b.pending)
	if end == 0 {
		if len(b.pending) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	complete := b.pending[:end]
	if id, ok := lastEventID(complete); ok {
		b.lastID = id
	}
	b.pending = append([]byte(nil), b.pending[end:]...)
	return complete, nil
}

// discardPartial removes the incomplete event at the end of the buffer.
func (b *eventBuffer) discardPartial() { b.pending = b.pending[:0] }

// lastEventID returns the value of the last id field in complete events.
func lastEventID(data []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, found = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return id, found
}

// hasEvent reports whether data begins with a complete event. Comments are none.
func hasEvent(data []byte) bool {
	for line := range bytes.Lines(data[:eventstream.Complete(data)]) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}
