package bamboorail

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
)

// Workspace is a group of callers that share keys, a priority and a quota.
type Workspace struct {
	Name string
	// Keys are the digests of the keys that identify the workspace.
	Keys []KeyDigest
	// Priority takes precedence over the priority of a route if HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// QuotaUnit is the unit in which a quota is counted.
type QuotaUnit string

// The units of quotas.
const (
	// QuotaRequests counts requests.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the prompt and output tokens of requests.
	QuotaTokens QuotaUnit = "tokens"
)

// Quota limits the calls of a workspace over all instances together.
type Quota struct {
	Unit QuotaUnit
	// Rate is the limit in units a second, 0 for no limit. Burst is added to it once.
	Rate, Burst float64
	// DefaultTokens is the size of a call that does not state its tokens.
	DefaultTokens int
}

// IsLimited reports whether the quota limits anything.
func (q Quota) IsLimited() bool { return q.Rate > 0 }

// Cost returns the units that a call of a size uses up.
func (q Quota) Cost(s CallSize) float64 {
	if q.Unit != QuotaTokens {
		return 1
	}
	if s.Tokens() <= 0 {
		return float64(q.DefaultTokens)
	}
	return float64(s.Tokens())
}

// KeyDigest is the SHA-256 digest of a key. Keys are kept and compared in this form only.
type KeyDigest [sha256.Size]byte

// digestPrefix marks the text form of a digest.
const digestPrefix = "sha256:"

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the text form of d.
func (d KeyDigest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// ParseKeyDigest parses the text form of a digest.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var d KeyDigest
	digits, found := strings.CutPrefix(text, digestPrefix)
	if !found {
		return d, errors.New("the key digest lacks the prefix for SHA-256")
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != len(d) {
		return d, errors.New("the key digest is not a SHA-256 digest in hexadecimal digits")
	}
	return KeyDigest(raw), nil
}

// Credential is a key as presented by a caller. Its text form hides the key.
type Credential struct{ key string }

// NewCredential returns the credential with a key.
func NewCredential(key string) Credential { return Credential{key} }

// IsEmpty reports whether the caller presented no key.
func (c Credential) IsEmpty() bool { return c.key == "" }

// Digest returns the digest of the key.
func (c Credential) Digest() KeyDigest { return DigestKey(c.key) }

// String hides the key.
func (c Credential) String() string { return "credential" }

// GoString hides the key.
func (c Credential) GoString() string { return c.String() }
