// Package operator implements the HTTP API for operators: commands that change
// the configuration, and queries.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/hashicorp/go-hclog"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }

func fail(op string, kind bamboorail.Kind, err error) error {
	return &Error{bamboorail.Failure{Op: op, Kind: kind, Err: err}}
}

// Source provides access to the state of the running instance.
type Source interface {
	View() *platform.View
	Targets(ctx context.Context) []operatorapi.Target
	Instances(ctx context.Context) []operatorapi.Instance
	Trace(ctx context.Context, requestID string) operatorapi.Trace
	Load(ctx context.Context, m bamboorail.ModelRef, target string) error
	SetLogLevel(level string) error
	// ConfigurationChanged triggers a read of the latest revision.
	ConfigurationChanged()
}

// Committer commits configuration changes.
type Committer interface {
	Commit(ctx context.Context, c platform.Change) (uint64, error)
}

// Config configures a Server.
type Config struct {
	// TokenSHA256 is the hex-encoded SHA-256 digest of the operator token.
	TokenSHA256 string
	Source      Source
	Writer      Committer
	Log         hclog.Logger
}

// Server serves the operator API.
type Server struct{ config Config }

// NewServer returns a Server for the given configuration.
func NewServer(c Config) *Server { return &Server{config: c} }

// Handler returns the HTTP handler, which requires the operator token.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/changes", command(s.commit, decodeBody))
	mux.Handle("POST /v1/models/{model}/load", command(s.load, decodeLoad))
	mux.Handle("PUT /v1/log-level", command(s.setLogLevel, decodeBody))
	mux.Handle("GET /v1/records", query(s.records, decodeRecordQuery))
	mux.Handle("GET /v1/targets", query(s.targets, decodeEmpty))
	mux.Handle("GET /v1/instances", query(s.instances, decodeEmpty))
	mux.Handle("GET /v1/traces/{id}", query(s.trace, decodeTraceQuery))
	return s.authorized(mux)
}

func (s *Server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(s.config.TokenSHA256)) != 1 {
			encodeError(r.Context(), fail("authorize", bamboorail.KindUnauthenticated, errors.New("missing or invalid operator token")), w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// command and query return the HTTP handler of a typed function.
func command[Req, Resp any](f func(context.Context, Req) (Resp, error), decode func(*http.Request) (Req, error)) http.Handler {
	return handler(f, decode)
}

func query[Req, Resp any](f func(context.Context, Req) (Resp, error), decode func(*http.Request) (Req, error)) http.Handler {
	return handler(f, decode)
}

func handler[Req, Resp any](f func(context.Context, Req) (Resp, error), decode func(*http.Request) (Req, error)) http.Handler {
	var e endpoint.Endpoint = func(ctx context.Context, request any) (any, error) { return f(ctx, request.(Req)) }
	return kithttp.NewServer(
		e,
		func(_ context.Context, r *http.Request) (any, error) { return decode(r) },
		func(_ context.Context, w http.ResponseWriter, response any) error {
			w.Header().Set("Content-Type", "application/json")
			return json.NewEncoder(w).Encode(response)
		},
		kithttp.ServerErrorEncoder(encodeError),
	)
}

const maxBodyBytes = 16 << 20

func decodeBody[Req any](r *http.Request) (Req, error) {
	var request Req
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return request, fail("read-body", bamboorail.KindBadRequest, err)
	}
	if len(data) > maxBodyBytes {
		return request, fail("read-body", bamboorail.KindTooLarge, fmt.Errorf("body exceeds %d bytes", maxBodyBytes))
	}
	if err := json.Unmarshal(data, &request); err != nil {
		return request, fail("read-body", bamboorail.KindBadRequest, err)
	}
	return request, nil
}

type empty struct{}

func decodeEmpty(*http.Request) (empty, error) { return empty{}, nil }

var httpStatuses = map[bamboorail.Kind]int{
	bamboorail.KindBadRequest:      http.StatusBadRequest,
	bamboorail.KindInvalidRecord:   http.StatusBadRequest,
	bamboorail.KindTooLarge:        http.StatusRequestEntityTooLarge,
	bamboorail.KindUnauthenticated: http.StatusUnauthorized,
	bamboorail.KindNotFound:        http.StatusNotFound,
	bamboorail.KindUnknownTarget:   http.StatusNotFound,
	bamboorail.KindUnknownAdapter:  http.StatusNotFound,
	bamboorail.KindConflict:        http.StatusConflict,
	bamboorail.KindUnavailable:     http.StatusServiceUnavailable,
	bamboorail.KindOverloaded:      http.StatusServiceUnavailable,
	bamboorail.KindNotOwner:        http.StatusServiceUnavailable,
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	f := bamboorail.FailureOf(err)
	status, ok := httpStatuses[f.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	kind := f.Kind
	if kind == bamboorail.KindOverloaded {
		kind = bamboorail.KindUnavailable
	}
	_ = json.NewEncoder(w).Encode(operatorapi.ErrorResponse{Kind: kind, Message: f.Error()})
}
