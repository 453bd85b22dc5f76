package routing

import "github.com/auburndyke/auburndyke/internal/domain"

// RoleFilter excludes engines that do not serve the wanted phase.
type RoleFilter struct{}

// Check implements Filter.
func (RoleFilter) Check(q *Query, u *Upstream) Reason {
	if u.Kind == domain.KindService {
		return Keep
	}
	has := u.Role
	if c := u.State.content.Load(); c != nil && c.role != "" {
		has = c.role
	}
	if has == "" || has == domain.RoleBoth || has == q.Role {
		return Keep
	}
	return ReasonRole
}
