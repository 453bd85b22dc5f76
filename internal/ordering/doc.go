// Package ordering decides how many upstreams each service shall have in each zone and
// orders them from the platform.
//
// Orderer is a state machine without I/O or a clock: what a daemon knows of upstreams
// and load goes in, orders come out, and the results of the calls go back in. Every
// daemon feeds it, so that a daemon that takes over the duties knows the demand of the
// last seconds. Only the holder's Runner sends orders.
//
// docs/design/0005-ordering-upstreams.md describes the rules and what was weighed.
package ordering
