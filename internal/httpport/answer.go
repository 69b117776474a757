package httpport

import "net/http"

// Framing is the way in which an HTTP/1.1 message marks the end of its body.
type Framing string

// The framings. Without a length or chunks, a body ends with its connection, so
// that a peer that closes early cannot be told from one that has finished.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	FramingClose  Framing = "close"
)

// FramingOf returns the framing of a response.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return FramingLength
	case len(r.TransferEncoding) > 0:
		return FramingChunks
	}
	return FramingClose
}
