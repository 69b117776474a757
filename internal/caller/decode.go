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
	// DeadlineHeader is the request header with the time that the caller waits,
	// as a duration.
	DeadlineHeader = "Request-Deadline"

	// deliveryTime is the time after the deadline to deliver an answer that is
	// ready.
	deliveryTime = 5 * time.Second

	defaultDeadline = time.Minute
	maxDeadline     = 10 * time.Minute
	maxTokensLimit  = 1 << 15
	// defaultTokens is the number of generated tokens assumed for a request
	// without max_tokens.
	defaultTokens = 128
	// bytesPerToken and prefillDiscount convert the length of a prompt into
	// tokens of cost: a prompt token costs a fraction of a generated one.
	bytesPerToken   = 4
	prefillDiscount = 8

	// batchPriority is the route priority from which requests only use slots
	// that interactive requests leave free.
	batchPriority = 5
	// mantissaBits is the precision of a float64, to which a hash is truncated.
	mantissaBits  = 53
	mantissaShift = 64 - mantissaBits
)

// authenticate returns the caller that the bearer token of the request belongs
// to.
func (s *Server) authenticate(r *http.Request) (record.Caller, error) {
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

// newRequest authenticates the caller and decodes the parts that all requests
// share.
func (s *Server) newRequest(ctx context.Context, r *http.Request) (*bamboorail.Request, *exchange, record.Caller, error) {
	x := exchangeFrom(ctx)
	now := time.Now()
	req := &bamboorail.Request{}
	if err := s.setRequestID(r, req); err != nil {
		return nil, x, record.Caller{}, err
	}
	x.requestID = req.RequestID
	c, err := s.authenticate(r)
	if err != nil {
		return nil, x, c, err
	}
	d, err := deadline(r)
	if err != nil {
		return nil, x, c, err
	}
	req.Caller, req.Weight, req.Priority = c.Name(), c.Weight(), c.Priority()
	req.Deadline = now.Add(d)
	if err := httpport.SetDeadlines(x.writer, r, req.Deadline, req.Deadline.Add(deliveryTime)); err != nil {
		return nil, x, c, rejected(bamboorail.KindUnavailable, err)
	}
	req.Body, err = s.readBody(r)
	return req, x, c, err
}

// setRequestID uses the caller's request id or generates one. Only an id of the
// form zone.uuid makes a call idempotent; any other id only traces it.
func (s *Server) setRequestID(r *http.Request, req *bamboorail.Request) error {
	received := r.Header.Get(requestid.Header)
	if id, err := requestid.Parse(received); err == nil {
		req.RequestID, req.IssuedAt, req.Zone = id.String(), id.Issued(), id.Zone()
		return nil
	}
	if received != "" && !requestid.Opaque(received) {
		return rejected(bamboorail.KindBadRequest, fmt.Errorf("header %s is not a valid id", requestid.Header))
	}
	if received != "" {
		req.RequestID = received
		return nil
	}
	id, err := requestid.New(s.config.Zone)
	if err != nil {
		return rejected(bamboorail.KindInternal, err)
	}
	req.RequestID = id.String()
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

// completionBody holds the fields of a completion request that routing needs.
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
	return tokens + bodyBytes/(bytesPerToken*prefillDiscount)
}

// dispatchRequest is a decoded call that runs on a target.
type dispatchRequest struct {
	request *bamboorail.Request
	sink    finisher
}

func (s *Server) decodeCompletion(chat bool) func(context.Context, *http.Request) (any, error) {
	return func(ctx context.Context, r *http.Request) (any, error) {
		req, x, c, err := s.newRequest(ctx, r)
		if err != nil {
			return nil, err
		}
		var b completionBody
		if err := json.Unmarshal(req.Body, &b); err != nil {
			return nil, rejected(bamboorail.KindBadRequest, fmt.Errorf("body is not a JSON request: %w", err))
		}
		if err := b.check(chat); err != nil {
			return nil, rejected(bamboorail.KindBadRequest, err)
		}
		if req.Model, err = s.model(b.Model, c); err != nil {
			return nil, err
		}
		req.Chat, req.Tokens = chat, b.cost(len(req.Body))
		// A generation may be repeated, since its only effect is its answer.
		// Its id therefore does not bind it to a zone.
		req.Repeatable, req.Zone, req.IssuedAt = true, "", time.Time{}
		if b.Stream {
			return dispatchRequest{request: req, sink: newStreamSink(x)}, nil
		}
		return dispatchRequest{request: req, sink: &bufferedSink{x: x, model: req.Model.String(), chat: chat}}, nil
	}
}

// model resolves a model name. It reveals nothing about adapters that the
// caller may not use.
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

// forwardedHeaders lists the request headers that are forwarded to
// applications.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "User-Agent"}

func (s *Server) decodeServiceCall(ctx context.Context, r *http.Request) (any, error) {
	req, x, c, err := s.newRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	path := url.URL{Path: "/" + r.PathValue("path"), RawQuery: r.URL.RawQuery}
	targets, err := s.setServiceCall(req, c, r, r.PathValue("service"), path.RequestURI())
	if err != nil {
		return nil, err
	}
	req.Repeatable = targets[0].RepeatableMethod(r.Method)
	if req.Repeatable {
		req.Zone, req.IssuedAt = "", time.Time{}
	}
	if err := s.checkHomeZone(req, targets); err != nil {
		return nil, err
	}
	return dispatchRequest{request: req, sink: &passthroughSink{x: x, opaque: req.IssuedAt.IsZero() && !req.Repeatable}}, nil
}

// setServiceCall sets the fields of a call to a service and returns the targets
// of the service.
func (s *Server) setServiceCall(req *bamboorail.Request, c record.Caller, r *http.Request, service, path string) ([]record.Target, error) {
	if !c.MayUseService(service) {
		return nil, rejected(bamboorail.KindForbidden, fmt.Errorf("caller %q may not use service %q", c.Name(), service))
	}
	targets := s.serviceTargets(service)
	if len(targets) == 0 {
		return nil, rejected(bamboorail.KindUnknownService, fmt.Errorf("service %q is not declared", service))
	}
	req.Service, req.Method, req.Path = service, r.Method, path
	req.Header = http.Header{}
	for _, k := range forwardedHeaders {
		if v := r.Header.Values(k); len(v) > 0 {
			req.Header[k] = v
		}
	}
	req.Tokens = 1
	return targets, nil
}

// decodeRoutedCall decodes a call whose route is found by host and path. The
// request id neither binds such a call to a zone nor makes it a repeat of an
// earlier one: the deduplicator stores ids by service, and the service of a
// route can change.
func (s *Server) decodeRoutedCall(ctx context.Context, r *http.Request) (any, error) {
	req, x, c, err := s.newRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	spec, ok := s.config.View().Route(r.Host, r.URL.Path)
	if !ok {
		return nil, rejected(bamboorail.KindNotFound, fmt.Errorf("no route for host %q and path %q", r.Host, r.URL.Path))
	}
	if _, err := s.setServiceCall(req, c, r, route.PickService(spec, hashFraction(req.RequestID)), r.URL.RequestURI()); err != nil {
		return nil, err
	}
	if latest := time.Now().Add(spec.Timeout); req.Deadline.After(latest) {
		req.Deadline = latest
	}
	if spec.Priority >= batchPriority {
		req.Priority = bamboorail.PriorityBatch
	}
	req.Repeatable, req.MaxAttempts = spec.Repeat == bamboorail.RepeatAlways, spec.MaxAttempts
	req.Zone, req.IssuedAt = "", time.Time{}
	return dispatchRequest{request: req, sink: &passthroughSink{x: x, opaque: !req.Repeatable}}, nil
}

// hashFraction maps a request id to [0, 1), so that repeats go to the same
// service.
func hashFraction(id string) float64 {
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

func (s *Server) checkHomeZone(req *bamboorail.Request, targets []record.Target) error {
	if req.Zone == "" {
		return nil
	}
	for _, t := range targets {
		if t.Zone() == req.Zone {
			return nil
		}
	}
	return rejected(bamboorail.KindBadRequest, fmt.Errorf("service %q has no target in zone %q of the request id", req.Service, req.Zone))
}

var errNotReady = errors.New("the instance has no configuration yet")
