package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of Run.
type Report struct {
	Started time.Time `json:"started"`
	Quick   bool      `json:"quick"`
	Seconds float64   `json:"seconds"`
	// Machine describes processors and toolchain; Load is the load average of
	// the last minute, which tells how busy others kept the machine.
	Machine string   `json:"machine"`
	Load    string   `json:"load"`
	Sizes   []Size   `json:"sizes"`
	Slopes  []Slope  `json:"slopes"`
	Figures []Figure `json:"figures"`
}

func machine() string {
	return fmt.Sprintf("%d cores, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(data))[0]
}

// WriteJSON writes the whole report.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the figures and slopes as aligned columns.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 2, 4, 2, ' ', 0)
	r.write(func(cells ...string) { _, _ = fmt.Fprintln(t, strings.Join(cells, "\t")) }, false)
	return t.Flush()
}

// WriteMarkdown writes the figures and slopes as tables.
func (r *Report) WriteMarkdown(w io.Writer) error {
	var err error
	r.write(func(cells ...string) {
		line := "| " + strings.Join(cells, " | ") + " |"
		if len(cells) == 1 {
			line = cells[0]
		}
		if _, failed := fmt.Fprintln(w, line); failed != nil {
			err = failed
		}
	}, true)
	return err
}

// write hands rows to a function; single cells are lines of text.
func (r *Report) write(row func(...string), markdown bool) {
	heading := ""
	if markdown {
		heading = "### "
	}
	table := func(title string, header ...string) {
		row("")
		row(heading + title)
		row("")
		row(header...)
		if markdown {
			rule := make([]string, len(header))
			for i := range rule {
				rule[i] = "---"
			}
			row(rule...)
		}
	}
	row(fmt.Sprintf("%s; load average %s; quick: %t; %.0f s.", r.Machine, r.Load, r.Quick, r.Seconds))
	role := Role("")
	today := map[string]*Figure{}
	for i := range r.Figures {
		if f := &r.Figures[i]; f.Size != r.Sizes[0].Name {
			today[string(f.Role)+f.Kind+f.Name] = f
		}
	}
	for i := range r.Figures {
		f := &r.Figures[i]
		if f.Size != r.Sizes[0].Name {
			continue
		}
		if f.Role != role {
			role = f.Role
			table(strings.ToUpper(string(role)[:1])+string(role)[1:], "kind", "quantity", "planned", "today", "unit", "limit", "arithmetic", "mechanism")
		}
		now := today[string(f.Role)+f.Kind+f.Name]
		row(f.Kind, f.Name, marked(f), marked(now), f.Unit, limitOf(f), f.Basis, f.Mechanism)
	}
	table("Slopes", "slope", "x", "y", "unit", "range of x", "measured y", "slope", "intercept", "R²", "note")
	for i := range r.Slopes {
		s := &r.Slopes[i]
		low, high := s.Range()
		row(s.Name, s.X, s.Y, s.Unit, number(low)+" to "+number(high), values(s.Points),
			number(s.Fit.Slope), number(s.Fit.Intercept), fmt.Sprintf("%.3f", s.Fit.R2), s.Note)
	}
}

func limitOf(f *Figure) string {
	if f.Limit == 0 {
		return ""
	}
	return number(f.Limit)
}

// marked shows a value and whether it breaks its limit.
func marked(f *Figure) string {
	switch {
	case f == nil:
		return ""
	case f.Over():
		return number(f.Value) + " OVER"
	}
	return number(f.Value)
}

func values(points []Point) string {
	var out []string
	for _, p := range points {
		out = append(out, number(p.Y))
	}
	return strings.Join(out, ", ")
}

// number shows three significant digits, without an exponent; zero and
// unmeasured values have their own forms.
func number(v float64) string {
	switch {
	case math.IsNaN(v):
		return "not measured"
	case v == 0:
		return "0"
	case math.Abs(v) < 1e-3:
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', max(digits, 0), 64)
}
