package policy

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// valid is a small configuration that the tables below damage.
const valid = `
[[tiers]]
id = "urgent"
rank = 0
min_share = "60%"

[[tiers]]
id = "batch"
rank = 1
min_share = "40%"

[[service_levels]]
id = "fast"
first_token = "770ms"

[[models]]
id = "m"
adapters = ["a"]

[[classes]]
id = "ask"
labels = { audience = "guest" }

[[customers]]
id = "one"
labels = { size = "large" }
default_class = "ask"
api_key_sha256 = ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]

[[regions]]
id = "north"
zones = ["north-a"]

[[upstreams]]
id = "u1"
kind = "engine"
address = "127.0.0.1:21001"
region = "north"
zone = "north-a"
labels = { pool = "day" }
models = ["m"]
slots = 4

[[rules]]
id = "all"
classes = "audience=guest"
upstreams = "pool=day"
tier = "urgent"
service_level = "fast"
precedence = 1
`

// Guards against mistakes that pass unseen, and against consequences of one
// mistake that are reported as further mistakes.
func TestEachMistakeGivesOneFinding(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"syntax", `kind = "engine"`, `kind = engine`, `:36:8: error: syntax error`},
		{"unclosed array", `zones = ["north-a"]`, `zones = ["north-a"`, `:34:1: error: syntax error`},
		{"unclosed header", `[[upstreams]]`, `[[upstreams]`, `:34:`},
		{"unknown key", `rank = 0`, "rank = 0\ncolour = 3", `:5:1: error: unknown key "colour" in tiers (allowed: id, min_share, preempts, queue_tokens, rank)`},
		{"missing key", `slots = 4`, ``, `:34:3: error: key "slots" is missing in upstreams`},
		{"wrong type", `slots = 4`, `slots = "4"`, `:42:9: error: slots has wrong type: string (allowed: integer)`},
		{"negative", `slots = 4`, `slots = -4`, `:42:9: error: slots is negative: -4`},
		{"no slots", `slots = 4`, `slots = 0`, `upstream "u1" has no slots`},
		{"duration without unit", `"770ms"`, `"770"`, `:14:15: error: first_token is not a duration: "770"`},
		{"duration as number", `"770ms"`, `770`, `first_token has wrong type: integer (allowed: string with a unit`},
		{"share without unit", `"60%"`, `"0.6"`, `min_share is not a share: "0.6"`},
		{"shares over 100%", `"40%"`, `"41%"`, `:10:13: error: minimum shares add up to over 100% with tier "batch"`},
		{"equal ranks", `rank = 1`, `rank = 0`, `have the same rank 0`},
		{"duplicate key", `slots = 4`, "slots = 4\nslots = 5", `:43:1: error: duplicate key "slots"; first at line 42`},
		{"dangling model", `models = ["m"]`, `models = ["m", "n"]`, `:41:16: error: model "n" does not exist (allowed: m)`},
		{"dangling tier", `tier = "urgent"`, `tier = "urgnt"`, `tier "urgnt" does not exist (allowed: batch, urgent)`},
		{"dangling class", `default_class = "ask"`, `default_class = "aks"`, `class "aks" does not exist (allowed: ask)`},
		{"unknown region", `region = "north"`, `region = "south"`, `region "south" does not exist (allowed: north)`},
		{"zone elsewhere", `zone = "north-a"`, `zone = "north-b"`, `zone "north-b" is not in region "north" (allowed: north-a)`},
		{"address", `127.0.0.1:21001`, `localhost:21001`, `invalid address "localhost:21001" (allowed: IP address and port`},
		{"key hash", `e3b0c442`, `e3b0`, `api_key_sha256.0: value is not a SHA-256 hash (allowed: 64 hexadecimal`},
		{"selector syntax", `"audience=guest"`, `"audience in guest"`, `:46:11: error: classes:`},
		{"selector without upstream", `"pool=day"`, `"pool=night"`, `warning: upstreams selector "pool=night" of rule "all" matches nothing`},
		{"reserved label", `pool = "day"`, `pool = "day", zone = "x"`, `label "zone" is reserved`},
		{"enumeration", `models = ["m"]`, "models = [\"m\"]\nrole = \"both ways\"", `unknown role "both ways" (allowed: both, prefill, decode)`},
		{"adapter", `models = ["m"]`, "models = [\"m\"]\nadapters = [\"b\"]", `adapter "b" belongs to none of the models`},
		{"table twice", `[[rules]]`, "[routing]\n[routing]\n[[rules]]", `table "routing" is defined twice`},
		{"size", `adapters = ["a"]`, "adapters = [\"a\"]\nweight_size = \"15 gigs\"", `weight_size is not a size: "15 gigs"`},
	}
	_, list := Decode("p.toml", []byte(valid))
	assert.Equal(t, len(list), 0, list.Error())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			assert.Assert(t, text != valid)
			_, list := Decode("p.toml", []byte(text))
			assert.Equal(t, len(list), 1, list.Error())
			assert.Assert(t, strings.Contains(list[0].String(), c.want), list[0].String())
		})
	}
}

// Guards against warnings that hide which traffic a typing mistake cuts off.
func TestSelectorWithoutClassWarnsAboutTraffic(t *testing.T) {
	_, p, list := Load(1, Source{"p.toml", []byte(strings.Replace(valid, "audience=guest", "audience=gest", 1))})
	assert.Assert(t, p != nil)
	assert.Equal(t, list.Error(), `p.toml:21:6: warning: no rule reaches class "ask"
p.toml:25:6: warning: no rule reaches customer "one"
p.toml:46:11: warning: classes selector "audience=gest" of rule "all" matches nothing (allowed: selector over labels of classes)`)
}

// Guards against a run that stops at the first mistake or the first file.
func TestTenMistakesInTwoFilesAreReportedTogether(t *testing.T) {
	damaged := strings.NewReplacer(
		`"770ms"`, `"770"`,
		`"40%"`, `"45%"`,
		`slots = 4`, `slots = "4"`,
		`zone = "north-a"`, `zone = "north-z"`,
		`default_class = "ask"`, `default_class = "aks"`,
		`adapters = ["a"]`, `adapter = ["a"]`,
	).Replace(valid)
	second := `
[[upstreams]]
id = "u2"
kind = "engine"
address = "127.0.0.1:21001"
region = "north"
zone = "north-a"
models = ["m"]
slots = 1

[[customers]]
id = "two"
api_key_sha256 = ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]

[[rules]]
id = "other"
customers = "id=two"
tier = "batch"
service_level = "fast"
precedence = 1

[[tiers]
id = "x"
`
	_, list := DecodeFiles(Source{"a.toml", []byte(damaged)}, Source{"b.toml", []byte(second)})
	text := list.Error()
	for _, want := range []string{
		`a.toml:10:13: error: minimum shares add up`,
		`a.toml:14:15: error: first_token is not a duration`,
		`a.toml:18:1: error: unknown key "adapter" in models`,
		`a.toml:27:17: error: class "aks" does not exist`,
		`a.toml:39:8: error: zone "north-z" is not in region`,
		`a.toml:42:9: error: slots has wrong type`,
		`b.toml:5:11: error: duplicate address 127.0.0.1:21001`,
		`b.toml:13:19: error: duplicate API key; customer "one" has it already`,
		`b.toml:20:14: error: rules "all" and "other" of precedence 1 give customer "two" and class "ask" different tiers`,
		`b.toml:22:`,
	} {
		assert.Assert(t, strings.Contains(text, want), "%s is missing in\n%s", want, text)
	}
	assert.Equal(t, len(list), 10, text)
}
