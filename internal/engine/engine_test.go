package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/engine"
	"bamboorail.example/bamboorail/pkg/record"
)

func target(t *testing.T, url string, dialect record.Dialect) record.Target {
	t.Helper()
	raw := fmt.Sprintf(`{"schema-version":1,"kind":"target","name":"stroj","role":"engine","zone":"z","url":%q,"dialect":%q,"base-model":"b","slots":1,"max-batch":1}`, url, dialect)
	r, err := record.Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := r.Target()
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

type sink struct{ chunks []string }

func (s *sink) Begin(bamboorail.ResponseHead) error { return nil }

func (s *sink) Write(p []byte) error { s.chunks = append(s.chunks, string(p)); return nil }

const handle = "suhrn@v1#1.1"

// event renders one chunk of the request r1 as the openai dialect sends it.
func event(index int, id, model, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"model\":%q,\"choices\":[{\"text\":%q}]}\n\n", index, id, model, text)
}

func good(index int) string { return event(index, "r1", handle, fmt.Sprint("t", index)) }

const done = "data: [DONE]\n\n"

// script answers a run, and then each resumption, with the next text.
func script(t *testing.T, texts ...string) *httptest.Server {
	t.Helper()
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			return
		}
		if n == len(texts) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, texts[n])
		n++
	}))
	t.Cleanup(s.Close)
	return s
}

func runOn(t *testing.T, url string, dialect record.Dialect) (*sink, error) {
	t.Helper()
	w := &bamboorail.Request{RequestID: "r1", Model: bamboorail.NewModelRef("suhrn", "v1"), Body: []byte(`{"model":"suhrn@v1","prompt":"p","max_tokens":3}`)}
	s := &sink{}
	err := engine.New(target(t, url, dialect), http.DefaultTransport).Run(context.Background(), bamboorail.EngineRequest{Request: w, Handle: handle}, s)
	return s, err
}

func TestStreamsAreWholeOrFail(t *testing.T) {
	for name, c := range map[string]struct {
		texts []string
		kind  bamboorail.Kind
		want  int
	}{
		"whole":                      {[]string{good(0) + good(1) + done}, "", 2},
		"duplicated chunk":           {[]string{good(0) + good(0) + good(1) + done}, "", 2},
		"cut and resumed":            {[]string{good(0), good(1) + done}, "", 2},
		"cut and resumed too early":  {[]string{good(0) + good(1), good(0) + good(1) + good(2) + done}, "", 3},
		"cut and resumed too late":   {[]string{good(0), good(2) + done, good(1) + good(2) + done}, "", 3},
		"cut inside a chunk":         {[]string{good(0) + good(1)[:20], good(1) + done}, "", 2},
		"cut and never resumed":      {[]string{good(0)}, bamboorail.KindTruncated, 1},
		"end without a mark":         {[]string{good(0) + good(1)}, bamboorail.KindTruncated, 2},
		"chunk of another request":   {[]string{good(0) + event(1, "r2", handle, "x") + done}, bamboorail.KindMismatch, 1},
		"chunk of another adapter":   {[]string{good(0) + event(1, "r1", "suhrn@v2#1.2", "x") + done}, bamboorail.KindMismatch, 1},
		"chunk of an older handle":   {[]string{good(0) + event(1, "r1", "suhrn@v1#1.0", "x") + done}, bamboorail.KindMismatch, 1},
		"resumed by another request": {[]string{good(0), event(1, "r2", handle, "x") + done}, bamboorail.KindMismatch, 1},
		"chunk is not JSON":          {[]string{good(0) + "id: 1\ndata: {\n\n" + done}, bamboorail.KindMismatch, 1},
		"nothing at all":             {[]string{""}, bamboorail.KindTruncated, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := runOn(t, script(t, c.texts...).URL, record.DialectOpenAI)
			checkRun(t, s, err, c.kind, c.want)
		})
	}
}

func checkRun(t *testing.T, s *sink, err error, kind bamboorail.Kind, want int) {
	t.Helper()
	if (err == nil) != (kind == "") || (err != nil && bamboorail.KindOf(err) != kind) {
		t.Errorf("error %v, expected kind %q", err, kind)
	}
	if err != nil && bamboorail.NotRun(err) {
		t.Errorf("a run that began is said to be not run: %v", err)
	}
	if len(s.chunks) != want {
		t.Errorf("%d chunks, expected %d: %q", len(s.chunks), want, s.chunks)
	}
	for n, chunk := range s.chunks {
		if !strings.Contains(chunk, `"suhrn@v1"`) || !strings.Contains(chunk, fmt.Sprint("t", n)) {
			t.Errorf("chunk %d is %s", n, chunk)
		}
	}
}

func line(index int, id, alias string, last bool) string {
	return fmt.Sprintf(`{"request-id":%q,"alias":%q,"index":%d,"text":"t%d","done":%t}`+"\n", id, alias, index, index, last)
}

func TestStatusDialectIsWholeOrFails(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		kind bamboorail.Kind
		want int
	}{
		"whole":           {line(0, "r1", handle, false) + line(1, "r1", handle, true), "", 2},
		"cut":             {line(0, "r1", handle, false), bamboorail.KindTruncated, 1},
		"gap":             {line(0, "r1", handle, false) + line(2, "r1", handle, true), bamboorail.KindTruncated, 1},
		"repeated":        {line(0, "r1", handle, false) + line(0, "r1", handle, true), bamboorail.KindTruncated, 1},
		"other request":   {line(0, "r2", handle, true), bamboorail.KindMismatch, 0},
		"other adapter":   {line(0, "r1", "suhrn@v2#1.1", true), bamboorail.KindMismatch, 0},
		"cut in a line":   {line(0, "r1", handle, false) + `{"request-id":"r1"`, bamboorail.KindTruncated, 1},
		"nothing at all":  {"", bamboorail.KindTruncated, 0},
		"not a JSON line": {"x\n", bamboorail.KindTruncated, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := runOn(t, script(t, c.text).URL, record.DialectStatus)
			checkRun(t, s, err, c.kind, c.want)
		})
	}
}

func TestRefusalsSayWhetherTheRequestRan(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		kind    bamboorail.Kind
		outcome bamboorail.Outcome
	}{
		"unknown handle": {404, bamboorail.KindStaleHandle, bamboorail.OutcomeNotRun},
		"old fencing":    {412, bamboorail.KindStaleFencing, bamboorail.OutcomeNotRun},
		"bad request":    {400, bamboorail.KindBadRequest, bamboorail.OutcomeNotRun},
		"cold start":     {503, bamboorail.KindUnavailable, bamboorail.OutcomeNotRun},
		"no slot":        {507, bamboorail.KindOverloaded, bamboorail.OutcomeNotRun},
		"internal error": {500, bamboorail.KindTargetFailed, bamboorail.OutcomeMayHaveRun},
		"bad gateway":    {502, bamboorail.KindTargetFailed, bamboorail.OutcomeMayHaveRun},
		"unknown status": {418, bamboorail.KindTargetFailed, bamboorail.OutcomeMayHaveRun},
	} {
		for _, dialect := range []record.Dialect{record.DialectOpenAI, record.DialectStatus} {
			t.Run(name+" "+string(dialect), func(t *testing.T) {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(c.status) }))
				defer s.Close()
				_, err := runOn(t, s.URL, dialect)
				f := bamboorail.FailureOf(err)
				if err == nil || f.Kind != c.kind || f.Outcome != c.outcome {
					t.Errorf("error %v with outcome %q, expected %q with %q", err, f.Outcome, c.kind, c.outcome)
				}
			})
		}
	}
}

func FuzzStream(f *testing.F) {
	f.Add(good(0) + done)
	f.Add("id: x\ndata: {}\n\n")
	f.Add(strings.Repeat("x", 100))
	f.Fuzz(func(t *testing.T, text string) {
		s, err := runOn(t, script(t, text).URL, record.DialectOpenAI)
		if err == nil && !strings.Contains(text, "[DONE]") {
			t.Errorf("a stream without an end mark is whole: %q gave %q", text, s.chunks)
		}
	})
}
