package eventstream

import "bytes"

// retryField is the name of a field that makes no event, as comments make none.
const retryField = "retry"

// Counter counts the events of a stream that arrives in pieces of any size. The zero value is
// at the start of a stream.
type Counter struct {
	// line is the beginning of the current line, as far as needed to classify it.
	line   [len(retryField) + 1]byte
	length int
	// hasField is set if a line of the current event is a field.
	hasField bool
	// afterReturn is set if the last byte was a carriage return: a line feed that follows
	// belongs to the same line end.
	afterReturn bool
}

// Add returns the number of events that end in the next piece of the stream.
func (c *Counter) Add(piece []byte) int {
	count := 0
	for len(piece) > 0 {
		if c.afterReturn && piece[0] == '\n' {
			c.afterReturn, piece = false, piece[1:]
			continue
		}
		c.afterReturn = false
		end := bytes.IndexAny(piece, "\r\n")
		if end < 0 {
			c.length += copy(c.line[c.length:], piece)
			break
		}
		c.length += copy(c.line[c.length:], piece[:end])
		if c.endLine() {
			count++
		}
		c.afterReturn, piece = piece[end] == '\r', piece[end+1:]
	}
	return count
}

// endLine records the end of the current line, and reports whether an event ends with it.
func (c *Counter) endLine() bool {
	if c.length == 0 {
		ended := c.hasField
		c.hasField = false
		return ended
	}
	name, _, _ := bytes.Cut(c.line[:c.length], []byte(":"))
	c.hasField = c.hasField || len(name) > 0 && string(name) != retryField
	c.length = 0
	return false
}
