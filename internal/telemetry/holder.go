package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// holderVectors holds the metric vectors of lease holders, labeled by
// availability zone.
type holderVectors struct {
	waiting *prometheus.GaugeVec
	looks   *prometheus.CounterVec
	orders  *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	prompts *prometheus.CounterVec
	// fetchLimit and fetchSeconds are the estimates of the weight store.
	fetchLimit, fetchSeconds *prometheus.GaugeVec
	// sharedWaiting, shared and sharedWait are about calls to shared targets.
	sharedWaiting *prometheus.GaugeVec
	shared        *prometheus.CounterVec
	sharedWait    *prometheus.HistogramVec
}

func newHolderVectors(r prometheus.Registerer) holderVectors {
	v := holderVectors{
		waiting: newGaugeVec("holder_waiting_calls", "Calls that wait for a place in an availability zone.", "zone"),
		looks:   newCounterVec("holder_looks_total", "Decisions about one call, tried or taken, by availability zone.", "zone"),
		orders:  newCounterVec("holder_orders_total", "Orders to engines by availability zone and result.", "zone", "result"),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "holder_seconds", Buckets: waitBuckets,
			Help: "Time of a question (question), of it for the lock (lock) and for decisions (look), and of an order (order).",
		}, []string{"zone", "part"}),
		prompts: newCounterVec("holder_prompt_tokens_total",
			"Prompt tokens of placed calls (sent), and those that engines are expected to keep from earlier calls (kept), by availability zone.", "zone", "part"),
		fetchLimit: newGaugeVec("holder_fetch_limit", "Concurrent adapter fetches permitted in an availability zone.", "zone"),
		fetchSeconds: newGaugeVec(
			"holder_fetch_seconds", "Estimated time of an adapter fetch now (expected) and at full speed (flat), by availability zone.", "zone", "estimate"),
	}
	v.sharedWaiting = newGaugeVec("shared_waiting_calls", "Calls that wait for a shared target, by availability zone.", "zone")
	v.shared = newCounterVec("shared_requests_total", "Requests for permits of shared targets, and refusals by these, by zone and result.", "zone", "result")
	v.sharedWait = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "shared_wait_seconds", Buckets: waitBuckets, Help: "Waits of calls that got a permit of a shared target.",
	}, []string{"zone"})
	r.MustRegister(v.sharedWaiting, v.shared, v.sharedWait)
	r.MustRegister(v.waiting, v.looks, v.orders, v.seconds, v.prompts, v.fetchLimit, v.fetchSeconds)
	return v
}

// Holder records the metrics of the lease holder of one availability zone.
type Holder struct {
	waiting               prometheus.Gauge
	looks                 prometheus.Counter
	orders                *prometheus.CounterVec
	question, lock, order prometheus.Observer
	look                  prometheus.Observer
	fetchLimit            prometheus.Gauge
	expectedFetch         prometheus.Gauge
	flatFetch             prometheus.Gauge
	sharedWaiting         prometheus.Gauge
	shared                *prometheus.CounterVec
	sharedWait            prometheus.Observer
	sentPrompt            prometheus.Counter
	keptPrompt            prometheus.Counter
}

// The results of requests for permits of shared targets.
const (
	SharedGranted = "granted"
	SharedRefused = "refused"
	// SharedRefusedByTarget counts calls with a permit that their target refused.
	SharedRefusedByTarget = "refused-by-target"
)

// Holder returns the metrics of the holder of a zone.
func (m *Metrics) Holder(zone string) *Holder {
	v := m.holders
	return &Holder{
		waiting: v.waiting.WithLabelValues(zone), looks: v.looks.WithLabelValues(zone),
		orders:   v.orders.MustCurryWith(prometheus.Labels{"zone": zone}),
		question: v.seconds.WithLabelValues(zone, "question"), lock: v.seconds.WithLabelValues(zone, "lock"),
		look: v.seconds.WithLabelValues(zone, "look"), order: v.seconds.WithLabelValues(zone, "order"),
		fetchLimit: v.fetchLimit.WithLabelValues(zone), expectedFetch: v.fetchSeconds.WithLabelValues(zone, "expected"),
		flatFetch: v.fetchSeconds.WithLabelValues(zone, "flat"), sharedWaiting: v.sharedWaiting.WithLabelValues(zone),
		shared: v.shared.MustCurryWith(prometheus.Labels{"zone": zone}), sharedWait: v.sharedWait.WithLabelValues(zone),
		sentPrompt: v.prompts.WithLabelValues(zone, "sent"), keptPrompt: v.prompts.WithLabelValues(zone, "kept"),
	}
}

// SetWaiting sets the number of calls that wait for placement.
func (h *Holder) SetWaiting(n int) { h.waiting.Set(float64(n)) }

// SetFetchEstimate sets the limit of concurrent fetches, and the estimated times
// of a fetch now and at full speed.
func (h *Holder) SetFetchEstimate(limit int, expected, flat time.Duration) {
	h.fetchLimit.Set(float64(limit))
	h.expectedFetch.Set(expected.Seconds())
	h.flatFetch.Set(flat.Seconds())
}

// RecordDecisions records a batch of n placement decisions, the time spent waiting for
// the lock and the time spent on the decisions.
func (h *Holder) RecordDecisions(n int, lock, look time.Duration) {
	h.looks.Add(float64(n))
	h.lock.Observe(lock.Seconds())
	h.look.Observe(look.Seconds())
}

// RecordPlacement records the duration of a placement request.
func (h *Holder) RecordPlacement(took time.Duration) { h.question.Observe(took.Seconds()) }

// RecordPrompt records the prompt tokens of a placed call, and those of them that its engine is
// expected to keep.
func (h *Holder) RecordPrompt(tokens, kept int) {
	h.sentPrompt.Add(float64(tokens))
	h.keptPrompt.Add(float64(max(kept, 0)))
}

// RecordOrder records the result and the duration of an order to an engine.
func (h *Holder) RecordOrder(result string, took time.Duration) {
	h.orders.WithLabelValues(result).Inc()
	h.order.Observe(took.Seconds())
}

// SetSharedWaiting sets the number of calls that wait for a shared target.
func (h *Holder) SetSharedWaiting(n int) { h.sharedWaiting.Set(float64(n)) }

// RecordShared records the result of a request for a permit of a shared target, and its
// wait if the permit was granted.
func (h *Holder) RecordShared(result string, waited time.Duration) {
	h.shared.WithLabelValues(result).Inc()
	if result == SharedGranted {
		h.sharedWait.Observe(waited.Seconds())
	}
}
