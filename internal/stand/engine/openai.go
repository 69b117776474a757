package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	fencingHeader   = "Fencing-Number"
	requestIDHeader = "X-Request-Id"
	defaultTokens   = 16
)

// statusOf maps engine errors to HTTP status codes.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errUnknownHandle), errors.Is(err, errUnknownRun):
		return http.StatusNotFound
	case errors.Is(err, errStaleFencing):
		return http.StatusPreconditionFailed
	case errors.Is(err, errNoSlot):
		return http.StatusInsufficientStorage
	case errors.Is(err, errColdStart):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func respond(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
	}
}

// OpenAIHandler serves the OpenAI-compatible dialect.
func (e *Engine) OpenAIHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{engine: e})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("GET /v1/runs/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/runs/{id}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, e.Cancel(r.PathValue("id")))
	})
	mux.HandleFunc("POST /v1/load_lora_adapter", e.serveLoad)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.serveUnload)
	mux.HandleFunc("POST /v1/role", e.serveRole)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /violations", e.serveViolations)
	mux.HandleFunc("GET /starts", e.serveStarts)
	return mux
}

func (e *Engine) serveViolations(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Violations())
}

func (e *Engine) serveStarts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Starts())
}

type orderRequest struct {
	Name    string `json:"lora_name"`
	Path    string `json:"lora_path"`
	OrderID string `json:"order_id"`
}

func decodeOrder(r *http.Request) (orderRequest, uint64, error) {
	var o orderRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return o, 0, err
	}
	fencing, err := strconv.ParseUint(r.Header.Get(fencingHeader), 10, 64)
	return o, fencing, err
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	o, fencing, err := decodeOrder(r)
	if err == nil {
		err = e.Load(r.Context(), o.Name, o.Path, fencing)
	}
	respond(w, err)
}

func (e *Engine) serveUnload(w http.ResponseWriter, r *http.Request) {
	o, fencing, err := decodeOrder(r)
	if err == nil {
		err = e.Unload(o.Name, fencing)
	}
	respond(w, err)
}

func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	o, fencing, err := decodeOrder(r)
	if err == nil {
		err = e.Barrier(o.OrderID, fencing)
	}
	respond(w, err)
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (c completionRequest) text() string {
	if c.Prompt != "" {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultTokens
	}
	id := r.Header.Get(requestIDHeader)
	if _, err := e.Start(id, c.Model, c.text(), c.MaxTokens); err != nil {
		respond(w, err)
		return
	}
	e.stream(w, r, id, 0, chunkFormat{id: id, model: c.Model, chat: chat})
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		http.Error(w, "Last-Event-Id must be an integer", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	found, ok := e.runs[id]
	e.mu.Unlock()
	if !ok {
		respond(w, errUnknownRun)
		return
	}
	chat := r.URL.Query().Get("chat") == "true"
	e.stream(w, r, id, last+1, chunkFormat{id: id, model: found.handle, chat: chat})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, from int, f chunkFormat) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(requestIDHeader, id)
	flusher := http.NewResponseController(w)
	err := e.Follow(r.Context(), id, from, func(i int, token string, last bool) error {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, f.chunk(i, token, last)); err != nil {
			return err
		}
		return flusher.Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

type chunkFormat struct {
	id    string
	model string
	chat  bool
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (f chunkFormat) chunk(i int, token string, last bool) []byte {
	c := chunk{ID: f.id, Object: "text_completion", Model: f.model, Choices: []choice{{Text: token}}}
	if f.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0] = choice{Delta: &delta{Content: token}}
		if i == 0 {
			c.Choices[0].Delta.Role = "assistant"
		}
	}
	if last {
		reason := "length"
		c.Choices[0].FinishReason = &reason
		c.Usage = &usage{CompletionTokens: i + 1, TotalTokens: i + 1}
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // these types always marshal
	}
	return data
}

// collector exports the engine state as Prometheus metrics.
type collector struct{ engine *Engine }

var (
	slotsDesc   = prometheus.NewDesc("engine_adapter_slots", "Adapter slots.", nil, nil)
	batchDesc   = prometheus.NewDesc("engine_max_batch", "Largest batch.", nil, nil)
	leavingDesc = prometheus.NewDesc("engine_leaving", "Set while the engine leaves.", nil, nil)
	infoDesc    = prometheus.NewDesc("engine_info", "Incarnation, base model and last order.", []string{"incarnation", "base_model", "last_order"}, nil)
	runningDesc = prometheus.NewDesc("engine_requests_running", "Running requests by handle.", []string{"lora_name", "lora_source"}, nil)
	stepsDesc   = prometheus.NewDesc("engine_steps_total", "Steps with a non-empty batch.", nil, nil)
	tokensDesc  = prometheus.NewDesc("engine_tokens_total", "Generated tokens.", nil, nil)
)

func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{slotsDesc, batchDesc, leavingDesc, infoDesc, runningDesc, stepsDesc, tokensDesc} {
		ch <- d
	}
}

func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := c.engine.State()
	c.engine.mu.Lock()
	steps, tokens := c.engine.steps, c.engine.stepTokens
	c.engine.mu.Unlock()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(slotsDesc, float64(c.engine.options.Slots))
	gauge(batchDesc, float64(c.engine.options.MaxBatch))
	if s.Leaving {
		gauge(leavingDesc, 1)
	}
	gauge(infoDesc, 1, s.Incarnation, s.BaseModel, s.LastOrder)
	for _, h := range s.Handles {
		gauge(runningDesc, float64(h.Running), string(h.Handle), h.Model.String())
	}
	ch <- prometheus.MustNewConstMetric(stepsDesc, prometheus.CounterValue, float64(steps))
	ch <- prometheus.MustNewConstMetric(tokensDesc, prometheus.CounterValue, float64(tokens))
}
