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

// event encodes one chunk as the openai dialect sends it.
func event(index int, id, model, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"model\":%q,\"choices\":[{\"text\":%q}]}\n\n", index, id, model, text)
}

func validChunk(index int) string { return event(index, "r1", handle, fmt.Sprint("t", index)) }

const endMarker = "data: [DONE]\n\n"

// newScriptedServer returns a server that responds to a run, and then to each
// resumption, with the next text.
func newScriptedServer(t *testing.T, texts ...string) *httptest.Server {
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

func runRequest(t *testing.T, url string, dialect record.Dialect) (*sink, error) {
	t.Helper()
	w := &bamboorail.Request{RequestID: "r1", Model: bamboorail.NewModelRef("suhrn", "v1"), Body: []byte(`{"model":"suhrn@v1","prompt":"p","max_tokens":3}`)}
	s := &sink{}
	err := engine.New(target(t, url, dialect), http.DefaultTransport, &http.Transport{DisableKeepAlives: true}).Run(context.Background(), bamboorail.EngineRequest{Request: w, Handle: handle}, s)
	return s, err
}

func TestOpenAIStreamIsCompleteOrFails(t *testing.T) {
	for name, c := range map[string]struct {
		texts []string
		kind  bamboorail.Kind
		want  int
	}{
		"complete":                   {[]string{validChunk(0) + validChunk(1) + endMarker}, "", 2},
		"duplicated chunk":           {[]string{validChunk(0) + validChunk(0) + validChunk(1) + endMarker}, "", 2},
		"truncated and resumed":      {[]string{validChunk(0), validChunk(1) + endMarker}, "", 2},
		"resumed too early":          {[]string{validChunk(0) + validChunk(1), validChunk(0) + validChunk(1) + validChunk(2) + endMarker}, "", 3},
		"resumed too late":           {[]string{validChunk(0), validChunk(2) + endMarker, validChunk(1) + validChunk(2) + endMarker}, "", 3},
		"truncated inside a chunk":   {[]string{validChunk(0) + validChunk(1)[:20], validChunk(1) + endMarker}, "", 2},
		"truncated, never resumed":   {[]string{validChunk(0)}, bamboorail.KindTruncated, 1},
		"no end marker":              {[]string{validChunk(0) + validChunk(1)}, bamboorail.KindTruncated, 2},
		"chunk of another request":   {[]string{validChunk(0) + event(1, "r2", handle, "x") + endMarker}, bamboorail.KindMismatch, 1},
		"chunk of another adapter":   {[]string{validChunk(0) + event(1, "r1", "suhrn@v2#1.2", "x") + endMarker}, bamboorail.KindMismatch, 1},
		"chunk of an older handle":   {[]string{validChunk(0) + event(1, "r1", "suhrn@v1#1.0", "x") + endMarker}, bamboorail.KindMismatch, 1},
		"resumed by another request": {[]string{validChunk(0), event(1, "r2", handle, "x") + endMarker}, bamboorail.KindMismatch, 1},
		"resumed with an error":      {[]string{validChunk(0), "data: {\"error\":\"x\"}\n\n"}, bamboorail.KindTruncated, 1},
		"resumed with a type error":  {[]string{validChunk(0), "event: error\nid: 1\ndata: {\"error\":\"x\"}\n\n" + endMarker}, bamboorail.KindMismatch, 1},
		"resumed with a head":        {[]string{validChunk(0), "HTTP/1.1 500 No\r\nA: b\r\n\r\nsorry\n\n"}, bamboorail.KindTruncated, 1},
		"resumed without an event":   {[]string{validChunk(0), ""}, bamboorail.KindTruncated, 1},
		"resumed with an invalid id": {[]string{validChunk(0), "id: x\ndata: {}\n\n" + endMarker}, bamboorail.KindTruncated, 1},
		"resumed inside a chunk":     {[]string{validChunk(0), validChunk(1)[:20]}, bamboorail.KindTruncated, 1},
		"chunk is not JSON":          {[]string{validChunk(0) + "id: 1\ndata: {\n\n" + endMarker}, bamboorail.KindMismatch, 1},
		"empty stream":               {[]string{""}, bamboorail.KindTruncated, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := runRequest(t, newScriptedServer(t, c.texts...).URL, record.DialectOpenAI)
			checkRun(t, s, err, c.kind, c.want)
		})
	}
}

// TestErrorEventDoesNotEndStreamAsComplete guards against error events before an end marker that callers get as a short answer (issue 41).
func TestErrorEventDoesNotEndStreamAsComplete(t *testing.T) {
	const failure = "data: {\"error\":{\"message\":\"sorry\"}}\n\n"
	for name, c := range map[string]struct {
		texts []string
		kind  bamboorail.Kind
		want  int
	}{
		"at the start":               {[]string{failure + endMarker}, bamboorail.KindTruncated, 0},
		"in the answer":              {[]string{validChunk(0) + failure + endMarker}, bamboorail.KindTruncated, 1},
		"of type error":              {[]string{validChunk(0) + "event: error\n" + failure + endMarker}, bamboorail.KindTruncated, 1},
		"in a resumed answer":        {[]string{validChunk(0), failure + endMarker}, bamboorail.KindTruncated, 1},
		"before an answer that fits": {[]string{validChunk(0), failure + endMarker, validChunk(1) + endMarker}, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := runRequest(t, newScriptedServer(t, c.texts...).URL, record.DialectOpenAI)
			checkRun(t, s, err, c.kind, c.want)
		})
	}
}

func checkRun(t *testing.T, s *sink, err error, kind bamboorail.Kind, want int) {
	t.Helper()
	if (err == nil) != (kind == "") || (err != nil && bamboorail.KindOf(err) != kind) {
		t.Errorf("got error %v, expected kind %q", err, kind)
	}
	if err != nil && bamboorail.NotRun(err) {
		t.Errorf("error reports a started run as not run: %v", err)
	}
	if len(s.chunks) != want {
		t.Errorf("got %d chunks, expected %d: %q", len(s.chunks), want, s.chunks)
	}
	for n, chunk := range s.chunks {
		if !strings.Contains(chunk, `"suhrn@v1"`) || !strings.Contains(chunk, fmt.Sprint("t", n)) {
			t.Errorf("unexpected content of chunk %d: %s", n, chunk)
		}
	}
}

func line(index int, id, alias string, last bool) string {
	return fmt.Sprintf(`{"request-id":%q,"alias":%q,"index":%d,"text":"t%d","done":%t}`+"\n", id, alias, index, index, last)
}

func TestStatusStreamIsCompleteOrFails(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		kind bamboorail.Kind
		want int
	}{
		"complete":        {line(0, "r1", handle, false) + line(1, "r1", handle, true), "", 2},
		"truncated":       {line(0, "r1", handle, false), bamboorail.KindTruncated, 1},
		"gap":             {line(0, "r1", handle, false) + line(2, "r1", handle, true), bamboorail.KindTruncated, 1},
		"repeated":        {line(0, "r1", handle, false) + line(0, "r1", handle, true), bamboorail.KindTruncated, 1},
		"other request":   {line(0, "r2", handle, true), bamboorail.KindMismatch, 0},
		"other adapter":   {line(0, "r1", "suhrn@v2#1.1", true), bamboorail.KindMismatch, 0},
		"truncated line":  {line(0, "r1", handle, false) + `{"request-id":"r1"`, bamboorail.KindTruncated, 1},
		"empty stream":    {"", bamboorail.KindTruncated, 0},
		"not a JSON line": {"x\n", bamboorail.KindTruncated, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := runRequest(t, newScriptedServer(t, c.text).URL, record.DialectStatus)
			checkRun(t, s, err, c.kind, c.want)
		})
	}
}

func TestErrorStatusDeterminesOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		kind    bamboorail.Kind
		outcome bamboorail.Outcome
	}{
		"unknown handle": {404, bamboorail.KindStaleHandle, bamboorail.OutcomeNotRun},
		"stale fencing":  {412, bamboorail.KindStaleFencing, bamboorail.OutcomeNotRun},
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
				_, err := runRequest(t, s.URL, dialect)
				f := bamboorail.FailureOf(err)
				if err == nil || f.Kind != c.kind || f.Outcome != c.outcome {
					t.Errorf("got error %v with outcome %q, expected kind %q with outcome %q", err, f.Outcome, c.kind, c.outcome)
				}
			})
		}
	}
}

func FuzzStream(f *testing.F) {
	f.Add(validChunk(0) + endMarker)
	f.Add("id: x\ndata: {}\n\n")
	f.Add(strings.Repeat("x", 100))
	f.Fuzz(func(t *testing.T, text string) {
		s, err := runRequest(t, newScriptedServer(t, text).URL, record.DialectOpenAI)
		if err == nil && !strings.Contains(text, "[DONE]") {
			t.Errorf("stream %q without an end marker accepted as complete, chunks %q", text, s.chunks)
		}
	})
}

// TestShortenedReportIsRejected guards against a report of which the end is
// missing: the adapters that it does not list would count as unloaded.
func TestShortenedReportIsRejected(t *testing.T) {
	const info, slots = "engine_info{incarnation=\"i1\",base_model=\"b\"} 1\n", "# TYPE engine_adapter_slots gauge\nengine_adapter_slots 4\n"
	cases := map[string]struct {
		head, body string
		valid      bool
	}{
		"length":                 {fmt.Sprintf("Content-Length: %d\r\n", len(info+slots)), info + slots, true},
		"chunks":                 {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(info+slots), info+slots), true},
		"ends with a connection": {"", info, false},
		"longer than the limit":  {fmt.Sprintf("Content-Length: %d\r\n", len(info)+1<<21), info + strings.Repeat("#\n", 1<<20), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\n"+c.body)
			}))
			t.Cleanup(s.Close)
			report, err := engine.New(target(t, s.URL, record.DialectOpenAI), &http.Transport{}, &http.Transport{}).Report(context.Background())
			if c.valid != (err == nil) || c.valid && report.Slots != 4 {
				t.Errorf("report %+v, error %v", report, err)
			}
		})
	}
}
