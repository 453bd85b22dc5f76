package policy

import (
	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

// AdminRole says what the holder of an administration token may do.
type AdminRole string

const (
	// RoleViewer reads everything and changes nothing.
	RoleViewer AdminRole = "viewer"
	// RoleOperator reads and changes everything.
	RoleOperator AdminRole = "operator"
	// RoleTeam reads everything and changes the labels and weights of its
	// team's customers and the labels of its team's classes.
	RoleTeam AdminRole = "team"
)

// AdminToken is one token of the administration API. The configuration holds
// its hash only.
type AdminToken struct {
	*tomlstrict.Place `toml:"-" json:"-" cbor:"-"`

	ID   string    `toml:"id,required"`
	Hash KeyHash   `toml:"sha256,required"`
	Role AdminRole `toml:"role,required"`
	// Team is set for RoleTeam and empty for the other roles.
	Team string `toml:"team"`
}

func adminTokenID(t *AdminToken) string { return t.ID }

func adminTokensOf(d *Document) *[]AdminToken { return &d.AdminTokens }

// PutAdminToken returns a document in which the token is added or replaced.
func (d *Document) PutAdminToken(t AdminToken) *Document {
	return put(d, adminTokensOf, adminTokenID, t)
}

// HasOperator reports whether any administration token has RoleOperator.
func (d *Document) HasOperator() bool {
	for i := range d.AdminTokens {
		if d.AdminTokens[i].Role == RoleOperator {
			return true
		}
	}
	return false
}

// AdminToken returns the administration token that has a hash, or nil.
func (p *Policy) AdminToken(hash KeyHash) *AdminToken { return p.index.adminTokens[hash] }

// HasAdminTokens reports whether the configuration names any administration
// token.
func (p *Policy) HasAdminTokens() bool { return len(p.index.adminTokens) > 0 }

func indexAdminTokens(tokens []AdminToken) map[KeyHash]*AdminToken {
	byHash := make(map[KeyHash]*AdminToken, len(tokens))
	for _, t := range tokens {
		t.Place = nil
		byHash[t.Hash] = &t
	}
	return byHash
}

func (c *checker) checkAdminTokens() {
	hashes := map[KeyHash]*AdminToken{}
	for i := range c.doc.AdminTokens {
		t := &c.doc.AdminTokens[i]
		c.value(t, "team", t.Team)
		switch {
		case t.Role == RoleTeam:
			if t.Team == "" && !t.Rejected("team") {
				c.errorf(t, "team", "name of a team", "admin token %q of role team names no team", t.ID)
			}
		case t.Role == RoleViewer || t.Role == RoleOperator:
			if t.Team != "" {
				c.errorf(t, "team", `role = "team"`, "admin token %q of role %s names a team", t.ID, t.Role)
			}
		case !unset(t, "role"):
			c.errorf(t, "role", "viewer, operator, team", "unknown role %q", t.Role)
		}
		if unset(t, "sha256") {
			continue
		}
		if first, ok := hashes[t.Hash]; ok {
			c.errorf(t, "sha256", "", "duplicate token hash; admin token %q has it already", first.ID)
			continue
		}
		hashes[t.Hash] = t
	}
}
