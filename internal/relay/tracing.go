package relay

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/telemetry"
)

// startTrace starts the span of the whole call, in the caller's trace if the
// call carries a trace context.
func (x *exchange) startTrace() trace.Span {
	ctx := propagation.TraceContext{}.Extract(x.r.Context(), propagation.HeaderCarrier(x.r.Header))
	ctx, span := x.h.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	x.r = x.r.WithContext(ctx)
	return span
}

// endTrace ends the span of the whole call.
func (x *exchange) endTrace(span trace.Span, err error) {
	span.SetName("entry " + x.route.Name)
	span.SetAttributes(telemetry.RequestIDKey.String(x.call.ID), attribute.Int("status", x.status), attribute.Int("sent", x.attempted.sent))
	endSpan(span, err)
}

// startSpan starts the span of one step of the call.
func startSpan(ctx context.Context, tracer trace.Tracer, name string) (context.Context, trace.Span) {
	return tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
}

func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, string(bamboorail.KindOf(err)))
		span.SetAttributes(attribute.String("failed", outcome(err)))
	}
	span.End()
}
