// Package record defines the records with which operators declare adapters,
// targets, callers and routes. A record is a JSON object that contains its schema
// version and kind. Unknown fields are preserved.
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"bamboorail.example/bamboorail"
)

// MinSchema is the lowest accepted schema version. Records with a newer schema than
// this package knows are accepted unless they require an unsupported feature.
const MinSchema = 1

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	KindAdapter Kind = "adapter"
	KindTarget  Kind = "target"
	KindCaller  Kind = "caller"
	KindRoute   Kind = "route"
)

// Kinds returns all kinds in display order.
func Kinds() []Kind { return []Kind{KindAdapter, KindTarget, KindCaller, KindRoute} }

// Error is the error for an invalid record.
type Error struct{ bamboorail.Failure }

func invalid(op, format string, a ...any) error {
	return &Error{bamboorail.Failure{Op: op, Kind: bamboorail.KindInvalidRecord, Err: fmt.Errorf(format, a...)}}
}

// Header holds the fields common to all records.
type Header struct {
	Schema int    `json:"schema-version"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	// Requires lists the features that a reader must support to use the record.
	Requires []string `json:"requires,omitempty"`
}

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// String returns the form kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Record is a record as stored, with the revision of its last change.
type Record struct {
	header   Header
	revision uint64
	raw      json.RawMessage
}

// maxDepth is the number of levels of a record. Records are parts of other documents,
// and encoding/json reads no document of more than 10,000 levels.
const maxDepth = 100

// Parse parses a record, checks its header and returns it with revision 0.
func Parse(raw []byte) (Record, error) {
	r, err := ParseStored(raw, 0)
	if err == nil && depth(r.raw) > maxDepth {
		return Record{}, invalid("parse-record", "more than %d levels", maxDepth)
	}
	return r, err
}

// depth returns the number of levels of a valid JSON document.
func depth(data []byte) int {
	level, deepest, text := 0, 0, false
	for n := 0; n < len(data); n++ {
		switch c := data[n]; {
		case text && c == '\\':
			n++
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// ParseStored parses a stored record with the revision of its last change.
func ParseStored(raw []byte, revision uint64) (Record, error) {
	var h Header
	if err := json.Unmarshal(raw, &h); err != nil {
		return Record{}, invalid("parse-record", "not a JSON object: %w", err)
	}
	if h.Schema < MinSchema {
		return Record{}, invalid("parse-record", "field %q must be at least %d", "schema-version", MinSchema)
	}
	if !slices.Contains(Kinds(), h.Kind) {
		return Record{}, invalid("parse-record", "kind %q is not one of %v", h.Kind, Kinds())
	}
	if !bamboorail.ValidName(h.Name) {
		return Record{}, invalid("parse-record", "name %q is not valid", h.Name)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		return Record{}, invalid("parse-record", "not JSON: %w", err)
	}
	return Record{header: h, revision: revision, raw: compact.Bytes()}, nil
}

// Key returns the key of the record.
func (r Record) Key() Key { return Key{Kind: r.header.Kind, Name: r.header.Name} }

// Schema returns the schema version of the record.
func (r Record) Schema() int { return r.header.Schema }

// Revision returns the configuration revision of the last change.
func (r Record) Revision() uint64 { return r.revision }

// Raw returns the JSON of the record.
func (r Record) Raw() json.RawMessage { return r.raw }

// Validate decodes the complete record and returns the first error.
func (r Record) Validate() error {
	switch r.header.Kind {
	case KindAdapter:
		_, err := r.Adapter()
		return err
	case KindTarget:
		_, err := r.Target()
		return err
	case KindRoute:
		_, err := r.Route()
		return err
	default:
		_, err := r.Caller()
		return err
	}
}

// decode unmarshals the record after checking its kind and required features.
func (r Record) decode(kind Kind, v any) error {
	op := "read-" + string(kind)
	if r.header.Kind != kind {
		return invalid(op, "record %s is not of kind %q", r.Key(), kind)
	}
	for _, f := range r.header.Requires {
		if !slices.Contains(features, f) {
			return invalid(op, "record %s requires the unknown feature %q", r.Key(), f)
		}
	}
	if err := json.Unmarshal(r.raw, v); err != nil {
		return invalid(op, "record %s: %w", r.Key(), err)
	}
	return nil
}

// features lists the supported values of "requires".
var features = []string{"pools"}

// Merge returns next with the fields of prev that are unknown to the schema of
// next. A writer with an older schema thus cannot remove fields of a newer one.
func Merge(prev, next Record) (Record, error) {
	if next.header.Schema >= prev.header.Schema {
		return next, nil
	}
	var old, changed map[string]json.RawMessage
	if err := json.Unmarshal(prev.raw, &old); err != nil {
		return Record{}, invalid("merge-record", "record %s: %w", prev.Key(), err)
	}
	if err := json.Unmarshal(next.raw, &changed); err != nil {
		return Record{}, invalid("merge-record", "record %s: %w", next.Key(), err)
	}
	for k, v := range old {
		if _, ok := changed[k]; !ok && !knownField(next.header.Kind, next.header.Schema, k) {
			changed[k] = v
		}
	}
	changed["schema-version"] = old["schema-version"]
	merged, err := json.Marshal(changed)
	if err != nil {
		return Record{}, invalid("merge-record", "record %s: %w", next.Key(), err)
	}
	return ParseStored(merged, next.revision)
}
