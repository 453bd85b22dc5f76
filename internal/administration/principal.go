package administration

import (
	"fmt"
	"strings"

	"github.com/auburndyke/auburndyke/internal/policy"
)

// Principal is the holder of an administration token.
type Principal struct {
	ID   string           `json:"id"`
	Role policy.AdminRole `json:"role"`
	// Team is set for policy.RoleTeam.
	Team string `json:"team,omitempty"`
}

// ScopeError means that a principal may not do what it asked for.
type ScopeError struct {
	Principal Principal
	// Target names the refused item and field, or the refused call.
	Target string
}

func (e *ScopeError) Error() string {
	if e.Principal.Role == policy.RoleTeam {
		return fmt.Sprintf("token %q of team %q may not change %s", e.Principal.ID, e.Principal.Team, e.Target)
	}
	return fmt.Sprintf("token %q of role %s may not change %s", e.Principal.ID, e.Principal.Role, e.Target)
}

// IsOperator reports whether the principal may change everything.
func (p Principal) IsOperator() bool { return p.Role == policy.RoleOperator }

// CanChange reports whether the principal may change anything at all.
func (p Principal) CanChange() bool { return p.IsOperator() || p.Role == policy.RoleTeam }

// RequireOperator fails with *ScopeError for principals that are no operators.
func (p Principal) RequireOperator(what string) error {
	if p.IsOperator() {
		return nil
	}
	return &ScopeError{p, what}
}

// CheckScope fails with *ScopeError when the principal may not make a change.
// Items of a team have to belong to it in every given document, so that a
// change based on an old revision cannot reach an item that has moved to
// another team since.
func (p Principal) CheckScope(changes []policy.Change, documents ...*policy.Document) error {
	if p.IsOperator() {
		return nil
	}
	if p.Role != policy.RoleTeam {
		return &ScopeError{p, "the configuration"}
	}
	for _, c := range changes {
		if what, ok := p.teamMay(c, documents); !ok {
			return &ScopeError{p, what}
		}
	}
	return nil
}

// teamMay reports whether a team may make one change, and otherwise names what
// it may not change.
func (p Principal) teamMay(c policy.Change, documents []*policy.Document) (string, bool) {
	item := fmt.Sprintf("%s/%s", c.Kind, c.ID)
	if c.Op != policy.ChangeChanged {
		return item, false
	}
	for _, d := range documents {
		if p.Team == "" || teamOf(d, c.Kind, c.ID) != p.Team {
			return item, false
		}
	}
	for _, f := range c.Fields {
		label := strings.HasPrefix(f.Field, "labels.")
		weight := c.Kind == policy.ItemCustomer && f.Field == "weight"
		if !label && !weight {
			return item + "/" + f.Field, false
		}
	}
	return "", true
}

// teamOf returns the team that an item belongs to, or an empty text.
func teamOf(d *policy.Document, kind policy.ItemKind, id string) string {
	switch kind {
	case policy.ItemCustomer:
		for i := range d.Customers {
			if string(d.Customers[i].ID) == id {
				return d.Customers[i].Team
			}
		}
	case policy.ItemClass:
		for i := range d.Classes {
			if string(d.Classes[i].ID) == id {
				return d.Classes[i].Team
			}
		}
	}
	return ""
}

// Authenticator finds the principal of a token.
type Authenticator struct {
	// Policy is the configuration in force, or nil before the first.
	Policy *policy.Policy
	// Bootstrap holds tokens that are valid only while the configuration in
	// force names none, so that a new deployment can be administered.
	Bootstrap []policy.AdminToken
}

// Authenticate returns the holder of a token. The token is hashed before the
// lookup, so the time taken does not depend on how much of it is right.
func (a Authenticator) Authenticate(token string) (Principal, bool) {
	hash := policy.HashKey(token)
	if a.Policy != nil && a.Policy.HasAdminTokens() {
		return principal(a.Policy.AdminToken(hash))
	}
	for i := range a.Bootstrap {
		if a.Bootstrap[i].Hash == hash {
			return principal(&a.Bootstrap[i])
		}
	}
	return Principal{}, false
}

func principal(t *policy.AdminToken) (Principal, bool) {
	if t == nil {
		return Principal{}, false
	}
	return Principal{ID: t.ID, Role: t.Role, Team: t.Team}, true
}

// BootstrapTokens returns the operator tokens that a daemon's settings give as
// hashes. They appear in the history as settings-1, settings-2 and so on.
func BootstrapTokens(hashes ...policy.KeyHash) []policy.AdminToken {
	tokens := make([]policy.AdminToken, len(hashes))
	for i, h := range hashes {
		tokens[i] = policy.AdminToken{ID: fmt.Sprintf("settings-%d", i+1), Hash: h, Role: policy.RoleOperator}
	}
	return tokens
}
