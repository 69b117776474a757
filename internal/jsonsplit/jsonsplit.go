// Package jsonsplit splits a JSON document into the values that it contains, so that
// each of them can be decoded by itself. It does not recurse, and unlike encoding/json
// it neither limits the depth of a value nor checks its content.
package jsonsplit

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
)

var (
	errNoObject   = errors.New("not an object")
	errNoArray    = errors.New("not an array")
	errIncomplete = errors.New("the document ends inside a value")
	errSyntax     = errors.New("the values of the document cannot be separated")
)

// Object returns the values of the members of an object by name. Of members with the
// same name, the last one counts, as in encoding/json. The values share the memory of
// data.
func Object(data []byte) (map[string][]byte, error) {
	s := scanner{data: data}
	if s.next() != '{' {
		return nil, errNoObject
	}
	members := map[string][]byte{}
	for more := s.open('}'); more; {
		if s.next() != '"' {
			return nil, s.failure()
		}
		name, err := s.value()
		if err != nil {
			return nil, err
		}
		if s.next() != ':' {
			return nil, s.failure()
		}
		s.at++
		value, err := s.value()
		if err != nil {
			return nil, err
		}
		members[unquote(name)] = value
		if more, err = s.separator('}'); err != nil {
			return nil, err
		}
	}
	return members, s.end()
}

// Array returns the elements of an array. They share the memory of data.
func Array(data []byte) ([][]byte, error) {
	s := scanner{data: data}
	if s.next() != '[' {
		return nil, errNoArray
	}
	var elements [][]byte
	for more := s.open(']'); more; {
		element, err := s.value()
		if err != nil {
			return nil, err
		}
		elements = append(elements, element)
		if more, err = s.separator(']'); err != nil {
			return nil, err
		}
	}
	return elements, s.end()
}

// unquote returns the text of a string, or its bytes if it is not a valid one.
func unquote(raw []byte) string {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return string(raw)
	}
	return text
}

// scanner reads values from data, beginning at the position at.
type scanner struct {
	data []byte
	at   int
}

// next skips white space and returns the byte that follows, 0 at the end.
func (s *scanner) next() byte {
	for ; s.at < len(s.data); s.at++ {
		switch c := s.data[s.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// failure returns the error of an unexpected byte.
func (s *scanner) failure() error {
	if s.at >= len(s.data) {
		return errIncomplete
	}
	return errSyntax
}

// open skips the bracket that begins the document and reports whether a value follows.
func (s *scanner) open(closing byte) bool {
	s.at++
	if s.next() != closing {
		return true
	}
	s.at++
	return false
}

// separator skips a comma or the closing bracket and reports whether it was a comma.
func (s *scanner) separator(closing byte) (bool, error) {
	switch s.next() {
	case ',':
		s.at++
		return true, nil
	case closing:
		s.at++
		return false, nil
	}
	return false, s.failure()
}

// end returns an error unless only white space follows.
func (s *scanner) end() error {
	if s.next(); s.at < len(s.data) {
		return errSyntax
	}
	return nil
}

// value skips white space and returns the value that follows. Each bracket must be closed
// by one of its kind.
func (s *scanner) value() ([]byte, error) {
	s.next()
	start := s.at
	var closing []byte
	for s.at < len(s.data) {
		switch c := s.data[s.at]; {
		case c == '"':
			if !s.skipString() {
				return nil, errIncomplete
			}
		case c == '{' || c == '[':
			closing = append(closing, c+bracketOffset)
			s.at++
		case strings.IndexByte(delimiters, c) < 0:
			s.skipScalar()
		case len(closing) == 0:
			return nil, errSyntax
		case c == '}' || c == ']':
			if c != closing[len(closing)-1] {
				return nil, errSyntax
			}
			closing = closing[:len(closing)-1]
			s.at++
		default:
			s.at++
		}
		if len(closing) == 0 {
			return s.data[start:s.at], nil
		}
	}
	return nil, errIncomplete
}

// bracketOffset is the distance from an opening bracket to the closing one of its kind.
const bracketOffset = '}' - '{'

// skipString skips a string and reports whether it ends.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}

// delimiters end a number or a literal.
const delimiters = "\"{}[],: \t\r\n"

// skipScalar skips a number, a literal or other bytes without a delimiter.
func (s *scanner) skipScalar() {
	n := bytes.IndexAny(s.data[s.at:], delimiters)
	if n < 0 {
		n = len(s.data) - s.at
	}
	s.at += n
}
