// Package bamboorail defines the types and interfaces shared by the components
// of the serving layer: model references, request outcomes, and the interfaces of
// engines, the object store and request dispatch. The implementations are in the
// packages below internal.
package bamboorail

import (
	"fmt"
	"strings"
)

// Version is the release version of the programs in this module.
const Version = "0.1.0"

// ModelRef names one version of one adapter, written adapter@version.
type ModelRef struct {
	adapter string
	version string
}

// NewModelRef returns the reference to a version of an adapter.
func NewModelRef(adapter, version string) ModelRef {
	return ModelRef{adapter: adapter, version: version}
}

// ParseModelRef parses the form adapter@version.
func ParseModelRef(s string) (ModelRef, error) {
	adapter, version, found := strings.Cut(s, "@")
	if !found || !ValidName(adapter) || !ValidName(version) {
		return ModelRef{}, fmt.Errorf("model %q is not of the form adapter@version", s)
	}
	return ModelRef{adapter: adapter, version: version}, nil
}

// Adapter returns the name of the adapter.
func (m ModelRef) Adapter() string { return m.adapter }

// Version returns the version of the adapter.
func (m ModelRef) Version() string { return m.version }

// String returns the form adapter@version.
func (m ModelRef) String() string { return m.adapter + "@" + m.version }

// maxNameLength is the maximum length of a record name in bytes.
const maxNameLength = 128

// ValidName reports whether s is a valid record name: 1 to 128 letters, digits,
// dots, underscores and hyphens, beginning with a letter or digit.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i, r := range s {
		if !nameRune(r, i == 0) {
			return false
		}
	}
	return true
}

func nameRune(r rune, first bool) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	case r == '-', r == '_', r == '.':
		return !first
	}
	return false
}
