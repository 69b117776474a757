// Package telemetry records the spans and metrics of an instance.
package telemetry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// RequestIDKey is the span attribute key of the request ID.
const RequestIDKey = attribute.Key("request-id")

// Span is one recorded hop of a request.
type Span struct {
	TraceID  string            `json:"trace-id"`
	SpanID   string            `json:"span-id"`
	ParentID string            `json:"parent-id,omitempty"`
	Name     string            `json:"name"`
	Instance string            `json:"instance"`
	Start    time.Time         `json:"start"`
	Duration time.Duration     `json:"duration"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// SpanStore keeps the most recent spans in a ring buffer.
type SpanStore struct {
	instance string

	mu   sync.Mutex
	ring []Span
	next int
}

var _ sdktrace.SpanProcessor = (*SpanStore)(nil)

// NewSpanStore returns a store that keeps up to size spans.
func NewSpanStore(instance string, size int) *SpanStore {
	return &SpanStore{instance: instance, ring: make([]Span, 0, size)}
}

// OnStart does nothing; spans are recorded when they end.
func (s *SpanStore) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd records a span.
func (s *SpanStore) OnEnd(r sdktrace.ReadOnlySpan) {
	span := Span{
		TraceID: r.SpanContext().TraceID().String(), SpanID: r.SpanContext().SpanID().String(),
		Name: r.Name(), Instance: s.instance, Start: r.StartTime(), Duration: r.EndTime().Sub(r.StartTime()),
		Fields: map[string]string{},
	}
	if r.Parent().IsValid() {
		span.ParentID = r.Parent().SpanID().String()
	}
	for _, a := range r.Attributes() {
		span.Fields[string(a.Key)] = a.Value.String()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, span)
		return
	}
	s.ring[s.next] = span
	s.next = (s.next + 1) % len(s.ring)
}

// Shutdown does nothing.
func (s *SpanStore) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing.
func (s *SpanStore) ForceFlush(context.Context) error { return nil }

// Find returns the spans of the given trace, or of the trace of requestID if
// traceID is empty, ordered by start time.
func (s *SpanStore) Find(traceID, requestID string) []Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	if traceID == "" {
		i := slices.IndexFunc(s.ring, func(p Span) bool { return p.Fields[string(RequestIDKey)] == requestID })
		if i < 0 {
			return nil
		}
		traceID = s.ring[i].TraceID
	}
	var found []Span
	for _, p := range s.ring {
		if p.TraceID == traceID {
			found = append(found, p)
		}
	}
	SortSpans(found)
	return found
}

// SortSpans sorts spans by start time, then by span ID.
func SortSpans(spans []Span) {
	slices.SortFunc(spans, func(a, b Span) int {
		if c := a.Start.Compare(b.Start); c != 0 {
			return c
		}
		return strings.Compare(a.SpanID, b.SpanID)
	})
}

// NewTracer returns a tracer that records to the store.
func NewTracer(s *SpanStore) trace.Tracer {
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(s))
	return provider.Tracer("bamboorail")
}
