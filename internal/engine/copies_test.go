package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/pkg/record"
)

// TestLateCopiesDoNotRefuseRuns guards against "not run" for a run that the engine
// received, after which it wrote its refusal of an earlier one again.
func TestLateCopiesDoNotRefuseRuns(t *testing.T) {
	texts := map[record.Dialect]string{
		record.DialectOpenAI: validChunk(0) + endMarker,
		record.DialectStatus: line(0, "r1", handle, true),
	}
	for dialect, text := range texts {
		for _, status := range []int{
			http.StatusServiceUnavailable, http.StatusInsufficientStorage, http.StatusNotFound, http.StatusPreconditionFailed, http.StatusBadRequest,
		} {
			t.Run(fmt.Sprint(dialect, " ", status), func(t *testing.T) {
				var requests atomic.Int64
				first := ""
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodDelete {
						return
					}
					if requests.Add(1) == 1 {
						first = r.RemoteAddr
					}
					if r.RemoteAddr == first {
						w.WriteHeader(status)
						return
					}
					w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					_, _ = io.WriteString(w, text)
				}))
				t.Cleanup(s.Close)
				if _, err := runRequest(t, s.URL, dialect); !bamboorail.NotRun(err) {
					t.Errorf("a refusal on a new connection: %v", err)
				}
				if received, err := runRequest(t, s.URL, dialect); err != nil || len(received.chunks) != 1 {
					t.Errorf("the second run: %v", err)
				}
				if n := requests.Load(); n != 2 {
					t.Errorf("%d requests, expected 2", n)
				}
			})
		}
	}
}
