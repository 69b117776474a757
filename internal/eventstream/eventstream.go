// Package eventstream finds the boundaries of events in text/event-stream
// bodies.
package eventstream

import (
	"bytes"
	"errors"
	"mime"
)

const mediaType = "text/event-stream"

// terminators end an event: an empty line, for each line ending of the format.
var terminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxTerminatorBytes is the length of the longest terminator.
const maxTerminatorBytes = 3

// IsEventStream reports whether contentType is that of an event stream.
func IsEventStream(contentType string) bool {
	got, _, err := mime.ParseMediaType(contentType)
	return err == nil && got == mediaType
}

// Complete returns the length of the complete events at the start of data.
func Complete(data []byte) int {
	end := 0
	for _, t := range terminators {
		if i := bytes.LastIndex(data, t); i >= 0 {
			end = max(end, i+len(t))
		}
	}
	return end
}

// Tracker follows a stream that is forwarded in pieces of any size. The zero
// value is at the start of a stream.
type Tracker struct {
	tail  []byte
	bytes int64
}

// Write records the next piece of the stream. It never fails.
func (t *Tracker) Write(piece []byte) (int, error) {
	t.bytes += int64(len(piece))
	t.tail = append(t.tail, piece[max(0, len(piece)-maxTerminatorBytes):]...)
	t.tail = t.tail[max(0, len(t.tail)-maxTerminatorBytes):]
	return len(piece), nil
}

// Bytes returns the length of the stream so far.
func (t *Tracker) Bytes() int64 { return t.bytes }

// InsideEvent reports whether the stream ends after the start and before the end
// of an event.
func (t *Tracker) InsideEvent() bool {
	return t.bytes > 0 && Complete(t.tail) != len(t.tail)
}

// The errors of CheckEnd.
var (
	ErrInsideEvent = errors.New("the stream ended inside an event")
	ErrNoEvent     = errors.New("the connection closed before the first event")
)

// CheckEnd returns an error if a stream that has ended is not whole. What marked
// its end proves nothing about the last event; a stream that ended with its
// connection needs an event at all.
func (t *Tracker) CheckEnd(withConnection bool) error {
	switch {
	case t.InsideEvent():
		return ErrInsideEvent
	case withConnection && t.bytes == 0:
		return ErrNoEvent
	}
	return nil
}
