package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/policy"
)

func example(dir string) []string {
	paths := make([]string, len(configurationFiles))
	for i, name := range configurationFiles {
		paths[i] = filepath.Join("..", "..", "examples", dir, name)
	}
	return paths
}

func run(args ...string) (string, int) {
	root := &cobra.Command{Use: "auburndyke", SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(NewConfigCommand(), NewExplainCommand(), NewUpstreamCommand(), NewStatusCommand())
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), ExitCode(err)
}

// edited copies an example with one replacement into a new directory.
func edited(t *testing.T, dir, old, replacement string) string {
	target := t.TempDir()
	changed := false
	for i, path := range example(dir) {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		text := strings.Replace(string(data), old, replacement, 1)
		changed = changed || text != string(data)
		assert.NilError(t, os.WriteFile(filepath.Join(target, configurationFiles[i]), []byte(text), 0o600))
	}
	assert.Assert(t, changed)
	return target
}

// Guards against scripts that take a bad configuration for a good one.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(edited(t, "fryline", `"770ms"`, `770`), "policy.toml")
	files := example("fryline")
	explain := append([]string{"explain", "--customer=galway-fry", "--model=assistant"}, files...)
	cases := []struct {
		name string
		args []string
		want int
		text string
	}{
		{"valid", append([]string{"config", "check"}, files...), ExitOK, "configuration is valid: 10 customers, 8 classes, 13 upstreams, 8 rules"},
		{"errors", []string{"config", "check", bad}, ExitFindings, "policy.toml:81:15: error: first_token has wrong type"},
		{"errors as JSON", []string{"config", "check", "--output=json", bad}, ExitFindings, `"ok": false`},
		{"no file", []string{"config", "check"}, ExitUsage, ""},
		{"missing file", []string{"config", "check", "absent.toml"}, ExitUsage, ""},
		{"unknown format", append(explain, "--output=xml"), ExitUsage, ""},
		{"default class", explain, ExitOK, "tier opening (rank 0), service level opening"},
		{"unknown customer", append([]string{"explain", "--customer=x"}, files...), ExitUsage, ""},
		{"no customer", append([]string{"explain"}, files...), ExitUsage, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, code := run(c.args...)
			assert.Equal(t, code, c.want, out)
			assert.Assert(t, strings.Contains(out, c.text), out)
		})
	}
}

// Guards against a difference whose effect on traffic is not shown.
func TestDiffShowsImpact(t *testing.T) {
	base := filepath.Dir(example("fryline")[0])
	changed := edited(t, "fryline", `upstreams = "workload=assistant, region=connacht"`, `upstreams = "workload=assistant, region=munster"`)
	out, code := run("config", "diff", "--output=json", base, changed)
	assert.Equal(t, code, ExitOK, out)
	var report diffReport
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.Equal(t, len(report.Changes), 1)
	assert.Equal(t, report.Changes[0].Kind, policy.ItemRule)
	assert.Equal(t, report.Changes[0].Fields[0].Field, "upstreams")
	assert.Equal(t, len(report.Impact), 3)
	assert.Equal(t, len(report.Impact[0].Lost), 3)
	text, code := run("config", "diff", base, changed)
	assert.Equal(t, code, ExitOK, text)
	for _, pair := range report.Impact {
		assert.Assert(t, strings.Contains(text, string(pair.Customer)+" "+string(pair.Class)), text)
	}
	assert.Assert(t, strings.Contains(text, "loses ["+string(report.Impact[0].Lost[0])), text)
	out, code = run("config", "diff", "--output=json", base, base)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, out, "{\n  \"changes\": [],\n  \"impact\": []\n}\n")
}
