package httpport

import (
	"bytes"
	"errors"
	"strings"
	"sync/atomic"
)

var errFramings = errors.New("the framing is stated more than once, or by chunks in HTTP/1.0")

// maxScannedLine is more than the part of a line that matters: a status line up to its
// status, or the name of a field that states the framing.
const maxScannedLine = 32

// framingScanner notices answers whose heads state the framing of their body more than once,
// or by chunks in a protocol that has none. net/http drops one of the fields and does not
// report it. The scanner reads the bytes of one connection as they arrive.
type framingScanner struct {
	// started is set when a request gets the connection, ambiguous once its answer has a
	// head that states the framing more than once.
	started, ambiguous atomic.Bool

	// The rest belongs to the reader of the connection: inHead is set up to the end of the
	// final head, inStatus in a status line.
	inHead, inStatus      bool
	informational, modern bool
	lengths, encodings    int
	line                  [maxScannedLine]byte
	size                  int
}

// start is called before a request is written.
func (s *framingScanner) start() {
	s.ambiguous.Store(false)
	s.started.Store(true)
}

// scan is called with the next bytes of the connection.
func (s *framingScanner) scan(p []byte) {
	if s.started.CompareAndSwap(true, false) {
		s.inHead, s.inStatus, s.size = true, true, 0
	}
	for s.inHead && len(p) > 0 {
		part, rest, ended := bytes.Cut(p, []byte{'\n'})
		s.size += copy(s.line[s.size:], part)
		if ended {
			s.endLine(string(bytes.TrimSuffix(s.line[:s.size], []byte{'\r'})))
			s.size = 0
		}
		p = rest
	}
}

// endLine is called with the beginning of each line of a head.
func (s *framingScanner) endLine(line string) {
	switch {
	case s.inStatus:
		version, status, _ := strings.Cut(line, " ")
		s.modern = version >= "HTTP/1.1"
		s.informational = strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
		s.inStatus, s.lengths, s.encodings = false, 0, 0
	case line == "" && s.informational:
		s.inStatus = true
	case line == "":
		s.inHead = false
		s.ambiguous.Store(s.lengths+s.encodings > 1 || s.encodings > 0 && !s.modern)
	default:
		name, _, _ := strings.Cut(line, ":")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			s.lengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			s.encodings++
		}
	}
}
