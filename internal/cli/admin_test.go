package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/examples"
	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/standin/control"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

// deployment is an administration listener that the commands call.
type deployment struct {
	t        *testing.T
	platform *platform.Platform
	control  *control.Control
	url      string
	dir      string
}

// newDeployment starts with the example, or with bootstrap tokens without a
// configuration.
func newDeployment(t *testing.T, options adminhttp.Options) *deployment {
	d := &deployment{t: t, platform: platform.New(platform.Config{}), dir: t.TempDir()}
	d.control = control.New(d.platform.Client("test"))
	if options.Bootstrap == nil {
		document, err := examples.Load("maraval-bay")
		assert.NilError(t, err)
		_, err = d.control.Propose(context.Background(), configlog.Change{ID: "seed", Author: "test", Content: document.Encode()})
		assert.NilError(t, err)
	}
	d.control.SetFleet(administration.Fleet{Daemon: "entry-1", Daemons: []administration.DaemonStatus{{
		Daemon: "entry-1", Region: "north-coast", Zone: "north-coast-a", Revision: 1, Ready: true, Seen: time.Now(),
		Tiers: []administration.TierStatus{{Tier: "beach", Running: 3, Finished: 100, Met: 97, Sheds: 1}},
	}}})
	server := httptest.NewServer(adminhttp.NewServer(d.control, options).Handler)
	t.Cleanup(server.Close)
	d.url = server.URL
	for _, id := range []string{"operator", "viewer", "schools-desk"} {
		d.file(id+".token", "mb-"+id+"-token\n")
	}
	d.file("fragment.toml", "[[models]]\nid = \"lesson\"\nadapters = [\"guest\", \"plan\", \"summary\", \"tide\"]\ncontext_tokens = 32768\nweight_size = \"15GiB\"\n")
	d.file("wrong.toml", "[[models]]\nid = \"plan\"\nadapters = 3\n")
	return d
}

func (d *deployment) file(name, text string) string {
	path := filepath.Join(d.dir, name)
	assert.NilError(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs a command line with the flags that reach the deployment. Arguments
// that name files of the deployment are given their directory.
func (d *deployment) run(token string, args ...string) (string, int) {
	for i, a := range args {
		if path := filepath.Join(d.dir, a); strings.HasSuffix(a, ".toml") {
			args[i] = path
		}
	}
	return run(append(args, "--admin", d.url, "--token-file", filepath.Join(d.dir, token+".token"))...)
}

// Guards against commands that report success for a change that was not made,
// and against exit codes that scripts cannot rely on.
func TestAdminCommands(t *testing.T) {
	d := newDeployment(t, adminhttp.Options{})
	steps := []struct {
		token, line string
		code        int
		want        string
	}{
		{"viewer", "config get", ExitOK, "# revision 1\n"},
		{"viewer", "config get rules coaching", ExitOK, `id = "coaching"`},
		{"viewer", "config get rules absent", ExitUsage, ""},
		{"viewer", "upstream list -l workload=lesson,size=large,region=north-coast", ExitOK, "lesson-01"},
		{"viewer", "upstream label lesson-02 rental=night", ExitRefused, ""},
		{"absent", "status", ExitUsage, ""},
		{"operator", "upstream label lesson-02 rental", ExitUsage, ""},
		{"operator", "upstream label lesson-02 rental=night season- -m Friday --change-id a --base 1", ExitOK, "accepted as revision 2"},
		{"operator", "upstream label lesson-02 rental=night season- -m Friday --change-id a --base 1", ExitOK, "by an earlier call"},
		{"operator", "upstream label lesson-02 rental=week --base 1", ExitConflict, `mine "week", theirs "night"`},
		{"schools-desk", "config label customers maraval-surf-school season=high", ExitOK, "accepted as revision 3"},
		{"schools-desk", "config label customers toco-coaching season=high", ExitRefused, ""},
		{"operator", "config apply fragment.toml --dry-run", ExitOK, "dry run from revision 3"},
		{"operator", "config apply fragment.toml --base 1", ExitOK, "merged with the changes since revision 1"},
		{"operator", "config apply wrong.toml", ExitFindings, "wrong.toml:3:12: error: adapters"},
		{"operator", "upstream drain booking-1 --wait 5s", ExitOK, "booking-1 is releasable"},
		{"operator", "upstream drain booking-2", ExitOK, "accepted as revision 6"},
		{"operator", "upstream drain booking-3", ExitForce, "warning class_without_upstreams: class availability"},
		{"operator", "upstream drain booking-3 --force", ExitOK, "accepted as revision 7"},
		{"operator", "upstream undrain booking-3", ExitOK, "booking-3 is serving"},
		{"operator", "config history --limit 30", ExitOK, "Friday"},
		{"operator", "config rollforward 1", ExitOK, "accepted as revision 9"},
		{"viewer", "status", ExitOK, "97.0%"},
		{"viewer", "explain --customer maraval-surf-school --model lesson", ExitOK, "tier beach (rank 0)"},
		{"viewer", "explain --customer nobody --model lesson", ExitUsage, ""},
	}
	for _, s := range steps {
		out, code := d.run(s.token, strings.Fields(s.line)...)
		assert.Equal(t, code, s.code, "%s as %s: %s", s.line, s.token, out)
		assert.Assert(t, strings.Contains(out, s.want), "%s: %s", s.line, out)
	}
}

// Guards against a drain during an outage that looks like a failed one.
func TestDrainDuringOutage(t *testing.T) {
	d := newDeployment(t, adminhttp.Options{ControlTimeout: 300 * time.Millisecond})
	d.platform.SetFaults(platform.Faults{Down: []platform.Service{platform.ServiceTable}})
	out, code := d.run("operator", "upstream", "drain", "lesson-03")
	assert.Equal(t, code, ExitUnavailable, out)
	assert.Assert(t, strings.Contains(out, "lesson-03 is releasable"), out)
}

// Guards against JSON that lacks what the text shows.
func TestAdminJSON(t *testing.T) {
	d := newDeployment(t, adminhttp.Options{})
	out, code := d.run("viewer", "status", "--output=json")
	var fleet administration.Fleet
	assert.Equal(t, code, ExitOK, out)
	assert.NilError(t, json.Unmarshal([]byte(out), &fleet))
	assert.Equal(t, fleet.Daemons[0].Tiers[0].Met, int64(97))
	out, code = d.run("viewer", "upstream", "label", "lesson-02", "a=b", "--output=json")
	var failure administration.ErrorResponse
	assert.Equal(t, code, ExitRefused)
	assert.NilError(t, json.Unmarshal([]byte(out), &failure))
	assert.Equal(t, failure.Code, administration.CodeForbidden)
}

// Guards against a definite report about a change when the daemon may have
// seen the call, and against an unknown outcome when it cannot have.
func TestUnreachableDaemon(t *testing.T) {
	d := newDeployment(t, adminhttp.Options{})
	change := []string{"upstream", "label", "lesson-02", "a=b", "--base", "1", "--change-id", "x"}
	mute := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	d.url = mute.URL
	out, code := d.run("operator", change...)
	assert.Equal(t, code, ExitUnknown, out)
	assert.Assert(t, strings.Contains(out, "--change-id x --base 1"), out)
	mute.Close()
	out, code = d.run("operator", change...)
	assert.Equal(t, code, ExitUnavailable, out)
}

// Guards against a token that follows a redirect to another host.
func TestRedirectKeepsToken(t *testing.T) {
	d := newDeployment(t, adminhttp.Options{})
	calls := 0
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer other.Close()
	redirect := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer redirect.Close()
	d.url = redirect.URL
	out, code := d.run("operator", "status")
	assert.Equal(t, code, ExitUnavailable, out)
	assert.Equal(t, calls, 0)
}

// Guards against edits of a configuration that the daemon does not have yet.
func TestDaemonWithoutConfiguration(t *testing.T) {
	d := newDeployment(t, adminhttp.Options{Bootstrap: administration.BootstrapTokens(policy.HashKey("mb-operator-token"))})
	out, code := d.run("operator", "upstream", "drain", "lesson-03")
	assert.Equal(t, code, ExitUnavailable, out)
	out, code = d.run("operator", "config", "apply", "fragment.toml")
	assert.Equal(t, code, ExitOK, out)
}
