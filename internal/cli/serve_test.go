package cli

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func runRoot(args ...string) (output string, code int) {
	root := NewRootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), ExitCode(err)
}

// Guards against an operator who learns of one mistake per start, and against
// scripts that take a failed start for a planned stop.
func TestServeReportsAllFindings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	text := "daemon = 'd1'\nregion = 'north'\nzone = '-'\nlog_level = 'loud'\n[caller]\naddress = '127.0.0.1'\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	out, code := runRoot("serve", "--settings", file)
	assert.Equal(t, code, ExitFindings)
	for _, want := range []string{":3:", ":4:", ":6:", "admin.address", "platform.urls"} {
		assert.Assert(t, strings.Contains(out, want), "%s missing in %s", want, out)
	}
	_, code = runRoot("serve", "--settings", file+".absent")
	assert.Equal(t, code, ExitUsage)
	_, code = runRoot("serve")
	assert.Equal(t, code, ExitUsage)
}

// Guards against a daemon that runs on without one of its listeners.
func TestServeFailsOnUsedAddress(t *testing.T) {
	used, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, used.Close()) }()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.toml")
	text := "daemon = 'd1'\nregion = 'north'\nzone = 'a'\n[caller]\naddress = '" + used.Addr().String() +
		"'\n[admin]\naddress = '127.0.0.2:1'\n[peer]\naddress = '127.0.0.3:1'\n" +
		"[platform]\nurls = ['http://127.0.0.1:1']\ncredential_file = 'token'\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	out, code := runRoot("serve", "--settings", file)
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(out, used.Addr().String()), out)
}
