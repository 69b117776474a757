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
	seconds *prometheus.HistogramVec
}

func newHolderVectors(r prometheus.Registerer) holderVectors {
	v := holderVectors{
		waiting: newGaugeVec("holder_waiting_calls", "Calls that wait for a place in an availability zone.", "zone"),
		looks:   newCounterVec("holder_looks_total", "Decisions about one call, tried or taken, by availability zone.", "zone"),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "holder_seconds", Buckets: waitBuckets,
			Help: "Time of a question (question), of it for the lock (lock) and for decisions (look), and of an order (order).",
		}, []string{"zone", "part"}),
	}
	r.MustRegister(v.waiting, v.looks, v.seconds)
	return v
}

// Holder records the metrics of the lease holder of one availability zone.
type Holder struct {
	waiting               prometheus.Gauge
	looks                 prometheus.Counter
	question, lock, order prometheus.Observer
	look                  prometheus.Observer
}

// Holder returns the metrics of the holder of a zone.
func (m *Metrics) Holder(zone string) *Holder {
	v := m.holders
	return &Holder{
		waiting: v.waiting.WithLabelValues(zone), looks: v.looks.WithLabelValues(zone),
		question: v.seconds.WithLabelValues(zone, "question"), lock: v.seconds.WithLabelValues(zone, "lock"),
		look: v.seconds.WithLabelValues(zone, "look"), order: v.seconds.WithLabelValues(zone, "order"),
	}
}

// SetWaiting sets the number of calls that wait for placement.
func (h *Holder) SetWaiting(n int) { h.waiting.Set(float64(n)) }

// RecordDecisions records a batch of n placement decisions, the time spent waiting for
// the lock and the time spent on the decisions.
func (h *Holder) RecordDecisions(n int, lock, look time.Duration) {
	h.looks.Add(float64(n))
	h.lock.Observe(lock.Seconds())
	h.look.Observe(look.Seconds())
}

// RecordPlacement records the duration of a placement request.
func (h *Holder) RecordPlacement(took time.Duration) { h.question.Observe(took.Seconds()) }

// RecordOrder records the duration of an order to an engine.
func (h *Holder) RecordOrder(took time.Duration) { h.order.Observe(took.Seconds()) }
