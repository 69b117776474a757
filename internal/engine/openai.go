package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/httpport"
)

// openAIEngine implements the OpenAI-compatible dialect: load and unload requests
// with fencing numbers, state in the Prometheus text format, resumable streams.
type openAIEngine struct {
	client
	runs client
}

var _ bamboorail.Engine = (*openAIEngine)(nil)

// loraRequest is the body of load, unload and role requests.
type loraRequest struct {
	Name    string `json:"lora_name,omitempty"`
	Path    string `json:"lora_path,omitempty"`
	OrderID string `json:"order_id,omitempty"`
}

// Load sends a load request and waits until the adapter is ready.
func (e *openAIEngine) Load(ctx context.Context, o bamboorail.LoadOrder) error {
	return e.sendControl(ctx, "load-adapter", http.MethodPost, "/v1/load_lora_adapter", o.FencingToken,
		loraRequest{Name: string(o.Handle), Path: o.Source})
}

func (e *openAIEngine) Unload(ctx context.Context, o bamboorail.UnloadOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.sendControl(ctx, "unload-adapter", http.MethodPost, "/v1/unload_lora_adapter", o.FencingToken, loraRequest{Name: string(o.Handle)})
}

// Barrier sends a role request that carries only an order id and a fencing
// number and leaves the loaded adapters unchanged.
func (e *openAIEngine) Barrier(ctx context.Context, id string, fencing uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.sendControl(ctx, "send-barrier", http.MethodPost, "/v1/role", fencing, loraRequest{OrderID: id})
}

// Report reads the state of the engine from its metrics.
func (e *openAIEngine) Report(ctx context.Context) (bamboorail.EngineReport, error) {
	const op = "query-metrics"
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	resp, err := e.send(ctx, op, http.MethodGet, "/metrics", nil, nil)
	if err != nil {
		return bamboorail.EngineReport{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return bamboorail.EngineReport{}, statusError(op, resp)
	}
	text, err := readWhole(resp)
	if err != nil {
		return bamboorail.EngineReport{}, notRun(op, bamboorail.KindMismatch, err)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return bamboorail.EngineReport{}, notRun(op, bamboorail.KindMismatch, err)
	}
	return reportOf(families), nil
}

var (
	errNoFraming     = errors.New("the report has neither a length nor chunks")
	errReportTooLong = errors.New("the report exceeds 1 MiB")
)

// readWhole reads a report whose format does not mark its end: a part of it would
// be valid too, and what it does not list would count as unloaded.
func readWhole(resp *http.Response) ([]byte, error) {
	if httpport.FramingOf(resp) == httpport.FramingClose {
		return nil, errNoFraming
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	if err == nil && len(text) > maxReportBytes {
		err = errReportTooLong
	}
	return text, err
}

func reportOf(families map[string]*dto.MetricFamily) bamboorail.EngineReport {
	var r bamboorail.EngineReport
	for _, m := range families["engine_info"].GetMetric() {
		labels := labelsOf(m)
		r.Incarnation, r.BaseModel, r.LastOrder = labels["incarnation"], labels["base_model"], labels["last_order"]
	}
	for _, m := range families["engine_adapter_slots"].GetMetric() {
		r.Slots = int(m.GetGauge().GetValue())
	}
	for _, m := range families["engine_max_batch"].GetMetric() {
		r.MaxBatch = int(m.GetGauge().GetValue())
	}
	for _, m := range families["engine_leaving"].GetMetric() {
		r.Leaving = m.GetGauge().GetValue() > 0
	}
	for _, m := range families["engine_requests_running"].GetMetric() {
		labels := labelsOf(m)
		ref, err := bamboorail.ParseModelRef(labels["lora_source"])
		if err != nil {
			continue
		}
		r.Handles = append(r.Handles, bamboorail.HandleState{
			Handle: bamboorail.Handle(labels["lora_name"]), Model: ref, Running: int(m.GetGauge().GetValue()),
		})
	}
	return r
}

func labelsOf(m *dto.Metric) map[string]string {
	labels := make(map[string]string, len(m.GetLabel()))
	for _, l := range m.GetLabel() {
		labels[l.GetName()] = l.GetValue()
	}
	return labels
}

// resumeAttempts limits consecutive attempts to resume a truncated stream that
// yield no new chunk.
const resumeAttempts = 3

// Run sends a completion request and forwards its chunks. A truncated stream
// is resumed after the last forwarded chunk.
func (e *openAIEngine) Run(ctx context.Context, r bamboorail.EngineRequest, s bamboorail.Sink) error {
	const op = "run-completion"
	body, err := engineBody(r)
	if err != nil {
		return notRun(op, bamboorail.KindBadRequest, err)
	}
	path := "/v1/completions"
	if r.Request.Chat {
		path = "/v1/chat/completions"
	}
	resp, err := e.runs.send(ctx, op, http.MethodPost, path, e.header(r), body)
	if err != nil {
		return err
	}
	f := &streamForwarder{run: r, sink: s, last: -1, model: quoted(r.Request.Model.String())}
	err = e.forwardStream(ctx, op, resp, f)
	for attempt := 0; errors.Is(err, errTruncated) && attempt < resumeAttempts && ctx.Err() == nil; attempt++ {
		before := f.last
		if resp, err = e.resume(ctx, r, f.last); err == nil {
			err = e.forwardStream(ctx, op, resp, f)
		}
		if f.last > before {
			attempt = -1
		}
	}
	if err == nil {
		return nil
	}
	if ctx.Err() != nil || !errors.Is(err, errTruncated) {
		e.cancel(ctx, "/v1/runs/"+r.Request.RequestID)
	}
	if errors.Is(err, errTruncated) {
		return interrupted(ctx, op, err)
	}
	return err
}

func (e *openAIEngine) header(r bamboorail.EngineRequest) http.Header {
	return http.Header{requestIDHeader: {r.Request.RequestID}}
}

func (e *openAIEngine) resume(ctx context.Context, r bamboorail.EngineRequest, last int) (*http.Response, error) {
	header := e.header(r)
	header.Set("Last-Event-Id", strconv.Itoa(last))
	path := "/v1/runs/" + r.Request.RequestID + "?chat=" + strconv.FormatBool(r.Request.Chat)
	resp, err := e.send(ctx, "resume-run", http.MethodGet, path, header, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, mayHaveRun("resume-run", bamboorail.KindTruncated, fmt.Errorf("resume failed with status %s", resp.Status))
	}
	return resp, nil
}

// engineBody returns the caller's body with the model replaced by the handle and
// streaming enabled.
func engineBody(r bamboorail.EngineRequest) ([]byte, error) {
	body, err := sjson.SetBytes(r.Request.Body, "model", string(r.Handle))
	if err != nil {
		return nil, err
	}
	return sjson.SetBytes(body, "stream", true)
}

// errTruncated reports a stream that ended before its end marker.
var errTruncated = errors.New("stream truncated")

// streamForwarder forwards the chunks of one run, including those received after
// the stream was resumed.
type streamForwarder struct {
	run   bamboorail.EngineRequest
	sink  bamboorail.Sink
	begun bool
	// last is the index of the last forwarded chunk, or -1 if there is none.
	last   int
	model  []byte
	buffer []byte
}

func (e *openAIEngine) forwardStream(ctx context.Context, op string, resp *http.Response, f *streamForwarder) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(op, resp)
	}
	if got := resp.Header.Get(requestIDHeader); got != f.run.Request.RequestID {
		return mismatch(op, "request id", got, f.run.Request.RequestID)
	}
	if !f.begun {
		if err := f.sink.Begin(bamboorail.ResponseHead{Status: http.StatusOK}); err != nil {
			return interrupted(ctx, op, err)
		}
		f.begun = true
	}
	return f.readEvents(ctx, op, resp.Body)
}

const (
	streamBufferBytes = 2 << 10
	maxLineBytes      = 1 << 20
)

// readEvents forwards events until the end marker. It returns errTruncated if the
// stream ends without one.
func (f *streamForwarder) readEvents(ctx context.Context, op string, body io.Reader) error {
	lines := bufio.NewReaderSize(body, streamBufferBytes)
	index := -1
	for {
		line, err := readLine(lines)
		if err != nil {
			return fmt.Errorf("%w after chunk %d: %w", errTruncated, f.last, err)
		}
		switch {
		case len(line) == 0:
			index = -1
		case bytes.HasPrefix(line, []byte("id: ")):
			if index, err = strconv.Atoi(string(line[len("id: "):])); err != nil {
				return fmt.Errorf("%w: invalid event id: %w", errTruncated, err)
			}
		case bytes.Equal(line, []byte("data: [DONE]")):
			return nil
		case bytes.HasPrefix(line, []byte("data: ")):
			if index < 0 {
				return fmt.Errorf("%w: an event without an id follows chunk %d", errTruncated, f.last)
			}
			if err := f.forwardChunk(ctx, op, index, line[len("data: "):]); err != nil {
				return err
			}
		}
	}
}

// readLine returns the next line without its line terminator. The result is
// valid until the next call.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte{}, line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxLineBytes {
			line, err = r.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// forwardChunk checks that a chunk belongs to this run and writes it with the
// model name that the caller used. Chunks that were already forwarded are
// dropped.
func (f *streamForwarder) forwardChunk(ctx context.Context, op string, index int, data []byte) error {
	if index <= f.last {
		return nil
	}
	if index > f.last+1 {
		return fmt.Errorf("%w: chunk %d follows chunk %d", errTruncated, index, f.last)
	}
	id := gjson.GetBytes(data, "id")
	if id.Str != f.run.Request.RequestID {
		return mismatch(op, "request id", id.Str, f.run.Request.RequestID)
	}
	name := gjson.GetBytes(data, "model")
	if name.Str != string(f.run.Handle) || name.Index == 0 {
		return mismatch(op, "model", name.Str, string(f.run.Handle))
	}
	f.buffer = append(f.buffer[:0], data[:name.Index]...)
	f.buffer = append(f.buffer, f.model...)
	f.buffer = append(f.buffer, data[name.Index+len(name.Raw):]...)
	if err := f.sink.Write(f.buffer); err != nil {
		return interrupted(ctx, op, err)
	}
	f.last = index
	return nil
}

func quoted(s string) []byte { return strconv.AppendQuote(nil, s) }
