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

// ScopeError means that a principal is not authorized for a change or call.
type ScopeError struct {
	Principal Principal
	// Target is the item and field, or the call, that was denied.
	Target string
}

func (e *ScopeError) Error() string {
	if e.Principal.Role == policy.RoleTeam {
		return fmt.Sprintf("token %q of team %q may not change %s", e.Principal.ID, e.Principal.Team, e.Target)
	}
	return fmt.Sprintf("token %q of role %s may not change %s", e.Principal.ID, e.Principal.Role, e.Target)
}

// IsOperator reports whether the principal may change the whole configuration.
func (p Principal) IsOperator() bool { return p.Role == policy.RoleOperator }

// CanChange reports whether the principal may change any part of the
// configuration.
func (p Principal) CanChange() bool { return p.IsOperator() || p.Role == policy.RoleTeam }

// RequireOperator returns a *ScopeError for target unless the principal is an
// operator.
func (p Principal) RequireOperator(target string) error {
	if p.IsOperator() {
		return nil
	}
	return &ScopeError{p, target}
}

// CheckScope returns a *ScopeError if the principal may not make one of the
// changes. A team must own the changed items in every given document, so that a
// change based on an old revision cannot modify an item that has since moved to
// another team.
func (p Principal) CheckScope(changes []policy.Change, documents ...*policy.Document) error {
	if p.IsOperator() {
		return nil
	}
	if p.Role != policy.RoleTeam {
		return &ScopeError{p, "the configuration"}
	}
	for _, c := range changes {
		if target, ok := p.teamMayChange(c, documents); !ok {
			return &ScopeError{p, target}
		}
	}
	return nil
}

// teamMayChange reports whether a team may make one change. If not, it returns
// the item or field that the team may not change.
func (p Principal) teamMayChange(c policy.Change, documents []*policy.Document) (string, bool) {
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

// teamOf returns the team that owns an item, or an empty string.
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
	// Policy is the configuration in force, or nil if there is none yet.
	Policy *policy.Policy
	// Bootstrap lists tokens that are valid only while the configuration in
	// force has none, so that a new deployment can be administered.
	Bootstrap []policy.AdminToken
}

// Authenticate returns the principal of a token. The token is hashed before the
// lookup, so that the response time does not reveal how much of it is correct.
func (a Authenticator) Authenticate(token string) (Principal, bool) {
	hash := policy.HashKey(token)
	if a.Policy != nil && a.Policy.HasAdminTokens() {
		return principalOf(a.Policy.AdminToken(hash))
	}
	for i := range a.Bootstrap {
		if a.Bootstrap[i].Hash == hash {
			return principalOf(&a.Bootstrap[i])
		}
	}
	return Principal{}, false
}

func principalOf(t *policy.AdminToken) (Principal, bool) {
	if t == nil {
		return Principal{}, false
	}
	return Principal{ID: t.ID, Role: t.Role, Team: t.Team}, true
}

// BootstrapTokens returns operator tokens for the hashes in a daemon's settings.
// The history shows them as settings-1, settings-2 and so on.
func BootstrapTokens(hashes ...policy.KeyHash) []policy.AdminToken {
	tokens := make([]policy.AdminToken, len(hashes))
	for i, h := range hashes {
		tokens[i] = policy.AdminToken{ID: fmt.Sprintf("settings-%d", i+1), Hash: h, Role: policy.RoleOperator}
	}
	return tokens
}
