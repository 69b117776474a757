package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/route"
)

// sizedDialect reads the key and the size of a call.
type sizedDialect struct{ testDialect }

func (d sizedDialect) Decode(r *http.Request) (bamboorail.Call, error) {
	c, err := d.testDialect.Decode(r)
	if key := r.Header.Get("Authorization"); key != "" {
		c.Credential = bamboorail.NewCredential(key)
	}
	c.Size = bamboorail.CallSize{Prompt: 300, Output: 12}
	return c, err
}

// fakeQuotas admits calls or refuses them with an error.
type fakeQuotas struct {
	err error

	mu       sync.Mutex
	costs    []float64
	waits    []time.Duration
	refunded int
}

func (q *fakeQuotas) Admit(_ context.Context, _ bamboorail.Workspace, cost float64, wait time.Duration) (func(), error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.costs, q.waits = append(q.costs, cost), append(q.waits, wait)
	if q.err != nil {
		return nil, q.err
	}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.refunded++
	}, nil
}

var errOverQuota = errors.New("over the quota")

// TestQuotaIsSpentOnce guards against calls that run without credit or cost more than once,
// against credit that is not returned for calls that were not run, and against refusals that
// callers take for something else.
func TestQuotaIsSpentOnce(t *testing.T) {
	refused := func(c net.Conn, _ *http.Request) bool {
		_, err := c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nId: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	over := notRun("admit-call", bamboorail.KindQuotaExceeded, 3*time.Second, errOverQuota)
	for name, c := range map[string]struct {
		key      string
		err      error
		first    script
		status   int
		admitted int
		refunded int
		retry    string
	}{
		"served":              {"key", nil, answer("a"), http.StatusOK, 1, 0, ""},
		"served by a retry":   {"key", nil, refused, http.StatusOK, 1, 0, ""},
		"over the quota":      {"key", over, nil, http.StatusTooManyRequests, 1, 0, "3"},
		"answer breaks off":   {"key", nil, raw("HTTP/1.1 2"), http.StatusBadGateway, 1, 0, ""},
		"unknown key":         {"other", nil, nil, http.StatusUnauthorized, 0, 0, ""},
		"no target has taken": {"key", nil, nil, http.StatusServiceUnavailable, 1, 1, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			var targets []*fakeTarget
			if c.first != nil {
				targets = append(targets, newTarget(t, "t1", c.first), newTarget(t, "t2", answer("b")))
			}
			spec := bamboorail.RouteSpec{Repeat: bamboorail.RepeatNever, MaxAttempts: 1, Objective: 800 * time.Millisecond}
			b := newTestRelay(t, spec, targets...)
			quotas := &fakeQuotas{err: c.err}
			spec, _ = b.handler.Table().Match("host.example", "/p/x")
			table := route.NewTable(bamboorail.Configuration{
				Version: 1, Routes: []bamboorail.RouteSpec{spec}, HasWorkspaces: true, Workspaces: []bamboorail.Workspace{{
					Name: "w", Keys: []bamboorail.KeyDigest{bamboorail.DigestKey("key")}, Quota: bamboorail.Quota{Unit: bamboorail.QuotaTokens, Rate: 1000},
				}},
			})
			b.handler.Ingress, b.handler.Quotas, b.handler.Table = sizedDialect{}, quotas, func() *route.Table { return table }
			r := b.call(t, http.MethodPost, "/p/x", "body", "Authorization", c.key)
			if r.status != c.status || r.header.Get("Retry-After") != c.retry {
				t.Errorf("status %d, retry after %q", r.status, r.header.Get("Retry-After"))
			}
			quotas.mu.Lock()
			defer quotas.mu.Unlock()
			if len(quotas.costs) != c.admitted || quotas.refunded != c.refunded {
				t.Errorf("admitted %d times, refunded %d times", len(quotas.costs), quotas.refunded)
			}
			for n, cost := range quotas.costs {
				if cost != 312 || quotas.waits[n] != 100*time.Millisecond {
					t.Errorf("cost %.0f, wait %v", cost, quotas.waits[n])
				}
			}
		})
	}
}

// TestForwardedCallCostsNothingMore guards against calls that are counted at each instance that
// they pass.
func TestForwardedCallCostsNothingMore(t *testing.T) {
	quotas := &fakeQuotas{}
	table := route.NewTable(bamboorail.Configuration{HasWorkspaces: true, Workspaces: []bamboorail.Workspace{{Name: "w", Quota: bamboorail.Quota{Rate: 1}}}})
	x := &exchange{h: &Handler{Config: Config{Quotas: quotas}}, table: table, forwarded: &ForwardCall{Workspace: "w"}}
	x.call.Workspace = "w"
	if err := x.takeCredit(); err != nil || len(quotas.costs) != 0 {
		t.Errorf("admitted %d times, error %v", len(quotas.costs), err)
	}
}
