package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/requestid"
)

// The headers that describe how a request was served.
const (
	servedByHeader = "Served-By"
	waitHeader     = "Queue-Wait-Ms"
	loadWaitHeader = "Load-Wait-Ms"
	repeatHeader   = "Repeat-Policy"
)

// repeatIsNew tells a caller that a repeat of its call is a new request.
const repeatIsNew = "new-request"

// exchange is one HTTP request with its response.
type exchange struct {
	writer    http.ResponseWriter
	requestID string
	begun     bool
	abort     func(err error)
}

type exchangeKey struct{}

// withExchange makes the response available to the decoders, which build the
// sinks that write to it.
func withExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{writer: w, abort: func(error) { panic(http.ErrAbortHandler) }}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
	})
}

func exchangeOf(ctx context.Context) *exchange {
	x, _ := ctx.Value(exchangeKey{}).(*exchange)
	return x
}

func (x *exchange) setHead(h bamboorail.ResponseHead) {
	header := x.writer.Header()
	header.Set(requestid.Header, x.requestID)
	header.Set(servedByHeader, h.Target)
	header.Set(waitHeader, milliseconds(h.QueueWait))
	header.Set(loadWaitHeader, milliseconds(h.LoadWait))
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// finisher is a sink that completes the response after a whole answer.
type finisher interface {
	bamboorail.Sink
	finish() error
}

// streamSink writes completion chunks as server-sent events.
type streamSink struct {
	x       *exchange
	flusher *http.ResponseController
	buffer  []byte
}

func newStreamSink(x *exchange) *streamSink {
	s := &streamSink{x: x, flusher: http.NewResponseController(x.writer)}
	x.abort = s.abort
	return s
}

func (s *streamSink) Begin(h bamboorail.ResponseHead) error {
	s.x.begun = true
	s.x.setHead(h)
	header := s.x.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.x.writer.WriteHeader(http.StatusOK)
	return s.flusher.Flush()
}

func (s *streamSink) Write(chunk []byte) error {
	s.buffer = append(s.buffer[:0], "data: "...)
	s.buffer = append(s.buffer, chunk...)
	s.buffer = append(s.buffer, "\n\n"...)
	if _, err := s.x.writer.Write(s.buffer); err != nil {
		return err
	}
	return s.flusher.Flush()
}

func (s *streamSink) finish() error {
	_, err := s.x.writer.Write([]byte("data: [DONE]\n\n"))
	return err
}

// abort ends a stream with an error event in place of the end mark.
func (s *streamSink) abort(err error) {
	d, _ := detailOf(err, s.x.requestID)
	data, encodeErr := json.Marshal(errorBody{Error: d})
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = s.x.writer.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
	_ = s.flusher.Flush()
}

// wholeSink collects completion chunks into one JSON answer.
type wholeSink struct {
	x      *exchange
	model  string
	chat   bool
	head   bamboorail.ResponseHead
	text   strings.Builder
	reason string
	tokens int
	usage  json.RawMessage
}

func (s *wholeSink) Begin(h bamboorail.ResponseHead) error {
	s.head = h
	return nil
}

// Reset forgets a partial answer.
func (s *wholeSink) Reset() {
	s.text.Reset()
	s.reason, s.usage, s.tokens = "", nil, 0
}

func (s *wholeSink) Write(chunk []byte) error {
	path := "choices.0.text"
	if s.chat {
		path = "choices.0.delta.content"
	}
	fields := gjson.GetManyBytes(chunk, path, "choices.0.finish_reason", "usage")
	s.text.WriteString(fields[0].String())
	if fields[1].Type == gjson.String {
		s.reason = fields[1].Str
	}
	if fields[2].IsObject() {
		s.usage = json.RawMessage(fields[2].Raw)
	}
	s.tokens++
	return nil
}

type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *wholeSink) finish() error {
	text := s.text.String()
	a := wholeAnswer{ID: s.x.requestID, Object: "text_completion", Model: s.model, Usage: s.usage}
	choice := wholeChoice{Text: &text, FinishReason: s.reason}
	if s.chat {
		a.Object = "chat.completion"
		choice = wholeChoice{Message: &wholeMessage{Role: "assistant", Content: text}, FinishReason: s.reason}
	}
	a.Choices = []wholeChoice{choice}
	s.x.setHead(s.head)
	s.x.writer.Header().Set("Content-Type", "application/json")
	s.x.begun = true
	return json.NewEncoder(s.x.writer).Encode(a)
}

// rawSink passes the answer of an application on.
type rawSink struct {
	x *exchange
	// opaque is set if the request id does not make the call idempotent.
	opaque bool
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (s *rawSink) Begin(h bamboorail.ResponseHead) error {
	s.x.begun = true
	header := s.x.writer.Header()
	for k, v := range h.Header {
		header[k] = v
	}
	for _, k := range hopHeaders {
		header.Del(k)
	}
	s.x.setHead(h)
	if s.opaque {
		header.Set(repeatHeader, repeatIsNew)
	}
	s.x.writer.WriteHeader(h.Status)
	return nil
}

func (s *rawSink) Write(chunk []byte) error {
	_, err := s.x.writer.Write(chunk)
	return err
}

func (s *rawSink) finish() error { return nil }
