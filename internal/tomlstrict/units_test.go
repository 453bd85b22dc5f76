package tomlstrict

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against units that are read or written differently.
func TestUnitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(0, 1<<62).Draw(t, "size")
		parsed, err := ParseSize(FormatSize(size))
		assert.NilError(t, err)
		assert.Equal(t, parsed, size)
		share := float64(rapid.IntRange(0, 1_000_000).Draw(t, "share")) / 10_000 / 100
		fraction, err := ParseShare(FormatShare(share))
		assert.NilError(t, err)
		assert.Equal(t, fraction, share)
	})
}

// Guards against values that look like a unit and are none.
func TestBadUnits(t *testing.T) {
	for _, text := range []string{"", "5", "%", "101%", "-1%", "NaN%", "1e1%", "0.12345%"} {
		_, err := ParseShare(text)
		assert.Assert(t, err != nil, text)
	}
	for _, text := range []string{"", "5", "GiB", "-1B", "1.5GiB", "9223372036854775807KiB", "1 B", "1gib"} {
		_, err := ParseSize(text)
		assert.Assert(t, err != nil, text)
	}
}
