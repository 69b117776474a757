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
	"bamboorail.example/bamboorail/internal/eventstream"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/requestid"
)

// Response headers that describe how a request was served.
const (
	servedByHeader = "Served-By"
	waitHeader     = "Queue-Wait-Ms"
	loadWaitHeader = "Load-Wait-Ms"
	repeatHeader   = "Repeat-Policy"
)

// repeatNewRequest tells a caller that a repeat of its call is executed as a
// new request.
const repeatNewRequest = "new-request"

// exchange is one HTTP request and its response.
type exchange struct {
	writer    http.ResponseWriter
	requestID string
	started   bool
	abort     func(err error)
}

type exchangeKey struct{}

// withExchange adds the response writer to the context, from which the decoders
// build the sinks that write to it.
func (s *Server) withExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{writer: w}
		x.abort = func(error) {
			if err := httpport.MarkBroken(w, r); err != nil {
				s.config.Log.Warn("broken answer not marked", "request-id", x.requestID, "error", err)
			}
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
	})
}

func exchangeFrom(ctx context.Context) *exchange {
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

// finisher is a sink that completes the response after the last chunk of the
// answer.
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
	s.x.started = true
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

// abort ends a stream with an error event instead of the [DONE] marker.
func (s *streamSink) abort(err error) {
	d, _ := detailOf(err, s.x.requestID)
	data, encodeErr := json.Marshal(errorBody{Error: d})
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = s.x.writer.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
	_ = s.flusher.Flush()
}

// bufferedSink collects completion chunks into one JSON response.
type bufferedSink struct {
	x      *exchange
	model  string
	chat   bool
	head   bamboorail.ResponseHead
	text   strings.Builder
	reason string
	tokens int
	usage  json.RawMessage
}

func (s *bufferedSink) Begin(h bamboorail.ResponseHead) error {
	s.head = h
	return nil
}

// Reset discards a partial answer.
func (s *bufferedSink) Reset() {
	s.text.Reset()
	s.reason, s.usage, s.tokens = "", nil, 0
}

func (s *bufferedSink) Write(chunk []byte) error {
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

type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *bufferedSink) finish() error {
	text := s.text.String()
	a := completionAnswer{ID: s.x.requestID, Object: "text_completion", Model: s.model, Usage: s.usage}
	choice := completionChoice{Text: &text, FinishReason: s.reason}
	if s.chat {
		a.Object = "chat.completion"
		choice = completionChoice{Message: &completionMessage{Role: "assistant", Content: text}, FinishReason: s.reason}
	}
	a.Choices = []completionChoice{choice}
	s.x.setHead(s.head)
	s.x.writer.Header().Set("Content-Type", "application/json")
	s.x.started = true
	return json.NewEncoder(s.x.writer).Encode(a)
}

// passthroughSink forwards the answer of an application.
type passthroughSink struct {
	x *exchange
	// opaque is set if the request id does not make the call idempotent.
	opaque bool
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (s *passthroughSink) Begin(h bamboorail.ResponseHead) error {
	s.x.started = true
	header := s.x.writer.Header()
	for k, v := range h.Header {
		header[k] = v
	}
	for _, k := range hopByHopHeaders {
		header.Del(k)
	}
	if eventstream.IsEventStream(header.Get("Content-Type")) {
		// The length ends a stream that breaks off at it as if it were complete.
		header.Del("Content-Length")
	}
	s.x.setHead(h)
	if s.opaque {
		header.Set(repeatHeader, repeatNewRequest)
	}
	s.x.writer.WriteHeader(h.Status)
	return nil
}

func (s *passthroughSink) Write(chunk []byte) error {
	_, err := s.x.writer.Write(chunk)
	return err
}

func (s *passthroughSink) finish() error { return nil }
