// Package requestid defines the ids that callers use to make calls idempotent. An
// id has the form zone.uuid: the home zone and a version 7 UUID, which contains the
// time of issue.
package requestid

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"bamboorail.example/bamboorail"
)

// Header is the header that carries the request id in requests and responses.
const Header = "Request-Id"

// MaxLength is the longest accepted request id, in bytes.
const MaxLength = 128

// ID is a parsed request id.
type ID struct {
	zone   string
	issued time.Time
	text   string
}

// New generates an id for the zone with the current time.
func New(zone string) (ID, error) {
	u, err := uuid.NewV7()
	if err != nil {
		return ID{}, fmt.Errorf("generate request id: %w", err)
	}
	return fromUUID(zone, u, zone+"."+u.String()), nil
}

func fromUUID(zone string, u uuid.UUID, text string) ID {
	seconds, nanos := u.Time().UnixTime()
	return ID{zone: zone, issued: time.Unix(seconds, nanos), text: text}
}

// Parse parses the form zone.uuid.
func Parse(s string) (ID, error) {
	n := strings.LastIndexByte(s, '.')
	if n < 0 || !bamboorail.ValidName(s[:n]) || len(s) > MaxLength {
		return ID{}, fmt.Errorf("request id %q is not of the form zone.uuid", s)
	}
	u, err := uuid.Parse(s[n+1:])
	if err != nil || u.Version() != 7 || u.String() != s[n+1:] {
		return ID{}, fmt.Errorf("request id %q does not end in a lower-case version 7 UUID", s)
	}
	return fromUUID(s[:n], u, s), nil
}

// Zone returns the home zone.
func (i ID) Zone() string { return i.zone }

// Issued returns the time of issue by the caller's clock, with millisecond
// resolution.
func (i ID) Issued() time.Time { return i.issued }

// String returns the form zone.uuid.
func (i ID) String() string { return i.text }

// Opaque reports whether s is valid as a request id that is used only for tracing:
// ASCII letters, digits and the characters - _ . : only.
func Opaque(s string) bool {
	if s == "" || len(s) > MaxLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		safe := c == '-' || c == '_' || c == '.' || c == ':' ||
			c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !safe {
			return false
		}
	}
	return true
}
