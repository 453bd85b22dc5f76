package capacity

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Options configures Run.
type Options struct {
	// Quick shortens each measurement; the figures are rougher.
	Quick bool
	// Progress receives one line for each part; nil discards them.
	Progress io.Writer

	// smoke leaves out large sizes, for tests.
	smoke bool
}

const (
	quickScale = 0.15
	smokeScale = 0.02
)

func (o Options) scale() float64 {
	switch {
	case o.smoke:
		return smokeScale
	case o.Quick:
		return quickScale
	}
	return 1
}

// part returns the share of a measuring time that the options allow.
func (o Options) part(d time.Duration) time.Duration {
	return time.Duration(float64(d) * o.scale())
}

// recorder collects points by slope.
type recorder struct {
	options Options
	points  map[string][]Point
}

func (r *recorder) add(name string, x, y float64) {
	r.points[name] = append(r.points[name], Point{x, y})
}

// parts are the measurements in order.
var parts = []struct {
	name    string
	measure func(context.Context, *recorder) error
}{
	{"configuration", measureControl},
	{"decisions", measureDecisions},
	{"requests", measureRequests},
	{"token events", measureEvents},
	{"memory of streams", measureMemory},
	{"mesh", measureMesh},
	{"peers", measurePeers},
	{"platform tables", measureTables},
	{"claims", measureClaims},
	{"subsets", measureSubsets},
	{"polling", measureWire},
}

// Run measures all slopes and extrapolates them. It takes about 4 minutes, or
// 30 s with Quick.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &recorder{options: options, points: map[string][]Point{}}
	report := &Report{Started: time.Now(), Quick: options.Quick, Machine: machine()}
	for _, p := range parts {
		start := time.Now()
		if err := p.measure(ctx, r); err != nil {
			return nil, fmt.Errorf("measuring %s: %w", p.name, err)
		}
		if options.Progress != nil {
			_, _ = fmt.Fprintf(options.Progress, "%s: %.1f s\n", p.name, time.Since(start).Seconds())
		}
	}
	report.Slopes = slopes(r.points)
	report.Load = loadAverage()
	report.Sizes = []Size{Planned(), Today()}
	for _, s := range report.Sizes {
		report.Figures = append(report.Figures, extrapolate(s, report.Slopes)...)
	}
	report.Seconds = time.Since(report.Started).Seconds()
	return report, nil
}
