// Package inventory keeps the list of upstreams that register themselves with the
// platform. It is a state machine without I/O or a clock: registrations, removals
// and the current time go in, and a list of entries with their states comes out.
//
// A removal is ambiguous. The upstream may have left, or its registration may have
// lapsed during an outage of the platform's store. A removed upstream stays in the
// list as Unlisted for the removal grace period, and is used only when no listed one
// is left. A registration within that period restores it.
package inventory
