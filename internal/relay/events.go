package relay

import (
	"bytes"
	"errors"
)

// maxEventBytes bounds one event of a stream; the users' largest hold some
// hundred bytes.
const maxEventBytes = 256 << 10

var errEventTooLarge = errors.New("an event of the stream exceeds 256 KiB")

// eventBuffer cuts the bytes of a stream into whole events and remembers the
// id of the last one that it gave out.
type eventBuffer struct {
	pending []byte
	last    string
}

// add takes in bytes and returns those that end a whole event; the result is
// valid until the next call.
func (b *eventBuffer) add(data []byte) ([]byte, error) {
	b.pending = append(b.pending, data...)
	end := endOfEvents(b.pending)
	if end == 0 {
		if len(b.pending) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	whole := b.pending[:end]
	if id, ok := lastEventID(whole); ok {
		b.last = id
	}
	b.pending = append([]byte(nil), b.pending[end:]...)
	return whole, nil
}

// drop forgets the part of an event that was not given out.
func (b *eventBuffer) drop() { b.pending = b.pending[:0] }

// endOfEvents returns the length of the whole events at the start of data.
func endOfEvents(data []byte) int {
	end := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(data, separator); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

// lastEventID returns the value of the last id field in whole events.
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
