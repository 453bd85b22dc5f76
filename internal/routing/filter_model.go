package routing

import (
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// ModelFilter excludes upstreams of another kind or service, and engines without
// the model or adapter. An engine must be configured for both and, if it has
// reported what it has loaded, must have reported both.
type ModelFilter struct{}

// Check implements Filter.
func (ModelFilter) Check(q *Query, u *Upstream) Reason {
	if u.Kind != q.kind() {
		return ReasonKind
	}
	if u.Kind == domain.KindService {
		if u.Service != q.Service {
			return ReasonKind
		}
		return Keep
	}
	if !u.Serves(q.Model, q.Adapter) {
		return ReasonModel
	}
	if c := u.State.capabilities.Load(); c != nil && !c.include(q.Model, q.Adapter) {
		return ReasonModel
	}
	return Keep
}

func (c *capabilities) include(model domain.ModelID, adapter string) bool {
	if !slices.Contains(c.models, string(model)) {
		return false
	}
	return adapter == "" || slices.Contains(c.adapters, adapter)
}
