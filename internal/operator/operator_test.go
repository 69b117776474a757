package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/logflags"
	"bamboorail.example/bamboorail/internal/operator"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/internal/stand/memory"
	"bamboorail.example/bamboorail/pkg/operatorapi"
	"bamboorail.example/bamboorail/pkg/record"
)

// source is a fake operator.Source with a configuration but no targets,
// instances or spans.
type source struct{ reader *platform.Reader }

var errNoTarget = errors.New("no such target")

func (s source) View() *platform.View                             { return s.reader.Current() }
func (s source) Targets(context.Context) []operatorapi.Target     { return nil }
func (s source) Instances(context.Context) []operatorapi.Instance { return nil }
func (s source) Trace(_ context.Context, id string) operatorapi.Trace {
	return operatorapi.Trace{RequestID: id}
}
func (s source) Load(context.Context, bamboorail.ModelRef, string) error { return errNoTarget }
func (s source) SetLogLevel(level string) error {
	if level != "debug" {
		return errors.New("no such level")
	}
	return nil
}
func (s source) ConfigurationChanged() {}

const token = "operator"

func newHandler(t testing.TB) (http.Handler, *platform.Reader) {
	t.Helper()
	store := memory.NewStore()
	r := platform.NewReader(store, func(*platform.View, []error) {})
	return operator.NewServer(operator.Config{
		TokenSHA256: record.HashToken(token), Source: source{r}, Writer: platform.NewWriter(store), Log: logflags.Discard().Layer("operator"),
	}).Handler(), r
}

// FuzzOperators sends arbitrary requests with arbitrary tokens. No request may
// panic, none may succeed without the token, and committed records must read
// back as valid.
func FuzzOperators(f *testing.F) {
	adapter := `{"schema-version":1,"kind":"adapter","name":"a","base-model":"b","versions":[{"name":"v1"}]}`
	f.Add("POST", "/v1/changes", `{"id":"c","apply":[`+adapter+`]}`, token)
	f.Add("POST", "/v1/changes", `{"id":"c","base":1,"apply":[{}],"delete":[{"kind":"adapter","name":"a"}]}`, token)
	f.Add("POST", "/v1/changes", `{"apply":[null,7,"x"]}`, token)
	f.Add("POST", "/v1/models/a@v1/load", `{"target":"t"}`, token)
	f.Add("PUT", "/v1/log-level", `{"level":"\u0000"}`, token)
	f.Add("GET", "/v1/records?kind=%00&name=%ff", "", token)
	f.Add("GET", "/v1/traces/%2e%2e", "", token)
	f.Add("DELETE", "/v1/changes", "", "")
	f.Fuzz(func(t *testing.T, method, target, body, bearer string) {
		r, err := http.NewRequest(method, "http://o.example", strings.NewReader(body))
		if err != nil {
			return
		}
		if r.URL, err = r.URL.Parse(target); err != nil {
			return
		}
		r.Header.Set("Authorization", "Bearer "+bearer)
		h, reader := newHandler(t)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if bearer != token && w.Code != http.StatusUnauthorized {
			t.Errorf("status %d without the token", w.Code)
		}
		if w.Code != http.StatusOK {
			return
		}
		if !json.Valid(w.Body.Bytes()) {
			t.Errorf("answer %q", w.Body)
		}
		if err := reader.Refresh(t.Context()); err != nil {
			t.Errorf("after %s %s %q: %v", method, target, body, err)
		}
		for _, k := range record.Kinds() {
			for _, stored := range reader.Current().Records(k) {
				if err := stored.Validate(); err != nil {
					t.Errorf("stored from %q: %v", body, err)
				}
			}
		}
	})
}
