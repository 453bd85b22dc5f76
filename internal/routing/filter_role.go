package routing

import "github.com/auburndyke/auburndyke/internal/domain"

// RoleFilter excludes engines that do not serve the requested phase. A reported
// role takes precedence over the configured one.
type RoleFilter struct{}

// Check implements Filter.
func (RoleFilter) Check(q *Query, u *Upstream) Reason {
	if u.Kind == domain.KindService {
		return Keep
	}
	role := u.Role
	if c := u.State.capabilities.Load(); c != nil && c.role != "" {
		role = c.role
	}
	if role == "" || role == domain.RoleBoth || role == q.Role {
		return Keep
	}
	return ReasonRole
}
