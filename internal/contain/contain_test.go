package contain_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Guards against a panic that ends the process, is swallowed without a trace, or fills
// the log when it comes again and again.
func TestPanicIsContainedAndLogged(t *testing.T) {
	var out strings.Builder
	log := telemetry.NewLog(&out, zerolog.InfoLevel, "d")
	for range 1000 {
		err := contain.Do(log, "a row", func() error { panic("planted") })
		assert.ErrorIs(t, err, contain.ErrPanic)
		assert.ErrorContains(t, err, "in a row: planted")
	}
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines >= 1 && lines <= 11, "%d lines", lines)
	assert.Assert(t, strings.Contains(out.String(), "contain_test.go"), "no stack in the log")

	failed := errors.New("failed")
	assert.Equal(t, contain.Do(log, "a row", func() error { return failed }), failed)
	assert.NilError(t, contain.Do(log, "a row", func() error { return nil }))
}
