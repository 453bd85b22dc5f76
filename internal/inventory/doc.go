// Package inventory keeps the list of upstreams that register themselves with the
// platform. It is a state machine without I/O or a clock: registrations, removals
// and the current time go in, and a list of entries with their states comes out.
//
// A removal is ambiguous. The upstream may have left, or its registration may have
// lapsed during an outage of the platform's store. A removed upstream stays in the
// list as Unlisted for the removal grace period, and is used only when no listed one
// is left. A registration within that period restores it.
//
// Others may write into the platform's table as well. A registration for a service that
// no configuration names is kept, since a later configuration may name it. Until then it
// neither replaces the registration of the same ID for a configured service, whose
// upstream is Unlisted meanwhile, nor supersedes the upstream at its address.
package inventory
