// Package operatorapi defines the messages of the operators' HTTP API and a client
// for it.
package operatorapi

import (
	"encoding/json"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/pkg/record"
)

// Change is a change to the configuration, based on a revision.
type Change struct {
	// ID makes the change idempotent: sending it again returns the revision at
	// which it took effect.
	ID string `json:"id"`
	// Base is the revision on which the change is based.
	Base   uint64            `json:"base-revision"`
	Apply  []json.RawMessage `json:"apply,omitempty"`
	Delete []Key             `json:"delete,omitempty"`
}

// Key identifies a record.
type Key struct {
	Kind record.Kind `json:"kind"`
	Name string      `json:"name"`
}

// ChangeResult holds the revision at which a change took effect.
type ChangeResult struct {
	Revision uint64 `json:"revision"`
}

// Record is a record with the revision of its last change.
type Record struct {
	Kind     record.Kind     `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Record   json.RawMessage `json:"record"`
}

// RecordList is the response to a query for records.
type RecordList struct {
	Revision uint64   `json:"revision"`
	Records  []Record `json:"records"`
}

// Target is the state of a target.
type Target struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Role     string   `json:"role"`
	State    string   `json:"state"`
	Owner    string   `json:"owner"`
	Term     uint64   `json:"term"`
	Running  int      `json:"running"`
	MaxBatch int      `json:"max-batch"`
	Queued   int      `json:"queued"`
	Slots    int      `json:"slots"`
	Adapters []string `json:"adapters"`
}

// Instance is the state of an instance.
type Instance struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Session  string `json:"session"`
	Peer     string `json:"peer"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Owned    int    `json:"owned"`
}

// Span is a recorded span of a request.
type Span struct {
	TraceID  string            `json:"trace-id"`
	SpanID   string            `json:"span-id"`
	ParentID string            `json:"parent-id,omitempty"`
	Name     string            `json:"name"`
	Instance string            `json:"instance"`
	Start    time.Time         `json:"start"`
	Duration time.Duration     `json:"duration-ns"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Trace holds the recorded spans of one request.
type Trace struct {
	RequestID string `json:"request-id"`
	TraceID   string `json:"trace-id"`
	Spans     []Span `json:"spans"`
}

// LoadRequest requests that the owner of a target load a model.
type LoadRequest struct {
	Target string `json:"target"`
}

// LogLevel is the log level of an instance.
type LogLevel struct {
	Level string `json:"level"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Kind    bamboorail.Kind `json:"kind"`
	Message string          `json:"message"`
}
