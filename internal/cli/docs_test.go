package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const operatorPages = "../../docs/operators"

var (
	fencePattern = regexp.MustCompile("(?ms)^```(sh|toml \\S+)\n(.*?)^```")
	wordPattern  = regexp.MustCompile(`"[^"]*"|\S+`)
	exitPattern  = regexp.MustCompile(` # exits (\d)$`)
	quotedLine   = regexp.MustCompile("`(auburndyke [^`]+)`")
)

// words splits a command line of the pages.
func (d *deployment) words(line string) []string {
	words := wordPattern.FindAllString(line, -1)
	for i, w := range words {
		w = strings.ReplaceAll(strings.Trim(w, `"`), "$ADMIN", d.url)
		w = strings.ReplaceAll(w, "$TOKEN", filepath.Join(d.dir, "operator.token"))
		if _, err := os.Stat(filepath.Join(d.dir, w)); err == nil {
			w = filepath.Join(d.dir, w)
		}
		if rest, ok := strings.CutPrefix(w, "examples/"); ok {
			w = filepath.Join("..", "..", "examples", rest)
		}
		words[i] = w
	}
	return words[1:]
}

// runPage runs the commands of a page in order.
func (d *deployment) runPage(page string) {
	for _, block := range fencePattern.FindAllStringSubmatch(page, -1) {
		if name, ok := strings.CutPrefix(block[1], "toml "); ok {
			d.file(name, block[2])
			continue
		}
		for _, line := range strings.Split(strings.TrimSpace(block[2]), "\n") {
			want := ExitOK
			if m := exitPattern.FindStringSubmatch(line); m != nil {
				want, _ = strconv.Atoi(m[1])
				line = strings.TrimSuffix(line, m[0])
			}
			args := d.words(line)
			if strings.Contains(line, "--watch") {
				checkSyntax(d.t, args)
				continue
			}
			out, code := run(args...)
			assert.Equal(d.t, code, want, "%s: %s", line, out)
		}
	}
}

// checkSyntax finds the command of a command line and parses its flags.
func checkSyntax(t *testing.T, args []string) {
	root := NewRootCommand()
	root.InitDefaultCompletionCmd(args...)
	cmd, rest, err := root.Find(args)
	assert.NilError(t, err)
	assert.NilError(t, cmd.ParseFlags(rest), strings.Join(args, " "))
	assert.NilError(t, cmd.ValidateArgs(cmd.Flags().Args()), strings.Join(args, " "))
}

// Guards against operator pages whose commands do not work.
func TestOperatorPages(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(operatorPages, "*.md"))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 3)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			page, err := os.ReadFile(path)
			assert.NilError(t, err)
			options := adminhttp.Options{}
			if filepath.Base(path) == "first-day.md" {
				options.Bootstrap = administration.BootstrapTokens(policy.HashKey("mb-operator-token"))
			}
			d := newDeployment(t, options)
			d.runPage(string(page))
			for _, m := range quotedLine.FindAllStringSubmatch(string(page), -1) {
				checkSyntax(t, d.words(m[1]))
			}
		})
	}
}

// Guards against alarms on events or metrics that do not exist, and against
// alarms without either.
func TestAlarmsNameEventsAndMetrics(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(operatorPages, "alarms.md"))
	assert.NilError(t, err)
	events := map[string]string{}
	for _, e := range telemetry.Catalogue {
		events[e.Code] = e.Name
	}
	for _, m := range regexp.MustCompile("(AD\\d{4})(?: \\(`(\\w+)`\\))?").FindAllStringSubmatch(string(page), -1) {
		name, ok := events[m[1]]
		assert.Assert(t, ok && (m[2] == "" || m[2] == name), "%s", m[0])
	}
	source := goSource(t)
	for _, name := range regexp.MustCompile(`auburndyke_[a-z_]+`).FindAllString(string(page), -1) {
		assert.Assert(t, strings.Contains(source, `"`+name+`"`), "metric %s does not exist", name)
	}
	sections := strings.Split(string(page), "\n## ")[1:]
	for _, s := range sections {
		title, _, _ := strings.Cut(s, "\n")
		shown := strings.Contains(s, "metric") || strings.Contains(s, "`status`")
		assert.Assert(t, strings.Contains(s, "- Event") && shown && strings.Contains(s, "- First: `auburndyke"), title)
	}
}

// goSource returns the code below internal without tests.
func goSource(t *testing.T) string {
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	})
	assert.NilError(t, err)
	return all.String()
}
