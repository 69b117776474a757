package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// StatusHandler serves the status dialect, whose state document can lag behind
// the engine. It ignores fencing numbers and cannot resume a stream.
func (e *Engine) StatusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("PUT /adapters/{alias}", e.putAlias)
	mux.HandleFunc("DELETE /adapters/{alias}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, e.Unload(r.PathValue("alias"), 0))
	})
	mux.HandleFunc("PUT /role", e.putRole)
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("DELETE /generate/{id}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, e.Cancel(r.PathValue("id")))
	})
	mux.HandleFunc("GET /violations", e.serveViolations)
	mux.HandleFunc("GET /starts", e.serveStarts)
	return mux
}

type stateDocument struct {
	Boot     string       `json:"boot"`
	Base     string       `json:"base"`
	Capacity int          `json:"capacity"`
	Batch    int          `json:"batch"`
	Order    string       `json:"order"`
	Leaving  bool         `json:"leaving"`
	Waiting  int          `json:"waiting"`
	Adapters []aliasState `json:"adapters"`
}

type aliasState struct {
	Alias   string `json:"alias"`
	Weights string `json:"weights"`
	Active  int    `json:"active"`
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	s := e.LaggingState()
	doc := stateDocument{
		Boot: s.Incarnation, Base: s.BaseModel, Capacity: e.options.Slots, Batch: e.options.MaxBatch,
		Order: s.LastOrder, Leaving: s.Leaving, Waiting: s.Queued,
	}
	for _, h := range s.Handles {
		doc.Adapters = append(doc.Adapters, aliasState{Alias: string(h.Handle), Weights: h.Model.String(), Active: h.Running})
	}
	_ = json.NewEncoder(w).Encode(doc)
}

func (e *Engine) putAlias(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Weights string `json:"weights"`
	}
	err := json.NewDecoder(r.Body).Decode(&order)
	if err == nil {
		err = e.Load(r.Context(), r.PathValue("alias"), order.Weights, 0)
	}
	respond(w, err)
}

func (e *Engine) putRole(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Order string `json:"order"`
	}
	err := json.NewDecoder(r.Body).Decode(&order)
	if err == nil {
		err = e.Barrier(order.Order, 0)
	}
	respond(w, err)
}

type generateRequest struct {
	RequestID string `json:"request-id"`
	Alias     string `json:"alias"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`
}

type generateLine struct {
	RequestID string `json:"request-id"`
	Alias     string `json:"alias"`
	Index     int    `json:"index"`
	Text      string `json:"text"`
	Done      bool   `json:"done"`
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g generateRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if g.MaxTokens == 0 {
		g.MaxTokens = defaultTokens
	}
	if _, err := e.Start(g.RequestID, g.Alias, g.Prompt, g.MaxTokens); err != nil {
		respond(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("Run-Id", g.RequestID)
	w.Header().Set("Run-Batch", strconv.Itoa(e.options.MaxBatch))
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	err := e.Follow(r.Context(), g.RequestID, 0, func(i int, token string, last bool) error {
		line := generateLine{RequestID: g.RequestID, Alias: g.Alias, Index: i, Text: token, Done: last}
		if err := encoder.Encode(line); err != nil {
			return err
		}
		return flusher.Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
