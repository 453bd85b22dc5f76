// Package edge runs a daemon on a platform whose operator owns the
// configuration and whose upstreams register themselves. It wires the relay to
// the platform's tables, answers readiness probes, serves metrics and stops in
// order.
//
// The daemon keeps nothing: what it knows is a copy of the platform's tables,
// and what it learns of load and caches is learned again after a start.
package edge
