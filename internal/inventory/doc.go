// Package inventory keeps the list of upstreams that register themselves with
// the platform. It is a state machine: registrations, removals and the time go
// in, and a list of entries with their standing comes out.
//
// A removal is ambiguous. The upstream may have left, or its registration may
// have lapsed while the platform was away. A removed upstream stays in the list
// as Unlisted for RemovalHold, so that it is used only when no listed one is
// left; a registration in that time restores it.
package inventory
