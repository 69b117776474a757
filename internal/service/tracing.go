package service

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
)

// tracedEngine records a span for each request to and load on an engine.
type tracedEngine struct {
	bamboorail.Engine
	target string
	tracer trace.Tracer
}

// Run executes a request within a span.
func (t *tracedEngine) Run(ctx context.Context, r bamboorail.EngineRequest, s bamboorail.Sink) error {
	ctx, span := startClientSpan(ctx, t.tracer, "target "+t.target, attribute.String("handle", string(r.Handle)))
	return endClientSpan(span, t.Engine.Run(ctx, r, s))
}

// Load sends a load command within a span.
func (t *tracedEngine) Load(ctx context.Context, o bamboorail.LoadOrder) error {
	ctx, span := startClientSpan(ctx, t.tracer, "load "+t.target, attribute.String("handle", string(o.Handle)))
	return endClientSpan(span, t.Engine.Load(ctx, o))
}

// tracedApplication records a span for each call to an application.
type tracedApplication struct {
	next   bamboorail.Application
	target string
	tracer trace.Tracer
}

// Call calls the application within a span.
func (t *tracedApplication) Call(ctx context.Context, req *bamboorail.Request, s bamboorail.Sink) error {
	ctx, span := startClientSpan(ctx, t.tracer, "target "+t.target, attribute.String("call", req.Method+" "+req.Path))
	return endClientSpan(span, t.next.Call(ctx, req, s))
}

func startClientSpan(ctx context.Context, tracer trace.Tracer, name string, fields ...attribute.KeyValue) (context.Context, trace.Span) {
	return tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(fields...))
}

func endClientSpan(span trace.Span, err error) error {
	if err != nil {
		span.SetStatus(codes.Error, string(bamboorail.KindOf(err)))
	}
	span.End()
	return err
}
