package relay

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Metrics records the number of requests and attempts, and their latencies.
type Metrics struct {
	set        *telemetry.Metrics
	latency    metrics.Histogram
	firstEvent metrics.Histogram
	maxGap     metrics.Histogram
	attempts   metrics.Counter
	// crashes counts requests at upstreams that crashed before their first events, and
	// refusedSound those that blocks refused whose parts proved to be sound.
	crashes      metrics.Counter
	refusedSound metrics.Counter
	pauses       metrics.Counter
	invalidLoads metrics.Counter
}

// NewMetrics registers the metrics of a relay.
func NewMetrics(set *telemetry.Metrics) *Metrics {
	return &Metrics{
		set:        set,
		latency:    set.Histogram("auburndyke_request_microseconds"),
		firstEvent: set.Histogram("auburndyke_first_event_microseconds"),
		maxGap:     set.Histogram("auburndyke_stream_max_gap_microseconds"),
		attempts:   set.Counter("auburndyke_attempts_total"),

		crashes:      set.Counter("auburndyke_prompt_crashes_total"),
		refusedSound: set.Counter("auburndyke_sound_prompts_refused_total"),
		pauses:       set.Counter("auburndyke_upstream_pauses_total"),
		invalidLoads: set.Counter("auburndyke_invalid_upstream_loads_total"),
	}
}

// boundExceeded counts a response that exceeded one of the bounds on upstreams.
func (m *Metrics) boundExceeded(bound string) {
	m.set.Counter("auburndyke_upstream_bounds_exceeded_total", "bound", bound).Inc(1)
}

func (m *Metrics) finished(q *request) {
	o := &q.outcome
	m.attempts.Inc(int64(q.sends))
	m.set.Counter("auburndyke_requests_total", "status", strconv.Itoa(o.status), "reason", o.reason, "ended", o.ended).Inc(1)
	m.latency.Update(time.Since(q.arrived).Microseconds())
	if o.stream.started {
		m.firstEvent.Update(o.firstEventLatency.Microseconds())
		m.maxGap.Update(o.stream.maxGap.Microseconds())
	}
}
