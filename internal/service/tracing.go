package service

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
)

// tracedEngine records a span for each request and load at an engine.
type tracedEngine struct {
	bamboorail.Engine
	target string
	tracer trace.Tracer
}

// Run executes a request within a span.
func (t *tracedEngine) Run(ctx context.Context, r bamboorail.EngineRequest, s bamboorail.Sink) error {
	ctx, span := startClient(ctx, t.tracer, "target "+t.target, attribute.String("handle", string(r.Handle)))
	return endClient(span, t.Engine.Run(ctx, r, s))
}

// Load sends a load order within a span.
func (t *tracedEngine) Load(ctx context.Context, o bamboorail.LoadOrder) error {
	ctx, span := startClient(ctx, t.tracer, "load "+t.target, attribute.String("handle", string(o.Handle)))
	return endClient(span, t.Engine.Load(ctx, o))
}

// tracedApplication records a span for each call of an application.
type tracedApplication struct {
	next   bamboorail.Application
	target string
	tracer trace.Tracer
}

// Call calls the application within a span.
func (t *tracedApplication) Call(ctx context.Context, w *bamboorail.Request, s bamboorail.Sink) error {
	ctx, span := startClient(ctx, t.tracer, "target "+t.target, attribute.String("call", w.Method+" "+w.Path))
	return endClient(span, t.next.Call(ctx, w, s))
}

func startClient(ctx context.Context, tracer trace.Tracer, name string, fields ...attribute.KeyValue) (context.Context, trace.Span) {
	return tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(fields...))
}

func endClient(span trace.Span, err error) error {
	if err != nil {
		span.SetStatus(codes.Error, string(bamboorail.KindOf(err)))
	}
	span.End()
	return err
}
