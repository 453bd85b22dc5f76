package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against selectors that accept traffic which their text excludes.
func TestSelectorMatches(t *testing.T) {
	cases := []struct {
		selector string
		labels   map[string]string
		want     bool
	}{
		{"", map[string]string{"size": "large"}, true},
		{"size=large", map[string]string{"size": "large"}, true},
		{"size!=large", map[string]string{"size": "large"}, false},
		{"size in (small,large),team", map[string]string{"size": "large"}, false},
	}
	for _, c := range cases {
		s, err := ParseSelector(c.selector)
		assert.NilError(t, err)
		assert.Equal(t, s.Matches(c.labels), c.want, c.selector)
	}
	_, err := ParseSelector("size in large")
	assert.Assert(t, err != nil)
}
