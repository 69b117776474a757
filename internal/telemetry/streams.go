package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// eventBuckets are histogram bucket bounds in seconds. They separate the times that callers of
// streams permit: 0.5 to 2 s to the first event, 0.3 and 0.4 s between events.
var eventBuckets = []float64{.01, .025, .05, .1, .2, .3, .4, .5, .6, .8, 1, 1.25, 1.5, 2, 4}

// streamVectors holds the metric vectors of streams, labeled by call as requests are.
type streamVectors struct{ firstEvent, longestGap *prometheus.HistogramVec }

func newStreamVectors(r prometheus.Registerer) streamVectors {
	newVec := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: eventBuckets}, []string{"call"})
	}
	v := streamVectors{
		firstEvent: newVec("stream_first_event_seconds", "Time from the arrival of a call to the first event of its answer."),
		longestGap: newVec("stream_longest_gap_seconds", "Longest time between two events of an answer, without the time in which the caller did not read."),
	}
	r.MustRegister(v.firstEvent, v.longestGap)
	return v
}

// StreamEnded records the time to the first event of an ended stream and the longest time
// between its events, if it has several.
func (m *Metrics) StreamEnded(call string, firstEvent, longestGap time.Duration, several bool) {
	m.streams.firstEvent.WithLabelValues(call).Observe(firstEvent.Seconds())
	if several {
		m.streams.longestGap.WithLabelValues(call).Observe(longestGap.Seconds())
	}
}
