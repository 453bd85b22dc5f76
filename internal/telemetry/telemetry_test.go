package telemetry

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against events that operators cannot look up, and against catalogue
// entries that the code no longer writes.
func TestCatalogueMatchesDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	assert.NilError(t, err)
	rows := regexp.MustCompile("(?m)^\\| (AD\\d{4}) \\| `([a-z_]+)` \\| (\\w+) \\| (.+?) \\|$").FindAllStringSubmatch(string(page), -1)
	documented := make(map[string]Event)
	for _, r := range rows {
		level, err := zerolog.ParseLevel(r[3])
		assert.NilError(t, err)
		documented[r[1]] = Event{r[1], r[2], level, r[4]}
	}
	for _, e := range Catalogue {
		assert.Equal(t, documented[e.Code], e)
		delete(documented, e.Code)
	}
	assert.Equal(t, len(documented), 0, "documented but unknown events: %v", documented)
}

// Guards against event variables that are missing from Catalogue, and so from
// the docs.
func TestCatalogueIsComplete(t *testing.T) {
	source, err := os.ReadFile("events.go")
	assert.NilError(t, err)
	declared := regexp.MustCompile(`Event\{"(AD\d{4})"`).FindAllStringSubmatch(string(source), -1)
	assert.Equal(t, len(declared), len(Catalogue))
	seen := make(map[string]bool)
	for _, e := range Catalogue {
		assert.Assert(t, !seen[e.Code], "code %s is used twice", e.Code)
		seen[e.Code] = true
	}
	for _, d := range declared {
		assert.Assert(t, seen[d[1]], "event %s is not in Catalogue", d[1])
	}
}

// Guards against events that the docs promise and that nothing writes.
func TestCatalogueIsWritten(t *testing.T) {
	source, err := os.ReadFile("events.go")
	assert.NilError(t, err)
	var code strings.Builder
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		code.Write(data)
		return err
	})
	assert.NilError(t, err)
	for _, m := range regexp.MustCompile(`(?m)^\t(\w+) += Event\{`).FindAllStringSubmatch(string(source), -1) {
		used := regexp.MustCompile(`telemetry\.` + m[1] + `\b`).MatchString(code.String())
		assert.Assert(t, used, "nothing writes event %s", m[1])
	}
}

// Guards against log lines without their code and against lines below the
// configured level.
func TestLogLevelAndCode(t *testing.T) {
	var out bytes.Buffer
	log := NewLog(&out, zerolog.InfoLevel, "d1")
	log.Event(LoadReportError).Str("upstream", "u").Msg("")
	assert.Equal(t, out.Len(), 0)
	log.Event(DaemonReady).Int("revision", 4).Msg("")
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["event"], "AD1002")
	assert.Equal(t, line["daemon"], "d1")
}

// Guards against output that a scraper rejects or that loses labels.
func TestWritePrometheus(t *testing.T) {
	m := NewMetrics()
	m.Counter("auburndyke_requests_total", "class", "guest").Inc(3)
	m.Gauge("auburndyke_revision").Update(7)
	for i := int64(1); i <= 100; i++ {
		m.Histogram("auburndyke_first_token_microseconds", "tier", "urgent").Update(i)
	}
	var out bytes.Buffer
	assert.NilError(t, m.WritePrometheus(&out))
	for _, want := range []string{
		`auburndyke_requests_total{class="guest"} 3`,
		`auburndyke_revision 7`,
		`auburndyke_first_token_microseconds{tier="urgent",quantile="0.5"} 50.5`,
		`auburndyke_first_token_microseconds_count{tier="urgent"} 100`,
		`# TYPE auburndyke_first_token_microseconds summary`,
	} {
		assert.Assert(t, strings.Contains(out.String(), want+"\n"), "%s missing in\n%s", want, out.String())
	}
}
