package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/requestid"
	"bamboorail.example/bamboorail/internal/route"
	"bamboorail.example/bamboorail/pkg/record"
)

const (
	// DeadlineHeader holds the time that the caller waits, as a duration.
	DeadlineHeader = "Request-Deadline"

	// deliveryTime is left after the deadline to deliver an answer that is ready.
	deliveryTime = 5 * time.Second

	defaultDeadline = time.Minute
	maxDeadline     = 10 * time.Minute
	maxTokensLimit  = 1 << 15
	// defaultTokens is the assumed cost of a request without max_tokens.
	defaultTokens = 128
	// bytesPerToken and prefillShare turn the length of a prompt into tokens
	// of cost: a prompt token costs a fraction of a generated one.
	bytesPerToken = 4
	prefillShare  = 8

	// batchPriority is the route priority from which requests only fill slots
	// that interactive ones leave free.
	batchPriority = 5
	// mantissaBits is the precision of a float64; a hash is cut down to it.
	mantissaBits  = 53
	mantissaShift = 64 - mantissaBits
)

// identify returns the caller whose token the request carries.
func (s *Server) identify(r *http.Request) (record.Caller, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return record.Caller{}, rejected(bamboorail.KindUnauthenticated, errNoToken)
	}
	c, ok := s.config.View().CallerByToken(token)
	if !ok {
		return record.Caller{}, rejected(bamboorail.KindUnauthenticated, errNoToken)
	}
	return c, nil
}

// begin reads what all calls share and starts the work.
func (s *Server) begin(ctx context.Context, r *http.Request) (*bamboorail.Request, *exchange, record.Caller, error) {
	x := exchangeOf(ctx)
	now := time.Now()
	w := &bamboorail.Request{}
	if err := s.setRequestID(r, w); err != nil {
		return nil, x, record.Caller{}, err
	}
	x.requestID = w.RequestID
	c, err := s.identify(r)
	if err != nil {
		return nil, x, c, err
	}
	d, err := deadline(r)
	if err != nil {
		return nil, x, c, err
	}
	w.Caller, w.Weight, w.Priority = c.Name(), c.Weight(), c.Priority()
	w.Deadline = now.Add(d)
	if err := httpport.Bound(x.writer, r, w.Deadline, w.Deadline.Add(deliveryTime)); err != nil {
		return nil, x, c, rejected(bamboorail.KindUnavailable, err)
	}
	w.Body, err = s.readBody(r)
	return w, x, c, err
}

// setRequestID takes over the caller's request id or makes one. Only an id of
// the form zone.uuid makes a call idempotent; any other one traces it.
func (s *Server) setRequestID(r *http.Request, w *bamboorail.Request) error {
	given := r.Header.Get(requestid.Header)
	if id, err := requestid.Parse(given); err == nil {
		w.RequestID, w.IssuedAt, w.Zone = id.String(), id.Issued(), id.Zone()
		return nil
	}
	if given != "" && !requestid.Opaque(given) {
		return rejected(bamboorail.KindBadRequest, fmt.Errorf("header %s is not a valid id", requestid.Header))
	}
	if given != "" {
		w.RequestID = given
		return nil
	}
	id, err := requestid.New(s.config.Zone)
	if err != nil {
		return rejected(bamboorail.KindInternal, err)
	}
	w.RequestID = id.String()
	return nil
}

func deadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return defaultDeadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		return 0, rejected(bamboorail.KindBadDeadline,
			fmt.Errorf("header %s: %q is not a duration between 0 and %s, such as 1500ms", DeadlineHeader, text, maxDeadline))
	}
	return d, nil
}

func (s *Server) readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, s.config.MaxBody+1))
	if err != nil {
		return nil, rejected(bamboorail.KindBadRequest, fmt.Errorf("read body: %w", err))
	}
	if int64(len(body)) > s.config.MaxBody {
		return nil, rejected(bamboorail.KindTooLarge, fmt.Errorf("body exceeds %d bytes", s.config.MaxBody))
	}
	return body, nil
}

// completionBody is the part of a completion request that routing needs.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    *string         `json:"prompt"`
	Messages  []messageBody   `json:"messages"`
	MaxTokens *int            `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	N         *int            `json:"n"`
	Ignored   json.RawMessage `json:"-"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (b completionBody) check(chat bool) error {
	switch {
	case b.N != nil && *b.N != 1:
		return fmt.Errorf("field %q must be 1", "n")
	case b.MaxTokens != nil && (*b.MaxTokens < 1 || *b.MaxTokens > maxTokensLimit):
		return fmt.Errorf("field %q must be between 1 and %d", "max_tokens", maxTokensLimit)
	case chat && len(b.Messages) == 0:
		return fmt.Errorf("field %q must hold at least one message", "messages")
	case !chat && b.Prompt == nil:
		return fmt.Errorf("field %q must be a string", "prompt")
	}
	return nil
}

func (b completionBody) cost(bodyBytes int) int {
	tokens := defaultTokens
	if b.MaxTokens != nil {
		tokens = *b.MaxTokens
	}
	return tokens + bodyBytes/(bytesPerToken*prefillShare)
}

// completionRequest is the decoded form of both completion calls.
type completionRequest struct {
	work *bamboorail.Request
	sink finisher
}

func (s *Server) decodeCompletion(chat bool) func(context.Context, *http.Request) (any, error) {
	return func(ctx context.Context, r *http.Request) (any, error) {
		w, x, c, err := s.begin(ctx, r)
		if err != nil {
			return nil, err
		}
		var b completionBody
		if err := json.Unmarshal(w.Body, &b); err != nil {
			return nil, rejected(bamboorail.KindBadRequest, fmt.Errorf("body is not a JSON request: %w", err))
		}
		if err := b.check(chat); err != nil {
			return nil, rejected(bamboorail.KindBadRequest, err)
		}
		if w.Model, err = s.model(b.Model, c); err != nil {
			return nil, err
		}
		w.Chat, w.Tokens = chat, b.cost(len(w.Body))
		// A generation may run again: it changes nothing but its answer. Its
		// id therefore binds it to no zone.
		w.Repeatable, w.Zone, w.IssuedAt = true, "", time.Time{}
		if b.Stream {
			return completionRequest{work: w, sink: newStreamSink(x)}, nil
		}
		return completionRequest{work: w, sink: &wholeSink{x: x, model: w.Model.String(), chat: chat}}, nil
	}
}

// model resolves a model name. A caller learns nothing about adapters that it
// may not use.
func (s *Server) model(name string, c record.Caller) (bamboorail.ModelRef, error) {
	m, err := bamboorail.ParseModelRef(name)
	if err != nil {
		return m, rejected(bamboorail.KindBadRequest, err)
	}
	if !c.MayUseAdapter(m.Adapter()) {
		return m, rejected(bamboorail.KindForbidden, fmt.Errorf("caller %q may not use adapter %q", c.Name(), m.Adapter()))
	}
	a, ok := s.config.View().Adapter(m.Adapter())
	if !ok {
		return m, rejected(bamboorail.KindUnknownAdapter, fmt.Errorf("adapter %q is not declared", m.Adapter()))
	}
	if _, ok := a.Version(m.Version()); !ok {
		return m, rejected(bamboorail.KindUnknownVersion, fmt.Errorf("adapter %q has no active version %q", m.Adapter(), m.Version()))
	}
	return m, nil
}

// passedHeaders of a caller reach an application.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "User-Agent"}

func (s *Server) decodeServiceCall(ctx context.Context, r *http.Request) (any, error) {
	w, x, c, err := s.begin(ctx, r)
	if err != nil {
		return nil, err
	}
	path := url.URL{Path: "/" + r.PathValue("path"), RawQuery: r.URL.RawQuery}
	targets, err := s.setServiceCall(w, c, r, r.PathValue("service"), path.RequestURI())
	if err != nil {
		return nil, err
	}
	w.Repeatable = targets[0].RepeatableMethod(r.Method)
	if w.Repeatable {
		w.Zone, w.IssuedAt = "", time.Time{}
	}
	if err := s.checkHomeZone(w, targets); err != nil {
		return nil, err
	}
	return completionRequest{work: w, sink: &rawSink{x: x, opaque: w.IssuedAt.IsZero() && !w.Repeatable}}, nil
}

// setServiceCall makes the work a call of a service and returns the targets of
// the service.
func (s *Server) setServiceCall(w *bamboorail.Request, c record.Caller, r *http.Request, service, path string) ([]record.Target, error) {
	if !c.MayUseService(service) {
		return nil, rejected(bamboorail.KindForbidden, fmt.Errorf("caller %q may not use service %q", c.Name(), service))
	}
	targets := s.serviceTargets(service)
	if len(targets) == 0 {
		return nil, rejected(bamboorail.KindUnknownService, fmt.Errorf("service %q is not declared", service))
	}
	w.Service, w.Method, w.Path = service, r.Method, path
	w.Header = http.Header{}
	for _, k := range passedHeaders {
		if v := r.Header.Values(k); len(v) > 0 {
			w.Header[k] = v
		}
	}
	w.Tokens = 1
	return targets, nil
}

// decodeRoutedCall reads a call whose route is found by host and path. The id
// of such a call binds it to no zone and makes it no repeat of another: keepers
// remember ids by service, and the service of a route can change.
func (s *Server) decodeRoutedCall(ctx context.Context, r *http.Request) (any, error) {
	w, x, c, err := s.begin(ctx, r)
	if err != nil {
		return nil, err
	}
	spec, ok := s.config.View().Route(r.Host, r.URL.Path)
	if !ok {
		return nil, rejected(bamboorail.KindNotFound, fmt.Errorf("no route for host %q and path %q", r.Host, r.URL.Path))
	}
	if _, err := s.setServiceCall(w, c, r, route.PickService(spec, share(w.RequestID)), r.URL.RequestURI()); err != nil {
		return nil, err
	}
	if last := time.Now().Add(spec.Timeout); w.Deadline.After(last) {
		w.Deadline = last
	}
	if spec.Priority >= batchPriority {
		w.Priority = bamboorail.PriorityBatch
	}
	w.Repeatable, w.MaxAttempts = spec.Repeat == bamboorail.RepeatAlways, spec.MaxAttempts
	w.Zone, w.IssuedAt = "", time.Time{}
	return completionRequest{work: w, sink: &rawSink{x: x, opaque: !w.Repeatable}}, nil
}

// share maps a request id to [0, 1), so that repeats go to the same service.
func share(id string) float64 {
	return float64(xxhash.Sum64String(id)>>mantissaShift) / (1 << mantissaBits)
}

func (s *Server) serviceTargets(service string) []record.Target {
	var targets []record.Target
	for _, t := range s.config.View().Targets() {
		if t.Role() == record.RoleApplication && t.Service() == service {
			targets = append(targets, t)
		}
	}
	return targets
}

func (s *Server) checkHomeZone(w *bamboorail.Request, targets []record.Target) error {
	if w.Zone == "" {
		return nil
	}
	for _, t := range targets {
		if t.Zone() == w.Zone {
			return nil
		}
	}
	return rejected(bamboorail.KindBadRequest, fmt.Errorf("service %q has no target in zone %q of the request id", w.Service, w.Zone))
}

var errNotReady = errors.New("the instance has no configuration yet")
