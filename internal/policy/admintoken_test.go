package policy

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against administration tokens that are accepted with a wrong role,
// team or hash.
func TestAdminTokenFindings(t *testing.T) {
	base, _ := load(t)
	hash := strings.Repeat("0a", 32)
	fragment := `[[admin_tokens]]
id = "a"
role = "root"
sha256 = "` + hash + `"

[[admin_tokens]]
id = "b"
role = "team"
sha256 = "` + hash + `"

[[admin_tokens]]
id = "c"
role = "viewer"
team = "schools"
sha256 = "` + strings.Repeat("0b", 32) + `"
`
	next, list := base.Apply("tokens", []byte(fragment))
	assert.NilError(t, list.Err())
	_, list = Compile(next, 2)
	assert.Equal(t, list.Error(), `tokens:3:8: error: unknown role "root" (allowed: viewer, operator, team)
tokens:6:3: error: admin token "b" of role team names no team (allowed: name of a team)
tokens:9:10: error: duplicate token hash; admin token "a" has it already
tokens:14:8: error: admin token "c" of role viewer names a team (allowed: role = "team")`)
	_, list = base.Apply("tokens", []byte("[[admin_tokens]]\nid = \"a\"\nrole = \"viewer\"\nsha256 = \"clear-text\"\n"))
	assert.Assert(t, list.HasErrors())
}

// Guards against tokens that an encoding, a merge or a removal loses.
func TestAdminTokensAreItems(t *testing.T) {
	base, _ := load(t)
	token := AdminToken{ID: "x", Hash: HashKey("x"), Role: RoleTeam, Team: "schools"}
	mine := base.PutAdminToken(token)
	decoded, list := Decode("copy", mine.Encode())
	assert.NilError(t, list.Err())
	assert.Assert(t, decoded.Equal(mine))
	theirs, err := base.Remove(ItemAdminToken, "viewer")
	assert.NilError(t, err)
	merged, conflicts := Merge(base, mine, theirs)
	assert.Equal(t, len(conflicts), 0)
	assert.Equal(t, len(merged.AdminTokens), len(base.AdminTokens))
	p, list := Compile(merged, 2)
	assert.NilError(t, list.Err())
	assert.Equal(t, p.AdminToken(HashKey("x")).Team, "schools")
	assert.Equal(t, len(merged.WithoutHashes().AdminTokens), 0)
	assert.Assert(t, len(merged.AdminTokens) > 0)
}
