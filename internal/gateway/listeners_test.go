package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"bamboorail.example/bamboorail/internal/telemetry"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

// FuzzTraces requests arbitrary request ids from the metrics listener. The
// response must hold the spans of that request alone or report that there are
// none.
func FuzzTraces(f *testing.F) {
	for _, id := range []string{"known", "", "..", "a/b", "\x00", "%2f", "kn\u00f6wn"} {
		f.Add(id)
	}
	spans := telemetry.NewSpanStore("i", 8)
	tracer := telemetry.NewTracer(spans)
	ctx, root := tracer.Start(context.Background(), "entry", trace.WithAttributes(telemetry.RequestIDKey.String("known")))
	_, hop := tracer.Start(ctx, "target")
	hop.End()
	root.End()
	g := &Gateway{spans: spans, log: hclog.NewNullLogger()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/traces/{id}", g.serveTrace)
	f.Fuzz(func(t *testing.T, id string) {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.URL = &url.URL{Path: "/v1/traces/" + id, RawPath: "/v1/traces/" + url.PathEscape(id)}
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, r)
		if id != "known" {
			if w.Code == http.StatusOK {
				t.Errorf("id %q: status %d, %q", id, w.Code, w.Body)
			}
			return
		}
		var answer operatorapi.Trace
		if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil || len(answer.Spans) != 2 {
			t.Errorf("status %d, %v: %q", w.Code, err, w.Body)
		}
	})
}
