package telemetry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"bamboorail.example/bamboorail"
)

// Metrics records the metrics of an instance.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	loads     *prometheus.CounterVec
	loadTime  prometheus.Histogram
	evictions *prometheus.CounterVec
	waited    prometheus.Histogram
	loadWait  prometheus.Histogram
	running   *prometheus.GaugeVec
	maxBatch  *prometheus.GaugeVec
	revision  prometheus.Gauge
	faults    prometheus.Counter
	mismatch  prometheus.Counter
	holders   holderVectors
	late      prometheus.Histogram
	store     *prometheus.CounterVec
	blocked   prometheus.Counter
	advised   *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	credit    *prometheus.CounterVec
	limited   *prometheus.CounterVec
	full      prometheus.Counter
	streams   streamVectors
	rejected  *prometheus.CounterVec
}

// waitBuckets are histogram bucket bounds in seconds.
var waitBuckets = []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 1.1, 2.5, 5, 10, 30, 60}

// NewMetrics returns Metrics with a separate registry.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.requests = newCounterVec("requests_total", "Requests of callers by call, result and outcome.", "call", "kind", "outcome")
	m.duration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_seconds", Help: "Time to the end of the answer.", Buckets: waitBuckets,
	}, []string{"call"})
	m.loads = newCounterVec("loads_total", "Adapter loads by target and result.", "target", "result")
	m.loadTime = newHistogram("load_seconds", "Time of an adapter load with the unload before it.")
	m.evictions = newCounterVec("evictions_total", "Unloaded adapters by target.", "target")
	m.waited = newHistogram("queue_wait_seconds", "Time of a request in the queue of an owner.")
	m.loadWait = newHistogram("load_stall_seconds", "Time for which a request waited for its adapter.")
	m.running = newGaugeVec("running_requests", "Running requests by target.", "target")
	m.maxBatch = newGaugeVec("max_batch", "Largest batch by target.", "target")
	m.revision = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "configuration_revision", Help: "Revision in force."})
	m.faults = newCounter("record_faults_total", "Records that could not be understood.")
	m.mismatch = newCounter("answer_mismatches_total", "Answers that belonged to another request or adapter.")
	m.late = newHistogram("timer_late_seconds", "Time by which a timer of the instance fired late: it waited for the processor.")
	m.holders = newHolderVectors(m.registry)
	m.streams = newStreamVectors(m.registry)
	m.store = newCounterVec("store_calls_total", "Calls to the object store by call, kind of object, and result.", "call", "kind", "result")
	m.blocked = newCounter("prompt_segments_blocked_total", "Prompt segments that were blocked because they crash engines.")
	m.advised = newCounterVec("target_advisories_total", "Targets that said that they leave or asked for a pause.", "reason")
	m.refusals = newCounterVec("target_refusals_total", "Calls that full targets refused, by whether they were known as brittle.", "brittle")
	m.credit = newCounterVec("quota_credit_total", "Quota credit by workspace and movement, in units of the quota.", "workspace", "movement")
	m.limited = newCounterVec("quota_calls_refused_total", "Calls that were refused because of the quota of their workspace.", "workspace")
	m.registry.MustRegister(m.credit, m.limited)
	m.full = newCounter("shared_calls_refused_total", "Calls that were refused because all shared targets of their service were full.")
	m.registry.MustRegister(m.full)
	m.rejected = newCounterVec("answers_rejected_total", "Answers that were not valid or not complete, by sender and reason.", "from", "reason")
	m.registry.MustRegister(m.rejected, m.store, m.blocked, m.advised, m.refusals, m.late, m.requests, m.duration, m.loads, m.loadTime,
		m.evictions, m.waited, m.loadWait, m.running, m.maxBatch, m.revision, m.faults, m.mismatch,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

const namespace = "bamboorail"

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: waitBuckets})
}

// Registry returns the registry exported by the metrics listener.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Request records a finished caller request.
func (m *Metrics) Request(call string, d time.Duration, err error) {
	kind, outcome := "ok", "answered"
	if err != nil {
		f := bamboorail.FailureOf(err)
		kind, outcome = string(f.Kind), string(f.Outcome)
		if f.Kind == bamboorail.KindMismatch {
			m.mismatch.Inc()
		}
	}
	m.requests.WithLabelValues(call, kind, outcome).Inc()
	m.duration.WithLabelValues(call).Observe(d.Seconds())
}

// LoadEnded records a finished adapter load.
func (m *Metrics) LoadEnded(target string, d time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.loads.WithLabelValues(target, result).Inc()
	m.loadTime.Observe(d.Seconds())
}

// Evicted counts an unloaded adapter.
func (m *Metrics) Evicted(target string) { m.evictions.WithLabelValues(target).Inc() }

// Dispatched records the queue and adapter load waits of a request that starts
// to run.
func (m *Metrics) Dispatched(_ string, waited, loadWait time.Duration) {
	m.waited.Observe(waited.Seconds())
	m.loadWait.Observe(loadWait.Seconds())
}

// Batch records the batch occupancy of an engine.
func (m *Metrics) Batch(target string, running, limit int) {
	m.running.WithLabelValues(target).Set(float64(running))
	m.maxBatch.WithLabelValues(target).Set(float64(limit))
}

// Configuration records a new revision and the number of invalid records in it.
func (m *Metrics) Configuration(revision uint64, faults int) {
	m.revision.Set(float64(revision))
	m.faults.Add(float64(faults))
}

// StoreCall counts a call to the object store.
func (m *Metrics) StoreCall(call, kind, result string) {
	m.store.WithLabelValues(call, kind, result).Inc()
}

// RecordTimerDelay records the delay with which a timer of this instance fired.
func (m *Metrics) RecordTimerDelay(d time.Duration) { m.late.Observe(d.Seconds()) }

// PromptSegmentBlocked counts a prompt segment that was blocked.
func (m *Metrics) PromptSegmentBlocked() { m.blocked.Inc() }

// TargetAdvised counts a target that said that it leaves or asked for a pause.
func (m *Metrics) TargetAdvised(reason string) { m.advised.WithLabelValues(reason).Inc() }

// AnswerRejected counts an answer that was not valid or not complete.
func (m *Metrics) AnswerRejected(from, reason string) { m.rejected.WithLabelValues(from, reason).Inc() }

// TargetRefused counts a call that a target refused since it was full. knownBrittle is set
// if this instance took the target for brittle when the call was sent.
func (m *Metrics) TargetRefused(knownBrittle bool) {
	m.refusals.WithLabelValues(strconv.FormatBool(knownBrittle)).Inc()
}

// SharedRefused counts a call that was refused because all shared targets of its service
// were full.
func (m *Metrics) SharedRefused() { m.full.Inc() }
