package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Reservoir of one histogram: values kept, and the weight of recent ones.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Metrics is the daemon's metric registry.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry()}
}

// Name joins a metric's name and its labels, given as pairs of key and value.
func Name(name string, labels ...string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	b.WriteByte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", labels[i], labels[i+1])
	}
	b.WriteByte('}')
	return b.String()
}

// Counter returns the counter with that name and labels.
func (m *Metrics) Counter(name string, labels ...string) metrics.Counter {
	return metrics.GetOrRegisterCounter(Name(name, labels...), m.registry)
}

// Gauge returns the gauge with that name and labels.
func (m *Metrics) Gauge(name string, labels ...string) metrics.GaugeFloat64 {
	return metrics.GetOrRegisterGaugeFloat64(Name(name, labels...), m.registry)
}

// Histogram returns the histogram with that name and labels. Values are
// microseconds by convention; the name ends in _microseconds.
func (m *Metrics) Histogram(name string, labels ...string) metrics.Histogram {
	full := Name(name, labels...)
	return m.registry.GetOrRegister(full, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}

// Observe adds a duration to a histogram.
func (m *Metrics) Observe(d time.Duration, name string, labels ...string) {
	m.Histogram(name, labels...).Update(d.Microseconds())
}

var quantiles = []float64{0.5, 0.95, 0.99}

// WritePrometheus prints all metrics in the Prometheus text format, sorted.
// Histograms are printed as summaries.
func (m *Metrics) WritePrometheus(w io.Writer) error {
	lines := make(map[string][]string)
	types := make(map[string]string)
	m.registry.Each(func(full string, metric any) {
		name, labels := splitName(full)
		switch v := metric.(type) {
		case metrics.Counter:
			types[name] = "counter"
			lines[name] = append(lines[name], fmt.Sprintf("%s%s %d", name, braces(labels), v.Count()))
		case metrics.GaugeFloat64:
			types[name] = "gauge"
			lines[name] = append(lines[name], fmt.Sprintf("%s%s %g", name, braces(labels), v.Value()))
		case metrics.Histogram:
			types[name] = "summary"
			lines[name] = append(lines[name], summaryLines(name, labels, v.Snapshot())...)
		}
	})
	return writeSorted(w, lines, types)
}

func summaryLines(name, labels string, h metrics.Histogram) []string {
	values := h.Percentiles(quantiles)
	out := make([]string, 0, len(quantiles)+2)
	for i, q := range quantiles {
		label := fmt.Sprintf("quantile=\"%g\"", q)
		if labels != "" {
			label = labels + "," + label
		}
		out = append(out, fmt.Sprintf("%s{%s} %g", name, label, values[i]))
	}
	out = append(out, fmt.Sprintf("%s_sum%s %d", name, braces(labels), h.Sum()))
	return append(out, fmt.Sprintf("%s_count%s %d", name, braces(labels), h.Count()))
}

func writeSorted(w io.Writer, lines map[string][]string, types map[string]string) error {
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	buffered := bufio.NewWriter(w)
	for _, name := range names {
		fmt.Fprintf(buffered, "# TYPE %s %s\n", name, types[name])
		sort.Strings(lines[name])
		for _, line := range lines[name] {
			fmt.Fprintln(buffered, line)
		}
	}
	return buffered.Flush()
}

func splitName(full string) (name, labels string) {
	name, rest, found := strings.Cut(full, "{")
	if !found {
		return full, ""
	}
	return name, strings.TrimSuffix(rest, "}")
}

func braces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
