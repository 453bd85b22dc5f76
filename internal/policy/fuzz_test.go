package policy

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// Guards against panics on any input, files that pass here but are not TOML,
// and accepted documents that change when they are encoded and read again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[[tiers]]\nid = \"a\"\nrank = 1\n[tiers.x]\n"))
	f.Add([]byte("a = [[1, {b = 2}]]\na.b = 1\n[[a]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, list := Decode("f.toml", data)
		for _, finding := range list {
			assert.Assert(t, finding.Message != "" && finding.Line >= 0, finding.String())
		}
		if list.HasErrors() {
			return
		}
		var sink map[string]any
		assert.NilError(t, toml.Unmarshal(data, &sink))
		again, list := Decode("again.toml", d.Encode())
		assert.NilError(t, list.Err())
		assert.Assert(t, d.Equal(again))
	})
}

// Guards against selectors whose text does not parse to the same selector and
// against group sharing by keys that the selector does not reveal.
func FuzzSelector(f *testing.F) {
	f.Add("a in (x, y), !b", "a", "x")
	f.Add("size>3", "size", "4")
	f.Add("", "a", "")
	f.Fuzz(func(t *testing.T, text, key, value string) {
		s, err := ParseSelector(text)
		if err != nil {
			return
		}
		again, err := ParseSelector(s.String())
		assert.NilError(t, err)
		with := map[string]string{key: value}
		assert.Equal(t, s.Matches(with), again.Matches(with))
		keys := map[string]bool{}
		s.keys(keys)
		if !keys[key] {
			assert.Equal(t, s.Matches(with), s.Matches(nil))
		}
	})
}
