// Package caller implements the HTTP API for callers: OpenAI-compatible
// completions and calls of plain services.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/requestid"
	"bamboorail.example/bamboorail/internal/telemetry"
	"bamboorail.example/bamboorail/pkg/record"
)

// Config configures a server.
type Config struct {
	Zone       string
	View       func() *platform.View
	Dispatcher bamboorail.Dispatcher
	// Ready returns the reason why the instance accepts no requests, or nil.
	Ready   func() error
	MaxBody int64
	Metrics *telemetry.Metrics
	Tracer  trace.Tracer
	Log     hclog.Logger
}

// Server serves the caller API.
type Server struct{ config Config }

// NewServer returns a server.
func NewServer(c Config) *Server { return &Server{config: c} }

// Handler returns the handler of the caller API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", s.dispatchHandler("completions", s.decodeCompletion(false)))
	mux.Handle("POST /v1/chat/completions", s.dispatchHandler("chat-completions", s.decodeCompletion(true)))
	mux.Handle("/v1/services/{service}/{path...}", s.dispatchHandler("service-call", s.decodeServiceCall))
	mux.Handle("GET /v1/models", s.queryHandler("models", s.listModels))
	mux.Handle("POST /v1/request-ids", s.queryHandler("request-ids", s.newRequestID))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", s.serveReady)
	return s.withExchange(splitByPath(mux, s.dispatchHandler("routed-call", s.decodeRoutedCall)))
}

// splitByPath sends the paths of the caller API to own and all others unchanged
// to routed: a ServeMux would redirect paths that are not in normal form.
func splitByPath(own, routed http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if record.IsReservedPath(r.URL.Path) {
			own.ServeHTTP(w, r)
			return
		}
		routed.ServeHTTP(w, r)
	})
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.config.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// dispatchHandler returns the handler of a call that runs on a target.
func (s *Server) dispatchHandler(call string, decode kithttp.DecodeRequestFunc) http.Handler {
	return s.handler(call, typed(s.dispatch), decode, encodeNothing)
}

// queryHandler returns the handler of a call that this instance answers itself.
func (s *Server) queryHandler(call string, f func(context.Context, record.Caller) (any, error)) http.Handler {
	decode := func(ctx context.Context, r *http.Request) (any, error) {
		_, _, c, err := s.newRequest(ctx, r)
		return c, err
	}
	return s.handler(call, typed(f), decode, encodeJSON)
}

func (s *Server) handler(call string, e endpoint.Endpoint, decode kithttp.DecodeRequestFunc, encode kithttp.EncodeResponseFunc) http.Handler {
	counted := s.counting(call)
	return kithttp.NewServer(
		endpoint.Chain(s.tracing(call), counted)(e),
		func(ctx context.Context, r *http.Request) (any, error) {
			request, err := decode(ctx, r)
			if err != nil {
				s.config.Metrics.Request(call, 0, err)
			}
			return request, err
		},
		encode,
		kithttp.ServerBefore(extractTrace),
		kithttp.ServerErrorEncoder(encodeError),
	)
}

// typed adapts a function with a typed request to an endpoint.
func typed[Req, Resp any](f func(context.Context, Req) (Resp, error)) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return f(ctx, request.(Req))
	}
}

func extractTrace(ctx context.Context, r *http.Request) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(r.Header))
}

// tracing returns a middleware that records a span for the request.
func (s *Server) tracing(call string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			ctx, span := s.config.Tracer.Start(ctx, "entry "+call, trace.WithSpanKind(trace.SpanKindServer))
			defer span.End()
			if x := exchangeFrom(ctx); x != nil {
				span.SetAttributes(telemetry.RequestIDKey.String(x.requestID))
			}
			if r, ok := request.(dispatchRequest); ok {
				span.SetAttributes(attribute.String("caller", r.request.Caller), attribute.String("model", modelName(r.request)))
			}
			response, err := next(ctx, request)
			if err != nil {
				span.SetStatus(codes.Error, string(bamboorail.KindOf(err)))
			}
			return response, err
		}
	}
}

func modelName(req *bamboorail.Request) string {
	if req.Service != "" {
		return req.Service
	}
	return req.Model.String()
}

// counting returns a middleware that counts requests and logs failures.
func (s *Server) counting(call string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			start := time.Now()
			response, err := next(ctx, request)
			s.config.Metrics.Request(call, time.Since(start), err)
			if err != nil {
				f := bamboorail.FailureOf(err)
				s.config.Log.Info("request failed", "call", call, "request-id", exchangeFrom(ctx).requestID,
					"kind", f.Kind, "outcome", f.Outcome, "error", err)
			}
			return response, err
		}
	}
}

// dispatch runs a request and completes its response.
func (s *Server) dispatch(ctx context.Context, r dispatchRequest) (any, error) {
	if err := s.config.Ready(); err != nil && s.config.View().Revision() == 0 {
		return nil, rejected(bamboorail.KindUnavailable, errNotReady)
	}
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	defer cancel()
	if err := s.config.Dispatcher.Dispatch(ctx, r.request, r.sink); err != nil {
		return nil, err
	}
	return nil, r.sink.finish()
}

func encodeNothing(context.Context, http.ResponseWriter, any) error { return nil }

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// listModels returns the active versions of the adapters that a caller may use.
func (s *Server) listModels(_ context.Context, c record.Caller) (any, error) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, r := range s.config.View().Records(record.KindAdapter) {
		a, err := r.Adapter()
		if err != nil || !c.MayUseAdapter(a.Name()) {
			continue
		}
		for _, v := range a.Versions() {
			if v.State != record.VersionRetired {
				list.Data = append(list.Data, modelEntry{ID: bamboorail.NewModelRef(a.Name(), v.Name).String(), Object: "model"})
			}
		}
	}
	slices.SortFunc(list.Data, func(a, b modelEntry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list, nil
}

type requestIDAnswer struct {
	RequestID string `json:"request-id"`
}

// newRequestID issues an id that makes a call idempotent.
func (s *Server) newRequestID(context.Context, record.Caller) (any, error) {
	id, err := requestid.New(s.config.Zone)
	return requestIDAnswer{RequestID: id.String()}, err
}
