package processrun

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/standin/process"
)

// stopTime is how long a process may take for a planned stop. It is above the
// shutdown bound of the examples' daemons.
const stopTime = 30 * time.Second

// build makes the binary once per test. AUBURNDYKE_RACE adds the race detector,
// whose reports make planned stops fail.
func build(t *testing.T, dir string) string {
	var flags []string
	if os.Getenv("AUBURNDYKE_RACE") != "" {
		flags = append(flags, "-race")
	}
	binary, err := process.Build(t.Context(), dir, flags...)
	assert.NilError(t, err)
	return binary
}

// launch starts the binary with its output in a log file.
func launch(t *testing.T, binary, log string, args ...string) *process.Process {
	t.Helper()
	p, err := process.Start(binary, log, args...)
	assert.NilError(t, err)
	t.Cleanup(p.Kill)
	return p
}
