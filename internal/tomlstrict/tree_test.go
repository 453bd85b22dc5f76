package tomlstrict

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/findings"
)

type file struct {
	Name  string         `toml:"name"`
	Ports []int          `toml:"ports"`
	Sizes map[string]int `toml:"sizes"`
	Items []item         `toml:"items"`
}

type item struct {
	*Place
	ID string `toml:"id,required"`
}

// Guards against files whose structure TOML forbids or that are read
// differently from what they say.
func TestStructure(t *testing.T) {
	cases := []struct{ text, want string }{
		{"name = 'a'\n[sizes]\na.b = 1\n", "sizes.a has wrong type: table"},
		{"sizes.a = 1\nsizes.b = 2\n[sizes]\nc = 3\n", "syntax error"},
		{"sizes = { a = 1 }\n[sizes]\nb = 2\n", `t.toml:2:2: error: table "sizes" is defined twice; first at line 1`},
		{"sizes = { a = 1, a = 2 }\n", `t.toml:1:18: error: duplicate key "a"; first at line 1`},
		{"items = []\n[[items]]\nid = 'x'\n", `key "items" already has a value of type array`},
		{"ports = [1, 'two', 3.0]\n", "t.toml:1:13: error: ports.1 has wrong type: string (allowed: integer)\nt.toml:1:20: error: ports.2 has wrong type: float"},
		{"ports = [99999999999999999999]\n", "is out of range"},
		{"name = 1979-05-27\n", "name has wrong type: date or time"},
		{"[[items]]\n[[items]]\nid = 'x'\n", `t.toml:1:3: error: key "id" is missing in items`},
		{strings.Repeat("[\n", 1000), "too many syntax errors"},
		{"\xff = 1\n[[items]]\nid = 3\n", `t.toml:3:6: error: id has wrong type`},
	}
	for _, c := range cases {
		var list findings.List
		Decode("t.toml", []byte(c.text), &file{}, &list)
		list.Sort()
		assert.Assert(t, list.HasErrors(), c.text)
		assert.Assert(t, strings.Contains(list.Error(), c.want), "%q:\n%s", c.text, list.Error())
		assert.Assert(t, len(list) <= maxSyntaxErrors+1)
	}
}
