package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"bamboorail.example/bamboorail"
)

// statusEngine implements the dialect that reports its state in a document, which
// may be out of date. Such engines ignore fencing numbers and cannot resume a
// stream.
type statusEngine struct {
	client
	runs client
}

var _ bamboorail.Engine = (*statusEngine)(nil)

type loadRequest struct {
	Weights string `json:"weights"`
}

type roleRequest struct {
	Order string `json:"order"`
}

// Load sends a load request and waits until the adapter is ready.
func (e *statusEngine) Load(ctx context.Context, o bamboorail.LoadOrder) error {
	return e.sendControl(ctx, "load-adapter", http.MethodPut, "/adapters/"+escapeHandle(o.Handle), o.FencingToken, loadRequest{Weights: o.Source})
}

func (e *statusEngine) Unload(ctx context.Context, o bamboorail.UnloadOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.sendControl(ctx, "unload-adapter", http.MethodDelete, "/adapters/"+escapeHandle(o.Handle), o.FencingToken, struct{}{})
}

// Barrier sends a role request that carries only an order id and a fencing
// number and leaves the loaded adapters unchanged.
func (e *statusEngine) Barrier(ctx context.Context, id string, fencing uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.sendControl(ctx, "send-barrier", http.MethodPut, "/role", fencing, roleRequest{Order: id})
}

// escapeHandle escapes a handle for use as a single path segment.
func escapeHandle(h bamboorail.Handle) string { return strings.ReplaceAll(string(h), "#", "%23") }

type stateDocument struct {
	Boot     string       `json:"boot"`
	Base     string       `json:"base"`
	Capacity int          `json:"capacity"`
	Batch    int          `json:"batch"`
	Order    string       `json:"order"`
	Leaving  bool         `json:"leaving"`
	Adapters []aliasState `json:"adapters"`
}

type aliasState struct {
	Alias   string `json:"alias"`
	Weights string `json:"weights"`
	Active  int    `json:"active"`
}

// Report reads the state document.
func (e *statusEngine) Report(ctx context.Context) (bamboorail.EngineReport, error) {
	const op = "query-state"
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := e.send(ctx, op, http.MethodGet, "/state", nil, nil)
	if err != nil {
		return bamboorail.EngineReport{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return bamboorail.EngineReport{}, statusError(op, resp)
	}
	var d stateDocument
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&d); err != nil {
		return bamboorail.EngineReport{}, notRun(op, bamboorail.KindMismatch, err)
	}
	return d.report(), nil
}

func (d stateDocument) report() bamboorail.EngineReport {
	r := bamboorail.EngineReport{
		Incarnation: d.Boot, BaseModel: d.Base, Slots: d.Capacity, MaxBatch: d.Batch, Leaving: d.Leaving, LastOrder: d.Order,
	}
	for _, a := range d.Adapters {
		ref, err := bamboorail.ParseModelRef(a.Weights)
		if err != nil {
			continue
		}
		r.Handles = append(r.Handles, bamboorail.HandleState{Handle: bamboorail.Handle(a.Alias), Model: ref, Running: a.Active})
	}
	return r
}

type generateRequest struct {
	RequestID string `json:"request-id"`
	Alias     string `json:"alias"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens,omitempty"`
}

type generateLine struct {
	RequestID string `json:"request-id"`
	Alias     string `json:"alias"`
	Index     int    `json:"index"`
	Text      string `json:"text"`
	Done      bool   `json:"done"`
}

// Run sends a generate request and forwards its lines as completion chunks.
func (e *statusEngine) Run(ctx context.Context, r bamboorail.EngineRequest, s bamboorail.Sink) error {
	const op = "run-generate"
	message, err := generateBody(r)
	if err != nil {
		return notRun(op, bamboorail.KindBadRequest, err)
	}
	resp, err := e.runs.send(ctx, op, http.MethodPost, "/generate", nil, message)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(op, resp)
	}
	if err := s.Begin(bamboorail.ResponseHead{Status: http.StatusOK}); err != nil {
		return interrupted(ctx, op, err)
	}
	err = forwardLines(ctx, op, r, resp.Body, s)
	if err != nil {
		e.cancel(ctx, "/generate/"+r.Request.RequestID)
	}
	return err
}

func generateBody(r bamboorail.EngineRequest) ([]byte, error) {
	var c struct {
		Prompt    string        `json:"prompt"`
		MaxTokens int           `json:"max_tokens"`
		Messages  []chatMessage `json:"messages"`
	}
	if err := json.Unmarshal(r.Request.Body, &c); err != nil {
		return nil, err
	}
	if r.Request.Chat {
		c.Prompt = chatPrompt(c.Messages)
	}
	return json.Marshal(generateRequest{
		RequestID: r.Request.RequestID, Alias: string(r.Handle), Prompt: c.Prompt, MaxTokens: c.MaxTokens,
	})
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatPrompt converts chat messages to a prompt, because the dialect has no
// message lists.
func chatPrompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return b.String()
}

func forwardLines(ctx context.Context, op string, r bamboorail.EngineRequest, body io.Reader, s bamboorail.Sink) error {
	lines := bufio.NewReaderSize(body, streamBufferBytes)
	for next := 0; ; next++ {
		line, err := readLine(lines)
		if err != nil {
			return interrupted(ctx, op, fmt.Errorf("%w after chunk %d: %w", errTruncated, next-1, err))
		}
		var l generateLine
		if err := json.Unmarshal(line, &l); err != nil {
			return interrupted(ctx, op, err)
		}
		if err := l.check(op, r, next); err != nil {
			return err
		}
		if err := s.Write(l.chunk(r.Request)); err != nil {
			return interrupted(ctx, op, err)
		}
		if l.Done {
			return nil
		}
	}
}

func (l generateLine) check(op string, r bamboorail.EngineRequest, next int) error {
	switch {
	case l.RequestID != r.Request.RequestID:
		return mismatch(op, "request id", l.RequestID, r.Request.RequestID)
	case l.Alias != string(r.Handle):
		return mismatch(op, "alias", l.Alias, string(r.Handle))
	case l.Index != next:
		return mayHaveRun(op, bamboorail.KindTruncated, fmt.Errorf("line %d follows line %d", l.Index, next-1))
	}
	return nil
}

type completionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int              `json:"index"`
	Text         string           `json:"text,omitempty"`
	Delta        *completionDelta `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type completionDelta struct {
	Content string `json:"content"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// chunk encodes a line as a completion chunk.
func (l generateLine) chunk(w *bamboorail.Request) []byte {
	c := completionChunk{ID: l.RequestID, Object: "text_completion", Model: w.Model.String()}
	choice := completionChoice{Text: l.Text}
	if w.Chat {
		c.Object = "chat.completion.chunk"
		choice = completionChoice{Delta: &completionDelta{Content: l.Text}}
	}
	if l.Done {
		reason := "length"
		choice.FinishReason = &reason
		c.Usage = &completionUsage{CompletionTokens: l.Index + 1}
	}
	c.Choices = []completionChoice{choice}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: all field types can be encoded
	}
	return data
}
